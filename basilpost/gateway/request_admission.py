"""Admits or refuses requests by the configuration and their headers alone."""

import dataclasses
import random

from basilpost.core import catalog, clock, failure
from basilpost.gateway import body_memory, inbound
from basilpost.members import knowledge as knowledges
from basilpost.routing import header_dialect, routes

# A revoked key must be refused by all nodes within 5 s. A node whose configuration is older than this
# may not know of a revocation and refuses requests that need a key.
KEY_CHECK_MAX_AGE_SECONDS = 4.6
UNAVAILABLE_RETRY_SECONDS = 0.5
# Rank of a request whose route is not known.
LOWEST_PRIORITY = 9
# Time budget of a request that names none; the route's timeout bounds it too.
DEFAULT_BUDGET_SECONDS = 30.0
# Largest body that is taken while no configuration is known.
UNKNOWN_MAX_BODY_BYTES = 65_536


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmittedRequest:
    """A request that may be sent to a target.

    Attributes:
        call: What the headers of the request say.
        route: The route that matches its host and path.
        service: The service chosen for it by the route's weights.
        workspace: Name of its workspace, empty on an anonymous route without a known key.
        priority: Rank in the runner's queue, 0 is first.
        deadline: Time on `clock.elapsed` by which the caller must have its answer.
        configuration: Version of the configuration that it was admitted by.
    """

    call: header_dialect.RequestInfo
    route: catalog.Route
    service: catalog.Service
    workspace: str
    priority: int
    deadline: float
    configuration: int


class RequestAdmission:
    """Admits requests by the configuration that the node knows."""

    def __init__(
        self,
        *,
        knowledge: knowledges.Knowledge,
        dialect: header_dialect.HeaderDialect,
        rng: random.Random,
    ) -> None:
        self._knowledge = knowledge
        self._dialect = dialect
        self._rng = rng
        self._table: tuple[catalog.Configuration, routes.RouteTable] | None = None

    def admit(self, request: inbound.Request) -> AdmittedRequest | failure.Refusal:
        """Returns the admitted request, or the refusal if it cannot be served."""
        configuration = self._knowledge.configuration
        if configuration is None:
            return _no_configuration()
        route = self._routes(configuration).find(request.headers.get("Host", ""), request.path)
        if route is None:
            return _refusal("no_route", 404, "no route matches host and path")
        call = self._dialect.parse_request(request.headers)
        workspace = configuration.workspaces_by_key.get(call.key)
        if configuration.checks_keys and not route.anonymous:
            if self._knowledge.configuration_age() > KEY_CHECK_MAX_AGE_SECONDS:
                return _unavailable("keys_not_fresh", "keys cannot be checked now")
            if workspace is None:
                return _refusal("unknown_key", 401, "the API key is unknown")
        service = configuration.services_by_name.get(routes.choose_service(route, self._rng))
        if service is None:
            return _unavailable("no_service", "the route's service is not configured")
        budget = min(
            route.timeout,
            DEFAULT_BUDGET_SECONDS if call.budget_seconds is None else call.budget_seconds,
        )
        has_priority = workspace is not None and workspace.priority is not None
        return AdmittedRequest(
            call=call,
            route=route,
            service=service,
            workspace=workspace.name if workspace is not None else "",
            priority=workspace.priority if has_priority else route.priority,  # type: ignore
            deadline=request.received_at + budget,
            configuration=configuration.version,
        )

    def refuse_long_head(self, request: inbound.Request) -> failure.Refusal | None:
        """Returns the refusal of a request whose head is longer than the operators allow, else None."""
        configuration = self._knowledge.configuration
        if configuration is None or not configuration.limits.max_header_bytes:
            return None
        max_bytes = configuration.limits.max_header_bytes
        if _least_head_bytes(request) <= max_bytes:
            return None
        return _refusal("head_too_large", 431, f"the head is larger than {max_bytes} bytes")

    def make_body(
        self, request: inbound.Request, memory: body_memory.BodyMemory
    ) -> body_memory.Body:
        """Returns the collector of a request's body, under the limit of the operators."""
        configuration = self._knowledge.configuration
        if configuration is None:
            return body_memory.Body(
                memory=memory,
                max_bytes=UNKNOWN_MAX_BODY_BYTES,
                terms=lambda: self._wait_terms(request),
                # The operators may allow it.
                excess=_no_configuration(),
                time_limits=lambda: self._time_limits(request),
            )
        return body_memory.Body(
            memory=memory,
            max_bytes=configuration.limits.max_body_bytes,
            terms=lambda: self._wait_terms(request),
            time_limits=lambda: self._time_limits(request),
        )

    def _time_limits(self, request: inbound.Request) -> body_memory.TimeLimits:
        """Returns the operators' limit on a slow head for pauses, and the request's budget."""
        configuration = self._knowledge.configuration
        idle = 0.0 if configuration is None else configuration.limits.header_seconds
        budget = self._dialect.parse_request(request.headers).budget_seconds
        return body_memory.TimeLimits(
            idle_seconds=idle if idle > 0.0 else body_memory.DEFAULT_SECONDS,
            whole_seconds=DEFAULT_BUDGET_SECONDS if budget is None else budget,
        )

    def _wait_terms(self, request: inbound.Request) -> body_memory.WaitTerms:
        configuration = self._knowledge.configuration
        route = None
        if configuration is not None:
            route = self._routes(configuration).find(request.headers.get("Host", ""), request.path)
        budget = self._dialect.parse_request(request.headers).budget_seconds
        return body_memory.WaitTerms(
            priority=LOWEST_PRIORITY if route is None else route.priority,
            wait_seconds=min(
                body_memory.MAX_WAIT_SECONDS,
                body_memory.WAIT_SHARE * (DEFAULT_BUDGET_SECONDS if budget is None else budget),
            ),
        )

    def _routes(self, configuration: catalog.Configuration) -> routes.RouteTable:
        if self._table is None or self._table[0] is not configuration:
            self._table = (configuration, routes.RouteTable(configuration))
        return self._table[1]


def seconds_left(admitted: AdmittedRequest) -> float:
    """Returns the seconds left until a request's deadline."""
    return admitted.deadline - clock.elapsed()


def _least_head_bytes(request: inbound.Request) -> int:
    """Returns the length of the shortest head that has the method, target and headers of a request."""
    lines = (len(name) + len(value) for name, value in request.headers.get_all())
    start_line = len(request.method) + len(request.target) + len("  HTTP/1.1")
    return start_line + sum(length + len(":\r\n") for length in lines) + len("\r\n\r\n")


def _refusal(code: str, status: int, reason: str) -> failure.Refusal:
    return failure.Refusal(reason=reason, code=code, status=status)


def _unavailable(code: str, reason: str) -> failure.Refusal:
    return failure.Refusal(
        reason=reason, code=code, status=503, retry_after=UNAVAILABLE_RETRY_SECONDS
    )


def _no_configuration() -> failure.Refusal:
    return _unavailable("starting", "no configuration is known yet")
