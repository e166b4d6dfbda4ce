"""Bounds the bytes that open connections hold together, beside the bodies of requests.

What a connection has read and nobody has parsed, and what it has not sent yet, is counted by nobody else.
One connection holds little, but there may be thousands.
"""

import abc
import asyncio
import dataclasses
from typing import Any

import prometheus_client

# Share of the memory of a node for what connections hold.
MEMORY_SHARE = 0.15
# Share of the bound to which connections are closed once it is exceeded.
KEPT_SHARE = 0.8
# The bytes are counted again when this share of the bound may have come.
RECOUNT_SHARE = 0.02
# Time over which the progress of a connection is measured, at least; at most twice as long.
PROGRESS_SECONDS = 1.0


@dataclasses.dataclass(kw_only=True)
class Progress:
    """The bytes that a connection has moved lately.

    Attributes:
        now: Bytes read and written since the latest begin of a period.
        before: Bytes read and written in the period before it.
    """

    now: int = 0
    before: int = 0


class HoldingConnection(abc.ABC):
    """A connection that holds bytes.

    Attributes:
        progress: The bytes that it has moved lately.
        carries_request: True while a request that arrived on it has no answer yet.
    """

    progress: Progress
    carries_request: bool

    @property
    @abc.abstractmethod
    def held_bytes(self) -> int:
        """Returns the bytes that it holds."""

    @property
    @abc.abstractmethod
    def may_be_dropped(self) -> bool:
        """Returns False while its caller waits for a request that may have run."""

    @abc.abstractmethod
    def drop(self) -> None:
        """Closes the connection and frees what it holds."""


class ConnectionMemory:
    """Counts what the connections of callers hold, and closes some when it is too much.

    Those without a request that has arrived are closed first, and among them those that have moved fewest
    bytes for what they hold. The answers of the others are lost with their connections.

    Args:
        max_bytes: Bound on the bytes that all of them hold.
        log: Takes a line about the connections that were closed, once for each period.
        registry: Takes the counter of these.
    """

    def __init__(
        self, *, max_bytes: int, log: Any, registry: prometheus_client.CollectorRegistry
    ) -> None:
        self._max_bytes = max_bytes
        self._log = log
        self._connections: set[HoldingConnection] = set()
        self._counted = 0
        self._added = 0
        self._dropped = 0
        self._dropped_bytes = 0
        self._counter = prometheus_client.Counter(
            "basilpost_dropped_connections_total",
            "Connections of callers that were closed because connections held too many bytes",
            registry=registry,
        )

    def add(self, connection: HoldingConnection) -> None:
        """Counts a connection from now on."""
        self._connections.add(connection)

    def remove(self, connection: HoldingConnection) -> None:
        """Forgets a connection that is closed."""
        self._connections.discard(connection)

    def note_held(self, connection: HoldingConnection, size: int) -> None:
        """Notes that a connection may hold further bytes; closes others if all hold too much."""
        self._added += size
        is_due = self._added > self._max_bytes * RECOUNT_SHARE
        if is_due and self._counted + self._added > self._max_bytes:
            self._bound(spared=connection)

    async def run(self) -> None:
        """Begins the periods over which progress is measured, and reports what was closed."""
        while True:
            await asyncio.sleep(PROGRESS_SECONDS)
            self._bound(spared=None)
            for connection in self._connections:
                progress = connection.progress
                progress.before, progress.now = progress.now, 0
            if self._dropped:
                self._log.warning(
                    "connections_dropped",
                    count=self._dropped,
                    bytes=self._dropped_bytes,
                    held=self._counted,
                )
                self._counter.inc(self._dropped)
                self._dropped = self._dropped_bytes = 0

    def _bound(self, *, spared: HoldingConnection | None) -> None:
        self._added = 0
        held_by_connection = {each: each.held_bytes for each in self._connections}
        self._counted = sum(held_by_connection.values())
        if self._counted <= self._max_bytes:
            return
        candidates = [
            each
            for each, held in held_by_connection.items()
            if held and each is not spared and each.may_be_dropped
        ]
        candidates.sort(
            key=lambda each: (each.carries_request, _recent(each) / held_by_connection[each])
        )
        for connection in candidates:
            if self._counted <= self._max_bytes * KEPT_SHARE:
                break
            self._counted -= held_by_connection[connection]
            self._dropped += 1
            self._dropped_bytes += held_by_connection[connection]
            connection.drop()


def _recent(connection: HoldingConnection) -> int:
    return connection.progress.now + connection.progress.before
