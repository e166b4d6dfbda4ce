"""The requests whose claims this node holds, and what it tells other nodes about them.

A repeat that arrives at another node asks the claim's holder here. An claim is kept until the
store has its outcome, so a holder that knows nothing of an attempt has restarted since.
"""

import asyncio
import dataclasses
import enum

from basilpost.core import clock, failure
from basilpost.runs import ledger

ATTACH_SLICE_SECONDS = 5.0


class Phase(enum.Enum):
    """Where a claim of this node stands."""

    CLAIMING = "claiming"
    HELD = "held"
    FINISHED = "finished"
    LOST = "lost"
    WITHDRAWN = "withdrawn"
    NOT_MINE = "not-mine"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attach:
    """Asks the holder of an attempt for its outcome, to be answered within some seconds."""

    attempt_id: str
    wait_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """The holder's word on an attempt; WITHDRAWN means never dispatched, now or later."""

    phase: Phase
    answer: ledger.Answer | None = None
    reason: str = ""


class HeldClaim:
    """A claim of this node, from before it is written until its outcome is in the store."""

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
        """Decides the outcome and wakes those who wait for it."""
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

    def report(self) -> Report:
        """Returns what a peer is told."""
        return Report(phase=self.phase, answer=self.answer, reason=self.reason)


class HeldClaims:
    """This node's claims, by attempt and by the request that they are the current claim of."""

    def __init__(self) -> None:
        self._by_attempt: dict[str, HeldClaim] = {}
        self._by_run: dict[str, HeldClaim] = {}
        self._withdrawn_by_run: dict[str, frozenset[str]] = {}

    def count(self) -> int:
        """Returns the number of claims whose outcome is not in the store yet."""
        return len(self._by_attempt)

    def add(self, claim: HeldClaim) -> None:
        """Makes an claim the current claim of its request."""
        self._by_attempt[claim.attempt_id] = claim
        self._by_run[claim.run_id] = claim

    def remove(self, claim: HeldClaim) -> None:
        """Forgets an claim whose outcome is in the store."""
        self._by_attempt.pop(claim.attempt_id, None)
        if self._by_run.get(claim.run_id) is claim:
            del self._by_run[claim.run_id]
        left = self.withdrawn(claim.run_id) - {claim.attempt_id}
        self._withdrawn_by_run.pop(claim.run_id, None)
        if left:
            self._withdrawn_by_run[claim.run_id] = left

    def withdraw(self, claim: HeldClaim) -> None:
        """Closes an claim that was not and never will be dispatched."""
        claim.close(Phase.WITHDRAWN)
        self._withdrawn_by_run[claim.run_id] = self.withdrawn(claim.run_id) | {claim.attempt_id}

    def current(self, run_id: str) -> HeldClaim | None:
        """Returns the current claim of a request, unless it was withdrawn."""
        claim = self._by_run.get(run_id)
        return None if claim is None or claim.phase is Phase.WITHDRAWN else claim

    def withdrawn(self, run_id: str) -> frozenset[str]:
        """Returns the withdrawn attempts on a request that may still be in the store."""
        return self._withdrawn_by_run.get(run_id, frozenset())

    def find(self, attempt_id: str) -> HeldClaim | None:
        """Returns the claim of an attempt."""
        return self._by_attempt.get(attempt_id)

    async def attach(self, node_id: str, message: Attach) -> Report:
        """Answers a peer that asks for an attempt's outcome."""
        claim = self._by_attempt.get(message.attempt_id)
        if claim is None:
            return Report(phase=Phase.NOT_MINE)
        if claim.is_open:
            await claim.wait(message.wait_seconds)
        return claim.report()


def wait_slice(deadline: float) -> float:
    """Returns how long to wait for a holder at once, so that a silent one is noticed."""
    return max(0.0, min(ATTACH_SLICE_SECONDS, deadline - clock.monotonic()))
