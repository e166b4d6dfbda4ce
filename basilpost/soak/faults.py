"""Draws what goes wrong in a run of the soak, from a seed alone."""

import dataclasses
import enum
import random


class Kind(enum.Enum):
    """A kind of fault or planned change."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    RELOAD = "reload"
    STORE_SILENT = "store_silent"
    STORE_ONE_WAY = "store_one_way"
    STORE_SLOW = "store_slow"
    STORE_RESET = "store_reset"
    STORE_REFUSES = "store_refuses"
    STORE_AWAY = "store_away"
    RUNNER_SILENT = "runner_silent"
    RUNNER_ONE_WAY = "runner_one_way"
    RUNNER_RESET = "runner_reset"
    RUNNER_GONE = "runner_gone"
    ANSWERS_LOST = "answers_lost"
    KEY_TAKEN = "key_taken"
    DOMAIN_OUT = "domain_out"


PLANNED = (Kind.STOP, Kind.RELOAD, Kind.KEY_TAKEN, Kind.DOMAIN_OUT)
# Mean gap between the beginnings of faults; each lasts a second or more, so they overlap.
MEAN_GAP_SECONDS = 1.0
# Range of the length of a fault.
LENGTH_SECONDS = (0.2, 4.0)
# One seed in so many has planned changes only, in which no request may be cut.
PLANNED_EVERY = 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault.

    Attributes:
        kind: What happens.
        at: Seconds after the start of the traffic.
        seconds: How long it lasts.
        which: Number that picks the node or runner.
    """

    kind: Kind
    at: float
    seconds: float
    which: int


def is_planned(seed: int) -> bool:
    """Returns True for a seed that has planned changes only."""
    return seed % PLANNED_EVERY == 0


def draw(seed: int, *, seconds: float) -> tuple[Fault, ...]:
    """Returns the faults of a run, in the order in which they begin.

    Args:
        seed: Decides everything.
        seconds: Time in which faults begin.
    """
    chance = random.Random(seed)
    kinds = PLANNED if is_planned(seed) else tuple(Kind)
    found = []
    at = chance.expovariate(1.0 / MEAN_GAP_SECONDS)
    while at < seconds:
        found.append(
            Fault(
                kind=chance.choice(kinds),
                at=at,
                seconds=chance.uniform(*LENGTH_SECONDS),
                which=chance.randrange(1_000),
            )
        )
        at += chance.expovariate(1.0 / MEAN_GAP_SECONDS)
    return tuple(found)
