"""The interface between the nodes: typed messages over peer streams.

What goes over it is never the only copy of anything that must last.
"""

import abc
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from basilpost.core import failure

M = TypeVar("M")

Handler = Callable[[str, Any], Awaitable[Any]]
StreamListener = Callable[[str, bool], None]


class MalformedMessageError(ValueError):
    """Raised by a handler for a message with broken content; the stream it came on is closed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerUnavailable(failure.Failure):
    """The peer is not connected, or did not answer in time; the message may have arrived."""


class PeerNetwork(abc.ABC):
    """Streams to the other nodes.

    Messages are frozen data classes. A message type is registered on every node with its handler;
    a handler receives the sender's node id and the message, and returns the reply or None.
    """

    @property
    @abc.abstractmethod
    def node_id(self) -> str:
        """Returns this node's id."""

    @abc.abstractmethod
    def handle(self, kind: type, handler: Handler, *, reply: type | None = None) -> None:
        """Registers the handler of a message type; `reply` is the type of its answer, if any."""

    @abc.abstractmethod
    async def request(
        self, node_id: str, message: Any, *, timeout: float = 2.0
    ) -> Any | PeerUnavailable:
        """Sends a message to one node (this one included) and waits for the reply."""

    @abc.abstractmethod
    def send(self, node_id: str, message: Any) -> None:
        """Sends a message to one node without waiting; it is dropped if the peer is not there."""

    @abc.abstractmethod
    def broadcast(self, message: Any) -> None:
        """Sends a message to all directly connected peers, not to this node."""

    @abc.abstractmethod
    def live_nodes(self) -> tuple[str, ...]:
        """Returns the ids of the nodes held for live, this one included, sorted."""

    @abc.abstractmethod
    def received_within(self, node_id: str, seconds: float) -> bool:
        """Returns True if anything came from that node within the last seconds."""

    def neighbours(self) -> tuple[str, ...]:
        """Returns the ids of the nodes that this one has lasting streams with, sorted."""
        return tuple(one for one in self.live_nodes() if one != self.node_id)

    def subscribe(self, listener: StreamListener) -> None:
        """Calls the listener when a lasting stream opens (True) or ends (False)."""
