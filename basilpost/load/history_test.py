"""Tests that each history check passes a correct history and reports each kind of violation."""

import dataclasses

from basilpost.emulator import records as back_ends
from basilpost.load import history, records

GOOD = records.Record(
    request_id="r1", kind=records.Kind.FILING, workspace="w", gateway="g", key="k1", scheduled=0.0,
    sent=0.0, finished=2.0, status=201, outcome="ran", complete=True, answer_digest="d",
    expected_digest="d", answered_ids=("r1", "r1.0a1b2c3d-1"),
)  # fmt: skip
REFUSED = dataclasses.replace(GOOD, status=503, outcome="not-run", error="no_healthy_group")
FILING = back_ends.Filing(
    request_id="r1.0a1b2c3d-1", key="k1", instance="i1", path="/f", digest="d", at=1.0
)
RUN = back_ends.Run(
    request_id="r1.0a1b2c3d-1", vm_id="vm-1", group_id="g", generation=2, started=10.0,
    finished=12.0, outcome="finished", in_flight=2, cold=True, cold_limit=2,
)  # fmt: skip
FIRST = back_ends.Membership(
    vm_id="vm-1", group_id="g", generation=2, members=("a1", "a2"), began=5.0
)
SECOND = dataclasses.replace(FIRST, vm_id="vm-2")
VM_IDS = {"a1": "vm-1", "a2": "vm-2"}


def test_incomplete_wrong_and_foreign_answers_are_violations():
    assert history.check_answers([GOOD, REFUSED]) == []
    truncated = dataclasses.replace(GOOD, complete=False)
    wrong = dataclasses.replace(GOOD, answer_digest="x")
    foreign = dataclasses.replace(GOOD, answered_ids=("r1", "r2.0a1b2c3d-1"))
    assert [len(history.check_answers([bad])) for bad in (truncated, wrong, foreign)] == [1, 1, 1]


def test_a_truncated_answer_with_an_error_is_no_violation():
    assert history.check_answers([dataclasses.replace(GOOD, complete=False, error="lost")]) == []


def test_a_key_that_ran_twice_is_a_violation():
    keyless = dataclasses.replace(FILING, key="")
    assert history.check_at_most_once([FILING, keyless, keyless]) == []
    twice = [FILING, dataclasses.replace(FILING, instance="i2", request_id="r2")]
    assert "k1 ran 2 times" in history.check_at_most_once(twice)[0].reason


def test_a_refused_request_that_ran_is_a_violation():
    assert history.check_not_run_refusals([GOOD], [FILING], [RUN]) == []
    assert history.check_not_run_refusals([REFUSED], [], []) == []
    assert len(history.check_not_run_refusals([REFUSED], [FILING], [])) == 1
    assert len(history.check_not_run_refusals([REFUSED], [], [RUN])) == 1
    other_id = dataclasses.replace(FILING, request_id="r0.0a1b2c3d-1")
    assert len(history.check_not_run_refusals([REFUSED], [other_id], [])) == 1
    later = dataclasses.replace(other_id, at=3.0)
    assert history.check_not_run_refusals([REFUSED], [later], []) == []


def test_a_receipt_without_a_run_is_a_violation():
    assert history.check_receipts([GOOD, REFUSED], [FILING]) == []
    assert len(history.check_receipts([GOOD], [])) == 1


def test_a_run_without_all_members_is_a_violation():
    assert history.check_groups_complete([RUN], [FIRST, SECOND], VM_IDS) == []
    absent = [FIRST]
    gone = [FIRST, dataclasses.replace(SECOND, ended=9.0)]
    gone_midway = [FIRST, dataclasses.replace(SECOND, ended=11.0)]
    late = [FIRST, dataclasses.replace(SECOND, began=10.5)]
    other = [FIRST, dataclasses.replace(SECOND, generation=1)]
    for bad in (absent, gone, gone_midway, late, other, []):
        assert len(history.check_groups_complete([RUN], bad, VM_IDS)) == 1
    broken = dataclasses.replace(RUN, outcome="broken")
    assert history.check_groups_complete([broken], gone_midway, VM_IDS) == []


def test_a_start_after_a_withdrawal_is_a_violation():
    def check(at, *, returned=None):
        withdrawal = history.Withdrawal(name="zone-a", left=10.0, returned=returned)
        starts = {"zone-a": [("r1", at)], "zone-b": [("r2", 99.0)]}
        return history.check_withdrawals(starts, [withdrawal], allowed_seconds=3.0)

    assert check(9.0) == check(12.9) == check(20.0, returned=19.0) == []
    assert len(check(13.1)) == len(check(18.0, returned=19.0)) == 1


def test_too_many_requests_in_flight_in_a_cold_start_are_a_violation():
    assert history.check_cold_limits([RUN, dataclasses.replace(RUN, cold=False, in_flight=9)]) == []
    assert len(history.check_cold_limits([dataclasses.replace(RUN, in_flight=3)])) == 1


def test_overlapping_memberships_are_a_violation():
    ended = dataclasses.replace(FIRST, ended=8.0)
    after = dataclasses.replace(FIRST, group_id="h", began=8.0)
    assert history.check_memberships([after, ended, SECOND]) == []
    assert len(history.check_memberships([FIRST, after])) == 1
