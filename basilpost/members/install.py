"""Registers the membership services in the order of their dependencies."""

from basilpost.core import kernel as kernels
from basilpost.core import names
from basilpost.members import (
    lease,
    node_table,
    quorum_standing,
    replica_directory,
    store_replica,
    streams,
    transport,
)


def install(kernel: kernels.Kernel, *, peer_transport: transport.Transport | None = None) -> None:
    """Registers peer streams, replica, lease, standing and directory.

    The kernel stops them in reverse order, so that on a planned stop the lease announces the
    departure while the streams are still open.

    Args:
        kernel: Holds the settings and the object store, and gets the services.
        peer_transport: Transport of the peer streams, by default TCP.
    """
    table = node_table.NodeTable()
    kernel.register(
        names.PEERS, streams.Streams(kernel=kernel, table=table, peer_transport=peer_transport)
    )
    kernel.register(names.REPLICA, store_replica.StoreReplica(kernel=kernel, table=table))
    kernel.register(names.LEASE, lease.StoreLease(kernel=kernel, table=table))
    kernel.register(names.STANDING, quorum_standing.QuorumStanding(kernel=kernel, table=table))
    kernel.register(names.DIRECTORY, replica_directory.ReplicaDirectory(kernel=kernel))
