"""A scenario of another writer's odd entries, and of runners whose answers have an invalid status."""

import contextlib
import dataclasses
import random

from basilpost.emulator import invalid_answers, pool_fleet, pool_runner
from basilpost.soak import answer_scenarios, faults, odd_work

# Share of the runners that answer some requests with an invalid status.
_INVALID_SHARE = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class OddWriters(answer_scenarios.SecondAnswers):
    """Odd entries come and go beside kills of the fleet, and runners answer with invalid statuses."""

    def for_seed(self, seed: int) -> "OddWriters":
        """Returns the scenario with the number of runners of the plain service that a seed draws."""
        return dataclasses.replace(self, plain_instances=random.Random(seed).randint(2, 4))

    async def prepare(
        self, fleet: pool_fleet.PoolFleet, stack: contextlib.AsyncExitStack, *, seed: int
    ) -> None:
        """Leaves odd entries before the first node starts."""
        await odd_work.leave_lasting(fleet, stack, seed=seed)

    def options_of(self, runner: pool_runner.PoolRunner, *, seed: int) -> pool_runner.Options:
        """Returns which requests a runner answers with an invalid status."""
        rng = random.Random(f"invalid/{seed}/{runner.vm_id}")
        plan = invalid_answers.draw_invalid_answers(rng) if rng.random() < _INVALID_SHARE else None
        return dataclasses.replace(self.runner_options, invalid_statuses=plan)

    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns the faults of a seed, which begin within `seconds`."""
        return faults.draw_of(faults.ODD_KINDS, seed, seconds=seconds)
