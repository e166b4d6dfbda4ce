"""Replays the loss and arrival of VMs against the decisions for a pool, without any processes.

The decisions are those of `groups.pool`. VMs, their reports and the weight store are records that
advance in small steps, so a replay takes seconds and the same seed gives the same result. It shows
what a decision is worth under one load pattern, before anything is deployed.
"""

import collections
import dataclasses
import pathlib
import random
from collections.abc import Iterable

from basilpost.core import catalog
from basilpost.groups import orders, pool, pool_state, reported_groups
from basilpost.settings import loader

STEP_SECONDS = 0.1
# A controller learns of a change at the end of the next watch call.
REPORT_STEPS = 3
# A lost VM is noticed by probes soon after its group has stalled.
LOSS_NOTICED_STEPS = 8
# Before the first request loads are this much faster.
FIRST_LOADS_SPEED = 10.0
# The fabric domain that a blackout affects.
DARK_DOMAIN = "fabric-00"
JOIN_SECONDS = 0.2
OPEN_SECONDS = 0.3
# Period over which the rate limit of loads is enforced.
LOAD_RATE_WINDOW_SECONDS = 5.0
PATTERNS = pathlib.Path(__file__).with_name("patterns")


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelLoad:
    """A model and the slots that its callers want throughout the replay."""

    name: str
    vms: int
    slots_wanted: float
    load_seconds: float
    warm_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Recurrence:
    """Something that happens to some VMs again and again.

    Attributes:
        first_at: Time of the first occurrence, in seconds.
        every: Seconds from one occurrence to the next.
        vms: VMs of one fabric domain that each occurrence affects.
    """

    first_at: float
    every: float
    vms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Blackout:
    """All VMs of one fabric domain vanish and come back with the weights on their hosts.

    Attributes:
        at: When they vanish, in seconds.
        seconds: How long they are away.
    """

    at: float
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pattern:
    """The settings of a replay.

    Attributes:
        description: What the pattern stands for.
        seconds: Length of the replay, after all groups of the start have formed.
        fabric_domains: Number of fabric domains.
        vms_per_domain: VMs in each at the start.
        slots_per_group: Requests that a group works on at once.
        loads_per_second: Loads of weights that may begin per second.
        loads_at_once: Loads that the weight store bears at the same time.
        models: The models.
        losses: VMs in groups that are lost for good.
        arrivals: VMs without weights that are added.
        blackout: Loss and return of a whole fabric domain, if there is one.
    """

    description: str
    seconds: float
    fabric_domains: int
    vms_per_domain: int
    slots_per_group: int
    loads_per_second: float
    loads_at_once: int
    models: tuple[ModelLoad, ...]
    losses: Recurrence
    arrivals: Recurrence
    blackout: Blackout | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """What a replay came to.

    Attributes:
        served_share_by_model: Slots in use as a share of the slots wanted, over the whole replay.
        first_open_slots: Slots of the groups that formed before the first loss, by model.
        loads: Loads of weights that began.
        orders: Orders that were sent.
    """

    served_share_by_model: dict[str, float]
    first_open_slots: dict[str, int]
    loads: int
    orders: int


@dataclasses.dataclass(kw_only=True, eq=False)
class _Vm:
    """The state of a VM; a load that has no seconds left is done."""

    reported: catalog.Vm
    in_memory: str = ""
    staging: str = ""
    staging_left: float = 0.0
    joining_left: float = 0.0
    opening_left: float = 0.0
    is_lost: bool = False


def read_pattern(path: pathlib.Path) -> Pattern:
    """Reads a pattern from a file of JSON with comments.

    Raises:
        loader.SettingsError: With all errors of the file.
    """
    pattern = loader.load(str(path), Pattern)
    errors = [
        loader.setting_error(
            str(path),
            f"models.{number}.vms",
            str(model.vms),
            f"1 to vms_per_domain ({pattern.vms_per_domain})",
        )
        for number, model in enumerate(pattern.models)
        if not 1 <= model.vms <= pattern.vms_per_domain
    ]
    if errors:
        raise loader.SettingsError(tuple(errors))
    return pattern


