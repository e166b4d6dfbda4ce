"""Emulates the platform's VM list, which shows each change only after a lag."""

import dataclasses
from collections.abc import Iterable

from basilpost.core import clock, codec, data
from basilpost.emulator import server


class VmListServer(server.EmulatedServer):
    """Serves a list of VMs from memory; a change is shown `lag` seconds after it was made."""

    compresses = True

    def __init__(
        self,
        *,
        vms: tuple[data.Vm, ...] = (),
        lag: float = 0.0,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        super().__init__(host=host, port=port)
        self.lag = lag
        self._vms_by_id = {vm.vm_id: vm for vm in vms}
        self._pending: list[tuple[float, str, data.Vm | None]] = []

    def put(self, vm: data.Vm) -> None:
        """Adds or replaces a VM after the lag."""
        self._pending.append((clock.monotonic() + self.lag, vm.vm_id, vm))

    def remove(self, vm_id: str) -> None:
        """Removes a VM after the lag."""
        self._pending.append((clock.monotonic() + self.lag, vm_id, None))

    def show_now(self, vms: Iterable[data.Vm]) -> None:
        """Adds or replaces VMs at once."""
        self._vms_by_id.update({vm.vm_id: vm for vm in vms})

    def shown(self) -> list[data.Vm]:
        """Returns the VMs that the list shows now."""
        now = clock.monotonic()
        while self._pending and self._pending[0][0] <= now:
            _, vm_id, vm = self._pending.pop(0)
            if vm is None:
                self._vms_by_id.pop(vm_id, None)
            else:
                self._vms_by_id[vm_id] = vm
        return list(self._vms_by_id.values())

    def routes(self) -> server.Routes:
        """Returns the handlers of the VM list."""
        return [
            (r"/v1/vms", _VmsHandler, {"owner": self}),
            (r"/v1/vms/([^/]+)", _VmHandler, {"owner": self}),
        ]


class _VmsHandler(server.JsonHandler):
    def initialize(self, owner: VmListServer) -> None:
        self.owner = owner

    def get(self) -> None:
        self.answer({"vms": [dataclasses.asdict(vm) for vm in self.owner.shown()]})


class _VmHandler(_VmsHandler):
    def put(self, vm_id: str) -> None:
        try:
            vm = codec.from_json(self.request.body, data.Vm)
        except ValueError as error:
            self.answer({"error": {"code": "bad_vm", "message": str(error)}}, status=400)
            return
        self.owner.put(dataclasses.replace(vm, vm_id=vm_id))
        self.answer_nothing()

    def delete(self, vm_id: str) -> None:
        self.owner.remove(vm_id)
        self.answer_nothing()
