"""Checks that callers got the runners' own, first answers, whatever else runners sent beside these."""

from collections.abc import Iterable, Iterator, Sequence

from basilpost.emulator import pool_runner
from basilpost.soak import checks


def check_answers(
    calls: Sequence[checks.Call], runners: Iterable[pool_runner.PoolRunner]
) -> list[str]:
    """Returns a line for each answer that is not a runner's own answer to the request.

    A success must be some runner's own success, with its body if it is no stream. A failure with a
    runner's signature must have the status of some runner's own answer.

    Args:
        calls: All requests of all callers.
        runners: The emulated runners, with their logs.
    """
    answers_by_attempt: dict[str, list[pool_runner.Answer]] = {}
    for runner in runners:
        for answer in runner.answers:
            answers_by_attempt.setdefault(answer.attempt, []).append(answer)
    return [
        f"{violation}: {call.attempt}, {call.path}, status {call.status}"
        f", its runners answered {[answer.status for answer in own]}"
        for call in calls
        if call.complete
        # The caller's repeats have the same id, so the time tells which sending was answered.
        for own in [
            [
                answer
                for answer in answers_by_attempt.get(call.attempt, ())
                if call.sent_at <= answer.at <= call.ended_at
            ]
        ]
        for violation in _violations(call, own)
    ]


def _violations(call: checks.Call, own: Sequence[pool_runner.Answer]) -> Iterator[str]:
    if call.status == 200:
        successes = [answer for answer in own if answer.status == 200]
        if not successes:
            yield "a success that no runner gave"
        elif call.path not in checks.STREAMING_PATHS and call.body not in [
            answer.body for answer in successes
        ]:
            yield "a success without its runner's body"
    elif call.signed and call.status not in [answer.status for answer in own]:
        yield "a failure with a status that no runner gave"
