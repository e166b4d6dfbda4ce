"""A micro-kernel: services register under a name, find each other by it, start and stop in order.

The kernel knows nothing of what a service does. Services start in the order of registration and
stop in the reverse order, so that a service may use those registered before it for all its life.
"""

import abc
from typing import TypeVar

import prometheus_client
import structlog

S = TypeVar("S")


class ServiceMissingError(LookupError):
    """No service of that name and kind is registered."""


class Service(abc.ABC):
    """A part of a process with a life of its own."""

    async def start(self) -> None:
        """Begins work; everything registered earlier has started."""

    async def stop(self) -> None:
        """Ends work and frees what the service holds; must be safe to call after a failed start."""


class Kernel:
    """Holds the services of one node by name, with the node's metrics registry and logger."""

    def __init__(self, *, node_id: str) -> None:
        self.node_id = node_id
        self.registry = prometheus_client.CollectorRegistry()
        self.log = structlog.get_logger().bind(node=node_id)
        self._services_by_name: dict[str, object] = {}
        self._started: list[Service] = []

    def register(self, name: str, service: object) -> None:
        """Adds a service under a name; a name is given once."""
        if name in self._services_by_name:
            raise ValueError(f"service {name!r} is registered already")
        self._services_by_name[name] = service

    def find(self, name: str, kind: type[S]) -> S:
        """Returns the service of that name.

        Raises:
            ServiceMissingError: If there is none, or it is not of the kind asked for.
        """
        service = self._services_by_name.get(name)
        if not isinstance(service, kind):
            raise ServiceMissingError(
                f"{name!r} as {kind.__name__}: found {type(service).__name__}"
            )
        return service

    async def start(self) -> None:
        """Starts all services in order; on a failure stops those that had started."""
        try:
            for service in self._services_by_name.values():
                if isinstance(service, Service):
                    self._started.append(service)
                    await service.start()
        except BaseException:
            await self.stop()
            raise

    async def stop(self) -> None:
        """Stops all started services in the reverse order."""
        while self._started:
            service = self._started.pop()
            try:
                await service.stop()
            except Exception:
                self.log.exception("service_stop_failed", service=type(service).__name__)
