"""Broadcasts the changes that the controller sees in the store.

The controller watches with the shortest gaps. The other nodes can then leave longer gaps between
their own calls, which only have to show that no change was missed.
"""

import asyncio
import dataclasses

from basilpost.core import kernel, names, tasks
from basilpost.members import feed as feeds
from basilpost.members import peer_versions, peers
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
        self._peer_versions = self._feed.peer_versions
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
        # Sends each form of the versions to all nodes that understand it, so that it is encoded once.
        neighbours = self._peers.neighbours()
        for knows_eras in (True, False):
            node_ids = [
                node_id
                for node_id in neighbours
                if self._peer_versions.knows_eras(node_id) is knows_eras
            ]
            sent = changes if knows_eras else tuple(map(peer_versions.without_era, changes))
            if node_ids:
                self._peers.send_to_all(node_ids, StoreChanges(changes=sent))

    async def _receive(self, sender: str, message: StoreChanges) -> None:
        changes = (
            self._peer_versions.change_from_peer(sender, change) for change in message.changes
        )
        self._feed.offer((change for change in changes if change is not None), source=sender)
