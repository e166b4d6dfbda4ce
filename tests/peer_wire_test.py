"""Tests of the encoding of messages between nodes."""

import dataclasses

import pytest

from basilpost.members import demand, loads, messages, store_news, wire
from basilpost.store import objects


@dataclasses.dataclass(frozen=True, kw_only=True)
class X:
    text: str
    numbers: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RenamedX:
    WIRE_NAME = "X"

    text: str
    numbers: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RenamedX2(RenamedX):
    VERSION = 2


_REPORT = loads.LoadReport(
    in_flight_by_target={"t": 2},
    stalled=("s",),
    writing=("w",),
    demand_by_model={"m": demand.ModelDemand(arrived_per_second=1.5, ended=2.0, held_seconds=3.0)},
)
_REPORT_BYTES = (
    b"\x81\xa6report\x84\xb3in_flight_by_target\x81\xa1t\x02\xa7stalled\x91\xa1s"
    b"\xa7writing\x91\xa1w\xafdemand_by_model\x81\xa1m\x83"
    b"\xb2arrived_per_second\xcb?\xf8\x00\x00\x00\x00\x00\x00"
    b"\xa5ended\xcb@\x00\x00\x00\x00\x00\x00\x00"
    b"\xacheld_seconds\xcb@\x08\x00\x00\x00\x00\x00\x00"
)
# Each message class whose name differs from its name on the wire, with the frame that nodes
# exchange. A node that sends other bytes is not understood by nodes of earlier releases.
RENAMED_MESSAGES = [
    (
        messages.ChangeBatch(
            changes=(messages.WireChange(key="config/a", version=3, value=b"v", compressed=False),)
        ),
        b"\x00\x00\x00A\x94\x00\x00\xa7Changed\x81\xa7changes\x91\x84\xa3key\xa8config/a"
        b"\xa7version\x03\xa5value\xc4\x01v\xaacompressed\xc2",
    ),
    (
        messages.VersionAnnouncement(versions_by_key={"a": 1}),
        b'\x00\x00\x00"\x94\x00\x00\xa9Announced\x81\xafversions_by_key\x81\xa1a\x01',
    ),
    (
        messages.LeaseExpired(node_id="n", incarnation="i", renewal=4),
        b"\x00\x00\x00,\x94\x00\x00\xa6Lapsed\x83\xa7node_id\xa1n\xabincarnation\xa1i"
        b"\xa7renewal\x04",
    ),
    (messages.SummaryRequest(), b"\x00\x00\x00\x0f\x94\x00\x00\xaaSummaryAsk\x80"),
    (messages.PullComplete(), b"\x00\x00\x00\x0b\x94\x00\x00\xa6Pulled\x80"),
    (
        messages.FreshnessQuery(sequence=5),
        b"\x00\x00\x00\x12\x94\x00\x00\xa3Ask\x81\xa8sequence\x05",
    ),
    (
        messages.FreshnessReply(sequence=5, age=0.5, serving=True, digest=7, reached={9: 1}),
        b"\x00\x00\x00<\x94\x00\x00\xa4Told\x85\xa8sequence\x05"
        b"\xa3age\xcb?\xe0\x00\x00\x00\x00\x00\x00\xa7serving\xc3\xa6digest\x07"
        b"\xa7reached\x81\t\x01",
    ),
    (
        messages.HeldVersionQuery(key="a"),
        b"\x00\x00\x00\x12\x94\x00\x00\xa7HeldAsk\x81\xa3key\xa1a",
    ),
    (
        messages.HeldVersionReply(version=6),
        b"\x00\x00\x00\x12\x94\x00\x00\xa4Held\x81\xa7version\x06",
    ),
    (
        store_news.StoreChanges(
            changes=(
                objects.Change(
                    key="a", version=2, stored=objects.Stored(key="a", value=b"v", version=2)
                ),
            )
        ),
        b"\x00\x00\x00G\x94\x00\x00\xa9StoreNews\x81\xa7changes\x91\x83\xa3key\xa1a\xa7version"
        b"\x02\xa6stored\x83\xa3key\xa1a\xa5value\xc4\x01v\xa7version\x02",
    ),
    (
        loads.HubLoad(report=_REPORT),
        b"\x00\x00\x00\x97\x94\x00\x00\xa7LoadSum" + _REPORT_BYTES,
    ),
    (
        loads.FleetLoad(report=_REPORT),
        b"\x00\x00\x00\x99\x94\x00\x00\xa9LoadFleet" + _REPORT_BYTES,
    ),
]


def encoded(message):
    return wire.MessageRegistry().encode(wire.Envelope(mode=wire.Mode.MESSAGE, message=message))


def decoded(raw, kind):
    registry = wire.MessageRegistry()
    registry.add(kind)
    return registry.decode(raw[len(wire.frame(b"")) :])


def test_a_class_with_a_wire_name_has_the_bytes_of_a_class_of_that_name():
    plain, renamed = X(text="a", numbers=(1, 2)), RenamedX(text="a", numbers=(1, 2))
    assert encoded(renamed) == encoded(plain)
    assert decoded(encoded(plain), RenamedX).message == renamed
    assert decoded(encoded(renamed), X).message == plain


@pytest.mark.parametrize(
    "message, frame",
    RENAMED_MESSAGES,
    ids=[type(message).__name__ for message, _ in RENAMED_MESSAGES],
)
def test_renamed_messages_keep_their_bytes(message, frame):
    assert encoded(message) == frame
    assert decoded(frame, type(message)).message == message


def test_every_renamed_message_is_checked():
    kinds = {
        kind
        for module in (messages, store_news, loads)
        for kind in vars(module).values()
        if hasattr(kind, "WIRE_NAME")
    }
    assert kinds == {type(message) for message, _ in RENAMED_MESSAGES}


def test_a_version_is_added_to_the_wire_name():
    assert wire.name_of(RenamedX2) == "X/2"
    assert wire.base_name_of(RenamedX2) == "X"


def test_a_wire_name_belongs_to_one_class():
    registry = wire.MessageRegistry()
    registry.add(X)
    with pytest.raises(ValueError):
        registry.add(RenamedX)


def test_a_freshness_reply_with_reached_nodes_is_decoded():
    registry = wire.MessageRegistry()
    registry.add(messages.FreshnessReply)
    reply = messages.FreshnessReply(sequence=1, age=0.5, serving=True, digest=7, reached={123: 4})
    raw = registry.encode(wire.Envelope(mode=wire.Mode.MESSAGE, message=reply))
    decoded_envelope = registry.decode(raw[len(wire.frame(b"")) :])
    assert decoded_envelope == wire.Envelope(mode=wire.Mode.MESSAGE, message=reply)
