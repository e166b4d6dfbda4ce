"""The connections of a node: which are open, and which ones are to be.

One task keeps each wanted peer connected, by whichever side opened the stream; one task reads each
connection. Beyond the full mesh, streams to other nodes are opened on demand and closed when idle.
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

Receive = Callable[[stream.Stream, bytes], Awaitable[wire.FrameRefused | None]]
Ended = Callable[[str], None]


class Connections:
    """The authenticated streams of one node by peer.

    Attributes:
        address: Where this node listens, empty before it does.
        streams_by_id: The current stream to each connected peer.
        metrics: Counters of the streams.
    """

    def __init__(
        self,
        *,
        settings: schema.NodeSettings,
        table: node_table.NodeTable,
        peer_transport: transport.Transport,
        receive: Receive,
        ended: Ended,
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
        self._receive = receive
        self._on_ended = ended
        self._log = log
        self._tasks = tasks.TaskSet(log=log)
        self._listeners: list[peers.StreamListener] = []
        self._heard_at_by_id: dict[str, float] = {}
        self._failed_at_by_id: dict[str, float] = {}
        self._kept: set[str] = set()
        self._opening_by_id: dict[str, asyncio.Event] = {}
        self._wanted: frozenset[str] = frozenset()
        self._accepted = 0
        table.subscribe(self._choose_wanted)

    async def start(self) -> None:
        """Listens, and begins to connect to the wanted nodes."""
        self.address = await self._transport.listen(self._accept)
        self._choose_wanted()
        self._tasks.spawn(self._tick(), name="peer-heartbeats")

    async def stop(self) -> None:
        """Sends what is queued and ends all streams."""
        self._wanted = frozenset()
        for one in self.streams_by_id.values():
            one.finish()
        await self._transport.close()
        await self._tasks.close()

    def subscribe(self, listener: peers.StreamListener) -> None:
        """Calls the listener when a lasting stream opens (True) or ends (False)."""
        self._listeners.append(listener)

    def send(self, one: stream.Stream, framed: bytes) -> None:
        """Queues a frame on a stream."""
        one.send(framed)
        self.metrics.bytes_sent.inc(len(framed))

    def received_within(self, node_id: str, seconds: float) -> bool:
        """Returns True if any frame came from that node within the last seconds."""
        one = self.streams_by_id.get(node_id)
        heard_at = one.heard_at if one is not None else self._heard_at_by_id.get(node_id)
        return heard_at is not None and clock.monotonic() - heard_at <= seconds

    def is_full_mesh(self) -> bool:
        """Returns True while the fleet is small enough that all are connected to all."""
        return len(self._table.records_by_id) <= self._settings.full_mesh_nodes

    # Who to connect to.

    def _choose_wanted(self) -> None:
        regions_by_id = self._table.regions_by_id()
        if self.is_full_mesh():
            regions_by_id |= {seed.node_id: "" for seed in self._settings.seeds}
        self._wanted = topology.neighbours(
            self._node_id,
            regions_by_id,
            self._settings,
        )
        if self.address:
            for node_id in self._wanted - self._kept:
                self._kept.add(node_id)
                self._tasks.spawn(self._keep_connected(node_id), name=f"peer-{node_id}")

    def _address_of(self, node_id: str) -> str:
        record = self._table.records_by_id.get(node_id)
        if record is not None:
            return record.peer_address
        seeds = (seed.address for seed in self._settings.seeds if seed.node_id == node_id)
        return next(seeds, "")

    async def _keep_connected(self, node_id: str) -> None:
        """Keeps one lasting stream open, by whichever side opened it."""
        backoff = MIN_BACKOFF_SECONDS
        if self._node_id > node_id and self.is_full_mesh():
            # The other side opens first, so that both seldom meet half-way.
            await asyncio.sleep(self._timing.heartbeat / 2)
        while node_id in self._wanted:
            began_at = clock.monotonic()
            one = self.streams_by_id.get(node_id)
            if one is None or not one.lasting:
                await self._dial(node_id, lasting=True)
            lasted = clock.monotonic() - began_at > self._timing.peer_silence * 2
            backoff = MIN_BACKOFF_SECONDS if lasted else min(backoff * 2, MAX_BACKOFF_SECONDS)
            await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
        self._kept.discard(node_id)

    # The life of a stream.

    async def _dial(self, node_id: str, *, lasting: bool) -> None:
        """Opens a stream and serves it until it ends."""
        writer = None
        try:
            async with asyncio.timeout(self._timing.peer_silence):
                reader, writer = await self._transport.connect(self._address_of(node_id))
                hello = await self._greet(reader, writer, dialled=True, lasting=lasting)
        except (OSError, TimeoutError):
            hello = wire.FrameRefused(reason=f"{node_id} is out of reach", cause="unreachable")
        if isinstance(hello, handshake.Hello) and hello.node_id != node_id:
            hello = wire.FrameRefused(reason=f"found {hello.node_id!r}", cause="unauthenticated")
        if isinstance(hello, wire.FrameRefused) or writer is None:
            self._failed_at_by_id[node_id] = clock.monotonic()
            self._refused(hello, writer)
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
        """Serves a stream that another node opened, until it ends."""
        self._accepted += 1
        try:
            hello = await self._greet_within_time(reader, writer)
            if isinstance(hello, wire.FrameRefused):
                self._refused(hello, writer)
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

    async def _greet_within_time(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> handshake.Hello | wire.FrameRefused:
        if self._accepted > MAX_ACCEPTED_STREAMS:
            return wire.FrameRefused(reason="too many streams", cause="full")
        try:
            async with asyncio.timeout(self._timing.peer_silence):
                return await self._greet(reader, writer, dialled=False, lasting=True)
        except (OSError, TimeoutError):
            return wire.FrameRefused(reason="no handshake in time", cause="unauthenticated")

    async def _greet(
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

    def _refused(
        self,
        refused: handshake.Hello | wire.FrameRefused,
        writer: asyncio.StreamWriter | None,
    ) -> None:
        if writer is not None:
            writer.transport.abort()
        if isinstance(refused, wire.FrameRefused):
            self.metrics.closed.labels(refused.cause).inc()
            self._log.info("peer_refused", cause=refused.cause, reason=refused.reason)

    async def _serve(self, one: stream.Stream) -> None:
        if not self._adopt(one):
            one.close("duplicate")
            return
        try:
            await self._read(one)
        finally:
            one.close("stopped")
            self._ended(one)

    def _adopt(self, one: stream.Stream) -> bool:
        """Makes a new stream the current one, unless a live one is preferred on both sides."""
        old = self.streams_by_id.get(one.node_id)
        if old is not None:
            alive = clock.monotonic() - old.heard_at < self._timing.heartbeat * 2
            if alive and self._rank(old) > self._rank(one):
                return False
            old.close("replaced")
            self._ended(old)
        self.streams_by_id[one.node_id] = one
        self._opened(one.node_id)
        self._tell(one, True)
        return True

    def _rank(self, one: stream.Stream) -> tuple[bool, bool]:
        """Orders two streams between the same nodes alike on both: lasting, then by the dialler."""
        return one.lasting, one.dialled_by == min(self._node_id, one.node_id)

    def _ended(self, one: stream.Stream) -> None:
        if self.streams_by_id.get(one.node_id) is not one:
            return
        del self.streams_by_id[one.node_id]
        self._heard_at_by_id[one.node_id] = one.heard_at
        self.metrics.closed.labels(one.closed_by).inc()
        self._log.info("peer_stream_ended", peer=one.node_id, cause=one.closed_by)
        self._on_ended(one.node_id)
        self._tell(one, False)

    def _tell(self, one: stream.Stream, is_open: bool) -> None:
        self.metrics.streams.set(len(self.streams_by_id))
        if one.lasting:
            for listener in self._listeners:
                listener(one.node_id, is_open)

    async def _tick(self) -> None:
        """Sends heartbeats, drops silent streams and closes idle ones."""
        while True:
            now = clock.monotonic()
            for one in list(self.streams_by_id.values()):
                if now - one.heard_at > self._timing.peer_silence:
                    one.close("silent")
                    self._ended(one)
                elif not one.lasting and now - one.used_at > ON_DEMAND_IDLE_SECONDS:
                    one.close("idle")
                elif self._is_unwanted(one):
                    one.close("unwanted")
                elif now - one.sent_at >= self._timing.heartbeat * 0.9:
                    self.send(one, wire.HEARTBEAT_FRAME)
            await asyncio.sleep(self._timing.heartbeat)

    def _is_unwanted(self, one: stream.Stream) -> bool:
        """Returns True for a lasting stream from here to what is no neighbour any more.

        Beyond the full mesh each side closes only what it opened: the other may have chosen it.
        """
        return (
            one.lasting
            and one.dialled_by == self._node_id
            and one.node_id not in self._wanted
            and not self.is_full_mesh()
        )

    async def _read(self, one: stream.Stream) -> None:
        while not one.closed:
            raw = await one.read()
            if isinstance(raw, bytes):
                self.metrics.bytes_received.inc(len(raw))
                refused = await self._receive(one, raw)
            else:
                refused = raw
            if refused is not None:
                one.close(refused.cause)

    # Streams on demand.

    async def open(self, node_id: str) -> stream.Stream | None:
        """Returns a stream to a node, opened on demand if the node is no neighbour."""
        if node_id not in self.streams_by_id and self._may_open(node_id):
            if node_id not in self._opening_by_id:
                self._close_least_used()
                self._opening_by_id[node_id] = asyncio.Event()
                self._tasks.spawn(self._serve_demand(node_id), name=f"peer-demand-{node_id}")
            await self._opening_by_id[node_id].wait()
        return self.streams_by_id.get(node_id)

    async def _serve_demand(self, node_id: str) -> None:
        try:
            await self._dial(node_id, lasting=False)
        finally:
            self._opened(node_id)

    def _opened(self, node_id: str) -> None:
        """Lets those go on who wait for a stream, whether it opened or not."""
        opening = self._opening_by_id.pop(node_id, None)
        if opening is not None:
            opening.set()

    def _may_open(self, node_id: str) -> bool:
        """Returns True if the node is no neighbour, is known, and did not just fail to answer."""
        if node_id in self._wanted or not self._address_of(node_id) or not self.address:
            return False
        failed_at = self._failed_at_by_id.get(node_id)
        return failed_at is None or clock.monotonic() - failed_at > self._timing.peer_silence

    def _close_least_used(self) -> None:
        on_demand = [one for one in self.streams_by_id.values() if not one.lasting]
        if len(on_demand) >= MAX_ON_DEMAND_STREAMS:
            min(on_demand, key=lambda one: one.used_at).close("idle")
