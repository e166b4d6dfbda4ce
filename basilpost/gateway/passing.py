"""What becomes of an answer as it comes from a target: collected whole, or passed on event by event."""

import abc

from basilpost.core import channels
from basilpost.gateway import inbound, sse
from basilpost.routing import header_dialect

_OK = 200


class Sink(abc.ABC):
    """Takes in the answer to one request, from one target after the other."""

    def opened(self, channel: channels.Channel) -> None:
        """Notes the connection before the request is sent on it."""

    @abc.abstractmethod
    def restart(self) -> None:
        """Drops what is not passed on yet, before an answer from another target."""

    @abc.abstractmethod
    def take_head(self, head: channels.Head) -> None:
        """Takes in the head of an answer."""

    @abc.abstractmethod
    def take(self, chunk: bytes) -> None:
        """Takes in a part of its body."""


class Collector(Sink):
    """Collects an answer whole."""

    def __init__(self) -> None:
        self._pieces: list[bytes] = []

    @property
    def body(self) -> bytes:
        """Returns what has come of the body."""
        return b"".join(self._pieces)

    def restart(self) -> None:
        """Drops what came from another target."""
        self._pieces.clear()

    def take_head(self, head: channels.Head) -> None:
        """Nothing is passed on before the answer is whole."""

    def take(self, chunk: bytes) -> None:
        """Keeps a part of the body."""
        self._pieces.append(chunk)


class StreamSink(Collector):
    """Passes the whole events of a stream on at once; other answers are collected.

    The caller gets the headers of the first target that streams, whichever ones follow.

    Attributes:
        cutter: The stream so far.
        streams: True while the present target's answer is a stream.
        gap: True if the present target left an event out.
        left: True if this node left the present target.
        events: Number of events passed on.
        channel: Connection to the present target, None before it is open.
    """

    def __init__(
        self, *, reply: inbound.Reply, dialect: header_dialect.HeaderDialect, last_event: str
    ) -> None:
        super().__init__()
        self.cutter = sse.Cutter(last_id=last_event)
        self.streams = False
        self.gap = False
        self.left = False
        self.events = 0
        self.channel: channels.Channel | None = None
        self._reply = reply
        self._dialect = dialect
        self._head: channels.Head | None = None

    @property
    def whole(self) -> bool:
        """Returns True if the stream has no gap and ended behind a whole event."""
        return not self.gap and self.cutter.at_boundary

    def opened(self, channel: channels.Channel) -> None:
        """Notes the connection, by which the stream can be broken off."""
        self.channel = channel

    def restart(self) -> None:
        """Prepares for another target: the stream goes on after the last whole event."""
        super().restart()
        self.cutter.restart()
        self.streams = self.gap = self.left = False
        self.channel = None

    def take_head(self, head: channels.Head) -> None:
        """Tells a stream from other answers."""
        verdict = self._dialect.parse_response(head.status, head.headers)
        self.streams = head.status == _OK and verdict.signed
        if self.streams and self._head is None:
            self._head = head

    def take(self, chunk: bytes) -> None:
        """Passes whole events on."""
        if not self.streams:
            super().take(chunk)
            return
        passed = self.cutter.feed(chunk)
        if passed.count:
            self._begin()
            self._reply.piece(passed.data)
            self.events += passed.count
        if passed.gap:
            self.gap = True
            self.break_off()

    def end(self) -> None:
        """Ends the caller's answer as complete."""
        self._begin()
        self._reply.end()

    def break_off(self) -> None:
        """Closes the connection to the present target."""
        if self.channel is not None:
            self.channel.close()

    def _begin(self) -> None:
        if self._reply.started or self._head is None:
            return
        headers = self._dialect.response_headers(self._head.headers)
        self._reply.begin(self._head.status, self._head.reason, headers)
