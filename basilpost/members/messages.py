"""The messages by which nodes keep each other's replicas, and their standing, current."""

import dataclasses

from basilpost.store import objects


@dataclasses.dataclass(frozen=True, kw_only=True)
class WireChange:
    """A change of an object; `value` is None when it was deleted."""

    key: str
    version: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Changed:
    """Changes that the sender has in force."""

    changes: tuple[WireChange, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Announced:
    """Versions that the sender has in force; the receiver pulls those that it lacks."""

    versions_by_key: dict[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lapsed:
    """A node that watches the store saw no renewal of a lease for the lease's whole length."""

    node_id: str
    incarnation: str
    renewal: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SummaryAsk:
    """Asks for the versions of all objects that the receiver knows."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """A part of the versions that the sender knows; `last` marks the final part."""

    versions_by_key: dict[str, int]
    last: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pull:
    """Asks for objects in the versions that the receiver has."""

    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pulled:
    """Marks the end of the answer to a pull."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ask:
    """Asks how current the receiver is; `sequence` ties the answer to the time of asking."""

    sequence: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Told:
    """Answers `Ask`.

    Attributes:
        sequence: That of the question.
        age: Seconds since which the sender's replica may miss changes of the store.
        serving: True if the sender takes new work.
        digest: Digest over the versions of the sender's objects.
        reached: Tenths of a second since the sender reached a node, by the node's short hash.
    """

    sequence: int
    age: float
    serving: bool
    digest: int
    reached: dict[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Goodbye:
    """A node leaves on purpose and must not be counted any more."""

    node_id: str
    incarnation: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeldAsk:
    """Asks which version of an object the receiver has in force."""

    key: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Held:
    """Answers `HeldAsk`; 0 if the object is not known."""

    version: int


def to_wire(change: objects.Change) -> WireChange:
    """Returns a change as it is sent."""
    value = change.stored.value if change.stored else None
    return WireChange(key=change.key, version=change.version, value=value)


def from_wire(change: WireChange) -> objects.Change:
    """Returns a received change."""
    stored = None
    if change.value is not None:
        stored = objects.Stored(key=change.key, value=change.value, version=change.version)
    return objects.Change(key=change.key, version=change.version, stored=stored)
