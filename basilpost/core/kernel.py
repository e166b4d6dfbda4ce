"""The kernel: the registry in which the services of a node find each other by name.

A service here is a component of the node's process, not one of the services that callers use.

Services start in the order of registration and stop in the reverse order, so that a service may use
those registered before it from its start to its stop.
"""

import abc
from typing import TypeVar

import prometheus_client
import structlog

S = TypeVar("S")


class ServiceMissingError(LookupError):
    """No service of the given name and type is registered."""


class Service(abc.ABC):
    """A component that the kernel starts and stops."""

    async def start(self) -> None:
        """Starts the service; all services registered earlier have started."""

    async def stop(self) -> None:
        """Stops the service and releases its resources; must be safe after a failed start."""


class Kernel:
    """The registry of one node's services by name.

    Attributes:
        node_id: Unique name of the node.
        registry: Registry of the node's Prometheus metrics.
        log: Logger that adds the node's name to each line.
        closed_connections: Counts the connections that were closed by a limit.
    """

    def __init__(self, *, node_id: str) -> None:
        self.node_id = node_id
        self.registry = prometheus_client.CollectorRegistry()
        self.log = structlog.get_logger().bind(node=node_id)
        self.closed_connections = prometheus_client.Counter(
            "basilpost_connections_closed_total",
            "Connections that were closed by a limit, by what they were opened to and the limit",
            ["listener", "cause"],
            registry=self.registry,
        )
        self._services_by_name: dict[str, object] = {}
        self._started: list[Service] = []

    def register(self, name: str, service: object) -> None:
        """Adds a service under a name.

        Raises:
            ValueError: If the name is taken.
        """
        if name in self._services_by_name:
            raise ValueError(f"service {name!r} is already registered")
        self._services_by_name[name] = service

    def find(self, name: str, kind: type[S]) -> S:
        """Returns the service registered under a name.

        Raises:
            ServiceMissingError: If there is none, or it is not an instance of `kind`.
        """
        service = self._services_by_name.get(name)
        if not isinstance(service, kind):
            raise ServiceMissingError(
                f"{name!r} is not registered as a {kind.__name__}: found {type(service).__name__}"
            )
        return service

    async def start(self) -> None:
        """Starts all services in order; if one fails, stops those that were started and raises."""
        try:
            for service in self._services_by_name.values():
                if isinstance(service, Service):
                    self._started.append(service)
                    await service.start()
        except BaseException:
            await self.stop()
            raise

    async def stop(self) -> None:
        """Stops all started services in reverse order; logs failures and continues."""
        while self._started:
            service = self._started.pop()
            try:
                await service.stop()
            except Exception:
                self.log.exception("service_stop_failed", service=type(service).__name__)
