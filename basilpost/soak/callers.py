"""Clients of the soak test, which send requests to the nodes and record the answers."""

import abc
import asyncio
import contextlib
import enum
import itertools
import math
import random

import tornado.httputil

from basilpost.core import channels, clock
from basilpost.emulator import pool_fleet, pool_runner
from basilpost.soak import balancer, checks

CONNECT_TIMEOUT_SECONDS = 1.0
# Time after its deadline at which a request without a complete answer is given up.
ANSWER_MARGIN_SECONDS = 2.0
DEADLINE_MS = 4000
# Range of a caller's pause between requests.
PAUSE_SECONDS = (0.02, 0.1)
# The same for requests that crash runners.
CRASHING_PAUSE_SECONDS = (0.3, 1.2)
SHARED_PART = "shared"
# First part of the request's path, which selects its route; see `checks.Call.path`.
REQUEST_KINDS = ("lookup", "filing", "draft")
# Ranges for a caller behind the load balancer.
IDLE_SECONDS = (0.0, 11.0)
FIRST_PAUSE_SECONDS = (0.0, 1.0)
PLAIN_BUDGET_MS = (1500, 1500)
STREAM_BUDGET_MS = (5000, 8000)


class Ending(enum.Enum):
    """How a request of an impatient caller ends if it is not answered before."""

    WAITS = "waits"
    LEAVES = "leaves"
    DEADLINE = "deadline"


# A third of the requests each; those that crash runners do so mostly after the caller is gone.
ENDINGS = tuple(Ending)
LEAVE_SECONDS = (0.01, 0.1)
SHORT_DEADLINE_MS = 100


class Caller(abc.ABC):
    """A client that sends one request at a time.

    Attributes:
        calls: The requests that it sent, with their answers.
        unread: A line for each connection on which a node sent bytes that no request asked for.
        invalid: A line for each answer of a node with a status that HTTP does not have.
    """

    def __init__(self, *, name: str, seed: str) -> None:
        self.calls: list[checks.Call] = []
        self.unread: list[str] = []
        self.invalid: list[str] = []
        self._name = name
        self._random = random.Random(seed)
        self._request_numbers = itertools.count()
        self._stopping = asyncio.Event()

    @abc.abstractmethod
    async def run(self) -> None:
        """Sends requests until `stop` is called."""

    def stop(self) -> None:
        """Makes `run` return after the request that is in flight."""
        self._stopping.set()

    def _record_unread(self, channel: channels.Channel) -> None:
        self.unread.append(
            f"bytes without a request on the connection of {self._name} to {channel.address}, "
            f"after {channel.requests} requests"
        )

    async def _pause(self, bounds: tuple[float, float]) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._random.uniform(*bounds)):
                await self._stopping.wait()

    def _prompt_parts(self, attempt: str) -> tuple[str, ...]:
        """Returns the parts of the prompt of a request, none unless a subclass names some."""
        return ()

    def _body(self, attempt: str) -> bytes:
        """Returns the body of a request other than a lookup."""
        return attempt.encode()

    def _send(
        self,
        channel: channels.Channel,
        method: str,
        path: str,
        headers: tornado.httputil.HTTPHeaders,
        body: bytes,
    ) -> None:
        """Writes a request; its body has a length unless a subclass sends it otherwise."""
        channel.send(method, path, headers, body)

    async def _exchange(
        self,
        channel: channels.Channel,
        path: str,
        key: str,
        *,
        budget_ms: int,
        leaves_after: float = math.inf,
        attempt: str = "",
    ) -> checks.Call:
        """Sends a request on a connection, reads the answer and records both.

        Without an answer the caller gives up after `leaves_after` seconds, or some time after the deadline.
        A request that is sent again has an `attempt`, the id under which it was sent before.
        """
        attempt = attempt or f"{self._name}-{next(self._request_numbers)}"
        sent_at = clock.elapsed()
        model = pool_fleet.LARGE if path in checks.STREAMING_PATHS else ""
        headers = tornado.httputil.HTTPHeaders(
            pool_fleet.call_headers(attempt, model=model, key=key, budget_ms=budget_ms)
        )
        if prompt_parts := self._prompt_parts(attempt):
            headers["X-Prompt-Prefix"] = ",".join(f"{part}:10" for part in prompt_parts)
        method = "GET" if path == "lookup" else "POST"
        body = b"" if path == "lookup" else self._body(attempt)
        patience = min(leaves_after, budget_ms / 1000 + ANSWER_MARGIN_SECONDS)
        heads: list[channels.Head] = []
        body_parts: list[bytes] = []
        result: channels.Head | channels.Broken | None = None
        with contextlib.suppress(TimeoutError):
            self._send(channel, method, f"/{path}/{self._name}", headers, body)
            async with asyncio.timeout(patience):
                result = await channel.receive(on_head=heads.append, on_data=body_parts.append)
        if isinstance(result, channels.Broken) and result.invalid_status is not None:
            self.invalid.append(
                f"an answer with the status {result.invalid_status:03}: {attempt}, {path}"
            )
        head = heads[-1] if heads else None
        call = checks.Call(
            attempt=attempt,
            path=path,
            key=key,
            sent_at=sent_at,
            status=head.status if head is not None else 0,
            complete=isinstance(result, channels.Head),
            signed=head is not None and pool_runner.SIGNATURE in head.headers,
            body=b"".join(body_parts),
            address=channel.address,
            ended_at=clock.elapsed(),
            timed_out=result is None,
            prompt_parts=prompt_parts,
            sent_body=body,
            budget_ms=budget_ms,
        )
        self.calls.append(call)
        return call


