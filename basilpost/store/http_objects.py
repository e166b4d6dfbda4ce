"""The object API over HTTP.

A write that got no answer is `Unavailable` if no connection was opened, so that nothing was sent,
and `Unknown` in all other cases.
"""

import dataclasses
import json
import urllib.parse
from typing import Any

from basilpost.store import http_calls, objects

# Time for the answer of a watch to arrive after the wait at the server is over.
_WATCH_GRACE_SECONDS = 2.0

# Statuses with which the API rejects a call before it takes effect.
_REFUSED_STATUSES = frozenset({400, 401, 403, 429})
_NO_STATUS = 0
_CONFLICT_STATUSES = frozenset({404, 412, 413})

Write = objects.Written | objects.Conflict | objects.Unavailable | objects.Unknown


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Answer:
    """An answer with its decoded body; `status` is 0 if no usable answer arrived."""

    status: int
    reason: str
    body: Any = None


class HttpObjectStore(objects.ObjectStore):
    """Client of an object API at a base URL such as `http://10.0.0.5:8000`."""

    def __init__(self, *, base_url: str) -> None:
        self._client = http_calls.HttpClient(base_url=base_url)

    def close(self) -> None:
        """Closes the connections that are kept for reuse."""
        self._client.close()

    async def get(
        self,
        key: str,
        *,
        timeout: float = 2.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> objects.Stored | objects.Missing | objects.Unavailable:
        """Reads one object."""
        answer = await self._read(_path(key), timeout=timeout)
        if answer.status == 200:
            return _stored(answer.body)
        if answer.status == 404:
            return objects.Missing(reason=f"no object {key}")
        return objects.Unavailable(reason=f"get {key}: {answer.reason}")

    async def list(
        self,
        prefix: str,
        *,
        timeout: float = 5.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> objects.Listing | objects.Unavailable:
        """Reads all objects below a prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        answer = await self._read(f"/v1/objects?{query}", timeout=timeout)
        if answer.status != 200:
            return objects.Unavailable(reason=f"list {prefix}: {answer.reason}")
        listed = tuple(_stored(item) for item in answer.body["objects"])
        return objects.Listing(objects=listed, revision=answer.body["revision"])

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
        answer = await self._read(f"/v1/watch?{query}", timeout=timeout, wait=wait)
        if answer.status == 410:
            return objects.Expired(reason=f"watch {prefix}: revision {revision} is too old")
        if answer.status != 200:
            return objects.Unavailable(reason=f"watch {prefix}: {answer.reason}")
        changes = tuple(_change(item) for item in answer.body["changes"])
        return objects.Changes(changes=changes, revision=answer.body["revision"])

    async def _read(self, path: str, *, timeout: float, wait: float = 0.0) -> _Answer:
        reply = await self._client.read(path, timeout=timeout, wait=wait)
        if isinstance(reply, http_calls.NoReply):
            return _Answer(status=_NO_STATUS, reason=reply.reason)
        return _decode(reply)

    async def _write(
        self, method: str, key: str, value: bytes, condition: dict[str, str], timeout: float
    ) -> Write:
        call = http_calls.Call(method=method, path=_path(key), headers=condition, body=value)
        reply = await self._client.write(call, timeout=timeout)
        if isinstance(reply, http_calls.NoReply):
            kind = objects.Unknown if reply.sent else objects.Unavailable
            return kind(reason=reply.reason)
        answer = _decode(reply)
        reason = f"{method} {key}: {answer.reason}"
        if answer.status == 200:
            return objects.Written(version=answer.body["version"])
        if answer.status in _CONFLICT_STATUSES:
            return objects.Conflict(reason=reason)
        if answer.status in _REFUSED_STATUSES:
            return objects.Unavailable(reason=reason)
        return objects.Unknown(reason=reason)


def _decode(reply: http_calls.Reply) -> _Answer:
    """Decodes an answer; one with status 200 whose body is not JSON counts as no answer."""
    reason = f"status {reply.status}"
    if reply.status != 200:
        return _Answer(status=reply.status, reason=reason)
    try:
        return _Answer(status=reply.status, reason=reason, body=json.loads(reply.body))
    except ValueError as error:
        return _Answer(status=_NO_STATUS, reason=f"the answer is not JSON: {error!r}")


def _path(key: str) -> str:
    return "/v1/objects/" + urllib.parse.quote(key)


def _stored(raw: dict[str, Any]) -> objects.Stored:
    return objects.Stored(key=raw["key"], value=raw["value"].encode(), version=raw["version"])


def _change(raw: dict[str, Any]) -> objects.Change:
    stored = None if raw["value"] is None else _stored(raw)
    return objects.Change(key=raw["key"], version=raw["version"], stored=stored)
