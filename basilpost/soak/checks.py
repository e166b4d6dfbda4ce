"""Checks what must hold, from what callers got and what the stand-ins of back ends saw."""

import collections
import dataclasses
import itertools
import json
from collections.abc import Iterable, Sequence

from basilpost.emulator import pool_fleet, pool_runner

# A key that was taken away, or a failure domain that was taken out, gets nothing after this.
WITHDRAWAL_SECONDS = 5.0
NOT_RUN_STATUSES = frozenset({421, 429, 503})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """What a caller saw of one request.

    Attributes:
        attempt: Id of the request.
        path: `lookup`, `filing` or `draft`.
        key: API key that it was sent with.
        sent_at: When it was sent.
        status: Status of the answer, 0 if none came.
        complete: True if the answer came whole.
        signed: True if it bears a runner's signature.
        body: What came of the body.
    """

    attempt: str
    path: str
    key: str
    sent_at: float
    status: int
    complete: bool
    signed: bool
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Withdrawal:
    """Something that was taken away at a time, as confirmed by the store."""

    name: str
    at: float
    until: float


def check(
    calls: Sequence[Call],
    runners: Iterable[pool_runner.PoolRunner],
    *,
    keys: Sequence[Withdrawal],
    failure_domains: Sequence[Withdrawal],
    planned: bool,
) -> list[str]:
    """Returns what was broken, a line each."""
    runners = list(runners)
    runs_by_attempt: dict[str, list[pool_runner.Run]] = collections.defaultdict(list)
    for ran in itertools.chain.from_iterable(runner.runs for runner in runners):
        runs_by_attempt[ran.attempt].append(ran)
    calls_by_attempt = {call.attempt: call for call in calls}
    found = [
        f"{line}: {call.attempt}, status {call.status}"
        for call in calls
        for line in _of_call(call, runs_by_attempt[call.attempt], planned)
    ]
    found += [
        f"ran unasked: {attempt}" for attempt in runs_by_attempt if attempt not in calls_by_attempt
    ]
    found += [
        f"the caller's key was handed on: {ran.attempt}"
        for ran in itertools.chain.from_iterable(runs_by_attempt.values())
        if ran.credential_forwarded
    ]
    found += [
        f"key {one.name} was in use after its time: {call.attempt}"
        for one in keys
        for call in calls
        if call.key == one.name and _is_after(one, call, runs_by_attempt[call.attempt])
    ]
    found += _after_withdrawal(runners, calls_by_attempt, failure_domains)
    return found + _of_groups(runners)


def _of_call(call: Call, runs: Sequence[pool_runner.Run], planned: bool) -> Iterable[str]:
    if call.path == "filing" and len(runs) > 1:
        yield "ran more than once"
    if call.path == "filing" and call.status in NOT_RUN_STATUSES and runs:
        yield "ran although the answer says not"
    if call.status == 200 and call.complete:
        if not call.signed:
            yield "a success without signature"
        if not _is_whole(call):
            yield "a success with another body"
    if call.path == "draft" and not _has_prefix(call):
        yield "events are missing or come twice"
    if planned and runs and not call.complete:
        yield "cut by planned work"


def _is_whole(call: Call) -> bool:
    if call.path == "draft":
        return event_ids(call.body) == list(range(1, pool_runner.Options().events + 1))
    try:
        return bool(json.loads(call.body)["attempt"] == call.attempt)
    except (ValueError, KeyError, TypeError):
        return False


def _has_prefix(call: Call) -> bool:
    ids = event_ids(call.body) if call.status == 200 else []
    return ids == list(range(1, len(ids) + 1))


def event_ids(body: bytes) -> list[int]:
    """Returns the ids of the whole events of a stream."""
    whole = body.decode(errors="replace").split("\n\n")[:-1]
    return [int(event.partition("\n")[0].removeprefix("id: ")) for event in whole]


def _after_withdrawal(
    runners: Iterable[pool_runner.PoolRunner],
    calls_by_attempt: dict[str, Call],
    failure_domains: Sequence[Withdrawal],
) -> list[str]:
    return [
        f"failure domain {one.name} was in use after its time: {ran.attempt}"
        for one in failure_domains
        for runner in runners
        if runner.failure_domain == one.name
        for ran in runner.runs
        if (call := calls_by_attempt.get(ran.attempt)) is not None and _is_after(one, call, [ran])
    ]


def _is_after(one: Withdrawal, call: Call, runs: Sequence[pool_runner.Run]) -> bool:
    """Returns True if a request was sent after the time of a withdrawal and ran before its end.

    A request may be read late, by a node that was paused, when what was taken away is back.
    """
    sent_late = one.at + WITHDRAWAL_SECONDS < call.sent_at
    return sent_late and any(ran.at < one.until for ran in runs)


def _of_groups(runners: Iterable[pool_runner.PoolRunner]) -> list[str]:
    """Checks that no VM took a join out of another group that may serve."""
    return [
        f"{runner.vm_id} went from {before} straight to {group}"
        for runner in runners
        for group, before in runner.joins
        if before and not before.startswith("standby-")
    ]


def keys() -> tuple[str, ...]:
    """Returns the API keys that callers use."""
    return (pool_fleet.KEY, pool_fleet.OTHER_KEY)
