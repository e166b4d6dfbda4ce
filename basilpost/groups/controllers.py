"""Runs a controller for each fabric domain, and reads the VM list for them.

Every node runs one task for each known domain, which does nothing unless this node is the domain's
preferred node or holds it. The VM list is read by nodes that hold a domain, and by one more node
that looks for new domains.
"""

import asyncio
from collections.abc import Callable

from basilpost.core import clock, data, hashing, kernel, names, tasks
from basilpost.groups import context as contexts
from basilpost.groups import domain_controller, fabric_table, load_budget, planner, runner_api, view
from basilpost.members import directory, peers, replica, standing
from basilpost.settings import schema
from basilpost.store import objects, vms

_VM_LIST_READER_KEY = "vm-list"
_STOP_TIMEOUT_ORDERS = 2  # multiple of the timeout of an order


class Controllers(kernel.Service):
    """All domain controllers of this node."""

    def __init__(
        self,
        *,
        kernel: kernel.Kernel,
        lease_remaining: contexts.LeaseRemaining,
        plan: Callable[[view.View], planner.Plan] = planner.plan,
    ) -> None:
        self._settings = kernel.find(names.SETTINGS, schema.NodeSettings)
        self._vm_list = kernel.find(names.VM_LIST, vms.VmList)
        self._directory = kernel.find(names.DIRECTORY, directory.Directory)
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._log = kernel.log
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._running: set[asyncio.Task[None]] = set()
        self._vms_by_id: dict[str, data.Vm] = {}
        self._controllers_by_domain: dict[str, domain_controller.DomainController] = {}
        self._load_budget = load_budget.LoadBudget(
            rate=self._settings.weight_store.loads_per_second,
            burst=self._settings.weight_store.load_burst,
        )
        self._context = contexts.Context(
            peers=self._peers,
            store=kernel.find(names.OBJECTS, objects.ObjectStore),
            replica=kernel.find(names.REPLICA, replica.Replica),
            standing=kernel.find(names.STANDING, standing.Standing),
            directory=self._directory,
            runner_client=kernel.find(names.RUNNER_CLIENT, runner_api.RunnerClient),
            timing=self._settings.timing,
            lease_remaining=lease_remaining,
            vms_by_id=lambda: self._vms_by_id,
            load_budget=self._load_budget,
            drain_seconds=self._settings.gateway.drain_seconds,
            plan=plan,
        )

    async def start(self) -> None:
        """Starts reading the VM list; controllers start as their domains become known."""
        self._tasks.keep_running(self._run, name="controllers")

    async def stop(self) -> None:
        """Stops all controllers after their current round, then releases their domains."""
        for controller in self._controllers_by_domain.values():
            controller.stop_after_round()
        if self._running:
            await asyncio.wait(
                self._running, timeout=_STOP_TIMEOUT_ORDERS * self._settings.timing.order
            )
        await self._tasks.close()
        await asyncio.gather(
            *(controller.step_down() for controller in self._controllers_by_domain.values())
        )
        self._controllers_by_domain.clear()

    async def stop_without_release(self) -> None:
        """Stops all controllers at once and releases no domain, as in a crash."""
        await self._tasks.close()
        self._controllers_by_domain.clear()

    def domain_controllers(self) -> tuple[domain_controller.DomainController, ...]:
        """Returns the controllers of all known domains, ordered by the domain's name."""
        return tuple(controller for _, controller in sorted(self._controllers_by_domain.items()))

    def holder_of(self, fabric_domain: str) -> str | None:
        """Returns the id of the node that holds a fabric domain, None if none is known."""
        table = self._directory.tables().get(fabric_domain)
        return table.holder.node_id if table and table.holder else None

    async def _run(self) -> None:
        while True:
            started_at = clock.monotonic()
            if self._reads_vm_list():
                await self._read_vms()
                await self._create_tables()
            self._start_domain_controllers()
            took = clock.monotonic() - started_at
            await asyncio.sleep(max(0.0, self._settings.timing.vm_list - took))

    def _reads_vm_list(self) -> bool:
        live = self._peers.live_nodes()
        elected = hashing.rendezvous_choice(_VM_LIST_READER_KEY, live) == self._peers.node_id
        return (
            elected
            or not self._vms_by_id
            or any(controller.is_holder for controller in self.domain_controllers())
        )

    async def _read_vms(self) -> None:
        listing = await self._vm_list.fetch(timeout=self._settings.timing.vm_list)
        if isinstance(listing, vms.ListUnavailable):
            self._log.warning("vm_list_unread", reason=listing.reason)
            return
        self._vms_by_id = listing.vms_by_id

    async def _create_tables(self) -> None:
        """Creates a table for each newly listed domain.

        Nodes that do not read the VM list learn of a domain by its table.
        """
        known = self._directory.tables()
        listed = {vm.fabric_domain for vm in self._vms_by_id.values()}
        for name in sorted(listed - known.keys()):
            empty = data.FabricTable(fabric_domain=name)
            created = await fabric_table.write(
                self._context.store, self._context.replica, empty, version=fabric_table.NO_VERSION
            )
            if not isinstance(created, fabric_table.VersionedTable):
                self._log.info("table_not_created", fabric_domain=name, reason=created.reason)

    def _start_domain_controllers(self) -> None:
        listed = {vm.fabric_domain for vm in self._vms_by_id.values()}
        known = listed | set(self._directory.tables())
        for name in sorted(known - self._controllers_by_domain.keys()):
            started = domain_controller.DomainController(fabric_domain=name, context=self._context)
            self._controllers_by_domain[name] = started
            self._running.add(self._tasks.spawn(started.run(), name=f"controller {name}"))
        held = sum(controller.is_holder for controller in self._controllers_by_domain.values())
        share = max(1, held) / max(1, len(self._controllers_by_domain))
        weights = self._settings.weight_store
        self._load_budget.set_rate(
            rate=weights.loads_per_second * share, burst=weights.load_burst * share
        )
