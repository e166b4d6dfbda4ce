"""Relays the streamed answer of a model to its caller.

When the target is lost midway the stream goes on from another target, at the token after the last one
that was relayed. A stream that cannot be completed ends in an error event; it is never cut short
silently.
"""

import abc
import asyncio
import dataclasses

from basilpost.core import clock, failure, names
from basilpost.gateway import dispatch, events, meters, refusals, upstream
from basilpost.routing import policy


class Sink(abc.ABC):
    """The caller's end of a stream."""

    @abc.abstractmethod
    async def begin(self, target: str) -> None:
        """Sends the head of the answer."""

    @abc.abstractmethod
    async def write_piece(self, piece: bytes) -> None:
        """Sends a piece; returns once there is room for more."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Streamed:
    """The stream was relayed to its end, or ended in an error event."""

    events: int
    refusal: failure.Refusal | None = None


class StreamRelay:
    """Relays one stream, over as many targets as it takes."""

    def __init__(
        self,
        *,
        dispatcher: dispatch.Dispatcher,
        meters: meters.Meters,
        request: policy.Request,
        message: dispatch.Message,
        sink: Sink,
        silence: float,
    ) -> None:
        self._dispatcher = dispatcher
        self._meters = meters
        self._attempts = dispatch.Attempts(request=request)
        self._message = message
        self._sink = sink
        self._silence = silence
        self._relayed = 0
        self._begun = False

    async def run(self) -> Streamed | dispatch.Answered | failure.Refusal:
        """Relays the stream; a refusal is returned only while nothing was sent to the caller."""
        try:
            async with asyncio.timeout_at(self._attempts.request.deadline):
                result = await self._relay()
        except TimeoutError:
            result = refusals.deadline_passed(self._attempts.outcome)
        if isinstance(result, failure.Refusal) and self._begun:
            await self._sink.write_piece(events.error_event(refusals.body_of(result)))
            return Streamed(events=self._relayed, refusal=result)
        return result

    async def _relay(self) -> Streamed | dispatch.Answered | failure.Refusal:
        while True:
            opened = await self._dispatcher.open(self._attempts)
            if isinstance(opened, failure.Refusal):
                return opened
            result = await self._attempt(opened)
            if not isinstance(result, dispatch.TryElsewhere):
                return result
            refusal = self._dispatcher.may_retry(self._attempts, result)
            if refusal is not None:
                return refusal

    async def _attempt(
        self, opened: dispatch.Opened
    ) -> Streamed | dispatch.Answered | dispatch.TryElsewhere:
        result: Streamed | dispatch.Answered | dispatch.TryElsewhere | None = None
        try:
            headers = dict(self._message.headers)
            if self._relayed:
                headers[names.RESUME_HEADER] = str(self._relayed)
            opened.exchange.silent_at = clock.monotonic() + 2 * self._silence
            message = dataclasses.replace(self._message, headers=headers)
            self._dispatcher.send(self._attempts, opened, message)
            result = await self._read(opened)
            return result
        finally:
            self._dispatcher.close(self._attempts, opened, _ended(result))

    async def _read(
        self, opened: dispatch.Opened
    ) -> Streamed | dispatch.Answered | dispatch.TryElsewhere:
        head = await opened.exchange.head()
        if isinstance(head, upstream.Broken):
            return dispatch.TryElsewhere(reason=head.reason, crashed=True)
        if head.status != 200:
            return await dispatch.read_answer(opened)
        problem = dispatch.problem_of(head, opened)
        if problem is not None:
            return problem
        if not self._begun:
            self._begun = True
            await self._sink.begin(opened.choice.group.group_id)
        return await self._relay_events(opened)

    async def _relay_events(self, opened: dispatch.Opened) -> Streamed | dispatch.TryElsewhere:
        exchange = opened.exchange
        wire_id = opened.wire_id.encode()
        buffer = b""
        while True:
            piece = await exchange.read()
            if isinstance(piece, upstream.Broken):
                return dispatch.TryElsewhere(reason=piece.reason, crashed=True)
            if not piece:
                reason = "the stream ended before its final event"
                return dispatch.TryElsewhere(reason=reason, crashed=True)
            exchange.silent_at = clock.monotonic() + self._silence
            found = events.cut(buffer + piece if buffer else piece)
            buffer = found.rest
            if not events.belongs(found, wire_id):
                return dispatch.TryElsewhere(reason="an event belongs to another request")
            await self._forward(found)
            if found.done:
                return Streamed(events=self._relayed)

    async def _forward(self, found: events.Cut) -> None:
        self._relayed += found.count
        self._meters.events.inc(found.count)
        piece = found.events + events.DONE_EVENT if found.done else found.events
        if piece:
            await self._sink.write_piece(piece)


def _ended(
    result: Streamed | dispatch.Answered | dispatch.TryElsewhere | None,
) -> dispatch.Answered | dispatch.TryElsewhere | None:
    """Returns the result as the dispatcher's books take it."""
    if isinstance(result, Streamed):
        return dispatch.Answered(status=200, headers=(), body=b"")
    return result
