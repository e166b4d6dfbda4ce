"""Peer streams: typed messages between nodes over authenticated connections.

Up to a configured fleet size (`full_mesh_nodes`) every node keeps a stream to every other one.
Beyond it a node keeps lasting streams to a few neighbours, and opens streams on demand to other
nodes that it has messages for: one direct hop costs the fleet less than relaying through
neighbours. The number of streams on demand is bounded.
"""

import asyncio
import dataclasses
import itertools
from collections.abc import Iterable
from typing import Any

from basilpost.core import kernel, names, tasks
from basilpost.members import connections, node_table, peers, stream, transport, wire
from basilpost.settings import schema

# Requests to all nodes together that wait for their replies.
MAX_PENDING_REQUESTS = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PendingRequest:
    """A request to a node whose reply has not come yet."""

    node_id: str
    reply: asyncio.Future[Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _HandlerResult:
    """The result of handling a message.

    Attributes:
        done: False if the handler failed or there is none.
        reply: The reply that the handler returned, if any.
        refused: Set if the message is malformed and its stream must be closed.
    """

    done: bool
    reply: Any = None
    refused: wire.FrameRefused | None = None


class Streams(peers.PeerNetwork, kernel.Service):
    """The streams of one node."""

    def __init__(
        self,
        *,
        kernel: kernel.Kernel,
        table: node_table.NodeTable,
        peer_transport: transport.Transport | None = None,
    ) -> None:
        settings = kernel.find(names.SETTINGS, schema.NodeSettings)
        self._node_id = settings.node_id
        self._has_secret = bool(settings.peers.secret)
        self._table = table
        self._log = kernel.log
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._registry = wire.MessageRegistry()
        self._handlers_by_kind: dict[type, peers.Handler] = {}
        self._requests_by_id: dict[int, _PendingRequest] = {}
        self._request_ids = itertools.count(1)
        self._connections = connections.Connections(
            settings=settings,
            table=table,
            peer_transport=peer_transport or transport.TcpTransport(settings=settings.peers),
            on_frame=self._receive,
            on_ended=self._fail_requests,
            registry=kernel.registry,
            log=kernel.log,
        )

    @property
    def node_id(self) -> str:
        """Returns this node's id."""
        return self._node_id

    @property
    def address(self) -> str:
        """Returns the address at which peers reach this node, empty before the start."""
        return self._connections.address

    async def start(self) -> None:
        """Starts to listen and to connect to the known nodes."""
        if not self._has_secret:
            self._log.warning("peer_secret_is_empty")
        await self._connections.start()

    async def stop(self) -> None:
        """Sends the queued frames and closes all streams."""
        await self._connections.stop()
        await self._tasks.close()

    def handle(self, kind: type, handler: peers.Handler, *, reply: type | None = None) -> None:
        """Registers the handler of a message type.

        The messages of one peer are handled one after another in the order sent, so a handler must
        not wait for long. Requests are handled concurrently.
        """
        self._registry.add(kind)
        if reply is not None:
            self._registry.add(reply)
        self._handlers_by_kind[kind] = handler

    def subscribe(self, listener: peers.StreamListener) -> None:
        """Calls the listener when a lasting stream opens (True) or ends (False)."""
        self._connections.subscribe(listener)

    async def request(
        self, node_id: str, message: Any, *, timeout: float = 2.0
    ) -> Any | peers.PeerUnavailable:
        """Sends a message to one node (this one included) and waits for the reply."""
        try:
            async with asyncio.timeout(timeout):
                if node_id == self._node_id:
                    return await self._handlers_by_kind[type(message)](node_id, message)
                return await self._send_request(node_id, message)
        except TimeoutError:
            return peers.PeerUnavailable(reason=f"{node_id} did not answer in {timeout} s")

    def send(self, node_id: str, message: Any) -> None:
        """Sends a message to one node; it is dropped if the node is unreachable."""
        conn = self._connections.streams_by_id.get(node_id)
        if conn is not None:
            self._connections.send(conn, self._registry.encode(_message(message)))
        else:
            self._tasks.spawn(self._open_and_send(node_id, message), name=f"peer-open-{node_id}")

    def send_to_all(self, node_ids: Iterable[str], message: Any) -> None:
        """Sends a message to several nodes; it is encoded once for those with an open stream."""
        framed = self._registry.encode(_message(message))
        for node_id in node_ids:
            conn = self._connections.streams_by_id.get(node_id)
            if conn is not None:
                self._connections.send(conn, framed)
            else:
                self.send(node_id, message)

    def broadcast(self, message: Any) -> None:
        """Sends a message to all nodes with a lasting stream."""
        framed = self._registry.encode(_message(message))
        for conn in list(self._connections.streams_by_id.values()):
            if conn.lasting:
                self._connections.send(conn, framed)

    def neighbours(self) -> tuple[str, ...]:
        """Returns the ids of the nodes with a lasting stream to this one, sorted."""
        return tuple(
            sorted(
                conn.node_id for conn in self._connections.streams_by_id.values() if conn.lasting
            )
        )

    def wanted(self) -> frozenset[str]:
        """Returns the ids of the nodes to which this one is to keep a stream, open or not."""
        return self._connections.wanted

    def live_nodes(self) -> tuple[str, ...]:
        """Returns this node and those with a stream or, beyond the full mesh, a valid lease."""
        live = {self._node_id, *self._connections.streams_by_id}
        if not self._connections.is_full_mesh():
            live.update(filter(self._table.lease_holds, self._table.records_by_id))
        return tuple(sorted(live))

    def received_within(self, node_id: str, seconds: float) -> bool:
        """Returns True if any frame came from that node within the last `seconds`."""
        return self._connections.received_within(node_id, seconds)

    async def _open_and_send(self, node_id: str, message: Any) -> None:
        conn = await self._connections.open(node_id)
        if conn is not None:
            self._connections.send(conn, self._registry.encode(_message(message)))

    async def _receive(self, conn: stream.Stream, raw: bytes) -> wire.FrameRefused | None:
        """Handles one frame; returns why the stream must be closed, if it must."""
        envelope = self._registry.decode(raw)
        if isinstance(envelope, wire.FrameRefused):
            self._log.warning("peer_frame_refused", peer=conn.node_id, reason=envelope.reason)
            return envelope
        return await self._dispatch(conn, envelope)

    async def _dispatch(
        self, conn: stream.Stream, envelope: wire.Envelope
    ) -> wire.FrameRefused | None:
        match envelope.mode:
            case wire.Mode.REPLY | wire.Mode.NO_REPLY:
                self._resolve_request(conn, envelope)
            case wire.Mode.REQUEST:
                conn.used_at = conn.received_at
                self._tasks.spawn(self._answer(conn, envelope), name=f"peer-call-{conn.node_id}")
            case wire.Mode.MESSAGE:
                conn.used_at = conn.received_at
                result = await self._run_handler(conn.node_id, envelope.message)
                return result.refused
        return None

    def _resolve_request(self, conn: stream.Stream, envelope: wire.Envelope) -> None:
        request = self._requests_by_id.get(envelope.call)
        if request is None or request.node_id != conn.node_id or request.reply.done():
            return
        if envelope.mode is wire.Mode.REPLY:
            request.reply.set_result(envelope.message)
        else:
            request.reply.set_result(peers.PeerUnavailable(reason=f"{conn.node_id} cannot answer"))

    async def _answer(self, conn: stream.Stream, envelope: wire.Envelope) -> None:
        result = await self._run_handler(conn.node_id, envelope.message)
        mode = wire.Mode.REPLY if result.done else wire.Mode.NO_REPLY
        reply = wire.Envelope(mode=mode, call=envelope.call, message=result.reply)
        self._connections.send(conn, self._registry.encode(reply))

    async def _run_handler(self, sender: str, message: Any) -> _HandlerResult:
        handler = self._handlers_by_kind.get(type(message))
        if handler is None:
            return _HandlerResult(done=False)
        try:
            return _HandlerResult(done=True, reply=await handler(sender, message))
        except peers.MalformedMessageError as error:
            refused = wire.FrameRefused(reason=str(error), cause="malformed")
            return _HandlerResult(done=False, refused=refused)
        except Exception:
            kind = wire.base_name_of(type(message))
            self._log.exception("peer_handler_failed", kind=kind, peer=sender)
            return _HandlerResult(done=False)

    async def _send_request(self, node_id: str, message: Any) -> Any | peers.PeerUnavailable:
        conn = await self._connections.open(node_id)
        if conn is None or len(self._requests_by_id) >= MAX_PENDING_REQUESTS:
            return peers.PeerUnavailable(reason=f"{node_id} is not connected")
        request_id = next(self._request_ids)
        reply = asyncio.get_running_loop().create_future()
        self._requests_by_id[request_id] = _PendingRequest(node_id=node_id, reply=reply)
        envelope = wire.Envelope(mode=wire.Mode.REQUEST, call=request_id, message=message)
        try:
            self._connections.send(conn, self._registry.encode(envelope))
            if conn.closed:
                return peers.PeerUnavailable(reason=f"{node_id} is too slow")
            return await reply
        finally:
            del self._requests_by_id[request_id]

    def _fail_requests(self, node_id: str) -> None:
        """Fails the pending requests to a node whose stream has ended."""
        for request in [sent for sent in self._requests_by_id.values() if sent.node_id == node_id]:
            if not request.reply.done():
                request.reply.set_result(peers.PeerUnavailable(reason=f"lost {node_id}"))


def _message(message: Any) -> wire.Envelope:
    return wire.Envelope(mode=wire.Mode.MESSAGE, message=message)
