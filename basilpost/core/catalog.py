"""Records of what operators configured and of the VMs that runners live on.

An adapter decodes them from the platform's objects; everything else works on these.
"""

import dataclasses
import enum


class Repeat(enum.Enum):
    """How often a request of a route may run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """A service's share of the traffic of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Requests of one host below one path prefix.

    Attributes:
        name: Name of the route.
        host: Host name, lower case.
        prefix: Path prefix; begins and ends with a slash.
        shares: Services that the route's traffic is split over.
        streaming: True if answers are server-sent events.
        repeat: Whether a request may run more than once.
        max_attempts: Most runners that one request may run on.
        timeout: Seconds after which the caller must have an answer.
        objective: Seconds to the answer, or to a stream's first event, that earn full value.
        max_gap: Seconds between events of a stream that is still on time.
        priority: Rank of the route, 0 is the most urgent.
        anonymous: True if callers need no key.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    streaming: bool
    repeat: Repeat
    max_attempts: int
    timeout: float
    objective: float
    max_gap: float
    priority: int
    anonymous: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Model:
    """A model that a service serves by groups of VMs.

    Attributes:
        name: Name of the model.
        vms: VMs in a group.
        pace: Factor on all times of a group.
        work_share: The model's share of the work at the start.
        load_seconds: Time to load the weights from the weight store.
        warm_seconds: Time to load the weights from the VM's host.
    """

    name: str
    vms: int
    pace: float
    work_share: float
    load_seconds: float
    warm_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Engine:
    """What the engines of a service's runners can do.

    Attributes:
        slots: Requests that a group works on at once.
        loads_per_second: Loads that may begin per second over all VMs.
        open_seconds: Time between the order to open a group and its readiness.
        models: The models, in the operator's order.
    """

    slots: int
    loads_per_second: float
    open_seconds: float
    models: tuple[Model, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service that requests are routed to.

    Attributes:
        name: Name of the service.
        cold_per_second: Requests per second that a cold runner bears; 0 if runners are never cold.
        engine: Set if groups of VMs serve the service; None for plain services.
    """

    name: str
    cold_per_second: float
    engine: Engine | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """A customer's workspace; its priority, if set, goes before that of routes."""

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """What a caller may send, and how long a connection may take or stay idle, in seconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: Rises with each change.
        routes: All routes.
        services_by_name: All services.
        workspaces_by_key: The workspace of each API key.
        limits: Limits on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, Service]
    workspaces_by_key: dict[str, Workspace]
    limits: Limits


class MemberState(enum.Enum):
    """How far a VM is in its group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Membership:
    """A VM's place in a group, as its runner reports it; rank 0 is the head."""

    group: str
    epoch: int
    rank: int
    state: MemberState


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vm:
    """A VM with a live runner.

    Attributes:
        vm_id: Id of the runner on it.
        incarnation: Start of that runner; id and incarnation name one lifetime.
        service: Its service.
        address: `host:port` for requests and orders.
        failure_domain: Failure domain that the VM is in.
        fabric_domain: Fabric domain, empty for plain services.
        slots: Requests that it works on at once.
        leaving: True once the runner has said that it will stop.
        cold_seconds: How much longer it stays cold, from when the report was seen.
        staged: Models whose weights are on the VM's host.
        member: Its place in a group, None if it is in none.
    """

    vm_id: str
    incarnation: int
    service: str
    address: str
    failure_domain: str
    fabric_domain: str
    slots: int
    leaving: bool
    cold_seconds: float
    staged: tuple[str, ...]
    member: Membership | None
