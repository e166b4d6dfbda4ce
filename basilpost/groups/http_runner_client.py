"""Talks to runners and plain services over HTTP, as docs/INTERFACES.md describes."""

import asyncio
import collections
from collections.abc import Awaitable, Callable

from tornado import httpclient

from basilpost.core import clock, codec
from basilpost.groups import runner_api
from basilpost.store import http_calls

_MAX_CONNECTIONS = 2000
_MAX_CALLERS = 500
_CONFLICT = 409
_HEALTH_PATH = "/healthz"


class OrderTooLateError(OSError):
    """The time of an order was over before it could be sent."""


class HttpRunnerClient(runner_api.RunnerClient):
    """Opens a connection for each order; status calls keep theirs, which are most of a call's cost.

    A kept connection that has gone silent costs a status call half of its time, then a new one is
    tried.
    """

    def __init__(self) -> None:
        self._client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=_MAX_CONNECTIONS)
        self._callers_by_address: collections.OrderedDict[str, http_calls.HttpClient] = (
            collections.OrderedDict()
        )

    async def status(
        self, address: str, *, plain: bool = False, timeout: float = 1.0
    ) -> runner_api.RunnerStatus | runner_api.Unreachable:
        """Asks for a runner's status, or makes a plain service's health check."""
        path = _HEALTH_PATH if plain else "/status"
        reply = await self._caller(address).read(path, timeout=timeout)
        if isinstance(reply, http_calls.NoReply):
            return runner_api.Unreachable(reason=f"{address}: {reply.reason}")
        if reply.status != 200:
            return runner_api.Unreachable(reason=f"{address} answered {reply.status}")
        if plain:
            return runner_api.RunnerStatus(vm_id=address, state=runner_api.RunnerState.READY)
        try:
            return codec.from_json(reply.body, runner_api.RunnerStatus)
        except ValueError as error:
            return runner_api.Unreachable(reason=f"{address}: {error}")

    async def order(
        self, address: str, order: runner_api.Order, *, timeout: float = 2.0
    ) -> runner_api.Accepted | runner_api.StaleFence | runner_api.Unreachable:
        """Posts an order, unless its time is over before the body can be sent.

        The body goes out last, and only in time: a process that is paused after it has connected
        must not complete an old order when it wakes.
        """
        body = codec.to_json(order)
        deadline = clock.monotonic() + timeout

        async def produce(write: Callable[[bytes], Awaitable[None]]) -> None:
            if clock.monotonic() >= deadline:
                raise OrderTooLateError(f"order for {address} is {timeout} s old")
            await write(body)

        request = httpclient.HTTPRequest(
            f"http://{address}/orders",
            method="POST",
            headers={"Content-Length": str(len(body)), "Content-Type": "application/json"},
            body_producer=produce,  # type: ignore[arg-type]
        )
        answer = await self._fetch(request, timeout=timeout)
        if isinstance(answer, runner_api.Unreachable):
            return answer
        if answer.code == 200:
            return runner_api.Accepted()
        if answer.code == _CONFLICT:
            return runner_api.StaleFence(reason=f"{address} refused fence {order.fence}")
        return runner_api.Unreachable(reason=f"{address} answered {answer.code}")

    def _caller(self, address: str) -> http_calls.HttpClient:
        """Returns the caller of an address; the one used longest ago gives way beyond a number."""
        caller = self._callers_by_address.pop(address, None)
        if caller is None:
            caller = http_calls.HttpClient(base_url=f"http://{address}")
        self._callers_by_address[address] = caller
        if len(self._callers_by_address) > _MAX_CALLERS:
            self._callers_by_address.popitem(last=False)[1].close()
        return caller

    async def _fetch(
        self, request: httpclient.HTTPRequest, *, timeout: float
    ) -> httpclient.HTTPResponse | runner_api.Unreachable:
        request.connect_timeout = timeout
        request.request_timeout = timeout
        request.follow_redirects = False
        try:
            async with asyncio.timeout(timeout):
                return await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            return runner_api.Unreachable(reason=f"{request.url}: {error or 'no answer in time'}")
