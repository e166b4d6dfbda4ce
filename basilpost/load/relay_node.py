"""Runs a node without control work in its own process, with a fixed set of targets.

The node has all that a request passes through (gateway, admission, ledger) and nothing else. The
cost of the control work of a node is measured by other programs.
"""

import asyncio
import json
import signal
import sys

from basilpost.core import data, hashing, kernel, log, names
from basilpost.gateway import install as gateway_install
from basilpost.gateway import server
from basilpost.groups import fakes as group_fakes
from basilpost.members import fakes as member_fakes
from basilpost.routing import install as routing_install
from basilpost.runs import install as runs_install
from basilpost.settings import schema
from basilpost.store import memory

API_KEY = "relay-key"
MODEL = "clearance"
QUICK_MODEL = "quick"
NODE_ID = "relay-node"
_MAX_IN_FLIGHT = 5_000
_MAX_RATE = 100_000.0


def make_group(address: str, number: int) -> data.Group:
    """Returns a group whose only member is at `address`; group 0 serves the quick model."""
    model = MODEL if number else QUICK_MODEL
    return data.Group(
        group_id=f"relay-{number}",
        service=model,
        model=model,
        model_version="1",
        generation=1,
        state=data.GroupState.READY,
        fabric_domain="fabric-a",
        failure_domain="a",
        members=(data.Member(vm_id=f"vm-{number}", address=address, rank=0),),
    )


def make_node(addresses: list[str]) -> kernel.Kernel:
    """Returns a node that relays requests to runners at `addresses`, with fakes for the rest."""
    node = kernel.Kernel(node_id=NODE_ID)
    groups = tuple(make_group(address, number) for number, address in enumerate(addresses))
    node.register(names.SETTINGS, _settings())
    node.register(names.OBJECTS, memory.MemoryStore())
    node.register(names.PEERS, member_fakes.FakePeers(node_id=NODE_ID, hub=member_fakes.PeerHub()))
    node.register(names.REPLICA, member_fakes.FakeReplica())
    node.register(names.STANDING, member_fakes.FakeStanding())
    node.register(names.DIRECTORY, member_fakes.FakeDirectory(config=_config(), groups=groups))
    node.register(names.SLOTS, group_fakes.FakeSlots(limit=_MAX_IN_FLIGHT))
    node.register(names.HEALTH, group_fakes.FakeHealth())
    runs_install.install(node)
    routing_install.install(node)
    gateway_install.install(node)
    return node


def _settings() -> schema.NodeSettings:
    return schema.NodeSettings(
        node_id=NODE_ID,
        failure_domain="a",
        platform=schema.Platform(object_api="http://unused", vm_list="http://unused"),
    )


def _config() -> data.Config:
    services_by_name = {
        name: data.Service(
            name=name,
            kind=data.ServiceKind.MODEL,
            pool="models",
            model=name,
            max_in_flight=_MAX_IN_FLIGHT,
            cold_max_in_flight=_MAX_IN_FLIGHT,
        )
        for name in (MODEL, QUICK_MODEL)
    }
    workspace = data.Workspace(
        name="relay",
        key_digests=(hashing.key_digest(API_KEY),),
        max_concurrency=_MAX_IN_FLIGHT,
        rate=_MAX_RATE,
        burst=_MAX_RATE,
    )
    return data.Config(
        services_by_name=services_by_name, workspaces_by_name={workspace.name: workspace}
    )


async def _serve(addresses: list[str]) -> None:
    node = make_node(addresses)
    await node.start()
    port = node.find(names.GATEWAY, server.Gateway).port
    print(json.dumps({"address": f"127.0.0.1:{port}"}), flush=True)
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    await stopping.wait()
    await node.stop()


if __name__ == "__main__":
    log.configure(json_lines=True, level="warning")
    asyncio.run(_serve(sys.argv[1:]))
