"""Checks the system's guarantees by what callers received and what the emulated runners ran."""

import collections
import dataclasses
import itertools
import json
import signal
from collections.abc import Collection, Iterable, Sequence

from basilpost.emulator import pool_fleet, pool_runner

# Time after which a withdrawn key or failure domain must no longer be used.
WITHDRAWAL_SECONDS = 5.0
NOT_RUN_STATUSES = frozenset({421, 429, 503})
# Kinds of requests that must run once at most, and those that are answered with a stream of events.
RUN_ONCE_PATHS = frozenset({"filing", "draft-whole"})
STREAMING_PATHS = frozenset({"draft", "draft-once", "draft-whole"})
# Users' bounds on requests that crash runners, by a part of their prompts or each by itself: the part or the
# request has to be known this long after so many crashes, so many may arrive later, and sound ones are
# served at least so much as before.
STABLE_SECONDS = 3.0
KNOWN_AFTER_CRASHES = 5
REQUEST_KNOWN_AFTER_CRASHES = 3
MAX_LATE_ARRIVALS = 3
MIN_SERVED_RATIO = 0.5
MIN_COUNTED_CALLS = 20
# The same for callers of nodes without a path to the runners, compared with those of other nodes.
MIN_CUT_OFF_SERVED_RATIO = 2 / 3
MAX_CUT_OFF_FAILED = 10
MAX_CUT_OFF_FAILED_SHARE = 0.02
# Begins the line of a request that planned work left without a complete answer.
CUT = "cut by planned work"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """One request as a caller saw it.

    Attributes:
        attempt: Id of the request; the headers and the runners' logs call it an attempt.
        path: `lookup`, an idempotent call to a plain service; `filing`, a call to it that must run at
            most once; or `draft`, a request to a model that is answered with a stream of events. The
            streams of `draft-once` have one attempt, and those of `draft-whole` may not be resumed.
        key: API key that it was sent with.
        sent_at: When it was sent, in seconds of `clock.elapsed`.
        status: Status of the answer, 0 if none came.
        complete: True if the whole answer was received.
        signed: True if the answer carries a runner's signature header.
        body: The part of the body that was received.
        address: Address of the node.
        ended_at: When the answer was complete, the connection was closed or the caller gave up.
        timed_out: True if the caller gave up.
        prompt_parts: Ids of the parts of its prompt.
        sent_body: Its body.
        budget_ms: Time that the caller named as its deadline, 0 for none.
    """

    attempt: str
    path: str
    key: str
    sent_at: float
    status: int
    complete: bool
    signed: bool
    body: bytes
    address: str = ""
    ended_at: float = 0.0
    timed_out: bool = False
    prompt_parts: tuple[str, ...] = ()
    sent_body: bytes = b""
    budget_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stop:
    """A planned stop of a node process.

    Attributes:
        node_id: Name of the node.
        address: Address at which it serves callers.
        at: When SIGTERM was sent, in seconds of `clock.elapsed`.
        ended_at: When the process was gone.
        started: True if the process had logged its start.
        exit_code: Exit code of the process, the negative number of the signal that killed it.
    """

    node_id: str
    address: str
    at: float
    ended_at: float
    started: bool
    exit_code: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Disturbance:
    """A time in which a node may lag behind the others, in seconds of `clock.elapsed`."""

    address: str
    begin: float
    end: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Withdrawal:
    """A key or failure domain that was withdrawn for a time.

    Attributes:
        name: The key, or the name of the failure domain.
        at: When the store had confirmed the withdrawal, in seconds of `clock.elapsed`.
        until: When the withdrawal was about to be reverted.
    """

    name: str
    at: float
    until: float


