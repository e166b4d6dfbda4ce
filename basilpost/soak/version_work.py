"""Versions of the configuration in quick succession, and the whole fleet killed right after one."""

import asyncio
import random
from collections.abc import Sequence
from typing import Any

from basilpost.core import clock
from basilpost.emulator import pool_fleet
from basilpost.soak import checks, faults, operator_work, processes

# Further services that routes are moved to, or split over, by the service that they belong to otherwise.
SECOND_SERVICES = {pool_fleet.MODEL_SERVICE: "appraisal", pool_fleet.PLAIN_SERVICE: "counter"}
SECOND_MODEL_VMS = 6
SECOND_PLAIN_INSTANCES = 2
# Shortest timeout of a stream's route; undisturbed streams end before.
SHORT_TIMEOUT_MS = 3500
# What one version of a series changes; a series undoes its changes at its end.
CHANGES: tuple[dict[str, Any], ...] = (
    {"moved": (pool_fleet.MODEL_SERVICE,)},
    {"moved": (pool_fleet.PLAIN_SERVICE,)},
    {"split": (pool_fleet.MODEL_SERVICE, pool_fleet.PLAIN_SERVICE)},
    {"dropped": ("draft", "draft-once")},
    {"dropped": ("draft-whole", "lookup")},
    {"stream_timeout_ms": SHORT_TIMEOUT_MS},
    {"keys": (pool_fleet.OTHER_KEY,)},
    {"large_share": 0.3},
    {"further_route": True},
)
VERSIONS_PER_SERIES = (2, 6)
SHORTEST_GAP_SECONDS = 0.05
LONGEST_GAP_SECONDS = 2.0
ADDED_ROUTES = (350, 470)
KILL_DELAY_SECONDS = (0.0, 1.0)
DOWN_SECONDS = (0.5, 1.5)


def add_services(fleet: pool_fleet.PoolFleet) -> None:
    """Adds the runners of the further services to a fleet that has not started."""
    for number in range(SECOND_MODEL_VMS):
        name = SECOND_SERVICES[pool_fleet.MODEL_SERVICE]
        fleet.add(f"second-{number}", name, fabric_domain="fabric-second")
    for number in range(SECOND_PLAIN_INSTANCES):
        fleet.add(f"counter-{number}", SECOND_SERVICES[pool_fleet.PLAIN_SERVICE])


class VersionWork:
    """Writes versions of one run, and kills its nodes after some of them."""

    def __init__(
        self, *, operator: operator_work.OperatorWork, nodes: Sequence[processes.NodeProcess]
    ) -> None:
        self._operator = operator
        self._nodes = nodes
        self._changes: dict[str, Any] = {}
        operator.reshape = self._reshape

    async def change_routes(self, fault: faults.Fault) -> None:
        """Writes a series of versions, each with a further change, and one without these at its end."""
        rng = random.Random(fault.target_index)
        changed: set[str] = set()
        for _ in range(rng.randint(*VERSIONS_PER_SERIES)):
            change = rng.choice(CHANGES)
            changed |= change.keys()
            await self._write(self._changes | change)
            ratio = LONGEST_GAP_SECONDS / SHORTEST_GAP_SECONDS
            await asyncio.sleep(SHORTEST_GAP_SECONDS * ratio ** rng.random())
        await self._write(
            {name: value for name, value in self._changes.items() if name not in changed}
        )

    async def add_routes(self, fault: faults.Fault) -> None:
        """Writes a version with some hundred routes more, and later one without them."""
        count = random.Random(fault.target_index).randint(*ADDED_ROUTES)
        await self._write(self._changes | {"added": count})
        await asyncio.sleep(fault.seconds)
        await self._write({name: value for name, value in self._changes.items() if name != "added"})

    async def kill_fleet(self, fault: faults.Fault) -> tuple[checks.Disturbance, ...]:
        """Kills all nodes soon after a configuration is confirmed, and starts them again.

        Returns:
            The time in which each node was disturbed.
        """
        rng = random.Random(fault.target_index)
        await self._operator.configure_anew(fault)
        await asyncio.sleep(rng.uniform(*KILL_DELAY_SECONDS))
        began_at, seconds = clock.elapsed(), rng.uniform(*DOWN_SECONDS)
        await asyncio.gather(*(node.kill(seconds=seconds) for node in self._nodes))
        end = clock.elapsed() + checks.STABLE_SECONDS
        return tuple(
            checks.Disturbance(address=node.settings.callers, begin=began_at, end=end)
            for node in self._nodes
        )

    async def _write(self, changes: dict[str, Any]) -> None:
        self._changes = changes
        await self._operator.configure()

    def _reshape(self, configured: dict[str, Any], version: int) -> dict[str, Any]:
        """Returns a configuration with the changes that are in force."""
        changes = dict(self._changes)
        moved, split = changes.pop("moved", ()), changes.pop("split", ())
        dropped, added = changes.pop("dropped", ()), changes.pop("added", 0)
        spec = pool_fleet.configuration(version, **(configured | changes))
        for route in spec["routes"]:
            service = route["service"]
            second = SECOND_SERVICES[service]
            if service in split:
                shares = [{"service": name, "weight": 1} for name in (service, second)]
                route["trafficSplit"] = shares
            elif service in moved:
                route["service"] = second
        routes = [route for route in spec["routes"] if route["name"] not in dropped]
        routes += [
            routes[-1] | {"name": f"added-{number}", "pathPrefix": f"/added/{number}/"}
            for number in range(added)
        ]
        services = spec["services"] + [
            service | {"name": SECOND_SERVICES[service["name"]]} for service in spec["services"]
        ]
        return spec | {"routes": routes, "services": services}
