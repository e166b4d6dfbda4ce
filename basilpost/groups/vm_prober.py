"""Probes the VMs of a fabric domain: asks their runners for their status at an interval.

A VM that leaves two calls in a row unanswered is silent. One that stays silent for the suspicion
time (the setting `timing.suspicion`) is replaced in its group.
"""

import asyncio
import dataclasses
import statistics
from collections.abc import Iterable

from basilpost.core import clock, tasks
from basilpost.groups import runner_api
from basilpost.groups import view as views

# Calls per probe: a VM that does not answer the first one is called again.
_ATTEMPTS = 2
_FAST_INTERVAL_SECONDS = 0.25
_STABLE_SECONDS = 3.0  # after this long without silence a VM counts as stable again
_LATENCY_SMOOTHING = 0.2  # weight of the newest latency in the moving average
_SLOW_RATIO = 4.0  # times the median latency of all probed VMs
_SLOW_LATENCY_SECONDS = 0.25
# A VM is slow once its mean latency has been above both limits for this long.
_SLOW_DURATION_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProbedVm:
    """A VM to probe; `plain` is True if a plain service runs on it instead of a runner."""

    vm_id: str
    address: str
    plain: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Latency:
    """How fast a VM answers.

    Attributes:
        smoothed: Exponential moving average of its latency in seconds.
        slow_since: Monotonic time since which that has been above the limit, None while it is not.
    """

    smoothed: float
    slow_since: float | None = None


