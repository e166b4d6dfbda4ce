"""Tests of `basilpost load report`, which makes a table and a plot of a history file."""

import click.testing

from basilpost.cli import main
from basilpost.load import records, series_test


def invoke(*arguments):
    return click.testing.CliRunner().invoke(main.main, ["load", *arguments])


def test_a_history_becomes_a_table_and_a_plot(tmp_path):
    history, png = tmp_path / "run.jsonl", tmp_path / "run.png"
    with history.open("w") as file:
        records.write_lines(series_test.RUN, file)
    result = invoke("report", str(history), "--aim", "0.4", "--png", str(png))
    assert result.exit_code == 0, result.output
    assert [line.split()[:4] for line in result.output.splitlines()[1:]] == [
        ["0", "3", "1", "1"],
        ["2", "3", "2", "0"],
    ]
    assert png.read_bytes().startswith(b"\x89PNG")


def test_a_load_without_gateway_is_a_usage_error():
    result = invoke()
    assert result.exit_code == 2
    assert "--gateway and --key are needed" in result.output
