"""Planned work on the emulated model runners: they drain, and are ready again or leave for good."""

import asyncio

from basilpost.core import clock
from basilpost.emulator import pool_fleet, pool_runner
from basilpost.soak import faults

# One drain in so many is that of a member other than the head of its group.
MEMBER_EVERY = 4
# Longest time that the platform gives a member that drains while its group works.
LEAVE_TIMEOUT_SECONDS = 10.0
# Share of the runners that may leave for good, so that the others can still form groups.
RETIRED_SHARE = 0.25
# Time from the end of its work to the end of a runner that is replaced, and to its next start.
EXIT_SECONDS = 0.2
_POLL_SECONDS = 0.05


class RunnerWork:
    """Drains runners of one fleet, each at most once at a time."""

    def __init__(self, *, fleet: pool_fleet.PoolFleet) -> None:
        self._fleet = fleet
        self._draining: set[str] = set()
        self._retired: set[str] = set()

    async def drain(self, fault: faults.Fault) -> None:
        """Makes a runner of an open group report that it drains until it is back, or for good."""
        runner = self._choose(fault.target_index)
        if runner is None:
            return
        self._draining.add(runner.vm_id)
        born = runner.born
        await self._set_state(runner, "draining")
        await asyncio.sleep(fault.seconds)
        if runner.born != born:
            # Another fault ended it; its next start is ready.
            self._draining.discard(runner.vm_id)
        elif fault.kind is faults.Kind.RUNNER_RETIRES and self._may_retire():
            await self._retire(runner)
        else:
            await self._set_state(runner, "ready")
            self._draining.discard(runner.vm_id)

    async def leave_list(self, fault: faults.Fault) -> None:
        """Removes a runner's entry, as of one that never reports that it drains, and ends it later."""
        runner = self._choose(fault.target_index)
        if runner is not None and self._may_retire():
            self._draining.add(runner.vm_id)
            await runner.leave_list()
            await asyncio.sleep(fault.seconds)
            await self._retire(runner)

    async def replace(self, fault: faults.Fault) -> None:
        """Has a runner drain, stop listening and end its work, and starts it again as another run."""
        runner = self._choose(fault.target_index)
        if runner is None:
            return
        self._draining.add(runner.vm_id)
        born = runner.born
        await self._set_state(runner, "draining")
        await asyncio.sleep(faults.DRAIN_SECONDS)
        if runner.born == born:
            runner.stop_listening()
            await self._wait_until_idle(runner)
            await asyncio.sleep(EXIT_SECONDS)
        # Otherwise another fault ended it meanwhile.
        if runner.born == born and runner.is_serving:
            await runner.vanish()
            await asyncio.sleep(EXIT_SECONDS)
            runner.member, runner.members, runner.state = None, [], "ready"
            runner.born += 1
            await runner.start()
            runner.on_down(False)
        self._draining.discard(runner.vm_id)

    async def _retire(self, runner: pool_runner.PoolRunner) -> None:
        self._retired.add(runner.vm_id)
        await self._wait_until_idle(runner)
        await runner.vanish()
        runner.member, runner.state, runner.is_listed = None, "ready", True

    def choose_serving(self, index: int) -> pool_runner.PoolRunner | None:
        """Returns a runner of the plain service or the head of an open group."""
        serving = [
            runner
            for runner in self._fleet.runners_by_id.values()
            if runner.service == pool_fleet.PLAIN_SERVICE
            or (runner.member and runner.member["state"] == "open")
        ]
        return serving[index % len(serving)] if serving else None

    def _choose(self, index: int) -> pool_runner.PoolRunner | None:
        grouped = [
            runner
            for runner in self._fleet.runners_of(pool_fleet.MODEL_SERVICE)
            if runner.member is not None and runner.vm_id not in self._draining
        ]
        heads = [runner for runner in grouped if runner.member and runner.member["state"] == "open"]
        members = [runner for runner in grouped if runner not in heads]
        chosen = members if index % MEMBER_EVERY == 0 else heads
        return chosen[index % len(chosen)] if chosen else None

    def _may_retire(self) -> bool:
        runners = self._fleet.runners_of(pool_fleet.MODEL_SERVICE)
        return len(self._retired) + 1 <= len(runners) * RETIRED_SHARE

    async def _wait_until_idle(self, runner: pool_runner.PoolRunner) -> None:
        """Waits until the runner's group has no work, as a member that drains does."""
        deadline = clock.elapsed() + LEAVE_TIMEOUT_SECONDS - faults.DRAIN_SECONDS
        while self._is_group_working(runner) and clock.elapsed() < deadline:
            await asyncio.sleep(_POLL_SECONDS)

    def _is_group_working(self, runner: pool_runner.PoolRunner) -> bool:
        return runner.member is not None and any(
            other.is_working
            for other in self._fleet.runners_by_id.values()
            if other.member is not None and other.member["name"] == runner.member["name"]
        )

    async def _set_state(self, runner: pool_runner.PoolRunner, state: str) -> None:
        runner.state = state
        await runner.report()
