"""Tests that the soak's checks detect violations; each case breaks one guarantee."""

import dataclasses
import json

import pytest

from basilpost.emulator import pool_fleet, pool_runner
from basilpost.soak import checks

EVENTS = b"".join(
    f"id: {number}\ndata: x\n\n".encode() for number in range(1, pool_runner.Options().events + 1)
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
DOMAIN_WITHDRAWAL = checks.Withdrawal(name="a", at=90.0, until=110.0)
KEY_WITHDRAWAL = checks.Withdrawal(name=pool_fleet.KEY, at=90.0, until=110.0)


def runner(*runs, joins=()):
    emulated = pool_runner.PoolRunner(vm_id="vm", service="s", store=None)
    emulated.runs += runs
    emulated.joins += joins
    return emulated


def broken(call, *runners, withdrawn_keys=(), withdrawn_failure_domains=(), planned_only=False):
    violations = checks.check(
        [call],
        runners,
        withdrawn_keys=withdrawn_keys,
        withdrawn_failure_domains=withdrawn_failure_domains,
        planned_only=planned_only,
    )
    return [line.partition(":")[0] for line in violations]


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
