"""Tests that the table has every event that a pool's node logs, and that the page has the table."""

import ast
import gc
import pathlib

import pytest

from basilpost.core import log_events

ROOT = pathlib.Path(__file__).parents[2]
MODULES = (
    *(ROOT / "basilpost" / "platform").glob("*.py"),
    *(
        ROOT / "basilpost" / name
        for name in (
            "core/connection_memory.py",
            "core/kernel.py",
            "core/listener.py",
            "core/log.py",
            "core/tasks.py",
            "gateway/forwarding.py",
            "gateway/target_sender.py",
            "gateway/detours.py",
            "gateway/loss_probe.py",
            "gateway/planned_moves.py",
            "gateway/handovers.py",
            "gateway/detour_service.py",
            "gateway/relay.py",
            "gateway/silent_targets.py",
            "gateway/request_recorder.py",
            "gateway/retry_budgets.py",
            "groups/pool_controller.py",
            "members/feed.py",
            "members/knowledge.py",
            "members/loads.py",
            "members/reachability.py",
            "members/restored_contents.py",
            "members/store_news.py",
            "members/node_registry.py",
            "node/pool_main.py",
            "routing/crashes.py",
            "routing/crash_store.py",
            "routing/departures.py",
            "routing/named_limits.py",
            "routing/pauses.py",
        )
    ),
)
LEVELS = {"debug", "info", "warning", "error", "exception"}


def logged_events(path):
    """Yields the event and the names of the fields of each logging call of a module."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call):
            continue
        functions = (
            [node.func.body, node.func.orelse] if isinstance(node.func, ast.IfExp) else [node.func]
        )
        if any(map(_is_logging, functions)):
            names = _string_values(node.args[0])
            fields = {keyword.arg for keyword in node.keywords if keyword.arg}
            yield from ((name, fields) for name in names)


def _is_logging(function):
    if not isinstance(function, ast.Attribute):
        return False
    return function.attr in LEVELS and ast.unparse(function.value).endswith("log")


def _string_values(node):
    if isinstance(node, ast.IfExp):
        return [*_string_values(node.body), *_string_values(node.orelse)]
    return [node.value]


@pytest.fixture
def no_collection():
    """Turns garbage collection off: a finalizer that parses, too, ends `ast.parse` in CPython 3.11.

    Garbage of other tests has such finalizers: their errors are shown with a traceback, which is parsed.
    """
    gc.disable()
    yield
    gc.enable()


def test_every_logged_event_and_field_is_in_the_table(no_collection):
    calls = [call for path in MODULES for call in logged_events(path)]
    assert len(calls) > 20
    for name, fields in calls:
        assert name in log_events.EVENTS, name
        unknown = fields - set(log_events.EVENTS[name].fields) - {"exc_info"}
        assert not unknown, (name, unknown)


def test_the_operators_page_has_the_table():
    assert log_events.as_table() in (ROOT / "docs" / "OPERATIONS.md").read_text()
