"""Tests of fitting lines and of reading and writing measurements."""

import json

import pytest

from basilpost.load import fit, measure, samples


def points(*pairs, slope="s"):
    return [
        samples.Sample(slope=slope, size=x, value=y, size_unit="groups", value_unit="bytes")
        for x, y in pairs
    ]


def test_a_line_through_exact_points():
    line = fit.line_through(points((1, 12), (2, 14), (4, 18)))
    assert (line.slope, line.base, line.spread) == pytest.approx((2, 10, 0))
    assert line.at(100) == pytest.approx(210)
    assert line.sizes == (1, 2, 4)


def test_the_spread_is_the_slopes_standard_error():
    line = fit.line_through(points((0, 0), (1, 2), (2, 1)))
    assert line.slope == pytest.approx(0.5)
    assert line.spread == pytest.approx((1.5 / 1 / 2) ** 0.5)


def test_two_sizes_are_too_few_for_a_slope():
    assert isinstance(fit.line_through(points((1, 1), (1, 2), (2, 2))), fit.TooFewSizes)


def test_measured_lines_survive_writing_and_reading(tmp_path):
    lines = measure.lines_of(
        'noise\n{"slope": "s", "size": 1, "value": 2, "size_unit": "a", "value_unit": "b"}\n'
        '{"figure": "p95", "value": 1.5, "unit": "ms"}\n'
    )
    origin = measure.Origin(commit="abc", clean=True, seed=1, cores=4, python="3.11")
    measure.write(tmp_path / "x.json", origin, lines)
    read = json.loads((tmp_path / "x.json").read_text())
    assert read["origin"]["commit"] == "abc"
    assert len(samples.samples_in(read["samples"])) == 1
    assert samples.figures_in(read["samples"])[0].value == 1.5


def test_an_unknown_measurement_fails_and_writes_nothing(tmp_path):
    origin = measure.Origin(commit="abc", clean=True, seed=1, cores=4, python="3.11")
    assert not measure.measure("nothing", tmp_path, origin)
    assert list(tmp_path.iterdir()) == []
