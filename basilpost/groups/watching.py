"""Watches the VMs of a fabric domain by asking their runners for their status."""

import asyncio
import dataclasses
import statistics
from collections.abc import Iterable

from basilpost.core import clock, tasks
from basilpost.groups import runner_api
from basilpost.groups import view as views

_TRIES = 2
_HURRIED_SECONDS = 0.25
_STEADY_SECONDS = 3.0
_LATENCY_WEIGHT = 0.2
_SLOW_RATIO = 4.0
_SLOW_SECONDS = 0.25
_SLOW_FOR_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Watched:
    """A VM to watch; `plain` if a plain service runs on it."""

    vm_id: str
    address: str
    plain: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Pace:
    """How fast a VM answers: its smoothed latency, and since when that has been too long."""

    latency: float
    slow_since: float | None = None


class Watcher:
    """Keeps the latest probe result of each watched VM, with one task for each."""

    def __init__(
        self, *, runner_client: runner_api.RunnerClient, interval: float, timeout: float
    ) -> None:
        self._runner_client = runner_client
        self._interval = interval
        self._timeout = timeout
        self._probes_by_id: dict[str, views.ProbeResult] = {}
        self._silent_from_by_id: dict[str, float] = {}
        self._back_at_by_id: dict[str, float] = {}
        self._kicks_by_id: dict[str, asyncio.Event] = {}
        self._hurried: set[str] = set()
        self._paces_by_id: dict[str, _Pace] = {}
        self._tasks_by_watched: dict[Watched, asyncio.Task[None]] = {}
        self._tasks = tasks.TaskSet()

    def retarget(self, watched: Iterable[Watched]) -> None:
        """Watches just these VMs from now on; what is known of the others is dropped."""
        targets = set(watched)
        for one in self._tasks_by_watched.keys() - targets:
            self._tasks_by_watched.pop(one).cancel()
        ids = {one.vm_id for one in targets}
        for vm_id in self._probes_by_id.keys() - ids:
            del self._probes_by_id[vm_id]
            self._paces_by_id.pop(vm_id, None)
            self._silent_from_by_id.pop(vm_id, None)
            self._back_at_by_id.pop(vm_id, None)
            self._kicks_by_id.pop(vm_id, None)
        for one in sorted(targets - self._tasks_by_watched.keys(), key=lambda one: one.vm_id):
            self._probes_by_id.setdefault(one.vm_id, views.ProbeResult(asked_at=clock.monotonic()))
            self._tasks_by_watched[one] = self._tasks.spawn(
                self._watch(one), name=f"watch {one.vm_id}"
            )

    def hurry(self, vm_ids: Iterable[str]) -> None:
        """Asks just these VMs more often from now on, since a change of theirs is waited for."""
        hurried = set(vm_ids)
        for vm_id in hurried - self._hurried:
            self.kick(vm_id)
        self._hurried = hurried

    def kick(self, vm_id: str) -> None:
        """Asks a VM at once."""
        if vm_id in self._kicks_by_id:
            self._kicks_by_id[vm_id].set()

    def probes_by_id(self) -> dict[str, views.ProbeResult]:
        """Returns what was last seen of each VM."""
        self._mark_slow()
        return dict(self._probes_by_id)

    async def close(self) -> None:
        """Stops watching."""
        await self._tasks.close()
        self._tasks_by_watched.clear()
        self._probes_by_id.clear()
        self._paces_by_id.clear()
        self._silent_from_by_id.clear()
        self._back_at_by_id.clear()
        self._kicks_by_id.clear()

    async def _watch(self, one: Watched) -> None:
        kick = self._kicks_by_id.setdefault(one.vm_id, asyncio.Event())
        while True:
            asked_at = clock.monotonic()
            kick.clear()
            await self._ask(one)
            interval = _HURRIED_SECONDS if one.vm_id in self._hurried else self._interval
            left = asked_at + interval - clock.monotonic()
            try:
                async with asyncio.timeout(max(0.0, left)):
                    await kick.wait()
            except TimeoutError:
                pass

    async def _ask(self, one: Watched) -> None:
        """Asks once, and at once again if no answer comes."""
        for _ in range(_TRIES):
            asked_at = clock.monotonic()
            status = await self._runner_client.status(
                one.address, plain=one.plain, timeout=self._timeout
            )
            if isinstance(status, runner_api.RunnerStatus):
                self._heard(one.vm_id, status, asked_at)
                return
            self._unheard(one.vm_id, asked_at)

    def _unheard(self, vm_id: str, asked_at: float) -> None:
        """Notes an unanswered call; a second one in a row makes the VM silent.

        The silence lasts from the first unanswered call, so that a VM that was paused for less than
        some time is never taken for one that was silent for as long.
        """
        probe = self._probes_by_id.get(vm_id)
        if probe is None:
            return
        first = vm_id not in self._silent_from_by_id
        since = self._silent_from_by_id.setdefault(vm_id, asked_at)
        self._probes_by_id[vm_id] = dataclasses.replace(
            probe, silent=probe.silent or not first, silence=clock.monotonic() - since
        )

    def _heard(self, vm_id: str, status: runner_api.RunnerStatus, asked_at: float) -> None:
        probe = self._probes_by_id.get(vm_id)
        if probe is None:
            return
        now = clock.monotonic()
        if probe.silent:
            self._back_at_by_id[vm_id] = now
        steady = now - self._back_at_by_id.get(vm_id, float("-inf")) >= _STEADY_SECONDS
        self._silent_from_by_id.pop(vm_id, None)
        self._probes_by_id[vm_id] = dataclasses.replace(
            probe, status=status, asked_at=asked_at, silent=False, silence=0.0, steady=steady
        )
        took = now - asked_at
        pace = self._paces_by_id.get(vm_id) or _Pace(latency=took)
        latency = pace.latency + _LATENCY_WEIGHT * (took - pace.latency)
        self._paces_by_id[vm_id] = dataclasses.replace(pace, latency=latency)

    def _mark_slow(self) -> None:
        """Marks the VMs that have been far slower than their peers for some time."""
        if not self._paces_by_id:
            return
        now = clock.monotonic()
        usual = statistics.median(pace.latency for pace in self._paces_by_id.values())
        limit = max(_SLOW_SECONDS, _SLOW_RATIO * usual)
        for vm_id, pace in self._paces_by_id.items():
            since = (pace.slow_since or now) if pace.latency > limit else None
            self._paces_by_id[vm_id] = dataclasses.replace(pace, slow_since=since)
            slow = since is not None and now - since >= _SLOW_FOR_SECONDS
            if slow != self._probes_by_id[vm_id].slow:
                probe = self._probes_by_id[vm_id]
                self._probes_by_id[vm_id] = dataclasses.replace(probe, slow=slow)
