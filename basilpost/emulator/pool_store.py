"""A stand-in for the users' platform: its store of objects, over the store in memory."""

import json
from typing import Any

from basilpost.emulator import server
from basilpost.store import memory, objects

_STORE_TIMEOUT_SECONDS = 60.0
_MS = 1000.0


class PoolStore(server.StandIn):
    """Serves a `MemoryStore` in the platform's form; keys are `kind/name`."""

    def __init__(self, *, store: memory.MemoryStore | None = None, page: int = 50) -> None:
        super().__init__()
        self.store = store or memory.MemoryStore()
        self.page = page

    def routes(self) -> server.Routes:
        """Returns the handlers."""
        owner = {"owner": self}
        return [
            (r"/api/objects/([^/]+)", _KindHandler, owner),
            (r"/api/objects/([^/]+)/([^/]+)", _ObjectHandler, owner),
        ]

    async def put(self, key: str, spec: Any) -> None:
        """Writes an object whatever there is, as the operator and the runners do."""
        value = json.dumps(spec).encode()
        found = await self.store.get(key)
        if isinstance(found, objects.Stored):
            await self.store.update(key, value, version=found.version)
        else:
            await self.store.create(key, value)

    async def remove(self, key: str) -> None:
        """Removes an object if it is there."""
        found = await self.store.get(key)
        if isinstance(found, objects.Stored):
            await self.store.delete(key, version=found.version)


class _StoreHandler(server.JsonHandler):
    def initialize(self, owner: PoolStore) -> None:
        self.owner = owner
        self.store = owner.store

    async def prepare(self) -> None:
        await self.owner.silent_connections.block_if_silent(self.request)

    def answer_write(self, key: str, written: Any, body: Any) -> None:
        if isinstance(written, objects.Written):
            metadata = {"name": key.partition("/")[2], "revision": written.version}
            self.answer({"metadata": metadata, "spec": body})
        elif isinstance(written, objects.Conflict):
            self.answer({"error": "conflict"}, status=409)
        else:
            self.drop_connection()


class _KindHandler(_StoreHandler):
    async def get(self, kind: str) -> None:
        if self.get_argument("watch", ""):
            await self._watch(kind)
            return
        found = await self.store.list(f"{kind}/", timeout=_STORE_TIMEOUT_SECONDS)
        if not isinstance(found, objects.Listing):
            self.drop_connection()
            return
        after = self.get_argument("sinceRevision", "")
        left = [one for one in found.objects if one.key.partition("/")[2] > after]
        items = [_object(one.key, one.version, one.value) for one in left[: self.owner.page]]
        more = len(left) > self.owner.page
        self.answer({"items": items, "hasMore": more, "at": found.revision})

    async def post(self, kind: str) -> None:
        body = self.body_json()
        key = f"{kind}/{body['metadata']['name']}"
        value = json.dumps(body["spec"]).encode()
        written = await self.store.create(key, value, timeout=_STORE_TIMEOUT_SECONDS)
        self.answer_write(key, written, body["spec"])

    async def _watch(self, kind: str) -> None:
        found = await self.store.watch(
            f"{kind}/",
            revision=int(self.get_argument("watch")),
            wait=float(self.get_argument("waitMs", "0")) / _MS,
        )
        if isinstance(found, objects.Expired):
            self.answer({"error": "gone"}, status=410)
        elif isinstance(found, objects.Unavailable):
            self.drop_connection()
        else:
            events = [_event(change) for change in found.changes]
            self.answer({"events": events, "at": found.revision})


class _ObjectHandler(_StoreHandler):
    async def get(self, kind: str, name: str) -> None:
        found = await self.store.get(f"{kind}/{name}", timeout=_STORE_TIMEOUT_SECONDS)
        if isinstance(found, objects.Missing):
            self.answer({"error": "missing"}, status=404)
        elif isinstance(found, objects.Unavailable):
            self.drop_connection()
        else:
            self.answer(_object(found.key, found.version, found.value))

    async def put(self, kind: str, name: str) -> None:
        body = self.body_json()
        key = f"{kind}/{name}"
        value = json.dumps(body["spec"]).encode()
        version = int(body["metadata"]["revision"])
        written = await self.store.update(
            key, value, version=version, timeout=_STORE_TIMEOUT_SECONDS
        )
        self.answer_write(key, written, body["spec"])

    async def delete(self, kind: str, name: str) -> None:
        key = f"{kind}/{name}"
        version = int(self.get_argument("revision"))
        written = await self.store.delete(key, version=version, timeout=_STORE_TIMEOUT_SECONDS)
        self.answer_write(key, written, None)


def _object(key: str, version: int, value: bytes) -> dict[str, Any]:
    name = key.partition("/")[2]
    return {"metadata": {"name": name, "revision": version}, "spec": json.loads(value)}


def _event(change: objects.Change) -> dict[str, Any]:
    if change.stored is None:
        shown: dict[str, Any] = {
            "metadata": {"name": change.key.partition("/")[2], "revision": change.version},
            "spec": None,
        }
        return {"removed": True, "object": shown}
    return {
        "removed": False,
        "object": _object(change.key, change.version, change.stored.value),
    }
