"""Decides from configuration and headers alone whether and how a request is served."""

import dataclasses
import random

from basilpost.core import catalog, clock, failure
from basilpost.gateway import inbound
from basilpost.members import knowledge as knowledges
from basilpost.routing import header_dialect, routes

# A key that was taken away must be refused everywhere within 5 s; beyond this age of the
# configuration a node cannot tell which keys those are.
KEY_FRESH_SECONDS = 4.6
STARTING_RETRY_SECONDS = 0.5
# What a request without a time budget gets.
DEFAULT_BUDGET_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """A request that may be sent to a target.

    Attributes:
        call: What its headers say.
        route: Its route.
        service: The service chosen for it.
        workspace: Its workspace, empty on an anonymous route without a key.
        priority: Its rank, 0 is first.
        deadline: Time on `clock.elapsed` by which the caller has its answer.
        configuration: Version that it was admitted by.
    """

    call: header_dialect.RequestInfo
    route: catalog.Route
    service: catalog.Service
    workspace: str
    priority: int
    deadline: float
    configuration: int


class Admitting:
    """Admits requests by the configuration in force."""

    def __init__(
        self,
        *,
        knowledge: knowledges.Knowledge,
        dialect: header_dialect.HeaderDialect,
        chance: random.Random,
    ) -> None:
        self._knowledge = knowledge
        self._dialect = dialect
        self._chance = chance
        self._table: tuple[catalog.Configuration, routes.RouteTable] | None = None

    def admit(self, request: inbound.Request) -> Admitted | failure.Refusal:
        """Admits a request or says why not."""
        configuration = self._knowledge.configuration
        if configuration is None:
            return _not_now("starting", "no configuration is known yet")
        route = self._routes(configuration).find(request.headers.get("Host", ""), request.path)
        if route is None:
            return _refused("no_route", 404, "no route matches host and path")
        call = self._dialect.parse_request(request.headers)
        workspace = configuration.workspaces_by_key.get(call.key)
        if not route.anonymous:
            if self._knowledge.configuration_age() > KEY_FRESH_SECONDS:
                return _not_now("keys_not_fresh", "keys cannot be checked now")
            if workspace is None:
                return _refused("unknown_key", 401, "the API key is unknown")
        service = configuration.services_by_name.get(routes.choose_service(route, self._chance))
        if service is None:
            return _not_now("no_service", "the route's service is not configured")
        budget = min(
            route.timeout,
            DEFAULT_BUDGET_SECONDS if call.budget_seconds is None else call.budget_seconds,
        )
        ranked = workspace is not None and workspace.priority is not None
        return Admitted(
            call=call,
            route=route,
            service=service,
            workspace=workspace.name if workspace is not None else "",
            priority=workspace.priority if ranked else route.priority,  # type: ignore
            deadline=request.received_at + budget,
            configuration=configuration.version,
        )

    def _routes(self, configuration: catalog.Configuration) -> routes.RouteTable:
        if self._table is None or self._table[0] is not configuration:
            self._table = (configuration, routes.RouteTable(configuration))
        return self._table[1]


def left(admitted: Admitted) -> float:
    """Returns the seconds left until a request's deadline."""
    return admitted.deadline - clock.elapsed()


def _refused(code: str, status: int, reason: str) -> failure.Refusal:
    return failure.Refusal(reason=reason, code=code, status=status)


def _not_now(code: str, reason: str) -> failure.Refusal:
    return failure.Refusal(reason=reason, code=code, status=503, retry_after=STARTING_RETRY_SECONDS)
