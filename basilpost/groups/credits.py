"""The slots that this node may use on each target: credits from controllers, and static shares.

A cold or ramping target takes work under valid credits only. A warm one gives each node a base share
and lends the rest as credits; when its controller is gone, each node has its static share of the whole.
"""

import asyncio
import dataclasses
import functools
import itertools
import secrets
from collections.abc import Iterable

import prometheus_client

from basilpost.core import clock, data, kernel, names, tasks
from basilpost.groups import controllers, granting, shares, slots, uses
from basilpost.groups import credit_messages as messages
from basilpost.members import directory, peers, standing
from basilpost.settings import schema

_ASKS_PER_CREDIT = 4
_ASK_TIMEOUT_SECONDS = 1.0
_KICK_SECONDS = 0.05
_IDLE_SECONDS = 3.0


class _HeldSlot(slots.Slot):
    """One request in flight."""

    __slots__ = ("_owner", "_use")

    def __init__(self, *, owner: "CreditSlots", use: uses.Use) -> None:
        self._owner = owner
        self._use: uses.Use | None = use

    def release(self, observation: data.Observation) -> None:
        """Gives the slot back once."""
        use, self._use = self._use, None
        if use is not None:
            self._owner.released(use, observation)


@dataclasses.dataclass(kw_only=True)
class _Asker:
    """The task that asks one controller, and the event that makes it ask at once."""

    task: asyncio.Task[None]
    kick: asyncio.Event


