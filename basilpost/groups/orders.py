"""Orders that form and dissolve the groups of a pool, and the interface that sends them."""

import abc
import dataclasses
import enum

from basilpost.core import catalog, failure


class Kind(enum.Enum):
    """The operation that a runner is ordered to carry out.

    JOIN makes the VM a member of a group and loads the model, OPEN and CLOSE start and stop the
    group's acceptance of requests (those that it has finish), LEAVE ends the VM's membership, and STAGE copies the weights of
    a model to the VM's host.
    """

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


class Cause(enum.Enum):
    """Why a group is closed or dissolved, for the log."""

    MEMBER_LEAVES = "member_leaves"
    DONOR = "donor"
    GIVEN_UP = "given_up"
    INCOMPLETE = "incomplete"
    BROKEN = "broken"
    ABANDONED = "abandoned"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """An order to the runner of one VM.

    Attributes:
        kind: Operation to carry out.
        vm: VM whose runner receives the order.
        group: Name of the group; empty for STAGE.
        epoch: Epoch of the group. Epochs only rise and are never reused.
        model: Model to load, for JOIN and STAGE.
        members: Ids of all members, the head first, for JOIN.
        cause: For CLOSE and LEAVE: why the group is closed or dissolved.
        left_group: For JOIN: the group that this controller ordered the VM to leave just before, empty
            for none.
    """

    kind: Kind
    vm: catalog.Vm
    group: str = ""
    epoch: int = 0
    model: str = ""
    members: tuple[str, ...] = ()
    cause: Cause | None = None
    left_group: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """What a runner says of itself; it may be some tenths of a second old.

    Attributes:
        group: Name of the group that the runner is in, empty for none.
        begun_orders: Number of orders that began something since the runner started; None if it does
            not count them.
        incarnation: Start time of the runner, None if it names none.
    """

    group: str
    begun_orders: int | None
    incarnation: int | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """The runner has begun to carry out the order, or had already carried it out."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unfit(failure.Failure):
    """The runner rejected the order because its state does not allow the operation."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outdated(failure.Failure):
    """The runner rejected the order because it has seen a higher fencing number or epoch."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unanswered(failure.Failure):
    """No usable reply came; the runner may have carried out the order or may still do so."""


Result = Accepted | Unfit | Outdated | Unanswered


class RunnerClient(abc.ABC):
    """Sends orders to the runners of a pool."""

    @abc.abstractmethod
    async def send(self, order: Order, *, fence: int, timeout: float) -> Result:
        """Sends one order with the fencing number of the controller that issues it.

        A runner that counts its orders carries out a JOIN, however late, only if the VM is in no
        serving group and the runner has begun no other order since.
        """

    @abc.abstractmethod
    async def responds(self, vm: catalog.Vm, *, timeout: float) -> bool:
        """Returns True if the runner answers a status request within the timeout."""
