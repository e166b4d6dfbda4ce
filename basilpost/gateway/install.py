"""Registers the gateway with a node's kernel."""

from basilpost.core import kernel, names
from basilpost.gateway import server


def install(kernel: kernel.Kernel) -> None:
    """Registers the gateway."""
    kernel.register(names.GATEWAY, server.Gateway(kernel=kernel))
