"""A scenario whose runners answer a share of their requests twice, on connections that are kept."""

import asyncio
import dataclasses
import random

from basilpost.emulator import pool_fleet, pool_runner, second_answers
from basilpost.soak import balancer, callers, checks, faults, scenarios

# Range of the number of runners of the plain service.
PLAIN_INSTANCES = (1, 3)
# Most requests are calls to the plain service, and most of these may be repeated.
_REQUEST_KINDS = (*("lookup",) * 6, "filing", "draft")
_REPEATS = (0, 3)
# Share of the model runners whose streams are followed by copies; the others answer twice.
_COPYING_SHARE = 0.5
# Share of the runners that answer twice whose second answers break off.
_BREAKING_SHARE = 0.3


class RepeatingCaller(callers.RandomCaller):
    """A client that often sends a request again at once after a failure.

    The repeats have the id of the request and go to the same node. Requests that must run once are
    repeated only after an answer that says that they have not run.
    """

    async def run(self) -> None:
        """Sends requests with short pauses until `stop` is called."""
        while not self._stopping.is_set():
            address = self._random.choice(self._addresses)
            path = self._random.choice(_REQUEST_KINDS)
            call = await self.send_request(address, path, pool_fleet.KEY)
            for _ in range(self._random.randint(*_REPEATS)):
                if call is None or not _may_be_repeated(call):
                    break
                call = await self.send_request(address, path, pool_fleet.KEY, attempt=call.attempt)
            await asyncio.sleep(self._random.uniform(*callers.PAUSE_SECONDS))


def _may_be_repeated(call: checks.Call) -> bool:
    if call.path == "lookup":
        return not call.timed_out and not (call.complete and call.status == 200)
    return call.path == "filing" and call.complete and call.status in checks.NOT_RUN_STATUSES


@dataclasses.dataclass(frozen=True, kw_only=True)
class SecondAnswers(scenarios.Scenario):
    """Runners answer twice, each in its own way, beside faults of all kinds."""

    nodes: int = 4
    caller_count: int = 16
    vms: int = 9
    planned_every: int = 1_000_000

    def for_seed(self, seed: int) -> "SecondAnswers":
        """Returns the scenario with the number of runners of the plain service that a seed draws."""
        instances = random.Random(f"instances/{seed}").randint(*PLAIN_INSTANCES)
        return dataclasses.replace(self, plain_instances=instances)

    def options_of(self, runner: pool_runner.PoolRunner, *, seed: int) -> pool_runner.Options:
        """Returns which requests a runner answers twice, and how."""
        rng = random.Random(f"answers/{seed}/{runner.vm_id}")
        if runner.fabric_domain and rng.random() < _COPYING_SHARE:
            copies = second_answers.draw_stream_copies(rng)
            return dataclasses.replace(self.runner_options, copied_streams=copies)
        twice = second_answers.draw_second_answers(rng)
        if random.Random(f"breaks/{seed}/{runner.vm_id}").random() < _BREAKING_SHARE:
            twice = dataclasses.replace(twice, breaks_off=True)
        return dataclasses.replace(self.runner_options, answers_twice=twice)

    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns the faults of a seed, which begin within `seconds`."""
        return faults.draw_of(faults.SECOND_ANSWER_KINDS, seed, seconds=seconds)

    def caller(self, *, name: str, seed: str, load_balancer: balancer.Balancer) -> callers.Caller:
        """Returns a new caller."""
        return RepeatingCaller(name=name, addresses=load_balancer.addresses, seed=seed)
