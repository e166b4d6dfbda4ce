"""Knows whether this node has a path to the runners, and which of its peers have none.

A node can lose its links to all runners while callers, the store and its peers still reach it. One
failed connection says little: a runner may have ended. Nor does an open one, on which nothing may pass.
So a suspicion is checked by status requests to a few VMs in different failure domains. If none
answers, this node has no path, and tells its neighbours at once and all nodes in the reports of loads.
It goes on to ask until one answers. What cut one node off may have cut off others, so a node that is
told of a loss checks its own path, before it sends requests on links on which nothing passes.
"""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable

import prometheus_client

from basilpost.core import catalog, clock, hashing, kernel, names, tasks
from basilpost.members import feed, path_probe, path_states, peers, service_paths
from basilpost.members import knowledge as knowledges
from basilpost.members import loads as loads_

# Requests lost one after the other, with no byte from any runner between, that give reason to doubt.
DOUBTED_LOSSES = 3
# Time without a byte from any runner of a service, with requests in flight, after which the path to it
# is checked.
SILENT_SECONDS = 0.4
# Pause after a check because of silence, which a few slow requests cause as well.
SILENT_CHECK_PAUSE_SECONDS = 1.0
# Shortest time between checks because other nodes have lost their paths, one after the other.
TOLD_CHECK_PAUSE_SECONDS = 2.0
WATCH_SECONDS = 0.1

# Called with True when the path is lost, with False when it is back.
Listener = Callable[[bool], None]


@dataclasses.dataclass(kw_only=True)
class _Traffic:
    """This node's requests to the runners of one service.

    Times are on `clock.elapsed`.

    Attributes:
        in_flight: Requests without a complete answer.
        heard_at: When a byte last arrived from one of the runners, or the first of the requests was sent.
        checked_at: When the path was last checked because of silence.
        check: That check while it runs.
    """

    in_flight: int = 0
    heard_at: float = -math.inf
    checked_at: float = -math.inf
    check: asyncio.Task[None] | None = None

    @property
    def silent_seconds(self) -> float:
        """Returns for how long no runner has sent a byte, 0 without requests in flight."""
        return clock.elapsed() - self.heard_at if self.in_flight else 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class PathReport:
    """Tells a peer whether the sender has a path to the runners; sent on each change."""

    has_path: bool


