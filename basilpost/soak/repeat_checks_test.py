"""Tests that the checks on repeats detect each broken bound, and pass what the users allow."""

import pytest

from basilpost.emulator import pool_fleet, pool_runner
from basilpost.soak import checks, repeat_checks

BOUNDS = repeat_checks.RepeatBounds(
    share=0.2, slack=10.0, max_attempts_by_path={"lookup": 2, "filing": 1, "draft": 2}
)
BUDGET_MS = 4000


def call(attempt, *, sent_at=100.0, path="lookup", **fields):
    return checks.Call(
        attempt=attempt,
        path=path,
        key=pool_fleet.KEY,
        sent_at=sent_at,
        status=200,
        complete=True,
        signed=True,
        body=b"",
        ended_at=sent_at + 3.0,
        budget_ms=BUDGET_MS,
        **fields,
    )


def arrival(attempt, *, at=100.0, deadline_ms=BUDGET_MS, **fields):
    return pool_runner.Arrival(attempt=attempt, at=at, deadline_ms=deadline_ms, **fields)


def runner(vm_id, arrivals, *, service=pool_fleet.PLAIN_SERVICE, ended_at=()):
    emulated = pool_runner.PoolRunner(vm_id=vm_id, service=service, store=None)
    emulated.arrival_log += arrivals
    emulated.ended_at += ended_at
    return emulated


def broken(calls, runners, **options):
    lines = repeat_checks.check_repeats(calls, runners, bounds=BOUNDS, **options)
    return ["repeats" if line.startswith("repeats to") else line for line in lines]


def repeated(count, *, requests, repeat_after=0.3, spread=0.0, ran=False, **fields):
    """Returns calls, and two runners that each got the first `count` of them.

    Args:
        count: Number of repeats.
        requests: Number of requests.
        repeat_after: Seconds between the arrivals of a request.
        spread: Seconds over which the requests are sent.
        ran: True if the repeats ran.
    """
    times = [100.0 + spread * number / requests for number in range(requests)]
    calls = [call(f"c{number}", sent_at=at) for number, at in enumerate(times)]
    first = [arrival(one.attempt, at=one.sent_at) for one in calls]
    second = [
        arrival(one.attempt, at=one.sent_at + repeat_after, ran=ran, **fields)
        for one in calls[:count]
    ]
    return calls, [runner("one", first), runner("two", second)]


def test_repeats_up_to_the_bound_pass():
    """A check that counts first arrivals as repeats would fail here."""
    assert broken(*repeated(20, requests=50)) == []


def test_repeats_beyond_the_bound_are_found_also_if_runners_rejected_them():
    """Misses rejected arrivals if only runs are counted."""
    assert broken(*repeated(21, requests=50)) == ["repeats"]


def test_windows_slide():
    """Misses a burst that two fixed windows share."""
    calls, runners = repeated(24, requests=24, spread=12.0)
    assert broken(calls, runners) == ["repeats"]
    calls, runners = repeated(24, requests=24, spread=24.0)
    assert broken(calls, runners) == []


def test_repeats_of_the_window_before_are_allowed_by_its_requests():
    """A repeat may come when its request is not in the window any more."""
    calls, runners = repeated(20, requests=50, repeat_after=9.0, deadline_ms=1)
    assert broken(calls, runners) == []
    calls, runners = repeated(20, requests=50, repeat_after=25.0, deadline_ms=1)
    assert broken(calls, runners) == ["repeats"]


def test_services_have_bounds_of_their_own():
    """Requests for one service must not allow repeats to another."""
    calls, runners = repeated(12, requests=12)
    drafts = [call(f"d{number}", path="draft") for number in range(100)]
    models = runner("model", map(arrival, "xy"), service=pool_fleet.MODEL_SERVICE)
    assert broken([*calls, *drafts], [*runners, models]) == []
    calls, runners = repeated(13, requests=12)
    assert broken([*calls, *drafts], [*runners, models]) == []
    calls, runners = repeated(13, requests=13)
    assert broken([*calls, *drafts], [*runners, models]) == ["repeats"]


def ran_thrice(count, **third):
    calls = [call(f"c{number}") for number in range(count)]
    logs = [[arrival(one.attempt, at=at) for one in calls] for at in (100.0, 100.1, 100.2)]
    names = ("one", "two", "three")
    third_runner = runner(names[2], logs[2], **third)
    return calls, [*map(runner, names[:2], logs[:2]), third_runner]


