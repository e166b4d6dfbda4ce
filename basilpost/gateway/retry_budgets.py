"""Decides whether a request may be sent once more, and tells why.

The users bound the repeats that reach the runners of a service, over all nodes together and in any span of
`WINDOW_SECONDS`. Each node keeps a budget of its own for each service, so that none has to ask another one:
its share of the reserve, and a share of each of its callers' requests.

All budgets together stay within the bound also while nodes restart, because a process gets its share of
the reserve only a window after its start. What the process before it has spent is out of the window by then.
"""

import collections
import dataclasses
import enum
from collections.abc import Callable
from typing import Any

import prometheus_client

from basilpost.core import clock
from basilpost.gateway import attempts
from basilpost.routing import retry

ALLOWED = "allowed"
# The users' bound holds for any span of this length.
WINDOW_SECONDS = 10.0
# In the first window of the whole system a node may not know all the others yet. It takes its share to be
# that of a node among so many.
FIRST_START_NODES = 16


class RetryCause(enum.Enum):
    """Why a request may need another target.

    Attributes:
        LOST: Its answer did not arrive completely.
        STALE: A kept connection was closed as it was sent.
        REJECTED: The runner rejected it without running it.
        FAILED: The runner answered with a status of 500 or above.
        STALLED: Its target sends no events.
        SILENT: Nothing passes on the links to its target.
        PLANNED: Its target will be stopped or closed.
    """

    LOST = "lost"
    STALE = "stale"
    REJECTED = "rejected"
    FAILED = "failed"
    STALLED = "stalled"
    SILENT = "silent"
    PLANNED = "planned"


class Denial(enum.Enum):
    """Why a request is not sent once more.

    Attributes:
        NONE: It is sent once more.
        RUNS_ONCE: It may run only once.
        ATTEMPTS: It has been sent as often as its route allows.
        REJECTIONS: As many runners have rejected it as may.
        NO_TARGET: No other target is left.
        CRASHES: Targets crash under requests like it.
        BUDGET: The budget is spent.
    """

    NONE = ""
    RUNS_ONCE = "runs_once"
    ATTEMPTS = "attempts"
    REJECTIONS = "rejections"
    NO_TARGET = "no_target"
    CRASHES = "crashes"
    BUDGET = "budget"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryBounds:
    """Bounds on the retries of requests to one service, over all nodes.

    Attributes:
        share: Retries allowed per arriving request.
        reserve: Number of retries allowed beyond that share.
    """

    share: float
    reserve: float


class _MostNodes:
    """The largest number of nodes that was known within the last window.

    A node that has left may have spent its share just before.
    """

    def __init__(self) -> None:
        # Numbers in falling order, each with the time at which it was last known.
        self._counts: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, now: float, count: int) -> int:
        """Records the number of nodes known now; returns the largest one of the window."""
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))
        while self._counts[0][0] < now - WINDOW_SECONDS:
            self._counts.popleft()
        return self._counts[0][1]


class RetryBudgets:
    """The retry budgets of one node, by service."""

    def __init__(
        self,
        *,
        bounds: RetryBounds,
        node_count: Callable[[], int],
        first_start: bool,
        registry: prometheus_client.CollectorRegistry,
        log: Any,
    ) -> None:
        """Takes the bounds and the node's services.

        Args:
            bounds: Bounds for all nodes together.
            node_count: Returns the number of nodes that this one knows of, itself included.
            first_start: True if the whole system starts for the first time, so that no process before this
                one can have spent retries.
            registry: Registry of the node's metrics.
            log: The node's log.
        """
        self._bounds = bounds
        self._node_count = node_count
        self._most_nodes = _MostNodes()
        self._first_start = first_start
        self._full_share_at = clock.elapsed() + WINDOW_SECONDS
        self._log = log
        self._budgets_by_service: dict[str, retry.RetryBudget] = {}
        self._has_full_shares = False
        self._decisions = prometheus_client.Counter(
            "basilpost_retry_decisions_total",
            "Decisions whether a request is sent once more, by the cause and by what denied it",
            ["cause", "result"],
            registry=registry,
        )
        self._left = prometheus_client.Gauge(
            "basilpost_retry_budget_left",
            "Retries that this node may allow now, by service",
            ["service"],
            registry=registry,
        )

    def count_request(self, service: str) -> None:
        """Counts a request of a caller for a service."""
        budget = self._budget(service)
        budget.deposit()
        self._left.labels(service).set(budget.balance)

    def retries_left(self, service: str) -> float:
        """Returns the number of retries that this node may allow now for a service."""
        return self._budget(service).balance

    def decide(
        self, progress: attempts.Progress, cause: RetryCause, *, denial: Denial = Denial.NONE
    ) -> bool:
        """Spends a retry and returns True if a request may be sent once more; logs and counts it.

        A denial is logged and counted once for each send and cause.

        Args:
            progress: The attempts of the request.
            cause: Why it needs another target.
            denial: A reason of the caller's own against it.
        """
        service = progress.admitted.service.name
        budget = self._budget(service)
        if denial is Denial.NONE:
            denial = _denial(progress, cause)
        if denial is Denial.NONE and not budget.spend():
            denial = Denial.BUDGET
        allowed = denial is Denial.NONE
        if not allowed:
            # A stalled stream asks again at each check.
            if (cause.value, progress.sends) in progress.denials:
                return False
            progress.denials.add((cause.value, progress.sends))
        else:
            progress.repeats.append(cause.value)
        self._decisions.labels(cause.value, denial.value or ALLOWED).inc()
        self._left.labels(service).set(budget.balance)
        self._log.info(
            "retry_decided",
            request=progress.admitted.call.request_id,
            target=progress.target,
            service=service,
            cause=cause.value,
            allowed=allowed,
            denied_by=denial.value,
            budget_left=round(budget.balance, 2),
            budget_max=round(budget.max_balance, 2),
            sends=progress.sends,
            rejections=progress.rejections,
            detour_node=progress.detour_node,
        )
        return allowed

    def _budget(self, service: str) -> retry.RetryBudget:
        now = clock.elapsed()
        max_retries = self._bounds.reserve / self._most_nodes.record(now, self._node_count())
        if not self._has_full_shares and now >= self._full_share_at:
            self._has_full_shares = True
            for known in self._budgets_by_service.values():
                known.set_max_balance(max_retries)
                known.grant_reserve()
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = retry.RetryBudget(
                share=self._bounds.share,
                reserve=self._first_reserve(max_retries),
                max_balance=max_retries,
            )
            self._budgets_by_service[service] = budget
        budget.set_max_balance(max_retries)
        return budget

    def _first_reserve(self, max_retries: float) -> float:
        """Returns the reserve of a budget that is used for the first time."""
        if self._has_full_shares:
            return max_retries
        if self._first_start:
            return min(max_retries, self._bounds.reserve / FIRST_START_NODES)
        return 0.0


def _denial(progress: attempts.Progress, cause: RetryCause) -> Denial:
    """Returns what the request itself has against another send; one that was rejected has not run."""
    if cause is RetryCause.REJECTED or progress.has_attempts_left:
        return Denial.NONE
    return Denial.ATTEMPTS if progress.repeatable else Denial.RUNS_ONCE
