"""The interface to the engines on the target VMs: status and orders.

Serving traffic does not go through here; see `gateway`.
"""

import abc
import dataclasses
import enum

from basilpost.core import failure


class RunnerState(enum.Enum):
    """What a runner says of itself."""

    EMPTY = "empty"
    LOADING = "loading"
    COLD = "cold"
    READY = "ready"


class OrderKind(enum.Enum):
    """What a runner is told to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunnerStatus:
    """A runner's own report, which lags behind.

    Attributes:
        vm_id: VM it runs on.
        group_id: Group it was told to join, empty for none.
        generation: Generation it was told.
        model: Loaded model.
        model_version: Loaded version.
        state: Its state.
        in_flight: Requests it is working on.
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
    """An order to a runner, with the fencing number of the controller that gives it."""

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
    """The runner has taken the order."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class StaleFence(failure.Failure):
    """The runner refused the order: it has seen a higher fencing number."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unreachable(failure.Failure):
    """No answer came; an order may have been taken."""


class RunnerClient(abc.ABC):
    """Talks to the runners; also probes plain services."""

    @abc.abstractmethod
    async def status(
        self, address: str, *, plain: bool = False, timeout: float = 1.0
    ) -> RunnerStatus | Unreachable:
        """Asks a runner (or, with `plain`, a plain service) for its status.

        A plain service that answers its health check counts as READY.
        """

    @abc.abstractmethod
    async def order(
        self, address: str, order: Order, *, timeout: float = 2.0
    ) -> Accepted | StaleFence | Unreachable:
        """Gives a runner an order; one that could not be sent within `timeout` is never sent."""
