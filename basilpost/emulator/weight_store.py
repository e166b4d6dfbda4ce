"""A stand-in for the rate-limited weight store: loads are served one after the other's share."""

import asyncio

from basilpost.core import clock
from basilpost.emulator import server


class WeightStore(server.StandIn):
    """Answers a load when the store's rate has brought the weights over."""

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
        self._free_at = 0.0

    async def load(self) -> None:
        """Waits for a turn under the rate, then for the load itself."""
        now = clock.monotonic()
        turn = max(now, self._free_at)
        self._free_at = turn + 1.0 / self.loads_per_second
        self.loads += 1
        await asyncio.sleep(turn - now + self.load_seconds)

    def routes(self) -> server.Routes:
        """Returns the handler of loads."""
        return [(r"/v1/weights/([^/]+)/([^/]+)", _WeightsHandler, {"owner": self})]


class _WeightsHandler(server.JsonHandler):
    def initialize(self, owner: WeightStore) -> None:
        self.owner = owner

    async def get(self, model: str, version: str) -> None:
        await self.owner.load()
        self.answer({"model": model, "version": version})
