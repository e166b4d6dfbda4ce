"""Tests that peer messages keep their bytes although their classes have other names."""

import pytest

from basilpost.members import wire
from basilpost.runs import held_claims, ledger, witnesses

# Each renamed message with the frame that nodes exchange, as encoded before the renaming.
FRAMES = [
    (
        held_claims.OutcomeQuery(attempt_id="a", wait_seconds=1.5),
        b"\x00\x00\x00.\x94\x00\x00\xa6Attach\x82\xaaattempt_id\xa1a\xacwait_seconds"
        b"\xcb?\xf8\x00\x00\x00\x00\x00\x00",
    ),
    (
        held_claims.OutcomeReport(
            phase=held_claims.Phase.FINISHED,
            answer=ledger.Answer(status=201, headers=(("A", "b"),), body=b"c"),
            reason="r",
        ),
        b"\x00\x00\x00J\x94\x00\x00\xa6Report\x83\xa5phase\xa8finished\xa6answer\x83\xa6status"
        b"\xcc\xc9\xa7headers\x91\x92\xa1A\xa1b\xa4body\xc4\x01c\xa6reason\xa1r",
    ),
    (
        witnesses.MayHaveRunQuery(key_hash="k"),
        b"\x00\x00\x00\x17\x94\x00\x00\xa7WasSeen\x81\xa8key_hash\xa1k",
    ),
    (
        witnesses.MayHaveRunReply(seen=True),
        b"\x00\x00\x00\x0f\x94\x00\x00\xa4Seen\x81\xa4seen\xc3",
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
    kinds = {
        kind
        for module in (held_claims, witnesses)
        for kind in vars(module).values()
        if hasattr(kind, "WIRE_NAME")
    }
    assert kinds == {type(message) for message, _ in FRAMES}
