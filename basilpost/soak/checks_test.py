"""Tests that the soak's checks detect violations; each case breaks one guarantee."""

import dataclasses
import json

import pytest

from basilpost.emulator import pool_fleet, pool_runner
from basilpost.soak import checks

EVENTS = b"".join(
    f"id: {number}\ndata: one {number}\n\n".encode()
    for number in range(1, pool_runner.Options().events + 1)
)
FILED = checks.Call(
    attempt="one",
    path="filing",
    key=pool_fleet.KEY,
    sent_at=100.0,
    status=200,
    complete=True,
    signed=True,
    body=json.dumps({"attempt": "one"}).encode(),
)
DRAFTED = dataclasses.replace(FILED, path="draft", body=EVENTS)
RAN = pool_runner.Run(
    attempt="one",
    workspace="studio",
    path="/filing/a",
    body=b"",
    group="",
    epoch=0,
    after="",
    credential_forwarded=False,
)
STOP = checks.Stop(node_id="node-0", address="n", at=90.0, ended_at=93.0, started=True, exit_code=0)
DOMAIN_WITHDRAWAL = checks.Withdrawal(name="a", at=90.0, until=110.0)
KEY_WITHDRAWAL = checks.Withdrawal(name=pool_fleet.KEY, at=90.0, until=110.0)


def runner(*runs, joins=()):
    emulated = pool_runner.PoolRunner(vm_id="vm", service="s", store=None)
    emulated.runs += runs
    emulated.joins += joins
    return emulated


def broken(call, *runners, **options):
    return [line.partition(":")[0] for line in broken_lines(call, *runners, **options)]


def broken_lines(call, *runners, **options):
    defaults = {
        "withdrawn_keys": (),
        "withdrawn_failure_domains": (),
        "planned_only": False,
    }
    return checks.check([call], runners, **(defaults | options))


def test_correct_runs_pass():
    assert broken(FILED, runner(RAN)) == []
    assert broken(DRAFTED, runner(RAN), planned_only=True) == []


@pytest.mark.parametrize(
    ("call", "runs", "line"),
    [
        (FILED, [RAN, RAN], "ran more than once"),
        (dataclasses.replace(FILED, status=503), [RAN], "ran although the answer says not"),
        (dataclasses.replace(FILED, signed=False), [RAN], "a success without signature"),
        (dataclasses.replace(FILED, body=b"other"), [RAN], "a success with another body"),
        (dataclasses.replace(DRAFTED, body=EVENTS[:-1]), [RAN], "a success with another body"),
        (
            dataclasses.replace(DRAFTED, complete=False, body=b"id: 1\nx\n\nid: 3\nx\n\n"),
            [RAN],
            "events are missing or come twice",
        ),
        (
            dataclasses.replace(DRAFTED, body=EVENTS.replace(b"one 2", b"other 2")),
            [RAN],
            "events of another request",
        ),
        (
            dataclasses.replace(DRAFTED, path="draft-whole"),
            [RAN, RAN],
            "ran more than once",
        ),
        (
            dataclasses.replace(FILED, attempt="other", body=b'{"attempt": "other"}'),
            [RAN],
            "ran unasked",
        ),
        (
            FILED,
            [dataclasses.replace(RAN, credential_forwarded=True)],
            "the caller's key was handed on",
        ),
    ],
)
def test_a_broken_guarantee_is_detected(call, runs, line):
    assert broken(call, runner(*runs)) == [line]


def test_a_request_cut_by_planned_work_is_detected():
    cut = dataclasses.replace(FILED, complete=False, status=0)
    assert broken(cut, runner(RAN), planned_only=True) == ["cut by planned work"]
    assert broken(cut, runner(RAN)) == []


@pytest.mark.parametrize(
    ("changes", "runs", "logged_requests", "lost"),
    [
        ({}, [], [], False),
        ({}, [RAN], [], True),
        ({}, [], ["one"], True),
        ({}, [], ["other"], False),
        ({"status": 200}, [], [], True),
        ({"timed_out": True}, [], [], True),
        ({"status": 503, "complete": True}, [RAN], ["one"], False),
    ],
    ids=[
        "crossed the close",
        "ran",
        "read by the node",
        "another one was read",
        "a stream that ended early",
        "no answer on an open connection",
        "answered with a refusal",
    ],
)
def test_a_request_without_an_answer_is_lost_if_a_node_had_read_it(
    changes, runs, logged_requests, lost
):
    call = dataclasses.replace(
        FILED, **({"path": "draft", "status": 0, "complete": False, "body": b""} | changes)
    )
    lines = broken(call, runner(*runs), planned_only=True, logged_requests=logged_requests)
    assert lines == ([checks.CUT] if lost else [])