class VmProber:
    """Keeps the latest probe result of each VM; one task probes each of them."""

    def __init__(
        self, *, runner_client: runner_api.RunnerClient, interval: float, timeout: float
    ) -> None:
        self._runner_client = runner_client
        self._interval = interval
        self._timeout = timeout
        self._probes_by_id: dict[str, views.ProbeResult] = {}
        self._silent_since_by_id: dict[str, float] = {}
        self._returned_at_by_id: dict[str, float] = {}
        self._wakeups_by_id: dict[str, asyncio.Event] = {}
        self._fast_vm_ids: set[str] = set()
        self._latencies_by_id: dict[str, _Latency] = {}
        self._tasks_by_vm: dict[ProbedVm, asyncio.Task[None]] = {}
        self._tasks = tasks.TaskSet()

    def set_vms(self, vms: Iterable[ProbedVm]) -> None:
        """Probes exactly these VMs from now on; drops the results of all others."""
        new_vms = set(vms)
        for vm in self._tasks_by_vm.keys() - new_vms:
            self._tasks_by_vm.pop(vm).cancel()
        ids = {vm.vm_id for vm in new_vms}
        for vm_id in self._probes_by_id.keys() - ids:
            del self._probes_by_id[vm_id]
            self._latencies_by_id.pop(vm_id, None)
            self._silent_since_by_id.pop(vm_id, None)
            self._returned_at_by_id.pop(vm_id, None)
            self._wakeups_by_id.pop(vm_id, None)
        for vm in sorted(new_vms - self._tasks_by_vm.keys(), key=lambda vm: vm.vm_id):
            self._probes_by_id.setdefault(vm.vm_id, views.ProbeResult(asked_at=clock.monotonic()))
            self._tasks_by_vm[vm] = self._tasks.spawn(
                self._probe_repeatedly(vm), name=f"watch {vm.vm_id}"
            )

    def probe_often(self, vm_ids: Iterable[str]) -> None:
        """Probes exactly these VMs at the fast interval, since their status should change."""
        fast_vm_ids = set(vm_ids)
        for vm_id in fast_vm_ids - self._fast_vm_ids:
            self.probe_now(vm_id)
        self._fast_vm_ids = fast_vm_ids

    def probe_now(self, vm_id: str) -> None:
        """Probes a VM at once instead of at the end of its interval."""
        if vm_id in self._wakeups_by_id:
            self._wakeups_by_id[vm_id].set()

    def probes_by_id(self) -> dict[str, views.ProbeResult]:
        """Returns the latest probe result of each VM."""
        self._mark_slow()
        return dict(self._probes_by_id)

    async def close(self) -> None:
        """Stops all probes and drops their results."""
        await self._tasks.close()
        self._tasks_by_vm.clear()
        self._probes_by_id.clear()
        self._latencies_by_id.clear()
        self._silent_since_by_id.clear()
        self._returned_at_by_id.clear()
        self._wakeups_by_id.clear()

    async def _probe_repeatedly(self, vm: ProbedVm) -> None:
        wakeup = self._wakeups_by_id.setdefault(vm.vm_id, asyncio.Event())
        while True:
            asked_at = clock.monotonic()
            wakeup.clear()
            await self._probe(vm)
            interval = _FAST_INTERVAL_SECONDS if vm.vm_id in self._fast_vm_ids else self._interval
            left = asked_at + interval - clock.monotonic()
            try:
                async with asyncio.timeout(max(0.0, left)):
                    await wakeup.wait()
            except TimeoutError:
                pass

    async def _probe(self, vm: ProbedVm) -> None:
        """Asks a VM for its status, and once more if no answer comes."""
        for _ in range(_ATTEMPTS):
            asked_at = clock.monotonic()
            status = await self._runner_client.status(
                vm.address, plain=vm.plain, timeout=self._timeout
            )
            if isinstance(status, runner_api.RunnerStatus):
                self._record_answer(vm.vm_id, status, asked_at)
                return
            self._record_no_answer(vm.vm_id, asked_at)

    def _record_no_answer(self, vm_id: str, asked_at: float) -> None:
        """Records an unanswered call; a second one in a row makes the VM silent.

        Silence is counted from the start of the first unanswered call. So a VM that was paused for
        less than the suspicion time is never counted as silent for that long.
        """
        probe = self._probes_by_id.get(vm_id)
        if probe is None:
            return
        first = vm_id not in self._silent_since_by_id
        since = self._silent_since_by_id.setdefault(vm_id, asked_at)
        self._probes_by_id[vm_id] = dataclasses.replace(
            probe, silent=probe.silent or not first, silent_seconds=clock.monotonic() - since
        )

    def _record_answer(self, vm_id: str, status: runner_api.RunnerStatus, asked_at: float) -> None:
        probe = self._probes_by_id.get(vm_id)
        if probe is None:
            return
        now = clock.monotonic()
        if probe.silent:
            self._returned_at_by_id[vm_id] = now
        stable = now - self._returned_at_by_id.get(vm_id, float("-inf")) >= _STABLE_SECONDS
        self._silent_since_by_id.pop(vm_id, None)
        self._probes_by_id[vm_id] = dataclasses.replace(
            probe, status=status, asked_at=asked_at, silent=False, silent_seconds=0.0, stable=stable
        )
        took = now - asked_at
        tracked = self._latencies_by_id.get(vm_id) or _Latency(smoothed=took)
        smoothed = tracked.smoothed + _LATENCY_SMOOTHING * (took - tracked.smoothed)
        self._latencies_by_id[vm_id] = dataclasses.replace(tracked, smoothed=smoothed)

    def _mark_slow(self) -> None:
        """Marks the VMs that have been far slower than their peers for some time."""
        if not self._latencies_by_id:
            return
        now = clock.monotonic()
        usual = statistics.median(tracked.smoothed for tracked in self._latencies_by_id.values())
        limit = max(_SLOW_LATENCY_SECONDS, _SLOW_RATIO * usual)
        for vm_id, tracked in self._latencies_by_id.items():
            since = (tracked.slow_since or now) if tracked.smoothed > limit else None
            self._latencies_by_id[vm_id] = dataclasses.replace(tracked, slow_since=since)
            slow = since is not None and now - since >= _SLOW_DURATION_SECONDS
            if slow != self._probes_by_id[vm_id].slow:
                probe = self._probes_by_id[vm_id]
                self._probes_by_id[vm_id] = dataclasses.replace(probe, slow=slow)
