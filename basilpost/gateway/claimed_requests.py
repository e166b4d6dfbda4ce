"""Runs non-idempotent requests at most once, under a claim in the ledger.

Before the first byte is sent, or after a target has refused a request without running it, another target
may be tried. Otherwise the request is never sent again: its answer is stored for repeats, or its
outcome is recorded as unknown. A caller that disconnects does not stop a request that may run.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from basilpost.core import clock, failure
from basilpost.gateway import dispatch, refusals
from basilpost.routing import interfaces
from basilpost.runs import ledger
from basilpost.runs import witnesses as witnesses_

# A request may run for this long beyond its caller's deadline, so that its answer is recorded for repeats.
_OVERTIME_SECONDS = 60.0
# Statuses of refusals that may be given without reading the ledger.
_STATUSES_WITHOUT_LEDGER = frozenset({429, 503, 504})


class ClaimedRequests:
    """Runs claimed requests, each in a task that outlives its caller's connection."""

    def __init__(
        self,
        *,
        dispatcher: dispatch.Dispatcher,
        ledger: ledger.Ledger,
        witnesses: witnesses_.Witnesses,
    ) -> None:
        self._dispatcher = dispatcher
        self._witnesses = witnesses
        self._ledger = ledger
        self._running: set[asyncio.Task[Any]] = set()

    async def run(
        self, call: ledger.Call, request: interfaces.Request, message: dispatch.Message
    ) -> dispatch.Answered | failure.Refusal:
        """Claims and runs a request; returns its stored answer or a refusal if it cannot be claimed."""
        seconds_left = request.deadline - clock.monotonic()
        claim = await self._ledger.claim(call, timeout=seconds_left)
        if isinstance(claim, ledger.Replayed):
            return _replayed(claim.answer)
        if isinstance(claim, failure.Refusal):
            return await self.corrected_refusal(call, claim)
        attempts = dispatch.Attempts(request=request)
        task = self._spawn(self._run(claim, attempts, message))
        try:
            async with asyncio.timeout_at(request.deadline):
                return await asyncio.shield(task)
        except TimeoutError:
            return refusals.deadline_passed(failure.Outcome.UNKNOWN)

    async def look_up(
        self, call: ledger.Call, request: interfaces.Request
    ) -> dispatch.Answered | failure.Refusal:
        """Returns the stored answer of a request or a refusal, without running it.

        A stopping node uses this: to refuse a repeat of a request that has run as "not run" would be
        false.
        """
        seconds_left = request.deadline - clock.monotonic()
        claim = await self._ledger.claim(call, timeout=seconds_left)
        if isinstance(claim, ledger.Replayed):
            return _replayed(claim.answer)
        if isinstance(claim, failure.Refusal):
            return await self.corrected_refusal(call, claim)
        await self._ledger.withdraw(claim)
        return refusals.stopping()

    async def corrected_refusal(
        self, call: ledger.Call, refusal: failure.Refusal
    ) -> failure.Refusal:
        """Returns a refusal, with outcome unknown unless it is known that the key has not run.

        Only refusals that may be given without the ledger are changed; the ledger knows the others to be
        true.
        """
        if refusal.status not in _STATUSES_WITHOUT_LEDGER:
            return refusal
        return await self._witnesses.correct_outcome(call, refusal)

    async def wait_recorded(self, give_up_at: float) -> int:
        """Waits until all running requests have ended and are recorded.

        Returns the number that are not recorded at the event loop's time `give_up_at`; during an outage
        of the store nothing can be recorded.
        """
        while self._running and (seconds_left := give_up_at - clock.monotonic()) > 0:
            await asyncio.wait(set(self._running), timeout=seconds_left)
        return len(self._running)

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task

    async def _run(
        self, claim: ledger.Claim, attempts: dispatch.Attempts, message: dispatch.Message
    ) -> dispatch.Answered | failure.Refusal:
        try:
            async with asyncio.timeout_at(attempts.request.deadline + _OVERTIME_SECONDS):
                return await self._dispatch(claim, attempts, message)
        except TimeoutError:
            return self._give_up(claim, attempts, refusals.deadline_passed(attempts.outcome))

    async def _dispatch(
        self, claim: ledger.Claim, attempts: dispatch.Attempts, message: dispatch.Message
    ) -> dispatch.Answered | failure.Refusal:
        while True:
            opened = await self._dispatcher.open(attempts)
            if isinstance(opened, failure.Refusal):
                return self._give_up(claim, attempts, opened)
            if not await self._may_send(claim, attempts, opened):
                return self._give_up(claim, attempts, _claim_outdated(attempts.outcome))
            self._witnesses.record_dispatch(claim.call)
            result = await self._dispatcher.send_and_read(attempts, opened, message)
            if isinstance(result, dispatch.Answered):
                answer = ledger.Answer(
                    status=result.status, headers=result.headers, body=result.body
                )
                self._spawn(self._ledger.finish(claim, answer))
                return result
            if not result.refused:
                refusal = refusals.target_lost(result.reason, failure.Outcome.UNKNOWN)
                return self._give_up(claim, attempts, refusal)

    async def _may_send(
        self, claim: ledger.Claim, attempts: dispatch.Attempts, opened: dispatch.OpenDispatch
    ) -> bool:
        """Checks claim, node and deadline right before the first byte is sent; closes the dispatch if not."""
        allowed = False
        try:
            allowed = (
                await self._ledger.may_dispatch(claim)
                and self._dispatcher.node_may_dispatch()
                and clock.monotonic() < attempts.request.deadline
            )
            return allowed
        finally:
            if not allowed:
                self._dispatcher.close(attempts, opened, None)

    def _give_up(
        self, claim: ledger.Claim, attempts: dispatch.Attempts, refusal: failure.Refusal
    ) -> failure.Refusal:
        if attempts.may_have_run:
            self._spawn(self._ledger.mark_unknown(claim, refusal.reason))
        else:
            self._spawn(self._ledger.withdraw(claim))
        return attempts.corrected_refusal(refusal)


def _replayed(answer: ledger.Answer) -> dispatch.Answered:
    return dispatch.Answered(
        status=answer.status, headers=answer.headers, body=answer.body, replayed=True
    )


def _claim_outdated(outcome: failure.Outcome) -> failure.Refusal:
    return failure.Refusal(
        reason="the claim could not be confirmed right before dispatch",
        code="claim_outdated",
        status=503,
        outcome=outcome,
        retry_after=1.0,
    )
