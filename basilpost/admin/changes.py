"""Applies changes of configuration objects, each by one conditional write to the object store.

If several operators change the same version, exactly one succeeds. When the store does not confirm
a write, the object is read again and the same conditional write is repeated: it is applied at most
once, and not at all once the object has another version. Only a confirmed write is reported as
accepted.
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

_WRITE_TIMEOUT_SECONDS = 10.0
_FIRST_PAUSE_SECONDS = 0.05
_MAX_PAUSE_SECONDS = 1.0
_CHANGE_SECONDS_BUCKETS = (0.005, 0.02, 0.1, 0.5, 2.0, 5.0, 10.0, 20.0)


class Changes:
    """Validates and writes changes on one node, and reads objects for the API."""

    def __init__(self, *, kernel: kernel.Kernel, bootstrap_digest: str) -> None:
        self._node_id = kernel.node_id
        self._has_bootstrap = bool(bootstrap_digest)
        self._changes_total = prometheus_client.Counter(
            "basilpost_changes_total",
            "Changes of configuration objects that operators asked for, by kind and result",
            ["kind", "result"],
            registry=kernel.registry,
        )
        self._change_seconds = prometheus_client.Histogram(
            "basilpost_change_seconds",
            "Time until a change was decided",
            buckets=_CHANGE_SECONDS_BUCKETS,
            registry=kernel.registry,
        )
        self._log = kernel.log
        self._audit_reader = audit_reader.AuditReader(kernel=kernel)
        self._store = kernel.find(names.OBJECTS, objects.ObjectStore)
        self._replica = kernel.find(names.REPLICA, replica.Replica)
        self._directory = kernel.find(names.DIRECTORY, directory.Directory)

    async def read(
        self, kind: configuration.Kind, name: str
    ) -> proposals.Current | proposals.NotWritten:
        """Reads an object from the store, or from the replica if that knows a newer version."""
        key = kind.key(name)
        answer = await self._store.get(key)
        if isinstance(answer, objects.Unavailable):
            return proposals.NotWritten(reason=f"{key} could not be read: {answer.reason}")
        if isinstance(answer, objects.Stored):
            self._replica.offer(objects.Change(key=key, version=answer.version, stored=answer))
        newest = self._replica.get(key)
        return proposals.decode_current(newest)

    async def accept(self, proposal: proposals.Proposal) -> proposals.Result:
        """Validates a change and writes it; `Unsettled` if it is unknown whether it was written."""
        started_at = clock.monotonic()
        result = await self._accept(proposal)
        outcome = type(result).__name__
        self._change_seconds.observe(clock.monotonic() - started_at)
        self._changes_total.labels(kind=proposal.kind.name, result=outcome).inc()
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
        decided = await self._decide_without_write(proposal, record, current, after)
        if decided is not None:
            return decided
        update = self._prepare_update(proposal, current, after)
        if update.archive is not None and not await self._write_archive(update.archive):
            return proposals.NotWritten(
                reason=f"the audit archive of {proposal.key} could not be written"
            )
        return await self._write(proposal, current, codec.to_json(update.stored), after)

    async def _decide_without_write(
        self,
        proposal: proposals.Proposal,
        record: configuration.Record | None,
        current: proposals.Current,
        after: str,
    ) -> proposals.Result | None:
        """Returns the result of a change that needs no write, None if it has to be written."""
        earlier = _find_earlier_write(proposal, current, after)
        if earlier is not None:
            return earlier
        if proposal.expected != current.shown_version:
            return await self._resolve_version_mismatch(proposal, current, after)
        if record is None and not current.exists:
            return proposals.Absent(reason=f"there is no {proposal.key}")
        if after == current.stored.value:
            return proposals.Accepted(
                key=proposal.key,
                version=current.version or 0,
                attempt_id=proposal.attempt_id,
                changed=False,
            )
        return self._check_against_configuration(proposal, record)

    def _check_against_configuration(
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

    def _prepare_update(
        self, proposal: proposals.Proposal, current: proposals.Current, after: str
    ) -> audit.ObjectUpdate:
        entry = data.AuditEntry(
            at=clock.utc_now(),
            actor=proposal.actor,
            node_id=self._node_id,
            reason=proposal.reason,
            before=current.stored.value,
            after=after,
            attempt_id=proposal.attempt_id,
        )
        return audit.rotate(proposal.key, after, (*current.stored.audit, entry))

    async def _write_archive(self, archive: audit.Archive) -> bool:
        """Writes an archive and returns whether it exists.

        A conflict counts as success, because the key determines the entries.
        """
        key = audit.archive_key(archive)
        answer = await self._store.create(key, codec.to_json(archive))
        if isinstance(answer, objects.Unknown):
            return isinstance(await self._store.get(key), objects.Stored)
        return isinstance(answer, objects.Written | objects.Conflict)

    async def _write(
        self, proposal: proposals.Proposal, current: proposals.Current, value: bytes, after: str
    ) -> proposals.Result:
        """Repeats one conditional write until its result is known or a timeout has passed."""
        deadline = clock.monotonic() + _WRITE_TIMEOUT_SECONDS
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
            result = await self._resolve_uncertain_write(proposal, current, after)
            if result is not None:
                return result
            if clock.monotonic() + pause >= deadline:
                return _fail_after_timeout(proposal, uncertain)
            await asyncio.sleep(pause)
            pause = min(2 * pause, _MAX_PAUSE_SECONDS)

    async def _write_once(
        self, key: str, value: bytes, version: int | None
    ) -> objects.Written | objects.Conflict | objects.Unavailable | objects.Unknown:
        if version is None:
            return await self._store.create(key, value)
        return await self._store.update(key, value, version=version)

    async def _resolve_uncertain_write(
        self, proposal: proposals.Proposal, based_on: proposals.Current, after: str
    ) -> proposals.Result | None:
        """Reads the object again; None if it is unreadable or has the version of `based_on`."""
        current = await self.read(proposal.kind, proposal.name)
        if isinstance(current, proposals.NotWritten):
            return None
        earlier = _find_earlier_write(proposal, current, after)
        if earlier is not None or current.version == based_on.version:
            return earlier
        return await self._resolve_version_mismatch(proposal, current, after)

    async def _resolve_version_mismatch(
        self, proposal: proposals.Proposal, current: proposals.Current, after: str
    ) -> proposals.Result:
        """Returns the result of a change whose expected version is not the current one.

        An earlier try of the same change may have replaced that version, and its entry may have
        been moved to an archive by later changes.
        """
        if audit.may_have_archive(current.stored):
            yesterday = audit.day_before(clock.utc_now())
            query = audit_reader.Query(key=proposal.key, since=yesterday)
            trail = await self._audit_reader.read(query)
            if not isinstance(trail, audit_reader.Trail) or not trail.complete:
                return _outcome_unknown(proposal)
            entries = [line.entry for line in trail.lines]
            earlier = _match_attempt(proposal, entries, current.version, after)
            if earlier is not None:
                return earlier
        if proposal.raw is None and not current.exists:
            return proposals.Absent(reason=f"there is no {proposal.key}")
        return _version_conflict(proposal, current)

    def _confirm(
        self, proposal: proposals.Proposal, value: bytes, version: int
    ) -> proposals.Accepted:
        """Puts a written change in force on this node, and returns the result for the operator."""
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
    error = configuration.too_large_error(proposal.key, size, MAX_VALUE_BYTES)
    return configuration.Problems(reason=f"{proposal.key} is too large", errors=(error,))


def _find_earlier_write(
    proposal: proposals.Proposal, current: proposals.Current, after: str
) -> proposals.Accepted | proposals.AttemptReused | None:
    """Returns the result of an earlier write of this attempt if the object still has its entry."""
    return _match_attempt(proposal, current.stored.audit, current.version, after)


def _match_attempt(
    proposal: proposals.Proposal,
    entries: Iterable[data.AuditEntry],
    version: int | None,
    after: str,
) -> proposals.Accepted | proposals.AttemptReused | None:
    """Returns the result of this attempt if one of `entries` has its id, else None."""
    entry = next(
        (candidate for candidate in entries if candidate.attempt_id == proposal.attempt_id), None
    )
    if entry is None:
        return None
    if entry.after != after:
        return proposals.AttemptReused(
            reason=f"attempt {proposal.attempt_id} made another change of {proposal.key}"
        )
    return proposals.Accepted(
        key=proposal.key, version=version or 0, attempt_id=proposal.attempt_id
    )


def _version_conflict(proposal: proposals.Proposal, current: proposals.Current) -> proposals.Lost:
    expected = "absent" if proposal.expected is None else f"at version {proposal.expected}"
    actual = "absent" if current.shown_version is None else f"at version {current.shown_version}"
    return proposals.Lost(
        reason=f"{proposal.key} was expected {expected} but is {actual}; nothing was changed",
        current_version=current.shown_version,
        changed_by=current.changed_by,
    )


def _fail_after_timeout(
    proposal: proposals.Proposal, uncertain: bool
) -> proposals.Lost | proposals.Unsettled:
    if not uncertain:
        return proposals.Lost(
            reason=f"another change of {proposal.key} came first; its version could not be read",
            current_version=None,
        )
    return _outcome_unknown(proposal)


def _outcome_unknown(proposal: proposals.Proposal) -> proposals.Unsettled:
    return proposals.Unsettled(
        reason=(
            f"the store did not tell whether the change of {proposal.key} took effect; "
            "repeat it with the same Idempotency-Key to find out"
        ),
        attempt_id=proposal.attempt_id,
    )
