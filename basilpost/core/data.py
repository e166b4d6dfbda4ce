"""Records that all packages share: VMs, groups, configuration and observations.

Records are immutable; a change makes a new record. The meaning of each field is defined here only,
so that controllers, routing and administration interpret it alike.
"""

import dataclasses
import enum


class ServiceKind(enum.Enum):
    """What kind of back end serves a service.

    MODEL: groups of VMs, each with the runner of a model engine.
    PLAIN: instances of an ordinary HTTP service, each of which is a group with one member.
    """

    MODEL = "model"
    PLAIN = "plain"


class GroupState(enum.Enum):
    """The states of a group; a group that no longer exists is absent from its table."""

    FORMING = "forming"
    LOADING = "loading"
    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"
    BROKEN = "broken"


SERVING_STATES = frozenset({GroupState.COLD, GroupState.READY})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vm:
    """A VM as an entry of the platform's list.

    Attributes:
        vm_id: The platform's id of the VM.
        address: `host:port` of the runner or plain service on it.
        pool: Name of the pool that the VM is in; a service uses the VMs of one pool.
        fabric_domain: Name of its set of VMs with a fast interconnect; a group lies within one.
        failure_domain: Name of its set of VMs that fail or are taken out of service together.
        accelerators: Number of accelerators on the VM.
        leaving: True once the platform has announced that it will remove the VM.
    """

    vm_id: str
    address: str
    pool: str
    fabric_domain: str
    failure_domain: str
    accelerators: int = 0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """A VM's place in a group; rank 0 receives the group's requests."""

    vm_id: str
    address: str
    rank: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Group:
    """A serving group, the target that a request is routed to.

    An instance of a plain service is a group with one member.

    Attributes:
        group_id: Unique id that is never reused.
        service: Name of the service it serves.
        model: Name of the loaded model, empty for a plain service.
        model_version: Version of the loaded model, empty for a plain service.
        generation: Rises with each change of membership; each dispatched request carries it.
        state: The current state.
        fabric_domain: The fabric domain of all its members.
        failure_domain: The failure domain of all its members.
        members: Its VMs, ordered by rank.
    """

    group_id: str
    service: str
    model: str = ""
    model_version: str = ""
    generation: int
    state: GroupState
    fabric_domain: str
    failure_domain: str
    members: tuple[Member, ...]

    @property
    def address(self) -> str:
        """Returns the address of rank 0, which receives the group's requests."""
        return self.members[0].address

    @property
    def serving(self) -> bool:
        """Returns True if the group may receive new work; a cold group needs credits for it."""
        return self.state in SERVING_STATES


