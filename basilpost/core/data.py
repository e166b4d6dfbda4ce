"""The records that all parts share: VMs, groups, configuration and observations.

Records are immutable; a change makes a new record. What a record means is written here once, so
that controllers, routing and administration cannot disagree about it.
"""

import dataclasses
import enum


class ServiceKind(enum.Enum):
    """What kind of back end serves a service."""

    MODEL = "model"
    PLAIN = "plain"


class GroupState(enum.Enum):
    """The life of a group; a group that is gone is absent from its table."""

    FORMING = "forming"
    LOADING = "loading"
    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"
    BROKEN = "broken"


SERVING_STATES = frozenset({GroupState.COLD, GroupState.READY})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vm:
    """A VM as the platform's list shows it.

    Attributes:
        vm_id: Platform's id of the VM.
        address: `host:port` of the runner or plain service on it.
        pool: Name that services claim VMs by.
        fabric_domain: Set of VMs with a fast interconnect; a group never crosses it.
        failure_domain: Set of VMs that fail or are taken out together.
        accelerators: Number of accelerators on the VM.
        leaving: True once the platform has announced that the VM goes away.
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
    """A serving group: the target that a request is routed to.

    An instance of a plain service is a group with one member.

    Attributes:
        group_id: Unique id, never used again.
        service: Name of the service it serves.
        model: Name of the loaded model, empty for a plain service.
        model_version: Version of the loaded model, empty for a plain service.
        generation: Rises with each change of membership; dispatch carries it.
        state: Where the group is in its life.
        fabric_domain: The fabric domain that all its members are in.
        failure_domain: The failure domain that all its members are in.
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
        """Returns True if the group may be given new work, under credits if it is cold."""
        return self.state in SERVING_STATES


@dataclasses.dataclass(frozen=True, kw_only=True)
class Holder:
    """The node with authority over a fabric domain.

    Attributes:
        node_id: The node that controls the domain.
        fence: Fencing number; rises with each change of holder and goes with each order.
    """

    node_id: str
    fence: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class FabricTable:
    """All groups of one fabric domain: one object, so that one update decides each VM's group.

    Attributes:
        fabric_domain: The domain.
        holder: The controlling node, None before the first one.
        groups: The groups by which VMs are taken.
        attempt_id: Unique id of the write, by which a writer recognises its own change.
    """

    fabric_domain: str
    holder: Holder | None = None
    groups: tuple[Group, ...] = ()
    attempt_id: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """A rule for the calls of a plain service; the longest matching prefix decides.

    Attributes:
        method: HTTP method in capitals, or `*`.
        path_prefix: Path below the service's root.
        idempotent: True if a call may be repeated.
        outcome_path: Path that tells what became of a key, with `{key}` in it; empty for none.
    """

    method: str = "*"
    path_prefix: str = "/"
    idempotent: bool = False
    outcome_path: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service as operators configure it.

    Attributes:
        name: Name of the service; for a model service also a name callers may use as `model`.
        kind: Model engine or plain service.
        pool: VMs of this pool serve it.
        model: Model to load.
        model_version: Version to load.
        vms_per_group: VMs that one replica spans.
        max_groups: Most groups to form, 0 for as many as the VMs allow.
        max_in_flight: Requests that a warm target bears at once.
        cold_max_in_flight: Requests that a target in a cold start bears at once.
        cold_seconds: Shortest time that a target stays cold under load.
        checks_fence: True if engines refuse orders with an old fencing number.
        routes: Rules for calls; a call that none matches is not idempotent.
        default_deadline_seconds: Deadline of a request that names none.
        stream_silence_seconds: Longest silence of a running answer before its target is given up.
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
        key_digests: Digests of the API keys that act for it.
        services: Services it may call; empty for all.
        weight: Share in fair queueing, relative to other workspaces.
        max_concurrency: Most requests in flight through one node.
        rate: Requests a second admitted by one node on average.
        burst: Requests admitted at once above the rate.
        priority: 0 is the highest.
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
    """An administrator's account; `role` is read, operate or administer."""

    name: str
    token_digest: str
    role: str = "read"


@dataclasses.dataclass(frozen=True, kw_only=True)
class AuditEntry:
    """One accepted change, stored in the same write as the change.

    Attributes:
        at: Time of the change, ISO 8601 in UTC.
        actor: Operator who made it.
        node_id: Node that wrote it.
        reason: Why, in the operator's words.
        before: The value before as JSON text, empty for a new object.
        after: The value after as JSON text.
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

    A deletion leaves an object with an empty value, because its audit entry is part of the write.
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
        """Returns True unless operators have taken the failure domain out."""
        found = self.failure_domains_by_name.get(failure_domain)
        return found is None or found.in_service


@dataclasses.dataclass(frozen=True, kw_only=True)
class Observation:
    """What a node saw of a target in one dispatch or probe.

    Attributes:
        reached: False if no connection or no answer came.
        failed: True if the target failed the request (not: refused it).
        latency: Seconds until the first byte, or until the failure.
        cold: True if the target said that it is in a cold start.
    """

    reached: bool
    failed: bool = False
    latency: float = 0.0
    cold: bool = False
