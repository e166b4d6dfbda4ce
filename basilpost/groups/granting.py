"""The controller's side of credits: the only granter for the targets of the domains that it holds.

A new holder grants nothing on a cold target before every node that may still dispatch knows of the
new holder, which voids the credits of the old one, and has then reported what it has in flight.
"""

import asyncio
import dataclasses

import structlog

from basilpost.core import clock, data, tasks
from basilpost.groups import accounts as bookkeeping
from basilpost.groups import controllers, domain_controller, fabric_table, ramp, runner_api, shares
from basilpost.groups import credit_messages as messages
from basilpost.members import directory, peers, standing
from basilpost.settings import schema

_TURN_SECONDS = 1.0
_HINT_SECONDS = 3.0
_COLLECT_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass(kw_only=True)
class _Target:
    """What the granter keeps of one target.

    Attributes:
        group: The target.
        limits: Its service's limits.
        ramp: Its present limit.
        accounts: What each node may have in flight there.
        cold_hint_until: Until when a node's word that the target is cold goes before the table.
    """

    group: data.Group
    limits: ramp.Limits
    ramp: ramp.Ramp
    accounts: bookkeeping.Accounts = dataclasses.field(default_factory=bookkeeping.Accounts)
    cold_hint_until: float = 0.0

    @property
    def bounded(self) -> bool:
        """Returns True while the target takes work under credits only."""
        return ramp.bounded(self.ramp, self.limits)


