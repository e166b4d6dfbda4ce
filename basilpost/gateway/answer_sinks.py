"""Receivers of targets' answers: one collects a whole answer, one forwards the events of a stream.

They read the headers of answers with the header dialect, which knows the headers of the users'
platform. An answer is signed if it carries the signature header of a runner.
"""

import abc

from basilpost.core import channels, clock
from basilpost.gateway import inbound, sse
from basilpost.routing import header_dialect

_OK = 200


class AnswerSink(abc.ABC):
    """Receives the answer to one request, from one target after another until one completes it."""

    def on_connected(self, channel: channels.Channel) -> None:
        """Called with the connection before the request is sent on it."""

    @abc.abstractmethod
    def restart(self) -> None:
        """Discards what was not forwarded yet, before the request is sent to another target."""

    @abc.abstractmethod
    def on_head(self, head: channels.Head) -> None:
        """Receives status line and headers of the answer."""

    @abc.abstractmethod
    def on_chunk(self, chunk: bytes) -> None:
        """Receives a chunk of the body."""


class Collector(AnswerSink):
    """Collects the body of an answer."""

    def __init__(self) -> None:
        self._chunks: list[bytes] = []

    @property
    def body(self) -> bytes:
        """Returns the part of the body that has arrived."""
        return b"".join(self._chunks)

    def restart(self) -> None:
        """Discards the body from another target."""
        self._chunks.clear()

    def on_head(self, head: channels.Head) -> None:
        """Does nothing: nothing is forwarded before the answer is complete."""

    def on_chunk(self, chunk: bytes) -> None:
        """Stores a chunk of the body."""
        self._chunks.append(chunk)


class StreamSink(Collector):
    """Forwards each event of a stream once it is complete; collects other answers whole.

    The caller gets the headers of the first target that streams, whichever targets follow.

    Attributes:
        stream: The events from all targets so far, as one stream.
        is_stream: True if the current target's answer is a stream.
        has_gap: True if the current target skipped an event.
        abandoned: True if this node closed the connection to the current target because it stalled.
        event_count: Number of events forwarded.
        channel: Connection to the current target, None before it is open.
        writing_since: When the current target sent its first event, on `clock.elapsed`; None before.
    """

    def __init__(
        self, *, reply: inbound.Reply, dialect: header_dialect.HeaderDialect, last_event: str
    ) -> None:
        super().__init__()
        self.stream = sse.ResumableStream(last_id=last_event)
        self.is_stream = False
        self.has_gap = False
        self.abandoned = False
        self.event_count = 0
        self.channel: channels.Channel | None = None
        self.writing_since: float | None = None
        self._reply = reply
        self._dialect = dialect
        self._head: channels.Head | None = None

    @property
    def is_complete(self) -> bool:
        """Returns True if the stream has no gap and no incomplete event at its end."""
        return not self.has_gap and self.stream.at_boundary

    def on_connected(self, channel: channels.Channel) -> None:
        """Stores the connection so that `close_channel` can close it."""
        self.channel = channel

    def restart(self) -> None:
        """Prepares for another target, which resumes the stream after the last complete event."""
        super().restart()
        self.stream.restart()
        self.is_stream = self.has_gap = self.abandoned = False
        self.channel = None
        self.writing_since = None

    def on_head(self, head: channels.Head) -> None:
        """Decides whether the answer is a stream: its status is 200 and it is signed."""
        response = self._dialect.parse_response(head.status, head.headers)
        self.is_stream = head.status == _OK and response.signed
        if self.is_stream and self._head is None:
            self._head = head

    def on_chunk(self, chunk: bytes) -> None:
        """Forwards the events that the chunk completes; closes the connection at a gap."""
        if not self.is_stream:
            super().on_chunk(chunk)
            return
        new_events = self.stream.feed(chunk)
        if new_events.count:
            if self.writing_since is None:
                self.writing_since = clock.elapsed()
            self._send_head()
            self._reply.send_piece(new_events.data)
            self.event_count += new_events.count
        if new_events.has_gap:
            self.has_gap = True
            self.close_channel()

    def end(self) -> None:
        """Ends the caller's answer as complete."""
        self._send_head()
        self._reply.end()

    @property
    def writing_seconds(self) -> float:
        """Returns the time since the first event of the current target, 0 without any."""
        return 0.0 if self.writing_since is None else clock.elapsed() - self.writing_since

    def close_channel(self) -> None:
        """Closes the connection to the current target."""
        if self.channel is not None:
            self.channel.close()

    def _send_head(self) -> None:
        if self._reply.started or self._head is None:
            return
        headers = self._dialect.response_headers(self._head.headers)
        self._reply.send_head(self._head.status, self._head.reason, headers)