def check(
    calls: Sequence[Call],
    runners: Iterable[pool_runner.PoolRunner],
    *,
    withdrawn_keys: Sequence[Withdrawal],
    withdrawn_failure_domains: Sequence[Withdrawal],
    planned_only: bool,
    stops: Sequence[Stop] = (),
    logged_requests: Collection[str] = (),
    events: int = pool_runner.Options().events,
) -> list[str]:
    """Returns a line for each broken guarantee.

    Args:
        calls: All requests of all callers.
        runners: The emulated runners, with their logs.
        withdrawn_keys: Keys that were withdrawn.
        withdrawn_failure_domains: Failure domains that were withdrawn.
        planned_only: True if there were planned changes only, during which every request that ran, or
            that a node had read, must get its complete answer.
        stops: The planned stops of nodes.
        logged_requests: Ids of the requests that the nodes' logs name.
        events: Number of events of a complete stream.
    """
    runners = list(runners)
    runs_by_attempt: dict[str, list[pool_runner.Run]] = collections.defaultdict(list)
    for run in itertools.chain.from_iterable(runner.runs for runner in runners):
        runs_by_attempt[run.attempt].append(run)
    calls_by_attempt: dict[str, list[Call]] = collections.defaultdict(list)
    for call in sorted(calls, key=lambda call: call.sent_at):
        calls_by_attempt[call.attempt].append(call)

    def runs_of(call: Call) -> list[pool_runner.Run]:
        """Returns the runs of a request up to its caller's repeat under the same id, if any."""
        return [
            run
            for run in runs_by_attempt[call.attempt]
            if _call_of(run, calls_by_attempt[call.attempt]) is call
        ]

    violations = [
        f"{violation}: {call.attempt}, {call.path}, status {call.status}{_after_stop(call, stops)}"
        for call in calls
        for violation in _violations_of_call(call, runs_of(call), events)
    ]
    violations += [
        f"ran more than once: {attempt}, {sent[0].path}, sent {len(sent)} times"
        for attempt, sent in calls_by_attempt.items()
        if sent[0].path in RUN_ONCE_PATHS and len(runs_by_attempt[attempt]) > 1
    ]
    if planned_only:
        violations += [
            f"{CUT}: {call.attempt}, {call.path}, status {call.status}"
            f"{_cut_as_ordered(call, runners)}{_after_stop(call, stops)}"
            for call in calls
            if _is_lost(call, bool(runs_of(call)), logged_requests)
        ]
    violations += [
        f"ran unasked: {attempt}" for attempt in runs_by_attempt if attempt not in calls_by_attempt
    ]
    violations += [
        f"the caller's key was handed on: {run.attempt}"
        for run in itertools.chain.from_iterable(runs_by_attempt.values())
        if run.credential_forwarded
    ]
    violations += [
        f"key {withdrawal.name} was in use after its time: {call.attempt}"
        for withdrawal in withdrawn_keys
        for call in calls
        if call.key == withdrawal.name and _ran_after(withdrawal, call, runs_of(call))
    ]
    violations += _uses_of_failure_domains(runners, calls_by_attempt, withdrawn_failure_domains)
    return violations + _joins_without_leaving(runners)


def check_stop(stop: Stop, *, seconds: float) -> list[str]:
    """Returns a line for each guarantee that a planned stop broke.

    Args:
        stop: The stop.
        seconds: Time after SIGTERM within which the process must be gone.
    """
    violations = []
    allowed_codes = (0,) if stop.started else (0, -signal.SIGTERM)
    if stop.exit_code not in allowed_codes:
        violations.append(f"{stop.node_id} ended with {stop.exit_code} when asked to stop")
    if stop.ended_at - stop.at > seconds:
        violations.append(f"{stop.node_id} took {stop.ended_at - stop.at:.2f} s to stop")
    return violations


def _is_lost(call: Call, ran: bool, logged_requests: Collection[str]) -> bool:
    """Returns True if a request that a runner ran, or that a node had read, got no complete answer.

    A request is not lost if its connection was closed before anything shows that the node read it.
    """
    was_read = call.status != 0 or call.timed_out or call.attempt in logged_requests
    return not call.complete and (ran or was_read)


def _call_of(run: pool_runner.Run, sent: Sequence[Call]) -> Call:
    """Returns which of the calls with a run's id, in the order in which they were sent, the run is of."""
    return next((call for call in reversed(sent) if call.sent_at <= run.at), sent[0])


def _cut_as_ordered(call: Call, runners: Iterable[pool_runner.PoolRunner]) -> str:
    """Tells which runners cut a request off because an order said so."""
    vm_ids = [runner.vm_id for runner in runners if call.attempt in runner.cut_off]
    return f", cut off as ordered by {' and '.join(vm_ids)}" if vm_ids else ""


