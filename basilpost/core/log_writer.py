"""Writes log lines without ever waiting for whoever reads them.

Each kind of event has a budget of lines a second, and a reader that stalls fills a bounded buffer; what
does not fit is dropped and counted, and the counts are logged. Lines of refusals and failures have a
larger share than those of requests that went well.
"""

import collections
import json
import os
import time
from collections.abc import MutableMapping
from typing import Any

# Lines a second of one kind of event at most: a node of today serves some tens of requests a second.
LINES_PER_SECOND = 100
# Events that explain a failure keep this many times as much.
IMPORTANT_FACTOR = 3
BUFFER_BYTES = 1_000_000
REPORT_SECONDS = 5.0
DROPPED_EVENT = "log_lines_dropped"


class LineBudget:
    """Counts lines by kind within each second."""

    def __init__(self) -> None:
        self._second = 0
        self._lines_by_kind: collections.Counter[str] = collections.Counter()

    def take(self, kind: str, *, important: bool, now: float) -> bool:
        """Returns True, and counts the line, if one more of its kind may be written."""
        if int(now) != self._second:
            self._second = int(now)
            self._lines_by_kind.clear()
        most = LINES_PER_SECOND * (IMPORTANT_FACTOR if important else 1)
        key = f"{kind}!" if important else kind
        if self._lines_by_kind[key] >= most:
            return False
        self._lines_by_kind[key] += 1
        return True


class LineWriter:
    """Writes whole lines to a file descriptor that it makes non-blocking.

    Attributes:
        dropped_by_kind: Lines dropped since the last report.
    """

    def __init__(self, *, descriptor: int) -> None:
        self.dropped_by_kind: collections.Counter[str] = collections.Counter()
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._budget = LineBudget()
        self._reported_at = time.monotonic()
        os.set_blocking(descriptor, False)

    def write(self, kind: str, line: str, *, important: bool) -> None:
        """Writes a line, keeps it for later, or drops it."""
        now = time.monotonic()
        data = line.encode(errors="replace") + b"\n"
        if len(self._buffer) + len(data) > BUFFER_BYTES or not self._budget.take(
            kind, important=important, now=now
        ):
            self.dropped_by_kind[kind] += 1
        else:
            self._buffer += data
        if self.dropped_by_kind and now - self._reported_at >= REPORT_SECONDS:
            self._report(now)
        self.flush()

    def flush(self) -> None:
        """Writes what the descriptor takes now."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the node serves on.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _report(self, now: float) -> None:
        counts: dict[str, Any] = {"event": DROPPED_EVENT, "level": "warning"}
        counts["dropped"] = dict(self.dropped_by_kind)
        self._buffer += json.dumps(counts).encode() + b"\n"
        self.dropped_by_kind.clear()
        self._reported_at = now


class BoundedLogger:
    """The innermost logger: takes events that are rendered as JSON text.

    structlog calls the method that is named like the level.
    """

    def __init__(self, *, writer: LineWriter) -> None:
        self._writer = writer

    def msg(self, *, kind: str, line: str, important: bool) -> None:
        """Writes a rendered line."""
        self._writer.write(kind, line, important=important)

    debug = info = warning = error = critical = exception = msg


def render(logger: Any, method: str, event: MutableMapping[str, Any]) -> dict[str, Any]:
    """Renders an event and says how important it is; structlog's last processor."""
    status = event.get("status")
    failed = isinstance(status, int) and status not in (200, 0)
    important = failed or event.get("level") in ("warning", "error", "critical")
    return {
        "kind": str(event.get("event")),
        "line": json.dumps(event, default=repr),
        "important": important,
    }
