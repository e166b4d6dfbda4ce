"""Peer streams: typed messages between nodes over authenticated connections.

Up to a set fleet size every node keeps a stream to every other one. Beyond it a node keeps lasting
streams to a few neighbours, and opens streams on demand to other nodes that it has messages for:
one direct hop costs the fleet less than relaying through neighbours, and the number is bounded.
"""

import asyncio
import dataclasses
import itertools
from typing import Any

from basilpost.core import kernel, names, tasks
from basilpost.members import connections, node_table, peers, stream, transport, wire
from basilpost.settings import schema

MAX_CALLS = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Call:
    """A request that waits for its reply from one node."""

    node_id: str
    reply: asyncio.Future[Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Handled:
    """What became of a message.

    Attributes:
        done: False if its handler failed or there is none.
        reply: What the handler returned.
        refused: Why the message must cost its stream, if it must.
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
        self._calls_by_id: dict[int, _Call] = {}
        self._call_ids = itertools.count(1)
        self._connections = connections.Connections(
            settings=settings,
            table=table,
            peer_transport=peer_transport or transport.TcpTransport(settings=settings.peers),
            receive=self._receive,
            ended=self._forget_calls,
            registry=kernel.registry,
            log=kernel.log,
        )

    @property
    def node_id(self) -> str:
        """Returns this node's id."""
        return self._node_id

    @property
    def address(self) -> str:
        """Returns the address that peers reach this node by, empty before the start."""
        return self._connections.address

    async def start(self) -> None:
        """Listens, and begins to connect to the known nodes."""
        if not self._has_secret:
            self._log.warning("peer_secret_is_empty")
        await self._connections.start()

    async def stop(self) -> None:
        """Sends what is queued and ends all streams."""
        await self._connections.stop()
        await self._tasks.close()

    def handle(self, kind: type, handler: peers.Handler, *, reply: type | None = None) -> None:
        """Registers the handler of a message type.

        The messages of one peer are handled in the order sent, each before the next is read, so a
        handler must not wait for long. Requests are handled at once beside each other.
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
        """Sends a message to one node and waits for the reply."""
        try:
            async with asyncio.timeout(timeout):
                if node_id == self._node_id:
                    return await self._handlers_by_kind[type(message)](node_id, message)
                return await self._call(node_id, message)
        except TimeoutError:
            return peers.PeerUnavailable(reason=f"{node_id} did not answer in {timeout} s")

    def send(self, node_id: str, message: Any) -> None:
        """Sends a message to one node; it is dropped if the peer is not there."""
        one = self._connections.streams_by_id.get(node_id)
        if one is not None:
            self._connections.send(one, self._registry.encode(_message(message)))
        else:
            self._tasks.spawn(self._open_and_send(node_id, message), name=f"peer-open-{node_id}")

    def broadcast(self, message: Any) -> None:
        """Sends a message to all nodes with a lasting stream."""
        framed = self._registry.encode(_message(message))
        for one in list(self._connections.streams_by_id.values()):
            if one.lasting:
                self._connections.send(one, framed)

    def neighbours(self) -> tuple[str, ...]:
        """Returns the nodes with a lasting stream."""
        return tuple(
            sorted(one.node_id for one in self._connections.streams_by_id.values() if one.lasting)
        )

    def live_nodes(self) -> tuple[str, ...]:
        """Returns the nodes with a stream and, beyond the full mesh, those whose lease holds."""
        found = {self._node_id, *self._connections.streams_by_id}
        if not self._connections.is_full_mesh():
            found.update(filter(self._table.lease_holds, self._table.records_by_id))
        return tuple(sorted(found))

    def received_within(self, node_id: str, seconds: float) -> bool:
        """Returns True if any frame came from that node within the last seconds."""
        return self._connections.received_within(node_id, seconds)

    async def _open_and_send(self, node_id: str, message: Any) -> None:
        one = await self._connections.open(node_id)
        if one is not None:
            self._connections.send(one, self._registry.encode(_message(message)))

    async def _receive(self, one: stream.Stream, raw: bytes) -> wire.FrameRefused | None:
        """Handles one frame; returns why the stream must be closed, if it must."""
        envelope = self._registry.decode(raw)
        if isinstance(envelope, wire.FrameRefused):
            self._log.warning("peer_frame_refused", peer=one.node_id, reason=envelope.reason)
            return envelope
        return await self._dispatch(one, envelope)

    async def _dispatch(
        self, one: stream.Stream, envelope: wire.Envelope
    ) -> wire.FrameRefused | None:
        match envelope.mode:
            case wire.Mode.REPLY | wire.Mode.NO_REPLY:
                self._take_reply(one, envelope)
            case wire.Mode.REQUEST:
                one.used_at = one.heard_at
                self._tasks.spawn(self._answer(one, envelope), name=f"peer-call-{one.node_id}")
            case wire.Mode.MESSAGE:
                one.used_at = one.heard_at
                handled = await self._run_handler(one.node_id, envelope.message)
                return handled.refused
        return None

    def _take_reply(self, one: stream.Stream, envelope: wire.Envelope) -> None:
        call = self._calls_by_id.get(envelope.call)
        if call is None or call.node_id != one.node_id or call.reply.done():
            return
        if envelope.mode is wire.Mode.REPLY:
            call.reply.set_result(envelope.message)
        else:
            call.reply.set_result(peers.PeerUnavailable(reason=f"{one.node_id} cannot answer"))

    async def _answer(self, one: stream.Stream, envelope: wire.Envelope) -> None:
        handled = await self._run_handler(one.node_id, envelope.message)
        mode = wire.Mode.REPLY if handled.done else wire.Mode.NO_REPLY
        reply = wire.Envelope(mode=mode, call=envelope.call, message=handled.reply)
        self._connections.send(one, self._registry.encode(reply))

    async def _run_handler(self, sender: str, message: Any) -> _Handled:
        handler = self._handlers_by_kind.get(type(message))
        if handler is None:
            return _Handled(done=False)
        try:
            return _Handled(done=True, reply=await handler(sender, message))
        except peers.MalformedMessageError as error:
            refused = wire.FrameRefused(reason=str(error), cause="malformed")
            return _Handled(done=False, refused=refused)
        except Exception:
            kind = wire.base_name_of(type(message))
            self._log.exception("peer_handler_failed", kind=kind, peer=sender)
            return _Handled(done=False)

    async def _call(self, node_id: str, message: Any) -> Any | peers.PeerUnavailable:
        one = await self._connections.open(node_id)
        if one is None or len(self._calls_by_id) >= MAX_CALLS:
            return peers.PeerUnavailable(reason=f"{node_id} is not connected")
        call_id = next(self._call_ids)
        reply = asyncio.get_running_loop().create_future()
        self._calls_by_id[call_id] = _Call(node_id=node_id, reply=reply)
        envelope = wire.Envelope(mode=wire.Mode.REQUEST, call=call_id, message=message)
        try:
            self._connections.send(one, self._registry.encode(envelope))
            if one.closed:
                return peers.PeerUnavailable(reason=f"{node_id} is too slow")
            return await reply
        finally:
            del self._calls_by_id[call_id]

    def _forget_calls(self, node_id: str) -> None:
        """Fails the requests that wait for a node whose stream has ended."""
        for call in [call for call in self._calls_by_id.values() if call.node_id == node_id]:
            if not call.reply.done():
                call.reply.set_result(peers.PeerUnavailable(reason=f"lost {node_id}"))


def _message(message: Any) -> wire.Envelope:
    return wire.Envelope(mode=wire.Mode.MESSAGE, message=message)
