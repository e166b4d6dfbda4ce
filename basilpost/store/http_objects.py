"""The object API over HTTP.

The adapter decides the one thing that callers cannot see: whether a write that got no answer may
have been sent. A request whose first byte never left is refused; any later silence is unknown.
"""

import dataclasses
import json
import urllib.parse
from typing import Any

from basilpost.store import http_calls, objects

_WATCH_GRACE_SECONDS = 2.0

_REFUSED_STATUSES = frozenset({400, 401, 403, 429})
_NO_STATUS = 0
_CONFLICT_STATUSES = frozenset({404, 412, 413})

Write = objects.Written | objects.Conflict | objects.Unavailable | objects.Unknown


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Found:
    """An answer with its decoded body; no status if none came."""

    status: int
    reason: str
    body: Any = None


class HttpObjectStore(objects.ObjectStore):
    """Talks to an object API at a base URL such as `http://10.0.0.5:8000`."""

    def __init__(self, *, base_url: str) -> None:
        self._caller = http_calls.HttpClient(base_url=base_url)

    def close(self) -> None:
        """Closes the connections that are kept."""
        self._caller.close()

    async def get(
        self,
        key: str,
        *,
        timeout: float = 2.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> objects.Stored | objects.Missing | objects.Unavailable:
        """Reads one object."""
        found = await self._read(_path(key), timeout=timeout)
        if found.status == 200:
            return _stored(found.body)
        if found.status == 404:
            return objects.Missing(reason=f"no object {key}")
        return objects.Unavailable(reason=f"get {key}: {found.reason}")

    async def list(
        self,
        prefix: str,
        *,
        timeout: float = 5.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> objects.Listing | objects.Unavailable:
        """Reads all objects below a prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        found = await self._read(f"/v1/objects?{query}", timeout=timeout)
        if found.status != 200:
            return objects.Unavailable(reason=f"list {prefix}: {found.reason}")
        listed = tuple(_stored(one) for one in found.body["objects"])
        return objects.Listing(objects=listed, revision=found.body["revision"])

    async def create(
        self,
        key: str,
        value: bytes,
        *,
        timeout: float = 2.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> Write:
        """Creates an object that must not exist."""
        return await self._write("PUT", key, value, {"If-None-Match": "*"}, timeout)

    async def update(
        self,
        key: str,
        value: bytes,
        *,
        version: int,
        timeout: float = 2.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> Write:
        """Replaces an object whose version must be `version`."""
        return await self._write("PUT", key, value, {"If-Match": str(version)}, timeout)

    async def delete(
        self,
        key: str,
        *,
        version: int,
        timeout: float = 2.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> Write:
        """Deletes an object whose version must be `version`."""
        return await self._write("DELETE", key, b"", {"If-Match": str(version)}, timeout)

    async def watch(
        self, prefix: str, *, revision: int, wait: float = 10.0
    ) -> objects.Changes | objects.Expired | objects.Unavailable:
        """Waits up to `wait` seconds for changes below a prefix after a revision."""
        query = urllib.parse.urlencode({"prefix": prefix, "revision": revision, "wait": wait})
        timeout = wait + _WATCH_GRACE_SECONDS
        found = await self._read(f"/v1/watch?{query}", timeout=timeout, wait=wait)
        if found.status == 410:
            return objects.Expired(reason=f"watch {prefix}: revision {revision} is too old")
        if found.status != 200:
            return objects.Unavailable(reason=f"watch {prefix}: {found.reason}")
        changes = tuple(_change(one) for one in found.body["changes"])
        return objects.Changes(changes=changes, revision=found.body["revision"])

    async def _read(self, path: str, *, timeout: float, wait: float = 0.0) -> _Found:
        reply = await self._caller.read(path, timeout=timeout, wait=wait)
        if isinstance(reply, http_calls.NoReply):
            return _Found(status=_NO_STATUS, reason=reply.reason)
        return _decoded(reply)

    async def _write(
        self, method: str, key: str, value: bytes, condition: dict[str, str], timeout: float
    ) -> Write:
        call = http_calls.Call(method=method, path=_path(key), headers=condition, body=value)
        reply = await self._caller.write(call, timeout=timeout)
        if isinstance(reply, http_calls.NoReply):
            kind = objects.Unknown if reply.sent else objects.Unavailable
            return kind(reason=reply.reason)
        found = _decoded(reply)
        reason = f"{method} {key}: {found.reason}"
        if found.status == 200:
            return objects.Written(version=found.body["version"])
        if found.status in _CONFLICT_STATUSES:
            return objects.Conflict(reason=reason)
        if found.status in _REFUSED_STATUSES:
            return objects.Unavailable(reason=reason)
        return objects.Unknown(reason=reason)


def _decoded(reply: http_calls.Reply) -> _Found:
    """Decodes an answer; one that claims success but is no JSON counts as none."""
    reason = f"status {reply.status}"
    if reply.status != 200:
        return _Found(status=reply.status, reason=reason)
    try:
        return _Found(status=reply.status, reason=reason, body=json.loads(reply.body))
    except ValueError as error:
        return _Found(status=_NO_STATUS, reason=f"unreadable answer: {error!r}")


def _path(key: str) -> str:
    return "/v1/objects/" + urllib.parse.quote(key)


def _stored(raw: dict[str, Any]) -> objects.Stored:
    return objects.Stored(key=raw["key"], value=raw["value"].encode(), version=raw["version"])


def _change(raw: dict[str, Any]) -> objects.Change:
    stored = None if raw["value"] is None else _stored(raw)
    return objects.Change(key=raw["key"], version=raw["version"], stored=stored)
