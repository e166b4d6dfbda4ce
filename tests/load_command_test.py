"""Tests of `basilpost load`."""

from click import testing

from basilpost.cli import load


def test_the_command_names_what_is_wrong():
    runner = testing.CliRunner()
    arguments = ["--gateway", "http://x", "--key", "w=k", "--mix", "dance=1"]
    result = runner.invoke(load.command, arguments)
    assert (result.exit_code, "--mix" in result.output) == (2, True)
    assert "Example" in runner.invoke(load.command, ["--help"]).output
