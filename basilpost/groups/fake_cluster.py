"""Several fake nodes that share a store, hub, VM list and runners, for tests and measurements."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

from basilpost.core import clock, data
from basilpost.groups import fake_node, fakes, runner_api
from basilpost.members import fakes as member_fakes
from basilpost.store import memory, vms

_STEP_SECONDS = 0.1


def make_vms(
    count: int,
    *,
    fabric_domain: str = "fab-1",
    failure_domain: str = "fd-1",
    pool: str = "gpu",
    start: int = 0,
) -> tuple[data.Vm, ...]:
    """Returns VMs of one fabric domain, numbered from `start`."""
    return tuple(
        data.Vm(
            vm_id=f"vm-{index:04}",
            address=f"vm-{index:04}:80",
            pool=pool,
            fabric_domain=fabric_domain,
            failure_domain=failure_domain,
            accelerators=4,
        )
        for index in range(start, start + count)
    )


class FakeCluster:
    """Fake nodes, a store, a VM list and runners in one process."""

    def __init__(
        self,
        *,
        vms_listed: tuple[data.Vm, ...],
        services: tuple[data.Service, ...],
        nodes: int = 1,
        checks_fence: bool = True,
        load_seconds: float = 5.0,
        runners: fakes.FakeRunners | None = None,
        **node_options: Any,
    ) -> None:
        self.hub = member_fakes.PeerHub()
        self.store = memory.MemoryStore()
        self.vm_list = vms.MemoryVmList(vms=vms_listed)
        self.runners = runners or fakes.FakeRunners(
            checks_fence=checks_fence, load_seconds=load_seconds
        )
        self.config = data.Config(services_by_name={service.name: service for service in services})
        self._node_options = node_options
        self.nodes_by_id: dict[str, fake_node.FakeNode] = {}
        for index in range(nodes):
            self.make_node(f"n{index}")

    def make_node(self, node_id: str, **changes: Any) -> fake_node.FakeNode:
        """Adds a node, not started yet; `changes` replace arguments of `FakeNode`."""
        parts = {"store": self.store, "runner_client": self.runners, "vm_list": self.vm_list}
        node = fake_node.FakeNode(
            node_id=node_id,
            hub=self.hub,
            config=self.config,
            **{**parts, **self._node_options, **changes},
        )
        node.standing.nodes_by_id = self.nodes_by_id
        self.nodes_by_id[node_id] = node
        return node

    async def __aenter__(self) -> "FakeCluster":
        """Starts all nodes."""
        for node in list(self.nodes_by_id.values()):
            await node.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops all nodes that are still there."""
        for node_id in list(self.nodes_by_id):
            await self.stop(node_id)

    async def stop(self, node_id: str) -> None:
        """Stops a node in the planned way."""
        await self.nodes_by_id[node_id].stop()
        del self.nodes_by_id[node_id]

    async def crash(self, node_id: str) -> fake_node.FakeNode:
        """Crashes a node and returns it; it releases nothing and tells no peer."""
        node = self.nodes_by_id.pop(node_id)
        await node.crash()
        return node

    def configure(self, **changes: Any) -> None:
        """Replaces fields of the configuration, in force on all nodes at once."""
        self.config = dataclasses.replace(self.config, **changes)
        for node in self.nodes_by_id.values():
            node.directory.set(self.config)

    def node(self) -> fake_node.FakeNode:
        """Returns some node that is running."""
        return next(iter(self.nodes_by_id.values()))

    def groups(self, service: str = "chat") -> tuple[data.Group, ...]:
        """Returns a service's groups as `node()` knows them."""
        return self.node().directory.groups_for(service)

    def holder(self, fabric_domain: str = "fab-1") -> str:
        """Returns the id of the node that holds a fabric domain, empty for none."""
        found = self.node().directory.tables().get(fabric_domain)
        return found.holder.node_id if found and found.holder else ""

    def warm(self) -> None:
        """Ends the cold start of all loaded runners."""
        for address, status in self.runners.status_by_address.items():
            if status.state is runner_api.RunnerState.COLD:
                self.runners.set_state(address, runner_api.RunnerState.READY)

    async def until(
        self, condition: Callable[[], bool], *, within: float = 60.0, warm: bool = True
    ) -> float:
        """Waits until a condition holds and returns the seconds that it took.

        Args:
            condition: What to wait for.
            within: Longest wait in seconds.
            warm: True to end the cold start of loaded runners meanwhile.

        Raises:
            TimeoutError: If the condition does not hold in time.
        """
        started_at = clock.monotonic()
        while not condition():
            if clock.monotonic() >= started_at + within:
                raise TimeoutError(
                    f"condition did not hold within {within} s; groups: {self.groups()}"
                )
            await asyncio.sleep(_STEP_SECONDS)
            if warm:
                self.warm()
        return clock.monotonic() - started_at

    def ready(self, count: int, service: str = "chat") -> Callable[[], bool]:
        """Returns a condition: the service has exactly `count` groups, and all are READY."""

        def check() -> bool:
            states = [group.state for group in self.groups(service)]
            return states == [data.GroupState.READY] * count

        return check
