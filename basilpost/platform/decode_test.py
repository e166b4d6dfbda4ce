"""Tests of decoding: documented examples are decoded, unusable objects are malformed."""

import json

import pytest

from basilpost.core import catalog
from basilpost.platform import decode

ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "kz-south-a",
    "version": "v1",
    "slots": 13,
    "state": "ready",
    "coldRemainingMs": 1500,
    "stage": "colocated",
    "models": [{"name": "daka510000", "version": 1, "adapters": []}],
    "domain": "d3",
    "staged": ["daka510000"],
    "group": {"name": "g7", "epoch": 12, "rank": 1, "state": "ready"},
    "born": 1791000000000,
    "sequence": 4,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "hostname": "Ficu95.example",
            "pathPrefix": "/lohu930/",
            "kind": "streaming",
            "timeoutMs": 8000,
            "targetLatencyMs": 400,
            "priority": 1,
            "trafficSplit": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
            "maxAttempts": 2,
            "anonymous": False,
            "stickySessions": True,
            "resumable": True,
            "gapAimMs": 250,
        },
        {
            "name": "r-2",
            "hostname": "ficu95.example",
            "pathPrefix": "/puxa403/",
            "kind": "non_idempotent",
            "timeoutMs": 800,
            "targetLatencyMs": 150,
            "priority": 2,
            "service": "wuno96b",
            "maxAttempts": 1,
        },
    ],
    "services": [
        {
            "name": "huvo11a",
            "healthPath": "/health",
            "maxConns": 474,
            "coldStartS": 3.0,
            "coldPerS": 36.0,
            "engine": {
                "slots": 13,
                "models": [
                    {
                        "name": "daka510000",
                        "size": 6,
                        "share": 0.67,
                        "pace": 1.0,
                        "loadS": 16.0,
                        "warmS": 1.6,
                    }
                ],
                "loadsPerS": 5.5,
                "formMs": 300.0,
            },
        },
        {"name": "wuno96b", "coldStartS": 0.0, "coldPerS": 0.0},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "hule930", "apiKeys": ["k1", "k2"], "priority": 1}],
}


def encode(value):
    return json.dumps(value).encode()


def test_a_complete_entry_is_decoded():
    vm = decode.vm("i-7f3a91c2", encode(ENTRY))
    assert vm == catalog.Vm(
        vm_id="i-7f3a91c2",
        incarnation=1791000000000,
        service="huvo11a",
        address="10.128.0.9:8080",
        failure_domain="kz-south-a",
        fabric_domain="d3",
        slots=13,
        leaving=False,
        cold_seconds=1.5,
        staged=("daka510000",),
        member=catalog.Membership(group="g7", epoch=12, rank=1, state=catalog.MemberState.READY),
    )


def test_a_draining_runner_is_leaving():
    assert decode.vm("i", encode({**ENTRY, "state": "draining"})).leaving


@pytest.mark.parametrize("name", ["service", "address", "zone", "slots", "state"])
def test_an_entry_that_lacks_a_required_field_is_malformed(name):
    entry = {key: value for key, value in ENTRY.items() if key != name}
    assert isinstance(decode.vm("i", encode(entry)), decode.Malformed)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"state": 3},
        {"service": None},
        {"service": ["huvo11a"]},
        {"address": "10.1.2.3"},
        {"address": "10.1.2.3:http"},
        {"address": "vm-1.rack-2.example:8080"},
        {"address": "localhost:8080"},
        {"address": "[::1]:8080"},
        {"address": "10.1.2:8080"},
        {"address": "0x7f000001:8080"},
        {"address": "127.1:8080"},
        {"address": 8080},
        {"slots": "13"},
        {"slots": True},
        {"coldRemainingMs": "none"},
        {"born": "yesterday"},
        {"born": 1.5},
        {"staged": [1]},
        {"staged": 7},
        {"group": {"name": "g", "epoch": "1", "rank": 0, "state": "ready"}},
        {"group": {"name": "g", "epoch": 1, "rank": 0, "state": "asleep"}},
        {"group": "g7"},
    ],
)
def test_an_entry_with_an_unusable_field_is_malformed(change):
    assert isinstance(decode.vm("i", encode({**ENTRY, **change})), decode.Malformed)


@pytest.mark.parametrize("field", ["version", "sequence", "zone", "slots", "coldRemainingMs"])
def test_an_entry_that_lacks_a_field_of_every_runner_is_taken_for_a_runner(field):
    entry = {name: value for name, value in ENTRY.items() if name != field}
    assert isinstance(decode.vm("i", encode(entry)), decode.Malformed)


