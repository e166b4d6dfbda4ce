"""Chooses the target of a request; pure functions.

Many nodes place requests at the same moment on targets of unequal load, and all know about the same
counts of requests in flight. So ties are broken at random, and a node adds its own requests to the
counts at once. In a large fleet many requests are missing from the counts before they are updated,
and all nodes would choose the target that was emptiest. With stale counts a node therefore draws two
targets with probabilities proportional to their free room and takes the better one (after
Mitzenmacher, "How useful is old information?", 2000).

A node of a large fleet sends few requests to each of hundreds of targets, and would open a connection
for almost every request. So it chooses among a few targets near to it, until these are busy.
"""

import dataclasses
import random
from collections.abc import Callable, Iterable

from basilpost.routing import load_interpretation, targets

# Cost of a target in another failure domain, in the same unit as the load (a share of its slots): the
# longer way takes some milliseconds.
OTHER_DOMAIN_COST = 0.12
# Cost of a target that seems to have stopped answering, so high that it is chosen only if there is
# no other.
STALLED_COST = 100.0
# Requests that a target accepts beyond its slots, as a share of them; it processes them in turn.
QUEUE_SHARE = 0.1
# Share of its slots in use up to which one of the node's preferred targets is chosen.
PREFERRED_LOAD = 0.7
# Share of their slots in use up to which the targets of the node's own failure domain are preferred to
# all others. Above it the first event comes later there by more than the way to another domain takes.
NEAR_LOAD = 0.5
# Targets drawn if the counts are stale; the better of two is far better than a single random one.
DRAWN_TARGETS = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A target and what the node knows of its state.

    Attributes:
        target: The target, a runner that requests can be sent to.
        in_flight: Requests that all nodes together have in flight on it.
        stalled: True if its answers have stopped coming.
        may_send: False if this node must not send to it now, such as to a cold target.
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
        candidates: The targets that have not been tried yet.
        failure_domain: Failure domain of this node.
        rng: Breaks ties, and draws if the counts are stale.
        stale: True if the counts are old, compared with how fast they change.
    """
    cost = _cost_from(failure_domain)
    options = [candidate for candidate in candidates if candidate.may_send and has_room(candidate)]
    if stale and options:
        options = _draw(options, rng)
    best = min(options, key=lambda candidate: (cost(candidate), rng.random()), default=None)
    return best.target if best is not None else None


def draw_target(
    candidates: Iterable[Candidate],
    *,
    failure_domain: str,
    expected_arrivals: float,
    rng: random.Random,
) -> targets.Target | None:
    """Returns a target with room, drawn so that all nodes together fill the targets evenly.

    Load pattern: demand swings in each failure domain by itself. Targets of the node's own domain come
    first while they are at most half full together; then all do, and one in another domain counts as if it
    had more requests, by `OTHER_DOMAIN_COST`.

    Args:
        candidates: The targets that have not been tried yet.
        failure_domain: Failure domain of this node.
        expected_arrivals: Requests that all nodes have sent to these targets since the counts were
            taken; see `load_interpretation`.
        rng: Source of the draw.
    """
    options = [candidate for candidate in candidates if candidate.may_send and has_room(candidate)]
    options = [candidate for candidate in options if not candidate.stalled] or options
    if not options:
        return None
    near = [candidate for candidate in options if candidate.target.failure_domain == failure_domain]
    # Not only the emptiest ones: all nodes of the domain would send to these until the next report.
    in_flight = sum(candidate.in_flight for candidate in near)
    if near and in_flight <= sum(candidate.target.slots for candidate in near) * NEAR_LOAD:
        expected_arrivals *= len(near) / len(options)
        options = near
    slots = max(1, max(candidate.target.slots for candidate in options))
    cost = _cost_from(failure_domain)
    counts = [(cost(candidate) - STALLED_COST * candidate.stalled) * slots for candidate in options]
    return options[load_interpretation.draw(counts, expected_arrivals, rng)].target


def has_light_load(candidate: Candidate) -> bool:
    """Returns True if a preferred target is to be used before all others."""
    return (
        candidate.may_send
        and not candidate.stalled
        and candidate.target.complete
        and candidate.in_flight < candidate.target.slots * PREFERRED_LOAD
    )


def _draw(options: list[Candidate], rng: random.Random) -> list[Candidate]:
    """Draws candidates weighted by their room; stalled ones only if there are no others."""
    responsive = [candidate for candidate in options if not candidate.stalled] or options
    return rng.choices(
        responsive, weights=[_room(candidate) for candidate in responsive], k=DRAWN_TARGETS
    )


def _room(candidate: Candidate) -> float:
    return candidate.target.slots * (1.0 + QUEUE_SHARE) - candidate.in_flight


def has_room(candidate: Candidate) -> bool:
    """Returns True if a target accepts one more request, counting its short queue."""
    return candidate.in_flight < candidate.target.slots * (1.0 + QUEUE_SHARE)


def _cost_from(failure_domain: str) -> Callable[[Candidate], float]:
    def cost(candidate: Candidate) -> float:
        in_other_domain = candidate.target.failure_domain != failure_domain
        return (
            candidate.in_flight / max(1, candidate.target.slots)
            + OTHER_DOMAIN_COST * in_other_domain
            + STALLED_COST * candidate.stalled
        )

    return cost
