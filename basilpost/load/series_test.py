"""Tests of the counts for each second of a run, their table and their plot."""

import pathlib

import pytest

from basilpost.load import plots, records, series


def record(at, *, status=200, first=0.1, target="g1", error=""):
    return records.Record(
        request_id=f"r{at}",
        kind=records.Kind.STREAM,
        workspace="w",
        gateway="",
        scheduled=100.0 + at,
        sent=100.0 + at,
        first_byte=100.0 + at + first,
        finished=100.0 + at + first + 0.1,
        status=status,
        target=target,
        error=error,
    )


RUN = [
    record(0.0),
    record(0.5, first=0.9),
    record(0.6, status=503, target=""),
    record(2.1, target="g2"),
    record(2.2, target="g1"),
    record(2.3, error="broken", target=""),
]


def test_each_second_counts_its_requests_by_result():
    first, last = series.by_second(RUN, aim_seconds=0.4)
    assert first == series.Second(at=0, asked=3, in_aim=1, late=1, refused=1, failed=0, targets=1)
    assert last == series.Second(at=2, asked=3, in_aim=2, late=0, refused=0, failed=1, targets=2)


def test_a_run_without_requests_has_no_seconds():
    assert series.by_second([], aim_seconds=0.4) == []


def test_the_table_has_a_line_for_each_second():
    lines = series.table(series.by_second(RUN, aim_seconds=0.4)).splitlines()
    assert lines[0].split() == ["at", "asked", "in_aim", "late", "refused", "failed", "targets"]
    assert [line.split()[0] for line in lines[1:]] == ["0", "2"]


def test_a_run_is_drawn_as_png(tmp_path):
    path = tmp_path / "run.png"
    assert plots.draw(series.by_second(RUN, aim_seconds=0.4), path) is None
    assert path.read_bytes().startswith(b"\x89PNG")


def test_plotting_without_matplotlib_returns_an_error_that_names_the_extra(tmp_path, monkeypatch):
    monkeypatch.setitem(__import__("sys").modules, "matplotlib", None)
    result = plots.draw([], pathlib.Path(tmp_path / "run.png"))
    assert isinstance(result, plots.NoPlots)
    assert "basilpost[plots]" in result.reason


@pytest.mark.parametrize("aim", [0.05, 5.0])
def test_the_aim_decides_what_is_late(aim):
    first, _ = series.by_second(RUN, aim_seconds=aim)
    assert (first.in_aim, first.late) == ((0, 2) if aim < 1 else (2, 0))
