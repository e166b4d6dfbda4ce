"""Tests of the history checks: each is shown to pass a good record and to fail on a violation."""

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


def test_whole_and_own():
    assert history.whole_and_own([GOOD, REFUSED]) == []
    truncated = dataclasses.replace(GOOD, complete=False)
    other = dataclasses.replace(GOOD, answer_digest="x")
    crossed = dataclasses.replace(GOOD, answered_ids=("r1", "r2.0a1b2c3d-1"))
    assert [len(history.whole_and_own([one])) for one in (truncated, other, crossed)] == [1, 1, 1]


def test_a_truncated_answer_with_an_error_is_no_silent_truncation():
    assert history.whole_and_own([dataclasses.replace(GOOD, complete=False, error="lost")]) == []


def test_at_most_once():
    keyless = dataclasses.replace(FILING, key="")
    assert history.at_most_once([FILING, keyless, keyless]) == []
    twice = [FILING, dataclasses.replace(FILING, instance="i2", request_id="r2")]
    assert "k1 ran 2 times" in history.at_most_once(twice)[0].reason


def test_not_run_is_true():
    assert history.not_run_is_true([GOOD], [FILING], [RUN]) == []
    assert history.not_run_is_true([REFUSED], [], []) == []
    assert len(history.not_run_is_true([REFUSED], [FILING], [])) == 1
    assert len(history.not_run_is_true([REFUSED], [], [RUN])) == 1
    other_id = dataclasses.replace(FILING, request_id="r0.0a1b2c3d-1")
    assert len(history.not_run_is_true([REFUSED], [other_id], [])) == 1
    later = dataclasses.replace(other_id, at=3.0)
    assert history.not_run_is_true([REFUSED], [later], []) == []


def test_accepted_have_run():
    assert history.accepted_have_run([GOOD, REFUSED], [FILING]) == []
    assert len(history.accepted_have_run([GOOD], [])) == 1


def test_group_was_whole():
    assert history.group_was_whole([RUN], [FIRST, SECOND], VM_IDS) == []
    absent = [FIRST]
    gone = [FIRST, dataclasses.replace(SECOND, ended=9.0)]
    gone_midway = [FIRST, dataclasses.replace(SECOND, ended=11.0)]
    late = [FIRST, dataclasses.replace(SECOND, began=10.5)]
    other = [FIRST, dataclasses.replace(SECOND, generation=1)]
    for bad in (absent, gone, gone_midway, late, other, []):
        assert len(history.group_was_whole([RUN], bad, VM_IDS)) == 1
    broken = dataclasses.replace(RUN, outcome="broken")
    assert history.group_was_whole([broken], gone_midway, VM_IDS) == []


def test_none_after_withdrawal():
    def check(at, *, returned=None):
        left = history.Withdrawal(name="zone-a", left=10.0, returned=returned)
        starts = {"zone-a": [("r1", at)], "zone-b": [("r2", 99.0)]}
        return history.none_after_withdrawal(starts, [left], allowed_seconds=3.0)

    assert check(9.0) == check(12.9) == check(20.0, returned=19.0) == []
    assert len(check(13.1)) == len(check(18.0, returned=19.0)) == 1


def test_cold_limit_held():
    assert history.cold_limit_held([RUN, dataclasses.replace(RUN, cold=False, in_flight=9)]) == []
    assert len(history.cold_limit_held([dataclasses.replace(RUN, in_flight=3)])) == 1


def test_none_overlap():
    ended = dataclasses.replace(FIRST, ended=8.0)
    after = dataclasses.replace(FIRST, group_id="h", began=8.0)
    assert history.none_overlap([after, ended, SECOND]) == []
    assert len(history.none_overlap([FIRST, after])) == 1
