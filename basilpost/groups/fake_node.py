"""A node with real controllers over fakes, to run several nodes in one process."""

import asyncio
from collections.abc import Callable

from basilpost.core import clock, data, failure, kernel, names
from basilpost.groups import controllers, credits, health, planner, runner_api, view
from basilpost.groups import fakes as group_fakes
from basilpost.members import fakes
from basilpost.settings import schema
from basilpost.store import memory, vms


class ClusterStanding(fakes.FakeStanding):
    """Reads the other nodes' replicas to tell whether all nodes have acknowledged a version.

    A node behind a cut link has to acknowledge until it has been cut off for the isolation
    interval, after which it has stopped dispatching.
    """

    def __init__(self, *, hub: fakes.PeerHub, node_id: str) -> None:
        super().__init__()
        self._hub = hub
        self._node_id = node_id
        self.nodes_by_id: dict[str, FakeNode] = {}
        self.isolation = schema.Timing().isolation
        self._cut_since_by_node: dict[str, float] = {}

    def acknowledged_by_all(self, key: str, version: int) -> bool:
        """Returns True if all nodes that may dispatch have the version or a later one."""
        return self.acknowledged and all(
            self._is_isolated(node_id) or _holds(node, key, version)
            for node_id, node in self.nodes_by_id.items()
        )

    def _is_isolated(self, node_id: str) -> bool:
        now = clock.monotonic()
        if self._hub.connected(self._node_id, node_id):
            self._cut_since_by_node.pop(node_id, None)
            return False
        return now - self._cut_since_by_node.setdefault(node_id, now) >= self.isolation


def _holds(node: "FakeNode", key: str, version: int) -> bool:
    stored = node.replica.get(key)
    return stored is not None and stored.version >= version


class FakeNode:
    """A kernel with fakes of the services that groups need; store and hub are shared."""

    def __init__(
        self,
        *,
        node_id: str,
        hub: fakes.PeerHub,
        store: memory.MemoryStore,
        vm_list: vms.VmList,
        runner_client: runner_api.RunnerClient,
        config: data.Config,
        timing: schema.Timing | None = None,
        weight_store: schema.WeightStore | None = None,
        plan: Callable[[view.View], planner.Plan] = planner.plan,
    ) -> None:
        self.kernel = kernel.Kernel(node_id=node_id)
        self.store = store
        self._hub = hub
        self.replica = fakes.FakeReplica()
        self.peers = fakes.FakePeers(node_id=node_id, hub=hub)
        self.standing = ClusterStanding(hub=hub, node_id=node_id)
        self.directory = group_fakes.ReplicaDirectory(known_objects=self.replica, config=config)
        self.lease_seconds_left = 10.0
        self.watch_task: asyncio.Task[None] | None = None
        settings = schema.NodeSettings(
            node_id=node_id,
            failure_domain="fd-1",
            platform=schema.Platform(object_api="http://127.0.0.1:1", vm_list="http://127.0.0.1:1"),
            timing=timing or schema.Timing(),
            weight_store=weight_store or schema.WeightStore(),
        )
        self.kernel.register(names.SETTINGS, settings)
        self.kernel.register(names.OBJECTS, store)
        self.kernel.register(names.VMS, vm_list)
        self.kernel.register(names.PEERS, self.peers)
        self.kernel.register(names.REPLICA, self.replica)
        self.kernel.register(names.STANDING, self.standing)
        self.kernel.register(names.DIRECTORY, self.directory)
        self.kernel.register(names.ENGINES, runner_client)
        self.controllers = controllers.Controllers(
            kernel=self.kernel, lease_remaining=lambda: self.lease_seconds_left, plan=plan
        )
        self.kernel.register(names.CONTROLLERS, self.controllers)
        self.health = health.TargetHealth(kernel=self.kernel)
        self.kernel.register(names.HEALTH, self.health)
        self.slots = credits.CreditSlots(kernel=self.kernel)
        self.kernel.register(names.SLOTS, self.slots)

    async def start(self) -> None:
        """Starts the services, and a watch of the store that updates the replica."""
        self.watch_task = asyncio.get_running_loop().create_task(self._run_watch())
        await self.kernel.start()

    async def stop(self) -> None:
        """Stops the services and leaves the hub."""
        await self.kernel.stop()
        await self.disconnect()

    async def crash(self) -> None:
        """Ends all work at once; releases nothing and tells no peer."""
        await self.disconnect()
        await self.controllers.stop_without_release()

    async def disconnect(self) -> None:
        """Ends the watch and leaves the hub."""
        self._hub.peers_by_id.pop(self.kernel.node_id, None)
        if self.watch_task is not None:
            self.watch_task.cancel()
            await asyncio.gather(self.watch_task, return_exceptions=True)

    async def _run_watch(self) -> None:
        revision = 0
        while True:
            found = await self.store.watch(names.FABRIC_PREFIX, revision=revision)
            if isinstance(found, failure.Failure):
                await asyncio.sleep(0.5)
                continue
            for change in found.changes:
                self.replica.offer(change)
            revision = found.revision