class Reachability(kernel.Service):
    """Whether this node reaches the runners, as last checked, and what its peers report.

    Attributes:
        has_path: False while none of the checked VMs answers.
        ask: Sends a VM a status request; set by the owner of the connections. Without it nothing is
            checked.
        may_ask: Returns False for a VM that must not be asked now; set by the owner.
        give_up_silent: Called repeatedly with a service to which there is no path while requests to it
            are silent; set by the owner of the requests.
        peers_without_path: Ids of the neighbours that have reported that they have no path.
    """

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._log = kernel.log
        self._knowledge = kernel.find(names.KNOWLEDGE, knowledges.Knowledge)
        self._node_id = kernel.node_id
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._feed = kernel.find(names.FEED, feed.Feed)
        self._loads = kernel.find(names.LOADS, loads_.Loads)
        self._loads.local_path = self._path_entries
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._rng = random.Random()
        self.has_path = True
        self.ask: path_probe.Ask | None = None
        self.may_ask: Callable[[catalog.Vm], bool] = lambda vm: True
        self.give_up_silent: Callable[[str], None] = lambda service: None
        self.peers_without_path: set[str] = set()
        self._listeners: list[Listener] = []
        self._told_lost: frozenset[path_states.Lost] = frozenset()
        self._suspected_services: set[str] = set()
        self._loads.subscribe(self._on_loads)
        self._services = service_paths.ServicePaths(
            vms_of=self._askable_vms_of, rng=self._rng, task_set=self._tasks, kernel=kernel
        )
        self._check: asyncio.Task[None] | None = None
        self._found_at = self._checked_at = -math.inf
        self._lost_at = self._back_at = -math.inf
        self._losses_since_heard = 0
        self._traffic_by_service: dict[str, _Traffic] = {}
        self._lost_total = prometheus_client.Counter(
            "basilpost_runner_path_losses_total",
            "Times that this node lost its path to all runners",
            registry=kernel.registry,
        )
        self._checks_total = prometheus_client.Counter(
            "basilpost_runner_path_checks_total",
            "Checks whether this node reaches any runner, by reason and what the VMs did",
            ["reason", "contact"],
            registry=kernel.registry,
        )
        path = prometheus_client.Gauge(
            "basilpost_runner_path",
            "1 while runners answer this node, else 0",
            registry=kernel.registry,
        )
        path.set_function(lambda: int(self.has_path))
        self._peers.handle(PathReport, self._on_report)
        self._peers.subscribe(self._on_stream)

    async def start(self) -> None:
        """Starts to watch the path."""
        self._tasks.keep_running(self._watch, name="runner-path")
        self._tasks.keep_running(self._await_return, name="runner-path-return")

    async def stop(self) -> None:
        """Stops watching the path."""
        await self._tasks.close()

    def subscribe(self, listener: Listener) -> None:
        """Calls the listener when the path is lost and when it is back."""
        self._listeners.append(listener)

    def reaches(self, service: str) -> bool:
        """Returns False if no VM of a service answers this node, as last checked."""
        return self.has_path and not self._services.is_lost(service)

    def prefers_detour(self, service: str) -> bool:
        """Returns True if the next request to a service is to be sent by another node.

        After the return of the path, the share of such requests falls gradually.
        """
        if not self.has_path:
            return True
        seconds_back = clock.elapsed() - max(self._back_at, self._services.back_at(service))
        return (
            self._services.is_lost(service)
            or seconds_back < self._rng.random() * service_paths.RETURN_SECONDS
        )

    def may_send(self, node_id: str, service: str) -> bool:
        """Returns False if another node has told that it reaches no runner of a service."""
        return node_id not in self.peers_without_path and not self._loads.paths.denies(
            node_id, service
        )

    def confirms(self, node_id: str) -> bool:
        """Returns True if another node has told lately that it reaches some runner."""
        return self._loads.paths.confirms(node_id)

    async def find_path(self, *, service: str = "", fresh: bool = False) -> bool:
        """Returns True if there is a path to the runners; called after a failed connection.

        Args:
            service: Service of the VM that could not be connected to, empty to ask for any runner.
            fresh: True to check in any case, not only if the last check was some time ago.
        """
        if not self.reaches(service):
            return False
        if fresh or clock.elapsed() - self._found_at > path_probe.FRESH_SECONDS:
            await self._run_check("connection failed")
        await self._check_service(service, fresh=fresh)
        return self.reaches(service)

    async def ask_vm(self, vm_id: str) -> path_probe.Contact | None:
        """Asks a VM for its status; returns None if it is not known, or must not be asked now."""
        seen = self._knowledge.vms_by_id.get(vm_id)
        if seen is None or self.ask is None or not self.may_ask(seen.vm):
            return None
        return await self.ask(seen.vm)

    async def _check_service(self, service: str, *, fresh: bool) -> None:
        """Checks the path to a service, unless there is none to any runner."""
        # A service of one VM tells nothing of the way to it: the VM may have ended.
        if service and self.has_path and self.ask and len(self._askable_vms_of(service)) > 1:
            await self._services.check(service, self.ask, fresh=fresh)
            if (
                self._services.is_lost(service)
                and self._services.lost_at(service) >= self._found_at
            ):
                # It may be the loss of all runners, which the last check was too early to see.
                await self._run_check("service lost")

    def record_sent(self, service: str) -> None:
        """Counts a request that is sent to a runner of a service."""
        traffic = self._traffic_by_service.setdefault(service, _Traffic())
        if not traffic.in_flight:
            traffic.heard_at = clock.elapsed()
        traffic.in_flight += 1

    def record_ended(self, service: str) -> None:
        """Counts the end of a request at a runner of a service."""
        self._traffic_by_service[service].in_flight -= 1

    def record_heard(self, service: str) -> None:
        """Records that bytes arrived from a runner of a service."""
        self._traffic_by_service[service].heard_at = clock.elapsed()
        self._losses_since_heard = 0

    def record_lost(self) -> None:
        """Records that the connection of a request broke."""
        self._losses_since_heard += 1

    def is_silent(self, service: str) -> bool:
        """Returns True if requests are in flight and no runner of the service has sent anything for long."""
        traffic = self._traffic_by_service.get(service)
        return traffic is not None and traffic.silent_seconds > SILENT_SECONDS

    def is_in_doubt(self, service: str) -> bool:
        """Returns True if the runners of a service are silent and no check has told yet why."""
        traffic = self._traffic_by_service.get(service)
        return (
            traffic is not None
            and traffic.silent_seconds > SILENT_SECONDS
            and self.reaches(service)
            and (traffic.check is not None or traffic.checked_at < traffic.heard_at)
        )

    async def settle_doubt(self, service: str) -> None:
        """Waits until it is known whether there is a path, if the runners of a service are silent."""
        if self.is_in_doubt(service):
            await asyncio.wait([self._check_silence(service)])

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(WATCH_SECONDS)
            if self.has_path and self._checked_at == -math.inf:
                await self._run_check("start")
            elif self.has_path and self._losses_since_heard >= DOUBTED_LOSSES:
                await self._run_check("losses")
                self._losses_since_heard = 0
            elif self._suspected_services:
                await self._check_suspected()
            for service in [name for name in self._traffic_by_service if self.is_silent(name)]:
                self._handle_silence(service)

    async def _check_suspected(self) -> None:
        """Checks the paths that other nodes have lost."""
        if clock.elapsed() - self._checked_at < TOLD_CHECK_PAUSE_SECONDS:
            return
        services, self._suspected_services = self._suspected_services, set()
        if self.has_path:
            await self._run_check("told")
        for service in services:
            await self._check_service(service, fresh=True)

    def _on_loads(self) -> None:
        """Notes the losses that other nodes tell in the reports of loads."""
        lost = self._loads.paths.lost
        if lost == self._told_lost:
            return
        new, self._told_lost = lost - self._told_lost, lost
        scopes = {one.scope for one in new if one.node != hashing.short_id(self._node_id)}
        self._suspected_services |= {
            service
            for service in (
                path_states.ALL_RUNNERS,
                *{seen.vm.service for seen in self._knowledge.vms_by_id.values()},
            )
            if path_states.scope_id(service) in scopes
        }

    def _handle_silence(self, service: str) -> None:
        """Checks the path to a silent service, or has its requests given up if there is none."""
        traffic = self._traffic_by_service[service]
        if not self.reaches(service):
            self.give_up_silent(service)
        elif clock.elapsed() - traffic.checked_at > SILENT_CHECK_PAUSE_SECONDS:
            self._check_silence(service)

    def _check_silence(self, service: str) -> asyncio.Task[None]:
        """Starts a check of the path to a silent service, or returns the one that runs already."""
        traffic = self._traffic_by_service[service]

        async def check() -> None:
            try:
                await self._run_check("silence")
                await self._check_service(service, fresh=True)
            finally:
                traffic.checked_at, traffic.check = clock.elapsed(), None

        if traffic.check is None:
            traffic.check = self._tasks.spawn(check(), name="silence-check")
        return traffic.check

    async def _await_return(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(*service_paths.RETURN_CHECK_SECONDS))
            if not self.has_path:
                await self._run_check("return")

    async def _run_check(self, reason: str) -> None:
        """Runs a check, or waits for the one that runs already."""
        if self._check is None:
            self._check = self._tasks.spawn(self._check_path(reason), name="runner-path-check")
        # A caller that leaves must not end a check that others wait for.
        await asyncio.wait([self._check])

    async def _check_path(self, reason: str) -> None:
        try:
            vms = path_probe.choose_vms(self._askable_vms(), rng=self._rng)
            if not vms or self.ask is None:
                return
            began_at = clock.elapsed()
            contact = await path_probe.ask_any(self.ask, vms)
            self._checked_at = clock.elapsed()
            self._record_check(reason, contact, vms, self._checked_at - began_at)
            if self._checked_at - began_at > path_probe.LATE_SECONDS:
                return
            has_path = contact is path_probe.Contact.ANSWERED
            if has_path:
                self._found_at = self._checked_at
            if has_path != self.has_path:
                self._set_path(has_path, reason, vms)
        finally:
            self._check = None

    def _record_check(
        self, reason: str, contact: path_probe.Contact, vms: list[catalog.Vm], seconds: float
    ) -> None:
        self._checks_total.labels(reason, contact.value).inc()
        # The other checks are frequent, and a change of the result is logged by itself.
        if reason == "silence":
            traffic = self._traffic_by_service.values()
            self._log.info(
                "runner_path_checked",
                reason=reason,
                contact=contact.value,
                in_flight=sum(one.in_flight for one in traffic),
                silent_ms=round(max(one.silent_seconds for one in traffic) * 1000),
                ms=round(seconds * 1000),
                vms=[vm.vm_id for vm in vms],
            )

    def _askable_vms(self) -> list[catalog.Vm]:
        """Returns the VMs of the configured services; other writers' entries may name any others."""
        configuration = self._knowledge.configuration
        services = () if configuration is None else configuration.services_by_name
        return [vm for service in services for vm in self._askable_vms_of(service)]

    def _askable_vms_of(self, service: str) -> list[catalog.Vm]:
        seen = self._knowledge.vms_by_id.values()
        return [
            entry.vm for entry in seen if entry.vm.service == service and self.may_ask(entry.vm)
        ]

    def _set_path(self, has_path: bool, reason: str, vms: list[catalog.Vm]) -> None:
        self.has_path = has_path
        if has_path:
            self._back_at = clock.elapsed()
            self._log.info("runner_path_back", seconds=round(self._back_at - self._lost_at, 3))
        else:
            self._lost_at = clock.elapsed()
            self._lost_total.inc()
            self._log.warning("runner_path_lost", reason=reason, vms=[vm.vm_id for vm in vms])
        self._peers.broadcast(PathReport(has_path=has_path))
        for listener in self._listeners:
            listener(not has_path)

    def _path_entries(self) -> tuple[str, ...]:
        """Returns what the reports of loads tell of this node.

        In a full mesh each node sees by its streams which others are alive.
        """
        lost_services = self._services.lost_services
        lost_scopes = lost_services if self.has_path else (path_states.ALL_RUNNERS,)
        return path_states.entries_of(
            self._node_id,
            lost_scopes=lost_scopes,
            has_path=self.has_path and not self._feed.is_full_mesh,
        )

    async def _on_report(self, sender: str, message: PathReport) -> None:
        if message.has_path:
            self.peers_without_path.discard(sender)
        else:
            self.peers_without_path.add(sender)
            self._suspected_services.add(path_states.ALL_RUNNERS)

    def _on_stream(self, node_id: str, is_open: bool) -> None:
        self.peers_without_path.discard(node_id)
        if is_open and not self.has_path:
            self._peers.send(node_id, PathReport(has_path=False))