def _after_stop(call: Call, stops: Iterable[Stop]) -> str:
    """Describes when a request was sent and ended relative to the last stop of its node before."""
    earlier = [stop for stop in stops if stop.address == call.address and stop.at < call.ended_at]
    if not earlier:
        return ""
    stop = max(earlier, key=lambda stop: stop.at)
    return (
        f", sent {call.sent_at - stop.at:.2f} s after SIGTERM to {stop.node_id}"
        f", ended {call.ended_at - call.sent_at:.2f} s later"
        f", process gone at {stop.ended_at - stop.at:.2f} s"
    )


def _violations_of_call(call: Call, runs: Sequence[pool_runner.Run], events: int) -> Iterable[str]:
    if call.path in RUN_ONCE_PATHS and call.status in NOT_RUN_STATUSES and runs:
        yield "ran although the answer says not"
    if call.status == 200 and call.complete:
        if not call.signed:
            yield "a success without signature"
        if not _has_expected_body(call, events):
            yield "a success with another body"
    if call.path in STREAMING_PATHS and call.status == 200:
        if not _has_consecutive_events(call):
            yield "events are missing or come twice"
        if not _has_own_events(call):
            yield "events of another request"


def _has_expected_body(call: Call, events: int) -> bool:
    if call.path in STREAMING_PATHS:
        return event_ids(call.body) == list(range(1, events + 1))
    try:
        return bool(json.loads(call.body)["attempt"] == call.attempt)
    except (ValueError, KeyError, TypeError):
        return False


def _has_consecutive_events(call: Call) -> bool:
    ids = event_ids(call.body)
    return ids == list(range(1, len(ids) + 1))


def _has_own_events(call: Call) -> bool:
    lines = call.body.decode(errors="replace").split("\n")[:-1]
    data = [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]
    return all(text.startswith(f"{call.attempt} ") for text in data)


def event_ids(body: bytes) -> list[int]:
    """Returns the ids of the complete events of a stream."""
    events = body.decode(errors="replace").split("\n\n")[:-1]
    return [int(event.partition("\n")[0].removeprefix("id: ")) for event in events]


def _uses_of_failure_domains(
    runners: Iterable[pool_runner.PoolRunner],
    calls_by_attempt: dict[str, list[Call]],
    withdrawn_failure_domains: Sequence[Withdrawal],
) -> list[str]:
    return [
        f"failure domain {withdrawal.name} was in use after its time: {run.attempt}"
        for withdrawal in withdrawn_failure_domains
        for runner in runners
        if runner.failure_domain == withdrawal.name
        for run in runner.runs
        if (sent := calls_by_attempt.get(run.attempt)) is not None
        and _ran_after(withdrawal, _call_of(run, sent), [run])
    ]


def _ran_after(withdrawal: Withdrawal, call: Call, runs: Sequence[pool_runner.Run]) -> bool:
    """Returns True if a request was sent after the time of a withdrawal and ran before its end.

    A request that ran later is not a violation: a node that was paused may read it only when the key
    or failure domain is back.
    """
    sent_late = withdrawal.at + WITHDRAWAL_SECONDS < call.sent_at
    return sent_late and any(run.at < withdrawal.until for run in runs)


def _joins_without_leaving(runners: Iterable[pool_runner.PoolRunner]) -> list[str]:
    """Returns a line for each VM that joined a group without leaving its former group before.

    Joining directly is allowed only from a standby group, whose only member is a spare VM that holds
    a model's weights in memory.
    """
    return [
        f"{runner.vm_id} went from {previous} straight to {group}"
        for runner in runners
        for group, previous in runner.joins
        if previous and not previous.startswith("standby-")
    ]


def api_keys() -> tuple[str, ...]:
    """Returns the API keys that callers use."""
    return (pool_fleet.KEY, pool_fleet.OTHER_KEY)


