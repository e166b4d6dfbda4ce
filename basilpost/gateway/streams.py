"""Relays the streamed answer of a model to its caller.

When the target is lost midway the stream goes on from another target, at the token after the last one
that was relayed. A stream that cannot be completed ends in an error event; it is never cut short
silently.
"""

import abc
import asyncio
import dataclasses

from basilpost.core import clock, failure, names
from basilpost.gateway import dispatch, event_exchange, events, exchange, meters, refusals
from basilpost.routing import policy


class Sink(abc.ABC):
    """The caller's end of a stream."""

    @abc.abstractmethod
    async def begin(self, target: str) -> None:
        """Sends the head of the answer."""

    @abc.abstractmethod
    def push(self, piece: bytes) -> bool:
        """Sends a piece; returns False if nothing more should be sent before `drained`."""

    @abc.abstractmethod
    async def drained(self) -> None:
        """Waits until there is room for more."""


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
            self._sink.push(events.error_event(refusals.body_of(result)))
            return Streamed(events=self._relayed, refusal=result)
        return result

    async def _relay(self) -> Streamed | dispatch.Answered | failure.Refusal:
        while True:
            opened = await self._dispatcher.open(self._attempts, events=True)
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
        if isinstance(head, exchange.Broken):
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
        source = opened.exchange
        assert isinstance(source, event_exchange.EventExchange)
        receiver = _EventReceiver(sink=self._sink, wire_id=opened.wire_id.encode())
        try:
            broken = await source.pump(receiver, silence=self._silence)
        finally:
            self._relayed += receiver.count
            self._meters.events.inc(receiver.count)
        if receiver.done:
            return Streamed(events=self._relayed)
        if receiver.crossed:
            return dispatch.TryElsewhere(reason="an event belongs to another request")
        reason = broken.reason if broken else "the stream ended before its final event"
        return dispatch.TryElsewhere(reason=reason, crashed=True)


class _EventReceiver(event_exchange.Receiver):
    """Forwards complete events of the right request to the sink."""

    def __init__(self, *, sink: Sink, wire_id: bytes) -> None:
        self._sink = sink
        self._wire_id = wire_id
        self._rest = b""
        self._has_room = True
        self.count = 0
        self.done = False
        self.crossed = False

    @property
    def ended(self) -> bool:
        """Returns True after the final event or a crossed one."""
        return self.done or self.crossed

    @property
    def congested(self) -> bool:
        """Returns True while the caller's connection takes no more."""
        return not self._has_room

    def take(self, piece: bytes) -> None:
        """Forwards the complete events."""
        if self.done or self.crossed:
            return
        found = events.split(self._rest + piece if self._rest else piece)
        self._rest = found.rest
        if not events.all_contain(found, self._wire_id):
            self.crossed = True
            return
        self.count += found.count
        self.done = found.done
        forwarded = found.events + events.DONE_EVENT if found.done else found.events
        if forwarded:
            self._has_room = self._sink.push(forwarded) and self._has_room

    async def drained(self) -> None:
        """Waits for the caller's connection."""
        await self._sink.drained()
        self._has_room = True


def _ended(
    result: Streamed | dispatch.Answered | dispatch.TryElsewhere | None,
) -> dispatch.Answered | dispatch.TryElsewhere | None:
    """Returns the result as the dispatcher's books take it."""
    if isinstance(result, Streamed):
        return dispatch.Answered(status=200, headers=(), body=b"")
    return result
