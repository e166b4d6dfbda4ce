"""Accepts changes of configuration objects, each by one conditional update of the object store.

Of operators who race for the same version exactly one wins. An answer that the store did not give
is settled by re-reading and by repeating the same conditional write: either it lands once, or the
version has moved on and it never can. Only a confirmed write is called accepted.
"""

import asyncio
from collections.abc import Iterable

import prometheus_client

from basilpost.admin import audit, audit_reader, proposals
from basilpost.core import clock, codec, data, kernel, names
from basilpost.members import directory, replica
from basilpost.settings import configuration, references
from basilpost.store import objects

MAX_VALUE_BYTES = 64_000

_SETTLE_SECONDS = 10.0
_FIRST_PAUSE_SECONDS = 0.05
_LONGEST_PAUSE_SECONDS = 1.0
_SECONDS_BUCKETS = (0.005, 0.02, 0.1, 0.5, 2.0, 5.0, 10.0, 20.0)


class Changes:
    """Accepts changes on one node."""

    def __init__(self, *, kernel: kernel.Kernel, bootstrap_digest: str) -> None:
        self._node_id = kernel.node_id
        self._has_bootstrap = bool(bootstrap_digest)
        self._decided = prometheus_client.Counter(
            "basilpost_changes_total",
            "Changes of configuration objects that operators asked for, by kind and result",
            ["kind", "result"],
            registry=kernel.registry,
        )
        self._seconds = prometheus_client.Histogram(
            "basilpost_change_seconds",
            "Time until a change was decided",
            buckets=_SECONDS_BUCKETS,
            registry=kernel.registry,
        )
        self._log = kernel.log
        self._trail = audit_reader.AuditReader(kernel=kernel)
        self._store = kernel.find(names.OBJECTS, objects.ObjectStore)
        self._replica = kernel.find(names.REPLICA, replica.Replica)
        self._directory = kernel.find(names.DIRECTORY, directory.Directory)

    async def read(
        self, kind: configuration.Kind, name: str
    ) -> proposals.Current | proposals.NotWritten:
        """Reads an object from the store, or from the replica if that knows a newer version."""
        key = kind.key(name)
        found = await self._store.get(key)
        if isinstance(found, objects.Unavailable):
            return proposals.NotWritten(reason=f"{key} could not be read: {found.reason}")
        if isinstance(found, objects.Stored):
            self._replica.offer(objects.Change(key=key, version=found.version, stored=found))
        known = self._replica.get(key)
        return proposals.decode_current(known)

    async def accept(self, proposal: proposals.Proposal) -> proposals.Result:
        """Checks a change and writes it; returns only what is known for certain."""
        began = clock.monotonic()
        result = await self._accept(proposal)
        outcome = type(result).__name__
        self._seconds.observe(clock.monotonic() - began)
        self._decided.labels(kind=proposal.kind.name, result=outcome).inc()
        self._log.info(
            "change_decided",
            key=proposal.key,
            actor=proposal.actor,
            attempt=proposal.attempt_id,
            result=outcome,
        )
        return result

    async def _accept(self, proposal: proposals.Proposal) -> proposals.Result:
        record = _decode(proposal)
        if isinstance(record, configuration.Problems):
            return record
        current = await self.read(proposal.kind, proposal.name)
        if isinstance(current, proposals.NotWritten):
            return current
        after = "" if record is None else codec.to_json(record).decode()
        refused = await self._refuse(proposal, record, current, after)
        if refused is not None:
            return refused
        rolled = self._roll(proposal, current, after)
        if rolled.archive is not None and not await self._archived(rolled.archive):
            return proposals.NotWritten(
                reason=f"the audit archive of {proposal.key} could not be written"
            )
        return await self._write(proposal, current, codec.to_json(rolled.stored), after)

    async def _refuse(
        self,
        proposal: proposals.Proposal,
        record: configuration.Record | None,
        current: proposals.Current,
        after: str,
    ) -> proposals.Result | None:
        """Returns the answer of a change that needs no write, None if it has to be written."""
        earlier = _earlier(proposal, current, after)
        if earlier is not None:
            return earlier
        if proposal.expected != current.shown_version:
            return await self._decide_lost(proposal, current, after)
        if record is None and not current.exists:
            return proposals.Absent(reason=f"there is no {proposal.key}")
        if after == current.stored.value:
            return proposals.Accepted(
                key=proposal.key,
                version=current.version or 0,
                attempt_id=proposal.attempt_id,
                changed=False,
            )
        return self._check_others(proposal, record)

    def _check_others(
        self, proposal: proposals.Proposal, record: configuration.Record | None
    ) -> configuration.Problems | None:
        config = self._directory.config()
        errors = (
            references.check_removal(proposal.kind, proposal.name, config)
            if record is None
            else references.check_references(record, config)
        )
        if proposal.kind is configuration.OPERATORS and not self._has_bootstrap:
            errors += references.check_administrators(proposal.name, record, config)
        if not errors:
            return None
        return configuration.Problems(
            reason=f"{proposal.key} does not fit the configuration", errors=errors
        )

    def _roll(
        self, proposal: proposals.Proposal, current: proposals.Current, after: str
    ) -> audit.Rolled:
        entry = data.AuditEntry(
            at=clock.utc_now(),
            actor=proposal.actor,
            node_id=self._node_id,
            reason=proposal.reason,
            before=current.stored.value,
            after=after,
            attempt_id=proposal.attempt_id,
        )
        return audit.roll(proposal.key, after, (*current.stored.audit, entry))

    async def _archived(self, archive: audit.Archive) -> bool:
        """Writes an archive; one that exists already has the same entries."""
        key = audit.archive_key(archive)
        answer = await self._store.create(key, codec.to_json(archive))
        if isinstance(answer, objects.Unknown):
            return isinstance(await self._store.get(key), objects.Stored)
        return isinstance(answer, objects.Written | objects.Conflict)

    async def _write(
        self, proposal: proposals.Proposal, current: proposals.Current, value: bytes, after: str
    ) -> proposals.Result:
        """Repeats one conditional write until it is known to have landed or to be impossible."""
        deadline = clock.monotonic() + _SETTLE_SECONDS
        pause = _FIRST_PAUSE_SECONDS
        uncertain = False
        while True:
            answer = await self._write_once(proposal.key, value, current.version)
            if isinstance(answer, objects.Written):
                return self._confirm(proposal, value, answer.version)
            if isinstance(answer, objects.Unavailable) and not uncertain:
                return proposals.NotWritten(
                    reason=f"{proposal.key} was not written: {answer.reason}"
                )
            uncertain = uncertain or isinstance(answer, objects.Unknown)
            settled = await self._settle(proposal, current, after)
            if settled is not None:
                return settled
            if clock.monotonic() + pause >= deadline:
                return _give_up(proposal, uncertain)
            await asyncio.sleep(pause)
            pause = min(2 * pause, _LONGEST_PAUSE_SECONDS)

    async def _write_once(
        self, key: str, value: bytes, version: int | None
    ) -> objects.Written | objects.Conflict | objects.Unavailable | objects.Unknown:
        if version is None:
            return await self._store.create(key, value)
        return await self._store.update(key, value, version=version)

    async def _settle(
        self, proposal: proposals.Proposal, based_on: proposals.Current, after: str
    ) -> proposals.Result | None:
        """Re-reads the object; returns None while it is still at the version written against."""
        current = await self.read(proposal.kind, proposal.name)
        if isinstance(current, proposals.NotWritten):
            return None
        earlier = _earlier(proposal, current, after)
        if earlier is not None or current.version == based_on.version:
            return earlier
        return await self._decide_lost(proposal, current, after)

    async def _decide_lost(
        self, proposal: proposals.Proposal, current: proposals.Current, after: str
    ) -> proposals.Result:
        """Answers a change whose version is gone, which it may have replaced itself before.

        So many changes may have followed that its entry is in an archive by now.
        """
        if audit.may_have_archive(current.stored):
            yesterday = audit.day_before(clock.utc_now())
            query = audit_reader.Query(key=proposal.key, since=yesterday)
            trail = await self._trail.read(query)
            if not isinstance(trail, audit_reader.Trail) or not trail.complete:
                return _unsettled(proposal)
            entries = [line.entry for line in trail.lines]
            earlier = _recognise(proposal, entries, current.version, after)
            if earlier is not None:
                return earlier
        if proposal.raw is None and not current.exists:
            return proposals.Absent(reason=f"there is no {proposal.key}")
        return _lost(proposal, current)

    def _confirm(
        self, proposal: proposals.Proposal, value: bytes, version: int
    ) -> proposals.Accepted:
        key = proposal.key
        stored = objects.Stored(key=key, value=value, version=version)
        self._replica.offer(objects.Change(key=key, version=version, stored=stored))
        return proposals.Accepted(key=key, version=version, attempt_id=proposal.attempt_id)


