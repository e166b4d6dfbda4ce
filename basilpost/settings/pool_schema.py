"""The settings of a node that serves a pool of VMs behind a platform's store.

All times are in seconds. The file is JSON with comments; a template fills it in for each machine.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """What the operators promise their users, as far as a node acts on it.

    Attributes:
        grace_seconds: Time between SIGTERM and SIGKILL.
        retry_share: Repeats per request to a service, over all nodes.
        retry_reserve: Repeats beyond that share.
    """

    grace_seconds: float
    retry_share: float
    retry_reserve: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class PoolNodeSettings:
    """The settings file.

    Attributes:
        node_id: Unique name of the node.
        failure_domain: Failure domain that it runs in.
        region: Region of the failure domain.
        host: IP number that the node listens on for its peers and for metrics.
        callers: `host:port` for callers.
        readiness: `host:port` for the balancer's readiness checks.
        peer_port: Port of the peer streams, the same on all nodes.
        metrics_port: Port of the metrics.
        store: `host:port` of the platform's store.
        first_start: True if the whole system starts for the first time.
        bounds: Promises to users.
        log_level: debug, info, warning or error.
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
    log_level: str = "info"
