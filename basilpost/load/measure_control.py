"""Measures the bytes and processor time of probes, credit messages and peer messages.

Bytes do not include the headers of TCP and IP.
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
_CHUNK_BYTES = 65_536


def main() -> None:
    """Prints the samples."""
    registry = wire.MessageRegistry()
    for message_type in (*_CREDIT_TYPES, *_PEER_TYPES):
        registry.add(message_type)
    for count in _COUNTS:
        _measure_message(registry, "credits.ask", _credit_ask(count), count, "targets")
        _measure_message(registry, "credits.reply", _credit_reply(count), count, "targets")
        _measure_message(registry, "peers.changed", _lease_changes(count), count, "changes")
        _measure_message(registry, "peers.told", _freshness_reply(count), count, "nodes reached")
        _measure_merge(count)
    _measure_heartbeat(registry)
    asyncio.run(_measure_probes())


def _measure_message(
    registry: wire.MessageRegistry, name: str, message: Any, count: int, unit: str
) -> None:
    """Measures the encoded size of a message and the time to encode and to decode it."""
    envelope = wire.Envelope(mode=wire.Mode.MESSAGE, message=message)
    frame = registry.encode(envelope)
    body = frame[len(wire.frame(b"")) :]
    assert not isinstance(registry.decode(body), wire.FrameRefused)
    measuring.sample(f"{name}_bytes", count, unit, len(frame), "bytes")
    encode_seconds = measuring.cpu_seconds(lambda: registry.encode(envelope))
    measuring.sample(f"{name}_encode_cpu", count, unit, encode_seconds, "cpu seconds")
    decode_seconds = measuring.cpu_seconds(lambda: registry.decode(body))
    measuring.sample(f"{name}_decode_cpu", count, unit, decode_seconds, "cpu seconds")


def _measure_merge(count: int) -> None:
    """Measures the time to merge changes that are known already."""
    known = versions.Versions()
    changes = [messages.from_wire(change) for change in _lease_changes(count).changes]
    for change in changes:
        known.merge(change)
    cpu_seconds = measuring.cpu_seconds(lambda: [known.merge(change) for change in changes])
    measuring.sample("peers.merge_cpu", count, "changes", cpu_seconds, "cpu seconds")


def _measure_heartbeat(registry: wire.MessageRegistry) -> None:
    """Measures the messages that each stream carries once every heartbeat."""
    query = registry.encode(
        wire.Envelope(mode=wire.Mode.MESSAGE, message=messages.FreshnessQuery(sequence=1))
    )
    reply = registry.encode(wire.Envelope(mode=wire.Mode.MESSAGE, message=_freshness_reply(0)))
    for count in _COUNTS:
        size = len(wire.HEARTBEAT_FRAME) + len(query) + len(reply)
        measuring.sample("peers.heartbeat_bytes", count, "heartbeats", size * count, "bytes")
        cpu_seconds = measuring.cpu_seconds(lambda: _heartbeat(registry, query, reply))
        measuring.sample(
            "peers.heartbeat_cpu", count, "heartbeats", cpu_seconds * count, "cpu seconds"
        )


def _heartbeat(registry: wire.MessageRegistry, query: bytes, reply: bytes) -> None:
    """Encodes and decodes the freshness messages of one heartbeat."""
    header_bytes = len(wire.frame(b""))
    registry.encode(
        wire.Envelope(mode=wire.Mode.MESSAGE, message=messages.FreshnessQuery(sequence=1))
    )
    registry.encode(wire.Envelope(mode=wire.Mode.MESSAGE, message=_freshness_reply(0)))
    registry.decode(query[header_bytes:])
    registry.decode(reply[header_bytes:])


async def _measure_probes() -> None:
    """Measures the processor time and the bytes, in both directions, of HTTP probes of a runner."""
    with stand_in_process.started("emulate", "runner") as (address, _):
        client = http_runner_client.HttpRunnerClient()
        async with _counting_proxy(address) as (proxy, transferred):
            for count in _PROBE_COUNTS:
                started_at = time.process_time()
                for _ in range(count):
                    await client.status(address)
                cpu_seconds = time.process_time() - started_at
                measuring.sample("probing.cpu", count, "probes", cpu_seconds, "cpu seconds")
                before = sum(transferred)
                for _ in range(count):
                    await client.status(proxy)
                size = sum(transferred) - before
                measuring.sample("probing.bytes", count, "probes", size, "bytes")


@contextlib.asynccontextmanager
async def _counting_proxy(address: str) -> AsyncIterator[tuple[str, list[int]]]:
    """Forwards connections to an address; yields its own and the list of the sizes transferred."""
    host, _, port = address.rpartition(":")
    transferred: list[int] = []

    async def forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while chunk := await reader.read(_CHUNK_BYTES):
            transferred.append(len(chunk))
            writer.write(chunk)
        writer.close()

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        # Connections that are still open at the end are cancelled with the loop.
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await asyncio.gather(forward(reader, upstream_writer), forward(upstream_reader, writer))

    server = await asyncio.start_server(accept, host, 0)
    proxy_port = server.sockets[0].getsockname()[1]
    async with server:
        yield f"{host}:{proxy_port}", transferred


def _credit_ask(count: int) -> credit_messages.CreditAsk:
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


def _credit_reply(count: int) -> credit_messages.CreditReply:
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


def _lease_changes(count: int) -> messages.ChangeBatch:
    """Returns a batch with the renewed leases of `count` nodes."""
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


def _freshness_reply(count: int) -> messages.FreshnessReply:
    reached = {number * 10_000_019 % (1 << 32): 12 for number in range(count)}
    return messages.FreshnessReply(
        sequence=100_000, age=0.512345, serving=True, digest=(1 << 63) + 12345, reached=reached
    )


if __name__ == "__main__":
    main()
