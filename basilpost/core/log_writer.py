"""Writes log lines without blocking on a slow reader of the output.

Each kind of event is limited to a number of lines per second, and lines that nobody has read yet
wait in a bounded buffer. Lines beyond these limits are dropped and counted, and the counts are
logged. The limits of both depend on the line's priority, so that ordinary lines are dropped first
and those that tell of a broken request last. An event loop writes the buffer as the reader makes
room; without one it is written with the next line.
"""

import asyncio
import collections
import contextlib
import enum
import json
import os
import select
import stat
import time
from collections.abc import MutableMapping
from typing import Any

from basilpost.core import log_events


class Priority(enum.IntEnum):
    """Importance of a line; lower ones are dropped first."""

    ORDINARY = 0
    # Traces a request: where it was sent and how it ended.
    TRACE = 1
    # Tells of a failure.
    FAILURE = 2


MAX_BUFFER_BYTES = 1_000_000
# A node serves some tens of requests per second, and breaks off at most some hundreds at once.
MAX_LINES_PER_SECOND = {Priority.ORDINARY: 100, Priority.TRACE: 300, Priority.FAILURE: 1000}
# Share of the buffer up to which lines are taken.
BUFFER_SHARE = {Priority.ORDINARY: 0.5, Priority.TRACE: 0.75, Priority.FAILURE: 1.0}
REPORT_INTERVAL_SECONDS = 5.0
DROPPED_LINES_EVENT = "log_lines_dropped"
# Stands for the kind of a line of which a reader that has gone got the beginning only.
CUT_LINE = "cut_line"
_END_OF_LINE = ord("\n")


class LineBudget:
    """Limits the lines of each kind of event within each second."""

    def __init__(self) -> None:
        self._second = 0
        self._lines_by_kind: collections.Counter[tuple[str, Priority]] = collections.Counter()

    def admit(self, kind: str, *, priority: Priority, now: float) -> bool:
        """Returns True and counts the line if one more of its kind may be written."""
        if int(now) != self._second:
            self._second = int(now)
            self._lines_by_kind.clear()
        if self._lines_by_kind[kind, priority] >= MAX_LINES_PER_SECOND[priority]:
            return False
        self._lines_by_kind[kind, priority] += 1
        return True


