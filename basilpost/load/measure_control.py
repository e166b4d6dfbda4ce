"""Measures the messages of a node's control work: probes, credits, and changes between peers.

Bytes are those of the messages themselves, without the headers of TCP and IP.
"""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from typing import Any

from basilpost.core import codec
from basilpost.groups import credit_messages, http_runner_client
from basilpost.load import measuring, stand_in_process
from basilpost.members import messages, node_table, versions, wire

_COUNTS = (10, 40, 160)
_PROBE_COUNTS = (100, 200, 400)
_CREDIT_TYPES = (credit_messages.CreditAsk, credit_messages.CreditReply)
_PEER_TYPES = (messages.ChangeBatch, messages.FreshnessQuery, messages.FreshnessReply)
_PIECE_BYTES = 65_536


def main() -> None:
    """Prints the samples."""
    registry = wire.MessageRegistry()
    for kind in (*_CREDIT_TYPES, *_PEER_TYPES):
        registry.add(kind)
    for count in _COUNTS:
        _measure_message(registry, "credits.ask", _ask(count), count, "targets")
        _measure_message(registry, "credits.reply", _reply(count), count, "targets")
        _measure_message(registry, "peers.changed", _changed(count), count, "changes")
        _measure_message(registry, "peers.told", _told(count), count, "nodes reached")
        _measure_merge(count)
    _measure_heartbeat(registry)
    asyncio.run(_measure_probes())


def _measure_message(
    registry: wire.MessageRegistry, name: str, message: Any, count: int, unit: str
) -> None:
    """Measures one message of a size: its bytes, and the time to encode and to decode it."""
    envelope = wire.Envelope(mode=wire.Mode.MESSAGE, message=message)
    raw = registry.encode(envelope)
    body = raw[len(wire.frame(b"")) :]
    assert not isinstance(registry.decode(body), wire.FrameRefused)
    measuring.sample(f"{name}_bytes", count, unit, len(raw), "bytes")
    encoding = measuring.cpu_seconds(lambda: registry.encode(envelope))
    measuring.sample(f"{name}_encode_cpu", count, unit, encoding, "cpu seconds")
    decoding = measuring.cpu_seconds(lambda: registry.decode(body))
    measuring.sample(f"{name}_decode_cpu", count, unit, decoding, "cpu seconds")


def _measure_merge(count: int) -> None:
    """Measures how long it takes to find that changes are known already."""
    known = versions.Versions()
    changes = [messages.from_wire(change) for change in _changed(count).changes]
    for change in changes:
        known.merge(change)
    spent = measuring.cpu_seconds(lambda: [known.merge(change) for change in changes])
    measuring.sample("peers.merge_cpu", count, "changes", spent, "cpu seconds")


def _measure_heartbeat(registry: wire.MessageRegistry) -> None:
    """Measures the fixed messages that go over each stream once every heartbeat."""
    ask = registry.encode(
        wire.Envelope(mode=wire.Mode.MESSAGE, message=messages.FreshnessQuery(sequence=1))
    )
    told = registry.encode(wire.Envelope(mode=wire.Mode.MESSAGE, message=_told(0)))
    for count in _COUNTS:
        raw = len(wire.HEARTBEAT_FRAME) + len(ask) + len(told)
        measuring.sample("peers.heartbeat_bytes", count, "heartbeats", raw * count, "bytes")
        spent = measuring.cpu_seconds(lambda: _heartbeat(registry, ask, told))
        measuring.sample("peers.heartbeat_cpu", count, "heartbeats", spent * count, "cpu seconds")


def _heartbeat(registry: wire.MessageRegistry, ask: bytes, told: bytes) -> None:
    """Encodes and decodes what a stream carries in both directions for one heartbeat."""
    header = len(wire.frame(b""))
    registry.encode(
        wire.Envelope(mode=wire.Mode.MESSAGE, message=messages.FreshnessQuery(sequence=1))
    )
    registry.encode(wire.Envelope(mode=wire.Mode.MESSAGE, message=_told(0)))
    registry.decode(ask[header:])
    registry.decode(told[header:])


async def _measure_probes() -> None:
    """Measures probes of a runner over HTTP: processor time, and bytes both ways."""
    with stand_in_process.started("emulate", "runner") as (address, _):
        client = http_runner_client.HttpRunnerClient()
        async with _counting_proxy(address) as (proxy, transferred):
            for count in _PROBE_COUNTS:
                begun = time.process_time()
                for _ in range(count):
                    await client.status(address)
                spent = time.process_time() - begun
                measuring.sample("probing.cpu", count, "probes", spent, "cpu seconds")
                before = sum(transferred)
                for _ in range(count):
                    await client.status(proxy)
                size = sum(transferred) - before
                measuring.sample("probing.bytes", count, "probes", size, "bytes")


@contextlib.asynccontextmanager
async def _counting_proxy(address: str) -> AsyncIterator[tuple[str, list[int]]]:
    """Forwards connections to an address and lists the sizes of all that passes."""
    host, _, port = address.rpartition(":")
    transferred: list[int] = []

    async def forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while piece := await reader.read(_PIECE_BYTES):
            transferred.append(len(piece))
            writer.write(piece)
        writer.close()

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        # Connections that are still open at the end are cut with the loop.
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await asyncio.gather(forward(reader, far_writer), forward(far_reader, writer))

    server = await asyncio.start_server(accept, host, 0)
    proxy_port = server.sockets[0].getsockname()[1]
    async with server:
        yield f"{host}:{proxy_port}", transferred


def _ask(count: int) -> credit_messages.CreditAsk:
    wants = tuple(
        credit_messages.Want(
            group_id=f"clearance-{number:08x}",
            generation=number,
            in_flight=3,
            wanted=5,
            succeeded=4,
            latency_ms=123,
        )
        for number in range(count)
    )
    return credit_messages.CreditAsk(incarnation="0123456789abcdef", number=100_000, wants=wants)


def _reply(count: int) -> credit_messages.CreditReply:
    return credit_messages.CreditReply(
        grants=tuple(
            credit_messages.Grant(
                group_id=f"clearance-{number:08x}",
                generation=number,
                fence=7,
                credits=5,
                bounded=False,
                load_percent=45,
            )
            for number in range(count)
        )
    )


def _changed(count: int) -> messages.ChangeBatch:
    """Returns renewals of as many nodes' leases."""
    records = [_node_record(number) for number in range(count)]
    return messages.ChangeBatch(
        changes=tuple(
            messages.WireChange(
                key=f"nodes/{record.node_id}",
                version=1_000_000 + number,
                value=codec.to_json(record),
            )
            for number, record in enumerate(records)
        )
    )


def _node_record(number: int) -> node_table.NodeRecord:
    return node_table.NodeRecord(
        node_id=f"node-kz-south-a-{number}",
        peer_address=f"10.20.30.{number % 250}:7000",
        gateway_address=f"10.20.30.{number % 250}:8080",
        failure_domain="kz-south-a",
        region="kz-south",
        incarnation="0123456789abcdef",
        renewal=100_000 + number,
        lease_seconds=35.0,
        table_size=420,
    )


def _told(count: int) -> messages.FreshnessReply:
    reached = {number * 10_000_019 % (1 << 32): 12 for number in range(count)}
    return messages.FreshnessReply(
        sequence=100_000, age=0.512345, serving=True, digest=(1 << 63) + 12345, reached=reached
    )


if __name__ == "__main__":
    main()
