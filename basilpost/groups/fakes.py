"""Small fakes of slots, health, runners and the directory, for focused tests."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from basilpost.core import data, failure, names
from basilpost.groups import fabric_table, runner_api, slots
from basilpost.members import directory, fakes
from basilpost.store import objects


class FakeSlot(slots.Slot):
    """A slot of `FakeSlots`."""

    def __init__(self, *, owner: "FakeSlots", group: data.Group) -> None:
        self._owner = owner
        self._group = group
        self.observation: data.Observation | None = None

    def release(self, observation: data.Observation) -> None:
        """Releases the slot; a second call does nothing."""
        if self.observation is None:
            self.observation = observation
            self._owner.in_use_by_id[self._group.group_id] -= 1
            self._owner.on_release()


class FakeSlots(slots.Slots):
    """A fixed number of slots on each target."""

    def __init__(self, *, limit: int = 16) -> None:
        self.limit = limit
        self.in_use_by_id: dict[str, int] = {}
        self.on_release: Callable[[], None] = lambda: None

    def try_acquire(self, group: data.Group) -> slots.Slot | slots.NoSlot:
        """Takes a slot if fewer than the limit are in use."""
        if self.available(group) <= 0:
            return slots.NoSlot(reason=f"{group.group_id} is full")
        self.in_use_by_id[group.group_id] = self.in_use_by_id.get(group.group_id, 0) + 1
        return FakeSlot(owner=self, group=group)

    def available(self, group: data.Group) -> int:
        """Returns the number of free slots."""
        return self.limit - self.in_use_by_id.get(group.group_id, 0)

    def load(self, group: data.Group) -> float:
        """Returns the share of slots in use, 0.0 to 1.0."""
        return self.in_use_by_id.get(group.group_id, 0) / self.limit


class FakeHealth(slots.Health):
    """Every group is healthy unless the test adds its id to `unhealthy`."""

    def __init__(self) -> None:
        self.unhealthy: set[str] = set()
        self.reports: list[tuple[str, data.Observation]] = []

    def healthy(self, group: data.Group) -> bool:
        """Returns False for a group in `unhealthy`."""
        return group.group_id not in self.unhealthy

    def report(self, group: data.Group, observation: data.Observation) -> None:
        """Appends to `reports`."""
        self.reports.append((group.group_id, observation))


class FakeRunners(runner_api.RunnerClient):
    """Runners in memory: a load takes `load_seconds`, then the runner is cold for `warm_seconds`.

    Runners whose address is in `unreachable` do not answer; `delay_by_address` delays status calls.
    """

    def __init__(
        self,
        *,
        checks_fence: bool = True,
        load_seconds: float = 1.0,
        keeps_weights: bool = True,
        warm_seconds: float = float("inf"),
    ) -> None:
        self.checks_fence = checks_fence
        self.keeps_weights = keeps_weights
        self.warm_seconds = warm_seconds
        self.load_seconds = load_seconds
        self.status_by_address: dict[str, runner_api.RunnerStatus] = {}
        self.unreachable: set[str] = set()
        self.delay_by_address: dict[str, float] = {}
        self.in_flight_by_address: collections.Counter[str] = collections.Counter()
        self.orders: list[tuple[str, runner_api.Order]] = []
        self.loaded_at_by_address: dict[str, float] = {}
        self.joined_at_by_address: dict[str, float] = {}

    async def status(
        self, address: str, *, plain: bool = False, timeout: float = 1.0
    ) -> runner_api.RunnerStatus | runner_api.Unreachable:
        """Returns a runner's status; loads end by the event loop's clock."""
        if address in self.unreachable:
            await asyncio.sleep(timeout)
            return runner_api.Unreachable(reason=f"{address} does not answer")
        if address in self.delay_by_address:
            await asyncio.sleep(self.delay_by_address[address])
        if plain:
            return runner_api.RunnerStatus(vm_id=address, state=runner_api.RunnerState.READY)
        status = self.status_by_address.get(address, runner_api.RunnerStatus(vm_id=address))
        load_ends_at = self.loaded_at_by_address.get(address, 0.0)
        loaded = asyncio.get_running_loop().time() >= load_ends_at
        if status.state is runner_api.RunnerState.LOADING and loaded:
            status = _with_state(status, runner_api.RunnerState.COLD)
            self.status_by_address[address] = status
        warm_at = max(load_ends_at, self.joined_at_by_address.get(address, 0.0)) + self.warm_seconds
        if (
            status.state is runner_api.RunnerState.COLD
            and asyncio.get_running_loop().time() >= warm_at
        ):
            status = _with_state(status, runner_api.RunnerState.READY)
            self.status_by_address[address] = status
        return dataclasses.replace(status, in_flight=self.in_flight_by_address[address])

    def set_state(self, address: str, state: runner_api.RunnerState) -> None:
        """Changes the state that a runner reports."""
        self.status_by_address[address] = _with_state(self.status_by_address[address], state)

    def restart(self, address: str) -> None:
        """Restarts a runner, which loses its weights."""
        vm_id = self.status_by_address[address].vm_id
        self.status_by_address[address] = runner_api.RunnerStatus(vm_id=vm_id)

    async def order(
        self, address: str, order: runner_api.Order, *, timeout: float = 2.0
    ) -> runner_api.Accepted | runner_api.StaleFence | runner_api.Unreachable:
        """Carries out an order unless the runner is unreachable or the fencing number is old."""
        if address in self.unreachable:
            await asyncio.sleep(timeout)
            return runner_api.Unreachable(reason=f"{address} does not answer")
        status = self.status_by_address.get(address, runner_api.RunnerStatus(vm_id=address))
        if self.checks_fence and order.fence < status.fence:
            return runner_api.StaleFence(reason=f"{address} has seen {status.fence}")
        self.orders.append((address, order))
        self.joined_at_by_address[address] = asyncio.get_running_loop().time()
        same = (status.model, status.model_version) == (order.model, order.model_version)
        keeps = (
            self.keeps_weights
            and same
            and status.state in (runner_api.RunnerState.COLD, runner_api.RunnerState.READY)
        )
        if order.kind is runner_api.OrderKind.UNLOAD:
            state = runner_api.RunnerState.EMPTY
        else:
            state = runner_api.RunnerState.COLD if keeps else runner_api.RunnerState.LOADING
            if not keeps:
                now = asyncio.get_running_loop().time()
                self.loaded_at_by_address[address] = now + self.load_seconds
        self.status_by_address[address] = runner_api.RunnerStatus(
            vm_id=status.vm_id,
            group_id=order.group_id,
            generation=order.generation,
            model=order.model,
            model_version=order.model_version,
            state=state,
            fence=max(status.fence, order.fence),
        )
        return runner_api.Accepted()


def _with_state(
    status: runner_api.RunnerStatus, state: runner_api.RunnerState
) -> runner_api.RunnerStatus:
    return dataclasses.replace(status, state=state)


class ReplicaDirectory(directory.Directory):
    """Returns the decoded tables of a replica, and the configuration that the test sets."""

    def __init__(self, *, known_objects: fakes.FakeReplica, config: data.Config) -> None:
        self._replica = known_objects
        self.current = config
        self._listeners: list[Callable[[], None]] = []
        self._tables: dict[str, data.FabricTable] = {}
        known_objects.subscribe(names.FABRIC_PREFIX, self._changed)

    def config(self) -> data.Config:
        """Returns the configuration that was set last."""
        return self.current

    def set(self, config: data.Config) -> None:
        """Replaces the configuration and calls the listeners."""
        self.current = config
        for listener in self._listeners:
            listener()

    def groups_for(self, service: str) -> tuple[data.Group, ...]:
        """Returns all groups of a service."""
        return tuple(
            group
            for table in self._tables.values()
            for group in table.groups
            if group.service == service
        )

    def group(self, group_id: str) -> data.Group | None:
        """Returns a group by its id."""
        groups = (group for table in self._tables.values() for group in table.groups)
        return next((group for group in groups if group.group_id == group_id), None)

    def tables(self) -> dict[str, data.FabricTable]:
        """Returns the decoded tables."""
        return dict(self._tables)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Registers a listener that is called after each change of configuration or tables."""
        self._listeners.append(listener)

    def _changed(self, change: objects.Change) -> None:
        if change.stored is None:
            return
        decoded = fabric_table.decode(change.stored)
        if not isinstance(decoded, failure.Failure):
            self._tables[decoded.table.fabric_domain] = decoded.table
        for listener in self._listeners:
            listener()
