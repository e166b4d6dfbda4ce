"""The interface to the ledger that makes a non-idempotent request run at most once."""

import abc
import dataclasses

from basilpost.core import failure


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """A finished answer as kept for repeats; `headers` holds those that reach the caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A non-idempotent request.

    Attributes:
        workspace: Who calls.
        service: What is called.
        key: The caller's idempotency key.
        digest: Digest of method, path and body; a repeat must have the same.
        request_id: Id of this request.
        outcome_path: Path at which the service tells what became of the key, empty for none.
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
        call: The request.
        attempt_id: Unique id of the claim.
        node_id: Node that holds it.
        confirmed_at: Event loop's time from before the confirming call was sent.
    """

    call: Call
    attempt_id: str
    node_id: str
    confirmed_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Replayed:
    """The request has run; this is its kept answer."""

    answer: Answer


class Ledger(abc.ABC):
    """Claims, answers and outcomes of non-idempotent requests."""

    @abc.abstractmethod
    async def claim(self, call: Call, *, timeout: float) -> Claim | Replayed | failure.Refusal:
        """Claims a request before its dispatch, or tells what became of it.

        A repeat of a running request waits for its answer, up to `timeout`. Without the store, or
        with another body under the same key, the request is refused.
        """

    @abc.abstractmethod
    async def may_dispatch(self, claim: Claim) -> bool:
        """Returns True if the claim is fresh, re-reading it when it was confirmed too long ago."""

    @abc.abstractmethod
    async def finish(self, claim: Claim, answer: Answer) -> None:
        """Keeps the answer of a request that ran, and hands it to those who wait for it."""

    @abc.abstractmethod
    async def withdraw(self, claim: Claim) -> None:
        """Withdraws the claim of a request of which surely no byte reached a target."""

    @abc.abstractmethod
    async def mark_unknown(self, claim: Claim, reason: str) -> None:
        """Records that the request's outcome is unknown; it is never dispatched again."""
