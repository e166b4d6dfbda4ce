"""Checks a recorded history: callers' request records against the logs of the back ends.

Each check is a pure function that returns the violations of one rule. An empty list only means that
this history does not break the rule.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from basilpost.core import failure
from basilpost.emulator import records as back_ends
from basilpost.load import records


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation(failure.Failure):
    """One breach of the rule named by `rule`; `reason` says by which request or VM."""

    rule: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Withdrawal:
    """When a VM or failure domain left service, and when it returned, if it did."""

    name: str
    left: float
    returned: float | None = None

    def covers(self, at: float, allowed_seconds: float) -> bool:
        """Returns True for a time after the allowed seconds and before any return."""
        latest_start = self.left + allowed_seconds
        return at > latest_start and (self.returned is None or at < self.returned)


def base_id(wire_id: str) -> str:
    """Returns the caller's request id, without the suffix that a node adds for targets."""
    return wire_id.rsplit(".", 1)[0]


def check_answers(request_records: Iterable[records.Record]) -> list[Violation]:
    """Returns successful answers that are incomplete, wrong, or carry another request's id."""
    violations = []
    for record in request_records:
        if not record.succeeded:
            continue
        if not record.complete or record.answer_digest != record.expected_digest:
            reason = (
                f"{record.request_id}: the answer is incomplete or differs from the expected one"
            )
            violations.append(Violation(rule="whole-and-own", reason=reason))
        foreign_ids = [
            answered_id
            for answered_id in record.answered_ids
            if base_id(answered_id) != record.request_id
        ]
        if foreign_ids:
            reason = (
                f"{record.request_id}: the answer carries another request's id, {foreign_ids[0]}"
            )
            violations.append(Violation(rule="whole-and-own", reason=reason))
    return violations


def check_at_most_once(filings: Iterable[back_ends.Filing]) -> list[Violation]:
    """Returns idempotency keys that ran more than once over all instances."""
    counts = collections.Counter(filing.key for filing in filings if filing.key)
    return [
        Violation(rule="at-most-once", reason=f"{key} ran {count} times")
        for key, count in sorted(counts.items())
        if count > 1
    ]


def check_not_run_refusals(
    request_records: Iterable[records.Record],
    filings: Sequence[back_ends.Filing],
    runs: Sequence[back_ends.Run],
) -> list[Violation]:
    """Returns requests refused as "not run" that are in a log, or whose key ran before that."""
    wire_ids = [filing.request_id for filing in filings] + [run.request_id for run in runs]
    request_ids_that_ran = {base_id(wire_id) for wire_id in wire_ids}
    first_run_at_by_key: dict[str, float] = {}
    for filing in sorted(filings, key=lambda filing: filing.at):
        first_run_at_by_key.setdefault(filing.key, filing.at)
    return [
        Violation(
            rule="not-run-is-true", reason=f"{record.request_id} was refused as not run but ran"
        )
        for record in request_records
        if record.outcome == failure.Outcome.NOT_RUN.value
        and (
            record.request_id in request_ids_that_ran
            or (
                record.key
                and first_run_at_by_key.get(record.key, record.finished) < record.finished
            )
        )
    ]


def check_receipts(
    request_records: Iterable[records.Record], filings: Iterable[back_ends.Filing]
) -> list[Violation]:
    """Returns filings whose caller got a receipt but which are in no log."""
    keys_that_ran = {filing.key for filing in filings}
    return [
        Violation(rule="accepted-have-run", reason=f"{record.key} has a receipt but did not run")
        for record in request_records
        if record.kind is records.Kind.FILING
        and record.succeeded
        and record.key not in keys_that_ran
    ]


def check_groups_complete(
    runs: Iterable[back_ends.Run],
    memberships: Iterable[back_ends.Membership],
    vm_ids_by_address: Mapping[str, str],
    *,
    detection_seconds: float = 0.1,
) -> list[Violation]:
    """Returns requests that ran while a member of their group was not in the same generation.

    Args:
        runs: Requests that runners ran.
        memberships: Spans of runners' membership in groups.
        vm_ids_by_address: Ids of the runners' VMs.
        detection_seconds: Time that rank 0 may take to notice that a member died.
    """
    spans_by_group_generation = collections.defaultdict(list)
    for membership in memberships:
        spans_by_group_generation[(membership.group_id, membership.generation)].append(membership)
    violations = []
    for run in runs:
        spans = spans_by_group_generation[(run.group_id, run.generation)]
        addresses = {address for span in spans for address in span.members}
        expected_vm_ids = {vm_ids_by_address.get(address, address) for address in addresses}
        busy_until = run.finished if run.outcome == "finished" and run.finished else run.started
        present_vm_ids = {
            span.vm_id
            for span in spans
            if span.began <= run.started
            and (span.ended is None or busy_until <= span.ended + detection_seconds)
        }
        if not expected_vm_ids or present_vm_ids < expected_vm_ids:
            reason = f"{run.request_id} ran on {run.group_id} without all its members"
            violations.append(Violation(rule="group-was-whole", reason=reason))
    return violations


def check_withdrawals(
    starts_by_name: Mapping[str, Iterable[tuple[str, float]]],
    withdrawals: Iterable[Withdrawal],
    *,
    allowed_seconds: float,
) -> list[Violation]:
    """Returns requests that started on a VM or failure domain too long after it left service.

    Args:
        starts_by_name: Request id and time of each start, by VM or failure domain.
        withdrawals: VMs and failure domains that left service.
        allowed_seconds: Time after a departure in which requests may still start there.
    """
    return [
        Violation(
            rule="none-after-withdrawal",
            reason=f"{request_id} started on {withdrawal.name}, which left {at - withdrawal.left:.1f} s"
            " before",
        )
        for withdrawal in withdrawals
        for request_id, at in starts_by_name.get(withdrawal.name, ())
        if withdrawal.covers(at, allowed_seconds)
    ]


def check_cold_limits(runs: Iterable[back_ends.Run]) -> list[Violation]:
    """Returns requests for which a target in a cold start exceeded its limit in flight."""
    return [
        Violation(
            rule="cold-limit-held",
            reason=f"{run.vm_id} had {run.in_flight} in flight when cold, limit {run.cold_limit}",
        )
        for run in runs
        if run.cold and run.in_flight > run.cold_limit
    ]


def check_memberships(memberships: Iterable[back_ends.Membership]) -> list[Violation]:
    """Returns VMs that were members of two groups at once, by the runners' logs."""
    by_vm = collections.defaultdict(list)
    for membership in memberships:
        by_vm[membership.vm_id].append(membership)
    return [
        Violation(
            rule="one-group-a-vm",
            reason=f"{vm_id} joined {later.group_id} while in {earlier.group_id}",
        )
        for vm_id, spans in sorted(by_vm.items())
        for earlier, later in _consecutive_pairs(sorted(spans, key=lambda span: span.began))
        if earlier.ended is None or later.began < earlier.ended
    ]


def _consecutive_pairs(
    spans: list[back_ends.Membership],
) -> Iterable[tuple[back_ends.Membership, back_ends.Membership]]:
    return zip(spans, spans[1:], strict=False)
