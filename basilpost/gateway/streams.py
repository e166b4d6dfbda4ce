"""Relays the streamed answer of a model to its caller.

If the target fails midway, the stream is resumed on another target after the last event that was
relayed. A stream that cannot be completed ends with an error event, so that the caller can tell it from
a complete one.
"""

import abc
import asyncio
import dataclasses

from basilpost.core import clock, failure, names
from basilpost.gateway import dispatch, event_exchange, events, exchange, metrics, refusals
from basilpost.routing import interfaces


class Sink(abc.ABC):
    """The connection to the caller that a stream is sent on."""

    @abc.abstractmethod
    async def send_head(self, target: str) -> None:
        """Sends the headers of the answer; `target` is the id of the first group that streams."""

    @abc.abstractmethod
    def push(self, piece: bytes) -> bool:
        """Sends a piece; returns False if `wait_writable` should be awaited before the next one."""

    @abc.abstractmethod
    async def wait_writable(self) -> None:
        """Waits until the connection can take more."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Streamed:
    """The end of a relayed stream.

    Attributes:
        event_count: Number of events relayed.
        refusal: Why it ended with an error event, None if it is complete.
    """

    event_count: int
    refusal: failure.Refusal | None = None


class StreamRelay:
    """Relays one stream, which may be resumed on several targets."""

    def __init__(
        self,
        *,
        dispatcher: dispatch.Dispatcher,
        metrics: metrics.Metrics,
        request: interfaces.Request,
        message: dispatch.Message,
        sink: Sink,
        max_silence: float,
    ) -> None:
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._attempts = dispatch.Attempts(request=request)
        self._message = message
        self._sink = sink
        self._max_silence = max_silence
        self._event_count = 0
        self._head_sent = False

    async def run(self) -> Streamed | dispatch.Answered | failure.Refusal:
        """Relays the stream; returns an answer or a refusal only if nothing was sent to the caller."""
        try:
            async with asyncio.timeout_at(self._attempts.request.deadline):
                result = await self._relay()
        except TimeoutError:
            result = refusals.deadline_passed(self._attempts.outcome)
        if isinstance(result, failure.Refusal) and self._head_sent:
            self._sink.push(events.error_event(refusals.error_body(result)))
            return Streamed(event_count=self._event_count, refusal=result)
        return result

    async def _relay(self) -> Streamed | dispatch.Answered | failure.Refusal:
        while True:
            opened = await self._dispatcher.open(self._attempts, events=True)
            if isinstance(opened, failure.Refusal):
                return opened
            result = await self._dispatch_once(opened)
            if not isinstance(result, dispatch.DispatchFailed):
                return result
            refusal = self._dispatcher.retry_refusal(self._attempts, result)
            if refusal is not None:
                return refusal

    async def _dispatch_once(
        self, opened: dispatch.OpenDispatch
    ) -> Streamed | dispatch.Answered | dispatch.DispatchFailed:
        result: Streamed | dispatch.Answered | dispatch.DispatchFailed | None = None
        try:
            headers = dict(self._message.headers)
            if self._event_count:
                headers[names.RESUME_HEADER] = str(self._event_count)
            opened.exchange.silent_at = clock.monotonic() + 2 * self._max_silence
            message = dataclasses.replace(self._message, headers=headers)
            self._dispatcher.send(self._attempts, opened, message)
            result = await self._read(opened)
            return result
        finally:
            self._dispatcher.close(self._attempts, opened, _as_dispatch_result(result))

    async def _read(
        self, opened: dispatch.OpenDispatch
    ) -> Streamed | dispatch.Answered | dispatch.DispatchFailed:
        head = await opened.exchange.head()
        if isinstance(head, exchange.Broken):
            return dispatch.DispatchFailed(reason=head.reason, crashed=True)
        if head.status != 200:
            return await dispatch.read_answer(opened)
        failed = dispatch.check_head(head, opened)
        if failed is not None:
            return failed
        if not self._head_sent:
            self._head_sent = True
            await self._sink.send_head(opened.choice.group.group_id)
        return await self._relay_events(opened)

    async def _relay_events(
        self, opened: dispatch.OpenDispatch
    ) -> Streamed | dispatch.DispatchFailed:
        source = opened.exchange
        assert isinstance(source, event_exchange.EventExchange)
        receiver = _EventReceiver(sink=self._sink, wire_id=opened.wire_id.encode())
        try:
            broken = await source.forward_stream(receiver, max_silence=self._max_silence)
        finally:
            self._event_count += receiver.event_count
            self._metrics.events.inc(receiver.event_count)
        if receiver.done:
            return Streamed(event_count=self._event_count)
        if receiver.foreign_event:
            return dispatch.DispatchFailed(reason="an event belongs to another request")
        reason = broken.reason if broken else "the stream ended before its final event"
        return dispatch.DispatchFailed(reason=reason, crashed=True)


class _EventReceiver(event_exchange.Receiver):
    """Forwards complete events that carry the id of the request to the sink."""

    def __init__(self, *, sink: Sink, wire_id: bytes) -> None:
        self._sink = sink
        self._wire_id = wire_id
        self._rest = b""
        self._has_room = True
        self.event_count = 0
        self.done = False
        self.foreign_event = False

    @property
    def ended(self) -> bool:
        """Returns True after the final event or an event of another request."""
        return self.done or self.foreign_event

    @property
    def congested(self) -> bool:
        """Returns True while the caller's connection is congested."""
        return not self._has_room

    def receive(self, piece: bytes) -> None:
        """Forwards the events that the piece completes."""
        if self.done or self.foreign_event:
            return
        split = events.split(self._rest + piece if self._rest else piece)
        self._rest = split.rest
        if not events.all_contain(split, self._wire_id):
            self.foreign_event = True
            return
        self.event_count += split.count
        self.done = split.done
        forwarded = split.events + events.DONE_EVENT if split.done else split.events
        if forwarded:
            self._has_room = self._sink.push(forwarded) and self._has_room

    async def wait_writable(self) -> None:
        """Waits until the caller's connection can take more."""
        await self._sink.wait_writable()
        self._has_room = True


def _as_dispatch_result(
    result: Streamed | dispatch.Answered | dispatch.DispatchFailed | None,
) -> dispatch.Answered | dispatch.DispatchFailed | None:
    """Returns the result as `Dispatcher.close` expects it; a relayed stream counts as an answer."""
    if isinstance(result, Streamed):
        return dispatch.Answered(status=200, headers=(), body=b"")
    return result
