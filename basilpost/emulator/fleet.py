"""The emulated platform with its back ends in one process, for the demo and for tests."""

import dataclasses
import itertools

from basilpost.core import data
from basilpost.emulator import object_api, records, runner, server, service, vm_list, weight_store

MODEL_POOL = "models"
PLAIN_POOL = "plain"


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetPlan:
    """What a fleet consists of.

    Attributes:
        failure_domains: Names of the failure domains.
        fabric_domains: Fabric domains in each failure domain.
        vms_per_fabric_domain: VMs of model engines in each fabric domain.
        accelerators: Accelerators on each of these VMs.
        plain_instances: Instances of the plain service in each failure domain.
        runner: How the runners behave; the fleet fills in the weight store's address.
        loads_per_second: Rate at which loads from the weight store begin.
        load_seconds: Time of one load from the weight store.
        vm_list_lag: Seconds until the VM list shows a change.
    """

    failure_domains: tuple[str, ...] = ("a", "b", "c")
    fabric_domains: int = 1
    vms_per_fabric_domain: int = 8
    accelerators: int = 4
    plain_instances: int = 1
    runner: records.RunnerOptions = records.RunnerOptions()
    loads_per_second: float = 50.0
    load_seconds: float = 0.3
    vm_list_lag: float = 0.0


class Fleet:
    """The platform and all back ends of a plan.

    Attributes:
        objects: The object API.
        vms: The VM list.
        weights: The weight store.
        runners_by_vm_id: The model engines' runners.
        services_by_vm_id: The instances of the plain service.
        vms_by_id: All VMs with their addresses, those that were lost included.
    """

    def __init__(self, *, plan: FleetPlan | None = None) -> None:
        self.plan = plan or FleetPlan()
        self.objects = object_api.ObjectApi()
        self.vms = vm_list.VmListServer(lag=self.plan.vm_list_lag)
        self.weights = weight_store.WeightStore(
            loads_per_second=self.plan.loads_per_second, load_seconds=self.plan.load_seconds
        )
        self.runners_by_vm_id: dict[str, runner.Runner] = {}
        self.services_by_vm_id: dict[str, service.PlainService] = {}
        self.vms_by_id: dict[str, data.Vm] = {}

    @property
    def object_api_url(self) -> str:
        """Returns the base URL of the object API."""
        return f"http://{self.objects.address}"

    @property
    def vm_list_url(self) -> str:
        """Returns the base URL of the VM list."""
        return f"http://{self.vms.address}"

    async def start(self) -> None:
        """Starts all emulated servers and shows all VMs in the VM list at once, without the lag."""
        for emulated in (self.objects, self.vms, self.weights):
            await emulated.start()
        options = dataclasses.replace(
            self.plan.runner, weight_store=f"http://{self.weights.address}"
        )
        for vm in _vms_of(self.plan):
            back_end = self._create_back_end(vm, options)
            address = await back_end.start()
            self.vms_by_id[vm.vm_id] = dataclasses.replace(vm, address=address)
        self.vms.show_now(self.vms_by_id.values())

    async def stop(self) -> None:
        """Stops all emulated servers."""
        back_ends = [*self.runners_by_vm_id.values(), *self.services_by_vm_id.values()]
        for emulated in (*back_ends, self.weights, self.vms, self.objects):
            await emulated.stop()

    async def kill_vm(self, vm_id: str) -> None:
        """Stops a VM's back end without notice; the VM list still shows the VM."""
        await self._back_end_of(vm_id).stop()

    async def restart_vm(self, vm_id: str) -> None:
        """Starts a killed VM's back end again, at the same address and without a model."""
        await self._back_end_of(vm_id).start()

    async def lose_vm(self, vm_id: str) -> None:
        """Kills a VM and removes it from the VM list."""
        await self.kill_vm(vm_id)
        self.vms.remove(vm_id)

    async def return_vm(self, vm_id: str) -> None:
        """Restarts a lost VM and adds it to the VM list again."""
        await self.restart_vm(vm_id)
        self.vms.put(self.vms_by_id[vm_id])

    def announce_leaving(self, vm_id: str) -> None:
        """Marks a VM as leaving in the VM list; its back end keeps working."""
        self.vms.put(dataclasses.replace(self.vms_by_id[vm_id], leaving=True))

    def _create_back_end(
        self, vm: data.Vm, options: records.RunnerOptions
    ) -> server.EmulatedServer:
        if vm.pool == PLAIN_POOL:
            instance = service.PlainService(instance=vm.vm_id)
            self.services_by_vm_id[vm.vm_id] = instance
            return instance
        model_runner = runner.Runner(vm_id=vm.vm_id, options=options)
        self.runners_by_vm_id[vm.vm_id] = model_runner
        return model_runner

    def _back_end_of(self, vm_id: str) -> server.EmulatedServer:
        return self.runners_by_vm_id.get(vm_id) or self.services_by_vm_id[vm_id]


def _vms_of(plan: FleetPlan) -> list[data.Vm]:
    """Returns the VMs of a plan, without addresses."""
    engines = [
        data.Vm(
            vm_id=f"vm-{domain}-{fabric}-{number}",
            address="",
            pool=MODEL_POOL,
            fabric_domain=f"fabric-{domain}-{fabric}",
            failure_domain=domain,
            accelerators=plan.accelerators,
        )
        for domain, fabric, number in itertools.product(
            plan.failure_domains,
            range(1, plan.fabric_domains + 1),
            range(1, plan.vms_per_fabric_domain + 1),
        )
    ]
    instances = [
        data.Vm(
            vm_id=f"plain-{domain}-{number}",
            address="",
            pool=PLAIN_POOL,
            fabric_domain=f"fabric-{domain}-1",
            failure_domain=domain,
        )
        for domain, number in itertools.product(
            plan.failure_domains, range(1, plan.plain_instances + 1)
        )
    ]
    return engines + instances
