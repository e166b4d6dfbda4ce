"""Implements `store.objects.ObjectStore` over the platform's HTTP object store.

A key is `kind/name`, a prefix is `kind/`, and a value is the JSON text of the object's `spec`. The
platform's revisions become versions that also hold the era of the answer, see `store.eras`.
"""

import json
import typing
import urllib.parse
from typing import Any

import prometheus_client

from basilpost.core import texts, tolerant_json
from basilpost.store import eras, http_calls, objects

# Time for the answer of a watch to arrive after the wait at the server is over.
_WATCH_GRACE_SECONDS = 0.7
_MS_PER_SECOND = 1000
_ROOT = "/api/objects/"
# Number of the store's history in all its answers; it rises by one when the store is restored from a
# copy. Revisions since the copy are then given out again.
_ERA_HEADER = "Store-Era"
# Added to the platform's number, which may begin at 0: that is the era of a store that tells none.
_ERA_OFFSET = 1
_MAX_ERA_DIGITS = 9
_MAX_LOGGED_LENGTH = 80
# Statuses of answers to writes that took no effect.
_NO_EFFECT_STATUSES = frozenset({400, 403, 404, 413, 429, 503})

Write = objects.Written | objects.Conflict | objects.Unavailable | objects.Unknown


class PlatformStore(objects.ObjectStore):
    """Client of the platform's object store at `address`, a `host:port`."""

    def __init__(
        self,
        *,
        address: str,
        log: Any,
        registry: prometheus_client.CollectorRegistry | None = None,
    ) -> None:
        self._log = log
        self._client = http_calls.HttpClient(base_url=f"http://{address}")
        self._calls_total = prometheus_client.Counter(
            "basilpost_store_calls_total",
            "Calls to the platform's store by method, kind of object and status; 0 for no answer",
            ["method", "kind", "status"],
            registry=registry,
        )
        self._restores_total = prometheus_client.Counter(
            "basilpost_store_restores_total",
            "Restores of the platform's store from an older copy that this node has seen",
            registry=registry,
        )
        self.era = 0
        self._has_malformed_era = False

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
        return await self._get(_path(key), key, timeout=timeout)

    async def get_maybe_stale(
        self, key: str, *, timeout: float = 2.0
    ) -> objects.Stored | objects.Missing | objects.Unavailable:
        """Reads one object, possibly seconds old; the platform charges a tenth of a normal read."""
        return await self._get(_path(key) + "?allowStale=1", key, timeout=timeout)

    async def list(
        self,
        prefix: str,
        *,
        timeout: float = 5.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> objects.Listing | objects.Unavailable:
        """Reads all objects of a kind, page by page.

        The listing has the first page's revision, so that a watch from there also reports the
        changes that were made while later pages were read.
        """
        listed: list[objects.Stored] = []
        first_at: int | None = None
        last_name = b""
        while True:
            query = "?" + urllib.parse.urlencode({"sinceRevision": last_name}) if last_name else ""
            reply = await self._read(_path(prefix.rstrip("/")) + query, timeout=timeout)
            page = _page(reply, "items")
            if page is None:
                return objects.Unavailable(reason=f"list {prefix}: {_reason(reply)}")
            era = self._era_of(reply)
            at = eras.version(era=era, revision=page["at"])
            first_at = at if first_at is None else first_at
            if eras.era_of(first_at) != era:
                return objects.Unavailable(
                    reason=f"list {prefix}: the store was restored meanwhile"
                )
            items = [self._stored(prefix, item, era) for item in page["items"]]
            listed += [item for item in items if item is not None]
            if not page.get("hasMore") or not page["items"]:
                return objects.Listing(objects=tuple(listed), revision=first_at)
            # For the next page the platform expects an item's name in `sinceRevision`.
            name = _last_new_name(page["items"], last_name)
            if not name:
                return objects.Unavailable(reason=f"list {prefix}: the page has no new name")
            last_name = name

    async def create(
        self,
        key: str,
        value: bytes,
        *,
        timeout: float = 2.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> Write:
        """Creates an object that must not exist."""
        kind, _, name = key.partition("/")
        body = {"metadata": {"name": name}, "spec": json.loads(value)}
        return await self._write("POST", _path(kind), key, body, timeout)

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
        if self._is_outdated(version):
            return _outdated(key)
        metadata = {"name": key.partition("/")[2], "revision": eras.revision_of(version)}
        body = {"metadata": metadata, "spec": json.loads(value)}
        result = await self._write("PUT", _path(key), key, body, timeout)
        return self._check_condition(key, version, result)

    async def delete(
        self,
        key: str,
        *,
        version: int,
        timeout: float = 2.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> Write:
        """Deletes an object whose version must be `version`."""
        if self._is_outdated(version):
            return _outdated(key)
        path = f"{_path(key)}?revision={eras.revision_of(version)}"
        result = await self._write("DELETE", path, key, None, timeout)
        return self._check_condition(key, version, result)

    async def watch(
        self, prefix: str, *, revision: int, wait: float = 10.0
    ) -> objects.Changes | objects.Expired | objects.Unavailable:
        """Waits up to `wait` seconds for changes of a kind after a revision.

        The platform answers 410 to a revision that it does not have. After a restore it may have given
        the same one out again, which only the era of its answer shows.
        """
        plain_revision = eras.revision_of(revision)
        query = urllib.parse.urlencode(
            {"watch": plain_revision, "waitMs": int(wait * _MS_PER_SECOND)}
        )
        reply = await self._read(
            f"{_path(prefix.rstrip('/'))}?{query}", timeout=wait + _WATCH_GRACE_SECONDS, wait=wait
        )
        if isinstance(reply, http_calls.Reply) and reply.status == 410:
            return objects.Expired(reason=f"watch {prefix}: no history since {plain_revision}")
        body = _page(reply, "events")
        if body is None:
            return objects.Unavailable(reason=f"watch {prefix}: {_reason(reply)}")
        era = self._era_of(reply)
        if era != eras.era_of(revision):
            return objects.Expired(reason=f"watch {prefix}: the store was restored")
        changes = (self._change(prefix, event, era) for event in body["events"])
        return objects.Changes(
            changes=tuple(change for change in changes if change is not None),
            revision=eras.version(era=era, revision=body["at"]),
        )

    async def _get(
        self, path: str, key: str, *, timeout: float
    ) -> objects.Stored | objects.Missing | objects.Unavailable:
        reply = await self._read(path, timeout=timeout)
        if isinstance(reply, http_calls.Reply) and reply.status == 404:
            return objects.Missing(reason=f"no object {key}")
        body = _body(reply)
        prefix = key[: key.index("/") + 1]
        stored = None if body is None else self._stored(prefix, body, self._era_of(reply))
        return stored or objects.Unavailable(reason=f"get {key}: {_reason(reply)}")

    async def _read(
        self, path: str, *, timeout: float, wait: float = 0.0
    ) -> http_calls.Reply | http_calls.NoReply:
        known_era = self.era
        reply = await self._client.read(path, timeout=timeout, wait=wait)
        self._count("GET", path, reply)
        if self.era != known_era and self._era_of(reply) < self.era:
            # The answer was given before the restore that another one has shown meanwhile.
            return http_calls.NoReply(reason="the store was restored meanwhile", sent=True)
        return reply

    def _count(self, method: str, path: str, reply: http_calls.Reply | http_calls.NoReply) -> None:
        kind = path.removeprefix(_ROOT).partition("/")[0].partition("?")[0]
        status = reply.status if isinstance(reply, http_calls.Reply) else 0
        self._calls_total.labels(method, kind, str(status)).inc()
        if isinstance(reply, http_calls.Reply):
            self._note_era(reply)

    def _note_era(self, reply: http_calls.Reply) -> None:
        """Keeps the latest era, and logs when an answer shows that the store was restored."""
        era = self._told_era(reply)
        if era is None or era <= self.era:
            return
        if self.era:
            self._restores_total.inc()
            told = {"era": era - _ERA_OFFSET, "before": self.era - _ERA_OFFSET}
            self._log.warning("store_restored", **told)
        self.era = era

    def _era_of(self, reply: http_calls.Reply | http_calls.NoReply) -> int:
        """Returns the era of an answer; one that names none counts as of the latest era."""
        era = None if isinstance(reply, http_calls.NoReply) else self._told_era(reply)
        return self.era if era is None else era

    def _told_era(self, reply: http_calls.Reply) -> int | None:
        """Returns the era that an answer names, None if it names no valid one."""
        text = reply.headers.get(_ERA_HEADER, "")
        is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_ERA_DIGITS
        if is_number and int(text) + _ERA_OFFSET <= eras.MAX_ERA:
            return int(text) + _ERA_OFFSET
        if text and not self._has_malformed_era:
            self._has_malformed_era = True
            self._log.warning("store_era_malformed", value=text[:_MAX_LOGGED_LENGTH])
        return None

    def _is_outdated(self, version: int) -> bool:
        """Returns True if the store was restored since an object was read, whose revision then
        belongs to another history."""
        return eras.era_of(version) < self.era

    def _check_condition(self, key: str, version: int, result: Write) -> Write:
        """Returns the result of a write; unknown if the store was restored before it was done.

        Its condition then held for a revision that was given out again.
        """
        if isinstance(result, objects.Written) and eras.era_of(result.version) > eras.era_of(
            version
        ):
            return objects.Unknown(reason=f"{key}: the store was restored meanwhile")
        return result

    async def _write(self, method: str, path: str, key: str, body: Any, timeout: float) -> Write:
        call = http_calls.Call(
            method=method,
            path=path,
            headers={"Content-Type": "application/json"},
            body=b"" if body is None else json.dumps(body).encode(),
        )
        reply = await self._client.write(call, timeout=timeout)
        self._count(method, path, reply)
        if isinstance(reply, http_calls.NoReply):
            kind = objects.Unknown if reply.sent else objects.Unavailable
            return kind(reason=f"{method} {key}: {reply.reason}")
        reason = f"{method} {key}: status {reply.status}"
        if reply.status in (200, 201):
            written = _body(http_calls.Reply(status=200, body=reply.body))
            revision = _revision_of(written) or 0
            return objects.Written(version=eras.version(era=self._era_of(reply), revision=revision))
        if reply.status in (404, 409):
            return objects.Conflict(reason=reason)
        if reply.status in _NO_EFFECT_STATUSES:
            return objects.Unavailable(reason=reason)
        return objects.Unknown(reason=reason)

    def _stored(self, prefix: str, raw: Any, era: int) -> objects.Stored | None:
        """Decodes an object; logs one without a usable name or revision and returns None."""
        name, revision = _name_of(raw), _revision_of(raw)
        if not name or revision is None:
            reason = "object has no usable name or revision"
            self._log.warning("malformed_object", key=prefix, revision=None, reason=reason)
            return None
        return objects.Stored(
            key=prefix + name,
            value=_spec_of(raw),
            version=eras.version(era=era, revision=revision),
        )

    def _change(self, prefix: str, raw: Any, era: int) -> objects.Change | None:
        stored = self._stored(prefix, raw.get("object") if isinstance(raw, dict) else None, era)
        if stored is None:
            return None
        removed = bool(raw.get("removed"))
        return objects.Change(
            key=stored.key, version=stored.version, stored=None if removed else stored
        )


def _outdated(key: str) -> objects.Conflict:
    return objects.Conflict(reason=f"{key}: the store was restored since the object was read")


def _body(reply: http_calls.Reply | http_calls.NoReply) -> Any:
    """Returns the decoded JSON of an answer with status 200, None for any other answer."""
    if isinstance(reply, http_calls.NoReply) or reply.status != 200:
        return None
    try:
        return tolerant_json.loads(reply.body)
    except ValueError:
        return None


def _page(reply: http_calls.Reply | http_calls.NoReply, field: str) -> dict[str, Any] | None:
    """Returns the body of an answer with a list and the revision that it is of, else None."""
    body = _body(reply)
    if not isinstance(body, dict) or not isinstance(body.get(field), list):
        return None
    return body if _is_revision(body.get("at")) else None


def _name_of(raw: Any) -> str:
    """Returns the name of an object, empty if it has none of use."""
    name = _given_name(raw)
    return name if texts.is_plain(name) else ""


def _given_name(raw: Any) -> str:
    """Returns the name of an object as the store gave it, empty without one."""
    metadata = raw.get("metadata") if isinstance(raw, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    return name if isinstance(name, str) else ""


def _last_new_name(items: list[Any], known: bytes) -> bytes:
    """Returns the name of an item after which the next page begins, empty if the page has no new one.

    It is the last usable name. Items of other writers may have unusable ones, which the store may not
    take in a query; one of them is returned only if the page has no others.
    """
    usable = (_name_of(item).encode() for item in reversed(items))
    given = (_encode_name(_given_name(item)) for item in reversed(items))
    return next((name for name in (*usable, *given) if name and name != known), b"")


def _encode_name(name: str) -> bytes:
    try:
        # `tolerant_json` reads bytes that are not UTF-8 as such surrogates.
        return name.encode(errors="surrogateescape")
    except UnicodeEncodeError:
        return b""


def _revision_of(raw: Any) -> int | None:
    """Returns the revision of an object, None if it has none of use."""
    metadata = raw.get("metadata") if isinstance(raw, dict) else None
    revision = metadata.get("revision") if isinstance(metadata, dict) else None
    return revision if _is_revision(revision) else None


def _is_revision(value: Any) -> typing.TypeGuard[int]:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return is_integer and 0 <= value < 1 << eras.REVISION_BITS


def _spec_of(raw: dict[str, Any]) -> bytes:
    """Returns the JSON text of an object's content, null if it is nested too deeply."""
    try:
        return json.dumps(raw.get("spec")).encode()
    except (RecursionError, ValueError):
        return b"null"


def _reason(reply: http_calls.Reply | http_calls.NoReply) -> str:
    return reply.reason if isinstance(reply, http_calls.NoReply) else f"status {reply.status}"


def _path(key: str) -> str:
    return _ROOT + urllib.parse.quote(key)