def run(pattern: Pattern, *, seed: int, limits_loads: bool = True) -> Result:
    """Replays a pattern.

    Args:
        pattern: The pattern.
        seed: Seed of the choice of VMs.
        limits_loads: False to keep from the decisions how many loads the weight store bears.
    """
    replay = _Replay(pattern=pattern, seed=seed, limits_loads=limits_loads)
    replay.form_first_groups()
    return replay.run()


class _Replay:
    def __init__(self, *, pattern: Pattern, seed: int, limits_loads: bool) -> None:
        self._pattern = pattern
        self._limits_loads = limits_loads
        self._random = random.Random(seed)
        self._models = tuple(
            catalog.Model(
                name=model.name,
                vms=model.vms,
                pace=1.0,
                work_share=model.slots_wanted,
                load_seconds=model.load_seconds,
                warm_seconds=model.warm_seconds,
            )
            for model in pattern.models
        )
        self._models_by_name = {model.name: model for model in self._models}
        self._now = 0.0
        self._state = pool_state.State()
        self._next_epoch = 1
        self._next_vm = 0
        self._load_times: list[float] = []
        self._orders_sent = 0
        self._vms_by_id: dict[str, _Vm] = {}
        self._reports: collections.deque[dict[str, catalog.Vm]] = collections.deque(
            maxlen=REPORT_STEPS
        )
        self._noticed_at_by_id: dict[str, float] = {}
        self._dark_vms: list[_Vm] = []
        for domain in range(pattern.fabric_domains):
            self._add_vms(f"fabric-{domain:02}", pattern.vms_per_domain)

    def form_first_groups(self) -> None:
        """Lets the groups of the start form, while loads are fast and not limited."""
        for _ in range(round(20.0 / STEP_SECONDS)):
            self._step(first_groups=True)
        self._load_times.clear()
        self._orders_sent = 0

    def run(self) -> Result:
        """Plays the losses and arrivals, and returns what was served."""
        started_at = self._now
        first_open_slots = dict(self._open_slots())
        served_by_model = dict.fromkeys((model.name for model in self._pattern.models), 0.0)
        steps = round(self._pattern.seconds / STEP_SECONDS)
        for _ in range(steps):
            elapsed = self._now - started_at
            if _is_due(self._pattern.losses, elapsed):
                self._lose_vms(self._pattern.losses.vms)
            if _is_due(self._pattern.arrivals, elapsed):
                domain = self._random.randrange(self._pattern.fabric_domains)
                self._add_vms(f"fabric-{domain:02}", self._pattern.arrivals.vms)
            self._play_blackout(elapsed)
            self._step(first_groups=False)
            slots_by_model = self._open_slots()
            for model in self._pattern.models:
                served_by_model[model.name] += min(model.slots_wanted, slots_by_model[model.name])
        return Result(
            served_share_by_model={
                model.name: served_by_model[model.name] / (model.slots_wanted * steps)
                for model in self._pattern.models
            },
            first_open_slots=first_open_slots,
            loads=len(self._load_times),
            orders=self._orders_sent,
        )

    def _add_vms(self, domain: str, count: int) -> None:
        for _ in range(count):
            vm_id = f"vm-{self._next_vm:04}"
            self._next_vm += 1
            self._vms_by_id[vm_id] = _Vm(
                reported=catalog.Vm(
                    vm_id=vm_id,
                    incarnation=1,
                    service="models",
                    address="",
                    failure_domain="",
                    fabric_domain=domain,
                    slots=self._pattern.slots_per_group,
                    leaving=False,
                    cold_seconds=0.0,
                    staged=(),
                    member=None,
                )
            )

    def _lose_vms(self, count: int) -> None:
        """Loses members of groups, all in one fabric domain."""
        members = [
            vm
            for vm in self._vms_by_id.values()
            if not vm.is_lost and not reported_groups.is_spare(vm.reported)
        ]
        domains = sorted({vm.reported.fabric_domain for vm in members})
        if not domains:
            return
        domain = self._random.choice(domains)
        nearby = [vm for vm in members if vm.reported.fabric_domain == domain]
        for vm in self._random.sample(nearby, min(count, len(nearby))):
            vm.is_lost = True
            self._noticed_at_by_id[vm.reported.vm_id] = (
                self._now + LOSS_NOTICED_STEPS * STEP_SECONDS
            )

    def _play_blackout(self, elapsed: float) -> None:
        blackout = self._pattern.blackout
        if blackout is None:
            return
        if not self._dark_vms and blackout.at <= elapsed < blackout.at + blackout.seconds:
            self._dark_vms = [
                vm
                for vm in self._vms_by_id.values()
                if vm.reported.fabric_domain == DARK_DOMAIN and not vm.is_lost
            ]
            for vm in self._dark_vms:
                vm.is_lost = True
                self._noticed_at_by_id[vm.reported.vm_id] = (
                    self._now + LOSS_NOTICED_STEPS * STEP_SECONDS
                )
        elif self._dark_vms and elapsed >= blackout.at + blackout.seconds:
            for vm in self._dark_vms:
                reported = dataclasses.replace(vm.reported, member=None, incarnation=2)
                self._vms_by_id[vm.reported.vm_id] = _Vm(reported=reported)
            self._dark_vms = []

    def _step(self, *, first_groups: bool) -> None:
        self._now += STEP_SECONDS
        self._advance_vms(fast=first_groups)
        self._forget_lost_vms()
        self._reports.append({key: vm.reported for key, vm in self._vms_by_id.items()})
        noticed = {key for key, at in self._noticed_at_by_id.items() if at <= self._now}
        seen = [vm for key, vm in self._reports[0].items() if key not in noticed]
        view = pool_state.View(
            now=self._now,
            vms=tuple(seen),
            models=self._models,
            slots_per_group=self._pattern.slots_per_group,
            slots_wanted={model.name: model.slots_wanted for model in self._pattern.models},
            next_epoch=self._next_epoch,
            loads_left=1_000_000 if first_groups else self._loads_left(),
            loads_at_once=(
                self._pattern.loads_at_once if self._limits_loads and not first_groups else None
            ),
        )
        decision = pool.decide(view, self._state)
        self._state = decision.state
        self._next_epoch += decision.epochs_used
        self._orders_sent += len(decision.orders)
        for order in decision.orders:
            self._carry_out(order)

    def _forget_lost_vms(self) -> None:
        """Removes VMs whose loss was noticed long enough ago to show in all reports."""
        horizon = self._now - (REPORT_STEPS + 1) * STEP_SECONDS
        for key in [key for key, at in self._noticed_at_by_id.items() if at < horizon]:
            del self._noticed_at_by_id[key]
            self._vms_by_id.pop(key, None)

    def _loads_left(self) -> int:
        since = self._now - LOAD_RATE_WINDOW_SECONDS
        recent = sum(at > since for at in self._load_times)
        return max(0, int(self._pattern.loads_per_second * LOAD_RATE_WINDOW_SECONDS) - recent)

    def _open_slots(self) -> collections.Counter[str]:
        """Returns the slots of the groups that can answer, by model."""
        groups = reported_groups.from_vms(
            (vm.reported for vm in self._vms_by_id.values() if not vm.is_lost),
            self._models_by_name,
        )
        return collections.Counter(
            {
                model.name: self._pattern.slots_per_group
                * sum(
                    group.model is model
                    and group.complete
                    and group.state is catalog.MemberState.OPEN
                    for group in groups
                )
                for model in self._models
            }
        )

    # VMs carry out orders as the platform's runners do.

    def _advance_vms(self, *, fast: bool) -> None:
        speed = FIRST_LOADS_SPEED if fast else 1.0
        for vm in self._vms_by_id.values():
            if vm.is_lost:
                continue
            if vm.staging:
                vm.staging_left -= STEP_SECONDS * speed
                if vm.staging_left <= 0.0:
                    vm.reported = dataclasses.replace(vm.reported, staged=(vm.staging,))
                    vm.staging = ""
            self._advance_membership(vm)

    def _advance_membership(self, vm: _Vm) -> None:
        member = vm.reported.member
        if member is None:
            return
        model = reported_groups.model_from_name(member.group)
        if member.state is catalog.MemberState.JOINING and not vm.staging:
            vm.joining_left -= STEP_SECONDS
            if vm.joining_left <= 0.0:
                vm.in_memory = model
                self._set_state(vm, catalog.MemberState.READY)
        elif vm.opening_left > 0.0:
            vm.opening_left -= STEP_SECONDS
            if vm.opening_left <= 0.0:
                self._set_state(vm, catalog.MemberState.OPEN)

    def _set_state(self, vm: _Vm, state: catalog.MemberState) -> None:
        assert vm.reported.member is not None
        member = dataclasses.replace(vm.reported.member, state=state)
        vm.reported = dataclasses.replace(vm.reported, member=member)

    def _carry_out(self, order: orders.Order) -> None:
        vm = self._vms_by_id.get(order.vm.vm_id)
        if vm is None or vm.is_lost:
            return
        match order.kind:
            case orders.Kind.STAGE:
                if not vm.staging and order.model not in vm.reported.staged:
                    self._begin_load(vm, order.model)
            case orders.Kind.JOIN:
                self._join(vm, order)
            case orders.Kind.OPEN:
                vm.opening_left = OPEN_SECONDS
            case orders.Kind.CLOSE:
                self._set_state(vm, catalog.MemberState.READY)
            case orders.Kind.LEAVE:
                vm.reported = dataclasses.replace(vm.reported, member=None)

    def _join(self, vm: _Vm, order: orders.Order) -> None:
        if vm.reported.member is not None and vm.reported.member.group == order.group:
            return
        vm.opening_left = 0.0
        vm.reported = dataclasses.replace(
            vm.reported,
            member=catalog.Membership(
                group=order.group,
                epoch=order.epoch,
                rank=order.members.index(order.vm.vm_id),
                state=catalog.MemberState.JOINING,
            ),
        )
        if vm.in_memory == order.model:
            vm.joining_left = JOIN_SECONDS
            return
        vm.joining_left = self._models_by_name[order.model].warm_seconds
        if order.model not in vm.reported.staged and vm.staging != order.model:
            vm.joining_left = 0.0
            self._begin_load(vm, order.model)

    def _begin_load(self, vm: _Vm, model: str) -> None:
        # A load that begins beside too many others takes proportionally longer; those do not.
        vm.staging = model
        under_way = sum(bool(other.staging) for other in self._vms_by_id.values())
        slowdown = max(1.0, under_way / self._pattern.loads_at_once)
        vm.staging_left = self._models_by_name[model].load_seconds * slowdown
        self._load_times.append(self._now)


def _is_due(recurrence: Recurrence, elapsed: float) -> bool:
    """Returns True in the step in which something happens again."""
    since_first = elapsed - recurrence.first_at
    if since_first < -STEP_SECONDS / 2:
        return False
    steps_between = max(1, round(recurrence.every / STEP_SECONDS))
    return round(since_first / STEP_SECONDS) % steps_between == 0


def mean_share(results: Iterable[Result], model: str) -> float:
    """Returns the mean share of a model's wanted slots that was served over several replays."""
    shares = [result.served_share_by_model[model] for result in results]
    return sum(shares) / len(shares)
