"""Tests of reading valid and invalid settings of a pool node."""

import json

import pytest

from basilpost.settings import loader, pool_loader

GOOD = {
    "node_id": "front-a-1",
    "failure_domain": "a",
    "region": "r",
    "host": "10.1.0.40",
    "callers": "10.1.0.40:8227",
    "readiness": "10.1.0.40:8220",
    "peer_port": 7340,
    "metrics_port": 7355,
    "store": "10.200.1.7:8223",
    "first_start": True,
    "bounds": {"grace_seconds": 8, "retry_share": 0.2, "retry_reserve": 136},
}


def errors_of(text):
    with pytest.raises(loader.SettingsError) as caught:
        pool_loader.parse(text, file="node.jsonc")
    return {error.path for error in caught.value.errors}


def test_a_valid_file_is_read():
    loaded = pool_loader.parse("// comment\n" + json.dumps(GOOD), file="node.jsonc")
    assert loaded.settings.store == "10.200.1.7:8223"
    assert loaded.settings.bounds.retry_reserve == 136
    assert loaded.ignored == ()


def test_unknown_fields_are_ignored_and_listed():
    more = {**GOOD, "colour": 1, "bounds": {**GOOD["bounds"], "tint": {"a": 2}}}
    loaded = pool_loader.parse(json.dumps(more), file="node.jsonc")
    assert loaded.ignored == ("bounds.tint", "colour")
    assert loaded.settings.node_id == "front-a-1"


def test_all_type_errors_are_reported_at_once():
    bad = {**GOOD, "node_id": 7, "peer_port": "7340", "first_start": "yes"}
    assert errors_of(json.dumps(bad)) == {"node_id", "peer_port", "first_start"}


def test_all_values_out_of_range_are_reported_at_once():
    bad = {**GOOD, "callers": "10.1.0.40", "metrics_port": 70000, "log_level": "loud"}
    bad["bounds"] = {**GOOD["bounds"], "grace_seconds": 0}
    assert errors_of(json.dumps(bad)) == {
        "callers",
        "metrics_port",
        "log_level",
        "bounds.grace_seconds",
    }


def test_the_port_after_that_of_the_peers_is_taken():
    assert errors_of(json.dumps({**GOOD, "metrics_port": 7341})) == {"metrics_port"}
    assert errors_of(json.dumps({**GOOD, "peer_port": 65535})) == {"peer_port"}


def test_a_missing_field_is_an_error():
    assert errors_of(json.dumps({k: v for k, v in GOOD.items() if k != "store"})) == {"store"}


@pytest.mark.parametrize("text", ["", "{", "[]", "null", "{{nodeName}}"])
def test_text_without_settings_is_an_error(text):
    assert errors_of(text)


def test_a_file_that_cannot_be_read_is_an_error(tmp_path):
    for path in (tmp_path / "missing", tmp_path):
        with pytest.raises(loader.SettingsError):
            pool_loader.load(str(path))
    broken = tmp_path / "binary"
    broken.write_bytes(b"\xff\xfe\x00")
    with pytest.raises(loader.SettingsError):
        pool_loader.load(str(broken))


def test_the_environment_may_name_the_memory_of_the_process():
    loaded = pool_loader.parse(json.dumps(GOOD), file="node.jsonc")
    assert pool_loader.with_memory(loaded, "", variable="MEMORY") == loaded
    assert pool_loader.with_memory(loaded, "512", variable="MEMORY").settings.memory_mb == 512
    for text in ("0", "many", "-1", "1.5"):
        with pytest.raises(loader.SettingsError, match="MEMORY"):
            pool_loader.with_memory(loaded, text, variable="MEMORY")


def test_descriptors_may_be_named_by_the_file_and_by_the_environment():
    assert pool_loader.parse(json.dumps(GOOD), file="f").settings.max_descriptors is None
    loaded = pool_loader.parse(json.dumps(GOOD | {"max_descriptors": 900}), file="f")
    assert pool_loader.with_descriptors(loaded, "", variable="FDS").settings.max_descriptors == 900
    assert (
        pool_loader.with_descriptors(loaded, "4100", variable="FDS").settings.max_descriptors
        == 4100
    )


@pytest.mark.parametrize("text", ["-1", "many", "0"])
def test_descriptors_of_the_environment_that_are_no_count_are_reported(text):
    loaded = pool_loader.parse(json.dumps(GOOD), file="f")
    with pytest.raises(loader.SettingsError):
        pool_loader.with_descriptors(loaded, text, variable="FDS")


@pytest.mark.parametrize("value", [0, -3, "900", 1.5])
def test_descriptors_of_the_file_that_are_no_count_are_reported(value):
    assert errors_of(json.dumps(GOOD | {"max_descriptors": value})) == {"max_descriptors"}
