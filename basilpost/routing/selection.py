"""Chooses a target for a request and acquires a slot on it, without waiting.

The nearest targets are tried first. A request with a prompt prefix prefers the target that has
probably cached it, by consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
2016). Any other request goes to the less loaded of two random targets (Mitzenmacher, 2001).
"""

import collections
import dataclasses
import math
import random
from collections.abc import Callable, Iterable

from basilpost.core import data, failure
from basilpost.groups import slots
from basilpost.members import directory
from basilpost.routing import interfaces, retry, throughput, tiers

# Targets that are tried in ring order for a prefix.
AFFINITY_STEPS = 6
# A prefix's target may have this many times the mean of this node's requests per target.
LOAD_BOUND = 1.25
# Below this load, as a share of its limit, a target takes its prefixes in any case.
FREE_LOAD = 0.5
# Kinds in the metric of choices, by the number of the tier.
KINDS_BY_DISTANCE = ("nearest", "farther", "farthest")


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoTarget(failure.Failure):
    """No complete and healthy target in service is left to try."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class AllFull(failure.Failure):
    """There are usable targets, but none has a free slot for this node."""


class TrackedSlot(slots.Slot):
    """A slot that reports its release to the selector."""

    __slots__ = ("_selector", "_inner", "_group", "_started_at")

    def __init__(self, *, selector: "Selector", inner: slots.Slot, group: data.Group) -> None:
        self._selector = selector
        self._inner: slots.Slot | None = inner
        self._group = group
        self._started_at = selector.record_start(group)

    def release(self, observation: data.Observation) -> None:
        """Releases the slot once, with what was observed of the target."""
        self._release(observation, used=True)

    def release_unused(self) -> None:
        """Releases the slot of a request that was not sent."""
        self._release(data.Observation(reached=True), used=False)

    def _release(self, observation: data.Observation, *, used: bool) -> None:
        if self._inner is None:
            return
        inner, self._inner = self._inner, None
        inner.release(observation)
        self._selector.record_end(self._group, self._started_at, observation, used=used)


class Selector:
    """Chooses among the targets of the directory in force on this node."""

    def __init__(
        self,
        *,
        directory: directory.Directory,
        slots: slots.Slots,
        health: slots.Health,
        failure_domain: str,
        random_source: random.Random,
        on_release: Callable[[data.Group], None],
        count_choice: Callable[[str], None] = lambda kind: None,
    ) -> None:
        self.breakers = retry.Breakers(random_source=random_source)
        self._directory = directory
        self._slots = slots
        self._health = health
        self._failure_domain = failure_domain
        self._random = random_source
        self._on_release = on_release
        self._count_choice = count_choice
        self._tiers_by_service: dict[str, tiers.Tiers] = {}
        self._throughputs_by_service: dict[str, throughput.Throughput] = collections.defaultdict(
            throughput.Throughput
        )
        self._in_flight_by_id: collections.Counter[str] = collections.Counter()

    def directory_changed(self) -> None:
        """Drops what was derived from the directory, after a change of it."""
        self._tiers_by_service.clear()
        tables = self._directory.tables().values()
        group_ids = frozenset(group.group_id for table in tables for group in table.groups)
        self.breakers.retain(group_ids)

    def throughput_of(self, service: str) -> throughput.Throughput:
        """Returns the rate at which a service ends the requests of this node."""
        return self._throughputs_by_service[service]

    def acquire_best(
        self, request: interfaces.Request, exclude: frozenset[str]
    ) -> interfaces.Choice | NoTarget | AllFull:
        """Acquires a slot on the best target that has a free one."""
        service_tiers = self.tiers_of(request.service)
        for number, tier in enumerate(service_tiers.by_distance):
            choice = self._by_affinity(tier, request, exclude) if request.affinity else None
            choice = choice or self._by_load(tier, exclude)
            if choice is not None:
                self._count_choice(KINDS_BY_DISTANCE[number])
                return choice
        if any(self._is_usable(group, exclude) for group in service_tiers.groups):
            return AllFull(reason=f"all targets of {request.service} are full")
        return NoTarget(reason=f"{request.service} has no healthy target left to try")

    def acquire(self, group: data.Group, exclude: frozenset[str]) -> interfaces.Choice | None:
        """Acquires a slot on one target; None if it must not be used or has no free slot."""
        if not self._is_usable(group, exclude):
            return None
        slot = self._slots.try_acquire(group)
        if isinstance(slot, slots.NoSlot):
            return None
        return interfaces.Choice(
            group=group, slot=TrackedSlot(selector=self, inner=slot, group=group)
        )

    def release_unused(self, choice: interfaces.Choice) -> None:
        """Releases the slot of a choice whose request was not sent."""
        if isinstance(choice.slot, TrackedSlot):
            choice.slot.release_unused()

    def target_count(self, service: str) -> int:
        """Returns the number of a service's targets that may be chosen."""
        return len(self.tiers_of(service).groups)

    def current(self, group: data.Group) -> data.Group | None:
        """Returns the target as it is in force now, None if it may not be chosen any more."""
        return self.tiers_of(group.service).groups_by_id.get(group.group_id)

    def by_load(self, service: str, exclude: frozenset[str]) -> list[data.Group]:
        """Returns the usable targets, the least loaded first; takes time linear in all targets."""
        usable = (
            group for group in self.tiers_of(service).groups if self._is_usable(group, exclude)
        )
        return sorted(usable, key=self._slots.load)

    def tiers_of(self, service: str) -> tiers.Tiers:
        """Returns the targets of a service by distance, kept until the directory changes."""
        service_tiers = self._tiers_by_service.get(service)
        if service_tiers is None:
            service_tiers = self._build(service)
            self._tiers_by_service[service] = service_tiers
        return service_tiers

    def record_start(self, group: data.Group) -> float:
        """Records that a slot was acquired; returns the event loop's time."""
        self._in_flight_by_id[group.group_id] += 1
        self.breakers.record_start(group.group_id)
        return self._throughputs_by_service[group.service].record_start()

    def record_end(
        self, group: data.Group, started_at: float, observation: data.Observation, *, used: bool
    ) -> None:
        """Records that a slot was released, and calls `on_release`."""
        remaining = self._in_flight_by_id[group.group_id] - 1
        self._in_flight_by_id[group.group_id] = remaining
        if remaining <= 0:
            del self._in_flight_by_id[group.group_id]
        self._throughputs_by_service[group.service].record_end(started_at, used=used)
        if used:
            self.breakers.record_end(group.group_id, observation)
        else:
            self.breakers.record_unused(group.group_id)
        self._on_release(group)

    def _build(self, service: str) -> tiers.Tiers:
        config = self._directory.config()
        configured = config.services_by_name.get(service)
        if configured is None:
            return tiers.Tiers(groups=(), by_distance=())
        groups = self._directory.groups_for(service)
        return tiers.build(configured, groups, config, self._failure_domain)

    def _by_affinity(
        self, tier: tiers.Tier, request: interfaces.Request, exclude: frozenset[str]
    ) -> interfaces.Choice | None:
        """Acquires the first target in ring order that is not loaded above the bound."""
        in_flight = self._throughputs_by_service[request.service].in_flight
        bound = math.ceil(LOAD_BOUND * (in_flight + 1) / len(tier.groups))
        for _, group in zip(range(AFFINITY_STEPS), tier.walk(request.affinity), strict=False):
            if self._is_below(group, bound):
                choice = self.acquire(group, exclude)
                if choice is not None:
                    self._count_choice("prefix")
                    return choice
        return None

    def _is_below(self, group: data.Group, bound: int) -> bool:
        if self._slots.load(group) < FREE_LOAD:
            return True
        return self._in_flight_by_id[group.group_id] < bound

    def _by_load(self, tier: tiers.Tier, exclude: frozenset[str]) -> interfaces.Choice | None:
        """Acquires the less loaded of two random targets, or any other that has a free slot."""
        groups = tier.groups
        first = groups[int(self._random.random() * len(groups))]
        second = groups[int(self._random.random() * len(groups))]
        in_order = self._slots.load(first) <= self._slots.load(second)
        pair = (first, second) if in_order else (second, first)
        return self._acquire_first(pair, exclude) or self._acquire_first(
            self._from_random_start(groups), exclude
        )

    def _acquire_first(
        self, groups: Iterable[data.Group], exclude: frozenset[str]
    ) -> interfaces.Choice | None:
        choices = (self.acquire(group, exclude) for group in groups)
        return next((choice for choice in choices if choice is not None), None)

    def _from_random_start(self, groups: tuple[data.Group, ...]) -> Iterable[data.Group]:
        start = int(self._random.random() * len(groups))
        return (groups[(start + step) % len(groups)] for step in range(len(groups)))

    def _is_usable(self, group: data.Group, exclude: frozenset[str]) -> bool:
        return (
            group.group_id not in exclude
            and self._health.healthy(group)
            and self.breakers.allows(group.group_id)
        )
