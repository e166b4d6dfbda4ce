"""Emulates the object store of the users' platform, on top of the in-memory store."""

import asyncio
import json
from typing import Any

from basilpost.emulator import server
from basilpost.store import eras, memory, objects

_STORE_TIMEOUT_SECONDS = 60.0
# The number in the first answers; it rises each time that the store is restored.
_FIRST_ERA = 1
_MS = 1000.0


class PoolStore(server.EmulatedServer):
    """Serves a `MemoryStore` with the HTTP API of the users' platform; keys are `kind/name`.

    Attributes:
        store: The in-memory store.
        page_size: Maximum number of objects in one answer to a listing.
        tells_era: False to answer without the header that tells how often the store was restored.
        raw_text_by_marker: JSON text that answers have in place of strings, for values that another writer
            left and that this process could not write.
    """

    def __init__(self, *, store: memory.MemoryStore | None = None, page_size: int = 50) -> None:
        super().__init__()
        self.store = store or memory.MemoryStore()
        self.page_size = page_size
        self.tells_era = True
        self.raw_text_by_marker: dict[str, str] = {}
        # What the operator and the runners wrote last, None for removed objects.
        self._written_by_key: dict[str, Any] = {}

    def routes(self) -> server.Routes:
        """Returns the handlers of the store."""
        owner = {"owner": self}
        return [
            (r"/api/objects/([^/]+)", _KindHandler, owner),
            (r"/api/objects/([^/]+)/([^/]+)", _ObjectHandler, owner),
        ]

    async def put(self, key: str, spec: Any) -> None:
        """Creates an object or overwrites it, as the operator and the runners do."""
        self._written_by_key[key] = spec
        await self._put(key, spec)

    async def remove(self, key: str) -> None:
        """Removes an object if it exists."""
        self._written_by_key[key] = None
        await self._remove(key)

    async def restore(
        self, revision: int, *, away_seconds: float = 0.0, rewrite_seconds: float = 0.0
    ) -> None:
        """Restores a copy, after which the operator and the runners write again what is lost.

        Args:
            revision: Revision of the copy. If the store was restored from an older one while it was away,
                the copy is of that one.
            away_seconds: Time for which the store does not answer before.
            rewrite_seconds: Time from its return until all is written again.
        """
        self.store.faults.down = True
        await asyncio.sleep(away_seconds)
        self.store.restore(min(revision, self.store.revision))
        self.store.faults.down = False
        for key in list(self._written_by_key):
            await asyncio.sleep(rewrite_seconds / len(self._written_by_key))
            await self._write_again(key)

    async def _write_again(self, key: str) -> None:
        spec = self._written_by_key[key]
        stored = await self.store.get(key)
        present = json.loads(stored.value) if isinstance(stored, objects.Stored) else None
        if spec is None:
            await self._remove(key)
        elif spec != present:
            await self._put(key, spec)

    async def _put(self, key: str, spec: Any) -> None:
        value = json.dumps(spec).encode()
        result = await self.store.get(key)
        if isinstance(result, objects.Stored):
            await self.store.update(key, value, version=result.version)
        else:
            await self.store.create(key, value)

    async def _remove(self, key: str) -> None:
        result = await self.store.get(key)
        if isinstance(result, objects.Stored):
            await self.store.delete(key, version=result.version)


class _StoreHandler(server.JsonHandler):
    def initialize(self, owner: PoolStore) -> None:
        self.owner = owner
        self.store = owner.store

    def answer(self, body: Any, *, status: int = 200) -> None:
        """Ends the request with a JSON body, and tells how often the store was restored."""
        if self.owner.tells_era:
            self.set_header("Store-Era", str(_FIRST_ERA + self.store.era))
        if not self.owner.raw_text_by_marker:
            super().answer(body, status=status)
            return
        text = json.dumps(body)
        for marker, raw in self.owner.raw_text_by_marker.items():
            text = text.replace(json.dumps(marker), raw)
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        # A surrogate stands for a byte that is not UTF-8.
        self.finish(text.encode(errors="surrogateescape"))

    async def prepare(self) -> None:
        await self.owner.silent_connections.block_if_silent(self.request)

    def answer_write(self, key: str, result: Any, spec: Any) -> None:
        """Answers a request that creates, updates or deletes an object.

        Args:
            key: Key of the object, `kind/name`.
            result: What the store returned: `objects.Written`, `objects.Conflict`, which is answered
                409, or a failure, which closes the connection unanswered.
            spec: Decoded JSON value of the object, which the answer repeats; None if it was deleted.
        """
        if isinstance(result, objects.Written):
            revision = eras.revision_of(result.version)
            metadata = {"name": key.partition("/")[2], "revision": revision}
            self.answer({"metadata": metadata, "spec": spec})
        elif isinstance(result, objects.Conflict):
            self.answer({"error": "conflict"}, status=409)
        else:
            self.drop_connection()


