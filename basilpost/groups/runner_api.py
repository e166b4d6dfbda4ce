"""The control interface to the runners on VMs: their status, and orders to load or unload weights.

Requests of callers do not pass through here; see `gateway`.
"""

import abc
import dataclasses
import enum

from basilpost.core import failure


class RunnerState(enum.Enum):
    """The state that a runner reports."""

    EMPTY = "empty"
    LOADING = "loading"
    COLD = "cold"
    READY = "ready"


class OrderKind(enum.Enum):
    """What an order asks a runner to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunnerStatus:
    """The status that a runner reports; it may be out of date on arrival.

    Attributes:
        vm_id: VM it runs on.
        group_id: Group of the latest order, empty for none.
        generation: Generation of that group in the latest order.
        model: Model that is loaded or being loaded.
        model_version: Version of that model.
        state: Its state.
        in_flight: Number of requests it is working on.
        fence: Highest fencing number it has seen.
    """

    vm_id: str
    group_id: str = ""
    generation: int = 0
    model: str = ""
    model_version: str = ""
    state: RunnerState = RunnerState.EMPTY
    in_flight: int = 0
    fence: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """An order to a runner, with the fencing number of the controller that sends it."""

    kind: OrderKind
    fence: int
    group_id: str = ""
    generation: int = 0
    rank: int = 0
    members: tuple[str, ...] = ()
    model: str = ""
    model_version: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """The runner has accepted the order."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class StaleFence(failure.Failure):
    """The runner refused the order: it has seen a higher fencing number."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unreachable(failure.Failure):
    """No answer came; if the call was an order, the runner may have accepted it."""


class RunnerClient(abc.ABC):
    """Reads the status of runners and plain services, and sends orders to runners."""

    @abc.abstractmethod
    async def status(
        self, address: str, *, plain: bool = False, timeout: float = 1.0
    ) -> RunnerStatus | Unreachable:
        """Returns the status of a runner or, with `plain`, of a plain service.

        A plain service that passes its health check is reported as READY.
        """

    @abc.abstractmethod
    async def order(
        self, address: str, order: Order, *, timeout: float = 2.0
    ) -> Accepted | StaleFence | Unreachable:
        """Sends a runner an order, within `timeout` seconds or never."""
