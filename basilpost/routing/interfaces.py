"""The interfaces of admission, selection, retry and quarantine, as the gateway uses them."""

import abc
import dataclasses

from basilpost.core import data, failure
from basilpost.groups import slots


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """What routing needs to know of a request.

    Attributes:
        request_id: Unique id.
        workspace: Caller's workspace.
        service: Service called.
        idempotent: True if it may be repeated.
        deadline: Event loop's time by which the caller wants the whole answer.
        affinity: Hash key of the prompt's prefix, empty for none.
        fingerprint: Digest of workspace and body, by which a crashing request is known again.
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
    """A target and the slot taken on it."""

    group: data.Group
    slot: slots.Slot


class Ticket(abc.ABC):
    """An admitted request's hold on its workspace's limits."""

    @abc.abstractmethod
    def close(self) -> None:
        """Gives the hold back; later calls do nothing."""


class Admission(abc.ABC):
    """Limits by workspace, fair queueing and choice of a target, in one wait."""

    @abc.abstractmethod
    def admit(self, request: Request) -> Ticket | failure.Refusal:
        """Checks rate, concurrency and quarantine at once, without waiting."""

    @abc.abstractmethod
    async def choose(
        self, request: Request, *, exclude: frozenset[str] = frozenset()
    ) -> Choice | failure.Refusal:
        """Waits in the fair queue for a slot on a complete, healthy target.

        Args:
            request: The admitted request.
            exclude: Group ids that have failed this request.

        Returns:
            The choice, or a refusal at once when the deadline cannot be met.
        """

    @abc.abstractmethod
    def may_retry(self, request: Request) -> bool:
        """Spends one unit of the retry budget; returns False if there is none left."""


class Quarantine(abc.ABC):
    """Requests that are suspected of crashing their targets."""

    @abc.abstractmethod
    def check(self, request: Request) -> failure.Refusal | None:
        """Returns the final refusal of a quarantined request, None for any other."""

    @abc.abstractmethod
    def record_start(self, request: Request, group: data.Group) -> None:
        """Notes that a request is in flight on a group."""

    @abc.abstractmethod
    def record_end(
        self, request: Request, group: data.Group, *, crashed: bool, ran: bool = True
    ) -> None:
        """Notes the end of a dispatch.

        Args:
            request: The request.
            group: Its target.
            crashed: True if the target went away under it.
            ran: False if the target refused it or it was cancelled, which clears no suspect.
        """
