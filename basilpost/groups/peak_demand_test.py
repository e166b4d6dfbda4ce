"""Tests of planning for the peak: a trough must not cost the capacity of the next peak."""

import pytest

from basilpost.core import catalog
from basilpost.groups import peak_demand
from basilpost.members import rank_demand


def model(name, load_seconds):
    return catalog.Model(
        name=name, vms=4, pace=1.0, work_share=0.5, load_seconds=load_seconds, warm_seconds=1.0
    )


MODELS = (model("large", 16.0), model("small", 12.0))


def test_a_peak_is_planned_for_through_a_trough_and_forgotten_after_two_loads():
    peaks = peak_demand.PeakDemand()
    assert peaks.slots_wanted(MODELS, now=0.0) == {}
    for second, slots in enumerate([100.0, 180.0, 60.0, 40.0, 50.0]):
        peaks.record({"small": slots, "large": 10.0}, now=float(second))
    assert peaks.slots_wanted(MODELS, now=5.0) == {"small": 180.0, "large": 10.0}
    for second in range(5, 60):
        peaks.record({"small": 50.0}, now=float(second))
    assert peaks.slots_wanted(MODELS, now=60.0)["small"] == 50.0


def test_a_model_that_nobody_asks_for_wants_no_slots():
    peaks = peak_demand.PeakDemand()
    peaks.record({"small": 5.0}, now=1.0)
    assert peaks.slots_wanted(MODELS, now=1.0) == {"small": 5.0, "large": 0.0}


def test_all_ranks_of_a_model_count():
    engine = catalog.Engine(slots=10, loads_per_second=1.0, open_seconds=0.1, models=MODELS)
    wanted = {
        rank_demand.RankKey(model="small", rank=rank): rank_demand.RankDemand(
            requests=1.0, work=work, refused=0.5
        )
        for rank, work in ((0, 1.5), (2, 0.5))
    }
    assert peak_demand.slots_from_work(wanted, engine) == {"small": pytest.approx(20.0)}
