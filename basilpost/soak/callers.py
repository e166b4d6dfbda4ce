"""Callers of the soak: they keep their connections until these break, and note what they get."""

import asyncio
import itertools
import random

import tornado.httputil

from basilpost.core import channels, clock
from basilpost.emulator import pool_fleet, pool_runner
from basilpost.soak import checks

CONNECT_SECONDS = 1.0
ANSWER_SECONDS = 6.0
BUDGET_MS = 4000
# Pause of a caller between requests.
PAUSE_SECONDS = (0.02, 0.1)
PATHS = ("lookup", "filing", "draft")


class Caller:
    """One caller, who asks one node after the other.

    Attributes:
        calls: What it saw.
    """

    def __init__(self, *, name: str, addresses: tuple[str, ...], seed: str) -> None:
        self.calls: list[checks.Call] = []
        self._name = name
        self._addresses = addresses
        self._chance = random.Random(seed)
        self._pool = channels.Pool()
        self._numbers = itertools.count()
        self._ending = False

    async def run(self) -> None:
        """Asks until it is told to end."""
        while not self._ending:
            await self.ask(
                self._chance.choice(self._addresses),
                self._chance.choice(PATHS),
                self._chance.choice(checks.keys()),
            )
            await asyncio.sleep(self._chance.uniform(*PAUSE_SECONDS))

    def end(self) -> None:
        """Sends nothing more once the request under way has its answer."""
        self._ending = True

    async def ask(self, address: str, path: str, key: str) -> checks.Call | None:
        """Sends one request; returns None if no connection could be opened."""
        channel = await self._pool.acquire(address, timeout=CONNECT_SECONDS)
        if isinstance(channel, channels.ConnectFailed):
            return None
        attempt = f"{self._name}-{next(self._numbers)}"
        sent_at = clock.elapsed()
        call = await self._exchange(channel, attempt, path, key, sent_at)
        self.calls.append(call)
        if call.complete:
            self._pool.release(channel)
        else:
            channel.close()
        return call

    async def _exchange(
        self, channel: channels.Channel, attempt: str, path: str, key: str, sent_at: float
    ) -> checks.Call:
        model = pool_fleet.LARGE if path == "draft" else ""
        headers = tornado.httputil.HTTPHeaders(
            pool_fleet.call_headers(attempt, model=model, key=key, budget_ms=BUDGET_MS)
        )
        method = "GET" if path == "lookup" else "POST"
        body = b"" if path == "lookup" else attempt.encode()
        heads: list[channels.Head] = []
        pieces: list[bytes] = []
        result: channels.Head | channels.Broken
        try:
            channel.send(method, f"/{path}/{self._name}", headers, body)
            async with asyncio.timeout(ANSWER_SECONDS):
                result = await channel.receive(on_head=heads.append, on_data=pieces.append)
        except TimeoutError:
            result = channels.Broken(reason="no answer in time")
        head = heads[-1] if heads else None
        return checks.Call(
            attempt=attempt,
            path=path,
            key=key,
            sent_at=sent_at,
            status=head.status if head is not None else 0,
            complete=isinstance(result, channels.Head),
            signed=head is not None and pool_runner.SIGNATURE in head.headers,
            body=b"".join(pieces),
        )
