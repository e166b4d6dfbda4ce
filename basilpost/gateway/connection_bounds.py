"""Divides the descriptors and the memory of a node among the connections that others open to it.

What is left is for the store, peers, runners and files: a node without these serves nobody.
"""

import dataclasses
import resource

from basilpost.gateway import body_memory

# Shares of the descriptors of a process.
CALLERS_SHARE = 0.7
NODES_SHARE = 0.15
# Share of the memory of a node for connections of callers, and what one of them takes without its
# request, in bytes.
MEMORY_SHARE = 0.33
CONNECTION_BYTES = 32_768


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Largest numbers of open connections, by who opens them.

    Attributes:
        callers: Connections of callers.
        nodes: Connections of nodes that reach no runner.
    """

    callers: int
    nodes: int


def divide(*, max_descriptors: int | None, memory_mb: int) -> Bounds:
    """Returns the bounds for a node; without `max_descriptors` the process's own limit holds."""
    if max_descriptors is None:
        max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    by_memory = memory_mb * body_memory.BYTES_PER_MB * MEMORY_SHARE / CONNECTION_BYTES
    if max_descriptors == resource.RLIM_INFINITY:
        descriptors = by_memory / CALLERS_SHARE
    else:
        descriptors = min(by_memory / CALLERS_SHARE, max_descriptors)
    return Bounds(
        callers=max(1, int(descriptors * CALLERS_SHARE)),
        nodes=max(1, int(descriptors * NODES_SHARE)),
    )