def test_a_repeat_under_the_same_id_is_told_from_the_request_before():
    """A run of the repeat must not be taken for a run of a request that was answered as not run."""
    refused = dataclasses.replace(FILED, status=503, ended_at=101.0)
    repeated = dataclasses.replace(FILED, sent_at=102.0)

    def lines(*runs):
        return [
            line.partition(":")[0]
            for line in checks.check(
                [refused, repeated],
                [runner(*runs)],
                withdrawn_keys=(),
                withdrawn_failure_domains=(),
                planned_only=False,
            )
        ]

    early, late = (dataclasses.replace(RAN, at=at) for at in (100.5, 102.5))
    assert lines(late) == []
    assert lines(early) == ["ran although the answer says not"]
    assert lines(early, late) == ["ran although the answer says not", "ran more than once"]


def test_a_lost_stream_is_reported_with_the_runner_that_cut_it_off_as_ordered():
    cut = dataclasses.replace(DRAFTED, complete=False, body=EVENTS[:20])
    cutting = runner(RAN)
    cutting.cut_off.append("one")
    (line,) = broken_lines(cut, cutting, planned_only=True)
    assert line == "cut by planned work: one, draft, status 200, cut off as ordered by vm"


def test_a_lost_request_is_reported_with_the_last_stop_before_its_end():
    cut = dataclasses.replace(FILED, complete=False, status=0, address="n", ended_at=100.5)
    stops = [
        dataclasses.replace(STOP, at=80.0),
        dataclasses.replace(STOP, at=97.0, ended_at=100.75),
        dataclasses.replace(STOP, at=98.0, address="other"),
        dataclasses.replace(STOP, at=101.0),
    ]
    (line,) = broken_lines(cut, runner(RAN), planned_only=True, stops=stops)
    assert line == (
        "cut by planned work: one, filing, status 0, sent 3.00 s after SIGTERM to node-0"
        ", ended 0.50 s later, process gone at 3.75 s"
    )


def test_a_stream_must_have_all_events_that_its_runner_sends():
    assert broken(DRAFTED, runner(RAN), events=pool_runner.Options().events + 1) == [
        "a success with another body"
    ]


@pytest.mark.parametrize(
    ("started", "exit_code", "seconds", "lines"),
    [
        (True, 0, 7.9, []),
        (False, 0, 7.9, []),
        (False, -15, 0.1, []),
        (True, -15, 0.1, ["node-0 ended with -15 when asked to stop"]),
        (False, -1, 0.1, ["node-0 ended with -1 when asked to stop"]),
        (True, 1, 3.0, ["node-0 ended with 1 when asked to stop"]),
        (True, 0, 8.5, ["node-0 took 8.50 s to stop"]),
        (True, -9, 8.5, ["node-0 ended with -9 when asked to stop", "node-0 took 8.50 s to stop"]),
    ],
)
def test_a_stop_must_end_with_0_in_its_time(started, exit_code, seconds, lines):
    stop = dataclasses.replace(
        STOP, started=started, exit_code=exit_code, ended_at=STOP.at + seconds
    )
    assert checks.check_stop(stop, seconds=8.0) == lines


def test_use_after_a_withdrawal_is_detected():
    assert broken(FILED, runner(RAN), withdrawn_failure_domains=[DOMAIN_WITHDRAWAL]) != []
    assert broken(FILED, runner(RAN), withdrawn_keys=[KEY_WITHDRAWAL]) != []
    late = dataclasses.replace(RAN, at=111.0)
    assert (
        broken(
            FILED,
            runner(late),
            withdrawn_failure_domains=[DOMAIN_WITHDRAWAL],
            withdrawn_keys=[KEY_WITHDRAWAL],
        )
        == []
    )
    soon = dataclasses.replace(FILED, sent_at=94.0)
    assert (
        broken(
            soon,
            runner(RAN),
            withdrawn_failure_domains=[DOMAIN_WITHDRAWAL],
            withdrawn_keys=[KEY_WITHDRAWAL],
        )
        == []
    )


def test_a_join_from_another_group_is_detected():
    two = runner(RAN, joins=[("large--2", "large--1")])
    assert broken(FILED, two) == ["vm went from large--1 straight to large--2"]
    assert broken(FILED, runner(RAN, joins=[("large--2", "standby-large--1")])) == []


