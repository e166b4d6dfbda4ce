"""The controller tells all nodes at once what it has seen in the store.

It watches most closely; the others can then leave longer gaps between their own calls, which only
have to prove that nothing was missed.
"""

import asyncio
import dataclasses

from basilpost.core import kernel, names, tasks
from basilpost.members import feed as feeds
from basilpost.members import peers
from basilpost.store import objects

# Changes that come together ride in one message.
COLLECT_SECONDS = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreChanges:
    """Changes of followed objects, oldest first."""

    WIRE_NAME = "StoreNews"

    changes: tuple[objects.Change, ...]


class News(kernel.Service):
    """Sends the news of this node while it is the controller, and takes in those of others."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._feed = kernel.find(names.FEED, feeds.Feed)
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._collected: list[objects.Change] = []
        self._feed.publish = self._collect
        self._peers.handle(StoreChanges, self._take)

    async def stop(self) -> None:
        """Ends sending."""
        await self._tasks.close()

    def _collect(self, change: objects.Change) -> None:
        if not self._collected:
            self._tasks.spawn(self._send(), name="store-news")
        self._collected.append(change)

    async def _send(self) -> None:
        await asyncio.sleep(COLLECT_SECONDS)
        changes, self._collected = tuple(self._collected), []
        self._peers.broadcast(StoreChanges(changes=changes))

    async def _take(self, sender: str, news: StoreChanges) -> None:
        self._feed.offer(news.changes, source=sender)
