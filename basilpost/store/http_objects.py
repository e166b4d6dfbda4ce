"""The object API over HTTP.

The adapter decides the one thing that callers cannot see: whether a write that got no answer may
have been sent. A request whose first byte never left is refused; any later silence is unknown.
"""

import asyncio
import dataclasses
import json
import urllib.parse
from collections.abc import Callable
from typing import Any

from tornado import httpclient

from basilpost.store import objects

_MAX_CONNECTIONS = 1000
_MAX_ANSWER_BYTES = 256_000_000
_WATCH_GRACE_SECONDS = 2.0

_REFUSED_STATUSES = frozenset({400, 401, 403, 429})
_CONFLICT_STATUSES = frozenset({404, 412, 413})

Write = objects.Written | objects.Conflict | objects.Unavailable | objects.Unknown


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Reply:
    """An HTTP answer."""

    status: int
    body: Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class _NoReply:
    """No usable answer came; `sent` tells whether the request may have reached the store."""

    reason: str
    sent: bool


class HttpObjectStore(objects.ObjectStore):
    """Talks to an object API at a base URL such as `http://10.0.0.5:8000`."""

    def __init__(self, *, base_url: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=_MAX_CONNECTIONS, max_body_size=_MAX_ANSWER_BYTES
        )

    def close(self) -> None:
        """Frees the client; calls under way fail."""
        self._client.close()

    async def get(
        self,
        key: str,
        *,
        timeout: float = 2.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> objects.Stored | objects.Missing | objects.Unavailable:
        """Reads one object."""
        reply = await self._call("GET", _path(key), timeout=timeout)
        if isinstance(reply, _Reply) and reply.status == 200:
            return _stored(reply.body)
        if isinstance(reply, _Reply) and reply.status == 404:
            return objects.Missing(reason=f"no object {key}")
        return objects.Unavailable(reason=f"get {key}: {_describe(reply)}")

    async def list(
        self,
        prefix: str,
        *,
        timeout: float = 5.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> objects.Listing | objects.Unavailable:
        """Reads all objects below a prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        reply = await self._call("GET", f"/v1/objects?{query}", timeout=timeout)
        if not isinstance(reply, _Reply) or reply.status != 200:
            return objects.Unavailable(reason=f"list {prefix}: {_describe(reply)}")
        found = tuple(_stored(one) for one in reply.body["objects"])
        return objects.Listing(objects=found, revision=reply.body["revision"])

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
        reply = await self._call("GET", f"/v1/watch?{query}", timeout=wait + _WATCH_GRACE_SECONDS)
        if isinstance(reply, _Reply) and reply.status == 410:
            return objects.Expired(reason=f"watch {prefix}: revision {revision} is too old")
        if not isinstance(reply, _Reply) or reply.status != 200:
            return objects.Unavailable(reason=f"watch {prefix}: {_describe(reply)}")
        changes = tuple(_change(one) for one in reply.body["changes"])
        return objects.Changes(changes=changes, revision=reply.body["revision"])

    async def _write(
        self, method: str, key: str, value: bytes, condition: dict[str, str], timeout: float
    ) -> Write:
        reply = await self._call(method, _path(key), timeout=timeout, body=value, headers=condition)
        reason = f"{method} {key}: {_describe(reply)}"
        if isinstance(reply, _NoReply):
            kind = objects.Unknown if reply.sent else objects.Unavailable
            return kind(reason=reason)
        if reply.status == 200:
            return objects.Written(version=reply.body["version"])
        if reply.status in _CONFLICT_STATUSES:
            return objects.Conflict(reason=reason)
        if reply.status in _REFUSED_STATUSES:
            return objects.Unavailable(reason=reason)
        return objects.Unknown(reason=reason)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        timeout: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> _Reply | _NoReply:
        """Makes one call; the body's producer runs right after the request's first byte is sent."""
        sent = False

        def produce(write: Callable[[bytes], None]) -> asyncio.Future[None]:
            nonlocal sent
            sent = True
            if body:
                write(body)
            written = asyncio.get_running_loop().create_future()
            written.set_result(None)
            return written

        request = httpclient.HTTPRequest(
            self._base_url + path,
            method=method,
            headers={**(headers or {}), "Content-Length": str(len(body or b""))},
            body_producer=produce,
            connect_timeout=timeout,
            request_timeout=timeout,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
            return _Reply(status=response.code, body=_decode(response.code, response.body))
        except (OSError, httpclient.HTTPError, ValueError) as error:
            return _NoReply(reason=repr(error), sent=sent)


def _decode(status: int, body: bytes) -> Any:
    return json.loads(body) if status == 200 else None


def _path(key: str) -> str:
    return "/v1/objects/" + urllib.parse.quote(key)


def _describe(reply: _Reply | _NoReply) -> str:
    return reply.reason if isinstance(reply, _NoReply) else f"status {reply.status}"


def _stored(raw: dict[str, Any]) -> objects.Stored:
    return objects.Stored(key=raw["key"], value=raw["value"].encode(), version=raw["version"])


def _change(raw: dict[str, Any]) -> objects.Change:
    stored = None if raw["value"] is None else _stored(raw)
    return objects.Change(key=raw["key"], version=raw["version"], stored=stored)
