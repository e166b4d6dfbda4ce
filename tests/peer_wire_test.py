"""Tests that messages between nodes survive the wire."""

from basilpost.members import messages, wire


def test_an_answer_that_tells_whom_a_node_reaches_can_be_read():
    registry = wire.Registry()
    registry.add(messages.Told)
    told = messages.Told(sequence=1, age=0.5, serving=True, digest=7, reached={123: 4})
    raw = registry.encode(wire.Envelope(mode=wire.Mode.MESSAGE, message=told))
    found = registry.decode(raw[len(wire.frame(b"")) :])
    assert found == wire.Envelope(mode=wire.Mode.MESSAGE, message=told)
