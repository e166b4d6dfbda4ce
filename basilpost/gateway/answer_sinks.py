"""Receivers of targets' answers: one collects a whole answer, one forwards the events of a stream.

They read the headers of answers with the header dialect, which knows the headers of the users'
platform. An answer is signed if it carries the signature header of a runner.
"""

import abc
import asyncio
import copy
import enum
from collections.abc import Awaitable, Callable

from basilpost.core import channels, clock
from basilpost.gateway import attempts, inbound, sse
from basilpost.routing import header_dialect

_OK = 200
# Bounds on an answer. Runners in trouble may send bytes without end.
MAX_ANSWER_BYTES = 32 * 1024 * 1024
MAX_STREAM_BYTES = 32 * 1024 * 1024
MAX_EVENT_BYTES = 1024 * 1024
MAX_EVENTS = 100_000
# Events that a target may send beyond those for the tokens that its request allows, and pieces in which
# an event may come. A piece costs some 50 us, whatever its size.
EVENTS_PER_TOKEN = 2
SPARE_EVENTS = 1_000
PIECES_PER_EVENT = 2
MAX_PIECES = 10_000
# Bytes of incomplete answers that a node holds; it has 300 MB, and needs a copy of an answer to send it.
MAX_HELD_BYTES = 48 * 1024 * 1024
# Bytes of a stream that wait for its caller.
MAX_UNSENT_BYTES = 1024 * 1024
# Bytes of events that are held back; beyond them no more is read.
MAX_HELD_BACK_BYTES = 64 * 1024


class AnswerEnd(enum.StrEnum):
    """What marks the end of an answer; a value of the log field `answer_end`."""

    CHUNKS = "chunks"
    LENGTH = "length"
    # The connection's orderly close: the end of a process looks the same.
    CLOSE = "close"


class AnswerSink(abc.ABC):
    """Receives the answer to one request, from one target after another until one completes it."""

    def on_connected(self, channel: channels.Channel) -> None:
        """Called with the connection before the request is sent on it."""

    @property
    def excess(self) -> str:
        """Returns why the answer was given up for its size, empty if it was not."""
        return ""

    def find_defect(self) -> str:
        """Returns why an answer that has ended must not be used as a whole one, empty if it may be.

        No `await` may come between this and the use of the answer: until then a handover may take the
        stream, or the answer may be given up for its size.
        """
        return self.excess

    @property
    def last_event(self) -> str:
        """Returns the id of the event after which a target is to go on, empty for the whole answer.

        It is read after `on_connected`.
        """
        return ""

    @abc.abstractmethod
    def restart(self) -> None:
        """Discards what was not forwarded yet, before the request is sent to another target."""

    @abc.abstractmethod
    def on_head(self, head: channels.Head) -> None:
        """Receives status line and headers of the answer."""

    @abc.abstractmethod
    def on_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Receives a chunk of the body; the next one is read when what it returns is done."""


class AnswerMemory:
    """The bytes of answers that a node holds because they are not complete yet.

    A runner may send without end. Beyond `MAX_HELD_BYTES` the largest answer is given up.
    """

    def __init__(self) -> None:
        self._held_by_collector: dict[Collector, int] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Returns the number of bytes held."""
        return self._total

    def add(self, collector: "Collector", size: int) -> None:
        """Counts bytes that a collector holds, and gives up answers that are too large."""
        held = self._held_by_collector.get(collector, 0) + size
        self._held_by_collector[collector] = held
        self._total += size
        if held > MAX_ANSWER_BYTES:
            collector.give_up(f"the answer is larger than {MAX_ANSWER_BYTES} bytes")
        while self._total > MAX_HELD_BYTES:
            largest = max(self._held_by_collector, key=self._held_by_collector.__getitem__)
            largest.give_up("the node holds too many bytes of answers, most of them of this one")

    def release(self, collector: "Collector") -> None:
        """Counts that a collector holds nothing any more."""
        self._total -= self._held_by_collector.pop(collector, 0)


