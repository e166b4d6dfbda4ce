"""A scenario of planned work on runners: one after another drains while streams are under way."""

import asyncio
import dataclasses
import random

from basilpost.emulator import pool_fleet, pool_runner
from basilpost.soak import balancer, callers, faults, scenarios

# Streams may be resumed with two attempts, with one, or not at all; some plain calls run beside them.
_REQUEST_KINDS = (*("draft", "draft-once", "draft-whole") * 3, "lookup", "filing")
_BUDGET_MS = 8000
# Each seed divisible by this has planned work only.
_PLANNED_EVERY = 2


class DraftingCaller(callers.RandomCaller):
    """A client that mostly asks for streams, of all kinds."""

    kinds: tuple[str, ...] = _REQUEST_KINDS

    async def run(self) -> None:
        """Sends requests with short pauses until `stop` is called."""
        while not self._stopping.is_set():
            await self.send_request(
                self._random.choice(self._addresses),
                self._random.choice(self.kinds),
                pool_fleet.KEY,
                budget_ms=_BUDGET_MS,
            )
            await asyncio.sleep(self._random.uniform(*callers.PAUSE_SECONDS))


def _long_streams() -> pool_runner.Options:
    """Returns streams of 0.6 to 3 s."""
    return pool_runner.Options(events=20, event_seconds=0.03, slowest_event_seconds=0.15)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlannedDrains(scenarios.Scenario):
    """One runner after another drains, beside other planned work, and in some seeds other faults.

    Attributes:
        caller_count: Largest number of callers, which nearly take all slots of the groups; each seed
            draws a number of up to it.
    """

    nodes: int = 4
    caller_count: int = 12
    vms: int = 20
    grace_seconds: float = scenarios.GRACE_SECONDS
    stop_seconds: float = scenarios.GRACE_SECONDS
    stream_timeout_ms: int = 8000
    runner_options: pool_runner.Options = dataclasses.field(default_factory=_long_streams)
    planned_every: int = _PLANNED_EVERY
    draft_kinds: bool = True
    members_matter: bool = True

    def for_seed(self, seed: int) -> "PlannedDrains":
        """Returns the scenario with the number of callers that a seed draws."""
        rng = random.Random(f"callers/{seed}")
        return dataclasses.replace(
            self, caller_count=rng.randint(max(1, self.caller_count // 4), self.caller_count)
        )

    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns the drains and other faults of a seed, which begin within `seconds`."""
        return faults.draw_drains(
            seed, seconds=seconds, planned_only=seed % self.planned_every == 0
        )

    def caller(self, *, name: str, seed: str, load_balancer: balancer.Balancer) -> callers.Caller:
        """Returns a new caller."""
        return DraftingCaller(name=name, addresses=load_balancer.addresses, seed=seed)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Takeovers(PlannedDrains):
    """Heads are taken off the list while they work on, and the controller is stopped, killed or frozen."""

    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns the removed heads and the lost controllers of a seed."""
        return faults.draw_takeovers(
            seed, seconds=seconds, planned_only=seed % self.planned_every == 0
        )
