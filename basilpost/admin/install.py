"""Registers the administration API with a node's kernel."""

from basilpost.admin import api
from basilpost.core import kernel as kernels
from basilpost.core import names


def install(kernel: kernels.Kernel) -> None:
    """Registers the administration API; the services of `members` must be registered before."""
    kernel.register(names.ADMIN, api.AdminApi(kernel=kernel))
