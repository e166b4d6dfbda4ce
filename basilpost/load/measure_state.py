"""Measures the cost of shared state: bytes, memory, coding time, and store calls."""

import asyncio
import dataclasses
import gzip
import json
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from basilpost.core import codec, data, names
from basilpost.load import measuring, stand_in_process
from basilpost.members import node_table
from basilpost.store import http_objects, http_vms

_GROUP_COUNTS = (5, 10, 20, 40)
_OBJECT_COUNTS = (100, 400, 1600)
_CALL_COUNTS = (200, 400, 800)
_VM_COUNTS = (200, 800, 3200)
_RECORD_COUNTS = (1, 10, 40)
_MEMBERS_PER_GROUP = 8
_GZIP_LEVEL = 6


def main() -> None:
    """Prints the samples."""
    for count in _GROUP_COUNTS:
        _measure_table(count)
    for count in _OBJECT_COUNTS:
        _measure_objects(count)
    for count in _VM_COUNTS:
        _measure_vm_list(count)
    for count in _RECORD_COUNTS:
        _measure_watched_records(count)
    asyncio.run(_measure_calls())


def _measure_table(count: int) -> None:
    table = _table(count)
    encoded = codec.to_json(table)
    measuring.sample("state.table_bytes_by_groups", count, "groups", len(encoded), "bytes")
    encode_seconds = measuring.cpu_seconds(lambda: codec.to_json(table))
    decode_seconds = measuring.cpu_seconds(lambda: codec.from_json(encoded, data.FabricTable))
    measuring.sample("state.encode_cpu_by_groups", count, "groups", encode_seconds, "cpu seconds")
    measuring.sample("state.decode_cpu_by_groups", count, "groups", decode_seconds, "cpu seconds")
    memory = _traced_bytes(
        lambda: (encoded[:-1] + b"}", codec.from_json(encoded, data.FabricTable))
    )
    measuring.sample("state.memory_by_groups", count, "groups", memory, "bytes")


def _measure_objects(count: int) -> None:
    encoded_objects = [codec.to_json(_workspace(number)) for number in range(count)]
    memory = _traced_bytes(
        lambda: [
            (bytes(bytearray(encoded)), codec.from_json(encoded, data.Workspace))
            for encoded in encoded_objects
        ]
    )
    measuring.sample("state.memory_by_objects", count, "objects", memory, "bytes")
    decode_seconds = measuring.cpu_seconds(
        lambda: [codec.from_json(encoded, data.Workspace) for encoded in encoded_objects]
    )
    measuring.sample("state.decode_cpu_by_objects", count, "objects", decode_seconds, "cpu seconds")


def _measure_vm_list(count: int) -> None:
    vms = [
        dataclasses.asdict(
            data.Vm(
                vm_id=f"vm-kz-south-a-{number}",
                address=f"10.20.30.{number % 250}:8000",
                pool="models",
                fabric_domain=f"fabric-kz-south-a-{number // 40}",
                failure_domain="kz-south-a",
                accelerators=4,
            )
        )
        for number in range(count)
    ]
    encoded = json.dumps({"vms": vms}).encode()
    measuring.sample("state.vm_list_bytes", count, "VMs", len(encoded), "bytes")
    measuring.sample(
        "state.vm_list_packed_bytes",
        count,
        "VMs",
        len(gzip.compress(encoded, _GZIP_LEVEL)),
        "bytes",
    )
    decode_seconds = measuring.cpu_seconds(lambda: http_vms.decode(encoded))
    measuring.sample("state.vm_list_decode_cpu", count, "VMs", decode_seconds, "cpu seconds")


def _measure_watched_records(count: int) -> None:
    """Measures the bytes of watch answers that carry one renewed node record each."""
    record = node_table.NodeRecord(
        node_id="node-kz-south-a-17",
        peer_address="10.20.30.40:7002",
        gateway_address="10.20.30.40:8080",
        failure_domain="kz-south-a",
        region="kz-south",
        incarnation="0123456789abcdef",
        renewal=100_000,
        lease_seconds=35.0,
        table_size=420,
    )
    change = {
        "key": names.NODE_PREFIX + record.node_id,
        "version": 100_000_000,
        "value": codec.to_json(record).decode(),
    }
    answer = json.dumps({"changes": [change], "revision": 100_000_000}).encode()
    measuring.sample("state.watched_record_bytes", count, "renewals", count * len(answer), "bytes")


async def _measure_calls() -> None:
    """Measures the client's processor time for writes and reads."""
    with stand_in_process.started("emulate", "object-api") as (address, _):
        store = http_objects.HttpObjectStore(base_url=f"http://{address}")
        written: Any = await store.create("nodes/n", b"x" * 300)
        for count in _CALL_COUNTS:
            started_at = time.process_time()
            for _ in range(count):
                written = await store.update("nodes/n", b"x" * 300, version=written.version)
            cpu_seconds = time.process_time() - started_at
            measuring.sample("store.cpu_by_writes", count, "writes", cpu_seconds, "cpu seconds")
            started_at = time.process_time()
            for _ in range(count):
                await store.get("nodes/n")
            cpu_seconds = time.process_time() - started_at
            measuring.sample("store.cpu_by_reads", count, "reads", cpu_seconds, "cpu seconds")
        store.close()


def _table(count: int) -> data.FabricTable:
    return data.FabricTable(
        fabric_domain="fabric-kz-south-a-1",
        holder=data.Holder(node_id="node-kz-south-a-1", fence=7),
        groups=tuple(_group(number) for number in range(count)),
        attempt_id="0123456789abcdef",
    )


def _group(number: int) -> data.Group:
    members = tuple(
        data.Member(
            vm_id=f"vm-kz-south-a-{number}-{rank}", address=f"10.20.30.{rank}:8000", rank=rank
        )
        for rank in range(_MEMBERS_PER_GROUP)
    )
    return data.Group(
        group_id=f"clearance-{number:08x}",
        service="clearance",
        model="clearance-large",
        model_version="2026-11-02",
        generation=number,
        state=data.GroupState.READY,
        fabric_domain="fabric-kz-south-a-1",
        failure_domain="kz-south-a",
        members=members,
    )


def _workspace(number: int) -> data.Workspace:
    return data.Workspace(
        name=f"workspace-{number}",
        key_digests=(f"{number:064x}", f"{number + 1:064x}"),
        services=("clearance", "licences", "catalogue"),
    )


def _traced_bytes(make: Callable[[], Any]) -> int:
    """Returns the bytes allocated for the result of `make`, after a first call to fill caches."""
    make()
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


if __name__ == "__main__":
    main()
