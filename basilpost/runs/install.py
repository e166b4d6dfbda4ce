"""Registers the services of this package with a node's kernel."""

from basilpost.core import kernel, names
from basilpost.runs import lookup, store_ledger


def install(kernel: kernel.Kernel, *, outcome_lookup: lookup.OutcomeLookup | None = None) -> None:
    """Registers the ledger; the store, the peers and the settings must be registered before."""
    found = store_ledger.StoreLedger(kernel=kernel, outcome_lookup=outcome_lookup)
    kernel.register(names.LEDGER, found)
