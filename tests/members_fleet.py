"""A fleet of nodes in one process: the real membership services over an in-memory network."""

import asyncio
import json

from basilpost.core import clock, data, kernel, names
from basilpost.members import (
    directory,
    install,
    lease,
    memory_transport,
    peers,
    replica,
    standing,
)
from basilpost.settings import schema
from basilpost.store import memory, objects


class NodeStore(objects.ObjectStore):
    """One node's access to the shared store.

    It can be cut off, leave watches without an answer, or list stale objects.
    """

    def __init__(self, *, shared):
        self.shared = shared
        self.cut = False
        self.watch_hangs = False
        self.stale_listing = None
        self.calls_by_kind = {}

    @property
    def era(self):
        return self.shared.era

    async def _call_unless_cut(self, kind, call, seconds):
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1
        if self.cut:
            call.close()
            await asyncio.sleep(seconds)
            return None
        answer = await call
        return None if self.cut else answer

    async def get(self, key, *, timeout=2.0, urgency=objects.Urgency.NORMAL):
        call = self.shared.get(key, timeout=timeout)
        return await self._call_unless_cut("get", call, timeout) or objects.Unavailable(
            reason="cut"
        )

    async def list(self, prefix, *, timeout=5.0, urgency=objects.Urgency.NORMAL):
        if self.stale_listing is not None and not self.cut:
            return self.stale_listing
        call = self.shared.list(prefix, timeout=timeout)
        return await self._call_unless_cut("list", call, timeout) or objects.Unavailable(
            reason="cut"
        )

    async def create(self, key, value, *, timeout=2.0, urgency=objects.Urgency.NORMAL):
        call = self.shared.create(key, value, timeout=timeout)
        return await self._call_unless_cut("write", call, timeout) or objects.Unknown(reason="cut")

    async def update(self, key, value, *, version, timeout=2.0, urgency=objects.Urgency.NORMAL):
        call = self.shared.update(key, value, version=version, timeout=timeout)
        return await self._call_unless_cut("write", call, timeout) or objects.Unknown(reason="cut")

    async def delete(self, key, *, version, timeout=2.0, urgency=objects.Urgency.NORMAL):
        call = self.shared.delete(key, version=version, timeout=timeout)
        return await self._call_unless_cut("write", call, timeout) or objects.Unknown(reason="cut")

    async def watch(self, prefix, *, revision, wait=10.0):
        if self.watch_hangs:
            await asyncio.Event().wait()
        call = self.shared.watch(prefix, revision=revision, wait=wait)
        return await self._call_unless_cut("watch", call, wait) or objects.Unavailable(reason="cut")


class Node:
    """One node and its services; `applied` lists the applied versions in order, by key."""

    def __init__(self, *, node_id, shared, transport, peer_settings, region=""):
        self.node_id = node_id
        self.store = NodeStore(shared=shared)
        self.kernel = bare_kernel(node_id, peer_settings, region=region)
        self.applied = {}
        self.in_force_at = {}
        self.kernel.register(names.OBJECTS, self.store)
        install.install(self.kernel, peer_transport=transport)
        self.peers = self.kernel.find(names.PEERS, peers.PeerNetwork)
        self.replica = self.kernel.find(names.REPLICA, replica.Replica)
        self.lease = self.kernel.find(names.LEASE, lease.Lease)
        self.standing = self.kernel.find(names.STANDING, standing.Standing)
        self.directory = self.kernel.find(names.DIRECTORY, directory.Directory)
        self.replica.subscribe("", self._record_change)

    def _record_change(self, change):
        self.applied.setdefault(change.key, []).append(change.version)
        self.in_force_at[(change.key, change.version)] = clock.monotonic()

    @property
    def serving(self):
        return isinstance(self.standing.check(), standing.InStanding)

    @property
    def table_size(self):
        return len(self.replica.items(names.NODE_PREFIX))


def bare_kernel(node_id, peer_settings, *, region=""):
    """Returns a kernel whose only service is the settings."""
    bare = kernel.Kernel(node_id=node_id)
    settings = schema.NodeSettings(
        node_id=node_id,
        failure_domain="a",
        region=region,
        platform=schema.Platform(object_api="http://x", vm_list="http://x"),
        peers=peer_settings,
    )
    bare.register(names.SETTINGS, settings)
    return bare


class Fleet:
    """A fleet's nodes, their shared store and the network between them."""

    def __init__(self, *, size=3, full_mesh_nodes=16, neighbours=6, secret="s3cret"):
        self.store = memory.MemoryStore()
        self.network = memory_transport.MemoryNetwork()
        self.ids = [f"n{number:03}" for number in range(size)]
        self.secret = secret
        self.peer_settings = schema.PeerStreams(
            secret=secret,
            full_mesh_nodes=full_mesh_nodes,
            neighbours=neighbours,
            seeds=tuple(schema.Peer(node_id=node_id, address=node_id) for node_id in self.ids[:3]),
        )
        self.nodes_by_id = {}

    async def __aenter__(self):
        for node_id in self.ids:
            await self.add(node_id)
        return self

    async def __aexit__(self, *_):
        for node_id in list(self.nodes_by_id):
            await self.remove(node_id)

    @property
    def nodes(self):
        return list(self.nodes_by_id.values())

    async def add(self, node_id, *, cut=False, region=""):
        node = Node(
            node_id=node_id,
            shared=self.store,
            transport=self.network.transport(node_id),
            peer_settings=self.peer_settings,
            region=region,
        )
        node.store.cut = cut
        await node.kernel.start()
        self.nodes_by_id[node_id] = node
        return node

    async def remove(self, node_id):
        """Stops a node gracefully."""
        await self.nodes_by_id.pop(node_id).kernel.stop()

    async def crash(self, node_id):
        """Stops a node without a leave message: its links are cut before its tasks end."""
        node = self.nodes_by_id.pop(node_id)
        self.network.partition({node_id}, set(self.ids) - {node_id})
        node.store.cut = True
        await node.kernel.stop()

    def cut_store(self, *node_ids):
        for node_id in node_ids or self.nodes_by_id:
            self.nodes_by_id[node_id].store.cut = True

    async def write(self, key, record):
        """Writes a configuration object in its stored form and returns its new version."""
        value = json.dumps({"value": json.dumps(record), "audit": []}).encode()
        current = await self.store.get(key)
        if isinstance(current, objects.Stored):
            return (await self.store.update(key, value, version=current.version)).version
        return (await self.store.create(key, value)).version

    def in_force(self, key, version):
        """Returns the ids of the nodes that have applied a version or a later one."""
        return {node.node_id for node in self.nodes if node.replica.version_of(key) >= version}

    def serving(self):
        return {node.node_id for node in self.nodes if node.serving}


WORKSPACE_KEY = names.WORKSPACE_PREFIX + "arkhiv"


def workspace(rate=100.0):
    """Returns a workspace that is too large to be pushed: peers announce and pull it."""
    return {"name": "arkhiv", "rate": rate, "key_digests": ["d" * 64] * 5}


def group_table(domain, *, group_id="g1", generation=1):
    """Returns a fabric domain's table with one ready group of one member."""
    group = data.Group(
        group_id=group_id,
        service="clearance",
        generation=generation,
        state=data.GroupState.READY,
        fabric_domain=domain,
        failure_domain="a",
        members=(data.Member(vm_id="vm-1", address="127.0.0.1:1", rank=0),),
    )
    return data.FabricTable(fabric_domain=domain, groups=(group,))
