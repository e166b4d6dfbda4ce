"""Chooses the target of a request.

Pure functions. The load pattern they answer: many nodes that place at the same moment on targets of
unequal load. All nodes know about the same counts, so ties are broken at random and a node adds its
own requests to the counts at once. In a large fleet the counts are older than the requests that they
lack are few, and all would run to the target that was emptiest; there a node takes the better of two
that it draws by their room (after Mitzenmacher, "How useful is old information?", 2000).
"""

import dataclasses
import random
from collections.abc import Callable, Iterable

from basilpost.routing import targets

# What another failure domain costs, in shares of a target's slots: a detour of some milliseconds.
DISTANCE_COST = 0.12
# What a target that seems to have stopped answering costs: it is taken only if there is no other.
STALLED_COST = 100.0
# Requests that a target takes beyond its slots, in shares of them; it works them off in turn.
QUEUE_SHARE = 0.1
# Targets drawn where counts are stale; of two, the better one is far better than of one.
DRAWN = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A target as a node sees it now.

    Attributes:
        target: The target.
        in_flight: Requests that all nodes have there.
        stalled: True if its answers have stopped coming.
        may_send: False if the node must not send there now, as to a cold target.
    """

    target: targets.Target
    in_flight: int
    stalled: bool
    may_send: bool


def choose_target(
    candidates: Iterable[Candidate],
    *,
    failure_domain: str,
    rng: random.Random,
    stale: bool = False,
) -> targets.Target | None:
    """Returns the best target with room, None if there is none.

    Args:
        candidates: All targets that may be taken.
        failure_domain: Where this node is.
        rng: Source of randomness.
        stale: True if the counts are old, compared with how fast they change.
    """
    cost = _cost_from(failure_domain)
    options = [one for one in candidates if one.may_send and has_room(one)]
    if stale and options:
        options = _drawn(options, rng)
    best = min(options, key=lambda one: (cost(one), rng.random()), default=None)
    return best.target if best is not None else None


def _drawn(options: list[Candidate], rng: random.Random) -> list[Candidate]:
    """Draws candidates by their room; one that stands still only if there is no other."""
    sound = [one for one in options if not one.stalled] or options
    return rng.choices(sound, weights=[_room(one) for one in sound], k=DRAWN)


def _room(candidate: Candidate) -> float:
    return candidate.target.slots * (1.0 + QUEUE_SHARE) - candidate.in_flight


def has_room(candidate: Candidate) -> bool:
    """Returns True if a target works on, or soon will work on, one more request."""
    return candidate.in_flight < candidate.target.slots * (1.0 + QUEUE_SHARE)


def _cost_from(failure_domain: str) -> Callable[[Candidate], float]:
    def cost(one: Candidate) -> float:
        away = one.target.failure_domain != failure_domain
        return (
            one.in_flight / max(1, one.target.slots)
            + DISTANCE_COST * away
            + STALLED_COST * one.stalled
        )

    return cost