@dataclasses.dataclass(frozen=True, kw_only=True)
class Holder:
    """The node that controls a fabric domain: it forms the groups there and sends orders to runners.

    Attributes:
        node_id: Id of the node.
        fence: Fencing token; rises with each change of holder and is sent with each order.
    """

    node_id: str
    fence: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class FabricTable:
    """All groups of one fabric domain, in one object: one update assigns each VM to one group.

    Attributes:
        fabric_domain: Name of the domain.
        holder: The controlling node, None before the first one.
        groups: All groups; their members are the VMs in use.
        attempt_id: Unique id of the write, by which a writer recognises its own change.
    """

    fabric_domain: str
    holder: Holder | None = None
    groups: tuple[Group, ...] = ()
    attempt_id: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """A rule for calls to a plain service; the one with the longest matching prefix applies.

    Attributes:
        method: HTTP method in capitals, or `*`.
        path_prefix: Path below the service's root.
        idempotent: True if a call may be repeated.
        outcome_path: Path with `{key}` in it, at which the service tells whether the call with that
            idempotency key has run; empty if there is none.
    """

    method: str = "*"
    path_prefix: str = "/"
    idempotent: bool = False
    outcome_path: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service as operators configure it.

    Attributes:
        name: Name of the service; callers may also use that of a model service as `model`.
        kind: Whether model engines or plain instances serve it.
        pool: Name of the pool whose VMs serve it.
        model: Model to load.
        model_version: Version to load.
        vms_per_group: Number of VMs in a group.
        max_groups: Largest number of groups to form, 0 for as many as the VMs allow.
        max_in_flight: Concurrent requests that a warm target can take.
        cold_max_in_flight: Concurrent requests that a target can take during its cold start.
        cold_seconds: Shortest time in seconds that a target stays cold under load.
        checks_fence: True if engines refuse orders with an old fencing token.
        routes: Rules for calls; a call that matches none counts as not idempotent.
        default_deadline_seconds: Time to the deadline of a request that sets none.
        stream_silence_seconds: Longest silence in a running answer before its target is given up.
    """

    name: str
    kind: ServiceKind
    pool: str
    model: str = ""
    model_version: str = ""
    vms_per_group: int = 1
    max_groups: int = 0
    max_in_flight: int = 16
    cold_max_in_flight: int = 2
    cold_seconds: float = 5.0
    checks_fence: bool = True
    routes: tuple[Route, ...] = ()
    default_deadline_seconds: float = 60.0
    stream_silence_seconds: float = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """A team that calls services.

    Attributes:
        name: Name of the workspace.
        key_digests: Digests of its API keys.
        services: Services it may call; empty for all.
        weight: Weight in the weighted fair queue.
        max_concurrency: Largest number of requests in flight through one node.
        rate: Requests per second that one node admits on average.
        burst: Requests that one node admits at once above the rate.
        priority: Priority of its requests; 0 is the highest.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    weight: float = 1.0
    max_concurrency: int = 256
    rate: float = 500.0
    burst: float = 500.0
    priority: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailureDomain:
    """A failure domain; it receives new work only while in service."""

    name: str
    region: str = ""
    in_service: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Operator:
    """An operator's account; `role` is read, operate or administer."""

    name: str
    token_digest: str
    role: str = "read"


@dataclasses.dataclass(frozen=True, kw_only=True)
class AuditEntry:
    """One accepted change, stored in the same write as the change.

    Attributes:
        at: Time of the change, ISO 8601 in UTC.
        actor: Name of the operator who made it.
        node_id: Id of the node that wrote it.
        reason: The reason that the operator gave.
        before: The previous value as JSON text, empty for a new object.
        after: The new value as JSON text.
        attempt_id: Unique id of the write.
    """

    at: str
    actor: str
    node_id: str
    reason: str
    before: str
    after: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigObject:
    """A configuration object as stored: the value as JSON text and its latest changes.

    A deletion stores an object with an empty value, because its audit entry is part of the write.
    """

    value: str
    audit: tuple[AuditEntry, ...] = ()

    @property
    def deleted(self) -> bool:
        """Returns True if the object counts as absent."""
        return not self.value


@dataclasses.dataclass(frozen=True, kw_only=True)
class Config:
    """The configuration in force on a node.

    A failure domain without an object of its own counts as in service.
    """

    services_by_name: dict[str, Service] = dataclasses.field(default_factory=dict)
    workspaces_by_name: dict[str, Workspace] = dataclasses.field(default_factory=dict)
    failure_domains_by_name: dict[str, FailureDomain] = dataclasses.field(default_factory=dict)
    operators_by_name: dict[str, Operator] = dataclasses.field(default_factory=dict)
    versions_by_key: dict[str, int] = dataclasses.field(default_factory=dict)

    def in_service(self, failure_domain: str) -> bool:
        """Returns True unless operators have taken the failure domain out of service."""
        domain = self.failure_domains_by_name.get(failure_domain)
        return domain is None or domain.in_service


@dataclasses.dataclass(frozen=True, kw_only=True)
class Observation:
    """The result of one dispatch to a target, or of one probe of it.

    Attributes:
        reached: False if no connection could be opened or no answer arrived.
        failed: True if the target failed to serve the request; False if it refused it.
        latency: Seconds until the first byte, or until the failure.
        cold: True if the target reported that it is in a cold start.
    """

    reached: bool
    failed: bool = False
    latency: float = 0.0
    cold: bool = False
