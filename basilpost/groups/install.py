"""Registers the services of this package with the kernel, each after those that it needs."""

from basilpost.core import kernel as kernels
from basilpost.core import names
from basilpost.groups import controllers, credits, health, http_runner_client, runner_api
from basilpost.members import lease


def install(kernel: kernels.Kernel) -> None:
    """Registers the runner client (unless there is one), controllers, health and slots."""
    try:
        kernel.find(names.ENGINES, runner_api.RunnerClient)
    except kernels.ServiceMissingError:
        kernel.register(names.ENGINES, http_runner_client.HttpRunnerClient())
    remaining = kernel.find(names.LEASE, lease.Lease).remaining
    kernel.register(
        names.CONTROLLERS, controllers.Controllers(kernel=kernel, lease_remaining=remaining)
    )
    kernel.register(names.HEALTH, health.TargetHealth(kernel=kernel))
    kernel.register(names.SLOTS, credits.CreditSlots(kernel=kernel))
