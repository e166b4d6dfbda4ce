"""Skips the tests that KNOWN-RED.txt lists, and prints its entries at the end of every run.

With `--known-red`, only the listed tests are run.
"""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).with_name("KNOWN-RED.txt")
SEPARATOR = " | "


def entries():
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return [line for line in lines if line.strip() and not line.startswith("#")]


def pytest_addoption(parser):
    parser.addoption("--known-red", action="store_true", help="run only what KNOWN-RED.txt lists")


def pytest_collection_modifyitems(config, items):
    listed = {line.split(SEPARATOR)[0].strip() for line in entries()}
    if config.getoption("--known-red"):
        others = [item for item in items if item.nodeid not in listed]
        items[:] = [item for item in items if item.nodeid in listed]
        config.hook.pytest_deselected(items=others)
        return
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.skip(reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter):
    for line in entries():
        terminalreporter.write_line(f"KNOWN-RED: {line}")
