"""A stand-in for the users' load balancer, which opens new connections to ready nodes only."""

import asyncio
import random
from collections.abc import Mapping

import tornado.httputil

from basilpost.core import channels

CHECK_INTERVAL_SECONDS = 1.0
CHECK_TIMEOUT_SECONDS = 0.9
# Consecutive failed checks after which a node gets no new connections.
FAILED_CHECKS = 2


class Balancer:
    """Checks the readiness of all nodes and picks a ready one for each new connection."""

    def __init__(self, *, readiness_by_address: Mapping[str, str]) -> None:
        """Takes the readiness address of each node by the address at which it serves callers."""
        self._readiness_by_address = readiness_by_address
        self._failed_checks_by_address = dict.fromkeys(readiness_by_address, FAILED_CHECKS)

    @property
    def addresses(self) -> tuple[str, ...]:
        """Returns the addresses of all nodes."""
        return tuple(self._readiness_by_address)

    async def run(self) -> None:
        """Checks the nodes until it is cancelled."""
        await asyncio.gather(*map(self._check_repeatedly, self.addresses))

    def choose(self, rng: random.Random) -> str | None:
        """Returns the address of a random ready node, None if there is none."""
        ready = [
            address
            for address, failed_checks in self._failed_checks_by_address.items()
            if failed_checks < FAILED_CHECKS
        ]
        return rng.choice(ready) if ready else None

    async def _check_repeatedly(self, address: str) -> None:
        # The nodes are checked at different moments, as a planned stop may fall anywhere between.
        await asyncio.sleep(random.uniform(0.0, CHECK_INTERVAL_SECONDS))
        while True:
            is_ready = await self._is_ready(self._readiness_by_address[address])
            failed_checks = self._failed_checks_by_address[address]
            self._failed_checks_by_address[address] = 0 if is_ready else failed_checks + 1
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def _is_ready(self, readiness_address: str) -> bool:
        channel = await channels.Pool().acquire(readiness_address, timeout=CHECK_TIMEOUT_SECONDS)
        if isinstance(channel, channels.ConnectFailed):
            return False
        heads: list[channels.Head] = []
        try:
            channel.send("GET", "/", tornado.httputil.HTTPHeaders(Host="balancer"), b"")
            async with asyncio.timeout(CHECK_TIMEOUT_SECONDS):
                await channel.receive(on_head=heads.append, on_data=lambda chunk: None)
        except TimeoutError:
            return False
        finally:
            channel.close()
        return bool(heads) and heads[0].status == 200
