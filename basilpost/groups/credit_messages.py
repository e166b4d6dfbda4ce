"""Messages about credits between a node and the controllers of fabric domains.

A node sends each controller one message per interval, with all of its targets that the node uses.
Wants and grants are encoded without their field names, which would be most of the bytes.
"""

import dataclasses
from typing import Any, TypeVar, get_type_hints

from basilpost.core import codec

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Want:
    """A node's use of one target, the slots it wants there, and its results since the last message.

    Attributes:
        group_id: Id of the target.
        generation: Generation of the target that the node knows.
        in_flight: Requests that the node has in flight there.
        wanted: Slots that the node could use now, those in flight included.
        acting_on: Number of the ask whose reply granted the credits in use, -1 for none.
        succeeded: Requests that ended well since the last message.
        failed: Requests that the target failed since then.
        latency_ms: Mean milliseconds to the first byte of those that ended well, 0 if none did.
        cold: True if an answer since then said that the target is in a cold start.
    """

    group_id: str
    generation: int
    in_flight: int
    wanted: int
    acting_on: int = -1
    succeeded: int = 0
    failed: int = 0
    latency_ms: int = 0
    cold: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class CreditAsk:
    """Asks a controller for credits on its targets.

    Attributes:
        incarnation: Unique id of the asking process.
        number: Rises with each ask of the process, so that a late arrival is recognised.
        wants: The targets that the node uses.
    """

    incarnation: str
    number: int
    wants: tuple[Want, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """Credits on one target.

    Attributes:
        group_id: Id of the target.
        generation: Generation that the credits are for.
        fence: Fencing number of the holder; a node that knows a later holder ignores the grant.
        credits: Requests that the node may have in flight there by these credits.
        bounded: True while the target accepts requests under credits only: cold, or ramping up.
        load_percent: All nodes' requests in flight, in percent of the target's present limit.
    """

    group_id: str
    generation: int
    fence: int
    credits: int
    bounded: bool
    load_percent: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CreditReply:
    """The controller's reply to an ask; targets that it does not control are left out."""

    grants: tuple[Grant, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class InFlightAsk:
    """Asks a node for its requests in flight in a fabric domain; sent by a new controller."""

    fabric_domain: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class InFlight:
    """Requests that a node has in flight on one target."""

    group_id: str
    count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class InFlightReport:
    """All of a node's requests in flight in a fabric domain; targets without any are left out."""

    in_flight: tuple[InFlight, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Revoke:
    """Withdraws all credits on a target, which has fallen back into a cold start."""

    group_id: str
    generation: int
    fence: int


def _encode_as_array(record_type: type) -> None:
    """Registers the encoding of a record class as the array of its field values."""
    converter = codec.msgpack_converter()
    types_by_name = get_type_hints(record_type)

    def to_array(record: Any) -> list[Any]:
        return [getattr(record, name) for name in types_by_name]

    def from_array(raw: Any, _: type[T]) -> T:
        if not isinstance(raw, list | tuple) or len(raw) != len(types_by_name):
            raise TypeError(f"expected the field values of a {record_type.__name__}, found {raw!r}")
        values = {
            name: converter.structure(value, field_type)
            for (name, field_type), value in zip(types_by_name.items(), raw, strict=True)
        }
        record: T = record_type(**values)
        return record

    converter.register_unstructure_hook(record_type, to_array)
    converter.register_structure_hook(record_type, from_array)


_encode_as_array(Want)
_encode_as_array(Grant)
