"""A scenario whose runners send answers without a length, whose ends look like those of their processes."""

import dataclasses
import random

from basilpost.emulator import pool_runner, unframed_answers
from basilpost.soak import balancer, callers, drain_scenarios, faults

# Times from a crash to the next start; the shorter one ends within a cut, before the entry expires.
_DOWN_SECONDS = (0.4, 1.5)
# Share of the runners that send answers without a length.
_UNFRAMED_SHARE = 0.8


class UnframedCaller(drain_scenarios.DraftingCaller):
    """A client that asks for streams of all kinds and for answers of the plain service."""

    kinds = (*("draft", "draft-once", "draft-whole") * 2, *("lookup", "filing") * 2)


def _streams_beyond_drains() -> pool_runner.Options:
    """Returns streams of 1.2 to 3.6 s, so that many outlast the 2.5 s in which a draining runner listens."""
    return pool_runner.Options(events=20, event_seconds=0.06, slowest_event_seconds=0.18)


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnframedAnswers(drain_scenarios.PlannedDrains):
    """Runners whose answers have no length are replaced, crash and are back, beside other faults."""

    caller_count: int = 24
    vms: int = 14
    runner_options: pool_runner.Options = dataclasses.field(default_factory=_streams_beyond_drains)

    def options_of(self, runner: pool_runner.PoolRunner, *, seed: int) -> pool_runner.Options:
        """Returns which answers of a runner have no length, and how soon it is back after a crash."""
        rng = random.Random(f"unframed/{seed}/{runner.vm_id}")
        plan = None
        if rng.random() < _UNFRAMED_SHARE:
            plan = unframed_answers.draw_unframed_answers(rng)
        return dataclasses.replace(
            self.runner_options, unframed=plan, down_seconds=rng.choice(_DOWN_SECONDS)
        )

    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns the faults of a seed, which begin within `seconds`."""
        is_planned = seed % self.planned_every == 0
        kinds = faults.PLANNED_UNFRAMED_KINDS if is_planned else faults.UNFRAMED_KINDS
        return faults.draw_of(kinds, seed, seconds=seconds)

    def caller(self, *, name: str, seed: str, load_balancer: balancer.Balancer) -> callers.Caller:
        """Returns a new caller."""
        return UnframedCaller(name=name, addresses=load_balancer.addresses, seed=seed)
