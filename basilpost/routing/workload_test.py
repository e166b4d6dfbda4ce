"""Tests of predicted work: requests of very different size must not count as one each."""

import pytest

from basilpost.core import catalog
from basilpost.routing import header_dialect, workload

FIGURES = catalog.EngineFigures(
    step_seconds=0.006,
    request_step_seconds=0.0005,
    context_step_seconds=0.00001,
    read_tokens_per_second=46_000.0,
    pair_seconds=0.0007,
    steps_per_pass=5,
    memory_tokens=20_000,
    usual_answer_tokens=100.0,
)
MODEL = catalog.Model(
    name="m", vms=4, pace=0.5, work_share=1.0, load_seconds=12.0, warm_seconds=1.0
)
ENGINE = catalog.Engine(
    slots=10, loads_per_second=1.0, open_seconds=0.3, models=(MODEL,), figures=FIGURES
)


def call(*, prompt=700, answer=0, estimate=0):
    return header_dialect.RequestInfo(
        request_id="",
        key="",
        budget_seconds=None,
        model="m",
        prompt_tokens=prompt,
        max_answer_tokens=answer,
        last_event_id="",
        expected_answer_tokens=estimate,
    )


def test_long_prompts_and_long_answers_are_more_work():
    usual = workload.work_seconds(call(), ENGINE, MODEL)
    # 100 steps of 11 ms for ten requests at once, and 15 ms of reading, at pace 0.5.
    assert usual == pytest.approx((0.1 * 1.1 + 700 / 46_000) / 2, rel=0.05)
    assert workload.work_seconds(call(prompt=7000), ENGINE, MODEL) > 2 * usual
    assert workload.work_seconds(call(estimate=300), ENGINE, MODEL) > 2 * usual


def test_estimates_count_within_bounds_only():
    assert workload.answer_tokens(call(estimate=1_000_000), FIGURES) == 400.0
    assert workload.answer_tokens(call(estimate=1_000_000, answer=50), FIGURES) == 50.0
    assert workload.answer_tokens(call(answer=500), FIGURES) == 100.0


def test_the_first_event_comes_later_at_a_full_target():
    def first(in_flight):
        return workload.first_event_seconds(call(), ENGINE, MODEL, in_flight=in_flight)

    assert first(0) < first(9) < first(10) < first(20)
    work = workload.work_seconds(call(), ENGINE, MODEL)
    assert first(20) - first(10) == pytest.approx(10 * work)


def test_memory_is_never_exceeded_and_a_large_request_gets_an_empty_target():
    large = call(prompt=15_000)
    assert workload.fits_memory(large, FIGURES, in_flight=0)
    assert not workload.fits_memory(large, FIGURES, in_flight=1)
    assert workload.fits_memory(call(), FIGURES, in_flight=9)
    assert not workload.fits_memory(call(prompt=30_000), FIGURES, in_flight=0)


def test_without_figures_nothing_is_predicted():
    engine = catalog.Engine(slots=10, loads_per_second=1.0, open_seconds=0.3, models=(MODEL,))
    assert workload.work_seconds(call(), engine, MODEL) == 0.0
    assert workload.first_event_seconds(call(), engine, MODEL, in_flight=50) == 0.0


def test_a_half_full_target_does_more_than_half_of_its_work():
    assert workload.utilization(ENGINE, in_flight=0) == 0.0
    assert 0.5 < workload.utilization(ENGINE, in_flight=5) < 0.8
    assert workload.utilization(ENGINE, in_flight=10) == pytest.approx(1.0)
    assert workload.utilization(ENGINE, in_flight=30) == pytest.approx(1.0)


def test_predicted_work_is_corrected_by_the_requests_that_are_in_flight():
    """Where the figures or the callers' estimates are wrong, callers would be refused beside free slots."""
    correction = workload.Correction()
    for _ in range(200):
        correction.record(predicted=8.0, observed=4.0, seconds=0.1, saturated=False)
    assert correction.factor == pytest.approx(0.5, abs=0.05)
    for _ in range(400):
        correction.record(predicted=1.0, observed=100.0, seconds=0.1, saturated=False)
    assert correction.factor == pytest.approx(workload.MAX_CORRECTION, abs=0.05)


def test_saturated_targets_do_not_make_requests_seem_cheaper():
    """Targets that were given twice what they do seemed to need half the work, and got still more."""
    correction = workload.Correction()
    for _ in range(200):
        correction.record(predicted=20.0, observed=10.0, seconds=0.1, saturated=True)
    assert correction.factor == 1.0
    for _ in range(200):
        correction.record(predicted=5.0, observed=10.0, seconds=0.1, saturated=True)
    assert correction.factor == pytest.approx(2.0, abs=0.05)


def test_a_quiet_model_changes_no_correction():
    correction = workload.Correction()
    correction.record(predicted=0.0, observed=0.0, seconds=0.1, saturated=False)
    correction.record(predicted=0.01, observed=0.5, seconds=0.1, saturated=False)
    assert correction.factor == 1.0
