"""Reads the clocks of the runtime.

Durations are measured on the event loop's clock, which tests pause and advance. Leases and the
freshness of what a node knows are measured on a clock that also counts the time in which the
machine was suspended. The wall clock only dates entries that people read.
"""

import asyncio
import datetime
import time


def monotonic() -> float:
    """Returns the running event loop's time in seconds; only differences have a meaning."""
    return asyncio.get_running_loop().time()


def elapsed() -> float:
    """Returns seconds on a clock that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def utc_now() -> str:
    """Returns the wall clock's time as ISO 8601 text in UTC, for audit entries and logs."""
    return datetime.datetime.now(datetime.UTC).isoformat(timespec="milliseconds")
