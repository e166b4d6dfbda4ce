"""Tests that messages between nodes survive the wire."""

import dataclasses

import pytest

from basilpost.members import messages, wire


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


def encoded(message):
    return wire.Registry().encode(wire.Envelope(mode=wire.Mode.MESSAGE, message=message))


def decoded(raw, kind):
    registry = wire.Registry()
    registry.add(kind)
    return registry.decode(raw[len(wire.frame(b"")) :])


def test_a_class_with_a_wire_name_has_the_bytes_of_a_class_of_that_name():
    plain, renamed = X(text="a", numbers=(1, 2)), RenamedX(text="a", numbers=(1, 2))
    assert encoded(renamed) == encoded(plain)
    assert decoded(encoded(plain), RenamedX).message == renamed
    assert decoded(encoded(renamed), X).message == plain


def test_a_version_is_added_to_the_wire_name():
    assert wire.name_of(RenamedX2) == "X/2"
    assert wire.base_name_of(RenamedX2) == "X"


def test_a_wire_name_belongs_to_one_class():
    registry = wire.Registry()
    registry.add(X)
    with pytest.raises(ValueError):
        registry.add(RenamedX)


def test_an_answer_that_tells_whom_a_node_reaches_can_be_read():
    registry = wire.Registry()
    registry.add(messages.Told)
    told = messages.Told(sequence=1, age=0.5, serving=True, digest=7, reached={123: 4})
    raw = registry.encode(wire.Envelope(mode=wire.Mode.MESSAGE, message=told))
    found = registry.decode(raw[len(wire.frame(b"")) :])
    assert found == wire.Envelope(mode=wire.Mode.MESSAGE, message=told)
