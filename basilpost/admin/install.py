"""Registers the administration API with a node's kernel."""

from basilpost.admin import api
from basilpost.core import kernel as kernels
from basilpost.core import names


def install(kernel: kernels.Kernel) -> None:
    """Adds the administration API; the members' services have to be registered before."""
    kernel.register(names.ADMIN, api.AdminApi(kernel=kernel))
