"""The claims that this node holds, and its reports on them to other nodes.

A node that receives a repeat asks the holder of the claim for the outcome. A claim is kept here
until the store has its outcome, so a holder that does not know an attempt has restarted since.
"""

import asyncio
import dataclasses
import enum

from basilpost.core import clock, failure
from basilpost.runs import ledger

# Longest single wait for a holder's report, so that a holder that fails meanwhile is noticed.
MAX_QUERY_SECONDS = 5.0


class Phase(enum.Enum):
    """The state of a claim, as its holder reports it."""

    CLAIMING = "claiming"
    HELD = "held"
    FINISHED = "finished"
    LOST = "lost"
    WITHDRAWN = "withdrawn"
    NOT_MINE = "not-mine"


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutcomeQuery:
    """Asks the holder of a claim for the outcome of the attempt.

    Attributes:
        attempt_id: Id of the claim.
        wait_seconds: How long the holder waits for the outcome before it answers.
    """

    WIRE_NAME = "Attach"

    attempt_id: str
    wait_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutcomeReport:
    """A holder's report on an attempt.

    Attributes:
        phase: State of the claim. WITHDRAWN says that the request was not dispatched under this
            claim and never will be, NOT_MINE that this node does not hold the claim.
        answer: The answer of a finished request, None if it is not kept.
        reason: Why the outcome is unknown, for LOST.
    """

    WIRE_NAME = "Report"

    phase: Phase
    answer: ledger.Answer | None = None
    reason: str = ""


class HeldClaim:
    """A claim of this node, from before its write until its outcome is stored.

    Attributes:
        call: The claimed request.
        run_id: Id of the request within the ledger.
        attempt_id: Unique id of the claim.
        phase: State of the claim.
        answer: The answer of a finished request, None if it is too large to keep.
        reason: Why the outcome is unknown.
        refusal: What the request was refused with, if its claim failed.
        confirmed_at: Event loop's time right before the call that last confirmed the claim.
        confirmations: How often the claim was confirmed again.
        fence_version: Version of the bucket that a delayed write of the claim is conditional on.
            While the bucket has it, the write can still take effect. None without such a write.
    """

    def __init__(self, *, call: ledger.Call, run_id: str, attempt_id: str) -> None:
        self.call = call
        self.run_id = run_id
        self.attempt_id = attempt_id
        self.phase = Phase.CLAIMING
        self.answer: ledger.Answer | None = None
        self.reason = ""
        self.refusal: failure.Refusal | None = None
        self.confirmed_at = 0.0
        self.confirmations = 0
        self.fence_version: int | None = None
        self._closed = asyncio.Event()

    @property
    def is_open(self) -> bool:
        """Returns True until the outcome is decided."""
        return self.phase in (Phase.CLAIMING, Phase.HELD)

    def close(self, phase: Phase) -> None:
        """Sets the final phase and wakes the repeats that wait for it."""
        self.phase = phase
        self._closed.set()

    async def wait(self, seconds: float) -> bool:
        """Waits for the outcome; returns False if it is not decided in time."""
        try:
            async with asyncio.timeout(seconds):
                await self._closed.wait()
        except TimeoutError:
            return False
        return True

    def report(self) -> OutcomeReport:
        """Returns the report for a peer."""
        return OutcomeReport(phase=self.phase, answer=self.answer, reason=self.reason)


class HeldClaims:
    """This node's claims, by attempt, and the current one of each request."""

    def __init__(self) -> None:
        self._by_attempt: dict[str, HeldClaim] = {}
        self._by_run: dict[str, HeldClaim] = {}
        self._withdrawn_by_run: dict[str, frozenset[str]] = {}

    def count(self) -> int:
        """Returns the number of claims whose outcome is not stored yet."""
        return len(self._by_attempt)

    def add(self, claim: HeldClaim) -> None:
        """Makes a claim the current claim of its request."""
        self._by_attempt[claim.attempt_id] = claim
        self._by_run[claim.run_id] = claim

    def remove(self, claim: HeldClaim) -> None:
        """Removes a claim whose outcome is stored."""
        self._by_attempt.pop(claim.attempt_id, None)
        if self._by_run.get(claim.run_id) is claim:
            del self._by_run[claim.run_id]
        remaining = self.withdrawn(claim.run_id) - {claim.attempt_id}
        self._withdrawn_by_run.pop(claim.run_id, None)
        if remaining:
            self._withdrawn_by_run[claim.run_id] = remaining

    def withdraw(self, claim: HeldClaim) -> None:
        """Closes a claim that was not and never will be dispatched."""
        claim.close(Phase.WITHDRAWN)
        self._withdrawn_by_run[claim.run_id] = self.withdrawn(claim.run_id) | {claim.attempt_id}

    def current(self, run_id: str) -> HeldClaim | None:
        """Returns the current claim of a request, unless it was withdrawn."""
        claim = self._by_run.get(run_id)
        return None if claim is None or claim.phase is Phase.WITHDRAWN else claim

    def withdrawn(self, run_id: str) -> frozenset[str]:
        """Returns the withdrawn attempts at a request whose claims may still be in the store."""
        return self._withdrawn_by_run.get(run_id, frozenset())

    def find(self, attempt_id: str) -> HeldClaim | None:
        """Returns the claim with the given attempt id, None if this node holds none."""
        return self._by_attempt.get(attempt_id)

    async def on_outcome_query(self, node_id: str, message: OutcomeQuery) -> OutcomeReport:
        """Answers a peer's question for the outcome of an attempt."""
        claim = self._by_attempt.get(message.attempt_id)
        if claim is None:
            return OutcomeReport(phase=Phase.NOT_MINE)
        if claim.is_open:
            await claim.wait(message.wait_seconds)
        return claim.report()


def next_wait_seconds(deadline: float) -> float:
    """Returns how long the next question to a holder may wait, at most until the deadline."""
    return max(0.0, min(MAX_QUERY_SECONDS, deadline - clock.monotonic()))