@dataclasses.dataclass(kw_only=True)
class _Term:
    """One term of this node as a domain's holder.

    Attributes:
        held: The domain's controller.
        fence: Fencing number of the term.
        version: Version of the table that began it, or a later one.
        reported: Nodes that have reported what they have in flight.
        asking: Nodes that are being asked.
        opened: True once all live nodes had reported.
        targets_by_id: Targets by group id.
    """

    held: domain_controller.DomainController
    fence: int
    version: int
    reported: set[str] = dataclasses.field(default_factory=set)
    asking: set[str] = dataclasses.field(default_factory=set)
    opened: bool = False
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
        self._terms_by_domain: dict[str, _Term] = {}
        self._latest_by_node: dict[str, tuple[str, int]] = {}
        self._log = structlog.get_logger().bind(node=peers.node_id)
        self._tasks = tasks.TaskSet(log=self._log)
        peers.handle(messages.CreditAsk, self._asked, reply=messages.CreditReply)

    async def run(self) -> None:
        """Keeps the terms up to date until it is cancelled."""
        try:
            while True:
                self.refresh()
                await asyncio.sleep(self._timing.plan)
        finally:
            await self._tasks.close()

    def refresh(self) -> None:
        """Follows the tables and the engines' reports of the domains that this node holds."""
        held = {
            one.fabric_domain: one for one in self._controllers.domain_controllers() if _grants(one)
        }
        for name in self._terms_by_domain.keys() - held.keys():
            del self._terms_by_domain[name]
        for name, one in held.items():
            self._refresh_term(self._term(name, one))

    def _term(self, name: str, held: domain_controller.DomainController) -> _Term:
        fence = held.authority.fence or 0
        known = self._terms_by_domain.get(name)
        if known is None or known.fence != fence or known.held is not held:
            version = held.confirmed_table.version if held.confirmed_table else 0
            known = _Term(held=held, fence=fence, version=version)
            self._terms_by_domain[name] = known
        return known

    def _refresh_term(self, term: _Term) -> None:
        if term.held.confirmed_table is None:
            return
        groups_by_id = {group.group_id: group for group in term.held.confirmed_table.table.groups}
        for group_id in term.targets_by_id.keys() - groups_by_id.keys():
            del term.targets_by_id[group_id]
        live = set(self._peers.live_nodes())
        term.reported &= live
        for group in groups_by_id.values():
            self._refresh_target(term, group, live)
        self._restart_idle(term)
        key = fabric_table.key_of(term.held.fabric_domain)
        if not self._standing.acknowledged_by_all(key, term.version):
            return
        for node_id in sorted(live - term.reported - term.asking):
            term.asking.add(node_id)
            self._tasks.spawn(self._collect(term, node_id), name=f"in-flight {node_id}")
        if not term.opened and live <= term.reported:
            self._open(term)

    def _refresh_target(self, term: _Term, group: data.Group, live: set[str]) -> None:
        limits = self._limits(group)
        if limits is None or not group.serving:
            return
        now = clock.monotonic()
        cold = group.state is data.GroupState.COLD
        status = _status(term, group)
        target = term.targets_by_id.get(group.group_id)
        if target is None or target.group.generation != group.generation:
            start = ramp.fresh(limits, cold=cold, now=now)
            target = _Target(group=group, limits=limits, ramp=start)
            term.targets_by_id[group.group_id] = target
            if status is not None:
                target.accounts.find_ghosts(status.in_flight, now=now)
        target.group = group
        target.limits = limits
        cold = cold or now < target.cold_hint_until
        target.ramp = ramp.with_state(target.ramp, limits, cold=cold, now=now)
        target.accounts.lose(target.accounts.by_node.keys() - live, now=now)
        if status is not None:
            asked_at = term.held.probes_by_id()[group.members[0].vm_id].asked_at
            target.accounts.engine_report(status.in_flight, asked_at=asked_at)

    def _restart_idle(self, term: _Term) -> None:
        """Holds targets that are out of service at the start of their ramp, for their return."""
        config = self._directory.config()
        now = clock.monotonic()
        for target in term.targets_by_id.values():
            if not config.in_service(target.group.failure_domain):
                target.ramp = ramp.fresh(target.limits, cold=target.ramp.cold, now=now)

    def _limits(self, group: data.Group) -> ramp.Limits | None:
        service = self._directory.config().services_by_name.get(group.service)
        if service is None:
            return None
        return ramp.Limits(
            cold=min(service.cold_max_in_flight, service.max_in_flight),
            warm=service.max_in_flight,
            seconds=service.cold_seconds,
        )

    async def _collect(self, term: _Term, node_id: str) -> None:
        """Asks a node what it has in flight in a domain."""
        found = await self._peers.request(
            node_id,
            messages.InFlightAsk(fabric_domain=term.held.fabric_domain),
            timeout=_COLLECT_TIMEOUT_SECONDS,
        )
        term.asking.discard(node_id)
        if not isinstance(found, messages.InFlightReport):
            return
        term.reported.add(node_id)
        now = clock.monotonic()
        for one in found.in_flight:
            target = term.targets_by_id.get(one.group_id)
            if target is not None and node_id not in target.accounts.by_node:
                target.accounts.report(node_id, in_flight=one.count, wanted=one.count, now=now)

    def _open(self, term: _Term) -> None:
        """Begins to grant, once all that is in flight is accounted for."""
        now = clock.monotonic()
        for target in term.targets_by_id.values():
            status = _status(term, target.group)
            if status is None:
                return
            target.accounts.find_ghosts(status.in_flight, now=now)
            if not target.ramp.cold:
                found = target.accounts.reported() + target.accounts.ghosts
                target.ramp = ramp.proven(target.limits, in_flight=found, now=now)
        term.opened = True

    async def _asked(self, node_id: str, ask: messages.CreditAsk) -> messages.CreditReply:
        """Grants what a node may have of what it wants."""
        incarnation, number = self._latest_by_node.get(node_id, ("", -1))
        late = incarnation == ask.incarnation and ask.number <= number
        if late or node_id not in self._peers.live_nodes():
            return messages.CreditReply(grants=())
        self._latest_by_node[node_id] = (ask.incarnation, ask.number)
        grants = (self._granted(node_id, ask.number, want) for want in ask.wants)
        return messages.CreditReply(grants=tuple(one for one in grants if one is not None))

    def _granted(self, node_id: str, number: int, want: messages.Want) -> messages.Grant | None:
        found = self._find(want.group_id)
        if found is None:
            return None
        term, target = found
        if want.generation != target.group.generation:
            return None
        now = clock.monotonic()
        self._take_results(term, target, want, now)
        live = self._peers.live_nodes()
        base = self._base(target, node_id, live)
        target.accounts.report(
            node_id,
            in_flight=max(0, want.in_flight - base),
            wanted=max(0, want.wanted - base),
            now=now,
            acting_on=want.acting_on,
        )
        credits = self._credits(target, node_id, live, now)
        if target.bounded and not set(live) <= term.reported:
            credits = 0
        granted = bookkeeping.Granted(
            number=number, credits=credits, expires_at=now + self._timing.credit
        )
        target.accounts.grant(node_id, granted)
        limit = ramp.limit(target.ramp, target.limits)
        status = _status(term, target.group)
        reported = status.in_flight if status else 0
        return messages.Grant(
            group_id=want.group_id,
            generation=want.generation,
            fence=term.fence,
            credits=credits,
            bounded=target.bounded,
            load_percent=100 * max(reported, target.accounts.reported()) // max(1, limit),
        )

    def _find(self, group_id: str) -> tuple[_Term, _Target] | None:
        """Returns the target if this node may grant credits on it at this moment."""
        for term in self._terms_by_domain.values():
            target = term.targets_by_id.get(group_id)
            if target is not None:
                current = term.opened and _grants(term.held)
                return (term, target) if current else None
        return None

    def _take_results(self, term: _Term, target: _Target, want: messages.Want, now: float) -> None:
        """Takes in what a node saw of a target, and revokes all credits if it has fallen cold."""
        was_bounded = target.bounded
        if want.cold:
            target.cold_hint_until = now + _HINT_SECONDS
            target.ramp = ramp.with_state(target.ramp, target.limits, cold=True, now=now)
        results = ramp.Results(
            succeeded=want.succeeded, failed=want.failed, latency=want.latency_ms / 1000
        )
        target.ramp = ramp.with_results(target.ramp, target.limits, results, now=now)
        if target.bounded and not was_bounded:
            self._revoke(term, target)

    def _revoke(self, term: _Term, target: _Target) -> None:
        self._log.info("credits_revoked", group=target.group.group_id)
        revoke = messages.Revoke(
            group_id=target.group.group_id,
            generation=target.group.generation,
            fence=term.fence,
        )
        for node_id in self._peers.live_nodes():
            self._peers.send(node_id, revoke)

    def _base(self, target: _Target, node_id: str, live: tuple[str, ...]) -> int:
        if target.bounded:
            return 0
        limit = shares.base_limit(target.limits.warm)
        return shares.static_share(target.group.group_id, node_id, live, limit)

    def _credits(self, target: _Target, node_id: str, live: tuple[str, ...], now: float) -> int:
        limit = ramp.limit(target.ramp, target.limits)
        if not target.bounded:
            limit -= shares.base_total(len(live), shares.base_limit(target.limits.warm))
        wanted_by_node = {
            one: account.wanted
            for one, account in target.accounts.by_node.items()
            if account.wanted and now - account.heard_at <= self._timing.credit
        }
        if node_id not in wanted_by_node:
            return 0
        turn = int(now / _TURN_SECONDS)
        share = shares.fair_share(target.group.group_id, node_id, wanted_by_node, limit, turn)
        return max(0, min(share, limit - target.accounts.held_by_others(node_id)))


def _status(term: _Term, group: data.Group) -> runner_api.RunnerStatus | None:
    """Returns the status of the runner that receives a group's requests, if it answers."""
    probe = term.held.probes_by_id().get(group.members[0].vm_id)
    return None if probe is None or probe.silent else probe.status


def _grants(held: domain_controller.DomainController) -> bool:
    return held.is_holder and held.authority.remaining() > 0.0
