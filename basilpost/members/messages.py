"""The messages by which nodes keep each other's replicas, and their standing, current."""

import dataclasses
import zlib

from basilpost.members import peers
from basilpost.store import objects

COMPRESSED_BYTES = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class WireChange:
    """A change of an object.

    Attributes:
        key: The object.
        version: Its version, or that of its deletion.
        value: The value, None when the object was deleted.
        compressed: True if the value is compressed by zlib.
    """

    key: str
    version: int
    value: bytes | None
    compressed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeBatch:
    """Changes that the sender has in force."""

    WIRE_NAME = "Changed"

    changes: tuple[WireChange, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionAnnouncement:
    """Versions that the sender has in force; the receiver pulls those that it lacks."""

    WIRE_NAME = "Announced"

    versions_by_key: dict[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseExpired:
    """A node that watches the store saw no renewal of a lease for the lease's whole length."""

    WIRE_NAME = "Lapsed"

    node_id: str
    incarnation: str
    renewal: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SummaryRequest:
    """Asks for the versions of all objects that the receiver knows."""

    WIRE_NAME = "SummaryAsk"


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
class PullComplete:
    """Marks the end of the answer to a pull."""

    WIRE_NAME = "Pulled"


@dataclasses.dataclass(frozen=True, kw_only=True)
class FreshnessQuery:
    """Asks how current the receiver is; `sequence` ties the answer to the time of asking."""

    WIRE_NAME = "Ask"

    sequence: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class FreshnessReply:
    """Answers `FreshnessQuery`.

    Attributes:
        sequence: That of the question.
        age: Seconds since which the sender's replica may miss changes of the store.
        serving: True if the sender takes new work.
        digest: Digest over the versions of the sender's objects.
        reached: Tenths of a second since the sender reached a node, by the node's short hash.
    """

    WIRE_NAME = "Told"

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
class HeldVersionQuery:
    """Asks which version of an object the receiver has in force."""

    WIRE_NAME = "HeldAsk"

    key: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeldVersionReply:
    """Answers `HeldVersionQuery`; 0 if the object is not known."""

    WIRE_NAME = "Held"

    version: int


def to_wire(change: objects.Change) -> WireChange:
    """Returns a change as it is sent."""
    value = change.stored.value if change.stored else None
    compressed = value is not None and len(value) >= COMPRESSED_BYTES
    if value is not None and compressed:
        value = zlib.compress(value, level=1)
    return WireChange(key=change.key, version=change.version, value=value, compressed=compressed)


def from_wire(change: WireChange) -> objects.Change:
    """Returns a received change.

    Raises:
        peers.MalformedMessageError: If the value cannot be decompressed to the size that the store allows.
    """
    stored = None
    if change.value is not None:
        value = _decompress(change.value) if change.compressed else change.value
        stored = objects.Stored(key=change.key, value=value, version=change.version)
    return objects.Change(key=change.key, version=change.version, stored=stored)


def _decompress(raw: bytes) -> bytes:
    """Decompresses a value, but never to more than a value may hold."""
    inflating = zlib.decompressobj()
    try:
        value = inflating.decompress(raw, objects.MAX_VALUE_BYTES)
    except zlib.error as error:
        raise peers.MalformedMessageError(f"no compressed value: {error}") from error
    if not inflating.eof:
        raise peers.MalformedMessageError("a compressed value is too large or cut short")
    return value
