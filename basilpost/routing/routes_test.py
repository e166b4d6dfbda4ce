"""Tests of finding routes."""

import dataclasses
import random

import pytest

from basilpost.core import catalog
from basilpost.routing import routes


def route(name, prefix, *, host="a.example", shares=(("s", 1),)):
    return catalog.Route(
        name=name,
        host=host,
        prefix=prefix,
        shares=tuple(catalog.Share(service=service, weight=weight) for service, weight in shares),
        streaming=False,
        repeat=catalog.Repeat.ONCE,
        max_attempts=1,
        timeout=1.0,
        objective=0.1,
        max_gap=0.0,
        priority=1,
        anonymous=False,
    )


TABLE = routes.RouteTable(
    catalog.Configuration(
        version=1,
        routes=(
            route("short", "/a/"),
            route("long", "/a/b/"),
            route("other", "/a/", host="b.example"),
        ),
        services_by_name={},
        workspaces_by_key={},
        limits=catalog.Limits(
            max_header_bytes=1, max_body_bytes=1, header_seconds=1, idle_seconds=1
        ),
    )
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/a/x", "short"),
        ("a.example", "/a/b/x", "long"),
        ("a.example", "/a/b/", "long"),
        ("a.example", "/a/b", "short"),
        ("a.example", "/a/bc/d/e", "short"),
        ("A.Example:8080", "/a/", "short"),
        ("b.example", "/a/b/x", "other"),
        ("a.example", "/a", None),
        ("a.example", "/", None),
        ("a.example", "", None),
        ("c.example", "/a/x", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host, path, name):
    found = TABLE.find(host, path)
    assert (found.name if found else None) == name


def test_traffic_is_split_by_weight():
    rng = random.Random(1)
    split = route("r", "/", shares=(("one", 90), ("two", 10), ("none", 0)))
    chosen = [routes.choose_service(split, rng) for _ in range(1000)]
    assert chosen.count("none") == 0
    assert 50 < chosen.count("two") < 150


def test_a_split_without_weights_has_a_service():
    split = dataclasses.replace(
        route("r", "/"), shares=(catalog.Share(service="one", weight=0),) * 2
    )
    assert routes.choose_service(split, random.Random(1)) == "one"
