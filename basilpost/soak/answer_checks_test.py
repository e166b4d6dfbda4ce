"""Tests that answers which are not the runner's own are detected; each case breaks one promise."""

import dataclasses

import pytest

from basilpost.emulator import pool_fleet, pool_runner
from basilpost.soak import answer_checks, checks

LOOKED_UP = checks.Call(
    attempt="one",
    path="lookup",
    key=pool_fleet.KEY,
    sent_at=100.0,
    status=200,
    complete=True,
    signed=True,
    body=b"own",
    ended_at=101.0,
)
OWN = pool_runner.Answer(attempt="one", status=200, body=b"own", at=100.5)
FAILED = dataclasses.replace(OWN, status=500, body=b"failed")


def broken(answers, **changes):
    runner = pool_runner.PoolRunner(vm_id="vm", service="s", store=None)
    runner.answers += answers
    lines = answer_checks.check_answers([dataclasses.replace(LOOKED_UP, **changes)], [runner])
    return [line.partition(":")[0] for line in lines]


@pytest.mark.parametrize(
    ("answers", "changes"),
    [
        ([OWN], {}),
        ([FAILED, OWN], {}),
        ([FAILED], {"status": 500, "body": b"failed"}),
        ([], {"status": 502, "signed": False, "body": b"lost"}),
        ([FAILED], {"status": 502, "signed": False, "body": b"lost"}),
        ([FAILED], {"complete": False}),
        ([dataclasses.replace(OWN, body=b"")], {"path": "draft"}),
    ],
)
def test_own_answers_and_the_nodes_own_failures_pass(answers, changes):
    assert broken(answers, **changes) == []


@pytest.mark.parametrize(
    "answers",
    [
        [],
        [FAILED],
        [dataclasses.replace(OWN, attempt="other")],
        [dataclasses.replace(OWN, at=99.0)],
        [dataclasses.replace(OWN, at=102.0)],
    ],
    ids=["none", "a failure", "to another request", "to an earlier sending", "too late"],
)
def test_a_success_that_no_runner_gave_is_detected(answers):
    assert broken(answers) == ["a success that no runner gave"]


def test_a_success_with_the_body_of_another_answer_is_detected():
    assert broken([FAILED, OWN], body=b"failed") == ["a success without its runner's body"]


def test_a_stream_that_no_runner_began_is_detected():
    assert broken([FAILED], path="draft") == ["a success that no runner gave"]


def test_a_signed_failure_with_another_status_is_detected():
    assert broken([FAILED], status=503) == ["a failure with a status that no runner gave"]
    assert broken([OWN], status=500) == ["a failure with a status that no runner gave"]
