"""Records that the decisions for a pool use: its view, the controller's state, and the decision."""

import dataclasses

from basilpost.core import catalog
from basilpost.groups import orders


@dataclasses.dataclass(frozen=True, kw_only=True)
class View:
    """The controller's view of one service's pool at one moment: the input of a decision.

    Attributes:
        now: Time on the controller's clock, in seconds.
        vms: All live VMs of the service.
        models: Models of the service.
        slots_per_group: Slots of one group.
        slots_wanted: Slots by model that would serve all callers; empty while demand is not
            measured.
        missing_since_by_group: When the first missing entry of a member of a group was removed, as far as
            this node saw it.
        unlisted_heads: Names of groups whose head had an entry that was removed while it was the head.
        first_epoch: Groups with a lower epoch were formed by another controller.
        next_epoch: Lowest epoch that no group has used.
        loads_left: Loads from the weight store that may start now.
        loads_at_once: Loads that the weight store bears at the same time; None for any number.
        unresponsive: Lifetime ids of VMs that answered no probe while their group made no progress.
        answering: Names of groups from which nodes are receiving answers at this moment.
        answered_at_by_group: When nodes last saw a group answer, by group name; empty if groups are to
            be kept only while they are answering.
        stalled: Names of groups that have stopped sending their answers.
        working: Names of groups at which nodes have requests in flight.
        work_delay_seconds: Time after which requests that a node has sent show in `working`.
        changed_at_by_vm: Time of the last reported change, where known, by lifetime id. With it a
            new controller does not repeat waits that its predecessor has completed.
    """

    now: float
    vms: tuple[catalog.Vm, ...]
    models: tuple[catalog.Model, ...]
    slots_per_group: int
    slots_wanted: dict[str, float]
    next_epoch: int
    loads_left: int
    loads_at_once: int | None = None
    unresponsive: frozenset[str] = frozenset()
    answering: frozenset[str] = frozenset()
    answered_at_by_group: dict[str, float] = dataclasses.field(default_factory=dict)
    stalled: frozenset[str] = frozenset()
    working: frozenset[str] = frozenset()
    work_delay_seconds: float = 0.0
    changed_at_by_vm: dict[str, float] = dataclasses.field(default_factory=dict)
    missing_since_by_group: dict[str, float] = dataclasses.field(default_factory=dict)
    first_epoch: int = 0
    unlisted_heads: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True)
class SentOrder:
    """The last order that was sent to a VM, and when."""

    order: orders.Order
    sent_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reservation:
    """Reserves a VM for groups of one model until a time."""

    model: str
    until: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class State:
    """What the controller keeps between decisions.

    Attributes:
        last_order_by_vm: Last order sent to a VM, by lifetime id.
        forming_by_group: Members of each group that is being formed, by group name.
        formed_at_by_group: When the forming of each of these groups began.
        free_since_by_vm: Since when a VM has been in no serving group, by lifetime id.
        loaded_by_vm: Model whose weights a VM has in memory, by lifetime id; empty for none.
        reservation_by_vm: Reservations of VMs whose group was dissolved in favour of another model,
            by lifetime id.
        donor_groups: Names of groups that are being dissolved in favour of another model.
        shortage_since: Since when some model has been short of groups; None while none is.
        dissolving_since_by_group: Since when each group that can no longer serve is being
            dissolved.
        incomplete_since_by_group: Since when the entry of a member of a group has been missing.
        leaving_since_by_group: Since when a member of a group has said that it will stop.
        size_by_group: Number of members of each reported group that was seen with all of them.
        worked_at_by_group: When each group that is given up was last seen at work, at the earliest
            when it was given up.
        abandoned_groups: Names of groups that this controller ordered some member to leave. Names are
            never used again, so the set holds no more than the groups of one controller's time.
    """

    last_order_by_vm: dict[str, SentOrder] = dataclasses.field(default_factory=dict)
    forming_by_group: dict[str, tuple[catalog.Vm, ...]] = dataclasses.field(default_factory=dict)
    forming_since_by_group: dict[str, float] = dataclasses.field(default_factory=dict)
    free_since_by_vm: dict[str, float] = dataclasses.field(default_factory=dict)
    loaded_by_vm: dict[str, str] = dataclasses.field(default_factory=dict)
    reservation_by_vm: dict[str, Reservation] = dataclasses.field(default_factory=dict)
    donor_groups: frozenset[str] = frozenset()
    shortage_since: float | None = None
    dissolving_since_by_group: dict[str, float] = dataclasses.field(default_factory=dict)
    incomplete_since_by_group: dict[str, float] = dataclasses.field(default_factory=dict)
    leaving_since_by_group: dict[str, float] = dataclasses.field(default_factory=dict)
    size_by_group: dict[str, int] = dataclasses.field(default_factory=dict)
    worked_at_by_group: dict[str, float] = dataclasses.field(default_factory=dict)
    abandoned_groups: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """The orders to send now, the state to keep, and the epochs and weight loads used."""

    orders: tuple[orders.Order, ...]
    state: State
    epochs_used: int
    loads_used: int
