"""Emulates the platform's object API: an in-memory store behind HTTP."""

import dataclasses
from typing import Any

from basilpost.emulator import server
from basilpost.store import memory, objects

_STORE_TIMEOUT_SECONDS = 60.0


class ObjectApi(server.EmulatedServer):
    """Serves a `MemoryStore`, whose faults can be set over HTTP."""

    def __init__(
        self,
        *,
        store: memory.MemoryStore | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        super().__init__(host=host, port=port)
        self.store = store or memory.MemoryStore()

    def routes(self) -> server.Routes:
        """Returns the handlers of the object API."""
        owner = {"store": self.store}
        return [
            (r"/v1/objects", _ListHandler, owner),
            (r"/v1/objects/(.+)", _ObjectHandler, owner),
            (r"/v1/watch", _WatchHandler, owner),
            (r"/faults", _FaultsHandler, owner),
            (r"/calls", _CallsHandler, owner),
        ]


class _StoreHandler(server.JsonHandler):
    def initialize(self, store: memory.MemoryStore) -> None:
        self.store = store

    def answer_read(self, result: Any, encode: Any) -> None:
        """Answers a read, or closes the connection if the store is unavailable.

        Args:
            result: What the store returned.
            encode: Converts the result to the JSON body of the answer.
        """
        if isinstance(result, objects.Unavailable):
            self.drop_connection()
        else:
            self.answer(encode(result))


class _ListHandler(_StoreHandler):
    async def get(self) -> None:
        result = await self.store.list(
            self.get_argument("prefix", ""), timeout=_STORE_TIMEOUT_SECONDS
        )
        self.answer_read(result, _listing)


class _ObjectHandler(_StoreHandler):
    async def get(self, key: str) -> None:
        result = await self.store.get(key, timeout=_STORE_TIMEOUT_SECONDS)
        if isinstance(result, objects.Missing):
            self.answer({"error": {"code": "missing"}}, status=404)
        else:
            self.answer_read(result, _object)

    async def put(self, key: str) -> None:
        value = self.request.body
        if self.request.headers.get("If-None-Match") == "*":
            result = await self.store.create(key, value, timeout=_STORE_TIMEOUT_SECONDS)
        else:
            version = self._version()
            result = await self.store.update(
                key, value, version=version, timeout=_STORE_TIMEOUT_SECONDS
            )
        self._answer_write(result)

    async def delete(self, key: str) -> None:
        self._answer_write(
            await self.store.delete(key, version=self._version(), timeout=_STORE_TIMEOUT_SECONDS)
        )

    def _version(self) -> int:
        text = self.request.headers.get("If-Match", "")
        return int(text) if text.isdigit() else -1

    def _answer_write(self, result: Any) -> None:
        """Answers a write: the new version, 412 for a conflict, else a closed connection."""
        if isinstance(result, objects.Written):
            self.answer({"version": result.version})
        elif isinstance(result, objects.Conflict):
            self.answer({"error": {"code": "conflict"}}, status=412)
        else:
            self.drop_connection()


class _WatchHandler(_StoreHandler):
    async def get(self) -> None:
        result = await self.store.watch(
            self.get_argument("prefix", ""),
            revision=int(self.get_argument("revision", "0")),
            wait=float(self.get_argument("wait", "10")),
        )
        if isinstance(result, objects.Expired):
            self.answer({"error": {"code": "expired"}}, status=410)
        else:
            self.answer_read(result, _changes)


class _FaultsHandler(_StoreHandler):
    def post(self) -> None:
        self.store.faults = dataclasses.replace(self.store.faults, **self.body_json())
        self.answer_nothing()


class _CallsHandler(_StoreHandler):
    def get(self) -> None:
        self.answer(dict(self.store.calls_by_kind))


def _object(stored: objects.Stored) -> dict[str, Any]:
    return {"key": stored.key, "value": stored.value.decode(), "version": stored.version}


def _listing(listing: objects.Listing) -> dict[str, Any]:
    return {
        "objects": [_object(stored) for stored in listing.objects],
        "revision": listing.revision,
    }


def _changes(changes: objects.Changes) -> dict[str, Any]:
    return {
        "changes": [
            {
                "key": change.key,
                "version": change.version,
                "value": change.stored.value.decode() if change.stored else None,
            }
            for change in changes.changes
        ],
        "revision": changes.revision,
    }