def check_crashes(
    calls: Sequence[Call],
    runners: Iterable[pool_runner.PoolRunner],
    *,
    parts: frozenset[str],
    bodies: frozenset[bytes] = frozenset(),
    disturbances: Sequence[Disturbance],
) -> list[str]:
    """Returns a line for each broken guarantee about requests that crash runners.

    Args:
        calls: All requests of all callers.
        runners: The emulated runners, with their logs.
        parts: Parts of prompts that crash runners.
        bodies: Bodies of requests that crash runners, each sent again and again.
        disturbances: Faults of nodes, in which what they send does not count.
    """
    runners = list(runners)
    calls_by_attempt = {call.attempt: call for call in calls}

    def is_disturbed(call: Call, at: float) -> bool:
        return any(
            item.address == call.address and item.begin <= at <= item.end for item in disturbances
        )

    violations = []
    known_at = []
    causes: list[str | bytes] = [*sorted(parts), *sorted(bodies)]
    for cause in causes:
        known_after = KNOWN_AFTER_CRASHES if cause in parts else REQUEST_KNOWN_AFTER_CRASHES
        crashes = sorted(
            crash.at for runner in runners for crash in runner.crashes if _has(crash, cause)
        )
        if len(crashes) < known_after:
            known_at += crashes[-1:]
            continue
        known_at.append(crashes[known_after - 1] + STABLE_SECONDS)
        late = [
            run
            for runner in runners
            for run in runner.runs
            if _has(run, cause)
            and run.at > known_at[-1]
            and not is_disturbed(calls_by_attempt[run.attempt], run.at)
        ]
        if len(late) > MAX_LATE_ARRIVALS:
            name = cause if isinstance(cause, str) else cause.decode()
            violations.append(f"{name} crashed {len(crashes)} runners, {len(late)} arrivals late")
    if known_at:
        sound = [
            call
            for call in calls
            if call.path == "draft"
            and parts.isdisjoint(call.prompt_parts)
            and call.sent_body not in bodies
            and not is_disturbed(call, call.sent_at)
        ]
        first = min(
            crash.at
            for runner in runners
            for crash in runner.crashes
            if any(_has(crash, cause) for cause in causes)
        )
        before = [call for call in sound if call.sent_at < first]
        after = [call for call in sound if call.sent_at > max(known_at) + STABLE_SECONDS]
        if min(len(before), len(after)) >= MIN_COUNTED_CALLS and _served(after) < (
            _served(before) * MIN_SERVED_RATIO
        ):
            violations.append(
                f"sound requests served {_served(after):.2f}, before {_served(before):.2f}"
            )
    return violations


def _has(item: pool_runner.Run | pool_runner.Crash, cause: str | bytes) -> bool:
    """Returns True if a run or a crash has a part of a prompt, or a body."""
    return cause in item.parts if isinstance(cause, str) else cause == item.body


def check_paths(
    calls: Sequence[Call],
    *,
    cuts: Sequence[Disturbance],
    disturbances: Sequence[Disturbance],
) -> list[str]:
    """Returns a line if callers of nodes without a path to the runners are served too seldom.

    Args:
        calls: All requests of all callers.
        cuts: When each node was cut off from all runners.
        disturbances: Other faults of nodes, in which their callers do not count.
    """

    def is_within(call: Call, spans: Iterable[Disturbance], *, settled: float = 0.0) -> bool:
        return any(
            span.address == call.address and span.begin + settled < call.sent_at < span.end
            for span in spans
        )

    counted = [
        call
        for call in calls
        if not is_within(call, disturbances)
        and any(cut.begin + STABLE_SECONDS < call.sent_at < cut.end for cut in cuts)
    ]
    cut_off = [call for call in counted if is_within(call, cuts, settled=STABLE_SECONDS)]
    others = [call for call in counted if not is_within(call, cuts)]
    if min(len(cut_off), len(others)) < MIN_COUNTED_CALLS:
        return []
    failed = sum(call.status != 200 or not call.complete for call in cut_off)
    few_failed = failed <= MAX_CUT_OFF_FAILED + len(cut_off) * MAX_CUT_OFF_FAILED_SHARE
    if few_failed or _served(cut_off) >= _served(others) * MIN_CUT_OFF_SERVED_RATIO:
        return []
    return [
        f"nodes without a path served {_served(cut_off):.2f} of {len(cut_off)} requests, "
        f"the others {_served(others):.2f}"
    ]


def _served(calls: Sequence[Call]) -> float:
    return sum(call.status == 200 and call.complete for call in calls) / len(calls)
