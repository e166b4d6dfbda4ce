"""The scenarios of the soak test: its size, its callers and what happens to the nodes."""

import abc
import contextlib
import dataclasses
from collections.abc import Sequence

from basilpost.emulator import pool_runner
from basilpost.node import pool_demo
from basilpost.settings import pool_schema
from basilpost.soak import balancer, faults
from basilpost.soak import callers as callers_

# Users' time between SIGTERM and SIGKILL.
GRACE_SECONDS = 8.0

@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario(abc.ABC):
    """What a run consists of.

    Attributes:
        nodes: Number of node processes.
        caller_count: Number of concurrent callers.
        vms: Number of VMs with a model engine's runner.
        busy_processes: Number of busy processes beside.
        grace_seconds: Grace time in the nodes' settings.
        stop_seconds: Time after SIGTERM at which a process that still runs is killed.
        stream_timeout_ms: Longest time of a stream by its route.
        runner_options: How the runners behave.
    """

    nodes: int = 3
    caller_count: int = 8
    vms: int = 7
    busy_processes: int = 0
    grace_seconds: float = pool_demo.GRACE_SECONDS
    stop_seconds: float = pool_demo.GRACE_SECONDS + 3.0
    stream_timeout_ms: int = 5000
    runner_options: pool_runner.Options = dataclasses.field(default_factory=pool_runner.Options)

    @abc.abstractmethod
    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns what happens in the run of a seed."""

    @abc.abstractmethod
    def has_planned_changes_only(self, seed: int) -> bool:
        """Returns True if every request that ran must get its complete answer."""

    @abc.abstractmethod
    async def callers(
        self,
        nodes: Sequence[pool_schema.PoolNodeSettings],
        *,
        seed: int,
        stack: contextlib.AsyncExitStack,
    ) -> list[callers_.Caller]:
        """Returns the callers; what they need is stopped by the stack."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class AllFaults(Scenario):
    """Faults of all kinds, and callers that send as fast as they can to random nodes."""

    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns what happens in the run of a seed."""
        return faults.draw(seed, seconds=seconds)

    def has_planned_changes_only(self, seed: int) -> bool:
        """Returns True if every request that ran must get its complete answer."""
        return faults.has_planned_changes_only(seed)

    async def callers(
        self,
        nodes: Sequence[pool_schema.PoolNodeSettings],
        *,
        seed: int,
        stack: contextlib.AsyncExitStack,
    ) -> list[callers_.Caller]:
        """Returns the callers; what they need is stopped by the stack."""
        addresses = tuple(node.callers for node in nodes)
        return [
            callers_.RandomCaller(name=f"c{number}", addresses=addresses, seed=f"{seed}/{number}")
            for number in range(self.caller_count)
        ]


def _varied_work() -> pool_runner.Options:
    """Returns streams of 0.05 to 3 s, and plain calls well within their budget of 1.5 s."""
    return pool_runner.Options(
        events=20, event_seconds=0.0025, slowest_event_seconds=0.15, slowest_work_seconds=0.4
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlannedStops(Scenario):
    """Series of planned stops under the users' grace time, budgets, balancer and kept connections."""

    nodes: int = 6
    caller_count: int = 120
    vms: int = 16
    grace_seconds: float = GRACE_SECONDS
    stop_seconds: float = GRACE_SECONDS
    stream_timeout_ms: int = callers_.STREAM_BUDGET_MS[1]
    runner_options: pool_runner.Options = dataclasses.field(default_factory=_varied_work)

    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns what happens in the run of a seed."""
        return faults.draw_stops(seed, seconds=seconds)

    def has_planned_changes_only(self, seed: int) -> bool:
        """Returns True if every request that ran must get its complete answer."""
        return True

    async def callers(
        self,
        nodes: Sequence[pool_schema.PoolNodeSettings],
        *,
        seed: int,
        stack: contextlib.AsyncExitStack,
    ) -> list[callers_.Caller]:
        """Returns the callers; what they need is stopped by the stack."""
        load_balancer = balancer.Balancer(
            readiness_by_address={node.callers: node.readiness for node in nodes}
        )
        await stack.enter_async_context(load_balancer.running())
        return [
            callers_.BalancedCaller(
                name=f"c{number}", load_balancer=load_balancer, seed=f"{seed}/{number}"
            )
            for number in range(self.caller_count)
        ]
