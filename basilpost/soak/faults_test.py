"""Tests of the draws of faults."""

import pytest

from basilpost.soak import faults

PLANNED = {
    *faults.PLANNED,
    *faults.DRAIN_KINDS,
    faults.Kind.CONFIGURED,
}


@pytest.mark.parametrize("seed", range(20))
def test_planned_drains_of_a_seed_with_planned_work_only_have_no_other_fault(seed):
    """An unplanned fault there would make a lost stream look as if planned work had cut it."""
    drawn = faults.draw_drains(seed, seconds=8.0, planned_only=True)
    assert {fault.kind for fault in drawn} <= PLANNED
    assert drawn == faults.draw_drains(seed, seconds=8.0, planned_only=True)
    withdrawals = [f for f in drawn if f.kind in (faults.Kind.KEY_TAKEN, faults.Kind.DOMAIN_OUT)]
    assert len(withdrawals) <= 1


def test_other_seeds_have_unplanned_faults_beside_the_drains():
    kinds = {
        fault.kind
        for seed in range(20)
        for fault in faults.draw_drains(seed, seconds=8.0, planned_only=False)
    }
    assert kinds >= set(faults.UNPLANNED_BESIDE_DRAINS) | set(faults.DRAIN_KINDS)


@pytest.mark.parametrize("seed", range(20))
def test_a_planned_takeover_kills_or_freezes_a_node(seed):
    """A stream that is lost beside it would be excused."""
    drawn = faults.draw_takeovers(seed, seconds=8.0, planned_only=True)
    lost = [fault.kind for fault in drawn if fault.hits_controller]
    assert lost and set(lost) == {faults.Kind.STOP}
    assert drawn == faults.draw_takeovers(seed, seconds=8.0, planned_only=True)
