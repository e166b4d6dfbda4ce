"""Peer streams against malformed, foreign, silent and slow peers."""

import asyncio
import dataclasses
import shutil
import ssl
import subprocess
import zlib

import hypothesis
import msgpack
import pytest
from hypothesis import strategies

from basilpost.members import (
    connections,
    handshake,
    memory_transport,
    messages,
    node_table,
    peers,
    stream,
    streams,
    wire,
)
from basilpost.settings import schema
from tests import members_fleet

KNOWN_KINDS = (
    messages.ChangeBatch,
    messages.FreshnessQuery,
    messages.FreshnessReply,
    messages.Pull,
    messages.HeldVersionQuery,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Question:
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    text: str


async def echo(_, question):
    return Answer(text=question.text)


def oversized_change():
    """Returns a change whose value is small when compressed and far too large when decompressed."""
    value = zlib.compress(bytes(100_000_000))
    return {"key": "config/x", "version": 9, "value": value, "compressed": True}


def closed_count(node, cause):
    """Returns how many streams a node has closed for a cause."""
    name, labels = "basilpost_peer_streams_closed_total", {"cause": cause}
    return node.kernel.registry.get_sample_value(name, labels) or 0


async def open_stream(fleet, *, secret, node_id="intruder"):
    """Connects to the first node; returns reader, writer and the result of the handshake."""
    reader, writer = await fleet.network.transport(node_id).connect("n000")
    hello = await handshake.run(reader, writer, node_id=node_id, secret=secret, dialled=True)
    return reader, writer, hello


def register_echo(fleet):
    for node in fleet.nodes:
        node.peers.handle(Question, echo, reply=Answer)


@pytest.mark.looptime(noop_cycles=2)
async def test_requests_are_answered_by_the_right_node():
    async with members_fleet.Fleet(size=3) as fleet:
        register_echo(fleet)
        await asyncio.sleep(3)
        requests = [
            node.peers.request(other, Question(text=f"{node.node_id}-{other}"))
            for node in fleet.nodes
            for other in fleet.ids
        ]
        answers = [answer.text for answer in await asyncio.gather(*requests)]
        assert answers == [f"{sender}-{other}" for sender in fleet.ids for other in fleet.ids]
        fleet.network.partition({"n000"}, {"n001", "n002"})
        lost = await fleet.nodes[0].peers.request("n001", Question(text="x"), timeout=1)
        assert isinstance(lost, peers.PeerUnavailable)


@pytest.mark.looptime(noop_cycles=2)
async def test_a_failing_handler_is_answered_at_once_and_its_stream_stays_open():
    async def fail(*_):
        raise RuntimeError("handler")

    async with members_fleet.Fleet(size=2) as fleet:
        for node in fleet.nodes:
            node.peers.handle(Question, fail, reply=Answer)
        await asyncio.sleep(3)
        answer = await fleet.nodes[0].peers.request("n001", Question(text="x"))
        assert isinstance(answer, peers.PeerUnavailable)
        assert fleet.nodes[0].peers.live_nodes() == ("n000", "n001")


@pytest.mark.looptime(noop_cycles=2)
@pytest.mark.parametrize(
    "content, cause",
    [
        (b"\xff\xff\xff\xff", "oversized"),
        (wire.frame(b"\xc1\xc1"), "malformed"),
        (wire.frame(msgpack.packb((0, 0, "Unheard", {}))), "unknown"),
        (wire.frame(msgpack.packb((0, 0, "Ask", {"sequence": "x"}))), "malformed"),
        (wire.frame(msgpack.packb((0, 0, "Ask", {"sequence": 1, "more": 2}))), "malformed"),
        (
            wire.frame(msgpack.packb((0, 0, "Changed", {"changes": [oversized_change()]}))),
            "malformed",
        ),
        (wire.frame(msgpack.packb((9, 0, "Ask", {"sequence": 1}))), "malformed"),
    ],
)
async def test_a_bad_frame_closes_its_stream_only_and_is_counted(content, cause):
    async with members_fleet.Fleet(size=2) as fleet:
        await asyncio.sleep(3)
        reader, writer, hello = await open_stream(fleet, secret=fleet.secret)
        assert isinstance(hello, handshake.Hello)
        writer.write(content)
        await asyncio.wait_for(reader.read(), 1)
        assert closed_count(fleet.nodes[0], cause) == 1
        assert fleet.nodes[0].peers.live_nodes() == ("n000", "n001")
        assert fleet.serving() == set(fleet.ids)


@pytest.mark.looptime(noop_cycles=2)
async def test_a_peer_without_the_secret_is_refused_and_counted():
    async with members_fleet.Fleet(size=2) as fleet:
        await asyncio.sleep(3)
        _, _, hello = await open_stream(fleet, secret="guess")
        await asyncio.sleep(1)
        assert isinstance(hello, wire.FrameRefused)
        assert closed_count(fleet.nodes[0], "unauthenticated") == 1
        assert "intruder" not in fleet.nodes[0].peers.live_nodes()


@pytest.mark.looptime(noop_cycles=2)
async def test_a_connection_without_a_handshake_is_closed_in_time():
    async with members_fleet.Fleet(size=1) as fleet:
        reader, _ = await fleet.network.transport("intruder").connect("n000")
        await asyncio.sleep(schema.Timing().peer_silence + 0.1)
        await asyncio.wait_for(reader.read(), 0.1)
        assert closed_count(fleet.nodes[0], "unauthenticated") == 1


@pytest.mark.looptime(noop_cycles=2)
async def test_a_silent_stream_is_dropped_and_reopened():
    async with members_fleet.Fleet(size=2) as fleet:
        await asyncio.sleep(3)
        fleet.network.partition({"n000"}, {"n001"})
        await asyncio.sleep(schema.Timing().peer_silence + schema.Timing().heartbeat + 0.1)
        assert all(node.peers.live_nodes() == (node.node_id,) for node in fleet.nodes)
        assert closed_count(fleet.nodes[0], "silent") == 1
        fleet.network.heal()
        await asyncio.sleep(6)
        assert fleet.nodes[0].peers.live_nodes() == ("n000", "n001")


@pytest.mark.looptime(noop_cycles=2)
async def test_the_stream_of_a_slow_peer_is_closed_when_its_write_buffer_is_full(monkeypatch):
    async with members_fleet.Fleet(size=2) as fleet:
        register_echo(fleet)
        await asyncio.sleep(3)
        with monkeypatch.context() as patch:
            patch.setattr(
                memory_transport._MemoryWriter,
                "get_write_buffer_size",
                lambda _: stream.MAX_BUFFERED_BYTES,
            )
            fleet.nodes[0].peers.send("n001", Question(text="x"))
        await asyncio.sleep(3)
        assert fleet.nodes[0].peers.live_nodes() == ("n000", "n001")
        assert closed_count(fleet.nodes[0], "slow") == 1


@pytest.mark.looptime(noop_cycles=2)
async def test_streams_on_demand_are_bounded_and_close_when_idle(monkeypatch):
    monkeypatch.setattr(connections, "MAX_ON_DEMAND_STREAMS", 3)
    async with members_fleet.Fleet(size=14, full_mesh_nodes=4, neighbours=3) as fleet:
        register_echo(fleet)
        await asyncio.sleep(15)
        node = fleet.nodes[0]
        permanent = set(node.peers.neighbours())
        for other in fleet.ids:
            answer = await node.peers.request(other, Question(text=other))
            assert answer == Answer(text=other)
            open_now = set(node.peers._connections.streams_by_id)
            assert len(open_now - permanent) <= 3 + 1
        await asyncio.sleep(connections.ON_DEMAND_IDLE_SECONDS + 3)
        assert set(node.peers._connections.streams_by_id) == set(node.peers.neighbours())


@hypothesis.given(strategies.binary(max_size=200))
@hypothesis.example(b"\x81\x90\x00")
def test_any_bytes_are_decoded_or_refused(raw):
    registry = wire.MessageRegistry()
    for kind in KNOWN_KINDS:
        registry.add(kind)
    assert isinstance(registry.decode(raw), wire.Envelope | wire.FrameRefused)


MESSAGE_BODIES = strategies.recursive(
    strategies.none() | strategies.integers(-(2**63), 2**63) | strategies.binary(max_size=5)
    | strategies.text(max_size=5) | strategies.floats(),
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(
        strategies.sampled_from(["sequence", "age", "changes", "keys", "reached"])
        | strategies.integers(0, 9),
        inner,
        max_size=4,
    ),
    max_leaves=12,
)  # fmt: skip


@hypothesis.given(
    strategies.sampled_from([wire.name_of(kind) for kind in KNOWN_KINDS]),
    strategies.integers(),
    MESSAGE_BODIES,
)
def test_any_body_of_a_known_message_is_decoded_or_refused(name, call, body):
    registry = wire.MessageRegistry()
    for kind in KNOWN_KINDS:
        registry.add(kind)
    try:
        raw = msgpack.packb((0, call, name, body))
    except OverflowError:
        return
    assert isinstance(registry.decode(raw), wire.Envelope | wire.FrameRefused)


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(strategies.lists(strategies.binary(max_size=60), max_size=6))
def test_a_node_still_accepts_streams_after_any_bytes_on_its_port(chunks):
    async def run():
        async with members_fleet.Fleet(size=1) as fleet:
            reader, writer = await fleet.network.transport("intruder").connect("n000")
            for chunk in chunks:
                writer.write(chunk)
                await asyncio.sleep(0)
            writer.close()
            _, _, hello = await open_stream(fleet, secret=fleet.secret, node_id="honest")
            assert isinstance(hello, handshake.Hello)
            assert "intruder" not in fleet.nodes[0].peers.live_nodes()

    asyncio.run(run())


async def two_streams(**options):
    """Starts the streams of two nodes over real sockets; the second has the first as its seed."""
    started = []
    for node_id in ("a", "b"):
        seeds = tuple(schema.Peer(node_id=seed.node_id, address=seed.address) for seed in started)
        settings = schema.PeerStreams(secret="s", seeds=seeds, **options)
        bare = members_fleet.bare_kernel(node_id, settings)
        started.append(streams.Streams(kernel=bare, table=node_table.NodeTable()))
        started[-1].handle(Question, echo, reply=Answer)
        await started[-1].start()
    return started


async def check_exchange(ends):
    async with asyncio.timeout(10):
        while ends[0].live_nodes() != ("a", "b"):
            await asyncio.sleep(0.01)
    large = Question(text="x" * 1_000_000)
    assert (await ends[0].request("b", large, timeout=5)).text == large.text
    for end in ends:
        await end.stop()


async def test_streams_over_tcp():
    await check_exchange(await two_streams())


@pytest.fixture
def certificate(tmp_path):
    """Returns the TLS settings of a self-signed certificate made with openssl."""
    program = shutil.which("openssl")
    if program is None:
        pytest.skip("there is no openssl to make a certificate with")
    key, path = tmp_path / "key.pem", tmp_path / "certificate.pem"
    command = [program, "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-subj", "/CN=node"]
    subprocess.run([*command, "-keyout", key, "-out", path], check=True, capture_output=True)
    return {"tls_certificate": str(path), "tls_key": str(key), "tls_authority": str(path)}


async def test_streams_over_tls(certificate):
    ends = await two_streams(**certificate)
    host, port = ends[0].address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"not TLS at all")
    assert await asyncio.wait_for(reader.read(), 5) is not None
    await check_exchange(ends)


async def test_a_peer_without_a_certificate_is_refused(certificate):
    ends = await two_streams(**certificate)
    host, port = ends[0].address.split(":")
    context = ssl.create_default_context(cafile=certificate["tls_authority"])
    context.check_hostname = False
    with pytest.raises(OSError):
        reader, _ = await asyncio.open_connection(host, int(port), ssl=context)
        # The client's side of TLS 1.3 learns of the refusal only when it reads.
        if not await asyncio.wait_for(reader.read(), 5):
            raise ConnectionResetError
    for end in ends:
        await end.stop()
