"""The requests whose claims this node holds, and what it tells other nodes about them.

A repeat that arrives at another node asks the claim's holder here. An entry is kept until the
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


class Entry:
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
    def open(self) -> bool:
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


class Entries:
    """This node's claims, by attempt and by the request that they are the current claim of."""

    def __init__(self) -> None:
        self._by_attempt: dict[str, Entry] = {}
        self._by_run: dict[str, Entry] = {}
        self._withdrawn_by_run: dict[str, frozenset[str]] = {}

    def count(self) -> int:
        """Returns the number of claims whose outcome is not in the store yet."""
        return len(self._by_attempt)

    def add(self, entry: Entry) -> None:
        """Makes an entry the current claim of its request."""
        self._by_attempt[entry.attempt_id] = entry
        self._by_run[entry.run_id] = entry

    def remove(self, entry: Entry) -> None:
        """Forgets an entry whose outcome is in the store."""
        self._by_attempt.pop(entry.attempt_id, None)
        if self._by_run.get(entry.run_id) is entry:
            del self._by_run[entry.run_id]
        left = self.withdrawn(entry.run_id) - {entry.attempt_id}
        self._withdrawn_by_run.pop(entry.run_id, None)
        if left:
            self._withdrawn_by_run[entry.run_id] = left

    def withdraw(self, entry: Entry) -> None:
        """Closes an entry that was not and never will be dispatched."""
        entry.close(Phase.WITHDRAWN)
        self._withdrawn_by_run[entry.run_id] = self.withdrawn(entry.run_id) | {entry.attempt_id}

    def current(self, run_id: str) -> Entry | None:
        """Returns the current claim of a request, unless it was withdrawn."""
        entry = self._by_run.get(run_id)
        return None if entry is None or entry.phase is Phase.WITHDRAWN else entry

    def withdrawn(self, run_id: str) -> frozenset[str]:
        """Returns the withdrawn attempts on a request that may still be in the store."""
        return self._withdrawn_by_run.get(run_id, frozenset())

    def attempt(self, attempt_id: str) -> Entry | None:
        """Returns the entry of an attempt."""
        return self._by_attempt.get(attempt_id)

    async def attach(self, node_id: str, message: Attach) -> Report:
        """Answers a peer that asks for an attempt's outcome."""
        entry = self._by_attempt.get(message.attempt_id)
        if entry is None:
            return Report(phase=Phase.NOT_MINE)
        if entry.open:
            await entry.wait(message.wait_seconds)
        return entry.report()


def wait_slice(deadline: float) -> float:
    """Returns how long to wait for a holder at once, so that a silent one is noticed."""
    return max(0.0, min(ATTACH_SLICE_SECONDS, deadline - clock.monotonic()))
