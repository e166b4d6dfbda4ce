"""Emulates the weight store, which limits the rate at which loads begin."""

import asyncio

from basilpost.core import clock
from basilpost.emulator import server


class WeightStore(server.EmulatedServer):
    """Answers a request for weights after the wait and the load time, without sending weights.

    Attributes:
        loads_per_second: Rate at which loads begin.
        load_seconds: Time from the beginning of a load to its answer.
        loads: Number of loads requested so far.
    """

    def __init__(
        self,
        *,
        loads_per_second: float = 4.0,
        load_seconds: float = 0.5,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        super().__init__(host=host, port=port)
        self.loads_per_second = loads_per_second
        self.load_seconds = load_seconds
        self.loads = 0
        self._next_load_at = 0.0

    async def load(self) -> None:
        """Waits until the rate limit allows a load to begin, then for the load itself."""
        now = clock.monotonic()
        begins_at = max(now, self._next_load_at)
        self._next_load_at = begins_at + 1.0 / self.loads_per_second
        self.loads += 1
        await asyncio.sleep(begins_at - now + self.load_seconds)

    def routes(self) -> server.Routes:
        """Returns the handler of load requests."""
        return [(r"/v1/weights/([^/]+)/([^/]+)", _WeightsHandler, {"owner": self})]


class _WeightsHandler(server.JsonHandler):
    def initialize(self, owner: WeightStore) -> None:
        self.owner = owner

    async def get(self, model: str, version: str) -> None:
        await self.owner.load()
        self.answer({"model": model, "version": version})
