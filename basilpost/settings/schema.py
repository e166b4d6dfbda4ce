"""The settings of one node process.

All times are in seconds. Whatever operators change while the system runs is configuration, which
lives in the object store; settings say only who a node is, where it listens and whom it talks to.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listen:
    """An address to listen on; port 0 takes a free one."""

    host: str = "127.0.0.1"
    port: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Gateway:
    """The callers' side.

    Attributes:
        listen: Address for callers.
        max_body_bytes: Largest request body.
        max_answer_bytes: Largest answer that is kept in memory for a repeat.
        max_buffered_bytes: Most bytes of bodies held at once by the node.
        upload_seconds: Longest time an upload may take.
        max_queued: Most requests that wait for a slot at once.
        drain_grace_seconds: Time between readiness off and refusing new work on a planned stop.
        drain_seconds: Longest time a planned stop waits for requests in flight.
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
    """Another node that this one knows from its settings."""

    node_id: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerStreams:
    """The streams between nodes.

    Attributes:
        listen: Address for peers.
        advertise: `host:port` that peers reach this node by; empty for the listening address.
        secret: Shared secret of the handshake.
        seeds: Nodes to contact first; the node table in the store names the others.
        full_mesh_nodes: Up to this many nodes all are connected to all.
        neighbours: Connections that a node opens beyond that size.
        min_watchers: Nodes of each region that watch the store beyond that size, at least.
        nodes_per_watcher: Nodes of a region for each one that watches.
        tls_certificate: Path of this node's certificate, empty for no TLS.
        tls_key: Path of its key.
        tls_authority: Path of the authority that signs all nodes' certificates.
    """

    listen: Listen = Listen()
    advertise: str = ""
    secret: str = ""
    seeds: tuple[Peer, ...] = ()
    full_mesh_nodes: int = 16
    neighbours: int = 6
    min_watchers: int = 3
    nodes_per_watcher: int = 8
    tls_certificate: str = ""
    tls_key: str = ""
    tls_authority: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Platform:
    """Where the platform's interfaces are, as base URLs such as `http://10.0.0.5:8000`.

    Attributes:
        object_api: Object API.
        vm_list: VM list.
        calls_per_second: This node's budget of object API calls.
        calls_burst: Calls that may be made at once above it.
    """

    object_api: str
    vm_list: str
    calls_per_second: float = 40.0
    calls_burst: float = 80.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Intervals of the protocols between nodes and towards targets.

    Attributes:
        heartbeat: Interval of heartbeats on a peer stream.
        peer_silence: Silence after which a peer stream is dropped and reopened.
        lease: Length of a node's lease.
        lease_renewal: Interval of its renewals.
        watch_wait: Longest wait of one watch call.
        store_silence: Age of the last store contact after which the store counts as out of reach.
        isolation: Time after which a node that hears nobody has surely stopped dispatching.
        clock_jump: Jump of the event loop's clock that counts as a pause of the process.
        vm_list: Interval of reading the VM list.
        probe: Interval of probing a target.
        probe_timeout: Longest wait for a probe's answer.
        suspicion: How long a silent member may stay away before its group is rebuilt.
        plan: Interval of a controller's rounds.
        credit: Length of a credit.
        claim_fresh: Age up to which a claim may be dispatched without re-reading it.
        order: Longest time that an order can be in flight.
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
    """The platform's weight store.

    Attributes:
        loads_per_second: Rate at which whole VM loads may be started, all nodes together.
        load_burst: Loads that may be started at once.
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
    """The settings file of `basilpost node`.

    Attributes:
        node_id: Unique name of the node.
        failure_domain: Failure domain that the node runs in.
        region: Region of the failure domain.
        platform: Where the platform's interfaces are.
        gateway: The callers' side.
        admin: Address for operators.
        admin_token_digest: SHA-256 in hexadecimal of a token that may administer, by which the
            first operators get their accounts; empty for none.
        peers: The streams to other nodes.
        timing: Intervals.
        weight_store: Rate of the platform's weight store.
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
