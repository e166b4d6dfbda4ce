"""Watches bodies while they arrive: finds those that move little for their room, and ends those that stop.

Time is counted in ticks of a timer, not by the clock: after the event loop was held up, bodies that have
arrived and were not read yet would look as if they had stopped.
"""

import asyncio
import dataclasses
import enum
from collections.abc import Callable

TICK_SECONDS = 0.1
# A body without a byte for this long may lose its room to another one. Well below the time for which
# bodies wait for room.
STALLED_SECONDS = 0.4
# After this time a body may also lose its room if it would need longer than `SLOWEST_SECONDS` for as many
# bytes as it has room for.
SLOW_AFTER_SECONDS = 1.0
SLOWEST_SECONDS = 30.0


class Cause(enum.Enum):
    """Why a body is given up before it is whole."""

    ROOM = "room"
    IDLE = "idle"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on one body, whether its request is refused or not.

    Attributes:
        idle_seconds: Longest time without a byte.
        whole_seconds: Longest time until it is whole.
    """

    idle_seconds: float
    whole_seconds: float


@dataclasses.dataclass(kw_only=True, eq=False)
class Arrival:
    """The progress of one body.

    Attributes:
        give_up: Refuses the request, so that the room is free and its caller has an answer.
        limits: Returns the limits on it.
        size: Bytes that have arrived.
        room: Bytes of room that it holds.
        ticks: Ticks since it began.
        idle_ticks: Ticks since its latest byte.
        waits: True while it waits for room and is not read.
    """

    give_up: Callable[[Cause], None]
    limits: Callable[[], Limits]
    size: int = 0
    room: int = 0
    ticks: int = 0
    idle_ticks: int = 0
    waits: bool = False


class Arrivals:
    """The bodies that arrive.

    Args:
        on_tick: Called after each tick.
    """

    def __init__(self, *, on_tick: Callable[[], None]) -> None:
        self._on_tick = on_tick
        # In the order in which they began.
        self._arrivals: dict[Arrival, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, arrival: Arrival) -> None:
        """Watches a body from now on."""
        self._arrivals[arrival] = None
        self._schedule()

    def remove(self, arrival: Arrival) -> None:
        """Forgets a body that is whole or given up."""
        self._arrivals.pop(arrival, None)

    def yielding(self) -> list[Arrival]:
        """Returns the bodies that may lose their room, those first that move least for it."""
        candidates = [arrival for arrival in self._arrivals if arrival.room and _may_yield(arrival)]
        return sorted(candidates, key=lambda each: each.size / (each.room * (each.ticks + 1)))

    def _schedule(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(TICK_SECONDS, self._tick)

    def _tick(self) -> None:
        self._timer = None
        for arrival in self._arrivals:
            if not arrival.waits:
                arrival.ticks += 1
                arrival.idle_ticks += 1
        for arrival, cause in [(each, _exceeded(each)) for each in self._arrivals]:
            if cause is not None:
                self.remove(arrival)
                arrival.give_up(cause)
        self._on_tick()
        if self._arrivals:
            self._schedule()


def _may_yield(arrival: Arrival) -> bool:
    if arrival.waits:
        return False
    if arrival.idle_ticks * TICK_SECONDS >= STALLED_SECONDS:
        return True
    seconds = arrival.ticks * TICK_SECONDS
    return seconds >= SLOW_AFTER_SECONDS and arrival.size * SLOWEST_SECONDS < arrival.room * seconds


def _exceeded(arrival: Arrival) -> Cause | None:
    """Returns which limit a body exceeds, None for none."""
    if arrival.waits:
        return None
    limits = arrival.limits()
    if arrival.idle_ticks * TICK_SECONDS >= limits.idle_seconds:
        return Cause.IDLE
    if arrival.ticks * TICK_SECONDS >= limits.whole_seconds:
        return Cause.DEADLINE
    return None
