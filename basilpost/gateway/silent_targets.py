"""Finds targets to which nothing passes from this node, though others answer it.

A node may lose its links to some targets only, and connections to them may open all the same. Requests
on them would hang until their deadlines, one after the other. So a target that is silent while it has
requests of this node is asked for its status. If it does not answer, it is avoided, and asked again
until it does. Other nodes are not told: they may reach it.

Links are often lost to several targets at once, so the other targets are asked then too, before the next
requests hang at them one after the other.
"""

import asyncio
import dataclasses
import math
import random
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any

from basilpost.core import clock, tasks
from basilpost.members import path_probe, reachability, service_paths

# Pause between two questions to a silent target that answers them; some requests take long.
CHECK_PAUSE_SECONDS = 1.0
# Bounds on the questions to targets without requests, once one is silent. A large fleet has thousands.
MAX_IDLE_CHECKS = 64
MAX_IDLE_CHECKS_AT_ONCE = 16
IDLE_CHECKS_PAUSE_SECONDS = 5.0

# Asks a VM for its status; returns None if it must not be asked, or is gone.
AskVm = Callable[[str], Awaitable[path_probe.Contact | None]]


@dataclasses.dataclass(kw_only=True)
class _Traffic:
    """This node's requests to one target; times are on `clock.elapsed`.

    Attributes:
        vm_id: VM of the target.
        heard_at: When a byte last arrived from it, or the first of the requests was sent.
        in_flight: Requests without a complete answer.
        checked_at: When its status was last asked for.
    """

    vm_id: str
    heard_at: float
    in_flight: int = 0
    checked_at: float = -math.inf


class SilentTargets:
    """The targets that do not even answer status requests of this node.

    Args:
        ask_vm: Asks a VM for its status.
        give_up: Called repeatedly with a target that does not answer while requests to it are silent.
        list_vms: Returns the VM of each target that this node may use, by target id.
        log: The node's log.
    """

    def __init__(
        self,
        *,
        ask_vm: AskVm,
        give_up: Callable[[str], None],
        list_vms: Callable[[], Mapping[str, str]],
        log: Any,
    ) -> None:
        self._ask_vm = ask_vm
        self._list_vms = list_vms
        self._idle_checked_at = -math.inf
        self._idle_checks = asyncio.Semaphore(MAX_IDLE_CHECKS_AT_ONCE)
        self._give_up = give_up
        self._log = log
        self._tasks = tasks.TaskSet(log=log)
        self._rng = random.Random()
        self._traffic_by_target: dict[str, _Traffic] = {}
        self._silent_since_by_target: dict[str, float] = {}

    def record_sent(self, target_id: str, vm_id: str) -> None:
        """Counts a request that is sent to a target."""
        traffic = self._traffic_by_target.get(target_id)
        if traffic is None:
            traffic = _Traffic(vm_id=vm_id, heard_at=clock.elapsed())
            self._traffic_by_target[target_id] = traffic
        traffic.in_flight += 1

    def record_heard(self, target_id: str) -> None:
        """Records that bytes arrived from a target."""
        self._traffic_by_target[target_id].heard_at = clock.elapsed()

    def record_ended(self, target_id: str) -> None:
        """Counts the end of a request at a target."""
        traffic = self._traffic_by_target[target_id]
        traffic.in_flight -= 1
        if not traffic.in_flight:
            del self._traffic_by_target[target_id]

    def among(self, target_ids: Iterable[str]) -> frozenset[str]:
        """Returns those of the targets that do not answer this node."""
        return frozenset(self._silent_since_by_target).intersection(target_ids)

    async def run(self) -> None:
        """Watches the targets until cancelled."""
        while True:
            await asyncio.sleep(reachability.WATCH_SECONDS)
            now = clock.elapsed()
            silent = [
                target_id
                for target_id, traffic in self._traffic_by_target.items()
                if now - traffic.heard_at > reachability.SILENT_SECONDS
            ]
            for target_id in silent:
                traffic = self._traffic_by_target[target_id]
                if target_id in self._silent_since_by_target:
                    self._give_up(target_id)
                elif now - traffic.checked_at > CHECK_PAUSE_SECONDS:
                    traffic.checked_at = now
                    self._tasks.spawn(self._check(target_id, traffic), name="silent-target")

    async def close(self) -> None:
        """Ends all questions."""
        await self._tasks.close()

    async def _check(self, target_id: str, traffic: _Traffic) -> None:
        """Asks a silent target for its status, and avoids it until it answers."""
        began_at = clock.elapsed()
        contact = await self._ask_vm(traffic.vm_id)
        now = clock.elapsed()
        if _may_be_used(contact) or traffic.heard_at > began_at:
            return
        if now - began_at > path_probe.LATE_SECONDS or target_id in self._silent_since_by_target:
            return
        assert contact is not None
        self._check_idle_targets(now)
        await self._avoid(target_id, traffic.vm_id, contact)

    def _check_idle_targets(self, now: float) -> None:
        """Starts to ask targets without requests of this node for their status."""
        if now - self._idle_checked_at < IDLE_CHECKS_PAUSE_SECONDS:
            return
        self._idle_checked_at = now
        idle = [
            (target_id, vm_id)
            for target_id, vm_id in self._list_vms().items()
            if target_id not in self._traffic_by_target
            and target_id not in self._silent_since_by_target
        ]
        for target_id, vm_id in self._rng.sample(idle, min(len(idle), MAX_IDLE_CHECKS)):
            self._tasks.spawn(self._check_idle(target_id, vm_id), name="silent-target")

    async def _check_idle(self, target_id: str, vm_id: str) -> None:
        async with self._idle_checks:
            began_at = clock.elapsed()
            contact = await self._ask_vm(vm_id)
        is_late = clock.elapsed() - began_at > path_probe.LATE_SECONDS
        is_known = target_id in self._silent_since_by_target
        if not _may_be_used(contact) and not (is_late or is_known):
            await self._avoid(target_id, vm_id, contact)

    async def _avoid(self, target_id: str, vm_id: str, contact: path_probe.Contact | None) -> None:
        """Avoids a target that does not answer until it does."""
        assert contact is not None
        self._silent_since_by_target[target_id] = clock.elapsed()
        self._log.warning("target_silent", target=target_id, contact=contact.value)
        while not _may_be_used(contact):
            await asyncio.sleep(self._rng.uniform(*service_paths.RETURN_CHECK_SECONDS))
            contact = await self._ask_vm(vm_id)
        seconds = round(clock.elapsed() - self._silent_since_by_target.pop(target_id), 3)
        self._log.info("target_answers", target=target_id, seconds=seconds)


def _may_be_used(contact: path_probe.Contact | None) -> bool:
    return contact is None or contact is path_probe.Contact.ANSWERED
