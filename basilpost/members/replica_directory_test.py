"""Tests of the directory over a replica that the test fills."""

import json

import pytest

from basilpost.core import codec, data, kernel, names
from basilpost.members import fakes, replica_directory
from basilpost.store import objects


def group(group_id, service="clearance"):
    return data.Group(
        group_id=group_id,
        service=service,
        generation=1,
        state=data.GroupState.READY,
        fabric_domain="f1",
        failure_domain="a",
        members=(data.Member(vm_id=group_id, address="127.0.0.1:1", rank=0),),
    )


class Fixture:
    def __init__(self):
        self.replica = fakes.FakeReplica()
        node = kernel.Kernel(node_id="n")
        node.register(names.REPLICA, self.replica)
        self.directory = replica_directory.ReplicaDirectory(kernel=node)
        self.changes = []
        self.directory.subscribe(lambda: self.changes.append(1))
        self.version = 0

    def offer(self, key, value):
        self.version += 1
        stored = None
        if value is not None:
            stored = objects.Stored(key=key, value=value, version=self.version)
        self.replica.offer(objects.Change(key=key, version=self.version, stored=stored))

    def offer_table(self, domain, *groups):
        table = data.FabricTable(fabric_domain=domain, groups=groups)
        self.offer(names.FABRIC_PREFIX + domain, codec.to_json(table))


@pytest.fixture
def fixture():
    return Fixture()


def ids(groups):
    return sorted(group.group_id for group in groups)


def test_a_changed_table_replaces_its_own_groups_only(fixture):
    fixture.offer_table("f1", group("g1"), group("g2", service="ledger"))
    fixture.offer_table("f2", group("g3"))
    fixture.offer_table("f1", group("g4"))
    assert ids(fixture.directory.groups_for("clearance")) == ["g3", "g4"]
    assert fixture.directory.groups_for("ledger") == ()
    assert fixture.directory.group("g1") is None
    assert fixture.directory.group("g4").service == "clearance"
    fixture.offer(names.FABRIC_PREFIX + "f2", None)
    assert ids(fixture.directory.groups_for("clearance")) == ["g4"]
    assert set(fixture.directory.tables()) == {"f1"}


def test_only_the_changed_object_is_decoded(fixture, monkeypatch):
    for domain in ("f1", "f2", "f3"):
        fixture.offer_table(domain, group(domain))
    decoded = []
    from_json = codec.from_json
    monkeypatch.setattr(
        codec, "from_json", lambda raw, kind: decoded.append(kind) or from_json(raw, kind)
    )
    fixture.offer_table("f2", group("g9"))
    assert decoded == [data.FabricTable]
    assert len(fixture.changes) == 4


def test_a_deleted_configuration_object_is_gone(fixture):
    key = names.FAILURE_DOMAIN_PREFIX + "a"
    value = json.dumps({"name": "a", "in_service": False})
    fixture.offer(key, json.dumps({"value": value}).encode())
    assert not fixture.directory.config().in_service("a")
    before = fixture.directory.config()
    fixture.offer(key, None)
    assert fixture.directory.config().in_service("a")
    assert fixture.directory.config().versions_by_key == {key: 2}
    assert not before.in_service("a")


@pytest.mark.parametrize(
    "malformed", [b"", b"[]", b"\xff", b'{"fabric_domain": "f1", "colour": 1}']
)
def test_a_malformed_table_leaves_the_last_valid_one(fixture, malformed):
    fixture.offer_table("f1", group("g1"))
    fixture.offer(names.FABRIC_PREFIX + "f1", malformed)
    assert fixture.directory.group("g1") is not None
