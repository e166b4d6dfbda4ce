"""Open-loop traffic to the nodes of a pool."""

import asyncio
import collections
import random

from basilpost.core import clock


class Traffic:
    """Open-loop requests to all nodes; `answers` holds each one with its duration in seconds."""

    def __init__(self, bench, path, *, seed):
        self.answers = []
        self._bench = bench
        self._path = path
        self._rng = random.Random(seed)
        self._tasks = []

    async def run(self, *, seconds, per_second):
        end = clock.elapsed() + seconds
        while clock.elapsed() < end:
            self._tasks.append(asyncio.create_task(self._send()))
            await asyncio.sleep(self._rng.expovariate(per_second))
        await asyncio.gather(*self._tasks)

    async def _send(self):
        began_at = clock.elapsed()
        node = self._rng.randrange(len(self._bench.addresses))
        answer = await self._bench.call(self._path, node=node)
        self.answers.append((answer, clock.elapsed() - began_at))

    @property
    def codes(self):
        return collections.Counter(answer.code for answer, _ in self.answers)
