"""The messages of the gossip protocol, by which nodes keep each other's replicas current."""

import dataclasses
import zlib

from basilpost.members import peers
from basilpost.store import objects

# Smaller values are sent uncompressed.
MIN_COMPRESSED_BYTES = 200
# Above the largest value of any store: other writers' objects may be larger than `objects.MAX_VALUE_BYTES`,
# which bounds this project's own. The users' platform takes 1,048,576 bytes.
MAX_RECEIVED_BYTES = 2 * 1_048_576


@dataclasses.dataclass(frozen=True, kw_only=True)
class WireChange:
    """A change of an object, as it is sent.

    Attributes:
        key: Key of the object.
        version: Version of the object, or of its deletion.
        value: The new value, None if the object was deleted.
        compressed: True if the value is compressed with zlib.
    """

    key: str
    version: int
    value: bytes | None
    compressed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeBatch:
    """Changes that the sender has applied."""

    WIRE_NAME = "Changed"

    changes: tuple[WireChange, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionAnnouncement:
    """Versions that the sender has applied; the receiver pulls those that it lacks."""

    WIRE_NAME = "Announced"

    versions_by_key: dict[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseExpired:
    """Reports that a node watching the store saw no renewal of a lease for the lease's length.

    Attributes:
        node_id: Holder of the lease.
        incarnation: Incarnation of the holder.
        renewal: The last renewal that was seen.
    """

    WIRE_NAME = "Lapsed"

    node_id: str
    incarnation: str
    renewal: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SummaryRequest:
    """Asks the receiver for a `Summary` of all its objects."""

    WIRE_NAME = "SummaryAsk"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """One part of the versions of all objects that the sender knows.

    Attributes:
        versions_by_key: The versions in this part.
        last: True in the final part.
    """

    versions_by_key: dict[str, int]
    last: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pull:
    """Asks for the receiver's current versions of objects."""

    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PullComplete:
    """Tells that all objects asked for by a `Pull` have been sent."""

    WIRE_NAME = "Pulled"


@dataclasses.dataclass(frozen=True, kw_only=True)
class FreshnessQuery:
    """Asks how current the receiver's replica is.

    Attributes:
        sequence: Identifies the query in the reply, so that the sender knows when it was sent.
    """

    WIRE_NAME = "Ask"

    sequence: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class FreshnessReply:
    """Answers `FreshnessQuery`.

    Attributes:
        sequence: Copied from the query.
        age: Age of the sender's replica in seconds: it may lack changes made to the store since.
        serving: True if the sender accepts new work.
        digest: Digest over the versions of the sender's objects.
        reached: Tenths of a second since the sender last reached a node, by the node's short hash.
    """

    WIRE_NAME = "Told"

    sequence: int
    age: float
    serving: bool
    digest: int
    reached: dict[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Goodbye:
    """Announces that a node leaves as planned and no longer counts for majorities."""

    node_id: str
    incarnation: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeldVersionQuery:
    """Asks which version of an object the receiver has in its replica."""

    WIRE_NAME = "HeldAsk"

    key: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeldVersionReply:
    """Tells which version of the queried object the sender has in its replica.

    Attributes:
        version: The object's version in that replica, 0 if the object is unknown there.
    """

    WIRE_NAME = "Held"

    version: int


def to_wire(change: objects.Change) -> WireChange:
    """Returns the message for a change; large values are compressed."""
    value = change.stored.value if change.stored else None
    compressed = value is not None and len(value) >= MIN_COMPRESSED_BYTES
    if value is not None and compressed:
        value = zlib.compress(value, level=1)
    return WireChange(key=change.key, version=change.version, value=value, compressed=compressed)


def from_wire(change: WireChange) -> objects.Change:
    """Returns the change in a received message.

    Raises:
        peers.MalformedMessageError: If the value cannot be decompressed, or exceeds
            `MAX_RECEIVED_BYTES`.
    """
    stored = None
    if change.value is not None:
        value = _decompress(change.value) if change.compressed else change.value
        stored = objects.Stored(key=change.key, value=value, version=change.version)
    return objects.Change(key=change.key, version=change.version, stored=stored)


def _decompress(raw: bytes) -> bytes:
    """Decompresses a value of at most `MAX_RECEIVED_BYTES`, which bounds the memory used."""
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(raw, MAX_RECEIVED_BYTES)
    except zlib.error as error:
        raise peers.MalformedMessageError(f"the value cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise peers.MalformedMessageError("a compressed value is too large or truncated")
    return value
