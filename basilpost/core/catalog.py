"""Records of the operators' configuration and of the VMs with runners, on the users' platform.

The adapter in `basilpost.platform` decodes them from the platform's objects.
"""

import dataclasses
import enum


class Repeat(enum.Enum):
    """Whether a request of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """A service's share of the traffic of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """A rule for the requests of one host below one path prefix.

    Attributes:
        name: Name of the route.
        host: Host name, lower case.
        prefix: Path prefix; begins and ends with a slash.
        shares: Services that the route's traffic is split over.
        streaming: True if answers are server-sent events.
        repeat: Whether a request may run more than once.
        max_attempts: Most runners that one request may run on.
        timeout: Seconds after which the caller must have an answer.
        objective: Target for the seconds to the answer, or to a stream's first event; a faster one
            is worth no more.
        max_gap: Target for the longest time between two events of a stream, in seconds.
        priority: Priority of the route; 0 is the most urgent.
        anonymous: True if callers need no API key.
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
    """A model that a service serves with groups of VMs.

    Attributes:
        name: Name of the model.
        vms: Number of VMs in a group.
        pace: Factor by which all times of a group are multiplied.
        work_share: The model's expected share of the work, until demand is measured.
        load_seconds: Seconds to load the weights from the weight store.
        warm_seconds: Seconds to load weights that are already on the VM's host.
    """

    name: str
    vms: int
    pace: float
    work_share: float
    load_seconds: float
    warm_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineFigures:
    """What an engine's work takes, before the pace of a model.

    Attributes:
        step_seconds: Time of a step, in which each writing request gets one token.
        request_step_seconds: Additional time of a step for each writing request.
        context_step_seconds: Additional time for each thousand tokens of context.
        read_tokens_per_second: Prompt tokens that a group reads.
        pair_seconds: Additional reading time for each million pairs of a token and an earlier one.
        steps_per_pass: Steps between two events of a stream.
        memory_tokens: Tokens of prompts and answers that a group holds.
        usual_answer_tokens: Mean length of an answer.
    """

    step_seconds: float
    request_step_seconds: float
    context_step_seconds: float
    read_tokens_per_second: float
    pair_seconds: float
    steps_per_pass: int
    memory_tokens: int
    usual_answer_tokens: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Engine:
    """Capacity and models of the engines that a service's runners drive.

    Attributes:
        slots: Requests that a group works on concurrently.
        loads_per_second: Loads of weights that may begin per second, over all VMs.
        loads_at_once: Loads of weights that the weight store bears at the same time; with more of
            them each takes proportionally longer. None if there is no such limit.
        figures: What the engine's work takes, None if the operators do not say.
        open_seconds: Seconds between the order to open a group and the group's readiness.
        models: The models, in the operator's order.
    """

    slots: int
    loads_per_second: float
    open_seconds: float
    models: tuple[Model, ...]
    loads_at_once: int | None = None
    figures: EngineFigures | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service that requests are routed to.

    Attributes:
        name: Name of the service.
        cold_per_second: Requests per second that a runner can take during its cold start; 0 if its
            runners have none.
        engine: The engines of a service that groups of VMs serve; None for a plain service.
        health_path: Path of the health check of its runners, empty if the operators name none.
    """

    name: str
    cold_per_second: float
    engine: Engine | None
    health_path: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """A customer's workspace; its priority, if set, overrides that of the route."""

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on what a caller may send and on how long a connection may take or be idle."""

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
        workspaces_by_key: Workspaces by API key.
        limits: Limits on callers.
        checks_keys: False if it names no workspaces at all, so that requests need no key. A list of
            workspaces without keys allows no request.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, Service]
    workspaces_by_key: dict[str, Workspace]
    limits: Limits
    checks_keys: bool = True


class MemberState(enum.Enum):
    """The state of a VM in its group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Membership:
    """A VM's place in a group, as its runner reports it; rank 0 is the head of the group."""

    group: str
    epoch: int
    rank: int
    state: MemberState


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vm:
    """A VM with a live runner.

    Attributes:
        vm_id: Id of the runner on it.
        incarnation: Start time of that runner as the platform gives it, 0 if it gives none; with
            the id it identifies one lifetime.
        service: Name of the service that it serves.
        address: `host:port` for requests and orders.
        failure_domain: Failure domain that the VM is in.
        fabric_domain: Fabric domain that the VM is in, empty for plain services.
        slots: Requests that the runner works on concurrently.
        leaving: True once the runner has announced that it will stop.
        cold_seconds: Remaining seconds of the cold start when the report was read.
        staged: Names of the models whose weights are on the VM's host.
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
