"""The settings of a node that reads its configuration and VMs from the platform's store.

All times are in seconds. The file is JSON with comments, generated from a template per machine.
"""

import dataclasses

DETOUR_PORT_OFFSET = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Service limits that the operators promise and that a node enforces.

    Attributes:
        grace_seconds: Time between SIGTERM and SIGKILL, in which a node drains.
        retry_share: Retries per request to a service, over all nodes.
        retry_reserve: Number of retries to a service allowed beyond that share, over all nodes; they
            cover a burst of failures.
    """

    grace_seconds: float
    retry_share: float
    retry_reserve: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class PoolNodeSettings:
    """The contents of the settings file of one node.

    Attributes:
        node_id: Unique name of the node.
        failure_domain: Failure domain that the node runs in.
        region: Region of the failure domain.
        host: IP address that the node listens on for its peers and for metrics.
        callers: `host:port` that the node listens on for callers.
        readiness: `host:port` for the readiness checks of the load balancer.
        peer_port: Port of the peer streams, the same on all nodes; the next port takes the requests of
            nodes that reach no runner.
        metrics_port: Port of the metrics endpoint.
        store: `host:port` of the platform's store.
        first_start: True if the whole system, not only this node, starts for the first time.
        bounds: Service limits.
        source_host: IP address from which the node connects to targets, empty for the system's choice.
        log_level: debug, info, warning or error.
        contracts: Parts of the platform's terms that are in force, by the platform's names; some of them
            ask for features of the node.
        memory_mb: Memory, in megabytes, that the process may use.
        max_descriptors: Descriptors that the process may have open; None for the system's limit on it.
    """

    node_id: str
    failure_domain: str
    region: str
    host: str
    callers: str
    readiness: str
    peer_port: int
    metrics_port: int
    store: str
    first_start: bool
    bounds: Bounds
    source_host: str = ""
    log_level: str = "info"
    contracts: tuple[str, ...] = ()
    memory_mb: int = 300
    max_descriptors: int | None = None

    @property
    def detour_port(self) -> int:
        """Returns the port that takes the requests of nodes that reach no runner."""
        return self.peer_port + DETOUR_PORT_OFFSET
