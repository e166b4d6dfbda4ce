"""The interfaces by which operators look at and settle requests.

The ledger and the quarantine live in layers below; adapters in `adapters` fit them to these.
"""

import abc
import dataclasses

from basilpost.core import failure


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunView:
    """A non-idempotent request as operators see it.

    Attributes:
        workspace: Who called.
        service: What was called.
        key: Idempotency key.
        state: claimed, ran, unknown or not-run.
        node_id: Node that claimed it.
        request_id: Id of the request that claimed it.
        changed_at: Time of the last change of its state.
        detail: More for a person, such as the reason of an unknown outcome.
    """

    workspace: str
    service: str
    key: str
    state: str
    node_id: str = ""
    request_id: str = ""
    changed_at: str = ""
    detail: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settlement:
    """An operator's finding of what became of a request.

    Attributes:
        workspace: Who called.
        service: What was called.
        key: Idempotency key.
        ran: True if it ran, False if it surely did not and may be sent again.
        actor: Operator who settles it.
        reason: How the operator knows.
    """

    workspace: str
    service: str
    key: str
    ran: bool
    actor: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuarantineView:
    """A request that is refused because it crashes its targets."""

    fingerprint: str
    workspace: str = ""
    since: str = ""
    detail: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoRun(failure.Failure):
    """Nothing is known under this key."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotOffered(failure.Failure):
    """This node has no part that can do it."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreUnavailable(failure.Failure):
    """The store could not be used; nothing was changed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutcomeUnknown(failure.Failure):
    """The store did not tell whether the change took effect; look again before repeating it."""


class RunAdmin(abc.ABC):
    """Shows and settles non-idempotent requests."""

    @abc.abstractmethod
    async def show(self, workspace: str, service: str, key: str) -> RunView | failure.Failure:
        """Returns what is known of a request."""

    @abc.abstractmethod
    async def unsettled(self) -> tuple[RunView, ...] | failure.Failure:
        """Returns all requests whose outcome is open, those that still run included."""

    @abc.abstractmethod
    async def settle(self, settlement: Settlement) -> RunView | failure.Failure:
        """Records what became of a request whose outcome is unknown."""


class QuarantineAdmin(abc.ABC):
    """Shows and releases quarantined requests."""

    @abc.abstractmethod
    async def list(self) -> tuple[QuarantineView, ...] | failure.Failure:
        """Returns all quarantined requests."""

    @abc.abstractmethod
    async def release(
        self, fingerprint: str, *, actor: str, reason: str
    ) -> QuarantineView | failure.Failure:
        """Lets a request through again on all nodes."""
