"""What the operator does during a run: configurations, and keys and failure domains withdrawn."""

import asyncio
from collections.abc import Callable
from typing import Any

from basilpost.core import clock
from basilpost.emulator import pool_fleet
from basilpost.soak import checks, faults, scenarios

FAILURE_DOMAINS = ("a", "b")
# What configurations change in turn, with the values between which they change; none for the same
# content.
CONFIGURATION_CHANGES: tuple[dict[str, tuple[Any, Any]], ...] = (
    {},
    {"further_route": (False, True)},
    {"stream_timeout_ms": (8000, 10_000)},
    {"large_share": (0.8, 0.7)},
)


class OperatorWork:
    """Writes configurations and evacuations to the store of one run.

    Attributes:
        withdrawn_keys: Keys that were withdrawn.
        withdrawn_failure_domains: Failure domains that were withdrawn.
        reshape: Returns the configuration for arguments of `pool_fleet.configuration` and a version.
    """

    def __init__(self, *, fleet: pool_fleet.PoolFleet, scenario: scenarios.Scenario) -> None:
        self.withdrawn_keys: list[checks.Withdrawal] = []
        self.withdrawn_failure_domains: list[checks.Withdrawal] = []
        self.reshape: Callable[[dict[str, Any], int], dict[str, Any]] = (
            lambda configured, version: pool_fleet.configuration(version, **configured)
        )
        self._fleet = fleet
        self._version = 0
        options = scenario.runner_options
        self._configured: dict[str, Any] = {
            "stream_timeout_ms": scenario.stream_timeout_ms,
            "event_seconds": options.event_seconds if scenario.contracts else 0.0,
            "events": options.events,
            "draft_kinds": scenario.draft_kinds,
        }
        self._write_lock = asyncio.Lock()
        # A key and a failure domain are withdrawn one after the other, also if their faults overlap.
        self._withdrawal_lock = asyncio.Lock()

    async def configure(self, **changes: Any) -> None:
        """Writes the next configuration, which differs from the last one in `changes`."""
        async with self._write_lock:
            self._configured |= changes
            self._version += 1
            await self._fleet.configure(self.reshape(self._configured, self._version))

    async def configure_anew(self, fault: faults.Fault) -> None:
        """Writes the same content again, or changes the routes, the streams' timeout or the shares."""
        values_by_name = CONFIGURATION_CHANGES[fault.target_index % len(CONFIGURATION_CHANGES)]
        await self.configure(
            **{
                name: second if self._configured.get(name, first) == first else first
                for name, (first, second) in values_by_name.items()
            }
        )

    async def withdraw_key(self, fault: faults.Fault) -> None:
        """Withdraws a key for longer than it may still be used, so that a later use is detected."""
        async with self._withdrawal_lock:
            await self.configure(keys=(pool_fleet.KEY,))
            at = clock.elapsed()
            await asyncio.sleep(checks.WITHDRAWAL_SECONDS + fault.seconds)
            self.withdrawn_keys.append(
                checks.Withdrawal(name=pool_fleet.OTHER_KEY, at=at, until=clock.elapsed())
            )
            await self.configure(keys=checks.api_keys())

    async def evacuate(self, fault: faults.Fault) -> None:
        """Takes a failure domain out of service for the time of a fault."""
        async with self._withdrawal_lock:
            await self._fleet.store.put(f"evacuations/{FAILURE_DOMAINS[-1]}", {})
            await asyncio.sleep(fault.seconds)
            await self._fleet.store.remove(f"evacuations/{FAILURE_DOMAINS[-1]}")

    async def withdraw_failure_domain(self, fault: faults.Fault) -> None:
        """Takes a failure domain out of service for longer than it may still be used."""
        async with self._withdrawal_lock:
            name = FAILURE_DOMAINS[-1]
            await self._fleet.store.put(f"evacuations/{name}", {})
            at = clock.elapsed()
            await asyncio.sleep(checks.WITHDRAWAL_SECONDS + fault.seconds)
            self.withdrawn_failure_domains.append(
                checks.Withdrawal(name=name, at=at, until=clock.elapsed())
            )
            await self._fleet.store.remove(f"evacuations/{name}")
