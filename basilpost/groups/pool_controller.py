"""The controller of the pool: forms and dissolves the groups of all model services.

At most one node at a time, the holder of the lease, acts as the controller. This module collects
the input for the decisions that `pool` makes and sends the resulting orders.
"""

import asyncio
import contextlib
import dataclasses
import math
import random
from collections.abc import Callable, Iterable

import prometheus_client

from basilpost.core import catalog, clock, kernel, names, tasks
from basilpost.groups import lease as leases
from basilpost.groups import (
    missing_entries,
    orders,
    peak_demand,
    pool,
    pool_state,
    reported_groups,
)
from basilpost.members import (
    begun_loads,
    demand,
    feed,
    loads,
    path_states,
    peers,
    reachability,
)
from basilpost.members import knowledge as knowledges
from basilpost.store import objects

LEASE_KEY = "basilpost-leases/pool"
# A holder that renews once per second can miss two renewals.
LEASE_SECONDS = 3.0
RENEW_SECONDS = 1.0
OBSERVE_SECONDS = 0.7
STORE_TIMEOUT_SECONDS = 0.6
# Pause after a failed attempt to acquire the lease.
ACQUIRE_RETRY_SECONDS = 0.1
# A live runner replies to an order within some milliseconds.
ORDER_TIMEOUT_SECONDS = 0.6
# A member of a stalled group that fails this many probes in a row, each with this timeout, counts
# as unresponsive. Runners reply within milliseconds, but a sound one may be silent for a second or so.
PROBE_TIMEOUT_SECONDS = 0.3
PROBE_ATTEMPTS = 5
# A group that stays stalled although all its members respond is probed again after this time.
PROBE_INTERVAL_SECONDS = 1.0
# An unresponsive VM is left out of decisions this long; by then its entry has expired or it
# responds.
UNRESPONSIVE_SECONDS = 6.0
# Time beyond its interval that a report of a busy node takes to arrive.
REPORT_MARGIN_SECONDS = 0.25
# Interval of decisions while nothing changes; a change leads to a decision at once.
DECISION_INTERVAL_SECONDS = 0.25
# After a decision the controller rests for this many times as long as the decision took, so that
# the changes of a large pool are decided on together.
REST_FACTOR = 3.0
# The first epoch of a holder is its fencing number times this.
EPOCHS_PER_FENCE = 10_000
# Higher epochs are not taken for the work of a controller: entries may come from other writers. Numbers
# are read up to twice this, so the epochs that follow it are still read.
MAX_EPOCH = 2**52
# Loads that may start while they are not limited, in the first seconds of a new system.
UNLIMITED_LOADS = 1_000_000

NEVER = -math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlReleased:
    """Announces that the sender has released the lease."""