class Collector(AnswerSink):
    """Collects the body of an answer.

    Attributes:
        channel: Connection to the current target, None before it is open.
    """

    def __init__(self, *, memory: AnswerMemory) -> None:
        self.channel: channels.Channel | None = None
        self._memory = memory
        self._chunks: list[bytes] = []
        self._excess = ""

    @property
    def body(self) -> bytes:
        """Returns the part of the body that has arrived."""
        return b"".join(self._chunks)

    @property
    def excess(self) -> str:
        """Returns why the answer was given up for its size, empty if it was not."""
        return self._excess

    def on_connected(self, channel: channels.Channel) -> None:
        """Stores the connection so that `close_channel` can close it."""
        self.channel = channel

    def restart(self) -> None:
        """Discards the body from another target."""
        self.discard()
        self._excess = ""
        self.channel = None

    def discard(self) -> None:
        """Frees the memory of the body."""
        self._chunks.clear()
        self._memory.release(self)

    def give_up(self, reason: str) -> None:
        """Closes the connection and frees the memory of an answer that is too large."""
        self._excess = reason
        self.discard()
        self.close_channel()

    def close_channel(self) -> None:
        """Closes the connection to the current target."""
        if self.channel is not None:
            self.channel.close()

    def on_head(self, head: channels.Head) -> None:
        """Does nothing: nothing is forwarded before the answer is complete."""

    def on_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Stores a chunk of the body."""
        if self._excess:
            return None
        self._chunks.append(chunk)
        self._memory.add(self, len(chunk))
        if len(self._chunks) > MAX_PIECES:
            self.give_up(f"the answer comes in more than {MAX_PIECES} pieces")
        return None


class StreamSink(Collector):
    """Forwards each event of a stream once it is complete; collects other answers whole.

    The caller gets the headers of the first target that streams, whichever targets follow.

    Attributes:
        stream: The events from all targets so far, as one stream.
        is_stream: True if the current target's answer is a stream.
        has_gap: True if the current target skipped an event.
        abandoned: True if this node closed the connection to the current target to move the stream.
            What still comes from there is ignored.
        event_count: Number of events forwarded.
        first_event_at: When the first event of the stream came, whichever target sent it; None before.
        writing_since: When the current target sent its first event, on `clock.elapsed`; None before.
    """

    def __init__(
        self,
        *,
        reply: inbound.Reply,
        dialect: header_dialect.HeaderDialect,
        last_event: str,
        max_answer_tokens: int,
        memory: AnswerMemory,
    ) -> None:
        super().__init__(memory=memory)
        self._max_events = max_events_of(max_answer_tokens)
        self.stream = sse.ResumableStream(last_id=last_event, max_events=self._max_events)
        self.is_stream = False
        self.has_gap = False
        self.abandoned = False
        self.event_count = 0
        self._stream_bytes = self._stream_pieces = 0
        # Bytes that were forwarded since the caller had surely taken all of them.
        self._unsent_bytes = 0
        self._waits_for_caller = False
        self._looks_while_waiting = 0
        # Set when events are no longer held back; None while they are forwarded.
        self._released: asyncio.Event | None = None
        self._on_held_back: Callable[[], None] = _do_nothing
        self._held_back_bytes = self._held_back_pieces = 0
        self.first_event_at: float | None = None
        self.writing_since: float | None = None
        self._reply = reply
        self._dialect = dialect
        self._head: channels.Head | None = None
        self._answer_end = AnswerEnd.CLOSE

    def find_defect(self) -> str:
        """Returns why an answer that has ended must not be used as a whole one, empty if it may be."""
        if self.abandoned:
            return "its connection was closed because the stream goes on at another target"
        if self._excess or not self.is_stream:
            return self._excess
        if self._held_back_bytes:
            return "events at its end are held back"
        if self.has_gap:
            return "the stream skips an event"
        return "" if self.stream.at_boundary else "the stream ended within an event"

    def ends_whole(self) -> bool:
        """Returns True if the stream is complete with the events that are held back."""
        stream = copy.deepcopy(self.stream)
        new_events = stream.feed(self.body)
        is_sound = not new_events.has_gap and not new_events.too_many
        return is_sound and stream.at_boundary and not self.has_gap and not self._excess

    @property
    def last_event(self) -> str:
        """Returns the id of the last event that the caller has."""
        return self.stream.last_id

    def restart(self) -> None:
        """Prepares for another target, which resumes the stream after the last complete event."""
        super().restart()
        self._end_hold()
        self.stream.restart()
        self.is_stream = self.has_gap = self.abandoned = False
        self.writing_since = None

    def hold(self, on_held_back: Callable[[], None]) -> None:
        """Holds the events back that come from now on, until `release` or `restart`.

        While another target is asked to go on after the last event, the caller must not get further ones.

        Args:
            on_held_back: Called when something is held back.
        """
        self._on_held_back = on_held_back
        if self._released is None:
            self._released = asyncio.Event()

    def release(self) -> None:
        """Forwards the events that were held back, and those that come from now on."""
        if self._released is None:
            return
        held_back = b""
        if self.is_stream:
            held_back = self.body
            self.discard()
        self._end_hold()
        if held_back:
            self._forward(held_back)

    def abandon(self) -> None:
        """Closes the connection to the current target, because the stream goes on at another one."""
        self.abandoned = True
        self._end_hold()
        self.close_channel()

    def _end_hold(self) -> None:
        if self._released is not None:
            self._released.set()
        self._released = None
        self._on_held_back = _do_nothing
        self._held_back_bytes = 0

    def _hold_back(self, chunk: bytes, released: asyncio.Event) -> Awaitable[None] | None:
        super().on_chunk(chunk)
        self._held_back_pieces += 1
        self._held_back_bytes += len(chunk)
        self._on_held_back()
        return wait_for(released) if self._held_back_bytes > MAX_HELD_BACK_BYTES else None

    def accepts(self, head: channels.Head) -> bool:
        """Returns True if an answer is a stream: its status is 200 and it is signed.

        One that resumes a stream has to have the type of its beginning too.
        """
        response = self._dialect.parse_response(head.status, head.headers)
        is_stream = head.status == _OK and response.signed
        if self._reply.started and self._head is not None:
            is_stream = is_stream and _media_type(head) == _media_type(self._head)
        return is_stream

    def on_head(self, head: channels.Head) -> None:
        """Decides whether the answer is a stream."""
        self.is_stream = self.accepts(head)
        if self.is_stream and self._head is None:
            self._head = head
        self._answer_end = _answer_end(head)

    def on_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Forwards the events that the chunk completes; closes the connection at a gap.

        While the caller reads slower than the target writes, no more is read.
        """
        if not self.is_stream:
            return super().on_chunk(chunk)
        if self._excess or self.abandoned:
            return None
        if self._released is not None:
            return self._hold_back(chunk, self._released)
        self._forward(chunk)
        if self._unsent_bytes > MAX_UNSENT_BYTES and not self._excess and not self.has_gap:
            self._unsent_bytes = 0
            return self._wait_for_caller()
        return None

    def _forward(self, chunk: bytes) -> None:
        self._stream_bytes += len(chunk)
        self._stream_pieces += 1
        if self._stream_pieces > self._max_events * PIECES_PER_EVENT:
            self.give_up(f"the stream comes in more than {self._stream_pieces - 1} pieces")
            return
        if self._stream_bytes > MAX_STREAM_BYTES:
            self.give_up(f"the stream is longer than {MAX_STREAM_BYTES} bytes")
            return
        new_events = self.stream.feed(chunk)
        if new_events.count:
            if self.writing_since is None:
                self.writing_since = clock.elapsed()
                if self.first_event_at is None:
                    self.first_event_at = self.writing_since
            self._send_head()
            self._reply.send_piece(new_events.data)
            self._unsent_bytes += len(new_events.data)
            self.event_count += new_events.count
        if new_events.has_gap:
            self.has_gap = True
            self.close_channel()
        elif self.stream.pending_bytes > MAX_EVENT_BYTES:
            self.give_up(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        elif new_events.too_many:
            self.give_up(f"the stream has more than {self._max_events} events")

    def end(self) -> None:
        """Ends the caller's answer as complete."""
        self._send_head()
        self._reply.end()

    @property
    def activity(self) -> int:
        """Returns a number that has risen since the last look if the target is not silent.

        While the caller has to catch up nothing is read, which says nothing about the target.
        """
        self._looks_while_waiting += self._waits_for_caller
        return self.event_count + self._held_back_pieces + self._looks_while_waiting

    async def _wait_for_caller(self) -> None:
        self._waits_for_caller = True
        try:
            await self._reply.wait_written()
        finally:
            self._waits_for_caller = False

    @property
    def writing_seconds(self) -> float:
        """Returns the time since the first event of the current target, 0 without any."""
        return 0.0 if self.writing_since is None else clock.elapsed() - self.writing_since

    def describe(self, progress: attempts.Progress) -> None:
        """Records what was forwarded of the stream."""
        progress.first_event_at = self.first_event_at
        progress.event_count = self.event_count
        progress.last_event = self.stream.last_id if self.event_count else ""
        progress.answer_end = self._answer_end if self.is_stream else ""

    def _send_head(self) -> None:
        if self._reply.started or self._head is None:
            return
        headers = self._dialect.response_headers(self._head.headers)
        self._reply.send_head(self._head.status, self._head.reason, headers)


def _answer_end(head: channels.Head) -> AnswerEnd:
    if "Transfer-Encoding" in head.headers:
        return AnswerEnd.CHUNKS
    return AnswerEnd.CLOSE if head.has_no_length else AnswerEnd.LENGTH


def _media_type(head: channels.Head) -> str:
    media_type, _, _ = head.headers.get("Content-Type", "").partition(";")
    return str(media_type).strip().lower()


def _do_nothing() -> None:
    pass


async def wait_for(event: asyncio.Event) -> None:
    """Waits until an event is set, as what `AnswerSink.on_chunk` returns."""
    await event.wait()


def max_events_of(max_answer_tokens: int) -> int:
    """Returns the most events of a stream; `max_answer_tokens` is 0 if its request names no bound."""
    if not max_answer_tokens:
        return MAX_EVENTS
    return min(MAX_EVENTS, max_answer_tokens * EVENTS_PER_TOKEN + SPARE_EVENTS)
