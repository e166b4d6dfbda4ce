"""The interface between nodes: typed messages over peer streams.

Messages may be lost, so they never carry the only copy of data that must last. Lasting streams are
kept open to a node's neighbours, which are all nodes in a small fleet; other streams are opened on
demand and closed when idle.
"""

import abc
import dataclasses
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, TypeVar

from basilpost.core import failure

M = TypeVar("M")

# Takes the sender's node id and the message; returns the reply or None.
Handler = Callable[[str, Any], Awaitable[Any]]
# Takes the peer's node id, and True if its stream opened or False if it ended.
StreamListener = Callable[[str, bool], None]


class MalformedMessageError(ValueError):
    """Raised by a handler for a message with invalid content; the stream it came on is closed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerUnavailable(failure.Failure):
    """The peer is not connected, or did not answer in time; the message may have arrived."""


class PeerNetwork(abc.ABC):
    """Streams to the other nodes.

    Messages are frozen data classes. Every node registers each message type with its handler.
    """

    @property
    @abc.abstractmethod
    def node_id(self) -> str:
        """Returns this node's id."""

    @abc.abstractmethod
    def handle(self, kind: type, handler: Handler, *, reply: type | None = None) -> None:
        """Registers the handler of a message type; `reply` is the type of its reply, if any."""

    @abc.abstractmethod
    async def request(
        self, node_id: str, message: Any, *, timeout: float = 2.0
    ) -> Any | PeerUnavailable:
        """Sends a message to one node (this one included) and waits for the reply."""

    @abc.abstractmethod
    def send(self, node_id: str, message: Any) -> None:
        """Sends a message to one node without waiting; it is dropped if the node is unreachable."""

    def send_to_all(self, node_ids: Iterable[str], message: Any) -> None:
        """Sends a message to several nodes; an implementation may encode it only once."""
        for node_id in node_ids:
            self.send(node_id, message)

    @abc.abstractmethod
    def broadcast(self, message: Any) -> None:
        """Sends a message to all directly connected peers, not to this node."""

    @abc.abstractmethod
    def live_nodes(self) -> tuple[str, ...]:
        """Returns the ids of the nodes believed to be alive, including this one, sorted."""

    @abc.abstractmethod
    def received_within(self, node_id: str, seconds: float) -> bool:
        """Returns True if any frame came from that node within the last `seconds`."""

    def neighbours(self) -> tuple[str, ...]:
        """Returns the ids of the nodes to which this one keeps a stream open, sorted."""
        return tuple(node_id for node_id in self.live_nodes() if node_id != self.node_id)

    def wanted(self) -> frozenset[str]:
        """Returns the ids of the nodes to which this one is to keep a stream, open or not."""
        return frozenset(self.neighbours())

    def subscribe(self, listener: StreamListener) -> None:
        """Calls the listener when a stream to a neighbour opens (True) or ends (False)."""
