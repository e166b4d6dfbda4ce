"""The settings of one node process.

All times are in seconds. Settings identify one node, its listening addresses and what it connects
to. Everything that operators change while the system runs is configuration in the object store.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listen:
    """An address that the node listens on.

    Attributes:
        host: IP address or host name.
        port: TCP port, 0 for any free port.
    """

    host: str = "127.0.0.1"
    port: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Gateway:
    """The HTTP gateway for callers.

    Attributes:
        listen: Address for callers.
        max_body_bytes: Largest accepted request body.
        max_answer_bytes: Largest answer kept in memory to be replayed for a repeated request.
        max_buffered_bytes: Limit on the bytes of all request bodies in memory.
        upload_seconds: Limit on the time to receive a request body.
        max_queued: Limit on the number of requests that wait for a slot.
        drain_grace_seconds: Time on a planned stop for which the node still accepts requests after it
            has begun to report not ready, because the load balancer needs time to notice.
        drain_seconds: Longest time that a planned stop waits for requests in flight.
    """

    listen: Listen = Listen()
    max_body_bytes: int = 4_000_000
    max_answer_bytes: int = 1_000_000
    max_buffered_bytes: int = 32_000_000
    upload_seconds: float = 20.0
    max_queued: int = 2000
    drain_grace_seconds: float = 2.0
    drain_seconds: float = 600.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Peer:
    """The id and `host:port` of another node."""

    node_id: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerStreams:
    """The connections between nodes.

    Attributes:
        listen: Address for peers.
        advertise: `host:port` that peers reach this node by; empty for the listening address.
        secret: Shared secret of the handshake.
        seeds: Nodes to connect to first; the node table in the store lists the others.
        full_mesh_nodes: Largest number of nodes that form a full mesh.
        neighbours: Connections that a node opens if there are more nodes than that.
        far_neighbours: Those of them that may lead to any region; the others stay in the node's own
            one, where there are nodes enough. Half of them by default.
        min_watchers: Minimum number of nodes per region that watch the store in that case.
        nodes_per_watcher: Nodes of a region for each node that watches the store.
        tls_certificate: Path of this node's certificate, empty for no TLS.
        tls_key: Path of its private key.
        tls_authority: Path of the certificate of the authority that signs all nodes' certificates.
    """

    listen: Listen = Listen()
    advertise: str = ""
    secret: str = ""
    seeds: tuple[Peer, ...] = ()
    full_mesh_nodes: int = 16
    neighbours: int = 6
    far_neighbours: int | None = None
    min_watchers: int = 3
    nodes_per_watcher: int = 8
    tls_certificate: str = ""
    tls_key: str = ""
    tls_authority: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Platform:
    """The interfaces of the platform, and the rate limit of calls to them.

    The platform is the users' environment outside the system: it runs the VMs, lists them and stores
    the objects that the nodes share.

    Attributes:
        object_api: Base URL of the object API, such as `http://10.0.0.5:8000`.
        vm_list: Base URL of the VM list.
        calls_per_second: Limit on this node's rate of object API calls.
        calls_burst: Limit on calls in a burst.
    """

    object_api: str
    vm_list: str
    calls_per_second: float = 40.0
    calls_burst: float = 80.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Intervals and timeouts of the protocols between nodes and with targets, in seconds.

    Attributes:
        heartbeat: Interval of heartbeats on a peer stream.
        peer_silence: Silence after which a peer stream is dropped and reopened.
        lease: Duration of a node's lease.
        lease_renewal: Interval of lease renewals.
        watch_wait: Longest wait of one watch call.
        store_silence: Time without an answer of the object store after which it counts as unreachable.
        isolation: Time after which a node that reaches neither the object store nor a majority of the
            nodes has certainly stopped dispatching.
        clock_jump: Jump of the event loop's clock that counts as a pause of the process.
        vm_list: Interval of polling the VM list.
        probe: Interval of probing a target.
        probe_timeout: Longest wait for a probe's answer.
        suspicion: Time that a member may be silent before its group is rebuilt.
        plan: Interval at which a controller, the node in charge of a fabric domain's groups, compares
            them with the configuration and sends orders to runners.
        credit: Time for which a credit is valid. A credit is a controller's permission for a node to
            use a slot on a target.
        claim_fresh: Age up to which a node may dispatch a request without reading its claim again. A
            claim is the right to dispatch a request once, which is recorded in the object store.
        order: Longest time that an order can be in flight, which is a controller's command to a runner
            to join or leave a group.
    """

    heartbeat: float = 1.0
    peer_silence: float = 3.0
    lease: float = 10.0
    lease_renewal: float = 3.0
    watch_wait: float = 10.0
    store_silence: float = 6.0
    isolation: float = 8.0
    clock_jump: float = 2.0
    vm_list: float = 2.0
    probe: float = 1.0
    probe_timeout: float = 1.0
    suspicion: float = 4.0
    plan: float = 0.5
    credit: float = 2.0
    claim_fresh: float = 3.0
    order: float = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class WeightStore:
    """Limits on loading model weights from the platform's weight store.

    Attributes:
        loads_per_second: Limit on the rate of weight loads, one per VM, over all nodes.
        load_burst: Limit on loads started in a burst.
    """

    loads_per_second: float = 4.0
    load_burst: int = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class Log:
    """Logging: `format` is json or console, `level` is debug, info, warning or error."""

    format: str = "json"
    level: str = "info"


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """The contents of the settings file of `basilpost node`.

    Attributes:
        node_id: Unique name of the node.
        failure_domain: Failure domain that the node runs in.
        region: Region of the failure domain.
        platform: The interfaces of the users' platform.
        gateway: The HTTP gateway for callers.
        admin: Address of the administration API for operators.
        admin_token_digest: SHA-256 in hexadecimal of an administrator's token, with which the first
            operator accounts are created; empty for none.
        peers: The connections to other nodes.
        timing: Intervals and timeouts.
        weight_store: Rate limit of the platform's weight store.
        log: Logging.
    """

    node_id: str
    failure_domain: str
    region: str = ""
    platform: Platform
    gateway: Gateway = Gateway()
    admin: Listen = Listen()
    admin_token_digest: str = ""
    peers: PeerStreams = PeerStreams()
    timing: Timing = Timing()
    weight_store: WeightStore = WeightStore()
    log: Log = Log()
