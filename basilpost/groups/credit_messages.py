"""Messages about credits between a node and the controllers of fabric domains.

All targets of one controller ride together in one message for each interval, and only those that the
node uses. Wants and grants travel without their field names, which would be most of the bytes.
"""

import dataclasses
from typing import Any, TypeVar, get_type_hints

from basilpost.core import codec

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Want:
    """What a node has and wants on one target, and what it saw there since its last message.

    Attributes:
        group_id: The target.
        generation: Generation that the node knows.
        in_flight: Requests that the node has in flight there.
        wanted: Slots that the node could use now, those in flight included.
        acting_on: Number of the ask whose answer gave the credits that the node acts on, -1 for none.
        succeeded: Requests that ended well since the last message.
        failed: Requests that the target failed since then.
        latency_ms: Mean milliseconds to the first byte of those that ended well, 0 if there were none.
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
        number: Rises with each of its asks, so that one that arrives late is known as old.
        wants: The targets.
    """

    incarnation: str
    number: int
    wants: tuple[Want, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """Credits on one target.

    Attributes:
        group_id: The target.
        generation: Generation that the credits are for.
        fence: Fencing number of the granting holder; a node that knows a later holder ignores it.
        credits: Requests that the node may have in flight there by these credits.
        bounded: True while the target takes work under credits only: cold, or ramping up.
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
    """The controller's answer; a target that it does not control is left out."""

    grants: tuple[Grant, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class InFlightAsk:
    """A new controller asks a node what it has in flight in a fabric domain."""

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
    """The controller withdraws all credits on a target, which has fallen back into a cold start."""

    group_id: str
    generation: int
    fence: int


def _travel_as_arrays(kind: type) -> None:
    """Makes a record of plain values travel as the array of its values."""
    converter = codec.msgpack_converter()
    kinds_by_name = get_type_hints(kind)

    def to_array(one: Any) -> list[Any]:
        return [getattr(one, name) for name in kinds_by_name]

    def from_array(raw: Any, _: type[T]) -> T:
        if not isinstance(raw, list | tuple) or len(raw) != len(kinds_by_name):
            raise TypeError(f"not the values of a {kind.__name__}: {raw!r}")
        values = {
            name: converter.structure(value, field_kind)
            for (name, field_kind), value in zip(kinds_by_name.items(), raw, strict=True)
        }
        made: T = kind(**values)
        return made

    converter.register_unstructure_hook(kind, to_array)
    converter.register_structure_hook(kind, from_array)


_travel_as_arrays(Want)
_travel_as_arrays(Grant)
