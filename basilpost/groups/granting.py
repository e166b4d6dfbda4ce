"""The controller's side of credits: grants them on the targets of the fabric domains that it holds.

No other node grants credits on these targets. A new holder grants none until every node that may
still dispatch knows of the new holder, which voids the credits of the old one, and has then
reported its requests in flight.
"""

import asyncio
import dataclasses

import structlog

from basilpost.core import clock, data, tasks
from basilpost.groups import (
    controllers,
    credit_accounts,
    domain_controller,
    fabric_table,
    ramp,
    runner_api,
    shares,
)
from basilpost.groups import credit_messages as messages
from basilpost.members import directory, peers, standing
from basilpost.settings import schema

# How long some nodes get the slots that remain after division, before others get them.
_REMAINDER_ROTATION_SECONDS = 1.0
# How long a node's report that a target is cold takes precedence over the group table.
_COLD_REPORT_SECONDS = 3.0
_COLLECT_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass(kw_only=True)
class _Target:
    """A target on which this node grants credits.

    Attributes:
        group: The target, as in the group table of its fabric domain.
        limits: Limits that its service sets.
        ramp: Present limit on its requests in flight.
        accounts: What each node may have in flight there.
        reported_cold_until: Until when it counts as cold because a node reported so, whatever its
            group table says.
    """

    group: data.Group
    limits: ramp.Limits
    ramp: ramp.Ramp
    accounts: credit_accounts.TargetAccounts = dataclasses.field(
        default_factory=credit_accounts.TargetAccounts
    )
    reported_cold_until: float = 0.0

    @property
    def credits_only(self) -> bool:
        """Returns True while the target accepts requests under credits only."""
        return ramp.credits_only(self.ramp, self.limits)


@dataclasses.dataclass(kw_only=True)
class _HolderTerm:
    """One term of this node as the holder of a fabric domain.

    Attributes:
        controller: Controller of the domain.
        fence: Fencing number of the term.
        version: Version of the group table that started the term, or a later one.
        reported_nodes: Live nodes that have reported their requests in flight.
        pending_nodes: Nodes that were asked for them and have not replied yet.
        is_granting: True once all live nodes have reported.
        targets_by_id: Targets by group id.
    """

    controller: domain_controller.DomainController
    fence: int
    version: int
    reported_nodes: set[str] = dataclasses.field(default_factory=set)
    pending_nodes: set[str] = dataclasses.field(default_factory=set)
    is_granting: bool = False
    targets_by_id: dict[str, _Target] = dataclasses.field(default_factory=dict)


