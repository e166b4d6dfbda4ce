"""Runs a controller for each fabric domain, and reads the VM list for them.

Every node runs one task for each known domain; the task does nothing unless this node is the domain's
preferred one. Only nodes that hold a domain, and one more that looks for new domains, read the VM list.
"""

import asyncio
from collections.abc import Callable

from basilpost.core import clock, data, hashing, kernel, names, tasks
from basilpost.groups import budget, domain_controller, fabric_table, planner, runner_api, view
from basilpost.groups import context as contexts
from basilpost.members import directory, peers, replica, standing
from basilpost.settings import schema
from basilpost.store import objects, vms

_SCOUT_KEY = "vm-list"
_FINISH_ORDERS = 2


class Controllers(kernel.Service):
    """The fabric domains' controllers on this node."""

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
        self._runs: set[asyncio.Task[None]] = set()
        self._vms_by_id: dict[str, data.Vm] = {}
        self._domains_by_name: dict[str, domain_controller.DomainController] = {}
        self._loads = budget.LoadBudget(
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
            loads=self._loads,
            drain=self._settings.gateway.drain_seconds,
            plan=plan,
        )

    async def start(self) -> None:
        """Starts reading the VM list; controllers start as their domains become known."""
        self._tasks.spawn(self._follow(), name="controllers")

    async def stop(self) -> None:
        """Stops all controllers after their rounds, then gives up the domains that they hold."""
        for one in self._domains_by_name.values():
            one.finish()
        if self._runs:
            await asyncio.wait(self._runs, timeout=_FINISH_ORDERS * self._settings.timing.order)
        await self._tasks.close()
        await asyncio.gather(*(one.step_down() for one in self._domains_by_name.values()))
        self._domains_by_name.clear()

    async def stop_without_release(self) -> None:
        """Stops all controllers and gives nothing up, as a crash does."""
        await self._tasks.close()
        self._domains_by_name.clear()

    def domain_controllers(self) -> tuple[domain_controller.DomainController, ...]:
        """Returns the controllers of all known domains, ordered by name."""
        return tuple(one for _, one in sorted(self._domains_by_name.items()))

    def holder_of(self, fabric_domain: str) -> str | None:
        """Returns the node that holds a fabric domain as far as this node knows."""
        found = self._directory.tables().get(fabric_domain)
        return found.holder.node_id if found and found.holder else None

    async def _follow(self) -> None:
        while True:
            started_at = clock.monotonic()
            if self._needs_vms():
                await self._read_vms()
                await self._announce_domains()
            self._adopt_domains()
            took = clock.monotonic() - started_at
            await asyncio.sleep(max(0.0, self._settings.timing.vm_list - took))

    def _needs_vms(self) -> bool:
        live = self._peers.live_nodes()
        scout = hashing.rendezvous_choice(_SCOUT_KEY, live) == self._peers.node_id
        return (
            scout or not self._vms_by_id or any(one.is_holder for one in self.domain_controllers())
        )

    async def _read_vms(self) -> None:
        found = await self._vm_list.fetch(timeout=self._settings.timing.vm_list)
        if isinstance(found, vms.ListUnavailable):
            self._log.warning("vm_list_unread", reason=found.reason)
            return
        self._vms_by_id = found.vms_by_id

    async def _announce_domains(self) -> None:
        """Creates the tables of new domains, by which the nodes that do not read the list know them."""
        known = self._directory.tables()
        listed = {vm.fabric_domain for vm in self._vms_by_id.values()}
        for name in sorted(listed - known.keys()):
            empty = data.FabricTable(fabric_domain=name)
            made = await fabric_table.write(
                self._context.store, self._context.replica, empty, version=fabric_table.NO_VERSION
            )
            if not isinstance(made, fabric_table.VersionedTable):
                self._log.info("table_not_created", fabric_domain=name, reason=made.reason)

    def _adopt_domains(self) -> None:
        listed = {vm.fabric_domain for vm in self._vms_by_id.values()}
        known = listed | set(self._directory.tables())
        for name in sorted(known - self._domains_by_name.keys()):
            found = domain_controller.DomainController(fabric_domain=name, context=self._context)
            self._domains_by_name[name] = found
            self._runs.add(self._tasks.spawn(found.run(), name=f"controller {name}"))
        held = sum(one.is_holder for one in self._domains_by_name.values())
        share = max(1, held) / max(1, len(self._domains_by_name))
        weights = self._settings.weight_store
        self._loads.scale(rate=weights.loads_per_second * share, burst=weights.load_burst * share)
