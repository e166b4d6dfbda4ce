"""Checks of a history: what callers saw against what the back ends' own logs say.

Each check is a pure function that returns the violations it finds; an empty list means that the
history keeps the rule, nothing more.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from basilpost.core import failure
from basilpost.emulator import records as back_ends
from basilpost.load import records


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation(failure.Failure):
    """A rule that a history breaks; `rule` is its name."""

    rule: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Withdrawal:
    """A VM or failure domain that left service at a time, and came back or not."""

    name: str
    left: float
    returned: float | None = None

    def covers(self, at: float, allowed_seconds: float) -> bool:
        """Returns True for a time after the allowed seconds and before the return."""
        begins = self.left + allowed_seconds
        return at > begins and (self.returned is None or at < self.returned)


def base_id(wire_id: str) -> str:
    """Returns the caller's request id within the id that a node uses towards targets."""
    return wire_id.rsplit(".", 1)[0]


def whole_and_own(found: Iterable[records.Record]) -> list[Violation]:
    """Each answer that a caller takes for whole is whole and belongs to its request."""
    violations = []
    for record in found:
        if not record.succeeded:
            continue
        if not record.complete or record.answer_digest != record.expected_digest:
            reason = f"{record.request_id}: the answer is not the whole one of its request"
            violations.append(Violation(rule="whole-and-own", reason=reason))
        foreign = [one for one in record.answered_ids if base_id(one) != record.request_id]
        if foreign:
            reason = f"{record.request_id}: the answer carries {foreign[0]}"
            violations.append(Violation(rule="whole-and-own", reason=reason))
    return violations


def at_most_once(filings: Iterable[back_ends.Filing]) -> list[Violation]:
    """Each idempotency key ran at most once on all instances together."""
    counts = collections.Counter(filing.key for filing in filings if filing.key)
    return [
        Violation(rule="at-most-once", reason=f"{key} ran {count} times")
        for key, count in sorted(counts.items())
        if count > 1
    ]


def not_run_is_true(
    found: Iterable[records.Record],
    filings: Sequence[back_ends.Filing],
    runs: Sequence[back_ends.Run],
) -> list[Violation]:
    """A request refused as "not run" is in no log, nor is its key up to the refusal."""
    wire_ids = [filing.request_id for filing in filings] + [run.request_id for run in runs]
    ran = {base_id(wire_id) for wire_id in wire_ids}
    first_run_by_key: dict[str, float] = {}
    for filing in sorted(filings, key=lambda one: one.at):
        first_run_by_key.setdefault(filing.key, filing.at)
    return [
        Violation(rule="not-run-is-true", reason=f"{record.request_id} ran")
        for record in found
        if record.outcome == failure.Outcome.NOT_RUN.value
        and (
            record.request_id in ran
            or (record.key and first_run_by_key.get(record.key, record.finished) < record.finished)
        )
    ]


def accepted_have_run(
    found: Iterable[records.Record], filings: Iterable[back_ends.Filing]
) -> list[Violation]:
    """Each filing whose caller got a receipt is in a log."""
    ran = {filing.key for filing in filings}
    return [
        Violation(rule="accepted-have-run", reason=f"{record.key} has a receipt but did not run")
        for record in found
        if record.kind is records.Kind.FILING and record.succeeded and record.key not in ran
    ]


def group_was_whole(
    runs: Iterable[back_ends.Run],
    memberships: Iterable[back_ends.Membership],
    vm_ids_by_address: Mapping[str, str],
    *,
    notice_seconds: float = 0.1,
) -> list[Violation]:
    """A request ran only while every member of its group was loaded in just that generation.

    Args:
        runs: What the runners ran.
        memberships: The runners' spans in groups.
        vm_ids_by_address: Runners' VMs by their address.
        notice_seconds: Time in which rank 0 may not have noticed yet that a member died.
    """
    spans_by_place = collections.defaultdict(list)
    for membership in memberships:
        spans_by_place[(membership.group_id, membership.generation)].append(membership)
    violations = []
    for run in runs:
        spans = spans_by_place[(run.group_id, run.generation)]
        addresses = {address for one in spans for address in one.members}
        wanted = {vm_ids_by_address.get(address, address) for address in addresses}
        last = run.finished if run.outcome == "finished" and run.finished else run.started
        present = {
            one.vm_id
            for one in spans
            if one.began <= run.started
            and (one.ended is None or last <= one.ended + notice_seconds)
        }
        if not wanted or present < wanted:
            reason = f"{run.request_id} ran on {run.group_id} without all its members"
            violations.append(Violation(rule="group-was-whole", reason=reason))
    return violations


def none_after_withdrawal(
    starts_by_name: Mapping[str, Iterable[tuple[str, float]]],
    withdrawals: Iterable[Withdrawal],
    *,
    allowed_seconds: float,
) -> list[Violation]:
    """Nothing starts on a VM or failure domain that left more than the allowed seconds ago.

    Args:
        starts_by_name: Request id and time of each start, by VM or failure domain.
        withdrawals: What left, and when.
        allowed_seconds: Time that the news may take.
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


def cold_limit_held(runs: Iterable[back_ends.Run]) -> list[Violation]:
    """A target in a cold start never has more in flight than it bears."""
    return [
        Violation(
            rule="cold-limit-held",
            reason=f"{run.vm_id} had {run.in_flight} in flight when cold, limit {run.cold_limit}",
        )
        for run in runs
        if run.cold and run.in_flight > run.cold_limit
    ]


def none_overlap(memberships: Iterable[back_ends.Membership]) -> list[Violation]:
    """No VM was a member of two groups at once, by the runners' own logs."""
    by_vm = collections.defaultdict(list)
    for membership in memberships:
        by_vm[membership.vm_id].append(membership)
    return [
        Violation(
            rule="one-group-a-vm",
            reason=f"{vm_id} joined {later.group_id} while in {earlier.group_id}",
        )
        for vm_id, spans in sorted(by_vm.items())
        for earlier, later in _neighbours(sorted(spans, key=lambda one: one.began))
        if earlier.ended is None or later.began < earlier.ended
    ]


def _neighbours(
    spans: list[back_ends.Membership],
) -> Iterable[tuple[back_ends.Membership, back_ends.Membership]]:
    return zip(spans, spans[1:], strict=False)