@pytest.mark.parametrize(("count", "found"), [(3, False), (4, True)])
def test_more_runners_than_attempts(count, found):
    """More than three requests may not run on more runners than their route allows."""
    assert bool(broken(*ran_thrice(count))) is found


def test_rejections_and_runners_that_ended_or_were_cut_off_are_no_attempts():
    """Users do not count runners that ended meanwhile, nor requests that did not run."""
    assert broken(*ran_thrice(4, ended_at=[101.0])) == []
    assert broken(*ran_thrice(4, ended_at=[99.0])) != []
    fault = repeat_checks.RunnerFault(vm_id="three", begin=101.0, end=102.0)
    assert broken(*ran_thrice(4), runner_faults=[fault]) == []
    calls, runners = ran_thrice(4)
    runners[2].arrival_log = [arrival(one.attempt, ran=False) for one in calls]
    assert broken(calls, runners) == []


@pytest.mark.parametrize("deadline_ms", [None, BUDGET_MS + 501])
def test_first_arrivals_without_the_deadline_of_their_caller(deadline_ms):
    """A runner works on beyond the time that its caller waits."""
    calls = [call(f"c{number}") for number in range(21)]
    log = [arrival(one.attempt, deadline_ms=deadline_ms) for one in calls]
    assert len(broken(calls, [runner("one", log)])) == 1
    assert broken(calls, [runner("one", log[1:])]) == []


@pytest.mark.parametrize(
    ("deadline_ms", "repeat_after", "found"),
    [(BUDGET_MS, 0.6, True), (BUDGET_MS, 0.4, False), (BUDGET_MS - 600, 0.6, False)],
)
def test_late_repeats_with_the_deadline_of_the_first(deadline_ms, repeat_after, found):
    """A repeat that names the caller's whole time again has more than is left."""
    calls, runners = repeated(
        24, requests=100, repeat_after=repeat_after, deadline_ms=deadline_ms, ran=True
    )
    assert bool(broken(calls, runners)) is found


@pytest.mark.parametrize(("late", "found"), [(105, False), (104, True)])
def test_few_long_deadlines_among_many_late_repeats_pass(late, found):
    """Users allow a fifth of the late repeats."""
    calls, runners = repeated(late, requests=600, repeat_after=1.0, deadline_ms=1)
    runners[1].arrival_log[:21] = [arrival(one.attempt, at=101.0) for one in calls[:21]]
    assert bool(broken(calls, runners)) is found


def test_deadlines_of_disturbed_nodes_and_runners_do_not_count():
    """A process that was paused hands requests on late."""
    calls = [call(f"c{number}", address="node") for number in range(21)]
    runners = [runner("one", [arrival(one.attempt, deadline_ms=None) for one in calls])]
    span = {"begin": 99.0, "end": 101.0}
    assert broken(calls, runners) != []
    assert broken(calls, runners, disturbances=[checks.Disturbance(address="node", **span)]) == []
    faults = [repeat_checks.RunnerFault(vm_id="one", **span)]
    assert broken(calls, runners, runner_faults=faults) == []


def test_repeats_are_counted_by_service():
    """A run without repeats shows nothing about their bound."""
    _, runners = repeated(3, requests=5)
    models = runner("model", [arrival("x")], service=pool_fleet.MODEL_SERVICE)
    assert repeat_checks.count_repeats([*runners, models]) == {
        pool_fleet.PLAIN_SERVICE: 3,
        pool_fleet.MODEL_SERVICE: 0,
    }


def test_a_callers_repeat_under_the_same_id_is_a_request_of_its_own():
    """The arrivals of such repeats must not use up the bound on the nodes' own repeats."""
    sent = [call("one", sent_at=100.0 + number) for number in range(12)]
    arrivals = [arrival("one", at=one.sent_at + 0.1) for one in sent]
    assert broken(sent, [runner("a", arrivals)]) == []
    again = [arrival("one", at=one.sent_at + 0.2, ran=False) for one in sent]
    more = [arrival("one", at=one.sent_at + 0.3, ran=False) for one in sent]
    assert broken(sent, [runner("a", arrivals), runner("b", [*again, *more])]) == ["repeats"]
