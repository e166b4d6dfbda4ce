"""Finds accepted requests that were lost, request by request: no fault excuses a whole run."""

import collections
import dataclasses
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from basilpost.emulator import pool_runner, stream_endings
from basilpost.soak import checks, repeat_checks

# Time by which the end of a connection may be noticed later than its cause.
SLACK_SECONDS = 0.1
# Time after the loss of a member in which its group stalls and then breaks off its streams.
STALL_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Losses:
    """Requests that were accepted and ended without a complete answer.

    Attributes:
        lines: What is known of each lost one.
        excused: Number of the others by what ended them.
    """

    lines: tuple[str, ...]
    excused: Mapping[str, int]


def find_losses(
    calls: Sequence[checks.Call],
    runners: Iterable[pool_runner.PoolRunner],
    *,
    killed_at_by_address: Mapping[str, Sequence[float]],
    runner_faults: Sequence[repeat_checks.RunnerFault],
    logged_requests: Collection[str],
    shortest_timeout: float,
    lines_about: Callable[[str], Sequence[str]],
) -> Losses:
    """Returns the requests that were accepted and ended without a complete answer.

    Args:
        calls: All requests of all callers, each with an id of its own.
        runners: The emulated runners, with their logs.
        killed_at_by_address: When the node of each address was killed.
        runner_faults: Faults of the connections of runners.
        logged_requests: Ids of the requests that the nodes' logs name.
        shortest_timeout: Shortest timeout of a route, in seconds.
        lines_about: Returns the lines of the nodes' logs that name a request.
    """
    runners_by_id = {runner.vm_id: runner for runner in runners}
    runs_by_attempt: dict[str, list[tuple[float, str]]] = collections.defaultdict(list)
    endings_by_attempt = collections.defaultdict(list)
    for runner in runners_by_id.values():
        for run in runner.runs:
            runs_by_attempt[run.attempt].append((run.at, runner.vm_id))
        for ending in runner.endings:
            endings_by_attempt[ending.attempt].append((ending, runner.vm_id))

    def excuse(call: checks.Call) -> str:
        used = call.ended_at - call.sent_at + SLACK_SECONDS
        if call.budget_ms and used >= call.budget_ms / 1000 or used >= shortest_timeout:
            return "its time had passed"
        if any(
            call.sent_at - SLACK_SECONDS < at < call.ended_at + SLACK_SECONDS
            for at in killed_at_by_address.get(call.address, ())
        ):
            return "its node was killed"
        if not runs_by_attempt[call.attempt]:
            return ""
        at, vm_id = max(runs_by_attempt[call.attempt])
        if any(
            fault.vm_id == vm_id and at < fault.end and fault.begin < call.ended_at
            for fault in runner_faults
        ):
            return "the link of its runner was disturbed"
        # A node that gives a silent runner up has cut the stream itself.
        members = {
            member
            for ending, ended_vm_id in endings_by_attempt[call.attempt]
            if ended_vm_id == vm_id and ending.by is stream_endings.EndedBy.RUNNER
            for member in ending.members
        }
        if any(
            at - STALL_SECONDS < ended_at < call.ended_at
            for member in members
            for ended_at in runners_by_id[member].ended_at
        ):
            return "its runner, or a member of its group, was lost"
        return ""

    def describe(call: checks.Call) -> str:
        runs = ", ".join(f"{vm_id} at {at:.3f}" for at, vm_id in runs_by_attempt[call.attempt])
        ends = ", ".join(
            f"{ending.by.value} at {vm_id} at {ending.at:.3f}"
            for ending, vm_id in endings_by_attempt[call.attempt]
        )
        return (
            f"lost: {call.attempt}, {call.path}, status {call.status}, node {call.address}, "
            f"sent at {call.sent_at:.3f}, ended at {call.ended_at:.3f}, ran on [{runs}], "
            f"ended by [{ends}], log {list(lines_about(call.attempt))}"
        )

    accepted = [
        call
        for call in calls
        if not call.complete
        and (runs_by_attempt[call.attempt] or call.status or call.attempt in logged_requests)
    ]
    excuses = [excuse(call) for call in accepted]
    lost = [call for call, reason in zip(accepted, excuses, strict=True) if not reason]
    return Losses(
        lines=tuple(map(describe, lost)), excused=dict(collections.Counter(filter(None, excuses)))
    )
