"""Registers the services of this package with a node's kernel."""

from basilpost.core import kernel, names
from basilpost.members import peers, replica
from basilpost.runs import leases, lookup, store_ledger
from basilpost.settings import schema


def install(kernel: kernel.Kernel, *, outcome_lookup: lookup.OutcomeLookup | None = None) -> None:
    """Registers the ledger.

    The store, the peers, the replica and the settings must be registered before.

    Args:
        kernel: The node's kernel.
        outcome_lookup: Asks services what became of requests, None if no service can be asked.
    """
    node_leases = leases.ReplicaLeases(
        replica=kernel.find(names.REPLICA, replica.Replica),
        peers=kernel.find(names.PEERS, peers.PeerNetwork),
        timing=kernel.find(names.SETTINGS, schema.NodeSettings).timing,
    )
    node_ledger = store_ledger.StoreLedger(
        kernel=kernel, outcome_lookup=outcome_lookup, node_leases=node_leases
    )
    kernel.register(names.LEDGER, node_ledger)
