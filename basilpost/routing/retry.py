"""A retry budget and circuit breakers, which keep an outage from multiplying the load.

Retries are limited to a share of the traffic. A target that fails several requests in a row gets no
more until one trial request succeeds.
"""

import dataclasses
import random

from basilpost.core import clock, data

# Retries that each admitted request adds to the budget.
RETRY_SHARE = 0.08
# Retries in the budget at the start, and at most.
RETRY_RESERVE = 10.0
MAX_RETRY_RESERVE = 50.0
# Failures in a row that open a target's breaker.
FAILURES_TO_OPEN = 3
# First time for which a breaker stays open; it doubles with each further failure.
OPEN_SECONDS = 1.0
MAX_OPEN_SECONDS = 30.0


class RetryBudget:
    """A balance of retries: each admitted request adds a share of one, each retry spends one.

    Attributes:
        balance: The retries that may be spent now.
        max_balance: Upper bound of the balance.
        spent: The retries that were spent so far.
    """

    def __init__(
        self,
        *,
        share: float = RETRY_SHARE,
        reserve: float = RETRY_RESERVE,
        max_balance: float = MAX_RETRY_RESERVE,
    ) -> None:
        self._share = share
        self.max_balance = max_balance
        self.balance = reserve
        self.spent = 0

    def set_max_balance(self, max_balance: float) -> None:
        """Changes the upper bound of the balance, such as when the number of nodes has changed."""
        self.max_balance = max_balance
        self.balance = min(self.balance, max_balance)

    def deposit(self) -> None:
        """Adds the share of one admitted request to the balance."""
        self.balance = min(self.max_balance, self.balance + self._share)

    def spend(self) -> bool:
        """Spends one retry; returns False if the balance holds less than one."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        self.spent += 1
        return True

    def grant_reserve(self) -> None:
        """Fills the balance up to its upper bound, less what was spent so far."""
        self.balance = max(self.balance, self.max_balance - self.spent)


@dataclasses.dataclass(kw_only=True)
class Breaker:
    """The state of one target's circuit breaker.

    Attributes:
        failures: Failures in a row.
        open_seconds: For how long the breaker stays open after the last failure, before jitter.
        retry_at: Event loop's time from which one trial request may be sent.
        trial_in_flight: True while the trial request has not ended.
    """

    failures: int = 0
    open_seconds: float = 0.0
    retry_at: float = 0.0
    trial_in_flight: bool = False


class Breakers:
    """The circuit breakers of all targets; a target without failures has none."""

    def __init__(self, *, random_source: random.Random) -> None:
        self._random = random_source
        self._breakers_by_id: dict[str, Breaker] = {}

    def allows(self, group_id: str) -> bool:
        """Returns True if a request may be sent to the target."""
        breaker = self._breakers_by_id.get(group_id)
        if breaker is None or breaker.failures < FAILURES_TO_OPEN:
            return True
        return not breaker.trial_in_flight and clock.monotonic() >= breaker.retry_at

    def record_start(self, group_id: str) -> None:
        """Records that a request is sent; to a target whose breaker is open it is the trial."""
        breaker = self._breakers_by_id.get(group_id)
        if breaker is not None and breaker.failures >= FAILURES_TO_OPEN:
            breaker.trial_in_flight = True

    def record_unused(self, group_id: str) -> None:
        """Records that a slot was released without a request, which allows another trial."""
        breaker = self._breakers_by_id.get(group_id)
        if breaker is not None:
            breaker.trial_in_flight = False

    def record_end(self, group_id: str, observation: data.Observation) -> None:
        """Closes the target's breaker after a success; counts a failure, which may open it."""
        if observation.reached and not observation.failed:
            self._breakers_by_id.pop(group_id, None)
            return
        breaker = self._breakers_by_id.setdefault(group_id, Breaker())
        breaker.failures += 1
        breaker.trial_in_flight = False
        if breaker.failures >= FAILURES_TO_OPEN:
            self._open(breaker)

    def retain(self, group_ids: frozenset[str]) -> None:
        """Drops the breakers of all other targets."""
        kept = self._breakers_by_id.keys() & group_ids
        self._breakers_by_id = {group_id: self._breakers_by_id[group_id] for group_id in kept}

    def _open(self, breaker: Breaker) -> None:
        doubled = max(OPEN_SECONDS, breaker.open_seconds * 2)
        breaker.open_seconds = min(MAX_OPEN_SECONDS, doubled)
        jitter = self._random.uniform(0.8, 1.2)
        breaker.retry_at = clock.monotonic() + breaker.open_seconds * jitter
