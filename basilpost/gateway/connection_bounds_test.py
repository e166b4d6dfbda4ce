"""Tests of dividing a node's descriptors and memory among connections."""

import resource

import pytest

from basilpost.gateway import connection_bounds


@pytest.mark.parametrize(
    ("max_descriptors", "memory_mb", "callers", "nodes"),
    [
        pytest.param(4100, 300, 2870, 615, id="the-users-machines"),
        pytest.param(1024, 300, 716, 153, id="few-descriptors"),
        pytest.param(4100, 60, 604, 129, id="little-memory"),
        pytest.param(resource.RLIM_INFINITY, 300, 3021, 647, id="no-limit-on-descriptors"),
        pytest.param(1, 1, 1, 1, id="at-least-one"),
    ],
)
def test_connections_get_a_part_of_what_is_scarcer(max_descriptors, memory_mb, callers, nodes):
    bounds = connection_bounds.divide(max_descriptors=max_descriptors, memory_mb=memory_mb)
    assert (bounds.callers, bounds.nodes) == (callers, nodes)


def test_without_a_setting_the_limit_of_the_process_holds(monkeypatch):
    monkeypatch.setattr(resource, "getrlimit", lambda kind: (500, 9000))
    assert connection_bounds.divide(max_descriptors=None, memory_mb=300).callers == 350
