"""Controls one fabric domain, in rounds of one task.

In each round the task claims or confirms the domain, plans the next table, writes it and sends
orders.
"""

import asyncio
import dataclasses
import uuid
from collections.abc import Iterable

import structlog

from basilpost.core import clock, data, hashing
from basilpost.groups import (
    authority,
    cross_domain,
    domain_pins,
    fabric_table,
    forming,
    order_sender,
    planner,
    vm_prober,
)
from basilpost.groups import context as contexts
from basilpost.groups import view as views
from basilpost.members import standing


class DomainController:
    """One node's controller of one fabric domain; it acts only while the node holds the domain."""

    def __init__(self, *, fabric_domain: str, context: contexts.Context) -> None:
        self.fabric_domain = fabric_domain
        self._context = context
        self._log = structlog.get_logger().bind(
            node=context.peers.node_id, fabric_domain=fabric_domain
        )
        self._started_at = clock.monotonic()
        self._confirmed_table: fabric_table.VersionedTable | None = None
        self._live_nodes: tuple[str, ...] = ()
        self._preferred_node: str | None = None
        self._in_round = False
        self._stopping = False
        self._prober = vm_prober.VmProber(
            runner_client=context.runner_client,
            interval=context.timing.probe,
            timeout=context.timing.probe_timeout,
        )
        self._since_by_condition: dict[views.Condition, float] = {}
        self._pins = domain_pins.DomainPins(store=context.store, fabric_domain=fabric_domain)
        self.authority = authority.Authority(
            node_id=context.peers.node_id,
            timing=context.timing,
            lease_remaining=context.lease_remaining,
        )
        self._sender = order_sender.OrderSender(
            context=context,
            authority=self.authority,
            on_accepted=self._prober.probe_now,
            log=self._log,
        )

    @property
    def confirmed_table(self) -> fabric_table.VersionedTable | None:
        """Returns the latest table that was read or written, None if it has to be read again."""
        return self._confirmed_table

    @property
    def is_holder(self) -> bool:
        """Returns True if the latest confirmed table names this process as the holder."""
        return self._confirmed_table is not None and self.authority.holds(
            self._confirmed_table.table
        )

    def probes_by_id(self) -> dict[str, views.ProbeResult]:
        """Returns the latest probe results of the domain's VMs; empty unless this node holds it."""
        return self._prober.probes_by_id()

    async def run(self) -> None:
        """Runs rounds until it is cancelled."""
        try:
            while not self._stopping:
                started_at = clock.monotonic()
                await self._run_round_safely()
                took = clock.monotonic() - started_at
                await asyncio.sleep(max(0.0, self._context.timing.plan - took))
        finally:
            await self._prober.close()

    async def _run_round_safely(self) -> None:
        self._in_round = True
        try:
            await self.run_round()
        except Exception:
            self._log.exception("controller_round_failed")
            self._confirmed_table = None
        self._in_round = False

    def stop_after_round(self) -> None:
        """Makes `run` return after its current round, so that no order is unanswered by then."""
        self._stopping = True

    async def run_round(self) -> None:
        """Runs one round: reads the table, claims or releases the domain, plans, sends orders."""
        if isinstance(self._context.standing.check(), standing.NotServing):
            return
        preferred = self._is_preferred()
        if not preferred and not self._may_be_holder():
            return
        if not await self._refresh_table():
            return
        if not preferred and not (self.is_holder and not self.authority.earlier_orders_expired()):
            self._in_round = False
            await self.step_down()
            return
        if not self.is_holder and not await self._claim_domain():
            return
        await self._plan_and_order()

    def _is_preferred(self) -> bool:
        live = self._context.peers.live_nodes()
        if live != self._live_nodes:
            self._live_nodes = live
            self._preferred_node = hashing.rendezvous_choice(self.fabric_domain, live)
        return self._preferred_node == self._context.peers.node_id

    def _may_be_holder(self) -> bool:
        """Returns True if this process has claimed the domain, or its table names this node."""
        if self.authority.fence is not None:
            return True
        seen = self._context.directory.tables().get(self.fabric_domain)
        holder = seen.holder if seen else None
        return holder is not None and holder.node_id == self._context.peers.node_id

    async def _refresh_table(self) -> bool:
        """Reads the table if a newer version is known of or the holder's entry has to be confirmed.

        Returns:
            True if the round may go on with the table.
        """
        known = self._confirmed_table
        seen = self._context.replica.get(fabric_table.key_of(self.fabric_domain))
        newer = seen is not None and (known is None or seen.version > known.version)
        stale = self.is_holder and self._confirmation_due()
        if known is not None and not newer and not stale:
            return True
        asked_at = clock.monotonic()
        found = await fabric_table.read(
            self._context.store, self.fabric_domain, timeout=self._context.timing.order
        )
        if isinstance(found, fabric_table.Unconfirmed | fabric_table.Malformed):
            self._log.warning("table_unread", reason=found.reason)
            return self._confirmed_table is not None and self.is_holder
        if known is not None and found.version < known.version:
            return True
        self._confirmed_table = found
        if self.authority.holds(found.table):
            self.authority.record_confirmation(asked_at=asked_at)
        elif self.authority.fence is not None:
            self._log.warning("control_lost", version=found.version)
            await self._reset()
        return True

    def _confirmation_due(self) -> bool:
        age = clock.monotonic() - self.authority.confirmed_at
        return age >= self._context.timing.lease / 3

    async def _reset(self) -> None:
        self.authority.clear()
        self._sender.reset()
        self._since_by_condition.clear()
        self._pins.reset()
        await self._prober.close()

    async def step_down(self) -> None:
        """Releases the domain, so that its next holder need not wait.

        The domain is kept while an order of this or an earlier holder may be in flight, since the
        next holder has to wait for it.
        """
        known = self._confirmed_table
        if known is None or known.table.holder is None:
            return
        mine = known.table.holder.node_id == self._context.peers.node_id
        safe = (
            self.authority.earlier_orders_expired()
            if self.is_holder
            else self._earlier_process_expired()
        )
        if not mine or not safe or self._in_round:
            return
        await self._write_table(authority.without_holder(known.table))
        await self._reset()

    def _earlier_process_expired(self) -> bool:
        """Returns True if no order of an earlier process of this node can still be in flight."""
        timing = self._context.timing
        return clock.monotonic() - self._started_at >= timing.lease + timing.order

    async def _claim_domain(self) -> bool:
        """Claims the domain unless another live node holds it; returns True if confirmed."""
        known = self._confirmed_table
        if known is None:
            return False
        holder = known.table.holder
        others = set(self._context.peers.live_nodes()) - {self._context.peers.node_id}
        if holder is not None and holder.node_id in others:
            return False
        asked_at = clock.monotonic()
        claimed = authority.with_holder(known.table, self._context.peers.node_id)
        if not await self._write_table(claimed):
            return False
        self.authority.record_claim(known.table, claimed, asked_at=asked_at)
        self._log.info("control_taken", fence=self.authority.fence)
        return True

    async def _write_table(self, wanted: data.FabricTable) -> bool:
        known = self._confirmed_table
        if known is None:
            return False
        asked_at = clock.monotonic()
        written = await fabric_table.write(
            self._context.store, self._context.replica, wanted, version=known.version
        )
        if isinstance(written, fabric_table.VersionedTable):
            self._confirmed_table = written
            if self.authority.holds(written.table):
                self.authority.record_confirmation(asked_at=asked_at)
            return True
        self._log.info("table_unwritten", reason=written.reason, version=known.version)
        self._confirmed_table = None
        return False

    async def _plan_and_order(self) -> None:
        known = self._confirmed_table
        if known is None:
            return
        self._prober.set_vms(self._vms_to_probe(known.table))
        self._update_conditions(known.table)
        view = self._build_view(known)
        if self._sender.refused_vms:
            await self._raise_fence(known.table, view)
            return
        plan = self._context.plan(view)
        self._prober.probe_often(_awaited_vms(plan))
        if plan.table != known.table:
            newcomers = set(views.member_ids(plan.table.groups)) - set(
                views.member_ids(known.table.groups)
            )
            if not await self._pins.pin(newcomers):
                return
            if not await self._write_table(plan.table):
                return
            self._log_changes(known.table, plan.table)
        elif (
            view.in_force_everywhere
            and self.authority.earlier_orders_expired()
            and self.authority.remaining() > 0.0
        ):
            members = set(views.member_ids(known.table.groups))
            await self._pins.release_unlisted(members=members, listed=set(self._own_vms()))
        await self._sender.send(plan.orders, view.probes_by_id)

    async def _raise_fence(self, current: data.FabricTable, view: views.View) -> None:
        """Raises this holder's fencing number above those of the runners that refused its orders.

        A runner may have seen a higher number in another fabric domain. If the number came from a
        later holder of this domain instead, the conditional update fails.
        """
        statuses = (views.current_status(view, vm_id) for vm_id in self._sender.refused_vms)
        highest_seen = max((status.fence for status in statuses if status is not None), default=0)
        self._sender.refused_vms.clear()
        holder = current.holder
        if holder is None or highest_seen <= holder.fence:
            return
        raised = dataclasses.replace(holder, fence=highest_seen + 1)
        if await self._write_table(dataclasses.replace(current, holder=raised)):
            self.authority.record_fence(raised.fence)

    def _own_vms(self) -> dict[str, data.Vm]:
        return {
            vm_id: vm
            for vm_id, vm in self._context.vms_by_id().items()
            if vm.fabric_domain == self.fabric_domain
        }

    def _vms_to_probe(self, current: data.FabricTable) -> Iterable[vm_prober.ProbedVm]:
        services = self._context.directory.config().services_by_name.values()
        kinds_by_pool = {service.pool: service.kind for service in services}
        plain = data.ServiceKind.PLAIN
        listed = {
            vm.vm_id: vm_prober.ProbedVm(
                vm_id=vm.vm_id, address=vm.address, plain=kinds_by_pool[vm.pool] is plain
            )
            for vm in self._own_vms().values()
            if vm.pool in kinds_by_pool
        }
        members = {
            member.vm_id: vm_prober.ProbedVm(
                vm_id=member.vm_id, address=member.address, plain=not group.model
            )
            for group in current.groups
            for member in group.members
        }
        return (listed | members).values()

    def _update_conditions(self, current: data.FabricTable) -> None:
        """Updates since when each condition has held; drops those that no longer hold."""
        draining = (
            views.Condition(kind=views.ConditionKind.DRAINING, subject=group.group_id)
            for group in current.groups
            if group.state is data.GroupState.DRAINING
        )
        leaving = (
            views.Condition(kind=views.ConditionKind.LEAVING, subject=vm.vm_id)
            for vm in self._own_vms().values()
            if vm.leaving
        )
        now = clock.monotonic()
        self._since_by_condition = {
            condition: self._since_by_condition.get(condition, now)
            for condition in [*draining, *leaving]
        }

    def _build_view(self, known: fabric_table.VersionedTable) -> views.View:
        config = self._context.directory.config()
        services = config.services_by_name
        now = clock.monotonic()
        pinned_elsewhere = self._pins.pinned_elsewhere()
        members = set(views.member_ids(known.table.groups))
        vms = self._context.vms_by_id()
        tables = {**self._context.directory.tables(), self.fabric_domain: known.table}
        by_service = cross_domain.groups_by_service(tables.values())
        return views.View(
            table=known.table,
            now=now,
            vms_by_id={
                vm_id: vm
                for vm_id, vm in self._own_vms().items()
                if vm_id in members or vm_id not in pinned_elsewhere
            },
            probes_by_id=self._prober.probes_by_id(),
            services_by_name=services,
            in_force_everywhere=self._context.standing.acknowledged_by_all(
                fabric_table.key_of(self.fabric_domain), known.version
            ),
            suspicion_seconds=self._context.timing.suspicion,
            drain_seconds=self._context.drain_seconds,
            since_by_condition=self._since_by_condition,
            rolling_update_ids=cross_domain.rolling_update_ids(by_service, services),
            surplus_ids=cross_domain.surplus_ids(by_service, services.values()),
            quotas_by_service=forming.quotas(
                services.values(), vms.values(), fabric_domain=self.fabric_domain
            ),
            unserved_share_by_service=cross_domain.unserved_shares(by_service, services.values()),
            new_id=lambda service: f"{service}-{uuid.uuid4().hex[:12]}",
        )

    def _log_changes(self, before: data.FabricTable, after: data.FabricTable) -> None:
        states_by_id = {group.group_id: group.state for group in before.groups}
        for group in after.groups:
            if states_by_id.get(group.group_id) is not group.state:
                self._log.info(
                    "group_state",
                    group=group.group_id,
                    generation=group.generation,
                    state=group.state.value,
                )
        for group_id in states_by_id.keys() - {group.group_id for group in after.groups}:
            self._log.info("group_gone", group=group_id)


def _awaited_vms(plan: planner.Plan) -> set[str]:
    """Returns the ids of the VMs whose next status a group or an order waits for."""
    changing = (group for group in plan.table.groups if not group.serving)
    return {*views.member_ids(changing), *(order.vm_id for order in plan.orders)}
