"""Reads the clocks of the runtime.

Durations are always measured on the event loop's clock, which tests pause and advance; the wall
clock only dates entries that people read.
"""

import asyncio
import datetime


def monotonic() -> float:
    """Returns the running event loop's time in seconds; only differences have a meaning."""
    return asyncio.get_running_loop().time()


def utc_now() -> str:
    """Returns the wall clock's time as ISO 8601 text in UTC, for audit entries and logs."""
    return datetime.datetime.now(datetime.UTC).isoformat(timespec="milliseconds")