@pytest.mark.parametrize(
    "change",
    [
        {"version": 5},
        {"version": None},
        {"sequence": "4"},
        {"sequence": None},
        {"sequence": -1},
        {"domain": 0},
        {"domain": ["d3"]},
        {"staged": "daka510000"},
        {"staged": {"daka510000": 1}},
        {"staged": 0},
        {"group": ""},
        {"group": []},
        {"group": {"name": 0, "epoch": 1, "rank": 0, "state": "ready"}},
        {"group": {"name": [], "epoch": 1, "rank": 0, "state": "ready"}},
    ],
)
def test_an_entry_with_a_field_of_another_type_is_taken_for_a_runner(change):
    """Groups were formed with VMs that have no runner."""
    assert isinstance(decode.vm("i", encode({**ENTRY, **change})), decode.Malformed)


@pytest.mark.parametrize(
    "change", [{"domain": ""}, {"domain": None}, {"staged": None}, {"group": None}, {"group": {}}]
)
def test_an_empty_optional_field_costs_a_runner_its_entry(change):
    assert isinstance(decode.vm("i", encode({**ENTRY, **change})), catalog.Vm)


@pytest.mark.parametrize("data", [b"", b"\xff\xfe", b"null", b"[]", b'"text"', b"{"])
def test_bytes_that_are_not_a_json_object_are_malformed(data):
    assert isinstance(decode.vm("i", data), decode.Malformed)


def test_a_complete_configuration_is_decoded():
    configuration = decode.configuration(encode(CONFIGURATION))
    stream, filing = configuration.routes
    assert (stream.host, stream.prefix, stream.streaming) == ("ficu95.example", "/lohu930/", True)
    assert stream.repeat is catalog.Repeat.IDEMPOTENT
    assert [share.weight for share in stream.shares] == [90, 10]
    assert (stream.timeout, stream.objective, stream.max_gap) == (8.0, 0.4, 0.25)
    assert filing.repeat is catalog.Repeat.ONCE
    assert filing.shares == (catalog.Share(service="wuno96b", weight=1),)
    assert not filing.anonymous
    assert configuration.services_by_name["wuno96b"].engine is None
    assert configuration.services_by_name["huvo11a"].engine.models[0].vms == 6
    assert configuration.workspaces_by_key["k2"] == catalog.Workspace(name="hule930", priority=1)
    assert configuration.limits.idle_seconds == 15.0


@pytest.mark.parametrize(
    "raw, path",
    [
        ("/health", "/health"),
        (None, ""),
        ("", ""),
        (7, ""),
        ("health", ""),
        ("/a b", ""),
        ("/a\r\nX-Tenant: t", ""),
        ("/\u00e9", ""),
        (["/"], ""),
    ],
)
def test_an_odd_health_path_makes_a_configuration_unusable_or_breaks_a_request(raw, path):
    changed = json.loads(encode(CONFIGURATION))
    changed["services"][0]["healthPath"] = raw
    assert decode.configuration(encode(changed)).services_by_name["huvo11a"].health_path == path


def test_a_stream_that_cannot_be_resumed_may_run_only_once():
    changed = json.loads(encode(CONFIGURATION))
    changed["routes"][0]["resumable"] = False
    assert decode.configuration(encode(changed)).routes[0].repeat is catalog.Repeat.ONCE


@pytest.mark.parametrize("name", ["version", "routes", "services", "limits"])
def test_a_configuration_that_lacks_a_required_field_is_malformed(name):
    changed = {key: value for key, value in CONFIGURATION.items() if key != name}
    assert isinstance(decode.configuration(encode(changed)), decode.Malformed)


FIGURES = {
    "step_ms": 6.0,
    "per_seq_ms": 0.5,
    "context_per_k": 0.01,
    "read_per_s": 46000.0,
    "pairs_per_m": 0.7,
    "stride": 5,
    "kvCapacityTokens": 700000,
    "usual": {"prompt": 841, "answer": 111},
}


def engine_with(**changes):
    raw = json.loads(json.dumps(CONFIGURATION))
    engine = next(entry["engine"] for entry in raw["services"] if entry.get("engine"))
    engine.update(FIGURES | changes)
    decoded = decode.configuration(json.dumps(raw).encode())
    assert isinstance(decoded, catalog.Configuration)
    return next(service.engine for service in decoded.services_by_name.values() if service.engine)


def test_the_figures_of_an_engine_are_decoded():
    figures = engine_with().figures
    assert figures.step_seconds == pytest.approx(0.006)
    assert figures.read_tokens_per_second == 46000.0
    assert (figures.steps_per_pass, figures.memory_tokens) == (5, 700000)
    assert figures.usual_answer_tokens == 111.0


@pytest.mark.parametrize(
    "changes",
    [{"step_ms": None}, {"read_per_s": 0.0}, {"usual": {}}, {"usual": None}, {"stride": "5"}],
)
def test_a_configuration_with_unusable_figures_holds_without_them(changes):
    """They were not read before; a change of them must not cost the whole configuration."""
    assert engine_with(**changes).figures is None
