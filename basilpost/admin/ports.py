"""Interfaces through which operators inspect and settle requests.

The module `adapters` implements them with the ledger and the quarantine, which are in lower layers.
"""

import abc
import dataclasses

from basilpost.core import failure


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunView:
    """A non-idempotent request in an answer.

    Attributes:
        workspace: Workspace of the caller.
        service: Service that was called.
        key: Idempotency key.
        state: claimed, ran, unknown or not-run.
        node_id: Node that claimed the key.
        request_id: Id of the HTTP request that claimed the key.
        changed_at: Time of the last change of its state.
        detail: Text such as the reason of an unknown outcome.
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
    """An operator's decision on the outcome of a request.

    Attributes:
        workspace: Workspace of the caller.
        service: Service that was called.
        key: Idempotency key.
        ran: True if it ran, False if it certainly did not and may be sent again.
        actor: Operator who decides.
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
    """There is no request with this key, or no quarantine entry with this fingerprint."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotOffered(failure.Failure):
    """This node runs no ledger or no quarantine."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreUnavailable(failure.Failure):
    """The store could not be read or written; nothing was changed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutcomeUnknown(failure.Failure):
    """The store did not confirm a change; read the state again before repeating it."""


class RunAdmin(abc.ABC):
    """Shows and settles non-idempotent requests."""

    @abc.abstractmethod
    async def show(self, workspace: str, service: str, key: str) -> RunView | failure.Failure:
        """Returns the record of one request."""

    @abc.abstractmethod
    async def unsettled(self) -> tuple[RunView, ...] | failure.Failure:
        """Returns all requests whose outcome is not final, running ones included."""

    @abc.abstractmethod
    async def settle(self, settlement: Settlement) -> RunView | failure.Failure:
        """Records the outcome of a request whose outcome is unknown."""


class QuarantineAdmin(abc.ABC):
    """Shows and releases quarantined requests."""

    @abc.abstractmethod
    async def list(self) -> tuple[QuarantineView, ...] | failure.Failure:
        """Returns all quarantined requests."""

    @abc.abstractmethod
    async def release(
        self, fingerprint: str, *, actor: str, reason: str
    ) -> QuarantineView | failure.Failure:
        """Ends the quarantine of a request on all nodes."""
