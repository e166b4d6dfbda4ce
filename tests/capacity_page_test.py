"""Tests that the tables of docs/CAPACITY.md match the recorded measurements."""

import pathlib

from basilpost.load import capacity, capacity_page

ROOT = pathlib.Path(__file__).parent.parent


def test_the_page_does_not_drift_from_its_measurements():
    page = (ROOT / capacity.PAGE).read_text(encoding="utf-8")
    measurements = capacity.read_measurements(ROOT / capacity.MEASUREMENTS)
    assert capacity_page.insert_tables(page, capacity.tables(measurements)) == page
    assert "relay" in measurements
