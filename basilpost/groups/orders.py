"""The interface to the engines of a pool: the orders that form and end groups."""

import abc
import dataclasses
import enum

from basilpost.core import catalog, failure


class Kind(enum.Enum):
    """What a VM is ordered to do."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """An order to the runner of one VM.

    Attributes:
        kind: What to do.
        vm: The VM.
        group: Name of the group; empty for STAGE.
        epoch: The group's epoch, which never repeats and only rises.
        model: Model to load, for JOIN and STAGE.
        members: Ids of all members, the head first, for JOIN.
        at_once: For CLOSE: True cuts the work in progress, False lets it finish.
    """

    kind: Kind
    vm: catalog.Vm
    group: str = ""
    epoch: int = 0
    model: str = ""
    members: tuple[str, ...] = ()
    at_once: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """The order has begun, or its result already holds."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unfit(failure.Failure):
    """The order does not fit the runner's state."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outdated(failure.Failure):
    """The runner has seen a higher fencing number or epoch."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unanswered(failure.Failure):
    """No answer came: the order may have been taken, or may be carried out later."""


Result = Accepted | Unfit | Outdated | Unanswered


class RunnerClient(abc.ABC):
    """Sends orders to the runners of a pool."""

    @abc.abstractmethod
    async def send(self, order: Order, *, fence: int, timeout: float) -> Result:
        """Sends one order with a fencing number."""

    @abc.abstractmethod
    async def responds(self, vm: catalog.Vm, *, timeout: float) -> bool:
        """Returns True if the runner answers a status request within the timeout."""
