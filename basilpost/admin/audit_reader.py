"""Reads the audit trail: the entries stored in the objects, and the archives since a given day."""

import asyncio
import dataclasses
import datetime
import itertools

from basilpost.admin import audit, proposals
from basilpost.core import clock, codec, failure, kernel, names
from basilpost.members import replica
from basilpost.store import objects

MAX_DAYS = 31
MAX_LINES = 10_000

_READS_AT_ONCE = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Query:
    """Which entries to return.

    Attributes:
        key: Key of one object, empty for all.
        since: First day or time to show, ISO 8601 in UTC; empty reads no archives and shows all
            entries stored in the objects.
    """

    key: str = ""
    since: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Trail:
    """The result of a query, oldest line first.

    Attributes:
        lines: The entries with their keys, at most `MAX_LINES`.
        archives_since: First day whose archives were read, empty if none were.
        complete: False if archives could not be read or there were too many lines.
    """

    lines: tuple[audit.Line, ...]
    archives_since: str = ""
    complete: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class BadSince(failure.Failure):
    """The `since` of a query is not an ISO 8601 time, or further back than `MAX_DAYS` allows."""


class AuditReader:
    """Answers queries of the audit trail from the replica and the object store."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._store = kernel.find(names.OBJECTS, objects.ObjectStore)
        self._replica = kernel.find(names.REPLICA, replica.Replica)
        self._log = kernel.log

    async def read(self, query: Query) -> Trail | BadSince:
        """Returns the entries that match a query, without repeated attempts."""
        days = _days_since(query.since)
        if isinstance(days, BadSince):
            return days
        listings = await self._list_archives(query, days)
        readable = [listing for listing in listings if isinstance(listing, objects.Listing)]
        stored = list(itertools.chain.from_iterable(listing.objects for listing in readable))
        archives = [archive for archive in map(self._decode_archive, stored) if archive is not None]
        lines = [*self._object_lines(query), *_archived_lines(archives, query)]
        matching = audit.merge([line for line in lines if line.entry.at >= query.since])
        return Trail(
            lines=matching[-MAX_LINES:],
            archives_since=days[0] if days else "",
            complete=len(readable) == len(listings)
            and len(archives) == len(stored)
            and len(matching) <= MAX_LINES,
        )

    async def _list_archives(
        self, query: Query, days: list[str]
    ) -> list[objects.Listing | objects.Unavailable]:
        subject = query.key.removeprefix(names.CONFIG_PREFIX)
        read_slots = asyncio.Semaphore(_READS_AT_ONCE)

        async def list_day(day: str) -> objects.Listing | objects.Unavailable:
            async with read_slots:
                prefix = audit.day_prefix(day, subject=subject)
                return await self._store.list(prefix, urgency=objects.Urgency.BACKGROUND)

        return list(await asyncio.gather(*(list_day(day) for day in days)))

    def _decode_archive(self, stored: objects.Stored) -> audit.Archive | None:
        try:
            return codec.from_json(stored.value, audit.Archive)
        except ValueError as error:
            self._log.error("audit_archive_broken", key=stored.key, reason=str(error))
            return None

    def _object_lines(self, query: Query) -> list[audit.Line]:
        return [
            line
            for stored in self._replica.items(query.key or names.CONFIG_PREFIX)
            if not query.key or stored.key == query.key
            for line in audit.lines_of(stored.key, proposals.decode_current(stored).stored.audit)
        ]


def _archived_lines(archives: list[audit.Archive], query: Query) -> list[audit.Line]:
    return [
        line
        for archive in archives
        if not query.key or archive.key == query.key
        for line in audit.lines_of(archive.key, archive.entries)
    ]


def _days_since(since: str) -> list[str] | BadSince:
    """Returns the dates from `since` up to tomorrow, none if `since` is empty."""
    if not since:
        return []
    try:
        first_day = datetime.datetime.fromisoformat(since).date()
    except ValueError:
        return BadSince(reason=f"{since!r} is no ISO 8601 time, such as 2026-01-31")
    today = datetime.date.fromisoformat(audit.day_of(clock.utc_now()))
    # Includes tomorrow: the clock of the node that wrote an entry may be a little ahead.
    count = (today - first_day).days + 2
    if count > MAX_DAYS + 1:
        return BadSince(reason=f"one query goes back at most {MAX_DAYS} days")
    return [
        (first_day + datetime.timedelta(days=offset)).isoformat() for offset in range(max(count, 0))
    ]


def exclude_prefix(trail: Trail, prefix: str) -> Trail:
    """Returns a trail without the lines of objects whose key starts with `prefix`."""
    lines = tuple(line for line in trail.lines if not line.key.startswith(prefix))
    return dataclasses.replace(trail, lines=lines)
