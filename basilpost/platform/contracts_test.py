"""Tests of which terms of the platform ask for which features."""

from basilpost.platform import contracts


def test_load_control_is_asked_for_by_one_term_only():
    assert contracts.ask_for_load_control(("base", "pressure"))
    assert not contracts.ask_for_load_control(("base", "pool", "engine"))
    assert not contracts.ask_for_load_control(())
