"""Opens, accepts and closes the streams of a node.

One task per wanted peer keeps a stream open, no matter which side opened it; one task reads each
stream. Beyond the full mesh, streams to other nodes are opened on demand and closed when idle.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import prometheus_client

from basilpost.core import clock, tasks
from basilpost.members import (
    handshake,
    node_table,
    peers,
    stream,
    stream_metrics,
    topology,
    transport,
    wire,
)
from basilpost.settings import schema

MAX_ON_DEMAND_STREAMS = 64
ON_DEMAND_IDLE_SECONDS = 30.0
MAX_ACCEPTED_STREAMS = 512
MAX_BACKOFF_SECONDS = 2.0
MIN_BACKOFF_SECONDS = 0.1

# Handles the content of a frame; returns why the stream must be closed, or None.
OnFrame = Callable[[stream.Stream, bytes], Awaitable[wire.FrameRefused | None]]
# Called with the id of the peer whose stream ended.
OnEnded = Callable[[str], None]


class Connections:
    """The authenticated streams of one node, at most one per peer.

    Attributes:
        address: Address at which this node listens, empty before the start.
        streams_by_id: The current stream of each connected peer.
        wanted: Ids of the nodes to which this one is to keep a stream.
        metrics: Metrics of the streams.
    """

    def __init__(
        self,
        *,
        settings: schema.NodeSettings,
        table: node_table.NodeTable,
        peer_transport: transport.Transport,
        on_frame: OnFrame,
        on_ended: OnEnded,
        registry: prometheus_client.CollectorRegistry,
        log: Any,
    ) -> None:
        self.address = ""
        self.streams_by_id: dict[str, stream.Stream] = {}
        self.metrics = stream_metrics.Metrics(registry)
        self._node_id = settings.node_id
        self._settings = settings.peers
        self._timing = settings.timing
        self._table = table
        self._transport = peer_transport
        self._on_frame = on_frame
        self._on_ended = on_ended
        self._log = log
        self._tasks = tasks.TaskSet(log=log)
        self._listeners: list[peers.StreamListener] = []
        self._received_at_by_id: dict[str, float] = {}
        self._failed_at_by_id: dict[str, float] = {}
        self._kept_connected: set[str] = set()
        self._opening_by_id: dict[str, asyncio.Event] = {}
        self.wanted: frozenset[str] = frozenset()
        self._accepted = 0
        table.subscribe(self._update_wanted)

    async def start(self) -> None:
        """Starts to listen and to connect to the wanted nodes."""
        self.address = await self._transport.listen(self._accept)
        self._update_wanted()
        self._tasks.keep_running(self._maintain_streams, name="peer-heartbeats")

    async def stop(self) -> None:
        """Sends the queued frames and closes all streams."""
        self.wanted = frozenset()
        for conn in self.streams_by_id.values():
            conn.finish()
        await self._transport.close()
        await self._tasks.close()

    def subscribe(self, listener: peers.StreamListener) -> None:
        """Calls the listener when a lasting stream opens (True) or ends (False)."""
        self._listeners.append(listener)

    def send(self, conn: stream.Stream, framed: bytes) -> None:
        """Queues a frame on a stream and counts its bytes."""
        conn.send(framed)
        self.metrics.bytes_sent.inc(len(framed))

    def received_within(self, node_id: str, seconds: float) -> bool:
        """Returns True if any frame came from that node within the last `seconds`."""
        conn = self.streams_by_id.get(node_id)
        received_at = conn.received_at if conn is not None else self._received_at_by_id.get(node_id)
        return received_at is not None and clock.monotonic() - received_at <= seconds

    def is_full_mesh(self) -> bool:
        """Returns True while the fleet is small enough for every node to connect to every other."""
        return len(self._table.records_by_id) <= self._settings.full_mesh_nodes

    # Wanted peers: the nodes to which this one keeps a lasting stream.

    def _update_wanted(self) -> None:
        regions_by_id = self._table.regions_by_id()
        if self.is_full_mesh():
            regions_by_id |= {seed.node_id: "" for seed in self._settings.seeds}
        self.wanted = topology.neighbours(
            self._node_id,
            regions_by_id,
            self._settings,
        )
        if self.address:
            for node_id in self.wanted - self._kept_connected:
                self._kept_connected.add(node_id)
                self._tasks.spawn(self._keep_connected(node_id), name=f"peer-{node_id}")

    def _address_of(self, node_id: str) -> str:
        record = self._table.records_by_id.get(node_id)
        if record is not None:
            return record.peer_address
        seeds = (seed.address for seed in self._settings.seeds if seed.node_id == node_id)
        return next(seeds, "")

    async def _keep_connected(self, node_id: str) -> None:
        """Keeps a lasting stream to a wanted node open, no matter which side opened it."""
        backoff = MIN_BACKOFF_SECONDS
        if self._node_id > node_id and self.is_full_mesh():
            # The node with the smaller id dials first, so that both seldom dial at the same time.
            await asyncio.sleep(self._timing.heartbeat / 2)
        while node_id in self.wanted:
            started_at = clock.monotonic()
            conn = self.streams_by_id.get(node_id)
            if conn is None or not conn.lasting:
                await self._dial(node_id, lasting=True)
            lasted = clock.monotonic() - started_at > self._timing.peer_silence * 2
            backoff = MIN_BACKOFF_SECONDS if lasted else min(backoff * 2, MAX_BACKOFF_SECONDS)
            await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
        self._kept_connected.discard(node_id)

    # Opening, accepting and closing streams.

    async def _dial(self, node_id: str, *, lasting: bool) -> None:
        """Opens a stream to a node and reads it until it ends."""
        writer = None
        try:
            async with asyncio.timeout(self._timing.peer_silence):
                reader, writer = await self._transport.connect(self._address_of(node_id))
                hello = await self._handshake(reader, writer, dialled=True, lasting=lasting)
        except (OSError, TimeoutError, ValueError, OverflowError):
            # An address in a record that no socket takes raises ValueError or OverflowError.
            hello = wire.FrameRefused(reason=f"{node_id} is out of reach", cause="unreachable")
        if isinstance(hello, handshake.Hello) and hello.node_id != node_id:
            hello = wire.FrameRefused(reason=f"found {hello.node_id!r}", cause="unauthenticated")
        if isinstance(hello, wire.FrameRefused) or writer is None:
            self._failed_at_by_id[node_id] = clock.monotonic()
            self._reject(hello, writer)
            return
        await self._serve(
            stream.Stream(
                reader=reader,
                writer=writer,
                node_id=node_id,
                dialled_by=self._node_id,
                lasting=lasting,
            )
        )

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Authenticates a stream that another node opened and reads it until it ends."""
        self._accepted += 1
        try:
            hello = await self._accept_handshake(reader, writer)
            if isinstance(hello, wire.FrameRefused):
                self._reject(hello, writer)
                return
            await self._serve(
                stream.Stream(
                    reader=reader,
                    writer=writer,
                    node_id=hello.node_id,
                    dialled_by=hello.node_id,
                    lasting=hello.lasting,
                )
            )
        finally:
            self._accepted -= 1

    async def _accept_handshake(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> handshake.Hello | wire.FrameRefused:
        if self._accepted > MAX_ACCEPTED_STREAMS:
            return wire.FrameRefused(reason="too many streams", cause="full")
        try:
            async with asyncio.timeout(self._timing.peer_silence):
                return await self._handshake(reader, writer, dialled=False, lasting=True)
        except (OSError, TimeoutError):
            return wire.FrameRefused(reason="no handshake in time", cause="unauthenticated")

    async def _handshake(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        dialled: bool,
        lasting: bool,
    ) -> handshake.Hello | wire.FrameRefused:
        return await handshake.run(
            reader,
            writer,
            node_id=self._node_id,
            secret=self._settings.secret,
            dialled=dialled,
            lasting=lasting,
        )

    def _reject(
        self,
        refused: handshake.Hello | wire.FrameRefused,
        writer: asyncio.StreamWriter | None,
    ) -> None:
        if writer is not None:
            writer.transport.abort()
        if isinstance(refused, wire.FrameRefused):
            self.metrics.closed.labels(refused.cause).inc()
            self._log.info("peer_refused", cause=refused.cause, reason=refused.reason)

    async def _serve(self, conn: stream.Stream) -> None:
        if not self._make_current(conn):
            conn.close("duplicate")
            return
        try:
            await self._read(conn)
        finally:
            conn.close("stopped")
            self._remove(conn)

    def _make_current(self, conn: stream.Stream) -> bool:
        """Makes a new stream the current one; returns False if a live stream takes precedence.

        Both nodes decide alike, so that of two streams opened at once they keep the same conn.
        """
        old = self.streams_by_id.get(conn.node_id)
        if old is not None:
            alive = clock.monotonic() - old.received_at < self._timing.heartbeat * 2
            if alive and self._precedence(old) > self._precedence(conn):
                return False
            old.close("replaced")
            self._remove(old)
        self.streams_by_id[conn.node_id] = conn
        self._finish_opening(conn.node_id)
        self._notify(conn, True)
        return True

    def _precedence(self, conn: stream.Stream) -> tuple[bool, bool]:
        """Returns the precedence of a stream, equal on both nodes.

        A lasting stream goes before one on demand, and one that the node with the smaller id
        opened before another.
        """
        return conn.lasting, conn.dialled_by == min(self._node_id, conn.node_id)

    def _remove(self, conn: stream.Stream) -> None:
        if self.streams_by_id.get(conn.node_id) is not conn:
            return
        del self.streams_by_id[conn.node_id]
        self._received_at_by_id[conn.node_id] = conn.received_at
        self.metrics.closed.labels(conn.close_cause).inc()
        self._log.info("peer_stream_ended", peer=conn.node_id, cause=conn.close_cause)
        self._on_ended(conn.node_id)
        self._notify(conn, False)

    def _notify(self, conn: stream.Stream, is_open: bool) -> None:
        self.metrics.streams.set(len(self.streams_by_id))
        if conn.lasting:
            for listener in self._listeners:
                listener(conn.node_id, is_open)

    async def _maintain_streams(self) -> None:
        """Sends heartbeats, and closes silent, idle and unwanted streams."""
        while True:
            now = clock.monotonic()
            for conn in list(self.streams_by_id.values()):
                if now - conn.received_at > self._timing.peer_silence:
                    conn.close("silent")
                    self._remove(conn)
                elif not conn.lasting and now - conn.used_at > ON_DEMAND_IDLE_SECONDS:
                    conn.close("idle")
                elif self._is_unwanted(conn):
                    conn.close("unwanted")
                elif now - conn.sent_at >= self._timing.heartbeat * 0.9:
                    self.send(conn, wire.HEARTBEAT_FRAME)
            await asyncio.sleep(self._timing.heartbeat)

    def _is_unwanted(self, conn: stream.Stream) -> bool:
        """Returns True for a lasting stream that this node opened to a node it no longer wants.

        Beyond the full mesh a node closes only streams that it opened itself, as the other node may
        still want the ones that it opened.
        """
        return (
            conn.lasting
            and conn.dialled_by == self._node_id
            and conn.node_id not in self.wanted
            and not self.is_full_mesh()
        )

    async def _read(self, conn: stream.Stream) -> None:
        while not conn.closed:
            raw = await conn.read()
            if isinstance(raw, bytes):
                self.metrics.bytes_received.inc(len(raw))
                refused = await self._on_frame(conn, raw)
            else:
                refused = raw
            if refused is not None:
                conn.close(refused.cause)

    # Streams to nodes that are no neighbours are opened on demand, and closed when idle.

    async def open(self, node_id: str) -> stream.Stream | None:
        """Returns the stream to a node, opened on demand if needed; None if it cannot be opened."""
        if node_id not in self.streams_by_id and self._may_open(node_id):
            if node_id not in self._opening_by_id:
                self._make_room()
                self._opening_by_id[node_id] = asyncio.Event()
                self._tasks.spawn(self._serve_on_demand(node_id), name=f"peer-demand-{node_id}")
            await self._opening_by_id[node_id].wait()
        return self.streams_by_id.get(node_id)

    async def _serve_on_demand(self, node_id: str) -> None:
        try:
            await self._dial(node_id, lasting=False)
        finally:
            self._finish_opening(node_id)

    def _finish_opening(self, node_id: str) -> None:
        """Wakes the callers of `open`, whether the stream opened or not."""
        opening = self._opening_by_id.pop(node_id, None)
        if opening is not None:
            opening.set()

    def _may_open(self, node_id: str) -> bool:
        """Returns True if the node is known, not wanted anyway, and did not fail recently."""
        if node_id in self.wanted or not self._address_of(node_id) or not self.address:
            return False
        failed_at = self._failed_at_by_id.get(node_id)
        return failed_at is None or clock.monotonic() - failed_at > self._timing.peer_silence

    def _make_room(self) -> None:
        on_demand = [conn for conn in self.streams_by_id.values() if not conn.lasting]
        if len(on_demand) >= MAX_ON_DEMAND_STREAMS:
            min(on_demand, key=lambda conn: conn.used_at).close("idle")
