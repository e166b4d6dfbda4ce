"""Fakes of the interfaces between services, for unit tests."""

import asyncio
from collections.abc import Callable
from typing import Any

from basilpost.core import data
from basilpost.members import directory, peers, replica, standing
from basilpost.store import objects


class PeerHub:
    """An in-memory network of `FakePeers`; links between nodes can be cut."""

    def __init__(self) -> None:
        self.peers_by_id: dict[str, FakePeers] = {}
        self.cut: set[frozenset[str]] = set()

    def connected(self, a: str, b: str) -> bool:
        """Returns True if both nodes exist and the link between them is not cut."""
        return {a, b} <= self.peers_by_id.keys() and frozenset((a, b)) not in self.cut


class FakePeers(peers.PeerNetwork):
    """A node's peer network over a `PeerHub`; each message is delivered in a task of its own."""

    def __init__(self, *, node_id: str, hub: PeerHub) -> None:
        self._node_id = node_id
        self._hub = hub
        self._handlers_by_kind: dict[type, peers.Handler] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        hub.peers_by_id[node_id] = self

    @property
    def node_id(self) -> str:
        """Returns this node's id."""
        return self._node_id

    def handle(self, kind: type, handler: peers.Handler, *, reply: type | None = None) -> None:
        """Registers a handler."""
        self._handlers_by_kind[kind] = handler

    async def request(
        self, node_id: str, message: Any, *, timeout: float = 2.0
    ) -> Any | peers.PeerUnavailable:
        """Calls the other node's handler; fails at once over a cut link."""
        if not self._hub.connected(self._node_id, node_id):
            return peers.PeerUnavailable(reason=f"{node_id} is not connected")
        handler = self._hub.peers_by_id[node_id]._handlers_by_kind[type(message)]
        try:
            return await asyncio.wait_for(handler(self._node_id, message), timeout)
        except TimeoutError:
            return peers.PeerUnavailable(reason=f"{node_id} did not answer in {timeout} s")

    def send(self, node_id: str, message: Any) -> None:
        """Delivers the message in a task, or drops it over a cut link."""
        if self._hub.connected(self._node_id, node_id):
            task = asyncio.get_running_loop().create_task(self._deliver(node_id, message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _deliver(self, node_id: str, message: Any) -> None:
        handler = self._hub.peers_by_id[node_id]._handlers_by_kind.get(type(message))
        if handler is not None:
            await handler(self._node_id, message)

    def broadcast(self, message: Any) -> None:
        """Sends to all connected nodes except this one."""
        for node_id in self._hub.peers_by_id:
            if node_id != self._node_id:
                self.send(node_id, message)

    def live_nodes(self) -> tuple[str, ...]:
        """Returns the reachable nodes, including this one."""
        node_ids = self._hub.peers_by_id
        return tuple(sorted(peer for peer in node_ids if self._hub.connected(self._node_id, peer)))

    def received_within(self, node_id: str, seconds: float) -> bool:
        """Returns True while the link is up."""
        return self._hub.connected(self._node_id, node_id)


class FakeReplica(replica.Replica):
    """A replica that only knows what it is offered."""

    def __init__(self) -> None:
        self.contact_age = 0.0
        self._changes_by_key: dict[str, objects.Change] = {}
        self._listeners: list[tuple[str, replica.Listener]] = []

    def get(self, key: str) -> objects.Stored | None:
        """Returns the newest offered version."""
        change = self._changes_by_key.get(key)
        return change.stored if change else None

    def items(self, prefix: str) -> tuple[objects.Stored, ...]:
        """Returns the offered objects below a prefix."""
        found = (self.get(key) for key in sorted(self._changes_by_key) if key.startswith(prefix))
        return tuple(stored for stored in found if stored is not None)

    def offer(self, change: objects.Change) -> bool:
        """Applies a change if it is newer; returns True if it was."""
        known = self._changes_by_key.get(change.key)
        if known is not None and known.version >= change.version:
            return False
        self._changes_by_key[change.key] = change
        for prefix, listener in self._listeners:
            if change.key.startswith(prefix):
                listener(change)
        return True

    def subscribe(self, prefix: str, listener: replica.Listener) -> None:
        """Registers a listener."""
        self._listeners.append((prefix, listener))

    def store_contact_age(self) -> float:
        """Returns `contact_age`, set by the test."""
        return self.contact_age


class FakeStanding(standing.Standing):
    """Returns the verdicts that the test has set."""

    def __init__(self) -> None:
        self.verdict: standing.InStanding | standing.NotServing = standing.InStanding()
        self.acknowledged = True

    def check(self) -> standing.InStanding | standing.NotServing:
        """Returns `verdict`, set by the test."""
        return self.verdict

    def acknowledged_by_all(self, key: str, version: int) -> bool:
        """Returns `acknowledged`, set by the test."""
        return self.acknowledged


class FakeDirectory(directory.Directory):
    """A directory of the configuration and groups that the test has set."""

    def __init__(
        self,
        *,
        config: data.Config | None = None,
        groups: tuple[data.Group, ...] = (),
    ) -> None:
        self._config = config or data.Config()
        self._groups = groups
        self._listeners: list[Callable[[], None]] = []

    def config(self) -> data.Config:
        """Returns the set configuration."""
        return self._config

    def set(
        self, *, config: data.Config | None = None, groups: tuple[data.Group, ...] | None = None
    ) -> None:
        """Replaces the configuration or the groups, and calls the listeners."""
        self._config = self._config if config is None else config
        self._groups = self._groups if groups is None else groups
        for listener in self._listeners:
            listener()

    def groups_for(self, service: str) -> tuple[data.Group, ...]:
        """Returns the set groups of a service."""
        return tuple(group for group in self._groups if group.service == service)

    def group(self, group_id: str) -> data.Group | None:
        """Returns a set group."""
        return next((group for group in self._groups if group.group_id == group_id), None)

    def tables(self) -> dict[str, data.FabricTable]:
        """Returns the set groups, grouped into tables by fabric domain."""
        domains = sorted({group.fabric_domain for group in self._groups})
        return {
            domain: data.FabricTable(
                fabric_domain=domain,
                groups=tuple(group for group in self._groups if group.fabric_domain == domain),
            )
            for domain in domains
        }

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Registers a listener."""
        self._listeners.append(listener)