class RandomCaller(Caller):
    """A client that sends each request to a random node.

    It keeps its connections open until they fail.
    """

    def __init__(self, *, name: str, addresses: tuple[str, ...], seed: str) -> None:
        super().__init__(name=name, seed=seed)
        self._addresses = addresses
        self._channels = channels.Pool(on_unread=self._record_unread)

    async def run(self) -> None:
        """Sends requests with short pauses until `stop` is called."""
        while not self._stopping.is_set():
            await self.send_request(
                self._random.choice(self._addresses),
                self._random.choice(REQUEST_KINDS),
                self._random.choice(checks.api_keys()),
            )
            await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))

    async def send_request(
        self,
        address: str,
        path: str,
        key: str,
        *,
        budget_ms: int = DEADLINE_MS,
        leaves_after: float = math.inf,
        attempt: str = "",
    ) -> checks.Call | None:
        """Sends one request and returns its record, or None if no connection could be opened."""
        channel = await self._channels.acquire(address, timeout=CONNECT_TIMEOUT_SECONDS)
        if isinstance(channel, channels.ConnectFailed):
            return None
        call = await self._exchange(
            channel, path, key, budget_ms=budget_ms, leaves_after=leaves_after, attempt=attempt
        )
        if call.complete:
            self._channels.release(channel)
        else:
            channel.close()
        return call


class PromptCaller(RandomCaller):
    """A client whose prompts have a part that all callers share and one that some share.

    The second one may crash runners; then the client sends less often, and streams only.
    """

    def __init__(
        self, *, name: str, addresses: tuple[str, ...], seed: str, part: str, crashing: bool
    ) -> None:
        super().__init__(name=name, addresses=addresses, seed=seed)
        self._part = part
        self._crashing = crashing

    async def run(self) -> None:
        """Sends requests with pauses until `stop` is called."""
        while not self._stopping.is_set():
            await self.send_request(
                self._random.choice(self._addresses),
                "draft" if self._crashing else self._random.choice(REQUEST_KINDS),
                pool_fleet.KEY,
            )
            await self._pause(CRASHING_PAUSE_SECONDS if self._crashing else PAUSE_SECONDS)

    def _prompt_parts(self, attempt: str) -> tuple[str, ...]:
        """Returns the shared parts and one of the request's own."""
        return SHARED_PART, self._part, attempt


class ImpatientCaller(RandomCaller):
    """A client that often leaves before it is answered, or sets a deadline that passes before.

    Its requests may all have one body, which crashes runners; then it sends less often, and streams only.
    """

    def __init__(
        self, *, name: str, addresses: tuple[str, ...], seed: str, crashing_body: bytes
    ) -> None:
        super().__init__(name=name, addresses=addresses, seed=seed)
        self._crashing_body = crashing_body

    async def run(self) -> None:
        """Sends requests with pauses until `stop` is called."""
        while not self._stopping.is_set():
            ending = self._random.choice(ENDINGS)
            await self.send_request(
                self._random.choice(self._addresses),
                "draft" if self._crashing_body else self._random.choice(REQUEST_KINDS),
                pool_fleet.KEY,
                budget_ms=SHORT_DEADLINE_MS if ending is Ending.DEADLINE else DEADLINE_MS,
                leaves_after=(
                    self._random.uniform(*LEAVE_SECONDS) if ending is Ending.LEAVES else math.inf
                ),
            )
            await self._pause(CRASHING_PAUSE_SECONDS if self._crashing_body else PAUSE_SECONDS)

    def _body(self, attempt: str) -> bytes:
        return self._crashing_body or super()._body(attempt)


class BalancedCaller(Caller):
    """A client behind the load balancer, with one connection that is idle most of the time.

    It keeps the connection until the node closes it, or says in an answer that it will.
    """

    def __init__(self, *, name: str, load_balancer: balancer.Balancer, seed: str) -> None:
        super().__init__(name=name, seed=seed)
        self._balancer = load_balancer
        self._channel: channels.Channel | None = None

    async def run(self) -> None:
        """Sends requests with long pauses until `stop` is called."""
        await self._pause(FIRST_PAUSE_SECONDS)
        while not self._stopping.is_set():
            channel = await self._connect()
            if channel is not None:
                await self._send_request(channel)
            await self._pause(IDLE_SECONDS)
        if self._channel is not None:
            self._channel.close()

    async def _connect(self) -> channels.Channel | None:
        if self._channel is not None and not self._channel.stream.closed():
            return self._channel
        address = self._balancer.choose(self._random)
        if address is None:
            return None
        channel = await channels.Pool().acquire(address, timeout=CONNECT_TIMEOUT_SECONDS)
        return channel if isinstance(channel, channels.Channel) else None

    async def _send_request(self, channel: channels.Channel) -> None:
        path = self._random.choice(REQUEST_KINDS)
        budget_ms = self._random.randint(
            *(STREAM_BUDGET_MS if path == "draft" else PLAIN_BUDGET_MS)
        )
        key = self._random.choice(checks.api_keys())
        call = await self._exchange(channel, path, key, budget_ms=budget_ms)
        if call.complete and channel.has_unread:
            self._record_unread(channel)
        # Right after an answer, a connection is unusable only if the answer says that it is closed.
        if call.complete and channel.usable:
            # A callback makes the stream notice when the node closes it.
            channel.stream.set_close_callback(lambda: None)
            self._channel = channel
        else:
            channel.close()
            self._channel = None
