"""Tests that lost requests are found; each case has another end or another fault beside it."""

import dataclasses

import pytest

from basilpost.emulator import pool_fleet, pool_runner, stream_endings
from basilpost.soak import checks, loss_checks, repeat_checks

CUT = checks.Call(
    attempt="one",
    path="draft",
    key=pool_fleet.KEY,
    sent_at=100.0,
    status=200,
    complete=False,
    signed=True,
    body=b"",
    address="node:1",
    ended_at=102.0,
    budget_ms=8000,
)


def find(call=CUT, *, ran=True, by="node", ended_at=(), killed_at=(), faults=(), logged=()):
    """Returns the losses of one call, which ran at vm-0 in a group with vm-1 unless `ran` is False."""
    runners = [
        pool_runner.PoolRunner(vm_id=vm_id, service="s", store=None) for vm_id in ("vm-0", "vm-1")
    ]
    if ran:
        runners[0].runs.append(
            pool_runner.Run(
                attempt="one",
                workspace="",
                path="",
                body=b"",
                group="g",
                epoch=1,
                after="",
                credential_forwarded=False,
                at=100.5,
            )
        )
        runners[0].endings.append(
            stream_endings.Ending(
                attempt="one",
                at=102.0,
                by=stream_endings.EndedBy(by),
                members=("vm-0", "vm-1"),
            )
        )
    runners[1].ended_at += ended_at
    return loss_checks.find_losses(
        [call],
        runners,
        killed_at_by_address={"node:1": killed_at, "node:2": (101.0,)},
        runner_faults=[
            repeat_checks.RunnerFault(vm_id="vm-0", begin=begin, end=end) for begin, end in faults
        ],
        logged_requests=logged,
        shortest_timeout=3.5,
        lines_about=lambda request_id: [f"line of {request_id}"],
    )


@pytest.mark.parametrize(
    "known",
    [
        {},
        {"by": "order", "ended_at": [101.5]},
        # The node gave up a group that had lost a member.
        {"by": "node", "ended_at": [101.5]},
        {"by": "runner"},
        {"by": "runner", "ended_at": [103.0]},
        {"by": "runner", "ended_at": [90.0]},
        {"killed_at": [99.0, 103.0]},
        {"faults": [(90.0, 100.4), (102.1, 103.0)]},
        {"call": dataclasses.replace(CUT, path="filing", status=0)},
        {"call": dataclasses.replace(CUT, status=0), "ran": False, "logged": ["one"]},
    ],
)
def test_an_accepted_request_without_a_complete_answer_is_lost(known):
    (line,) = find(**known).lines
    assert line.startswith("lost: one")
    assert "line of one" in line


@pytest.mark.parametrize(
    ("known", "excuse"),
    [
        ({"killed_at": [101.0]}, "its node was killed"),
        ({"faults": [(101.0, 101.1)]}, "the link of its runner was disturbed"),
        (
            {"by": "runner", "ended_at": [101.0]},
            "its runner, or a member of its group, was lost",
        ),
        ({"call": dataclasses.replace(CUT, ended_at=103.45)}, "its time had passed"),
        ({"call": dataclasses.replace(CUT, budget_ms=2050)}, "its time had passed"),
    ],
)
def test_a_fault_excuses_the_requests_that_it_ended(known, excuse):
    losses = find(**known)
    assert losses.lines == ()
    assert losses.excused == {excuse: 1}


@pytest.mark.parametrize(
    "known",
    [
        {"call": dataclasses.replace(CUT, complete=True)},
        {"call": dataclasses.replace(CUT, status=0), "ran": False},
    ],
)
def test_answered_requests_and_those_that_no_node_read_are_not_lost(known):
    losses = find(**known)
    assert (losses.lines, losses.excused) == ((), {})
