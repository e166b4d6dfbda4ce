"""Reads and writes the tables of fabric domains in the object store.

One object holds all groups of a fabric domain, so a single conditional update decides which group
each VM belongs to. If the outcome of a write is unknown, the writer reads the table again and
recognises its own change by the attempt id.
"""

import dataclasses
import uuid

from basilpost.core import codec, data, failure, names
from basilpost.members import replica
from basilpost.store import objects

NO_VERSION = 0
# Reads of a table at most, to find out whether an unconfirmed write took effect.
_MAX_REREADS = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionedTable:
    """A table and the version of its object; version 0 means that there is no object yet."""

    table: data.FabricTable
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Superseded(failure.Failure):
    """Another writer changed the table first; read it again."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unconfirmed(failure.Failure):
    """It is unknown whether the write took effect, or the store could not be read."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Malformed(failure.Failure):
    """The stored object cannot be decoded as a table; it is neither used nor overwritten."""


def key_of(fabric_domain: str) -> str:
    """Returns the object key of a fabric domain's table."""
    return names.FABRIC_PREFIX + fabric_domain


def decode(stored: objects.Stored) -> VersionedTable | Malformed:
    """Returns the table in a stored object, or why it cannot be decoded."""
    try:
        table = codec.from_json(stored.value, data.FabricTable)
    except ValueError as error:
        return Malformed(reason=f"{stored.key} version {stored.version}: {error}")
    return VersionedTable(table=table, version=stored.version)


async def read(
    store: objects.ObjectStore, fabric_domain: str, *, timeout: float = 2.0
) -> VersionedTable | Unconfirmed | Malformed:
    """Returns a fabric domain's table from the store; an empty one if it has no object."""
    found = await store.get(key_of(fabric_domain), timeout=timeout, urgency=objects.Urgency.SAFETY)
    if isinstance(found, objects.Unavailable):
        return Unconfirmed(reason=found.reason)
    if isinstance(found, objects.Missing):
        return VersionedTable(
            table=data.FabricTable(fabric_domain=fabric_domain), version=NO_VERSION
        )
    return decode(found)


async def write(
    store: objects.ObjectStore,
    known_objects: replica.Replica,
    table: data.FabricTable,
    *,
    version: int,
    timeout: float = 2.0,
) -> VersionedTable | Superseded | Unconfirmed:
    """Replaces the table, if its version is still `version`, and puts it in force on this node.

    Returns:
        The confirmed table, or why it was not confirmed. A write that is not confirmed may still
        take effect later; the caller reads again before it acts on any table.
    """
    attempt = dataclasses.replace(table, attempt_id=uuid.uuid4().hex)
    key = key_of(table.fabric_domain)
    value = codec.to_json(attempt)
    urgency = objects.Urgency.SAFETY
    if version == NO_VERSION:
        result = await store.create(key, value, timeout=timeout, urgency=urgency)
    else:
        result = await store.update(key, value, version=version, timeout=timeout, urgency=urgency)
    if isinstance(result, objects.Unknown):
        return await _find_own_write(
            store, known_objects, attempt, version=version, timeout=timeout
        )
    if isinstance(result, objects.Conflict):
        return Superseded(reason=result.reason)
    if isinstance(result, objects.Unavailable):
        return Unconfirmed(reason=result.reason)
    written = VersionedTable(table=attempt, version=result.version)
    return _put_in_force(known_objects, written, value)


async def _find_own_write(
    store: objects.ObjectStore,
    known_objects: replica.Replica,
    attempt: data.FabricTable,
    *,
    version: int,
    timeout: float,
) -> VersionedTable | Superseded | Unconfirmed:
    for _ in range(_MAX_REREADS):
        current = await read(store, attempt.fabric_domain, timeout=timeout)
        if not isinstance(current, Unconfirmed):
            break
    if isinstance(current, Unconfirmed | Malformed):
        return Unconfirmed(reason=current.reason)
    if current.table.attempt_id == attempt.attempt_id:
        return _put_in_force(known_objects, current, codec.to_json(attempt))
    if current.version == version:
        return Unconfirmed(reason=f"{attempt.fabric_domain}: the write may still take effect")
    return Superseded(reason=f"{attempt.fabric_domain}: found version {current.version}")


def _put_in_force(
    known_objects: replica.Replica, written: VersionedTable, value: bytes
) -> VersionedTable:
    key = key_of(written.table.fabric_domain)
    stored = objects.Stored(key=key, value=value, version=written.version)
    known_objects.offer(objects.Change(key=key, version=written.version, stored=stored))
    return written
