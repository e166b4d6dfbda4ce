"""Keeps retries and dead targets from making a failure worse.

Retries are a share of the traffic, so that an outage cannot multiply the load. A target that fails
requests in a row gets no more until one trial request has gone well.
"""

import dataclasses
import random

from basilpost.core import clock, data

RETRY_SHARE = 0.08
RETRY_RESERVE = 10.0
MAX_RETRY_RESERVE = 50.0
FAILURES_TO_OPEN = 3
OPEN_SECONDS = 1.0
MAX_OPEN_SECONDS = 30.0


class RetryBudget:
    """Each admitted request pays in a share of a retry; each retry takes one out."""

    def __init__(
        self,
        *,
        share: float = RETRY_SHARE,
        reserve: float = RETRY_RESERVE,
        max_balance: float = MAX_RETRY_RESERVE,
    ) -> None:
        self._share = share
        self._max_balance = max_balance
        self._balance = reserve

    def set_max_balance(self, max_balance: float) -> None:
        """Sets the most that may be spent at once, as when the number of nodes has changed."""
        self._max_balance = max_balance
        self._balance = min(self._balance, max_balance)

    def deposit(self) -> None:
        """Pays in for an admitted request."""
        self._balance = min(self._max_balance, self._balance + self._share)

    def spend(self) -> bool:
        """Takes one retry out; returns False if there is none left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


@dataclasses.dataclass(kw_only=True)
class Breaker:
    """The failures in a row of one target; it is open until `retry_at`."""

    failures: int = 0
    open_seconds: float = 0.0
    retry_at: float = 0.0
    trial: bool = False


class Breakers:
    """Circuit breakers by target; a target without failures has none."""

    def __init__(self, *, random_source: random.Random) -> None:
        self._random = random_source
        self._breakers_by_id: dict[str, Breaker] = {}

    def allows(self, group_id: str) -> bool:
        """Returns True if a request may be sent to the target."""
        breaker = self._breakers_by_id.get(group_id)
        if breaker is None or breaker.failures < FAILURES_TO_OPEN:
            return True
        return not breaker.trial and clock.monotonic() >= breaker.retry_at

    def started(self, group_id: str) -> None:
        """Notes that a request is sent; to an open target it is the only trial."""
        breaker = self._breakers_by_id.get(group_id)
        if breaker is not None and breaker.failures >= FAILURES_TO_OPEN:
            breaker.trial = True

    def unused(self, group_id: str) -> None:
        """Notes that a slot was given back without a request."""
        breaker = self._breakers_by_id.get(group_id)
        if breaker is not None:
            breaker.trial = False

    def ended(self, group_id: str, observation: data.Observation) -> None:
        """Closes the target's breaker on success, counts or opens it on a failure."""
        if observation.reached and not observation.failed:
            self._breakers_by_id.pop(group_id, None)
            return
        breaker = self._breakers_by_id.setdefault(group_id, Breaker())
        breaker.failures += 1
        breaker.trial = False
        if breaker.failures >= FAILURES_TO_OPEN:
            self._open(breaker)

    def forget_all_but(self, group_ids: frozenset[str]) -> None:
        """Drops the breakers of targets that are gone."""
        kept = self._breakers_by_id.keys() & group_ids
        self._breakers_by_id = {one: self._breakers_by_id[one] for one in kept}

    def _open(self, breaker: Breaker) -> None:
        doubled = max(OPEN_SECONDS, breaker.open_seconds * 2)
        breaker.open_seconds = min(MAX_OPEN_SECONDS, doubled)
        jitter = self._random.uniform(0.8, 1.2)
        breaker.retry_at = clock.monotonic() + breaker.open_seconds * jitter
