"""Reads and writes the tables of groups in the object store.

One object holds all groups of a fabric domain, so one conditional update decides which group each VM
belongs to. The outcome of a write can be unknown; the writer then reads again and recognises its own
change by its attempt id.
"""

import dataclasses
import uuid

from basilpost.core import codec, data, failure, names
from basilpost.members import replica
from basilpost.store import objects

NO_VERSION = 0
_REREADS = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionedTable:
    """A table and the version of the object that holds it; version 0 stands for no object."""

    table: data.FabricTable
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Superseded(failure.Failure):
    """Another writer changed the table first; read it again."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unconfirmed(failure.Failure):
    """Nobody knows yet whether the write took effect, or the store cannot be read."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Malformed(failure.Failure):
    """The object is no table that this program understands; it is left alone."""


def key_of(fabric_domain: str) -> str:
    """Returns the key of a fabric domain's table."""
    return names.FABRIC_PREFIX + fabric_domain


def decode(stored: objects.Stored) -> VersionedTable | Malformed:
    """Decodes a stored table."""
    try:
        table = codec.from_json(stored.value, data.FabricTable)
    except ValueError as error:
        return Malformed(reason=f"{stored.key} version {stored.version}: {error}")
    return VersionedTable(table=table, version=stored.version)


async def read(
    store: objects.ObjectStore, fabric_domain: str, *, timeout: float = 2.0
) -> VersionedTable | Unconfirmed | Malformed:
    """Reads a fabric domain's table; a domain without an object has an empty one."""
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
    """Replaces the table whose version must be `version` and puts it in force on this node.

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
        return await _recognise(store, known_objects, attempt, version=version, timeout=timeout)
    if isinstance(result, objects.Conflict):
        return Superseded(reason=result.reason)
    if isinstance(result, objects.Unavailable):
        return Unconfirmed(reason=result.reason)
    written = VersionedTable(table=attempt, version=result.version)
    return _in_force(known_objects, written, value)


async def _recognise(
    store: objects.ObjectStore,
    known_objects: replica.Replica,
    attempt: data.FabricTable,
    *,
    version: int,
    timeout: float,
) -> VersionedTable | Superseded | Unconfirmed:
    for _ in range(_REREADS):
        found = await read(store, attempt.fabric_domain, timeout=timeout)
        if not isinstance(found, Unconfirmed):
            break
    if isinstance(found, Unconfirmed | Malformed):
        return Unconfirmed(reason=found.reason)
    if found.table.attempt_id == attempt.attempt_id:
        return _in_force(known_objects, found, codec.to_json(attempt))
    if found.version == version:
        return Unconfirmed(reason=f"{attempt.fabric_domain}: the write may still take effect")
    return Superseded(reason=f"{attempt.fabric_domain}: found version {found.version}")


def _in_force(
    known_objects: replica.Replica, written: VersionedTable, value: bytes
) -> VersionedTable:
    key = key_of(written.table.fabric_domain)
    stored = objects.Stored(key=key, value=value, version=written.version)
    known_objects.offer(objects.Change(key=key, version=written.version, stored=stored))
    return written
