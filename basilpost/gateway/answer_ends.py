"""Decides whether an answer without a length, which ends with its connection, is whole.

The system ends the connections of a process that has crashed as a runner ends an answer. But it ends all
of them at once, while a runner that ends one answer leaves its other connections open. So this node keeps
one more connection open to each runner process that sends it such answers, and sends nothing on it. An
answer is whole if that connection outlives the answer's own one. It does not matter whether the runner
still listens, which a draining one may have ended, or whether it has been started again meanwhile.

Without such a connection, as for short answers, the answer is whole if the runner takes a new one.
"""

import asyncio
import dataclasses
import enum
from collections.abc import Callable
from typing import Any

from basilpost.core import channels, clock, idle_streams, tasks
from basilpost.routing import targets as targets_

# Time within which all connections of a process that ends are seen to end.
SPREAD_SECONDS = 0.03
# A silent cut delays the ends of two connections differently: lost packets are sent again after pauses
# that double. The shortest such pause, and the longest time that an end is waited for on its account.
SILENCE_SECONDS = 0.2
MAX_WAIT_SECONDS = 1.0
# Longest time for opening a connection. It is below the 1 s after which a lost attempt is repeated, so a
# connection that opens was not held up by a cut.
CONNECT_SECONDS = 0.25
# Pause before a new connection is opened after the end of an answer. A process that ends closes all that
# it has open within it.
CONNECT_PAUSE_SECONDS = 0.01
# A connection is replaced before the runner may close it as idle, and closed when no answer needs it.
REPLACE_SECONDS = channels.DEFAULT_IDLE_SECONDS
# Pause between attempts to open one at a runner that refuses or closes it.
RETRY_SECONDS = 1.0


class Evidence(enum.StrEnum):
    """What shows that an answer without a length is whole, or that it may not be.

    Attributes:
        OUTLIVED: Another connection to the runner process outlived that of the answer.
        ACCEPTED: The runner took a new connection, and no other connection was there before.
        ENDED: The other connection to the process ended as well.
        REFUSED: The runner took no new connection, and no other one was there before.
        REPLACED: The platform lists a later run of the runner.
    """

    OUTLIVED = "its process goes on"
    ACCEPTED = "its runner takes new connections"
    ENDED = "its process ended as well"
    REFUSED = "its runner takes no new connection"
    REPLACED = "its runner has been started again"

    @property
    def is_whole(self) -> bool:
        """Returns True if the answer is whole."""
        return self in (Evidence.OUTLIVED, Evidence.ACCEPTED)


class _Connection:
    """A connection to a runner process on which nothing is sent.

    Attributes:
        opened_at: When it was open, on `clock.elapsed`.
        closed_at: When this node noticed its end, None before.
    """

    def __init__(self, channel: channels.Channel) -> None:
        self.opened_at = clock.elapsed()
        self.closed_at: float | None = None
        self._channel = channel
        self._closed = asyncio.Event()
        channel.stream.set_close_callback(self._on_close)

    def close(self) -> None:
        self._channel.close()

    @property
    def is_closed(self) -> bool:
        return not idle_streams.is_open(self._channel.stream)

    async def closes_within(self, seconds: float) -> bool:
        """Returns True if it ends within a time, or has ended."""
        try:
            async with asyncio.timeout(seconds):
                await self._closed.wait()
        except TimeoutError:
            # Its end may have arrived in the pass of the loop that ended the wait.
            return self.is_closed
        return True

    def _on_close(self) -> None:
        self.closed_at = clock.elapsed()
        self._closed.set()


@dataclasses.dataclass(kw_only=True, eq=False)
class _Process:
    """A run of a runner process that sends answers without a length.

    Attributes:
        address: `host:port` of the runner.
        lifetime: Id of the run.
        answers: Number of such answers that this node reads.
        used_at: When the last one ended.
        current: The latest connection, None without one.
        earlier: The one before, for answers that began before the latest one was open.
        tried_at: When a connection was opened last, None before.
    """

    address: str
    lifetime: str
    answers: int = 0
    used_at: float = 0.0
    current: _Connection | None = None
    earlier: _Connection | None = None
    tried_at: float | None = None

    def needs_connection(self, now: float) -> bool:
        """Returns True if a connection has to be opened now."""
        if self.tried_at is not None and now - self.tried_at < RETRY_SECONDS:
            return False
        current = self.current
        return current is None or current.is_closed or now - current.opened_at > REPLACE_SECONDS

    def add(self, connection: _Connection) -> None:
        """Makes a connection the latest one, and closes the one before the last."""
        if self.earlier is not None:
            self.earlier.close()
        self.current, self.earlier = connection, self.current

    def find_opened_by(self, at: float) -> _Connection | None:
        """Returns the latest connection that was open at a time, None without one."""
        connections = (self.current, self.earlier)
        return next((one for one in connections if one is not None and one.opened_at <= at), None)

    def close(self) -> None:
        """Closes its connections."""
        for connection in (self.current, self.earlier):
            if connection is not None:
                connection.close()