class Granter:
    """Grants credits on the targets of all fabric domains that this node holds."""

    def __init__(
        self,
        *,
        controllers: controllers.Controllers,
        peers: peers.PeerNetwork,
        directory: directory.Directory,
        standing: standing.Standing,
        timing: schema.Timing,
    ) -> None:
        self._controllers = controllers
        self._peers = peers
        self._directory = directory
        self._standing = standing
        self._timing = timing
        self._terms_by_domain: dict[str, _HolderTerm] = {}
        self._latest_ask_by_node: dict[str, tuple[str, int]] = {}
        self._log = structlog.get_logger().bind(node=peers.node_id)
        self._tasks = tasks.TaskSet(log=self._log)
        peers.handle(messages.CreditAsk, self._handle_ask, reply=messages.CreditReply)

    async def run(self) -> None:
        """Keeps the terms up to date until it is cancelled."""
        try:
            while True:
                self.refresh()
                await asyncio.sleep(self._timing.plan)
        finally:
            await self._tasks.close()

    def refresh(self) -> None:
        """Updates terms and targets from the group tables and the runners' reports."""
        controllers_by_domain = {
            controller.fabric_domain: controller
            for controller in self._controllers.domain_controllers()
            if _may_grant(controller)
        }
        for name in self._terms_by_domain.keys() - controllers_by_domain.keys():
            del self._terms_by_domain[name]
        for name, controller in controllers_by_domain.items():
            self._refresh_term(self._term(name, controller))

    def _term(self, name: str, controller: domain_controller.DomainController) -> _HolderTerm:
        fence = controller.authority.fence or 0
        term = self._terms_by_domain.get(name)
        if term is None or term.fence != fence or term.controller is not controller:
            version = controller.confirmed_table.version if controller.confirmed_table else 0
            term = _HolderTerm(controller=controller, fence=fence, version=version)
            self._terms_by_domain[name] = term
        return term

    def _refresh_term(self, term: _HolderTerm) -> None:
        if term.controller.confirmed_table is None:
            return
        groups_by_id = {
            group.group_id: group for group in term.controller.confirmed_table.table.groups
        }
        for group_id in term.targets_by_id.keys() - groups_by_id.keys():
            del term.targets_by_id[group_id]
        live = set(self._peers.live_nodes())
        term.reported_nodes &= live
        for group in groups_by_id.values():
            self._refresh_target(term, group, live)
        self._restart_out_of_service(term)
        key = fabric_table.key_of(term.controller.fabric_domain)
        if not self._standing.acknowledged_by_all(key, term.version):
            return
        for node_id in sorted(live - term.reported_nodes - term.pending_nodes):
            term.pending_nodes.add(node_id)
            self._tasks.spawn(self._collect_in_flight(term, node_id), name=f"in-flight {node_id}")
        if not term.is_granting and live <= term.reported_nodes:
            self._start_granting(term)

    def _refresh_target(self, term: _HolderTerm, group: data.Group, live: set[str]) -> None:
        limits = self._limits(group)
        if limits is None or not group.serving:
            return
        now = clock.monotonic()
        cold = group.state is data.GroupState.COLD
        status = _status(term, group)
        target = term.targets_by_id.get(group.group_id)
        if target is None or target.group.generation != group.generation:
            start = ramp.initial(limits, cold=cold, now=now)
            target = _Target(group=group, limits=limits, ramp=start)
            term.targets_by_id[group.group_id] = target
            if status is not None:
                target.accounts.count_unattributed(status.in_flight, now=now)
        target.group = group
        target.limits = limits
        cold = cold or now < target.reported_cold_until
        target.ramp = ramp.with_state(target.ramp, limits, cold=cold, now=now)
        target.accounts.remove_nodes(target.accounts.by_node.keys() - live, now=now)
        if status is not None:
            asked_at = term.controller.probes_by_id()[group.members[0].vm_id].asked_at
            target.accounts.apply_runner_report(status.in_flight, asked_at=asked_at)

    def _restart_out_of_service(self, term: _HolderTerm) -> None:
        """Keeps targets that are out of service at the start of their ramp, for their return."""
        config = self._directory.config()
        now = clock.monotonic()
        for target in term.targets_by_id.values():
            if not config.in_service(target.group.failure_domain):
                target.ramp = ramp.initial(target.limits, cold=target.ramp.cold, now=now)

    def _limits(self, group: data.Group) -> ramp.Limits | None:
        service = self._directory.config().services_by_name.get(group.service)
        if service is None:
            return None
        return ramp.Limits(
            cold=min(service.cold_max_in_flight, service.max_in_flight),
            warm=service.max_in_flight,
            ramp_seconds=service.cold_seconds,
        )

    async def _collect_in_flight(self, term: _HolderTerm, node_id: str) -> None:
        """Asks a node for its requests in flight in the domain and enters them in its accounts."""
        report = await self._peers.request(
            node_id,
            messages.InFlightAsk(fabric_domain=term.controller.fabric_domain),
            timeout=_COLLECT_TIMEOUT_SECONDS,
        )
        term.pending_nodes.discard(node_id)
        if not isinstance(report, messages.InFlightReport):
            return
        term.reported_nodes.add(node_id)
        now = clock.monotonic()
        for entry in report.in_flight:
            target = term.targets_by_id.get(entry.group_id)
            if target is not None and node_id not in target.accounts.by_node:
                target.accounts.record_report(
                    node_id, in_flight=entry.count, wanted=entry.count, now=now
                )

    def _start_granting(self, term: _HolderTerm) -> None:
        """Starts to grant, unless a runner's count of requests in flight is not known yet."""
        now = clock.monotonic()
        for target in term.targets_by_id.values():
            status = _status(term, target.group)
            if status is None:
                return
            target.accounts.count_unattributed(status.in_flight, now=now)
            if not target.ramp.cold:
                in_flight = target.accounts.total_reported() + target.accounts.unattributed
                target.ramp = ramp.resumed(target.limits, in_flight=in_flight, now=now)
        term.is_granting = True

    async def _handle_ask(self, node_id: str, ask: messages.CreditAsk) -> messages.CreditReply:
        """Replies to a node's ask with the credits it may have; grants none on late asks."""
        incarnation, number = self._latest_ask_by_node.get(node_id, ("", -1))
        late = incarnation == ask.incarnation and ask.number <= number
        if late or node_id not in self._peers.live_nodes():
            return messages.CreditReply(grants=())
        self._latest_ask_by_node[node_id] = (ask.incarnation, ask.number)
        grants = (self._make_grant(node_id, ask.number, want) for want in ask.wants)
        return messages.CreditReply(grants=tuple(grant for grant in grants if grant is not None))

    def _make_grant(self, node_id: str, number: int, want: messages.Want) -> messages.Grant | None:
        found = self._find(want.group_id)
        if found is None:
            return None
        term, target = found
        if want.generation != target.group.generation:
            return None
        now = clock.monotonic()
        self._apply_results(term, target, want, now)
        live = self._peers.live_nodes()
        base = self._base_share(target, node_id, live)
        target.accounts.record_report(
            node_id,
            in_flight=max(0, want.in_flight - base),
            wanted=max(0, want.wanted - base),
            now=now,
            acting_on=want.acting_on,
        )
        credits = self._credits(target, node_id, live, now)
        if target.credits_only and not set(live) <= term.reported_nodes:
            credits = 0
        granted = credit_accounts.OutstandingGrant(
            number=number, credits=credits, expires_at=now + self._timing.credit
        )
        target.accounts.record_grant(node_id, granted)
        limit = ramp.limit(target.ramp, target.limits)
        status = _status(term, target.group)
        reported = status.in_flight if status else 0
        return messages.Grant(
            group_id=want.group_id,
            generation=want.generation,
            fence=term.fence,
            credits=credits,
            bounded=target.credits_only,
            load_percent=100 * max(reported, target.accounts.total_reported()) // max(1, limit),
        )

    def _find(self, group_id: str) -> tuple[_HolderTerm, _Target] | None:
        """Returns a target and its term, None if this node may not grant credits on it now."""
        for term in self._terms_by_domain.values():
            target = term.targets_by_id.get(group_id)
            if target is not None:
                current = term.is_granting and _may_grant(term.controller)
                return (term, target) if current else None
        return None

    def _apply_results(
        self, term: _HolderTerm, target: _Target, want: messages.Want, now: float
    ) -> None:
        """Applies results that a node saw to a target's ramp; revokes all credits if it fell."""
        was_credits_only = target.credits_only
        if want.cold:
            target.reported_cold_until = now + _COLD_REPORT_SECONDS
            target.ramp = ramp.with_state(target.ramp, target.limits, cold=True, now=now)
        results = ramp.Results(
            succeeded=want.succeeded, failed=want.failed, latency=want.latency_ms / 1000
        )
        target.ramp = ramp.with_results(target.ramp, target.limits, results, now=now)
        if target.credits_only and not was_credits_only:
            self._revoke(term, target)

    def _revoke(self, term: _HolderTerm, target: _Target) -> None:
        self._log.info("credits_revoked", group=target.group.group_id)
        revoke = messages.Revoke(
            group_id=target.group.group_id,
            generation=target.group.generation,
            fence=term.fence,
        )
        for node_id in self._peers.live_nodes():
            self._peers.send(node_id, revoke)

    def _base_share(self, target: _Target, node_id: str, live: tuple[str, ...]) -> int:
        if target.credits_only:
            return 0
        limit = shares.base_limit(target.limits.warm)
        return shares.static_share(target.group.group_id, node_id, live, limit)

    def _credits(self, target: _Target, node_id: str, live: tuple[str, ...], now: float) -> int:
        limit = ramp.limit(target.ramp, target.limits)
        if not target.credits_only:
            limit -= shares.base_total(len(live), shares.base_limit(target.limits.warm))
        wanted_by_node = {
            other: account.wanted
            for other, account in target.accounts.by_node.items()
            if account.wanted and now - account.reported_at <= self._timing.credit
        }
        if node_id not in wanted_by_node:
            return 0
        turn = int(now / _REMAINDER_ROTATION_SECONDS)
        share = shares.fair_share(target.group.group_id, node_id, wanted_by_node, limit, turn)
        return max(0, min(share, limit - target.accounts.max_in_flight_of_others(node_id)))


def _status(term: _HolderTerm, group: data.Group) -> runner_api.RunnerStatus | None:
    """Returns the status of the runner that receives a group's requests, None if it is silent."""
    probe = term.controller.probes_by_id().get(group.members[0].vm_id)
    return None if probe is None or probe.silent else probe.status


def _may_grant(controller: domain_controller.DomainController) -> bool:
    return controller.is_holder and controller.authority.remaining() > 0.0
