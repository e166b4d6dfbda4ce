"""Tests of calculating and rendering the capacity page."""

import dataclasses

import pytest

from basilpost.load import (
    adapters,
    capacity,
    capacity_control,
    capacity_model,
    capacity_page,
    fit,
    samples,
)
from basilpost.settings import schema

LINE = fit.Fit(
    slope=0.002, base=0.01, spread=0.0005, sizes=(1, 2, 4), size_unit="probes",
    value_unit="cpu seconds",
)  # fmt: skip
FITS = {"s": LINE, "few": fit.TooFewSizes(reason="few: 1 sizes, needed 3")}
COST = capacity_model.Cost(
    role="probing", resource=capacity_model.Resource.CPU, work="probes", amount=5,
    amount_text="5 VMs / 1 s", slope="s", scale=100.0, mechanism="one prober",
)  # fmt: skip


def test_a_cost_is_its_amount_times_the_slope():
    evaluated = capacity_page.evaluate(COST, FITS)
    assert (evaluated.value, evaluated.spread) == pytest.approx((1.0, 0.25))


def test_the_cost_of_a_message_includes_the_base():
    evaluated = capacity_page.evaluate(dataclasses.replace(COST, unit_size=10), FITS)
    assert evaluated.value == pytest.approx(5 * 100 * (0.01 + 0.02))


def test_a_negative_base_is_ignored():
    below = {"s": dataclasses.replace(LINE, base=-1.0)}
    evaluated = capacity_page.evaluate(dataclasses.replace(COST, unit_size=10), below)
    assert evaluated.value == pytest.approx(5 * 100 * 0.02)


def test_lines_in_other_formats_become_samples():
    lines = [{"figure": "ledger_bucket", "records": 10, "decode_encode_ms": 2.0, "more": 1},
             {"figure": "unknown", "value": 1}]  # fmt: skip
    (one,) = adapters.samples_of(lines)
    assert (one.slope, one.size, one.value) == ("requests.bucket_cpu_by_records", 10, 0.002)


def test_lines_in_other_formats_become_figures():
    lines = [{"kind": "cost", "nodes": 9, "peer_bytes_per_second": 5.0, "cpu_percent_of_core": 1.0}]
    first, _ = adapters.figures_of(lines)
    assert (first.figure, first.value) == ("peer streams of a node, 9 nodes", 5.0)


def test_the_role_table_shows_measured_and_unmeasured_costs():
    table = capacity_page.role_table([COST, dataclasses.replace(COST, slope="few")], FITS)
    assert "| probes | 5 VMs / 1 s | s | 1 ± 0.25 % of a core | one prober |" in table
    assert "| few | not measured |" in table


def cpu_sum_row(*costs):
    table = capacity_page.sum_table(costs, FITS, capacity_model.Limits())
    return next(line for line in table.splitlines() if line.startswith("| % of a core"))


def test_sums_name_exceeded_limits_and_unmeasured_slopes():
    assert cpu_sum_row(COST).endswith("| carried |")
    half_of_nodes = dataclasses.replace(COST, amount=10, node_share=0.5)
    assert "not carried by the busiest node** (1.3 times" in cpu_sum_row(half_of_nodes)
    assert "**not carried** (2.7 times" in cpu_sum_row(dataclasses.replace(COST, amount=20))
    assert "not measured: few" in cpu_sum_row(COST, dataclasses.replace(COST, slope="few"))


def test_gateway_costs_are_not_part_of_the_control_work():
    assert cpu_sum_row(dataclasses.replace(COST, role="gateway", amount=1000)).endswith(
        "| carried |"
    )


def test_tables_replace_the_text_between_their_markers():
    page = "# Page\n<!-- begin sums -->\nold\n<!-- end sums -->\nrest\n"
    rendered = capacity_page.insert_tables(page, {"sums": "| new |\n"})
    assert "old" not in rendered and "| new |" in rendered and rendered.endswith("rest\n")
    assert capacity_page.insert_tables(rendered, {"sums": "| new |\n"}) == rendered
    assert isinstance(capacity_page.insert_tables(page, {"x": ""}), capacity_page.MissingMarkers)


def test_all_tables_are_rendered_without_measurements():
    rendered = capacity.tables({})
    assert set(capacity_model.ROLES) < rendered.keys()
    assert "not measured" in rendered["gateway"]
    assert "420" in rendered["fleet"]


def test_a_measurement_appears_in_its_tables():
    points = [
        samples.Sample(slope="gateway.cpu_by_tokens", size=size, value=size * 3e-5,
                       size_unit="tokens/s", value_unit="cores")
        for size in (1000.0, 2000.0, 4000.0)
    ]  # fmt: skip
    origin = {"commit": "abc1234", "clean": False, "seed": 1, "cores": 10, "python": "3.11"}
    lines = [dataclasses.asdict(point) for point in points]
    rendered = capacity.tables({"relay": {"origin": origin, "samples": lines}})
    assert "17.1 % of a core" in rendered["gateway"]
    assert "abc1234 with changes" in rendered["origins"]


def test_renewals_and_watching_nodes_depend_on_the_fleet_size():
    small = dataclasses.replace(capacity_model.Fleet(), nodes=9)
    timing = schema.Timing()
    assert capacity_control.renewals_per_second(small, timing) == pytest.approx(3)
    assert capacity_control.watching_nodes(small) == 9
    large = capacity_model.Fleet()
    watchers_per_region = large.nodes // large.regions // schema.PeerStreams().nodes_per_watcher
    assert capacity_control.watching_nodes(large) == large.regions * watchers_per_region
