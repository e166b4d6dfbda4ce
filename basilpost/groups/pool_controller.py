"""Keeps the VMs of all model services in groups, on the node that holds the lease.

The decisions are those of `pool`; here they get their inputs, and their orders are given.
"""

import asyncio
import collections
import contextlib
import dataclasses
import math
import random
from collections.abc import Iterable

import prometheus_client

from basilpost.core import catalog, clock, kernel, names, tasks
from basilpost.groups import lease as leases
from basilpost.groups import orders, pool, pool_state, reported_groups
from basilpost.members import demand, feed, loads, peers
from basilpost.members import knowledge as knowledges
from basilpost.store import objects

LEASE_KEY = "basilpost-leases/pool"
# A holder that renews once a second may miss two renewals.
LEASE_SECONDS = 3.0
RENEW_SECONDS = 1.0
OBSERVE_SECONDS = 0.7
STORE_TIMEOUT_SECONDS = 0.6
# Pause after a failed attempt to take the lease.
RETRY_SECONDS = 0.1
# Orders are answered within some milliseconds by a runner that is there.
ORDER_TIMEOUT_SECONDS = 0.6
# A member that does not answer a question in this time, twice, while its group stands still, is lost;
# runners answer within milliseconds.
PROBE_SECONDS = 0.3
PROBES = 2
# Groups that stand still although all members answer are asked again after this time.
PROBE_AGAIN_SECONDS = 1.0
# A lost VM is left out for this long; by then its entry has lapsed, or it answers again.
LOST_SECONDS = 6.0
# Interval of decisions without a change; changes are acted on at once.
DECIDE_SECONDS = 0.25
# Span over which the rate of the weight store is kept.
LOAD_WINDOW_SECONDS = 5.0
# Epochs of one holder begin at its fencing number times this.
EPOCHS_PER_FENCE = 10_000
# Loads that begin in the lead time of a new system are not limited.
UNLIMITED_LOADS = 1_000_000


NEVER = -math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlReleased:
    """Tells the other nodes that the sender has given the lease up."""