def _decode(proposal: proposals.Proposal) -> configuration.Record | configuration.Problems | None:
    if proposal.raw is None:
        return None
    record = configuration.decode(proposal.kind, proposal.name, proposal.raw)
    if isinstance(record, configuration.Problems):
        return record
    size = len(codec.to_json(record))
    if size <= MAX_VALUE_BYTES:
        return record
    error = configuration.too_large(proposal.key, size, MAX_VALUE_BYTES)
    return configuration.Problems(reason=f"{proposal.key} is too large", errors=(error,))


def _earlier(
    proposal: proposals.Proposal, current: proposals.Current, after: str
) -> proposals.Accepted | proposals.AttemptReused | None:
    """Recognises this change if it has landed before."""
    return _recognise(proposal, current.stored.audit, current.version, after)


def _recognise(
    proposal: proposals.Proposal,
    entries: Iterable[data.AuditEntry],
    version: int | None,
    after: str,
) -> proposals.Accepted | proposals.AttemptReused | None:
    """Looks for this change's attempt id among entries."""
    entry = next((one for one in entries if one.attempt_id == proposal.attempt_id), None)
    if entry is None:
        return None
    if entry.after != after:
        return proposals.AttemptReused(
            reason=f"attempt {proposal.attempt_id} made another change of {proposal.key}"
        )
    return proposals.Accepted(
        key=proposal.key, version=version or 0, attempt_id=proposal.attempt_id
    )


def _lost(proposal: proposals.Proposal, current: proposals.Current) -> proposals.Lost:
    expected = "absent" if proposal.expected is None else f"at version {proposal.expected}"
    found = "absent" if current.shown_version is None else f"at version {current.shown_version}"
    return proposals.Lost(
        reason=f"{proposal.key} was expected {expected} but is {found}; nothing was changed",
        current_version=current.shown_version,
        changed_by=current.changed_by,
    )


def _give_up(proposal: proposals.Proposal, uncertain: bool) -> proposals.Lost | proposals.Unsettled:
    if not uncertain:
        return proposals.Lost(
            reason=f"another change of {proposal.key} came first; its version could not be read",
            current_version=None,
        )
    return _unsettled(proposal)


def _unsettled(proposal: proposals.Proposal) -> proposals.Unsettled:
    return proposals.Unsettled(
        reason=(
            f"the store did not tell whether the change of {proposal.key} took effect; "
            "repeat it with the same Idempotency-Key to find out"
        ),
        attempt_id=proposal.attempt_id,
    )
