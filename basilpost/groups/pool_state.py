"""What the decisions for a pool rest on, and what they remember: records for `pool` and its parts."""

import dataclasses

from basilpost.core import catalog
from basilpost.groups import orders


@dataclasses.dataclass(frozen=True, kw_only=True)
class View:
    """What the decision rests on.

    Attributes:
        now: Time on the controller's clock.
        vms: All live VMs of the service.
        models: Its models.
        slots: Slots of a group.
        slots_wanted: Slots of each model that would serve all callers, empty while that is not known.
        next_epoch: First epoch that no group has had.
        loads_left: Loads from the weight store that may begin now.
        lost: Lifetimes of VMs that do not answer while their group stands still.
        writing: Names of groups that nodes get answers from at this moment.
        changed_at_by_vm: When each lifetime of a VM last reported a change, as far as known. It spares
            a new controller the waits that the last one has seen through.
    """

    now: float
    vms: tuple[catalog.Vm, ...]
    models: tuple[catalog.Model, ...]
    slots: int
    slots_wanted: dict[str, float]
    next_epoch: int
    loads_left: int
    lost: frozenset[str] = frozenset()
    writing: frozenset[str] = frozenset()
    changed_at_by_vm: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Given:
    """The last order to a VM, and when it was given."""

    order: orders.Order
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kept:
    """The model that a VM is kept for, and until when."""

    model: str
    until: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Memory:
    """What the controller remembers between decisions.

    Attributes:
        given_by_vm: The last order to each lifetime of a VM.
        forming_by_group: Members of the groups it is forming, by group name.
        formed_at_by_group: When it began to form them.
        free_since_by_vm: Since when each lifetime of a VM is in no group.
        loaded_by_vm: The model that each lifetime of a VM has in memory.
        kept_for_by_vm: The model that each lifetime of a VM is to serve next, for those whose group
            was given up for it.
        given_up: Names of groups that are being ended for another model.
        short_since: Since when a model has been short of groups, None while none is.
        ending_since_by_group: Since when each group that cannot serve any more is being ended.
    """

    given_by_vm: dict[str, Given] = dataclasses.field(default_factory=dict)
    forming_by_group: dict[str, tuple[catalog.Vm, ...]] = dataclasses.field(default_factory=dict)
    formed_at_by_group: dict[str, float] = dataclasses.field(default_factory=dict)
    free_since_by_vm: dict[str, float] = dataclasses.field(default_factory=dict)
    loaded_by_vm: dict[str, str] = dataclasses.field(default_factory=dict)
    kept_for_by_vm: dict[str, Kept] = dataclasses.field(default_factory=dict)
    given_up: frozenset[str] = frozenset()
    short_since: float | None = None
    ending_since_by_group: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """The orders to give now, and the memory to keep."""

    orders: tuple[orders.Order, ...]
    memory: Memory
    epochs_used: int
    loads_used: int
