"""Checks the users' bounds on repeats of requests, by what callers sent and what reached the runners.

A repeat is an arrival of a request at a runner beyond its first one, whether the runner ran it or not.
"""

import bisect
import collections
import dataclasses
import itertools
from collections.abc import Iterable, Mapping, Sequence

from basilpost.emulator import pool_fleet, pool_runner
from basilpost.soak import checks

# Users' bounds. Any span of this length counts for the bound on repeats to a service.
WINDOW_SECONDS = 10.0
# Requests that may run on more runners than their route allows.
MAX_REQUESTS_BEYOND_ATTEMPTS = 3
# Deadlines handed on: how much later than the caller's own they may end, how many may do so, and which
# share of them together with the late repeats.
DEADLINE_SLACK_SECONDS = 0.5
MAX_LONG_DEADLINES = 20
MAX_LONG_DEADLINES_SHARE = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class RepeatBounds:
    """Bounds of the users on repeats.

    Attributes:
        share: Repeats to a service per request of callers for it, within a window.
        slack: Number of repeats to a service beyond that share within a window.
        max_attempts_by_path: Runners on which a request may run, by its path.
    """

    share: float
    slack: float
    max_attempts_by_path: Mapping[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunnerFault:
    """A time in which the connections of a runner were cut or disturbed, on `clock.elapsed`."""

    vm_id: str
    begin: float
    end: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _RunnerLog:
    """What a runner logged; each sending of a request by its caller has an id of its own."""

    vm_id: str
    service: str
    arrival_log: tuple[pool_runner.Arrival, ...]
    ended_at: tuple[float, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _LoggedArrival:
    """An arrival with the runner that logged it."""

    vm_id: str
    arrival: pool_runner.Arrival


def check_repeats(
    calls: Sequence[checks.Call],
    runners: Iterable[pool_runner.PoolRunner],
    *,
    bounds: RepeatBounds,
    disturbances: Sequence[checks.Disturbance] = (),
    runner_faults: Sequence[RunnerFault] = (),
) -> list[str]:
    """Returns a line for each broken bound on repeats; it can be called after any run of the soak.

    The number of repeats within a window holds at any time, also for disturbed nodes.

    Args:
        calls: All requests of all callers.
        runners: The emulated runners, with their logs.
        bounds: The users' bounds.
        disturbances: Faults of nodes; the deadlines that they hand on meanwhile do not count.
        runner_faults: Faults of the connections of runners. A runner that was cut off does not count
            among those that ran a request, nor do deadlines of requests that it read meanwhile.
    """
    runners = list(runners)
    calls, logs = _tell_sendings_apart(calls, runners)
    return [
        *_check_windows(calls, logs, bounds),
        *_check_attempts(calls, logs, bounds, runner_faults),
        *_check_deadlines(calls, logs, disturbances, runner_faults),
    ]


def count_repeats(runners: Iterable[pool_runner.PoolRunner]) -> dict[str, int]:
    """Returns the number of repeats by service, over the whole run."""
    logs = _tell_sendings_apart((), runners)[1]
    return {service: len(_repeat_times(group)) for service, group in _by_service(logs).items()}


def _tell_sendings_apart(
    calls: Sequence[checks.Call], runners: Iterable[pool_runner.PoolRunner]
) -> tuple[Sequence[checks.Call], Sequence[_RunnerLog]]:
    """Numbers what callers sent under one id, as a caller's own repeat is a new request.

    An arrival is taken for one of the last sending before it.
    """
    sent_at_by_attempt: dict[str, list[float]] = collections.defaultdict(list)
    for call in sorted(calls, key=lambda call: call.sent_at):
        sent_at_by_attempt[call.attempt].append(call.sent_at)

    def name(attempt: str, at: float) -> str:
        number = bisect.bisect_right(sent_at_by_attempt.get(attempt, []), at)
        return attempt if number <= 1 else f"{attempt} sent {number} times"

    numbered = [
        dataclasses.replace(call, attempt=name(call.attempt, call.sent_at)) for call in calls
    ]
    logs = [
        _RunnerLog(
            vm_id=runner.vm_id,
            service=runner.service,
            arrival_log=tuple(
                dataclasses.replace(arrival, attempt=name(arrival.attempt, arrival.at))
                for arrival in runner.arrival_log
            ),
            ended_at=tuple(runner.ended_at),
        )
        for runner in runners
    ]
    return numbered, logs


def _by_service(runners: Iterable[_RunnerLog]) -> dict[str, list[_RunnerLog]]:
    runners_by_service: dict[str, list[_RunnerLog]] = collections.defaultdict(list)
    for runner in runners:
        runners_by_service[runner.service].append(runner)
    return runners_by_service


def _service_of(call: checks.Call) -> str:
    return (
        pool_fleet.MODEL_SERVICE
        if call.path in checks.STREAMING_PATHS
        else pool_fleet.PLAIN_SERVICE
    )


def _repeat_times(runners: Iterable[_RunnerLog]) -> list[float]:
    """Returns when each repeat reached one of the runners, in order."""
    times_by_attempt: dict[str, list[float]] = collections.defaultdict(list)
    for arrival in itertools.chain.from_iterable(runner.arrival_log for runner in runners):
        times_by_attempt[arrival.attempt].append(arrival.at)
    return sorted(
        itertools.chain.from_iterable(sorted(times)[1:] for times in times_by_attempt.values())
    )


def _check_windows(
    calls: Sequence[checks.Call],
    runners: Sequence[_RunnerLog],
    bounds: RepeatBounds,
) -> Iterable[str]:
    for service, group in _by_service(runners).items():
        repeats = _repeat_times(group)
        sent = sorted(call.sent_at for call in calls if _service_of(call) == service)
        worst = max(
            (
                _Window.count(begin, repeats, sent, bounds)
                for repeat in repeats
                for begin in (repeat, repeat - WINDOW_SECONDS)
            ),
            key=lambda window: window.excess,
            default=None,
        )
        if worst is not None and worst.excess > 0.0:
            yield (
                f"repeats to {service}: {worst.repeats} within {WINDOW_SECONDS:.0f} s from "
                f"{worst.begin:.2f} on, {worst.allowed:.1f} allowed by {worst.requests} requests"
            )


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Window:
    """The repeats to a service within a window, and the requests that allow them."""

    begin: float
    repeats: int
    requests: int
    allowed: float

    @property
    def excess(self) -> float:
        """Returns how many repeats there are beyond those allowed, negative if there is room."""
        return self.repeats - self.allowed

    @classmethod
    def count(
        cls, begin: float, repeats: list[float], sent: list[float], bounds: RepeatBounds
    ) -> "_Window":
        """Counts the repeats in the window that begins at a time.

        The requests are those of the window, of the one before or of the one half a window before,
        whichever has most: a repeat may follow its request into the next window.
        """
        starts = (begin, begin - WINDOW_SECONDS / 2, begin - WINDOW_SECONDS)
        requests = max(_count_within(sent, start) for start in starts)
        return cls(
            begin=begin,
            repeats=_count_within(repeats, begin),
            requests=requests,
            allowed=bounds.share * requests + bounds.slack,
        )


def _count_within(times: list[float], begin: float) -> int:
    """Returns how many of the sorted times lie in the window that begins at a time."""
    return bisect.bisect_right(times, begin + WINDOW_SECONDS) - bisect.bisect_left(times, begin)


def _check_attempts(
    calls: Sequence[checks.Call],
    runners: Sequence[_RunnerLog],
    bounds: RepeatBounds,
    runner_faults: Sequence[RunnerFault],
) -> Iterable[str]:
    calls_by_attempt = {call.attempt: call for call in calls}
    lost_at_by_vm: dict[str, list[float]] = collections.defaultdict(list)
    for runner in runners:
        lost_at_by_vm[runner.vm_id] += runner.ended_at
    lives_by_attempt: dict[str, set[tuple[str, int]]] = collections.defaultdict(set)
    for logged in _logged(runners):
        arrival, call = logged.arrival, calls_by_attempt.get(logged.arrival.attempt)
        if call is None or not arrival.ran:
            continue
        was_lost = any(
            arrival.at <= lost_at <= max(call.ended_at, arrival.at)
            for lost_at in lost_at_by_vm[logged.vm_id]
        ) or any(
            fault.vm_id == logged.vm_id and fault.begin <= call.ended_at and fault.end >= arrival.at
            for fault in runner_faults
        )
        if not was_lost:
            lives_by_attempt[arrival.attempt].add((logged.vm_id, arrival.lifetime))
    beyond = sorted(
        attempt
        for attempt, lives in lives_by_attempt.items()
        if len(lives) > bounds.max_attempts_by_path[calls_by_attempt[attempt].path]
    )
    if len(beyond) > MAX_REQUESTS_BEYOND_ATTEMPTS:
        yield f"{len(beyond)} requests ran on more runners than allowed, such as {beyond[0]}"


def _check_deadlines(
    calls: Sequence[checks.Call],
    runners: Sequence[_RunnerLog],
    disturbances: Sequence[checks.Disturbance],
    runner_faults: Sequence[RunnerFault],
) -> Iterable[str]:
    counted_by_attempt = {call.attempt: call for call in calls if call.budget_ms}
    arrivals_by_attempt: dict[str, list[pool_runner.Arrival]] = collections.defaultdict(list)
    for logged in _logged(runners):
        call = counted_by_attempt.get(logged.arrival.attempt)
        if call is None or _is_disturbed(call, logged, disturbances, runner_faults):
            continue
        arrivals_by_attempt[call.attempt].append(logged.arrival)
    long_count = late_count = either_count = 0
    for attempt, arrivals in arrivals_by_attempt.items():
        call = counted_by_attempt[attempt]
        first = min(arrivals, key=lambda arrival: arrival.at)
        for arrival in arrivals:
            is_late = arrival.at - first.at > DEADLINE_SLACK_SECONDS
            is_long = _is_long(call, arrival) or (is_late and _ends_later(call, first, arrival))
            long_count += is_long
            late_count += is_late
            either_count += is_long or is_late
    if long_count > max(MAX_LONG_DEADLINES, MAX_LONG_DEADLINES_SHARE * either_count):
        yield (
            f"{long_count} requests were handed on with more time than was left, "
            f"beside {late_count} late repeats"
        )


def _is_disturbed(
    call: checks.Call,
    logged: _LoggedArrival,
    disturbances: Sequence[checks.Disturbance],
    runner_faults: Sequence[RunnerFault],
) -> bool:
    at = logged.arrival.at
    return any(
        item.address == call.address and item.begin <= at and call.sent_at <= item.end
        for item in disturbances
    ) or any(
        fault.vm_id == logged.vm_id and fault.begin <= at and call.sent_at <= fault.end
        for fault in runner_faults
    )


def _is_long(call: checks.Call, arrival: pool_runner.Arrival) -> bool:
    """Returns True if an arrival names no deadline, or more time than its caller had at first."""
    if arrival.deadline_ms is None:
        return True
    return (arrival.deadline_ms - call.budget_ms) / 1000 > DEADLINE_SLACK_SECONDS


def _ends_later(
    call: checks.Call, first: pool_runner.Arrival, arrival: pool_runner.Arrival
) -> bool:
    """Returns True if a repeat may run longer than the first arrival and its caller allow."""
    if arrival.deadline_ms is None or first.deadline_ms is None:
        return True
    end = arrival.at + arrival.deadline_ms / 1000 - DEADLINE_SLACK_SECONDS
    return end > first.at + first.deadline_ms / 1000 and end > call.sent_at + call.budget_ms / 1000


def _logged(runners: Iterable[_RunnerLog]) -> Iterable[_LoggedArrival]:
    return (
        _LoggedArrival(vm_id=runner.vm_id, arrival=arrival)
        for runner in runners
        for arrival in runner.arrival_log
    )
