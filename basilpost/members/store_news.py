"""Broadcasts the changes that the controller sees in the store.

The controller watches with the shortest gaps. The other nodes can then leave longer gaps between
their own calls, which only have to show that no change was missed.
"""

import asyncio
import dataclasses

from basilpost.core import kernel, names, tasks
from basilpost.members import feed as feeds
from basilpost.members import peers
from basilpost.store import objects

# Changes seen within this time are sent in one message.
COLLECT_SECONDS = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreChanges:
    """Changes of followed objects, oldest first, from the controller."""

    WIRE_NAME = "StoreNews"

    changes: tuple[objects.Change, ...]


class News(kernel.Service):
    """Sends this node's changes while it is the controller, and applies those of others."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._feed = kernel.find(names.FEED, feeds.Feed)
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._collected: list[objects.Change] = []
        self._feed.publish = self._collect
        self._peers.handle(StoreChanges, self._receive)

    async def stop(self) -> None:
        """Stops sending."""
        await self._tasks.close()

    def _collect(self, change: objects.Change) -> None:
        if not self._collected:
            self._tasks.spawn(self._send(), name="store-news")
        self._collected.append(change)

    async def _send(self) -> None:
        await asyncio.sleep(COLLECT_SECONDS)
        changes, self._collected = tuple(self._collected), []
        self._peers.broadcast(StoreChanges(changes=changes))

    async def _receive(self, sender: str, message: StoreChanges) -> None:
        self._feed.offer(message.changes, source=sender)
