"""The slots that this node may use on each target: credits from controllers, and static shares.

A cold or ramping target accepts requests under valid credits only. Of a warm target, each node has
a base share, and the rest is granted as credits. If its controller is gone, each node has its
static share of the whole limit.

A credit is a permission, valid for the setting `timing.credit`, to have one request in flight on a
target. The controller of a fabric domain is the node that grants the credits on its targets; the
domain's group table records it as the holder. An ask is the message `CreditAsk`, by which a node
reports its use of a controller's targets and what it wants there (one `Want` for each target).
"""

import asyncio
import dataclasses
import functools
import itertools
import secrets
from collections.abc import Iterable

import prometheus_client

from basilpost.core import clock, data, kernel, names, tasks
from basilpost.groups import controllers, granting, shares, slots, target_usage
from basilpost.groups import credit_messages as messages
from basilpost.members import directory, peers, standing
from basilpost.settings import schema

# Asks per credit duration while a target needs credits, half as many otherwise.
_ASKS_PER_CREDIT = 4
_ASK_TIMEOUT_SECONDS = 1.0
_MIN_ASK_INTERVAL_SECONDS = 0.05
# A target counts as in use for this long after a slot on it was last acquired or released.
_IDLE_AFTER_SECONDS = 3.0


class _HeldSlot(slots.Slot):
    """A slot that a request in flight occupies."""

    __slots__ = ("_owner", "_usage")

    def __init__(self, *, owner: "CreditSlots", usage: target_usage.TargetUsage) -> None:
        self._owner = owner
        self._usage: target_usage.TargetUsage | None = usage

    def release(self, observation: data.Observation) -> None:
        """Frees the slot; calls after the first have no effect."""
        usage, self._usage = self._usage, None
        if usage is not None:
            self._owner.record_release(usage, observation)


@dataclasses.dataclass(kw_only=True)
class _AskTask:
    """A task that asks one controller for credits, and the event that makes it ask at once."""

    task: asyncio.Task[None]
    wake: asyncio.Event


