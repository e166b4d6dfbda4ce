"""Places requests on counts that are older than the time in which they change.

Load pattern: many nodes see the same counts of requests in flight, half a second late. If each of them
prefers the emptiest target, all requests of that half second go to it: it gets several times what it
can process, while the others run empty, and then the roles change. After Dahlin ("Interpreting stale
load information", 1999) a node draws targets with such probabilities that the arrivals of all nodes
during that time bring the targets to a common level.
"""

import random
from collections.abc import Sequence


def arrival_shares(in_flight: Sequence[float], expected_arrivals: float) -> list[float]:
    """Returns the share of the arriving requests that each target should get; they sum to 1.

    The emptiest targets are filled up to a common level. With few arrivals only the emptiest ones get
    any, with many all targets get nearly the same.

    Args:
        in_flight: Requests at each target, as the old counts tell; at least one target.
        expected_arrivals: Requests that will have arrived since the counts were taken.
    """
    arrivals = max(1.0, expected_arrivals)
    level = _common_level(sorted(in_flight), arrivals)
    return [max(0.0, level - count) / arrivals for count in in_flight]


def draw(in_flight: Sequence[float], expected_arrivals: float, rng: random.Random) -> int:
    """Returns the index of a target, drawn by `arrival_shares`."""
    shares = arrival_shares(in_flight, expected_arrivals)
    (index,) = rng.choices(range(len(shares)), weights=shares)
    return index


def _common_level(ascending: Sequence[float], arrivals: float) -> float:
    """Returns the level to which the arrivals fill the emptiest targets."""
    filled = 0.0
    for count, (lowest, above) in enumerate(
        zip(ascending, [*ascending[1:], float("inf")], strict=True), start=1
    ):
        filled += lowest
        level = (filled + arrivals) / count
        if level <= above:
            return level
    raise AssertionError("unreachable: the last target has none above it")