class CreditSlots(slots.Slots, kernel.Service):
    """All targets' slots on this node."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._timing = kernel.find(names.SETTINGS, schema.NodeSettings).timing
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._directory = kernel.find(names.DIRECTORY, directory.Directory)
        self._granter = granting.Granter(
            controllers=kernel.find(names.CONTROLLERS, controllers.Controllers),
            peers=self._peers,
            directory=self._directory,
            standing=kernel.find(names.STANDING, standing.Standing),
            timing=self._timing,
        )
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._uses_by_id: dict[str, uses.Use] = {}
        self._holders_by_domain: dict[str, data.Holder] = {}
        self._askers_by_node: dict[str, _Asker] = {}
        self._incarnation = secrets.token_hex(8)
        self._numbers = itertools.count()
        self._asks = prometheus_client.Counter(
            "basilpost_credit_asks", "Messages that ask for credits", registry=kernel.registry
        )
        self._refusals = prometheus_client.Counter(
            "basilpost_slots_refused", "Slots that were not free", registry=kernel.registry
        )
        self._peers.handle(
            messages.InFlightAsk, self._tell_in_flight, reply=messages.InFlightReport
        )
        self._peers.handle(messages.Revoke, self._revoked)
        self._directory.subscribe(self._directory_changed)

    async def start(self) -> None:
        """Begins to grant and to ask for credits."""
        self._directory_changed()
        self._tasks.spawn(self._granter.run(), name="granter")
        self._tasks.spawn(self._ask_regularly(), name="credits")

    async def stop(self) -> None:
        """Stops granting and asking."""
        await self._tasks.close()

    def try_acquire(self, group: data.Group) -> slots.Slot | slots.NoSlot:
        """Takes a slot if one is free; otherwise asks for credits soon."""
        use = self._use(group)
        if self._allowed(use, group) <= use.in_flight:
            use.refused += 1
            if use.unanswered_since is None:
                use.unanswered_since = clock.monotonic()
            self._refusals.inc()
            if not self._is_short(use):
                self._kick(group)
            return slots.NoSlot(reason=f"{group.group_id} has no slot for this node")
        use.in_flight += 1
        use.peak = max(use.peak, use.in_flight)
        use.used_at = clock.monotonic()
        return _HeldSlot(owner=self, use=use)

    def available(self, group: data.Group) -> int:
        """Returns how many slots this node could take now."""
        use = self._use(group)
        return max(0, self._allowed(use, group) - use.in_flight)

    def load(self, group: data.Group) -> float:
        """Returns the load as the controller last told, with this node's changes since then."""
        use = self._use(group)
        limit = max(1, self._limit(group))
        credit = use.credit
        if credit is not None and self._is_recent(credit):
            others = credit.grant.load_percent / 100 - credit.in_flight / limit
            return max(0.0, others) + use.in_flight / limit
        live = self._peers.live_nodes()
        own_share = self._share(group.group_id, live, limit)
        return use.in_flight / max(1, own_share)

    def released(self, use: uses.Use, observation: data.Observation) -> None:
        """Counts a request out and keeps what was seen for the controller."""
        use.in_flight -= 1
        use.used_at = clock.monotonic()
        if observation.failed or not observation.reached:
            use.failed += 1
        elif observation.latency > 0.0:
            use.succeeded += 1
            use.latency_sum += observation.latency
        if observation.cold and use.group.state is not data.GroupState.COLD:
            use.cold = True
            self._bound(use)
            self._kick(use.group)

    # What is allowed.

    def _allowed(self, use: uses.Use, group: data.Group) -> int:
        config = self._directory.config()
        if not group.serving or not config.in_service(group.failure_domain):
            return 0
        credits = self._credits(use, group)
        if group.state is data.GroupState.COLD:
            return credits
        live = self._peers.live_nodes()
        holder = self._holders_by_domain.get(group.fabric_domain)
        if self._is_unanswered(use):
            return max(credits, self._share(group.group_id, live, self._limit(group)))
        if use.bounded:
            return credits
        if holder is None or holder.node_id not in live:
            return self._share(group.group_id, live, self._limit(group))
        return self._base(group) + credits

    def _is_unanswered(self, use: uses.Use) -> bool:
        """Returns True if this node has long wanted slots and no holder grants anything."""
        since = use.unanswered_since
        return since is not None and clock.monotonic() - since > 2 * self._timing.credit

    def _base(self, group: data.Group) -> int:
        limit = shares.base_limit(self._limit(group))
        return self._share(group.group_id, self._peers.live_nodes(), limit)

    def _credits(self, use: uses.Use, group: data.Group) -> int:
        credit = use.credit
        holder = self._holders_by_domain.get(group.fabric_domain)
        if credit is None or holder is None:
            return 0
        current = (credit.grant.generation, credit.grant.fence) == (group.generation, holder.fence)
        if not current or credit.asked_at <= use.bounded_since:
            return 0
        expired = clock.monotonic() >= credit.asked_at + self._timing.credit
        return 0 if expired else credit.grant.credits

    def _limit(self, group: data.Group) -> int:
        service = self._directory.config().services_by_name.get(group.service)
        return service.max_in_flight if service else 0

    def _share(self, group_id: str, live: tuple[str, ...], limit: int) -> int:
        return _static_share(group_id, self._peers.node_id, live, limit)

    def _is_short(self, use: uses.Use) -> bool:
        """Returns True if the controller has just given less than was wanted: asking is no use."""
        credit = use.credit
        if credit is None or credit.asked_at <= use.bounded_since:
            return False
        expired = clock.monotonic() >= credit.asked_at + self._timing.credit
        if expired:
            return False
        base = 0 if use.bounded else self._base(use.group)
        return credit.grant.credits + base < credit.wanted

    def _is_recent(self, credit: uses.Credit) -> bool:
        return clock.monotonic() < credit.asked_at + 2 * self._timing.credit

    def _use(self, group: data.Group) -> uses.Use:
        use = self._uses_by_id.get(group.group_id)
        if use is None:
            use = uses.Use(group=group, bounded=group.state is not data.GroupState.READY)
            self._uses_by_id[group.group_id] = use
        return use

    def _bound(self, use: uses.Use) -> None:
        """Voids all credits on a target and lets it take work under new ones only."""
        use.bounded = True
        use.bounded_since = clock.monotonic()

    def _directory_changed(self) -> None:
        """Follows the groups: one that was seen in any state but READY has to ramp up."""
        tables = self._directory.tables()
        self._holders_by_domain = {
            name: one.holder for name, one in tables.items() if one.holder is not None
        }
        groups = list(itertools.chain.from_iterable(one.groups for one in tables.values()))
        self._note_states(groups)
        ids = {group.group_id for group in groups}
        for group_id in self._uses_by_id.keys() - ids:
            if self._uses_by_id[group_id].in_flight == 0:
                del self._uses_by_id[group_id]

    def _note_states(self, groups: Iterable[data.Group]) -> None:
        """Bounds the targets that are not ready or not in service, until they are granted again."""
        config = self._directory.config()
        for group in groups:
            use = self._uses_by_id.get(group.group_id)
            ready = group.state is data.GroupState.READY and config.in_service(group.failure_domain)
            if not ready:
                use = use or self._use(group)
                if not use.bounded:
                    self._bound(use)
            if use is not None:
                use.group = group

    # Asking for credits.

    def _kick(self, group: data.Group) -> None:
        holder = self._holders_by_domain.get(group.fabric_domain)
        if holder is not None and holder.node_id in self._askers_by_node:
            self._askers_by_node[holder.node_id].kick.set()
        elif holder is not None and holder.node_id:
            self._start_asker(holder.node_id)

    async def _ask_regularly(self) -> None:
        while True:
            for node_id in self._wants_by_holder():
                if node_id not in self._askers_by_node:
                    self._start_asker(node_id)
            await asyncio.sleep(self._timing.credit / _ASKS_PER_CREDIT)

    def _start_asker(self, node_id: str) -> None:
        kick = asyncio.Event()
        task = self._tasks.spawn(self._ask_one(node_id, kick), name=f"credits {node_id}")
        self._askers_by_node[node_id] = _Asker(task=task, kick=kick)

    async def _ask_one(self, node_id: str, kick: asyncio.Event) -> None:
        """Asks one controller as long as this node uses any of its targets."""
        try:
            while in_use := self._wants_by_holder().get(node_id):
                kick.clear()
                await self._ask(node_id, in_use)
                await asyncio.sleep(_KICK_SECONDS)
                try:
                    async with asyncio.timeout(self._pause(in_use)):
                        await kick.wait()
                except TimeoutError:
                    pass
        finally:
            self._askers_by_node.pop(node_id, None)

    def _pause(self, in_use: list[uses.Use]) -> float:
        """Returns the seconds until the next ask: fewer while a target is short of credits."""
        pressing = any(use.bounded or self._is_short(use) for use in in_use)
        return self._timing.credit / (_ASKS_PER_CREDIT if pressing else _ASKS_PER_CREDIT / 2)

    def _wants_by_holder(self) -> dict[str, list[uses.Use]]:
        now = clock.monotonic()
        in_use = (
            use
            for use in self._uses_by_id.values()
            if use.in_flight or use.refused or not use.settled or now - use.used_at < _IDLE_SECONDS
        )
        found: dict[str, list[uses.Use]] = {}
        for use in in_use:
            holder = self._holders_by_domain.get(use.group.fabric_domain)
            if holder is not None and holder.node_id and use.group.serving:
                found.setdefault(holder.node_id, []).append(use)
        return found

    async def _ask(self, node_id: str, in_use: list[uses.Use]) -> None:
        asked_at = clock.monotonic()
        wants = tuple(uses.want_of(use) for use in in_use)
        ask = messages.CreditAsk(
            incarnation=self._incarnation, number=next(self._numbers), wants=wants
        )
        wants_by_id = {want.group_id: want for want in wants}
        for use in in_use:
            # The reply may be lost, and what it granted still counts.
            use.settled = use.settled and not wants_by_id[use.group.group_id].wanted
            uses.begin_period(use)
        self._asks.inc()
        reply = await self._peers.request(node_id, ask, timeout=_ASK_TIMEOUT_SECONDS)
        if not isinstance(reply, messages.CreditReply):
            return
        for grant in reply.grants:
            found = self._uses_by_id.get(grant.group_id)
            if found is not None:
                want = wants_by_id[grant.group_id]
                # An ask that acts on a grant of nothing voids all credits before it.
                acted_on = found.credit
                found.settled = (
                    grant.credits == 0
                    and acted_on is not None
                    and acted_on.number == want.acting_on
                    and acted_on.grant.credits == 0
                )
                credit = uses.Credit(
                    grant=grant,
                    number=ask.number,
                    asked_at=asked_at,
                    in_flight=want.in_flight,
                    wanted=want.wanted,
                )
                self._granted(found, credit)

    def _granted(self, use: uses.Use, credit: uses.Credit) -> None:
        if credit.asked_at <= use.bounded_since:
            return
        use.credit = credit
        use.unanswered_since = None
        use.bounded = credit.grant.bounded

    async def _revoked(self, node_id: str, revoke: messages.Revoke) -> None:
        use = self._uses_by_id.get(revoke.group_id)
        holder = self._holders_by_domain.get(use.group.fabric_domain) if use else None
        if use is None or holder is None or revoke.fence < holder.fence:
            return
        self._bound(use)
        self._kick(use.group)

    async def _tell_in_flight(
        self, node_id: str, ask: messages.InFlightAsk
    ) -> messages.InFlightReport:
        counts = (
            messages.InFlight(group_id=group_id, count=use.in_flight)
            for group_id, use in sorted(self._uses_by_id.items())
            if use.in_flight and use.group.fabric_domain == ask.fabric_domain
        )
        return messages.InFlightReport(in_flight=tuple(counts))


@functools.lru_cache(maxsize=4096)
def _static_share(group_id: str, node_id: str, live: tuple[str, ...], limit: int) -> int:
    return shares.static_share(group_id, node_id, live, limit)
