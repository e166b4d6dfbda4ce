"""Registers the gateway with a node's kernel."""

from basilpost.core import kernel, names
from basilpost.gateway import outcome_lookup, server
from basilpost.members import directory
from basilpost.runs import store_ledger


def install(kernel: kernel.Kernel) -> None:
    """Registers the gateway, and gives the ledger a look-up of unknown outcomes at services."""
    kernel.register(names.GATEWAY, server.Gateway(kernel=kernel))
    services = kernel.find(names.DIRECTORY, directory.Directory)
    request_ledger = kernel.find(names.LEDGER, store_ledger.StoreLedger)
    request_ledger.use_lookup(outcome_lookup.InstanceLookup(directory=services))