class Controller(kernel.Service):
    """Acts as the pool's controller while this node holds the lease, else observes the lease.

    Attributes:
        may_probe: Returns False for a VM whose runner has asked this node to send nothing; set by the
            assembly.

    Args:
        kernel: The node's kernel.
        incarnation: Unique id of this process.
        unlimited_load_seconds: Time after the start without a limit on loads; 0 on a restart.
        plans_for_load: True to plan capacity for the peak of the work that callers want, and to keep a
            group without the entry of a member that answered a moment ago; False to plan for the slots
            that requests held, and to keep such a group only while it is answering.
    """

    def __init__(
        self,
        *,
        kernel: kernel.Kernel,
        incarnation: str,
        unlimited_load_seconds: float,
        plans_for_load: bool = False,
    ) -> None:
        self.may_probe: Callable[[catalog.Vm], bool] = lambda vm: True
        self._log = kernel.log
        self._store = kernel.find(names.OBJECTS, objects.ObjectStore)
        self._feed = kernel.find(names.FEED, feed.Feed)
        self._knowledge = kernel.find(names.KNOWLEDGE, knowledges.Knowledge)
        self._runners = kernel.find(names.POOL_RUNNER_CLIENT, orders.RunnerClient)
        self._loads = kernel.find(names.LOADS, loads.Loads)
        self._reachability = kernel.find(names.REACHABILITY, reachability.Reachability)
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._lease = leases.Lease(
            key=LEASE_KEY,
            node_id=kernel.node_id,
            incarnation=incarnation,
            seconds=LEASE_SECONDS,
            is_first_start=unlimited_load_seconds > 0.0,
        )
        self._plans_for_load = plans_for_load
        self._peaks_by_service: dict[str, peak_demand.PeakDemand] = {}
        self._unlimited_loads_until = clock.elapsed() + unlimited_load_seconds
        self._changed = asyncio.Event()
        self._state_by_service: dict[str, pool_state.State] = {}
        self._epochs_used = 0
        self._order_counter = prometheus_client.Counter(
            "basilpost_pool_orders_total",
            "Orders to runners by kind and result",
            ["kind", "result"],
            registry=kernel.registry,
        )
        self._unresponsive_until: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}
        self._observe_now = asyncio.Event()
        self._renew_now = asyncio.Event()
        self._loads.local_unlisted = self._unlisted_target_ids
        self._knowledge.subscribe(self._changed.set)
        self._reachability.subscribe(lambda lost: self._changed.set())
        self._peers.handle(ControlReleased, self._handle_release)

    async def start(self) -> None:
        """Starts to observe the lease."""
        self._tasks.keep_running(self._run, name="pool-controller")

    async def stop(self) -> None:
        """Stops and announces the release of the lease, so that another node takes over at once."""
        held = self._lease.held
        await self._tasks.close()
        await self._release(held)

    async def _release(self, held: bool) -> None:
        """Deletes the lease and, if this node held it, tells those that may take over."""
        await self._lease.release(self._store, timeout=STORE_TIMEOUT_SECONDS)
        if held:
            self._log.info("pool_control_released")
            for node_id in self._feed.watchers - {self._peers.node_id}:
                self._peers.send(node_id, ControlReleased())

    @property
    def is_holder(self) -> bool:
        """Returns True while this node is the controller."""
        return self._lease.held

    async def _run(self) -> None:
        await asyncio.sleep(random.uniform(0.0, 0.2))
        while True:
            if not self._may_compete():
                await asyncio.sleep(OBSERVE_SECONDS)
                continue
            if not self._reachability.has_path:
                # Orders of this node would reach no runner.
                await asyncio.sleep(OBSERVE_SECONDS)
                continue
            fresh = self._observe_now.is_set()
            self._observe_now.clear()
            if await self._lease.observe(self._store, timeout=STORE_TIMEOUT_SECONDS, fresh=fresh):
                if await self._lease.acquire(
                    self._store, timeout=STORE_TIMEOUT_SECONDS, used_fence=self._used_fence()
                ):
                    await self._act_as_controller()
                    continue
                # The cheap read may have been outdated, so the next read is fresh.
                self._observe_now.set()
                await asyncio.sleep(ACQUIRE_RETRY_SECONDS)
                continue
            try:
                async with asyncio.timeout(OBSERVE_SECONDS * random.uniform(0.8, 1.2)):
                    await self._observe_now.wait()
            except TimeoutError:
                continue

    def _may_compete(self) -> bool:
        """Returns True if this node may take the lease.

        In a large fleet only the nodes that watch the store do, unless none of them reaches a runner.
        """
        if self._feed.is_watcher or self._feed.has_stale_peer_data:
            return True
        return not any(
            self._reachability.may_send(node_id, path_states.ALL_RUNNERS)
            for node_id in self._feed.watchers
        )

    async def _act_as_controller(self) -> None:
        """Makes decisions and sends orders until the lease is lost."""
        self._log.info("pool_control_gained", fence=self._lease.fence)
        self._state_by_service.clear()
        self._epochs_used = 0
        self._feed.is_controller = True
        fence = self._lease.fence
        renewing = self._tasks.keep_running(self._keep_renewing, name="pool-lease")
        try:
            while self._lease.held and self._lease.fence == fence and self._reachability.has_path:
                if self._used_fence() > fence:
                    # A later controller was lost with a copy of the store, or the epochs are used up.
                    self._log.warning("pool_control_overtaken", fence=fence, vm="")
                    await self._release(self._lease.held)
                    break
                self._changed.clear()
                # A restored store may show VMs of open groups as free.
                if self._knowledge.vms_age() < LEASE_SECONDS and self._knowledge.is_settled:
                    began_at = clock.monotonic()
                    self._decide()
                    await asyncio.sleep((clock.monotonic() - began_at) * REST_FACTOR)
                try:
                    async with asyncio.timeout(DECISION_INTERVAL_SECONDS):
                        await self._changed.wait()
                except TimeoutError:
                    continue
        finally:
            renewing.cancel()
            self._feed.is_controller = False
            self._log.info("pool_control_lost", fence=fence)
        if not self._reachability.has_path:
            await self._release(self._lease.held)
        self._lease.mark_lost()

    def _used_fence(self) -> int:
        """Returns the highest fencing number that the epochs of the runners' groups show."""
        configuration = self._knowledge.configuration
        services = {} if configuration is None else configuration.services_by_name
        names = {name for name, service in services.items() if service.engine is not None}
        members = (
            seen.vm.member
            for seen in self._knowledge.vms_by_id.values()
            if seen.vm.service in names and seen.vm.member is not None
        )
        epochs = (member.epoch for member in members if reported_groups.has_own_name(member))
        return max((epoch for epoch in epochs if epoch < MAX_EPOCH), default=0) // EPOCHS_PER_FENCE

    async def _keep_renewing(self) -> None:
        renewal = 0
        while True:
            self._renew_now.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RENEW_SECONDS):
                    await self._renew_now.wait()
            renewal += 1
            if not await self._lease.renew(
                self._store, renewal=renewal, timeout=STORE_TIMEOUT_SECONDS
            ):
                return

    def _decide(self) -> None:
        configuration = self._knowledge.configuration
        if configuration is None:
            return
        for service in configuration.services_by_name.values():
            if service.engine is not None:
                self._decide_for(service.name, service.engine)

    def _decide_for(self, service: str, engine: catalog.Engine) -> None:
        service_vms = [
            seen for seen in self._knowledge.vms_by_id.values() if seen.vm.service == service
        ]
        vms = tuple(seen.vm for seen in service_vms)
        groups = reported_groups.from_vms(vms, {model.name: model for model in engine.models})
        removed = self._knowledge.removed_by_lifetime.values()
        target_ids = missing_entries.target_ids(
            groups, removed, told=self._loads.unlisted_elsewhere
        )
        view = pool_state.View(
            now=clock.elapsed(),
            vms=vms,
            models=engine.models,
            slots_per_group=engine.slots,
            slots_wanted=self._slots_wanted(service, engine),
            unlisted_heads=frozenset(
                group.name for group in groups if group.head is None and target_ids[group.name]
            ),
            missing_since_by_group=missing_entries.missing_since(groups, removed),
            first_epoch=self._lease.fence * EPOCHS_PER_FENCE,
            next_epoch=self._lease.fence * EPOCHS_PER_FENCE + self._epochs_used,
            loads_left=self._loads_left(engine.loads_per_second),
            loads_at_once=self._loads_at_once(engine),
            unresponsive=frozenset(self._unresponsive()),
            answering=self._names_of(target_ids, self._loads.writing_among),
            answered_at_by_group=self._answered_at_by_group(groups),
            stalled=self._names_of(target_ids, self._loads.stalled_among),
            working=self._names_of(target_ids, self._loads.used_among),
            work_delay_seconds=self._loads.seconds_old + REPORT_MARGIN_SECONDS,
            changed_at_by_vm={
                reported_groups.lifetime_id(seen.vm): seen.seen_at for seen in service_vms
            },
        )
        self._probe_stalled_groups(self._names_of(target_ids, self._loads.stalled_among), vms)
        state = self._state_by_service.get(service, pool_state.State())
        decision = pool.decide(view, state)
        self._state_by_service[service] = decision.state
        self._epochs_used += decision.epochs_used
        if decision.loads_used:
            self._loads.weight_loads_begin(decision.loads_used)
        for order in decision.orders:
            self._tasks.spawn(self._send_order(order, self._lease.fence), name="pool-order")

    def _unlisted_target_ids(self) -> Iterable[str]:
        return missing_entries.unlisted_target_ids(self._knowledge.removed_by_lifetime.values())

    # Members of stalled groups that stop responding before their entries expire.

    def _unresponsive(self) -> Iterable[str]:
        now = clock.elapsed()
        self._unresponsive_until = {
            key: at for key, at in self._unresponsive_until.items() if at > now
        }
        return self._unresponsive_until

    @staticmethod
    def _names_of(
        target_ids: dict[str, str],
        select: Callable[[Iterable[str]], frozenset[str]],
    ) -> frozenset[str]:
        """Returns the names of the groups whose targets are selected."""
        names_by_target = {target_id: name for name, target_id in target_ids.items() if target_id}
        return frozenset(names_by_target[target_id] for target_id in select(names_by_target))

    def _slots_wanted(self, service: str, engine: catalog.Engine) -> dict[str, float]:
        """Returns the slots that callers want by model, empty until demand was measured."""
        held = demand.slots_wanted(
            self._loads.demand_by_model(), (model.name for model in engine.models)
        )
        if not self._plans_for_load:
            return held
        peaks = self._peaks_by_service.setdefault(service, peak_demand.PeakDemand())
        now = clock.elapsed()
        by_work = peak_demand.slots_from_work(self._loads.rank_demand_by_key(), engine)
        peaks.record(by_work or held, now=now)
        return peaks.slots_wanted(engine.models, now=now)

    def _answered_at_by_group(
        self, groups: Iterable[reported_groups.ReportedGroup]
    ) -> dict[str, float]:
        """Returns when the groups that lack the entry of a member were last seen to answer."""
        if not self._plans_for_load:
            return {}
        answered_at_by_name = {
            group.name: self._loads.answered_at(group.target_id)
            for group in groups
            if group.target_id and not group.complete
        }
        return {name: at for name, at in answered_at_by_name.items() if at is not None}

    def _probe_stalled_groups(self, stalled: frozenset[str], vms: tuple[catalog.Vm, ...]) -> None:
        """Starts to probe the members of stalled groups that were not probed a short time ago."""
        now = clock.elapsed()
        for name in stalled:
            members = [vm for vm in vms if vm.member is not None and vm.member.group == name]
            if members and now - self._probed_at.get(name, NEVER) > PROBE_INTERVAL_SECONDS:
                self._probed_at[name] = now
                self._tasks.spawn(self._probe(name, members), name="pool-probe")

    async def _probe(self, name: str, members: list[catalog.Vm]) -> None:
        # A runner that asks for a pause has answered, and wants no status requests either.
        silent = [vm for vm in members if self.may_probe(vm)]
        for _ in range(PROBE_ATTEMPTS):
            answers = await asyncio.gather(
                *(self._runners.responds(vm, timeout=PROBE_TIMEOUT_SECONDS) for vm in silent)
            )
            silent = [vm for vm, answer in zip(silent, answers, strict=True) if not answer]
        self._log.info(
            "still_group_probed",
            group=name,
            members=len(members),
            silent=[vm.vm_id for vm in silent],
        )
        if len(silent) == len(members):
            # Either side may be cut off. The members count as lost only once their entries expire.
            return
        until = clock.elapsed() + UNRESPONSIVE_SECONDS
        self._unresponsive_until |= {reported_groups.lifetime_id(vm): until for vm in silent}
        self._changed.set()

    async def _handle_release(self, sender: str, message: "ControlReleased") -> None:
        self._observe_now.set()

    # Orders that load weights are limited in number per time window.

    def _loads_left(self, loads_per_second: float) -> int:
        now = clock.elapsed()
        if now < self._unlimited_loads_until:
            return UNLIMITED_LOADS
        begun = self._loads.begun_loads.count(now)
        if begun is None:
            return 0
        return max(0, math.floor(loads_per_second * begun_loads.SPAN_SECONDS) - begun)

    def _loads_at_once(self, engine: catalog.Engine) -> int | None:
        """Returns how many loads may be under way; any number in the first seconds of a system."""
        unlimited = clock.elapsed() < self._unlimited_loads_until
        return None if unlimited else engine.loads_at_once

    async def _send_order(self, order: orders.Order, fence: int) -> None:
        if not self._lease.held or self._lease.fence != fence:
            return
        result = await self._runners.send(order, fence=fence, timeout=ORDER_TIMEOUT_SECONDS)
        name = type(result).__name__.lower()
        self._order_counter.labels(order.kind.value, name).inc()
        self._log.info(
            "pool_order",
            order=order.kind.value,
            vm=order.vm.vm_id,
            group=order.group,
            model=order.model,
            fence=fence,
            cause=order.cause.value if order.cause is not None else "",
            result=name,
            reason="" if isinstance(result, orders.Accepted) else result.reason,
        )
        if isinstance(result, orders.Outdated):
            self._handle_outdated(order, fence)
        self._changed.set()

    def _handle_outdated(self, order: orders.Order, fence: int) -> None:
        """Stops acting as the controller if a runner has accepted orders from a later one.

        A JOIN may also be rejected for its epoch, when two of them arrive in reverse order. The
        lease is then renewed at once, which shows whether there is a later controller.
        """
        if order.kind is orders.Kind.JOIN:
            self._renew_now.set()
        elif self._lease.fence == fence:
            self._log.warning("pool_control_overtaken", fence=fence, vm=order.vm.vm_id)
            self._lease.mark_lost()