class Watch:
    """One answer without a length, from its head to its end."""

    def __init__(self, *, ends: "AnswerEnds", process: _Process, sent_at: float) -> None:
        """Begins with the head.

        Args:
            ends: The node's connections.
            process: The process that sends it.
            sent_at: When its request was sent, on `clock.elapsed`.
        """
        self._ends = ends
        self._process = process
        self._heard_at = self._burst_at = clock.elapsed()
        # The process lived after this time: it has answered since.
        self._lived_at = sent_at
        self._silence = 0.0
        self._silent_until = 0.0

    def record_heard(self) -> None:
        """Records that bytes of the answer have arrived."""
        now = clock.elapsed()
        self._record_silence(now)
        if now - self._burst_at >= SPREAD_SECONDS:
            # Bytes that a cut held up arrive in one burst, with the end behind them. So they show that the
            # process lived only once others have followed.
            self._lived_at, self._burst_at = self._burst_at, now
            self._ends.open_if_needed(self._process)
        self._heard_at = now

    async def find_evidence(self) -> Evidence:
        """Returns what shows that the answer, which has ended, is whole or may not be."""
        self._record_silence(clock.elapsed())
        connection = self._process.find_opened_by(self._lived_at)
        if connection is not None and not self._went_on_after(connection):
            has_ended = await connection.closes_within(self._wait_seconds())
            return Evidence.ENDED if has_ended else Evidence.OUTLIVED
        return await self._ends.ask(self._process)

    def close(self) -> None:
        """Ends the watch."""
        self._ends.end(self._process)

    def _record_silence(self, now: float) -> None:
        if now - self._heard_at >= SILENCE_SECONDS:
            self._silence, self._silent_until = now - self._heard_at, now

    def _went_on_after(self, connection: _Connection) -> bool:
        """Returns True if the answer went on after a connection had ended, as one ends that was idle for long."""
        return connection.closed_at is not None and connection.closed_at < self._heard_at

    def _wait_seconds(self) -> float:
        """Returns how long the end of the other connection may follow that of the answer.

        After a silence, which a cut may have caused, both ends may have been sent within it. The second
        one is then repeated after a pause that is no longer than the silence.
        """
        since = clock.elapsed() - self._silent_until
        return max(SPREAD_SECONDS, min(self._silence, MAX_WAIT_SECONDS) - since)


class AnswerEnds:
    """The connections of one node to runner processes that send answers without a length."""

    def __init__(
        self, *, pool: channels.Pool, is_replaced: Callable[[str], bool], log: Any
    ) -> None:
        """Takes the node's services.

        Args:
            pool: Opens the connections.
            is_replaced: Tells whether the platform lists a later run of a runner process.
            log: The node's log.
        """
        self._pool = pool
        self._is_replaced = is_replaced
        self._tasks = tasks.TaskSet(log=log)
        # By address and lifetime.
        self._process_by_run: dict[tuple[str, str], _Process] = {}

    def watch(self, target: targets_.Target, *, sent_at: float) -> Watch:
        """Returns the watch of an answer without a length whose head has arrived; it has to be closed.

        Args:
            target: The target that answers.
            sent_at: When the request was sent, on `clock.elapsed`.
        """
        run = (target.address, target.lifetime)
        process = self._process_by_run.get(run)
        if process is None:
            # A short answer ends before a connection would be open, so none is opened for a single one.
            process = _Process(address=target.address, lifetime=target.lifetime)
            self._process_by_run[run] = process
        else:
            self.open_if_needed(process)
        process.answers += 1
        return Watch(ends=self, process=process, sent_at=sent_at)

    def end(self, process: _Process) -> None:
        """Counts that an answer of a process is read no more."""
        process.answers -= 1
        process.used_at = clock.elapsed()

    def open_if_needed(self, process: _Process) -> None:
        """Opens a connection to a process in the background, unless there is a fresh one."""
        now = clock.elapsed()
        if process.needs_connection(now):
            process.tried_at = now
            self._tasks.spawn(self._open(process), name="answer-end-connection")

    async def _open(self, process: _Process) -> None:
        channel = await self._connect(process)
        if isinstance(channel, channels.Channel):
            process.add(_Connection(channel))

    async def _connect(self, process: _Process) -> channels.Channel | channels.ConnectFailed:
        return await self._pool.acquire(
            process.address, timeout=CONNECT_SECONDS, fresh=True, lifetime=process.lifetime
        )

    async def ask(self, process: _Process) -> Evidence:
        """Returns whether a runner takes a new connection, which is kept for a request."""
        await asyncio.sleep(CONNECT_PAUSE_SECONDS)
        opened = await self._connect(process)
        if isinstance(opened, channels.ConnectFailed):
            return Evidence.REFUSED
        self._pool.keep_unused(opened)
        return Evidence.REPLACED if self._is_replaced(process.lifetime) else Evidence.ACCEPTED

    def sweep(self) -> None:
        """Closes the connections that no answer has needed for a while."""
        oldest = clock.elapsed() - REPLACE_SECONDS
        unused = [
            run
            for run, process in self._process_by_run.items()
            if not process.answers and process.used_at < oldest
        ]
        for run in unused:
            self._process_by_run.pop(run).close()

    async def close(self) -> None:
        """Closes all connections."""
        await self._tasks.close()
        for process in self._process_by_run.values():
            process.close()
        self._process_by_run.clear()