def crashed_runner(crash_times, runs=()):
    runner = pool_runner.PoolRunner(vm_id="vm", service="s", store=None)
    runner.crashes += [pool_runner.Crash(at=at, parts=("shared", "bad")) for at in crash_times]
    runner.runs += [
        pool_runner.Run(
            attempt=attempt,
            workspace="",
            path="/draft/a",
            body=b"",
            group="g",
            epoch=1,
            after="",
            credential_forwarded=False,
            at=at,
            parts=("shared", "bad"),
        )
        for attempt, at in runs
    ]
    return runner


def prompt_call(attempt, at, *, part, status=200):
    return checks.Call(
        attempt=attempt,
        path="draft",
        key="",
        sent_at=at,
        status=status,
        complete=True,
        signed=True,
        body=b"",
        address="n0",
        prompt_parts=("shared", part),
    )


def check_crashes(calls, runner, disturbances=()):
    return checks.check_crashes(
        calls, [runner], parts=frozenset({"bad"}), disturbances=disturbances
    )


def test_late_arrivals_of_a_part_that_crashes_runners_are_counted():
    late = [(f"a{number}", 20.0 + number) for number in range(4)]
    calls = [prompt_call(attempt, at, part="bad") for attempt, at in late]
    runner = crashed_runner([1.0, 2.0, 3.0, 4.0, 5.0], late)
    (violation,) = check_crashes(calls, runner)
    assert "4 arrivals late" in violation
    assert check_crashes(calls, crashed_runner([1.0, 2.0, 3.0, 4.0, 5.0], late[:3])) == []
    disturbed = checks.Disturbance(address="n0", begin=19.0, end=21.0)
    assert check_crashes(calls, runner, [disturbed]) == []


def test_late_arrivals_of_a_request_that_crashes_runners_are_counted():
    calls = [
        checks.Call(
            attempt=f"a{number}",
            path="draft",
            key=pool_fleet.KEY,
            sent_at=20.0 + number,
            status=0,
            complete=False,
            signed=False,
            body=b"",
            sent_body=b"bad",
        )
        for number in range(4)
    ]

    def late_lines(arrivals, *, body=b"bad"):
        runner = crashed_runner([])
        runner.crashes += [pool_runner.Crash(at=at, parts=(), body=body) for at in (1.0, 2.0, 3.0)]
        runner.runs += [
            pool_runner.Run(
                attempt=call.attempt,
                workspace="",
                path="/draft/c",
                body=b"bad",
                group="g",
                epoch=1,
                after="",
                credential_forwarded=False,
                at=call.sent_at,
            )
            for call in calls[:arrivals]
        ]
        return checks.check_crashes(
            calls, [runner], parts=frozenset(), bodies=frozenset({b"bad"}), disturbances=()
        )

    assert late_lines(4) == ["bad crashed 3 runners, 4 arrivals late"]
    assert late_lines(3) == []
    assert late_lines(4, body=b"other") == []


def test_sound_requests_that_are_served_less_than_half_as_often_are_a_violation():
    def calls(status):
        before = [prompt_call(f"b{n}", 1.0, part="good") for n in range(20)]
        return before + [
            prompt_call(f"c{n}", 20.0, part="good", status=status if n < 11 else 200)
            for n in range(20)
        ]

    runner = crashed_runner([2.0, 3.0])
    (violation,) = check_crashes(calls(503), runner)
    assert "0.45" in violation
    assert check_crashes(calls(200), runner) == []


def test_callers_of_nodes_without_a_path_that_are_served_too_seldom_are_a_violation():
    def calls(status):
        return [
            dataclasses.replace(
                prompt_call(f"{node}-{n}", 14.0 + n / 100, part="good"),
                address=node,
                status=status if node == "n0" and n < 40 else 200,
            )
            for node in ("n0", "n1")
            for n in range(100)
        ]

    cuts = [checks.Disturbance(address="n0", begin=10.0, end=20.0)]
    (violation,) = checks.check_paths(calls(503), cuts=cuts, disturbances=())
    assert "0.60 of 100" in violation and "others 1.00" in violation
    assert checks.check_paths(calls(200), cuts=cuts, disturbances=()) == []
    disturbed = [checks.Disturbance(address="n0", begin=9.0, end=21.0)]
    assert checks.check_paths(calls(503), cuts=cuts, disturbances=disturbed) == []
    # Within 3 s of the cut, nodes may not know of it yet.
    late = [checks.Disturbance(address="n0", begin=13.0, end=23.0)]
    assert checks.check_paths(calls(503), cuts=late, disturbances=()) == []
