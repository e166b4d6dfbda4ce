"""Knows the services of which no VM answers this node, though other runners do.

A service of three VMs can lose its links to a node while hundreds of others keep theirs. To the whole
node, and to a check of a few random VMs, its path then looks sound.
"""

import asyncio
import math
import random
from collections.abc import Callable, Iterable

import prometheus_client

from basilpost.core import catalog, clock, tasks
from basilpost.core import kernel as kernel_
from basilpost.members import path_probe

# Range of the pause between checks of a lost path. It is drawn, so that nodes that were cut off
# together do not return together.
RETURN_CHECK_SECONDS = (0.3, 0.7)
# Time in which the share of requests that use a path again rises from none to all.
RETURN_SECONDS = 1.5


class ServicePaths:
    """Paths to single services, checked after failed connections and silence, until they are back.

    Args:
        vms_of: Returns the VMs of a service that may be asked for their status.
        rng: Source of the pauses between checks and of the checked VMs.
        task_set: Runs the checks.
        kernel: The owner's kernel.
    """

    def __init__(
        self,
        *,
        vms_of: Callable[[str], Iterable[catalog.Vm]],
        rng: random.Random,
        task_set: tasks.TaskSet,
        kernel: kernel_.Kernel,
    ) -> None:
        self._vms_of = vms_of
        self._rng = rng
        self._tasks = task_set
        self._log = kernel.log
        self._lost_at_by_service: dict[str, float] = {}
        self._back_at_by_service: dict[str, float] = {}
        self._found_at_by_service: dict[str, float] = {}
        self._checks_by_service: dict[str, asyncio.Task[None]] = {}
        lost = prometheus_client.Gauge(
            "basilpost_services_without_path",
            "Services of which no VM answers this node, though other runners do",
            registry=kernel.registry,
        )
        lost.set_function(lambda: len(self._lost_at_by_service))

    @property
    def lost_services(self) -> tuple[str, ...]:
        """Returns the services without a path, sorted."""
        return tuple(sorted(self._lost_at_by_service))

    def is_lost(self, service: str) -> bool:
        """Returns True if no VM of a service answered."""
        return service in self._lost_at_by_service

    def lost_at(self, service: str) -> float:
        """Returns when the path to a service that is lost was lost, on `clock.elapsed`."""
        return self._lost_at_by_service[service]

    def back_at(self, service: str) -> float:
        """Returns when the path to a service came back, on `clock.elapsed`; minus infinity for never."""
        return self._back_at_by_service.get(service, -math.inf)

    async def check(self, service: str, ask: path_probe.Ask, *, fresh: bool = False) -> None:
        """Checks the path to a service, or waits for the check that runs already.

        Unless `fresh` is set, a path that was found a moment ago is not checked again.
        """
        found_at = self._found_at_by_service.get(service, -math.inf)
        is_known = not fresh and clock.elapsed() - found_at <= path_probe.FRESH_SECONDS
        if self.is_lost(service) or is_known:
            return
        if service not in self._checks_by_service:
            self._checks_by_service[service] = self._tasks.spawn(
                self._check(service, ask), name="service-path-check"
            )
        # A caller that leaves must not end a check that others wait for.
        await asyncio.wait([self._checks_by_service[service]])

    async def _check(self, service: str, ask: path_probe.Ask) -> None:
        try:
            vms = path_probe.choose_vms(self._vms_of(service), rng=self._rng)
            began_at = clock.elapsed()
            if not vms:
                return
            contact = await path_probe.ask_any(ask, vms)
            now = clock.elapsed()
            if contact is path_probe.Contact.ANSWERED:
                self._found_at_by_service[service] = now
            elif now - began_at <= path_probe.LATE_SECONDS:
                self._lost_at_by_service[service] = now
                self._log.warning(
                    "service_path_lost",
                    service=service,
                    contact=contact.value,
                    vms=[vm.vm_id for vm in vms],
                )
                self._tasks.spawn(self._await_return(service, ask), name="service-path-return")
        finally:
            del self._checks_by_service[service]

    async def _await_return(self, service: str, ask: path_probe.Ask) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(*RETURN_CHECK_SECONDS))
            vms = path_probe.choose_vms(self._vms_of(service), rng=self._rng)
            # Without any VM there is nothing to reach, here or from elsewhere.
            if not vms or await path_probe.ask_any(ask, vms) is path_probe.Contact.ANSWERED:
                break
        now = clock.elapsed()
        self._back_at_by_service[service] = now
        seconds = round(now - self._lost_at_by_service.pop(service), 3)
        self._log.info("service_path_back", service=service, seconds=seconds)
