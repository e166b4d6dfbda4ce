"""How much work a target may take as it comes out of a cold start.

The limit grows with each request that ends well, as slow start does in TCP, and no faster than the service's shortest cold time. Failures or a jump in latency throw it back.
"""

import dataclasses

_LATENCY_WEIGHT = 0.1
_LATENCY_RATIO = 4.0
_LATENCY_JUMP_SECONDS = 1.0
_FALL_FAILURES = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """The limits that a service sets for each of its targets."""

    cold: int
    warm: int
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ramp:
    """A target's present limit.

    Attributes:
        level: Requests that it may have in flight, before rounding down.
        cold: True while the target says that it is in a cold start.
        started_at: When the ramp began, by the event loop's clock.
        latency: Smoothed seconds to the first byte, 0.0 before the first sample.
    """

    level: float
    cold: bool
    started_at: float
    latency: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Results:
    """What was seen of a target since the last look.

    Attributes:
        succeeded: Requests that ended well.
        failed: Requests that the target failed.
        latency: Mean seconds to the first byte, 0.0 for unknown.
    """

    succeeded: int
    failed: int
    latency: float


def fresh(limits: Limits, *, cold: bool, now: float) -> Ramp:
    """Returns the ramp of a target that starts cold, or is ready but has not worked yet."""
    return Ramp(level=float(limits.cold), cold=cold, started_at=now)


def proven(limits: Limits, *, in_flight: int, now: float) -> Ramp:
    """Returns the ramp of a ready target that a new controller finds at work."""
    level = float(min(limits.warm, max(limits.cold, in_flight)))
    return Ramp(level=level, cold=False, started_at=now - limits.seconds)


def limit(ramp: Ramp, limits: Limits) -> int:
    """Returns the requests that the target may have in flight now."""
    return limits.cold if ramp.cold else int(min(ramp.level, limits.warm))


def bounded(ramp: Ramp, limits: Limits) -> bool:
    """Returns True while the target must not take work without credits."""
    return ramp.cold or ramp.level < limits.warm


def with_state(ramp: Ramp, limits: Limits, *, cold: bool, now: float) -> Ramp:
    """Takes in the target's own state: falling cold starts over, leaving it starts the ramp."""
    if cold == ramp.cold:
        return ramp
    return dataclasses.replace(ramp, level=float(limits.cold), cold=cold, started_at=now)


def with_results(ramp: Ramp, limits: Limits, results: Results, *, now: float) -> Ramp:
    """Takes in what nodes saw of the target."""
    if _fell(ramp, results):
        return dataclasses.replace(ramp, level=float(limits.cold), started_at=now)
    latency = _smoothed(ramp.latency, results.latency)
    if ramp.cold:
        return dataclasses.replace(ramp, latency=latency)
    if results.failed:
        level = max(float(limits.cold), ramp.level / 2)
        return dataclasses.replace(ramp, level=level, latency=latency)
    grown = min(ramp.level + results.succeeded, _ceiling(ramp, limits, now))
    return dataclasses.replace(ramp, level=max(ramp.level, grown), latency=latency)


def _ceiling(ramp: Ramp, limits: Limits, now: float) -> float:
    if limits.seconds <= 0:
        return float(limits.warm)
    share = min(1.0, (now - ramp.started_at) / limits.seconds)
    return limits.cold + (limits.warm - limits.cold) * share


def _fell(ramp: Ramp, results: Results) -> bool:
    """Returns True if the target behaves as if it had fallen back into a cold start."""
    failing = results.failed >= _FALL_FAILURES and results.failed > results.succeeded
    jumped = (
        ramp.latency > 0.0
        and results.latency > ramp.latency * _LATENCY_RATIO
        and results.latency > ramp.latency + _LATENCY_JUMP_SECONDS
    )
    return failing or jumped


def _smoothed(known: float, sample: float) -> float:
    if sample <= 0.0:
        return known
    return sample if known <= 0.0 else known + _LATENCY_WEIGHT * (sample - known)
