"""Draws the faults and planned changes of a soak run from its seed."""

import dataclasses
import enum
import random


class Kind(enum.Enum):
    """A kind of fault or planned change.

    KILL, STOP, PAUSE and RELOAD send a signal to a node. STORE_* and RUNNER_* disturb the connections
    to the store or to a runner; RUNNER_GONE stops a runner, and STORE_AWAY cuts all nodes off from the
    store. ANSWERS_LOST makes a plain service close connections unanswered. KEY_TAKEN withdraws an API
    key and DOMAIN_OUT a failure domain for a time.
    """

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
# Mean time between the beginnings of faults. It is shorter than the mean length, so faults overlap.
MEAN_GAP_SECONDS = 1.0
# Range of the duration of a fault.
LENGTH_SECONDS = (0.2, 4.0)
# Each seed divisible by this has planned changes only, during which every request that ran must get
# its complete answer.
PLANNED_EVERY = 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault or planned change at a time.

    Attributes:
        kind: What happens.
        at: When it begins, in seconds after the start of the traffic.
        seconds: How long it lasts.
        target_index: Picks the node or runner, modulo their number.
    """

    kind: Kind
    at: float
    seconds: float
    target_index: int


def has_planned_changes_only(seed: int) -> bool:
    """Returns True if the run of a seed has planned changes only."""
    return seed % PLANNED_EVERY == 0


def draw(seed: int, *, seconds: float) -> tuple[Fault, ...]:
    """Returns the faults of a run, in the order in which they begin.

    Args:
        seed: Seed of the random numbers; the same seed gives the same faults.
        seconds: Time during which faults begin.
    """
    rng = random.Random(seed)
    kinds = PLANNED if has_planned_changes_only(seed) else tuple(Kind)
    faults = []
    at = rng.expovariate(1.0 / MEAN_GAP_SECONDS)
    while at < seconds:
        faults.append(
            Fault(
                kind=rng.choice(kinds),
                at=at,
                seconds=rng.uniform(*LENGTH_SECONDS),
                target_index=rng.randrange(1_000),
            )
        )
        at += rng.expovariate(1.0 / MEAN_GAP_SECONDS)
    return tuple(faults)
