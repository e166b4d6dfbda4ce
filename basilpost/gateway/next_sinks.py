"""Receives the answer of a target that may go on with a stream, beside the one that sends it now.

Nothing of it reaches the caller before it is used: a rejection, a failure or an event that does not go on
with the stream must leave no trace there.
"""

import asyncio
from collections.abc import Awaitable, Callable

from basilpost.core import channels
from basilpost.gateway import answer_sinks, sse


class NextSink(answer_sinks.Collector):
    """Receives the answer of the next target; once that is used, it goes to the sink of the stream.

    Attributes:
        has_taken: True once an event has arrived with which the stream can go on.
    """

    def __init__(
        self,
        *,
        stream_sink: answer_sinks.StreamSink,
        memory: answer_sinks.AnswerMemory,
        on_taken: Callable[[], None],
        on_held_back: Callable[[], None],
    ) -> None:
        super().__init__(memory=memory)
        self.has_taken = False
        self._on_held_back = on_held_back
        self._pieces = 0
        self._stream_sink = stream_sink
        self._on_taken = on_taken
        self._rest: sse.ResumableStream | None = None
        self._head: channels.Head | None = None
        self._is_stream = False
        self._used = asyncio.Event()

    @property
    def excess(self) -> str:
        """Returns why the answer was given up, empty if it was not."""
        return super().excess or (self._stream_sink.excess if self._used.is_set() else "")

    @property
    def activity(self) -> int:
        """Returns a number that has risen since the last look if the target is not silent."""
        return self._pieces + (self._stream_sink.activity if self._used.is_set() else 0)

    @property
    def last_event(self) -> str:
        """Returns the id of the last event that the caller has."""
        return self._stream_sink.last_event

    def on_connected(self, channel: channels.Channel) -> None:
        """Has the present target's events held back, as the request is sent next."""
        super().on_connected(channel)
        if self._used.is_set():
            self._stream_sink.on_connected(channel)
            return
        self._stream_sink.hold(self._on_held_back)
        self._rest = self._stream_sink.stream.fork()

    def on_head(self, head: channels.Head) -> None:
        """Decides whether the answer goes on with the stream."""
        if self._used.is_set():
            self._stream_sink.on_head(head)
            return
        self._head = head
        self._is_stream = self._stream_sink.accepts(head)

    def on_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Collects the answer up to its first event, and reads on when that is used."""
        if self._used.is_set():
            return self._stream_sink.on_chunk(chunk)
        super().on_chunk(chunk)
        self._pieces += 1
        if not self._is_stream or self.excess:
            return None
        assert self._rest is not None
        new_events = self._rest.feed(chunk)
        if new_events.has_gap or new_events.too_many:
            self.give_up(f"it does not go on after event {self.last_event or '0'}")
        elif self._rest.pending_bytes > answer_sinks.MAX_EVENT_BYTES:
            self.give_up(f"an event is longer than {answer_sinks.MAX_EVENT_BYTES} bytes")
        elif new_events.count:
            self.has_taken = True
            self._on_taken()
            return answer_sinks.wait_for(self._used)
        return None

    async def use(self) -> None:
        """Passes the answer on to the sink of the stream, which reads from no other target any more."""
        body = self.body
        self.discard()
        self._used.set()
        self._stream_sink.restart()
        if self.channel is not None:
            self._stream_sink.on_connected(self.channel)
        if self._head is not None:
            self._stream_sink.on_head(self._head)
        waiting = self._stream_sink.on_chunk(body) if body else None
        if waiting is not None:
            await waiting
