"""The audit trail: the latest entries are stored in the changed object, older ones in archives.

An entry is part of the write that it describes, so neither exists without the other. Entries are
copied to an archive object before they are removed from the changed object. If the change fails
after that, the copy remains, so readers drop repeated attempt ids. An object keeps few entries
because it is replicated, with all of them, into the memory of every node.
"""

import dataclasses
import datetime

from basilpost.core import codec, data, names

AUDIT_PREFIX = "audit/"
MAX_KEPT_ENTRIES = 8
MAX_OBJECT_BYTES = 600_000

_DAY_CHARACTERS = len("2026-01-31")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Archive:
    """Entries that were moved out of an object, oldest first.

    Attributes:
        key: Key of the object that the entries are about.
        entries: The audit entries, one for each change of the object.
    """

    key: str
    entries: tuple[data.AuditEntry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ObjectUpdate:
    """An object ready to be written, and the archive to write before it, if any."""

    stored: data.ConfigObject
    archive: Archive | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Line:
    """An audit entry with the key of the changed object."""

    key: str
    entry: data.AuditEntry


def rotate(key: str, value: str, entries: tuple[data.AuditEntry, ...]) -> ObjectUpdate:
    """Keeps the latest entries in the object, within the size limit, and archives the rest."""
    kept = entries
    if len(kept) > MAX_KEPT_ENTRIES:
        kept = kept[len(kept) // 2 :]
    stored = data.ConfigObject(value=value, audit=kept)
    while len(kept) > 1 and len(codec.to_json(stored)) > MAX_OBJECT_BYTES:
        kept = kept[len(kept) // 2 :]
        stored = data.ConfigObject(value=value, audit=kept)
    archived = entries[: len(entries) - len(kept)]
    archive = Archive(key=key, entries=archived) if archived else None
    return ObjectUpdate(stored=stored, archive=archive)


def may_have_archive(stored: data.ConfigObject) -> bool:
    """Returns False only if the object certainly still has all entries since its creation."""
    if not stored.audit:
        return False
    return bool(stored.audit[0].before) or len(stored.audit) >= MAX_KEPT_ENTRIES // 2


def archive_key(archive: Archive) -> str:
    """Returns the store key of an archive: day of the newest entry, object, attempt id.

    The key depends only on the entries, so writing the same archive twice makes one object.
    """
    newest = archive.entries[-1]
    subject = archive.key.removeprefix(names.CONFIG_PREFIX)
    return f"{day_prefix(day_of(newest.at))}{subject}/{newest.attempt_id}"


def day_prefix(day: str, *, subject: str = "") -> str:
    """Returns the key prefix of the archives of a day, of one object if `subject` is given."""
    return f"{AUDIT_PREFIX}{day}/{subject}/" if subject else f"{AUDIT_PREFIX}{day}/"


def day_of(at: str) -> str:
    """Returns the date part of an ISO 8601 time."""
    return at[:_DAY_CHARACTERS]


def day_before(at: str) -> str:
    """Returns the date of the day before an ISO 8601 time."""
    day = datetime.date.fromisoformat(day_of(at))
    return (day - datetime.timedelta(days=1)).isoformat()


def lines_of(key: str, entries: tuple[data.AuditEntry, ...]) -> tuple[Line, ...]:
    """Pairs each entry of an object with the key of the object."""
    return tuple(Line(key=key, entry=entry) for entry in entries)


def merge(lines: list[Line]) -> tuple[Line, ...]:
    """Orders lines by time and drops copies of the same attempt."""
    lines_by_attempt = {(line.key, line.entry.attempt_id): line for line in lines}
    return tuple(sorted(lines_by_attempt.values(), key=lambda line: (line.entry.at, line.key)))
