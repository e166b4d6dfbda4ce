"""Tests that peer messages keep their bytes although their classes have other names."""

import pytest

from basilpost.members import wire
from basilpost.routing import suspects

# Each renamed message with the frame that nodes exchange, as encoded before the renaming.
FRAMES = [
    (
        suspects.SuspectReport(event_id="e", fingerprint="f", group_id="g", fabric_domain="d"),
        b"\x00\x00\x00>\x94\x00\x00\xa5Blame\x84\xa8event_id\xa1e\xabfingerprint\xa1f"
        b"\xa8group_id\xa1g\xadfabric_domain\xa1d",
    ),
    (
        suspects.SuspectCleared(event_id="e", fingerprint="f"),
        b"\x00\x00\x00%\x94\x00\x00\xa7Cleared\x82\xa8event_id\xa1e\xabfingerprint\xa1f",
    ),
    (
        suspects.LoneRunRequest(fingerprint="f", group_id="g"),
        b"\x00\x00\x00(\x94\x00\x00\xaaAskLoneRun\x82\xabfingerprint\xa1f\xa8group_id\xa1g",
    ),
]


@pytest.mark.parametrize(("message", "frame"), FRAMES)
def test_a_renamed_message_keeps_its_bytes(message, frame):
    registry = wire.MessageRegistry()
    registry.add(type(message))
    envelope = wire.Envelope(mode=wire.Mode.MESSAGE, message=message)
    assert registry.encode(envelope) == frame
    assert registry.decode(frame[len(wire.frame(b"")) :]) == envelope


def test_every_renamed_message_is_checked():
    kinds = {kind for kind in vars(suspects).values() if hasattr(kind, "WIRE_NAME")}
    assert kinds == {type(message) for message, _ in FRAMES}
