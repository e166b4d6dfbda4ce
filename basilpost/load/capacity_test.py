"""Tests of working out and rendering the capacity page, with small literals."""

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
    role="probing", resource=capacity_model.Resource.CPU, what="probes", amount=5,
    amount_text="5 VMs / 1 s", slope="s", scale=100.0, mechanism="one prober",
)  # fmt: skip


def test_a_cost_is_its_amount_times_the_slope():
    found = capacity_page.work_out(COST, FITS)
    assert (found.value, found.spread) == pytest.approx((1.0, 0.25))


def test_a_cost_by_messages_includes_the_base():
    found = capacity_page.work_out(dataclasses.replace(COST, each=10), FITS)
    assert found.value == pytest.approx(5 * 100 * (0.01 + 0.02))


def test_a_base_below_zero_does_not_count():
    below = {"s": dataclasses.replace(LINE, base=-1.0)}
    found = capacity_page.work_out(dataclasses.replace(COST, each=10), below)
    assert found.value == pytest.approx(5 * 100 * 0.02)


def test_other_programs_forms_become_samples():
    lines = [{"figure": "ledger_bucket", "records": 10, "decode_encode_ms": 2.0, "more": 1},
             {"figure": "unknown", "value": 1}]  # fmt: skip
    (one,) = adapters.samples_of(lines)
    assert (one.slope, one.size, one.value) == ("requests.bucket_cpu_by_records", 10, 0.002)


def test_other_programs_lines_become_figures():
    lines = [{"kind": "cost", "nodes": 9, "peer_bytes_per_second": 5.0, "cpu_percent_of_core": 1.0}]
    first, _ = adapters.figures_of(lines)
    assert (first.figure, first.value) == ("peer streams of a node, 9 nodes", 5.0)


def test_a_role_table():
    table = capacity_page.role_table([COST, dataclasses.replace(COST, slope="few")], FITS)
    assert "| probes | 5 VMs / 1 s | s | 1 ± 0.25 % of a core | one prober |" in table
    assert "| few | not measured |" in table


def sums(*costs):
    table = capacity_page.sum_table(costs, FITS, capacity_model.Limits())
    return next(line for line in table.splitlines() if line.startswith("| % of a core"))


def test_sums_name_what_is_not_carried_and_what_is_not_measured():
    assert sums(COST).endswith("| carried |")
    rare = dataclasses.replace(COST, amount=10, node_share=0.5)
    assert "not carried by the busiest node** (1.3 times" in sums(rare)
    assert "**not carried** (2.7 times" in sums(dataclasses.replace(COST, amount=20))
    assert "not measured: few" in sums(COST, dataclasses.replace(COST, slope="few"))


def test_the_gateway_is_no_control_work():
    assert sums(dataclasses.replace(COST, role="gateway", amount=1000)).endswith("| carried |")


def test_tables_go_between_their_markers():
    page = "# Page\n<!-- begin sums -->\nold\n<!-- end sums -->\nrest\n"
    made = capacity_page.put(page, {"sums": "| new |\n"})
    assert "old" not in made and "| new |" in made and made.endswith("rest\n")
    assert capacity_page.put(made, {"sums": "| new |\n"}) == made
    assert isinstance(capacity_page.put(page, {"x": ""}), capacity_page.MissingMarkers)


def test_all_tables_are_made_without_any_measurement():
    made = capacity.tables({})
    assert set(capacity_model.ROLES) < made.keys()
    assert "not measured" in made["gateway"]
    assert "420" in made["fleet"]


def test_a_measurement_shows_in_its_tables():
    points = [
        samples.Sample(slope="gateway.cpu_by_tokens", size=size, value=size * 3e-5,
                       size_unit="tokens/s", value_unit="cores")
        for size in (1000.0, 2000.0, 4000.0)
    ]  # fmt: skip
    origin = {"commit": "abc1234", "clean": False, "seed": 1, "cores": 10, "python": "3.11"}
    lines = [dataclasses.asdict(point) for point in points]
    made = capacity.tables({"relay": {"origin": origin, "samples": lines}})
    assert "17.1 % of a core" in made["gateway"]
    assert "abc1234 with changes" in made["origins"]


def test_the_fleets_size_carries_into_rates():
    small = dataclasses.replace(capacity_model.Fleet(), nodes=9)
    timing = schema.Timing()
    assert capacity_control.renewals_per_second(small, timing) == pytest.approx(3)
    assert capacity_control.watchers(small) == 9
    large = capacity_model.Fleet()
    in_a_region = large.nodes // large.regions // schema.PeerStreams().nodes_per_watcher
    assert capacity_control.watchers(large) == large.regions * in_a_region
