"""The limit on a target's requests in flight while it recovers from a cold start.

The limit grows with each request that ends well, as in TCP slow start, but takes at least the
service's cold time to reach its full value. Failures and jumps in latency reset it.
"""

import dataclasses

# Weight of a new sample in the smoothed latency.
_LATENCY_SMOOTHING_WEIGHT = 0.1
# A latency above the smoothed one by both this factor and these seconds counts as a fall to cold.
_LATENCY_JUMP_RATIO = 4.0
_LATENCY_JUMP_SECONDS = 1.0
# As many failures in one report, if they outnumber the successes, count as a fall to cold.
_COLD_FAILURE_COUNT = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """The limits that a service sets for each of its targets.

    Attributes:
        cold: Requests in flight on a cold target.
        warm: Requests in flight on a warm target.
        ramp_seconds: Shortest time in which the limit grows from `cold` to `warm`.
    """

    cold: int
    warm: int
    ramp_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ramp:
    """A target's present limit on requests in flight.

    Attributes:
        level: Limit before rounding down.
        cold: True while the target reports that it is in a cold start.
        started_at: When the ramp started, by the event loop's clock.
        latency: Smoothed seconds to the first byte, 0.0 before the first sample.
    """

    level: float
    cold: bool
    started_at: float
    latency: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Results:
    """Results of requests on a target since the previous report.

    Attributes:
        succeeded: Requests that ended well.
        failed: Requests that the target failed.
        latency: Mean seconds to the first byte, 0.0 for unknown.
    """

    succeeded: int
    failed: int
    latency: float


def initial(limits: Limits, *, cold: bool, now: float) -> Ramp:
    """Returns the ramp of a target that starts cold, or is ready but has served no requests yet."""
    return Ramp(level=float(limits.cold), cold=cold, started_at=now)


def resumed(limits: Limits, *, in_flight: int, now: float) -> Ramp:
    """Returns the ramp of a ready target that a new controller finds with requests in flight."""
    level = float(min(limits.warm, max(limits.cold, in_flight)))
    return Ramp(level=level, cold=False, started_at=now - limits.ramp_seconds)


def limit(ramp: Ramp, limits: Limits) -> int:
    """Returns the number of requests that the target may have in flight now."""
    return limits.cold if ramp.cold else int(min(ramp.level, limits.warm))


def credits_only(ramp: Ramp, limits: Limits) -> bool:
    """Returns True while the target accepts requests under credits only."""
    return ramp.cold or ramp.level < limits.warm


def with_state(ramp: Ramp, limits: Limits, *, cold: bool, now: float) -> Ramp:
    """Returns the ramp after a report of the target's state; a changed state restarts it."""
    if cold == ramp.cold:
        return ramp
    return dataclasses.replace(ramp, level=float(limits.cold), cold=cold, started_at=now)


def with_results(ramp: Ramp, limits: Limits, results: Results, *, now: float) -> Ramp:
    """Returns the ramp after results: grown, halved by failures, or reset by a fall to cold."""
    if _has_fallen_cold(ramp, results):
        return dataclasses.replace(ramp, level=float(limits.cold), started_at=now)
    latency = _smooth(ramp.latency, results.latency)
    if ramp.cold:
        return dataclasses.replace(ramp, latency=latency)
    if results.failed:
        level = max(float(limits.cold), ramp.level / 2)
        return dataclasses.replace(ramp, level=level, latency=latency)
    grown = min(ramp.level + results.succeeded, _ceiling(ramp, limits, now))
    return dataclasses.replace(ramp, level=max(ramp.level, grown), latency=latency)


def _ceiling(ramp: Ramp, limits: Limits, now: float) -> float:
    if limits.ramp_seconds <= 0:
        return float(limits.warm)
    share = min(1.0, (now - ramp.started_at) / limits.ramp_seconds)
    return limits.cold + (limits.warm - limits.cold) * share


def _has_fallen_cold(ramp: Ramp, results: Results) -> bool:
    """Returns True if the results suggest that the target has fallen back into a cold start."""
    failing = results.failed >= _COLD_FAILURE_COUNT and results.failed > results.succeeded
    jumped = (
        ramp.latency > 0.0
        and results.latency > ramp.latency * _LATENCY_JUMP_RATIO
        and results.latency > ramp.latency + _LATENCY_JUMP_SECONDS
    )
    return failing or jumped


def _smooth(smoothed: float, sample: float) -> float:
    if sample <= 0.0:
        return smoothed
    return sample if smoothed <= 0.0 else smoothed + _LATENCY_SMOOTHING_WEIGHT * (sample - smoothed)
