"""Chooses a target for a request and takes a slot on it, without waiting.

The nearest targets come first. A prompt's prefix prefers the target that has probably cached it, by
consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016); everything else
goes to the less loaded of two random targets (Mitzenmacher, 2001).
"""

import collections
import dataclasses
import math
import random
from collections.abc import Callable, Iterable

from basilpost.core import data, failure
from basilpost.groups import slots
from basilpost.members import directory
from basilpost.routing import interfaces, pace, retry, tiers

AFFINITY_STEPS = 6
LOAD_BOUND = 1.25
FREE_LOAD = 0.5
KINDS_BY_DISTANCE = ("nearest", "farther", "farthest")


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoTarget(failure.Failure):
    """No complete, healthy target in service is left to try."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class AllFull(failure.Failure):
    """There are targets, but none has a free slot for this node."""


class HeldSlot(slots.Slot):
    """A slot that tells the selector when it is released."""

    __slots__ = ("_selector", "_inner", "_group", "_started_at")

    def __init__(self, *, selector: "Selector", inner: slots.Slot, group: data.Group) -> None:
        self._selector = selector
        self._inner: slots.Slot | None = inner
        self._group = group
        self._started_at = selector.started(group)

    def release(self, observation: data.Observation) -> None:
        """Gives the slot back once, with what was seen of the target."""
        self._release(observation, used=True)

    def give_back(self) -> None:
        """Gives the slot back without having used it."""
        self._release(data.Observation(reached=True), used=False)

    def _release(self, observation: data.Observation, *, used: bool) -> None:
        if self._inner is None:
            return
        inner, self._inner = self._inner, None
        inner.release(observation)
        self._selector.ended(self._group, self._started_at, observation, used=used)


class Selector:
    """Chooses among the targets that are in force on this node."""

    def __init__(
        self,
        *,
        directory: directory.Directory,
        slots: slots.Slots,
        health: slots.Health,
        failure_domain: str,
        random_source: random.Random,
        released: Callable[[data.Group], None],
        count: Callable[[str], None] = lambda kind: None,
    ) -> None:
        self.breakers = retry.Breakers(random_source=random_source)
        self._directory = directory
        self._slots = slots
        self._health = health
        self._failure_domain = failure_domain
        self._random = random_source
        self._released = released
        self._count = count
        self._tiers_by_service: dict[str, tiers.Tiers] = {}
        self._paces_by_service: dict[str, pace.Pace] = collections.defaultdict(pace.Pace)
        self._in_flight_by_id: collections.Counter[str] = collections.Counter()

    def directory_changed(self) -> None:
        """Forgets what was derived from the directory."""
        self._tiers_by_service.clear()
        known = self._directory.tables().values()
        ids = frozenset(group.group_id for table in known for group in table.groups)
        self.breakers.forget_all_but(ids)

    def pace_of(self, service: str) -> pace.Pace:
        """Returns how fast a service works off requests on this node."""
        return self._paces_by_service[service]

    def pick(
        self, request: interfaces.Request, exclude: frozenset[str]
    ) -> interfaces.Choice | NoTarget | AllFull:
        """Takes a slot on the best target that has one."""
        found = self.tiers_of(request.service)
        for number, tier in enumerate(found.by_distance):
            choice = self._by_affinity(tier, request, exclude) if request.affinity else None
            choice = choice or self._by_load(tier, exclude)
            if choice is not None:
                self._count(KINDS_BY_DISTANCE[number])
                return choice
        if any(self._usable(group, exclude) for group in found.groups):
            return AllFull(reason=f"all targets of {request.service} are full")
        return NoTarget(reason=f"{request.service} has no healthy target left to try")

    def take(self, group: data.Group, exclude: frozenset[str]) -> interfaces.Choice | None:
        """Takes a slot on one target if it may be chosen and has one."""
        if not self._usable(group, exclude):
            return None
        slot = self._slots.try_acquire(group)
        if isinstance(slot, slots.NoSlot):
            return None
        return interfaces.Choice(group=group, slot=HeldSlot(selector=self, inner=slot, group=group))

    def give_back(self, choice: interfaces.Choice) -> None:
        """Gives a choice's slot back that was not used."""
        if isinstance(choice.slot, HeldSlot):
            choice.slot.give_back()

    def targets(self, service: str) -> int:
        """Returns the number of a service's targets that may be chosen."""
        return len(self.tiers_of(service).groups)

    def current(self, group: data.Group) -> data.Group | None:
        """Returns the target as it is in force now, None if it may not be chosen any more."""
        return self.tiers_of(group.service).groups_by_id.get(group.group_id)

    def by_load(self, service: str, exclude: frozenset[str]) -> list[data.Group]:
        """Returns the usable targets, the least loaded first; looks at all of them."""
        usable = (one for one in self.tiers_of(service).groups if self._usable(one, exclude))
        return sorted(usable, key=self._slots.load)

    def tiers_of(self, service: str) -> tiers.Tiers:
        """Returns the targets of a service by distance."""
        found = self._tiers_by_service.get(service)
        if found is None:
            found = self._build(service)
            self._tiers_by_service[service] = found
        return found

    def started(self, group: data.Group) -> float:
        """Notes a slot taken."""
        self._in_flight_by_id[group.group_id] += 1
        self.breakers.started(group.group_id)
        return self._paces_by_service[group.service].started()

    def ended(
        self, group: data.Group, started_at: float, observation: data.Observation, *, used: bool
    ) -> None:
        """Notes a slot released and tells those who wait for one."""
        left = self._in_flight_by_id[group.group_id] - 1
        self._in_flight_by_id[group.group_id] = left
        if left <= 0:
            del self._in_flight_by_id[group.group_id]
        self._paces_by_service[group.service].ended(started_at, used=used)
        if used:
            self.breakers.ended(group.group_id, observation)
        else:
            self.breakers.unused(group.group_id)
        self._released(group)

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
        """Takes the first target from the prefix's place on that is not loaded above the bound."""
        in_flight = self._paces_by_service[request.service].in_flight
        bound = math.ceil(LOAD_BOUND * (in_flight + 1) / len(tier.groups))
        for _, group in zip(range(AFFINITY_STEPS), tier.walk(request.affinity), strict=False):
            if self._below(group, bound):
                choice = self.take(group, exclude)
                if choice is not None:
                    self._count("prefix")
                    return choice
        return None

    def _below(self, group: data.Group, bound: int) -> bool:
        if self._slots.load(group) < FREE_LOAD:
            return True
        return self._in_flight_by_id[group.group_id] < bound

    def _by_load(self, tier: tiers.Tier, exclude: frozenset[str]) -> interfaces.Choice | None:
        """Takes the better of two random targets, or any that has a slot."""
        groups = tier.groups
        first = groups[int(self._random.random() * len(groups))]
        second = groups[int(self._random.random() * len(groups))]
        better_first = self._slots.load(first) <= self._slots.load(second)
        pair = (first, second) if better_first else (second, first)
        return self._first(pair, exclude) or self._first(self._from_anywhere(groups), exclude)

    def _first(
        self, groups: Iterable[data.Group], exclude: frozenset[str]
    ) -> interfaces.Choice | None:
        choices = (self.take(group, exclude) for group in groups)
        return next((choice for choice in choices if choice is not None), None)

    def _from_anywhere(self, groups: tuple[data.Group, ...]) -> Iterable[data.Group]:
        start = int(self._random.random() * len(groups))
        return (groups[(start + step) % len(groups)] for step in range(len(groups)))

    def _usable(self, group: data.Group, exclude: frozenset[str]) -> bool:
        return (
            group.group_id not in exclude
            and self._health.healthy(group)
            and self.breakers.allows(group.group_id)
        )
