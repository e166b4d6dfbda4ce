"""Limits of what one workspace may ask of a node: rate, concurrency and memory of bodies."""

import dataclasses

from basilpost.core import clock, data, failure
from basilpost.routing import interfaces

CONCURRENCY_RETRY_SECONDS = 0.5
MEMORY_RETRY_SECONDS = 1.0
SHORTEST_RETRY_SECONDS = 0.05


@dataclasses.dataclass(kw_only=True)
class Usage:
    """What a workspace uses of its limits on this node."""

    tokens: float
    refilled_at: float
    in_flight: int = 0


class Reservation(interfaces.Ticket):
    """An admitted request's share of the limits."""

    __slots__ = ("_limits", "_usage", "_size")

    def __init__(self, *, limits: "Limits", usage: Usage, size: int) -> None:
        self._limits: Limits | None = limits
        self._usage = usage
        self._size = size

    def close(self) -> None:
        """Gives the share back once."""
        if self._limits is not None:
            self._limits.release(self._usage, self._size)
            self._limits = None


class Limits:
    """Token buckets and counts by workspace, and one memory budget for the node."""

    def __init__(self, *, max_buffered_bytes: int) -> None:
        self._max_buffered_bytes = max_buffered_bytes
        self.buffered_bytes = 0
        self._usage_by_workspace: dict[str, Usage] = {}

    def reserve(self, workspace: data.Workspace, size: int) -> Reservation | failure.Refusal:
        """Admits a request of some bytes, or says which limit it exceeds."""
        usage = self._usage(workspace)
        if usage.tokens < 1.0:
            return _rate_limited(workspace, usage)
        if usage.in_flight >= workspace.max_concurrency:
            return _concurrency_limited(workspace)
        if self.buffered_bytes + size > self._max_buffered_bytes:
            return _memory_full()
        usage.tokens -= 1.0
        usage.in_flight += 1
        self.buffered_bytes += size
        return Reservation(limits=self, usage=usage, size=size)

    def release(self, usage: Usage, size: int) -> None:
        """Takes back what a request held."""
        usage.in_flight -= 1
        self.buffered_bytes -= size

    def _usage(self, workspace: data.Workspace) -> Usage:
        """Returns a workspace's usage with its tokens refilled up to now."""
        now = clock.monotonic()
        usage = self._usage_by_workspace.get(workspace.name)
        if usage is None:
            usage = Usage(tokens=max(1.0, workspace.burst), refilled_at=now)
            self._usage_by_workspace[workspace.name] = usage
            return usage
        refilled = usage.tokens + (now - usage.refilled_at) * workspace.rate
        usage.tokens = min(max(1.0, workspace.burst), refilled)
        usage.refilled_at = now
        return usage


def _rate_limited(workspace: data.Workspace, usage: Usage) -> failure.Refusal:
    missing = (1.0 - usage.tokens) / workspace.rate if workspace.rate > 0 else 60.0
    return failure.Refusal(
        reason=f"workspace {workspace.name} exceeds {workspace.rate:g} requests/s",
        code="rate_limited",
        status=429,
        retry_after=max(SHORTEST_RETRY_SECONDS, missing),
    )


def _concurrency_limited(workspace: data.Workspace) -> failure.Refusal:
    return failure.Refusal(
        reason=f"workspace {workspace.name} has {workspace.max_concurrency} requests in flight",
        code="concurrency_limited",
        status=429,
        retry_after=CONCURRENCY_RETRY_SECONDS,
    )


def _memory_full() -> failure.Refusal:
    return failure.Refusal(
        reason="the node holds as many bytes of request bodies as it may",
        code="memory_full",
        status=503,
        retry_after=MEMORY_RETRY_SECONDS,
    )