class _KindHandler(_StoreHandler):
    async def get(self, kind: str) -> None:
        if self.get_argument("watch", ""):
            await self._watch(kind)
            return
        result = await self.store.list(f"{kind}/", timeout=_STORE_TIMEOUT_SECONDS)
        if not isinstance(result, objects.Listing):
            self.drop_connection()
            return
        # Tornado's own reading of arguments changes control characters and refuses what is not UTF-8.
        given = self.request.query_arguments.get("sinceRevision", [b""])
        after = given[0].decode(errors="surrogateescape")
        remaining = [stored for stored in result.objects if stored.key.partition("/")[2] > after]
        items = [
            _object(stored.key, stored.version, stored.value)
            for stored in remaining[: self.owner.page_size]
        ]
        has_more = len(remaining) > self.owner.page_size
        self.answer({"items": items, "hasMore": has_more, "at": eras.revision_of(result.revision)})

    async def post(self, kind: str) -> None:
        body = self.body_json()
        key = f"{kind}/{body['metadata']['name']}"
        value = json.dumps(body["spec"]).encode()
        result = await self.store.create(key, value, timeout=_STORE_TIMEOUT_SECONDS)
        self.answer_write(key, result, body["spec"])

    async def _watch(self, kind: str) -> None:
        result = await self.store.watch(
            f"{kind}/",
            revision=self.store.version_at(int(self.get_argument("watch"))),
            wait=float(self.get_argument("waitMs", "0")) / _MS,
        )
        if isinstance(result, objects.Expired):
            self.answer({"error": "gone"}, status=410)
        elif isinstance(result, objects.Unavailable):
            self.drop_connection()
        else:
            events = [_event(change) for change in result.changes]
            self.answer({"events": events, "at": eras.revision_of(result.revision)})


class _ObjectHandler(_StoreHandler):
    async def get(self, kind: str, name: str) -> None:
        result = await self.store.get(f"{kind}/{name}", timeout=_STORE_TIMEOUT_SECONDS)
        if isinstance(result, objects.Missing):
            self.answer({"error": "missing"}, status=404)
        elif isinstance(result, objects.Unavailable):
            self.drop_connection()
        else:
            self.answer(_object(result.key, result.version, result.value))

    async def put(self, kind: str, name: str) -> None:
        body = self.body_json()
        key = f"{kind}/{name}"
        value = json.dumps(body["spec"]).encode()
        version = self.store.version_at(int(body["metadata"]["revision"]))
        result = await self.store.update(
            key, value, version=version, timeout=_STORE_TIMEOUT_SECONDS
        )
        self.answer_write(key, result, body["spec"])

    async def delete(self, kind: str, name: str) -> None:
        key = f"{kind}/{name}"
        version = self.store.version_at(int(self.get_argument("revision")))
        result = await self.store.delete(key, version=version, timeout=_STORE_TIMEOUT_SECONDS)
        self.answer_write(key, result, None)


def _object(key: str, version: int, value: bytes) -> dict[str, Any]:
    metadata = {"name": key.partition("/")[2], "revision": eras.revision_of(version)}
    return {"metadata": metadata, "spec": json.loads(value)}


def _event(change: objects.Change) -> dict[str, Any]:
    if change.stored is None:
        return {"removed": True, "object": _object(change.key, change.version, b"null")}
    return {
        "removed": False,
        "object": _object(change.key, change.version, change.stored.value),
    }
