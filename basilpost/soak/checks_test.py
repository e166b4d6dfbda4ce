"""Tests that the soak's checks see what they are for; each case breaks one promise."""

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
OUT = checks.Withdrawal(name="a", at=90.0, until=110.0)
KEY_OUT = checks.Withdrawal(name=pool_fleet.KEY, at=90.0, until=110.0)


def runner(*runs, joins=()):
    one = pool_runner.PoolRunner(vm_id="vm", service="s", store=None)
    one.runs += runs
    one.joins += joins
    return one


def broken(call, *runners, keys=(), failure_domains=(), planned=False):
    found = checks.check(
        [call], runners, keys=keys, failure_domains=failure_domains, planned=planned
    )
    return [line.partition(":")[0] for line in found]


def test_what_is_as_it_should_be_passes():
    assert broken(FILED, runner(RAN)) == []
    assert broken(DRAFTED, runner(RAN), planned=True) == []


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
def test_a_broken_promise_is_seen(call, runs, line):
    assert broken(call, runner(*runs)) == [line]


def test_what_planned_work_cuts_is_seen():
    cut = dataclasses.replace(FILED, complete=False, status=0)
    assert broken(cut, runner(RAN), planned=True) == ["cut by planned work"]
    assert broken(cut, runner(RAN)) == []


def test_use_after_a_withdrawal_is_seen():
    assert broken(FILED, runner(RAN), failure_domains=[OUT]) != []
    assert broken(FILED, runner(RAN), keys=[KEY_OUT]) != []
    late = dataclasses.replace(RAN, at=111.0)
    assert broken(FILED, runner(late), failure_domains=[OUT], keys=[KEY_OUT]) == []
    soon = dataclasses.replace(FILED, sent_at=94.0)
    assert broken(soon, runner(RAN), failure_domains=[OUT], keys=[KEY_OUT]) == []


def test_a_vm_that_goes_from_one_group_to_another_is_seen():
    two = runner(RAN, joins=[("large--2", "large--1")])
    assert broken(FILED, two) == ["vm went from large--1 straight to large--2"]
    assert broken(FILED, runner(RAN, joins=[("large--2", "standby-large--1")])) == []
