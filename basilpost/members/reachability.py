"""Knows whether this node has a path to the runners, and which of its peers have none.

A node can lose its links to all runners while callers, the store and its peers still reach it. One
failed connection says little: a runner may have ended. So a suspicion is checked by connections to a
few VMs in different failure domains. If none opens, this node has no path, and tells its neighbours at
once and all nodes in the reports of loads. It goes on to check until one opens. Nothing is sent on
these connections.
"""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable

import prometheus_client

from basilpost.core import catalog, clock, kernel, names, tasks
from basilpost.members import feed, path_probe, path_states, peers, service_paths
from basilpost.members import knowledge as knowledges
from basilpost.members import loads as loads_

# Requests lost one after the other, with no byte from any runner between, that give reason to doubt.
DOUBTED_LOSSES = 3
# Time without a byte from any runner, with requests in flight, after which the path is checked.
SILENT_SECONDS = 0.4
# Pause after a check because of silence, which a few slow requests cause as well.
SILENT_CHECK_PAUSE_SECONDS = 1.0
WATCH_SECONDS = 0.1

# Called with True when the path is lost, with False when it is back.
Listener = Callable[[bool], None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PathReport:
    """Tells a peer whether the sender has a path to the runners; sent on each change."""

    has_path: bool


class Reachability(kernel.Service):
    """Whether this node reaches the runners, as last checked, and what its peers report.

    Attributes:
        has_path: False while no checked VM can be connected to.
        connect: Opens a connection to a VM; set by the owner of the connections. Without it nothing is
            checked.
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
        self.connect: path_probe.Connect | None = None
        self.peers_without_path: set[str] = set()
        self._listeners: list[Listener] = []
        self._services = service_paths.ServicePaths(
            vms_of=self._vms_of, rng=self._rng, task_set=self._tasks, kernel=kernel
        )
        self._check: asyncio.Task[None] | None = None
        self._found_at = self._checked_at = -math.inf
        self._lost_at = self._back_at = -math.inf
        self._in_flight = self._losses_since_heard = 0
        self._heard_at = clock.elapsed()
        self._lost_total = prometheus_client.Counter(
            "basilpost_runner_path_losses_total",
            "Times that this node lost its path to all runners",
            registry=kernel.registry,
        )
        self._checks_total = prometheus_client.Counter(
            "basilpost_runner_path_checks_total",
            "Checks whether this node reaches any runner, by reason and result",
            ["reason", "result"],
            registry=kernel.registry,
        )
        path = prometheus_client.Gauge(
            "basilpost_runner_path",
            "1 while this node can connect to runners, else 0",
            registry=kernel.registry,
        )
        path.set_function(lambda: int(self.has_path))
        self._peers.handle(PathReport, self._on_report)
        self._peers.subscribe(self._on_stream)

    async def start(self) -> None:
        """Starts to watch the path."""
        self._tasks.keep_running(self._watch, name="runner-path")

    async def stop(self) -> None:
        """Stops watching the path."""
        await self._tasks.close()

    def subscribe(self, listener: Listener) -> None:
        """Calls the listener when the path is lost and when it is back."""
        self._listeners.append(listener)

    def reaches(self, service: str) -> bool:
        """Returns False if this node can connect to no VM of a service, as last checked."""
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

    async def find_path(
        self, *, service: str = "", fresh: bool = False, may_abort: bool = True
    ) -> bool:
        """Returns True if there is a path to the runners; called after a failed connection.

        Args:
            service: Service of the VM that could not be connected to, empty to ask for any runner.
            fresh: True to check in any case, not only if the last check was some time ago.
            may_abort: False if what failed was refused at once, so that a connection that opens is not
                aborted later.
        """
        if not self.reaches(service):
            return False
        if fresh or clock.elapsed() - self._found_at > path_probe.FRESH_SECONDS:
            await self._run_check("connection failed", may_abort=may_abort)
        # A service of one VM tells nothing of the way to it: the VM may have ended.
        if service and self.has_path and self.connect and len(self._vms_of(service)) > 1:
            await self._services.check(service, self.connect, fresh=fresh)
        return self.reaches(service)

    def record_sent(self) -> None:
        """Counts a request that is sent to a runner."""
        if not self._in_flight:
            self._heard_at = clock.elapsed()
        self._in_flight += 1

    def record_ended(self) -> None:
        """Counts the end of a request at a runner."""
        self._in_flight -= 1

    def record_heard(self) -> None:
        """Records that bytes arrived from a runner."""
        self._heard_at = clock.elapsed()
        self._losses_since_heard = 0

    def record_lost(self) -> None:
        """Records that the connection of a request broke."""
        self._losses_since_heard += 1

    @property
    def is_silent(self) -> bool:
        """Returns True if requests are in flight and no runner has sent anything for a while."""
        return self._in_flight > 0 and clock.elapsed() - self._heard_at > SILENT_SECONDS

    async def _watch(self) -> None:
        while True:
            if not self.has_path:
                await asyncio.sleep(self._rng.uniform(*service_paths.RETURN_CHECK_SECONDS))
                await self._run_check("return")
                continue
            await asyncio.sleep(WATCH_SECONDS)
            if self._checked_at == -math.inf:
                await self._run_check("start")
            elif self.is_silent and clock.elapsed() - self._checked_at > SILENT_CHECK_PAUSE_SECONDS:
                await self._run_check("silence")
            elif self._losses_since_heard >= DOUBTED_LOSSES:
                await self._run_check("losses")
                self._losses_since_heard = 0

    async def _run_check(self, reason: str, *, may_abort: bool = True) -> None:
        """Runs a check, or waits for the one that runs already."""
        if self._check is None:
            self._check = self._tasks.spawn(
                self._check_path(reason, may_abort), name="runner-path-check"
            )
        # A caller that leaves must not end a check that others wait for.
        await asyncio.wait([self._check])

    async def _check_path(self, reason: str, may_abort: bool) -> None:
        try:
            vms = path_probe.choose_vms(
                (seen.vm for seen in self._knowledge.vms_by_id.values()), rng=self._rng
            )
            if not vms or self.connect is None:
                return
            began_at = clock.elapsed()
            opened = await self._opens_any(self.connect, vms, may_abort)
            self._checked_at = clock.elapsed()
            self._record_check(reason, opened, vms, self._checked_at - began_at)
            if self._checked_at - began_at > path_probe.LATE_SECONDS:
                return
            if opened:
                self._found_at = self._checked_at
            if opened != self.has_path:
                self._set_path(opened, reason, vms)
        finally:
            self._check = None

    def _record_check(
        self, reason: str, has_path: bool, vms: list[catalog.Vm], seconds: float
    ) -> None:
        result = "path" if has_path else "no_path"
        self._checks_total.labels(reason, result).inc()
        # The other checks are frequent, and a change of the result is logged by itself.
        if reason == "silence":
            self._log.info(
                "runner_path_checked",
                reason=reason,
                result=result,
                in_flight=self._in_flight,
                silent_ms=round((clock.elapsed() - self._heard_at) * 1000),
                ms=round(seconds * 1000),
                vms=[vm.vm_id for vm in vms],
            )

    async def _opens_any(
        self, connect: path_probe.Connect, vms: list[catalog.Vm], may_abort: bool
    ) -> bool:
        in_doubt = not self.has_path or self._losses_since_heard >= DOUBTED_LOSSES
        usual_seconds = path_probe.ABORT_SECONDS if may_abort else 0.0
        abort_seconds = path_probe.DOUBT_ABORT_SECONDS if in_doubt else usual_seconds
        opened = await path_probe.opens_any(connect, vms, abort_seconds=abort_seconds)
        return opened is not None

    def _vms_of(self, service: str) -> list[catalog.Vm]:
        seen = self._knowledge.vms_by_id.values()
        return [entry.vm for entry in seen if entry.vm.service == service]

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

    def _on_stream(self, node_id: str, is_open: bool) -> None:
        self.peers_without_path.discard(node_id)
        if is_open and not self.has_path:
            self._peers.send(node_id, PathReport(has_path=False))
