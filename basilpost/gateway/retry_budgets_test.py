"""Tests that each repeat and each denial is told with its cause and what is left of the budget."""

import types

import prometheus_client
import pytest
import structlog.testing

from basilpost.core import catalog
from basilpost.gateway import attempts, retry_budgets

Cause = retry_budgets.RetryCause
Denial = retry_budgets.Denial


def budgets(*, reserve=2.0, nodes=2):
    """Returns the registry and the budgets of a node that has its share of the reserve."""
    registry = prometheus_client.CollectorRegistry()
    node = retry_budgets.RetryBudgets(
        bounds=retry_budgets.RetryBounds(share=0.5, reserve=reserve),
        node_count=lambda: nodes,
        first_start=False,
        registry=registry,
        log=structlog.get_logger(),
    )
    node._full_share_at = 0.0
    return registry, node


def progress(*, sends=1, max_attempts=2, repeat=catalog.Repeat.IDEMPOTENT):
    admitted = types.SimpleNamespace(
        service=types.SimpleNamespace(name="desk"),
        route=types.SimpleNamespace(repeat=repeat, max_attempts=max_attempts),
        call=types.SimpleNamespace(request_id="one"),
    )
    return attempts.Progress(admitted=admitted, fingerprint="f", sends=sends, target="t")


def decisions(registry, cause, result):
    labels = {"cause": cause, "result": result}
    return registry.get_sample_value("basilpost_retry_decisions_total", labels)


def test_an_allowed_repeat_names_its_cause_and_what_is_left():
    """Without it nobody can tell from the logs which repeats used the budget up."""
    registry, node = budgets()
    with structlog.testing.capture_logs() as logs:
        assert node.decide(progress(), Cause.LOST)
        assert not node.decide(progress(), Cause.LOST)
    assert [(line["cause"], line["allowed"], line["denied_by"]) for line in logs] == [
        ("lost", True, ""),
        ("lost", False, "budget"),
    ]
    assert [(line["budget_left"], line["budget_max"]) for line in logs] == [(0.0, 1.0)] * 2
    assert decisions(registry, "lost", "allowed") == 1.0
    assert decisions(registry, "lost", "budget") == 1.0
    left = registry.get_sample_value("basilpost_retry_budget_left", {"service": "desk"})
    assert left == 0.0


@pytest.mark.parametrize(
    ("tried", "cause", "denial", "expected"),
    [
        (progress(sends=2), Cause.LOST, Denial.NONE, "attempts"),
        (progress(repeat=catalog.Repeat.ONCE), Cause.STALE, Denial.NONE, "runs_once"),
        (progress(), Cause.LOST, Denial.CRASHES, "crashes"),
        (progress(), Cause.REJECTED, Denial.REJECTIONS, "rejections"),
    ],
)
def test_a_denial_names_its_reason_and_spends_nothing(tried, cause, denial, expected):
    """A denied repeat that costs a retry takes it from another request."""
    registry, node = budgets()
    with structlog.testing.capture_logs() as logs:
        assert not node.decide(tried, cause, denial=denial)
    assert [line["denied_by"] for line in logs] == [expected]
    assert decisions(registry, cause.value, expected) == 1.0
    assert node.decide(progress(), Cause.LOST)


def test_a_rejected_request_that_may_run_once_is_sent_again():
    """It has not run, so the attempts of its route are not used."""
    _, node = budgets()
    assert node.decide(progress(sends=0, repeat=catalog.Repeat.ONCE), Cause.REJECTED)


def test_a_stream_that_asks_again_and_again_is_logged_once():
    """Stalled streams ask at each check, which would fill the log."""
    _, node = budgets(reserve=0.0)
    tried = progress()
    with structlog.testing.capture_logs() as logs:
        assert not any(node.decide(tried, Cause.STALLED) for _ in range(5))
        assert not node.decide(tried, Cause.LOST)
    assert [line["cause"] for line in logs] == ["stalled", "lost"]
