"""The interface of the ledger, by which a non-idempotent request runs at most once."""

import abc
import dataclasses

from basilpost.core import failure


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """The whole answer to a request, kept for repeats of it.

    Attributes:
        status: HTTP status.
        headers: Names and values of the headers that are passed to the caller.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A non-idempotent request.

    Attributes:
        workspace: Workspace of the caller.
        service: Requested service.
        key: The caller's idempotency key.
        digest: Digest of method, path and body; a repeat must have the same.
        request_id: Id of this request.
        outcome_path: Path at which the service can be asked for the outcome of the key, empty for
            none.
    """

    workspace: str
    service: str
    key: str
    digest: str
    request_id: str
    outcome_path: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Claim:
    """The right to dispatch a request once, confirmed by the store.

    Attributes:
        call: The request that may be dispatched.
        attempt_id: Unique id of the claim.
        node_id: Node that holds the claim.
        confirmed_at: Event loop's time right before the confirming call to the store.
    """

    call: Call
    attempt_id: str
    node_id: str
    confirmed_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Replayed:
    """The kept answer of a request that has already run."""

    answer: Answer


class Ledger(abc.ABC):
    """Records the claims, answers and outcomes of non-idempotent requests."""

    @abc.abstractmethod
    async def claim(self, call: Call, *, timeout: float) -> Claim | Replayed | failure.Refusal:
        """Claims a request before its dispatch, or returns what became of an earlier one.

        A repeat of a running request waits for the answer. A request is refused if the store cannot
        be reached, or if its key was used for another method, path or body.

        Args:
            call: The request to claim.
            timeout: Seconds to wait at most.
        """

    @abc.abstractmethod
    async def may_dispatch(self, claim: Claim) -> bool:
        """Returns True if the claim is fresh; confirms it again if the last time is too long ago."""

    @abc.abstractmethod
    async def finish(self, claim: Claim, answer: Answer) -> None:
        """Records the answer of a request that ran, and returns it to the repeats that wait."""

    @abc.abstractmethod
    async def withdraw(self, claim: Claim) -> None:
        """Withdraws the claim of a request of which no byte can have reached a target."""

    @abc.abstractmethod
    async def mark_unknown(self, claim: Claim, reason: str) -> None:
        """Records that the outcome is unknown; until that is settled, the request never runs again.

        Args:
            claim: The claim under which the request was dispatched.
            reason: Why the outcome is unknown, for repeats and operators.
        """
