"""Reads the clocks of the process.

Durations are measured on the event loop's clock, which tests can pause and advance. Leases and the
age of what a node knows are measured on a clock that also counts the time in which the machine was
suspended. The wall clock is used for the dates of entries that people read, and to number periods that all nodes
share; nothing breaks if it jumps.
"""

import asyncio
import datetime
import time


def monotonic() -> float:
    """Returns the running event loop's time in seconds; only differences are meaningful."""
    return asyncio.get_running_loop().time()


def elapsed() -> float:
    """Returns seconds since boot, including the time in which the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_seconds() -> float:
    """Returns the time of day as seconds since the epoch, for decisions that nodes take alike."""
    return time.time()


def utc_now() -> str:
    """Returns the wall clock's time as ISO 8601 text in UTC, for audit entries and logs."""
    return datetime.datetime.now(datetime.UTC).isoformat(timespec="milliseconds")
