"""The interfaces through which the gateway uses admission, target choice, retries and quarantine."""

import abc
import dataclasses

from basilpost.core import data, failure
from basilpost.groups import slots


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """What routing needs to know of a request.

    Attributes:
        request_id: Unique id.
        workspace: Workspace of the caller.
        service: Requested service.
        idempotent: True if it may be sent more than once.
        deadline: Event loop's time by which the caller wants the whole answer.
        affinity: Hash key of the prompt's prefix, empty for none.
        fingerprint: Digest of workspace and body, by which repeats of a crashing request are
            recognised; empty for none.
        size: Bytes of the body.
    """

    request_id: str
    workspace: str
    service: str
    idempotent: bool
    deadline: float
    affinity: str = ""
    fingerprint: str = ""
    size: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Choice:
    """A chosen target and the slot that is reserved on it."""

    group: data.Group
    slot: slots.Slot


class Ticket(abc.ABC):
    """What an admitted request uses of its workspace's limits, until it is closed."""

    @abc.abstractmethod
    def close(self) -> None:
        """Releases the limits; later calls do nothing."""


class Admission(abc.ABC):
    """Limits by workspace, and fair queueing for a slot on a target."""

    @abc.abstractmethod
    def admit(self, request: Request) -> Ticket | failure.Refusal:
        """Checks rate, concurrency, memory and quarantine without waiting."""

    @abc.abstractmethod
    async def choose(
        self, request: Request, *, exclude: frozenset[str] = frozenset()
    ) -> Choice | failure.Refusal:
        """Waits in the fair queue for a slot on a complete, healthy target.

        Args:
            request: The admitted request.
            exclude: Ids of the groups that have failed this request.

        Returns:
            The target with a reserved slot, or a refusal. A request that cannot meet its deadline
            is refused without a wait.
        """

    @abc.abstractmethod
    def may_retry(self, request: Request) -> bool:
        """Spends one unit of the retry budget; returns False if there is none left."""


class Quarantine(abc.ABC):
    """Refuses requests that crash the targets that run them."""

    @abc.abstractmethod
    def check(self, request: Request) -> failure.Refusal | None:
        """Returns the final refusal of a quarantined request, None for any other."""

    @abc.abstractmethod
    def record_start(self, request: Request, group: data.Group) -> None:
        """Records that a request is sent to a group."""

    @abc.abstractmethod
    def record_end(
        self, request: Request, group: data.Group, *, crashed: bool, ran: bool = True
    ) -> None:
        """Records the end of a dispatch.

        Args:
            request: The request that was dispatched.
            group: Its target.
            crashed: True if the target was lost before its answer was complete.
            ran: False if the target refused it or it was cancelled; then it stays a suspect.
        """
