"""The continuous batch of an emulated engine: one timer moves all its streams a token on."""

import asyncio
from collections.abc import Callable

from basilpost.core import clock


class Stream:
    """One running answer.

    Attributes:
        tokens: The whole answer.
        position: Index of the next token.
        stop_at: Index before which it ends; less than the answer's length only to truncate it.
        first_token_at: Time of the first token.
        emit: Takes each token, and whether it is the answer's last one.
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
        """Emits one token; returns False after the last one."""
        index = self.position
        if index < self.stop_at:
            self.position = index + 1
            self.emit(self.tokens[index], index + 1 == len(self.tokens))
        return self.position < self.stop_at

    def end(self, outcome: str) -> None:
        """Tells the owner that the stream has ended."""
        self._end(outcome)


class Batch:
    """All streams of one runner."""

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
        """Takes a stream in from the next step on."""
        self._streams[stream] = None
        if self._timer is None:
            self._next_at = clock.monotonic() + self.interval
            self._schedule_step()

    def remove(self, stream: Stream, outcome: str) -> None:
        """Takes a stream out before its end; does nothing for one that has ended."""
        if stream in self._streams:
            del self._streams[stream]
            stream.end(outcome)

    def break_all(self) -> None:
        """Ends all streams, as an engine that dies does."""
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
            # A late step is not made up for: an engine's step takes the time that it takes.
            self._next_at = max(self._next_at + self.interval, now)
            self._schedule_step()


def _ignore(token: str, is_last: bool) -> None:
    """Takes the tokens of an answer that is sent as a whole."""