class LineWriter:
    """Writes whole lines to a file descriptor without blocking.

    Other processes may share a pipe: the writer opens it anew where the system allows that, so that
    neither their blocking mode nor its own affects the other.

    Attributes:
        dropped_by_kind: Lines dropped since the last report.
        dropped_total: Lines dropped since the start.
    """

    def __init__(self, *, descriptor: int) -> None:
        self.dropped_by_kind: collections.Counter[str] = collections.Counter()
        self.dropped_total = 0
        self._descriptor = _open_non_blocking(descriptor)
        self._buffer = bytearray()
        self._budget = LineBudget()
        self._reported_at = time.monotonic()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._waits_for_reader = False
        # True if the reader has got the beginning of the buffer's first line.
        self._is_within_line = False

    @property
    def buffered_bytes(self) -> int:
        """Returns the number of bytes that the reader has not taken yet."""
        return len(self._buffer)

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Lets an event loop write the buffer as soon as the reader makes room."""
        self._loop = loop
        self.flush()

    def detach(self) -> None:
        """Ends the use of the event loop, which is about to close."""
        self._stop_waiting()
        self._loop = None

    def write(self, kind: str, line: str, *, priority: Priority) -> None:
        """Writes a line, buffers it, or drops and counts it."""
        now = time.monotonic()
        data = line.encode(errors="replace") + b"\n"
        if len(self._buffer) + len(data) > MAX_BUFFER_BYTES * BUFFER_SHARE[
            priority
        ] or not self._budget.admit(kind, priority=priority, now=now):
            self._count_dropped(kind)
        else:
            self._buffer += data
        self.report_dropped()
        self.flush()

    def report_dropped(self) -> None:
        """Logs how many lines were dropped, once in `REPORT_INTERVAL_SECONDS` at most."""
        now = time.monotonic()
        if self.dropped_by_kind and now - self._reported_at >= REPORT_INTERVAL_SECONDS:
            self._report(now)

    def flush(self) -> None:
        """Writes as much of the buffer as the descriptor accepts without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                self._wait_for_reader()
                return
            except OSError:
                # The reader has closed its end. A later one of a named pipe gets the lines that wait.
                self._drop_cut_line()
                break
            self._is_within_line = self._buffer[written - 1] != _END_OF_LINE
            del self._buffer[:written]
        self._stop_waiting()

    def close(self, *, timeout: float) -> None:
        """Writes what is left in the buffer, waiting `timeout` seconds for the reader at most."""
        self.detach()
        give_up_at = time.monotonic() + timeout
        if self.dropped_by_kind:
            self._report(time.monotonic())
        self.flush()
        while self._buffer and (seconds := give_up_at - time.monotonic()) > 0:
            _, writable, _ = select.select([], [self._descriptor], [], seconds)
            waiting = len(self._buffer)
            self.flush()
            if writable and len(self._buffer) == waiting:
                # The reader has closed its end.
                return

    def _wait_for_reader(self) -> None:
        if self._loop is not None and not self._waits_for_reader:
            self._loop.add_writer(self._descriptor, self.flush)
            self._waits_for_reader = True

    def _stop_waiting(self) -> None:
        if self._loop is not None and self._waits_for_reader:
            self._loop.remove_writer(self._descriptor)
        self._waits_for_reader = False

    def _drop_cut_line(self) -> None:
        if self._is_within_line:
            # Its end stays: what is unread of the line may still be in the pipe.
            del self._buffer[: self._buffer.index(_END_OF_LINE)]
            self._is_within_line = False
            self._count_dropped(CUT_LINE)

    def _count_dropped(self, kind: str) -> None:
        self.dropped_by_kind[kind] += 1
        self.dropped_total += 1

    def _report(self, now: float) -> None:
        counts: dict[str, Any] = {"event": DROPPED_LINES_EVENT, "level": "warning"}
        counts["dropped"] = dict(self.dropped_by_kind)
        self._buffer += json.dumps(counts).encode() + b"\n"
        self.dropped_by_kind.clear()
        self._reported_at = now


class BoundedLogger:
    """The innermost logger, which receives events rendered as JSON text.

    structlog calls the method with the name of the level.
    """

    def __init__(self, *, writer: LineWriter) -> None:
        self._writer = writer

    def msg(self, *, kind: str, line: str, priority: Priority) -> None:
        """Writes a rendered line."""
        self._writer.write(kind, line, priority=priority)

    debug = info = warning = error = critical = exception = msg


def render(logger: Any, method: str, event: MutableMapping[str, Any]) -> dict[str, Any]:
    """Renders an event as JSON with its priority; the last processor of structlog."""
    kind = str(event.get("event"))
    outcome = event.get("outcome")
    return {
        # Each outcome has a limit of its own, so that whole answers do not displace others.
        "kind": f"{kind} {outcome}" if outcome else kind,
        "line": json.dumps(event, default=repr),
        "priority": _priority_of(kind, event),
    }


def _priority_of(kind: str, event: MutableMapping[str, Any]) -> Priority:
    if event.get("level") in ("warning", "error", "critical"):
        return Priority.FAILURE
    status = event.get("status")
    is_failed = isinstance(status, int) and status not in (200, 0)
    return Priority.TRACE if is_failed or kind in log_events.TRACES else Priority.ORDINARY


def _open_non_blocking(descriptor: int) -> int:
    """Returns a non-blocking descriptor of the same file.

    The blocking mode belongs to the open file, which other processes may share.
    """
    if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
        # Fails without /proc, or if nobody reads the pipe.
        with contextlib.suppress(OSError):
            path = f"/proc/self/fd/{descriptor}"
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    os.set_blocking(descriptor, False)
    return descriptor