class Controller(kernel.Service):
    """Holds or watches the lease; the holder decides and gives orders.

    Args:
        kernel: The node's kernel.
        incarnation: Id of this process.
        unlimited_load_seconds: Time after the start in which loads are not limited; 0 on a restart.
    """

    def __init__(
        self, *, kernel: kernel.Kernel, incarnation: str, unlimited_load_seconds: float
    ) -> None:
        self._log = kernel.log
        self._store = kernel.find(names.OBJECTS, objects.ObjectStore)
        self._feed = kernel.find(names.FEED, feed.Feed)
        self._knowledge = kernel.find(names.KNOWLEDGE, knowledges.Knowledge)
        self._runners = kernel.find(names.POOL_ENGINES, orders.RunnerClient)
        self._loads = kernel.find(names.LOADS, loads.Loads)
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._lease = leases.Lease(
            key=LEASE_KEY,
            node_id=kernel.node_id,
            incarnation=incarnation,
            seconds=LEASE_SECONDS,
        )
        self._unlimited_loads_until = clock.elapsed() + unlimited_load_seconds
        self._changed = asyncio.Event()
        self._state_by_service: dict[str, pool_state.State] = {}
        self._epochs_used = 0
        self._loads_at: collections.deque[float] = collections.deque()
        self._orders = prometheus_client.Counter(
            "basilpost_pool_orders_total",
            "Orders to runners by kind and result",
            ["kind", "result"],
            registry=kernel.registry,
        )
        self._lost_until: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}
        self._look_now = asyncio.Event()
        self._renew_now = asyncio.Event()
        self._knowledge.subscribe(self._changed.set)
        self._peers.handle(ControlReleased, self._note_release)

    async def start(self) -> None:
        """Begins to watch the lease."""
        self._tasks.spawn(self._run(), name="pool-controller")

    async def stop(self) -> None:
        """Gives the lease up and ends; others are told, so that one takes over at once."""
        held = self._lease.held
        await self._tasks.close()
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
            if not self._feed.watches and not self._feed.is_left_behind:
                # In a large fleet the nodes that watch the store share this duty.
                await asyncio.sleep(OBSERVE_SECONDS)
                continue
            told = self._look_now.is_set()
            self._look_now.clear()
            if await self._lease.observe(self._store, timeout=STORE_TIMEOUT_SECONDS, fresh=told):
                if await self._lease.take(self._store, timeout=STORE_TIMEOUT_SECONDS):
                    await self._serve()
                    continue
                # The cheap read may have been old; the next one is fresh.
                self._look_now.set()
                await asyncio.sleep(RETRY_SECONDS)
                continue
            try:
                async with asyncio.timeout(OBSERVE_SECONDS * random.uniform(0.8, 1.2)):
                    await self._look_now.wait()
            except TimeoutError:
                continue

    async def _serve(self) -> None:
        """Acts as the controller until the lease is lost."""
        self._log.info("pool_control_gained", fence=self._lease.fence)
        self._state_by_service.clear()
        self._epochs_used = 0
        self._feed.controls = True
        fence = self._lease.fence
        renewing = self._tasks.spawn(self._renew(), name="pool-lease")
        try:
            while self._lease.held and self._lease.fence == fence:
                self._changed.clear()
                if self._knowledge.vms_age() < LEASE_SECONDS:
                    self._decide()
                try:
                    async with asyncio.timeout(DECIDE_SECONDS):
                        await self._changed.wait()
                except TimeoutError:
                    continue
        finally:
            renewing.cancel()
            self._feed.controls = False
            self._log.info("pool_control_lost", fence=fence)
            self._lease.drop()

    async def _renew(self) -> None:
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
        known = [seen for seen in self._knowledge.vms_by_id.values() if seen.vm.service == service]
        vms = tuple(seen.vm for seen in known)
        view = pool_state.View(
            now=clock.elapsed(),
            vms=vms,
            models=engine.models,
            slots_per_group=engine.slots,
            slots_wanted=demand.slots_wanted(
                self._loads.demand_by_model(), (model.name for model in engine.models)
            ),
            next_epoch=self._lease.fence * EPOCHS_PER_FENCE + self._epochs_used,
            loads_left=self._loads_left(engine.loads_per_second),
            unresponsive=frozenset(self._lost()),
            answering=frozenset(map(_group_of, self._loads.all_writing())),
            changed_at_by_vm={reported_groups.lifetime_id(seen.vm): seen.seen_at for seen in known},
        )
        self._probe_still_groups(vms)
        state = self._state_by_service.get(service, pool_state.State())
        decision = pool.decide(view, state)
        self._state_by_service[service] = decision.state
        self._epochs_used += decision.epochs_used
        self._loads_at.extend([view.now] * decision.loads_used)
        for order in decision.orders:
            self._tasks.spawn(self._give(order, self._lease.fence), name="pool-order")

    # Members that are lost before their entries lapse.

    def _lost(self) -> Iterable[str]:
        now = clock.elapsed()
        self._lost_until = {key: at for key, at in self._lost_until.items() if at > now}
        return self._lost_until

    def _probe_still_groups(self, vms: tuple[catalog.Vm, ...]) -> None:
        """Asks the members of groups that stand still whether they are there."""
        now = clock.elapsed()
        still = {_group_of(target_id) for target_id in self._loads.all_stalled()}
        for name in still:
            members = [vm for vm in vms if vm.member is not None and vm.member.group == name]
            if members and now - self._probed_at.get(name, NEVER) > PROBE_AGAIN_SECONDS:
                self._probed_at[name] = now
                self._tasks.spawn(self._probe(name, members), name="pool-probe")

    async def _probe(self, name: str, members: list[catalog.Vm]) -> None:
        silent = members
        for _ in range(PROBES):
            answers = await asyncio.gather(
                *(self._runners.responds(vm, timeout=PROBE_SECONDS) for vm in silent)
            )
            silent = [vm for vm, answer in zip(silent, answers, strict=True) if not answer]
        self._log.info(
            "still_group_probed",
            group=name,
            members=len(members),
            silent=[vm.vm_id for vm in silent],
        )
        if len(silent) == len(members):
            # As likely this node is cut off as they are; their entries will tell.
            return
        until = clock.elapsed() + LOST_SECONDS
        self._lost_until |= {reported_groups.lifetime_id(vm): until for vm in silent}
        self._changed.set()

    async def _note_release(self, sender: str, message: "ControlReleased") -> None:
        self._look_now.set()

    # Orders.

    def _loads_left(self, loads_per_second: float) -> int:
        now = clock.elapsed()
        while self._loads_at and now - self._loads_at[0] > LOAD_WINDOW_SECONDS:
            self._loads_at.popleft()
        if now < self._unlimited_loads_until:
            return UNLIMITED_LOADS
        return max(0, math.floor(loads_per_second * LOAD_WINDOW_SECONDS) - len(self._loads_at))

    async def _give(self, order: orders.Order, fence: int) -> None:
        if not self._lease.held or self._lease.fence != fence:
            return
        result = await self._runners.send(order, fence=fence, timeout=ORDER_TIMEOUT_SECONDS)
        name = type(result).__name__.lower()
        self._orders.labels(order.kind.value, name).inc()
        self._log.info(
            "pool_order",
            order=order.kind.value,
            vm=order.vm.vm_id,
            group=order.group,
            model=order.model,
            fence=fence,
            result=name,
            reason="" if isinstance(result, orders.Accepted) else result.reason,
        )
        if isinstance(result, orders.Outdated):
            self._note_outdated(order, fence)
        self._changed.set()

    def _note_outdated(self, order: orders.Order, fence: int) -> None:
        """Ends control at once if a runner has taken orders from a later controller.

        A join may also be refused for its epoch, as when two joins overtake each other; whether there
        is a later controller shows at the next renewal, which is made at once.
        """
        if order.kind is orders.Kind.JOIN:
            self._renew_now.set()
        elif self._lease.fence == fence:
            self._log.warning("pool_control_overtaken", fence=fence, vm=order.vm.vm_id)
            self._lease.drop()


def _group_of(target_id: str) -> str:
    """Returns the name of a group by the id that requests are placed with."""
    return target_id.rpartition("@")[0]