class CreditSlots(slots.Slots, kernel.Service):
    """The slots of all targets on this node, limited by credits and static shares.

    A service of the kernel, which starts and stops the components of a node and finds them by name.
    """

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
        self._usages_by_id: dict[str, target_usage.TargetUsage] = {}
        self._holders_by_domain: dict[str, data.Holder] = {}
        self._ask_tasks_by_node: dict[str, _AskTask] = {}
        self._incarnation = secrets.token_hex(8)
        self._ask_numbers = itertools.count()
        self._ask_counter = prometheus_client.Counter(
            "basilpost_credit_asks", "Messages that ask for credits", registry=kernel.registry
        )
        self._refusal_counter = prometheus_client.Counter(
            "basilpost_slots_refused", "Slots that were not free", registry=kernel.registry
        )
        self._peers.handle(
            messages.InFlightAsk, self._report_in_flight, reply=messages.InFlightReport
        )
        self._peers.handle(messages.Revoke, self._handle_revoke)
        self._directory.subscribe(self._directory_changed)

    async def start(self) -> None:
        """Starts to grant credits on targets that this node controls, and to ask for credits."""
        self._directory_changed()
        self._tasks.keep_running(self._granter.run, name="granter")
        self._tasks.spawn(self._start_ask_tasks(), name="credits")

    async def stop(self) -> None:
        """Stops granting and asking."""
        await self._tasks.close()

    def try_acquire(self, group: data.Group) -> slots.Slot | slots.NoSlot:
        """Acquires a slot if one is available.

        Otherwise wakes the task that asks the target's controller for credits, unless the
        controller's latest valid grant was for less than this node wanted.
        """
        usage = self._usage(group)
        if self._allowed_in_flight(usage, group) <= usage.in_flight:
            usage.refused += 1
            if usage.refused_since is None:
                usage.refused_since = clock.monotonic()
            self._refusal_counter.inc()
            if not self._was_granted_less(usage):
                self._wake_ask_task(group)
            return slots.NoSlot(reason=f"{group.group_id} has no slot for this node")
        usage.in_flight += 1
        usage.peak = max(usage.peak, usage.in_flight)
        usage.used_at = clock.monotonic()
        return _HeldSlot(owner=self, usage=usage)

    def available(self, group: data.Group) -> int:
        """Returns the number of slots that this node could acquire now."""
        usage = self._usage(group)
        return max(0, self._allowed_in_flight(usage, group) - usage.in_flight)

    def load(self, group: data.Group) -> float:
        """Returns the requests in flight on a target, as a share of its limit.

        The other nodes' part is what the controller last reported, this node's part is its present
        count. Without a recent report, this is the used share of the node's own static share.
        """
        usage = self._usage(group)
        limit = max(1, self._limit(group))
        latest = usage.latest_grant
        if latest is not None and self._is_recent(latest):
            others = latest.message.load_percent / 100 - latest.in_flight / limit
            return max(0.0, others) + usage.in_flight / limit
        live = self._peers.live_nodes()
        own_share = self._static_share(group.group_id, live, limit)
        return usage.in_flight / max(1, own_share)

    def record_release(
        self, usage: target_usage.TargetUsage, observation: data.Observation
    ) -> None:
        """Ends a request's use of a slot and counts its result for the next ask."""
        usage.in_flight -= 1
        usage.used_at = clock.monotonic()
        if observation.failed or not observation.reached:
            usage.failed += 1
        elif observation.latency > 0.0:
            usage.succeeded += 1
            usage.latency_sum += observation.latency
        if observation.cold and usage.group.state is not data.GroupState.COLD:
            usage.cold = True
            self._require_new_credits(usage)
            self._wake_ask_task(usage.group)

    # The methods below compute how many requests this node may have in flight on a target.

    def _allowed_in_flight(self, usage: target_usage.TargetUsage, group: data.Group) -> int:
        config = self._directory.config()
        if not group.serving or not config.in_service(group.failure_domain):
            return 0
        credits = self._credits(usage, group)
        if group.state is data.GroupState.COLD:
            return credits
        live = self._peers.live_nodes()
        holder = self._holders_by_domain.get(group.fabric_domain)
        if self._is_starved(usage):
            return max(credits, self._static_share(group.group_id, live, self._limit(group)))
        if usage.credits_only:
            return credits
        if holder is None or holder.node_id not in live:
            return self._static_share(group.group_id, live, self._limit(group))
        return self._base_share(group) + credits

    def _is_starved(self, usage: target_usage.TargetUsage) -> bool:
        """Returns True if slots have been refused for two credit durations without a grant."""
        since = usage.refused_since
        return since is not None and clock.monotonic() - since > 2 * self._timing.credit

    def _base_share(self, group: data.Group) -> int:
        limit = shares.base_limit(self._limit(group))
        return self._static_share(group.group_id, self._peers.live_nodes(), limit)

    def _credits(self, usage: target_usage.TargetUsage, group: data.Group) -> int:
        latest = usage.latest_grant
        holder = self._holders_by_domain.get(group.fabric_domain)
        if latest is None or holder is None:
            return 0
        current = (latest.message.generation, latest.message.fence) == (
            group.generation,
            holder.fence,
        )
        if not current or latest.asked_at <= usage.credits_voided_at:
            return 0
        expired = clock.monotonic() >= latest.asked_at + self._timing.credit
        return 0 if expired else latest.message.credits

    def _limit(self, group: data.Group) -> int:
        service = self._directory.config().services_by_name.get(group.service)
        return service.max_in_flight if service else 0

    def _static_share(self, group_id: str, live: tuple[str, ...], limit: int) -> int:
        return _cached_static_share(group_id, self._peers.node_id, live, limit)

    def _was_granted_less(self, usage: target_usage.TargetUsage) -> bool:
        """Returns True if the controller granted less than wanted: asking again is no use yet."""
        latest = usage.latest_grant
        if latest is None or latest.asked_at <= usage.credits_voided_at:
            return False
        expired = clock.monotonic() >= latest.asked_at + self._timing.credit
        if expired:
            return False
        base = 0 if usage.credits_only else self._base_share(usage.group)
        return latest.message.credits + base < latest.wanted

    def _is_recent(self, latest: target_usage.ReceivedGrant) -> bool:
        return clock.monotonic() < latest.asked_at + 2 * self._timing.credit

    def _usage(self, group: data.Group) -> target_usage.TargetUsage:
        usage = self._usages_by_id.get(group.group_id)
        if usage is None:
            usage = target_usage.TargetUsage(
                group=group, credits_only=group.state is not data.GroupState.READY
            )
            self._usages_by_id[group.group_id] = usage
        return usage

    def _require_new_credits(self, usage: target_usage.TargetUsage) -> None:
        """Voids all credits on a target, so that it accepts requests under new credits only."""
        usage.credits_only = True
        usage.credits_voided_at = clock.monotonic()

    def _directory_changed(self) -> None:
        """Updates holders and usages from the group tables; drops usages of missing groups."""
        tables = self._directory.tables()
        self._holders_by_domain = {
            name: table.holder for name, table in tables.items() if table.holder is not None
        }
        groups = list(itertools.chain.from_iterable(table.groups for table in tables.values()))
        self._update_states(groups)
        ids = {group.group_id for group in groups}
        for group_id in self._usages_by_id.keys() - ids:
            if self._usages_by_id[group_id].in_flight == 0:
                del self._usages_by_id[group_id]

    def _update_states(self, groups: Iterable[data.Group]) -> None:
        """Makes targets that are not READY or out of service require new credits, to ramp up."""
        config = self._directory.config()
        for group in groups:
            usage = self._usages_by_id.get(group.group_id)
            ready = group.state is data.GroupState.READY and config.in_service(group.failure_domain)
            if not ready:
                usage = usage or self._usage(group)
                if not usage.credits_only:
                    self._require_new_credits(usage)
            if usage is not None:
                usage.group = group

    # One task for each controller sends the asks, at an interval and at once when it is woken.

    def _wake_ask_task(self, group: data.Group) -> None:
        holder = self._holders_by_domain.get(group.fabric_domain)
        if holder is not None and holder.node_id in self._ask_tasks_by_node:
            self._ask_tasks_by_node[holder.node_id].wake.set()
        elif holder is not None and holder.node_id:
            self._start_ask_task(holder.node_id)

    async def _start_ask_tasks(self) -> None:
        while True:
            for node_id in self._usages_by_holder():
                if node_id not in self._ask_tasks_by_node:
                    self._start_ask_task(node_id)
            await asyncio.sleep(self._timing.credit / _ASKS_PER_CREDIT)

    def _start_ask_task(self, node_id: str) -> None:
        wake = asyncio.Event()
        task = self._tasks.spawn(self._ask_while_in_use(node_id, wake), name=f"credits {node_id}")
        self._ask_tasks_by_node[node_id] = _AskTask(task=task, wake=wake)

    async def _ask_while_in_use(self, node_id: str, wake: asyncio.Event) -> None:
        """Asks one controller for credits as long as this node uses any of its targets."""
        try:
            while usages := self._usages_by_holder().get(node_id):
                wake.clear()
                await self._ask(node_id, usages)
                await asyncio.sleep(_MIN_ASK_INTERVAL_SECONDS)
                try:
                    async with asyncio.timeout(self._ask_interval(usages)):
                        await wake.wait()
                except TimeoutError:
                    pass
        finally:
            self._ask_tasks_by_node.pop(node_id, None)

    def _ask_interval(self, usages: list[target_usage.TargetUsage]) -> float:
        """Returns the seconds until the next ask, fewer while a target needs credits."""
        pressing = any(usage.credits_only or self._was_granted_less(usage) for usage in usages)
        return self._timing.credit / (_ASKS_PER_CREDIT if pressing else _ASKS_PER_CREDIT / 2)

    def _usages_by_holder(self) -> dict[str, list[target_usage.TargetUsage]]:
        now = clock.monotonic()
        usages = (
            usage
            for usage in self._usages_by_id.values()
            if usage.in_flight
            or usage.refused
            or not usage.settled
            or now - usage.used_at < _IDLE_AFTER_SECONDS
        )
        usages_by_holder: dict[str, list[target_usage.TargetUsage]] = {}
        for usage in usages:
            holder = self._holders_by_domain.get(usage.group.fabric_domain)
            if holder is not None and holder.node_id and usage.group.serving:
                usages_by_holder.setdefault(holder.node_id, []).append(usage)
        return usages_by_holder

    async def _ask(self, node_id: str, usages: list[target_usage.TargetUsage]) -> None:
        asked_at = clock.monotonic()
        wants = tuple(target_usage.make_want(usage) for usage in usages)
        ask = messages.CreditAsk(
            incarnation=self._incarnation, number=next(self._ask_numbers), wants=wants
        )
        wants_by_id = {want.group_id: want for want in wants}
        for usage in usages:
            # If the reply is lost, the credits that it granted still count at the controller, so a
            # usage that wants slots needs another ask before it is settled again.
            usage.settled = usage.settled and not wants_by_id[usage.group.group_id].wanted
            # The next ask reports only what happens from here on.
            target_usage.begin_period(usage)
        self._ask_counter.inc()
        reply = await self._peers.request(node_id, ask, timeout=_ASK_TIMEOUT_SECONDS)
        if not isinstance(reply, messages.CreditReply):
            return
        for grant in reply.grants:
            granted_usage = self._usages_by_id.get(grant.group_id)
            if granted_usage is not None:
                want = wants_by_id[grant.group_id]
                # Settled means that the controller counts no credits of this node any more. The
                # reply shows that if the ask named a grant of no credits as the one in use: on
                # receiving it, the controller has dropped all grants before that one.
                previous = granted_usage.latest_grant
                granted_usage.settled = (
                    grant.credits == 0
                    and previous is not None
                    and previous.ask_number == want.acting_on
                    and previous.message.credits == 0
                )
                received = target_usage.ReceivedGrant(
                    message=grant,
                    ask_number=ask.number,
                    asked_at=asked_at,
                    in_flight=want.in_flight,
                    wanted=want.wanted,
                )
                self._apply_grant(granted_usage, received)

    def _apply_grant(
        self, usage: target_usage.TargetUsage, received: target_usage.ReceivedGrant
    ) -> None:
        if received.asked_at <= usage.credits_voided_at:
            return
        usage.latest_grant = received
        usage.refused_since = None
        # The grant says whether the target is cold or ramping up. If so, the slots without credits
        # (this node's base share) must not be used.
        usage.credits_only = received.message.bounded

    async def _handle_revoke(self, node_id: str, revoke: messages.Revoke) -> None:
        usage = self._usages_by_id.get(revoke.group_id)
        holder = self._holders_by_domain.get(usage.group.fabric_domain) if usage else None
        if usage is None or holder is None or revoke.fence < holder.fence:
            return
        self._require_new_credits(usage)
        self._wake_ask_task(usage.group)

    async def _report_in_flight(
        self, node_id: str, ask: messages.InFlightAsk
    ) -> messages.InFlightReport:
        counts = (
            messages.InFlight(group_id=group_id, count=usage.in_flight)
            for group_id, usage in sorted(self._usages_by_id.items())
            if usage.in_flight and usage.group.fabric_domain == ask.fabric_domain
        )
        return messages.InFlightReport(in_flight=tuple(counts))


@functools.lru_cache(maxsize=4096)
def _cached_static_share(group_id: str, node_id: str, live: tuple[str, ...], limit: int) -> int:
    return shares.static_share(group_id, node_id, live, limit)
