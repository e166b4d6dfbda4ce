"""The audit trail: which changes stay with their object, and where the older ones go.

An entry is part of the write that it describes, so a change without an entry, or an entry without
a change, cannot exist. Before entries roll off an object they are copied to an archive object;
a change that then fails leaves a copy behind, so readers drop repeated attempt ids. Few entries stay,
because an object travels to every node, and stays in its memory, with all entries that it has.
"""

import dataclasses
import datetime

from basilpost.core import codec, data, names

AUDIT_PREFIX = "audit/"
KEPT_ENTRIES = 8
MAX_OBJECT_BYTES = 600_000

_DAY_CHARACTERS = len("2026-01-31")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Archive:
    """Entries that have rolled off an object, oldest first.

    Attributes:
        key: Key of the object that the entries are about.
        entries: The entries.
    """

    key: str
    entries: tuple[data.AuditEntry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rolled:
    """An object ready to be written and the archive that has to exist before, if any."""

    stored: data.ConfigObject
    archive: Archive | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Line:
    """An audit entry with the key of the object it is about."""

    key: str
    entry: data.AuditEntry


def roll(key: str, value: str, entries: tuple[data.AuditEntry, ...]) -> Rolled:
    """Keeps the latest entries with the object, within the store's limit, and archives the rest."""
    kept = entries
    if len(kept) > KEPT_ENTRIES:
        kept = kept[len(kept) // 2 :]
    stored = data.ConfigObject(value=value, audit=kept)
    while len(kept) > 1 and len(codec.to_json(stored)) > MAX_OBJECT_BYTES:
        kept = kept[len(kept) // 2 :]
        stored = data.ConfigObject(value=value, audit=kept)
    rolled_off = entries[: len(entries) - len(kept)]
    archive = Archive(key=key, entries=rolled_off) if rolled_off else None
    return Rolled(stored=stored, archive=archive)


def may_have_archive(stored: data.ConfigObject) -> bool:
    """Returns False if the entries surely begin with the object's first one."""
    if not stored.audit:
        return False
    return bool(stored.audit[0].before) or len(stored.audit) >= KEPT_ENTRIES // 2


def archive_key(archive: Archive) -> str:
    """Returns the store key of an archive: by the day of its newest entry, then by object.

    The key follows from the entries alone, so writing the same archive twice makes one object.
    """
    newest = archive.entries[-1]
    subject = archive.key.removeprefix(names.CONFIG_PREFIX)
    return f"{day_prefix(day_of(newest.at))}{subject}/{newest.attempt_id}"


def day_prefix(day: str, *, subject: str = "") -> str:
    """Returns the prefix of all archives of a day, or of those about one object."""
    return f"{AUDIT_PREFIX}{day}/{subject}/" if subject else f"{AUDIT_PREFIX}{day}/"


def day_of(at: str) -> str:
    """Returns the day of an entry's time."""
    return at[:_DAY_CHARACTERS]


def day_before(at: str) -> str:
    """Returns the day before an entry's time."""
    day = datetime.date.fromisoformat(day_of(at))
    return (day - datetime.timedelta(days=1)).isoformat()


def lines_of(key: str, entries: tuple[data.AuditEntry, ...]) -> tuple[Line, ...]:
    """Returns an object's entries as lines of the trail."""
    return tuple(Line(key=key, entry=entry) for entry in entries)


def merge(lines: list[Line]) -> tuple[Line, ...]:
    """Orders lines by time and drops copies of the same attempt."""
    lines_by_attempt = {(line.key, line.entry.attempt_id): line for line in lines}
    return tuple(sorted(lines_by_attempt.values(), key=lambda line: (line.entry.at, line.key)))
