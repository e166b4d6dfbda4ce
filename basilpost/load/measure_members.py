"""Measures membership: how fast changes take effect on all nodes, and the control cost of a node.

All nodes of a fleet run in one process, with real peer streams over loopback and one store in
memory. A node's processor time is that of the process divided by the number of nodes. Its memory is
that of the process before any node starts, plus the growth per node. Bytes are those sent and
received on peer streams, and those of store calls with their answers.
"""

import asyncio
import dataclasses
import gc
import json
import logging
import secrets
import subprocess
import sys
import time
from typing import Any

import click
import psutil
import structlog

from basilpost.core import clock, codec, data, kernel, names
from basilpost.members import install, quorum_standing, replica, standing, streams
from basilpost.settings import schema
from basilpost.store import memory, objects

SIZES = "3,9,27,81"
TARGET_NODES = 420
REGIONS = 3
SETTLE_SECONDS = 15.0
STEADY_SECONDS = 20.0
CONFIG_OBJECT_BYTES = 1_000
TABLE_BYTES = 20_000
CHANGE_INTERVAL_SECONDS = 2.0
CHANGES_PER_TABLE_CHANGE = 5
HTTP_CALL_OVERHEAD_BYTES = 300
MEGABYTE = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cost:
    """The cost of control for one node, as the mean over a fleet and at the busiest node."""

    kind: str = "cost"
    nodes: int
    peer_bytes_per_second: float
    peer_bytes_per_second_busiest: float
    store_bytes_per_second: float
    cpu_percent_of_core: float
    memory_megabytes: float
    streams_per_node: float
    store_calls_per_second: dict[str, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class InForce:
    """Percentiles of the seconds from an accepted change until it is in force on all nodes."""

    kind: str = "in_force"
    nodes: int
    condition: str
    changes: int
    missing: int
    p50: float
    p99: float
    worst: float
    not_serving: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fit:
    """A line through the costs of the two largest fleets, extrapolated to the target size."""

    kind: str = "fit"
    quantity: str
    slope_per_node: float
    at_target_nodes: float


class CountedStore(objects.ObjectStore):
    """One node's connection to the shared store; counts bytes and can be cut off."""

    def __init__(self, *, shared: memory.MemoryStore) -> None:
        self.is_cut_off = False
        self.transferred_bytes = 0
        self._shared = shared

    async def get(self, key: str, **options: Any) -> Any:
        """Reads one object."""
        return await self._forward(self._shared.get(key, **options), "down")

    async def list(self, prefix: str, **options: Any) -> Any:
        """Lists a prefix."""
        return await self._forward(self._shared.list(prefix, **options), "down")

    async def create(self, key: str, value: bytes, **options: Any) -> Any:
        """Creates an object."""
        self.transferred_bytes += len(value)
        return await self._forward(self._shared.create(key, value, **options), "unknown")

    async def update(self, key: str, value: bytes, **options: Any) -> Any:
        """Updates an object."""
        self.transferred_bytes += len(value)
        return await self._forward(self._shared.update(key, value, **options), "unknown")

    async def delete(self, key: str, **options: Any) -> Any:
        """Deletes an object."""
        return await self._forward(self._shared.delete(key, **options), "unknown")

    async def watch(self, prefix: str, **options: Any) -> Any:
        """Watches a prefix."""
        return await self._forward(self._shared.watch(prefix, **options), "down")

    async def _forward(self, call: Any, failure_kind: str) -> Any:
        if self.is_cut_off:
            call.close()
            await asyncio.sleep(1)
            return _FAILURES[failure_kind]
        answer = await call
        self.transferred_bytes += HTTP_CALL_OVERHEAD_BYTES + _size(answer)
        return answer


_FAILURES = {
    "down": objects.Unavailable(reason="cut off by the measurement"),
    "unknown": objects.Unknown(reason="cut off by the measurement"),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Node:
    """A measured node; `in_force_at` has the time at which it received each key and version."""

    kernel: kernel.Kernel
    store: CountedStore
    in_force_at: dict[tuple[str, int], float]


@dataclasses.dataclass(kw_only=True)
class Counters:
    """Counters of all nodes at one moment."""

    at: float
    cpu_seconds: float
    store_bytes: int
    peer_bytes_by_node: list[float]
    calls_by_kind: dict[str, int]


@click.command()
@click.option("--sizes", default=SIZES, show_default=True, help="Fleet sizes.")
@click.option("--seconds", default=STEADY_SECONDS, show_default=True, help="Length of each phase.")
@click.option("--settle", default=SETTLE_SECONDS, show_default=True, help="Time to settle first.")
def main(sizes: str, seconds: float, settle: float) -> None:
    """Prints each figure as one line of JSON."""
    chosen_sizes = sizes.split(",")
    if len(chosen_sizes) == 1:
        # Writing log lines would be part of the measured cost.
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        asyncio.run(_measure(int(sizes), seconds=seconds, settle=settle))
        return
    _print_fits(
        [_measure_in_subprocess(size, seconds=seconds, settle=settle) for size in chosen_sizes]
    )


def _measure_in_subprocess(size: str, *, seconds: float, settle: float) -> Cost:
    """Measures one size in a fresh process, so that memory of other fleets does not count."""
    options = ["--sizes", size, "--seconds", str(seconds), "--settle", str(settle)]
    command = [sys.executable, "-m", "basilpost.load.measure_members", *options]
    lines = subprocess.run(command, check=True, stdout=subprocess.PIPE, text=True).stdout
    click.echo(lines, nl=False)
    decoded = (json.loads(line) for line in lines.splitlines())
    return next(
        codec.json_converter().structure(fields, Cost)
        for fields in decoded
        if fields["kind"] == "cost"
    )


async def _measure(size: int, *, seconds: float, settle: float) -> None:
    gc.collect()
    base_megabytes = _resident_megabytes()
    shared = memory.MemoryStore()
    nodes = [await _start(number, shared) for number in range(size)]
    await asyncio.sleep(settle)
    before = _read_counters(nodes, shared)
    accepted_healthy = await _write_changes(nodes, shared, seconds=seconds)
    after = _read_counters(nodes, shared)
    gc.collect()
    growth_per_node = (_resident_megabytes() - base_megabytes) / size
    _emit(_cost(nodes, before, after, memory_megabytes=base_megabytes + growth_per_node))
    _emit(_in_force(nodes, accepted_healthy, condition="healthy"))
    for node in nodes[::3]:
        node.store.is_cut_off = True
    await asyncio.sleep(settle / 2)
    accepted_cut_off = await _write_changes(nodes, shared, seconds=seconds)
    _emit(_in_force(nodes, accepted_cut_off, condition="a third cut off from the store"))
    for node in nodes:
        await node.kernel.stop()


async def _start(number: int, shared: memory.MemoryStore) -> Node:
    node_id = f"node-{number:03}"
    node = Node(
        kernel=kernel.Kernel(node_id=node_id), store=CountedStore(shared=shared), in_force_at={}
    )
    settings = schema.NodeSettings(
        node_id=node_id,
        failure_domain=f"domain-{number % REGIONS}",
        region=f"region-{number % REGIONS}",
        platform=schema.Platform(object_api="http://unused", vm_list="http://unused"),
        peers=schema.PeerStreams(secret="measure"),
    )
    node.kernel.register(names.SETTINGS, settings)
    node.kernel.register(names.OBJECTS, node.store)
    install.install(node.kernel)

    def record_in_force(change: objects.Change) -> None:
        node.in_force_at[(change.key, change.version)] = clock.monotonic()

    store_replica = node.kernel.find(names.REPLICA, replica.Replica)
    store_replica.subscribe(names.CONFIG_PREFIX, record_in_force)
    store_replica.subscribe(names.FABRIC_PREFIX, record_in_force)
    await node.kernel.start()
    return node


async def _write_changes(
    nodes: list[Node], shared: memory.MemoryStore, *, seconds: float
) -> dict[tuple[str, int], float]:
    """Writes changes at a steady rate; returns the time each was accepted, by key and version."""
    accepted_at: dict[tuple[str, int], float] = {}
    for number in range(int(seconds / CHANGE_INTERVAL_SECONDS)):
        is_table = number % CHANGES_PER_TABLE_CHANGE == 0
        key = (names.FABRIC_PREFIX if is_table else names.WORKSPACE_PREFIX) + f"m{number % 3}"
        value = _table(key) if is_table else _workspace(key, number)
        accepted_at[(key, await _write(shared, key, value))] = clock.monotonic()
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
    return accepted_at


async def _write(shared: memory.MemoryStore, key: str, value: bytes) -> int:
    stored = await shared.get(key)
    if isinstance(stored, objects.Stored):
        written = await shared.update(key, value, version=stored.version)
    else:
        written = await shared.create(key, value)
    assert isinstance(written, objects.Written)
    return written.version


def _workspace(key: str, number: int) -> bytes:
    workspace = data.Workspace(name=key.rsplit("/")[-1], rate=float(number))
    value = codec.to_json(workspace).decode()
    audit = data.AuditEntry(
        at="",
        actor="",
        node_id="",
        reason=secrets.token_hex(CONFIG_OBJECT_BYTES // 2),
        before="",
        after="",
        attempt_id="",
    )
    return codec.to_json(data.ConfigObject(value=value, audit=(audit,)))


def _table(key: str) -> bytes:
    domain = key.removeprefix(names.FABRIC_PREFIX)
    count = TABLE_BYTES // len(codec.to_json(_group(domain, 0)))
    groups = tuple(_group(domain, number) for number in range(count))
    return codec.to_json(data.FabricTable(fabric_domain=domain, groups=groups))


def _group(domain: str, number: int) -> data.Group:
    """Returns a group with random ids and addresses, which compress as poorly as real ones."""
    return data.Group(
        group_id=f"{domain}-{number}-{secrets.token_hex(4)}",
        service="clearance",
        generation=1,
        state=data.GroupState.READY,
        fabric_domain=domain,
        failure_domain="a",
        members=tuple(
            data.Member(
                vm_id=f"vm-{secrets.token_hex(4)}",
                address=f"10.{secrets.randbelow(256)}.{secrets.randbelow(256)}.1:8000",
                rank=rank,
            )
            for rank in range(8)
        ),
    )


def _read_counters(nodes: list[Node], shared: memory.MemoryStore) -> Counters:
    return Counters(
        at=time.monotonic(),
        cpu_seconds=time.process_time(),
        store_bytes=sum(node.store.transferred_bytes for node in nodes),
        peer_bytes_by_node=[_peer_bytes(node) for node in nodes],
        calls_by_kind=dict(shared.calls_by_kind),
    )


def _peer_bytes(node: Node) -> float:
    return sum(
        node.kernel.registry.get_sample_value(
            "basilpost_peer_bytes_total", {"direction": direction}
        )
        or 0.0
        for direction in ("sent", "received")
    )


def _cost(nodes: list[Node], start: Counters, end: Counters, *, memory_megabytes: float) -> Cost:
    seconds = end.at - start.at
    peer_bytes_per_second = [
        (after - before) / seconds
        for before, after in zip(start.peer_bytes_by_node, end.peer_bytes_by_node, strict=True)
    ]
    peer_streams = [node.kernel.find(names.PEERS, streams.Streams) for node in nodes]
    return Cost(
        nodes=len(nodes),
        peer_bytes_per_second=_mean(peer_bytes_per_second),
        peer_bytes_per_second_busiest=round(max(peer_bytes_per_second), 1),
        store_bytes_per_second=round(
            (end.store_bytes - start.store_bytes) / seconds / len(nodes), 1
        ),
        cpu_percent_of_core=round(
            100 * (end.cpu_seconds - start.cpu_seconds) / seconds / len(nodes), 3
        ),
        memory_megabytes=round(memory_megabytes, 1),
        streams_per_node=_mean([float(len(peers.neighbours())) for peers in peer_streams]),
        store_calls_per_second={
            kind: round((count - start.calls_by_kind.get(kind, 0)) / seconds, 2)
            for kind, count in end.calls_by_kind.items()
        },
    )


def _in_force(
    nodes: list[Node], accepted_at: dict[tuple[str, int], float], *, condition: str
) -> InForce:
    """Computes the delay until each change, or a later version, was in force on the last node."""
    delays = [
        max(_in_force_time(node, key, version) for node in nodes) - at
        for (key, version), at in accepted_at.items()
    ]
    finite_delays = sorted(seconds for seconds in delays if seconds < float("inf"))
    verdicts = [
        node.kernel.find(names.STANDING, quorum_standing.QuorumStanding).check() for node in nodes
    ]
    return InForce(
        nodes=len(nodes),
        condition=condition,
        changes=len(delays),
        missing=len(delays) - len(finite_delays),
        p50=round(finite_delays[len(finite_delays) // 2], 4),
        p99=round(finite_delays[int(len(finite_delays) * 0.99)], 4),
        worst=round(finite_delays[-1], 4),
        not_serving=sum(isinstance(verdict, standing.NotServing) for verdict in verdicts),
    )


def _in_force_time(node: Node, key: str, version: int) -> float:
    times = (
        at
        for (changed_key, number), at in node.in_force_at.items()
        if changed_key == key and number >= version
    )
    return min(times, default=float("inf"))


def _print_fits(costs: list[Cost]) -> None:
    quantities = (
        "peer_bytes_per_second",
        "peer_bytes_per_second_busiest",
        "store_bytes_per_second",
        "cpu_percent_of_core",
        "memory_megabytes",
    )
    smaller, larger = costs[-2:]
    for quantity in quantities:
        rise = getattr(larger, quantity) - getattr(smaller, quantity)
        slope = rise / (larger.nodes - smaller.nodes)
        at_target = getattr(larger, quantity) + slope * (TARGET_NODES - larger.nodes)
        _emit(
            Fit(
                quantity=quantity,
                slope_per_node=round(slope, 4),
                at_target_nodes=round(at_target, 2),
            )
        )


def _size(answer: Any) -> int:
    match answer:
        case objects.Stored():
            return len(answer.key) + len(answer.value)
        case objects.Listing():
            return sum(map(_size, answer.objects))
        case objects.Changes():
            return sum(_size(change.stored) for change in answer.changes)
    return 0


def _resident_megabytes() -> float:
    return psutil.Process().memory_info().rss / MEGABYTE


def _mean(values: list[float]) -> float:
    return round(sum(values) / len(values), 1)


def _emit(record: Any) -> None:
    click.echo(json.dumps(dataclasses.asdict(record)))


if __name__ == "__main__":
    main()
