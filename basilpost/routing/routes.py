"""Finds the route of a request by its host and the longest path prefix."""

import random

from basilpost.core import catalog


class RouteTable:
    """The routes of one configuration, by host."""

    def __init__(self, configuration: catalog.Configuration) -> None:
        self._routes_by_prefix_by_host: dict[str, dict[str, catalog.Route]] = {}
        for route in configuration.routes:
            self._routes_by_prefix_by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> catalog.Route | None:
        """Returns the route of a path, or None."""
        routes_by_prefix = self._routes_by_prefix_by_host.get(_host_name(host), {})
        end = path.rfind("/")
        while end >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def choose_service(route: catalog.Route, rng: random.Random) -> str:
    """Returns the service for one request, by the weights of the route's split."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    if not any(weight > 0 for weight in weights):
        return route.shares[0].service
    return rng.choices([share.service for share in route.shares], weights)[0]


def _host_name(host: str) -> str:
    """Drops a port from a Host header."""
    return host.partition(":")[0].lower()
