"""The continuous batch of an emulated engine: one timer advances all its streams by one token."""

import asyncio
from collections.abc import Callable

from basilpost.core import clock


class Stream:
    """An answer that is being generated, one token per step of the batch.

    Attributes:
        tokens: The tokens of the whole answer.
        position: Index of the next token to emit.
        stop_at: Index before which the stream ends; `len(tokens)` unless the fault `truncate` is on.
        first_token_at: Reading of the monotonic clock before which no token is emitted.
        emit: Called with each token and with True for the answer's last one.
    """

    __slots__ = ("tokens", "position", "stop_at", "first_token_at", "emit", "_end")

    def __init__(
        self,
        *,
        tokens: list[str],
        position: int,
        stop_at: int,
        first_token_at: float,
        end: Callable[[str], None],
    ) -> None:
        self.tokens = tokens
        self.position = position
        self.stop_at = stop_at
        self.first_token_at = first_token_at
        self.emit: Callable[[str, bool], None] = _ignore
        self._end = end

    def advance(self) -> bool:
        """Emits one token and returns True if there are more."""
        index = self.position
        if index < self.stop_at:
            self.position = index + 1
            self.emit(self.tokens[index], index + 1 == len(self.tokens))
        return self.position < self.stop_at

    def end(self, outcome: str) -> None:
        """Reports the end of the stream to the request's handler."""
        self._end(outcome)


class Batch:
    """The streams of one runner.

    Attributes:
        interval: Seconds between steps.
        paused: True to emit nothing, as a frozen process does.
    """

    def __init__(self, *, interval: float) -> None:
        self.interval = interval
        self.paused = False
        self._streams: dict[Stream, None] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._next_at = 0.0

    def __len__(self) -> int:
        """Returns the number of streams."""
        return len(self._streams)

    def add(self, stream: Stream) -> None:
        """Adds a stream, which gets its first token from the next step at the earliest."""
        self._streams[stream] = None
        if self._timer is None:
            self._next_at = clock.monotonic() + self.interval
            self._schedule_step()

    def remove(self, stream: Stream, outcome: str) -> None:
        """Removes a stream and ends it with an outcome; does nothing if it has ended already."""
        if stream in self._streams:
            del self._streams[stream]
            stream.end(outcome)

    def break_all(self) -> None:
        """Ends all streams as broken, as the crash of an engine does."""
        for stream in list(self._streams):
            self.remove(stream, "broken")

    def _schedule_step(self) -> None:
        self._timer = asyncio.get_running_loop().call_at(self._next_at, self._step)

    def _step(self) -> None:
        now = clock.monotonic()
        if not self.paused:
            due = [stream for stream in self._streams if stream.first_token_at <= now]
            ended = [stream for stream in due if not stream.advance()]
            for stream in ended:
                self.remove(stream, "finished")
        self._timer = None
        if self._streams:
            # Steps that were missed are not made up for: a real engine does not catch up either.
            self._next_at = max(self._next_at + self.interval, now)
            self._schedule_step()


def _ignore(token: str, is_last: bool) -> None:
    """Discards the token: an answer without streaming is sent as a whole at its end."""
