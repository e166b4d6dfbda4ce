"""Clients of the soak test, which send requests to the nodes and record the answers."""

import asyncio
import itertools
import random

import tornado.httputil

from basilpost.core import channels, clock
from basilpost.emulator import pool_fleet, pool_runner
from basilpost.soak import checks

CONNECT_TIMEOUT_SECONDS = 1.0
ANSWER_TIMEOUT_SECONDS = 6.0
DEADLINE_MS = 4000
# Range of a caller's pause between requests.
PAUSE_SECONDS = (0.02, 0.1)
# First part of the request's path, which selects its route; see `checks.Call.path`.
REQUEST_KINDS = ("lookup", "filing", "draft")


class Caller:
    """A client that sends one request at a time, each to a random node.

    It keeps its connections open until they fail.

    Attributes:
        calls: The requests that it sent, with their answers.
    """

    def __init__(self, *, name: str, addresses: tuple[str, ...], seed: str) -> None:
        self.calls: list[checks.Call] = []
        self._name = name
        self._addresses = addresses
        self._random = random.Random(seed)
        self._channels = channels.Pool()
        self._request_numbers = itertools.count()
        self._is_stopping = False

    async def run(self) -> None:
        """Sends requests until `stop` is called."""
        while not self._is_stopping:
            await self.send_request(
                self._random.choice(self._addresses),
                self._random.choice(REQUEST_KINDS),
                self._random.choice(checks.api_keys()),
            )
            await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))

    def stop(self) -> None:
        """Makes `run` return after the request that is in flight."""
        self._is_stopping = True

    async def send_request(self, address: str, path: str, key: str) -> checks.Call | None:
        """Sends one request and returns its record, or None if no connection could be opened."""
        channel = await self._channels.acquire(address, timeout=CONNECT_TIMEOUT_SECONDS)
        if isinstance(channel, channels.ConnectFailed):
            return None
        attempt = f"{self._name}-{next(self._request_numbers)}"
        sent_at = clock.elapsed()
        call = await self._exchange(channel, attempt, path, key, sent_at)
        self.calls.append(call)
        if call.complete:
            self._channels.release(channel)
        else:
            channel.close()
        return call

    async def _exchange(
        self, channel: channels.Channel, attempt: str, path: str, key: str, sent_at: float
    ) -> checks.Call:
        model = pool_fleet.LARGE if path == "draft" else ""
        headers = tornado.httputil.HTTPHeaders(
            pool_fleet.call_headers(attempt, model=model, key=key, budget_ms=DEADLINE_MS)
        )
        method = "GET" if path == "lookup" else "POST"
        body = b"" if path == "lookup" else attempt.encode()
        heads: list[channels.Head] = []
        body_parts: list[bytes] = []
        result: channels.Head | channels.Broken
        try:
            channel.send(method, f"/{path}/{self._name}", headers, body)
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                result = await channel.receive(on_head=heads.append, on_data=body_parts.append)
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
            body=b"".join(body_parts),
        )
