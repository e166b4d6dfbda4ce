"""The runner client over HTTP, as docs/INTERFACES.md describes."""

import asyncio
import collections
from collections.abc import Awaitable, Callable

from tornado import httpclient

from basilpost.core import clock, codec
from basilpost.groups import runner_api
from basilpost.store import http_calls

_MAX_CONNECTIONS = 2000
# Runners to which an open HTTP client is kept; the least recently used one is closed first.
_MAX_CALLERS = 500
_HTTP_CONFLICT = 409
_HEALTH_PATH = "/healthz"


class OrderTooLateError(OSError):
    """The timeout of an order passed before its body could be sent."""


class HttpRunnerClient(runner_api.RunnerClient):
    """Keeps connections for status calls and opens a new one for each order.

    Opening a connection is most of the cost of a status call. If a kept connection does not answer
    within half of a call's timeout, the call is repeated on a new one.
    """

    def __init__(self) -> None:
        self._client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=_MAX_CONNECTIONS)
        self._callers_by_address: collections.OrderedDict[str, http_calls.HttpClient] = (
            collections.OrderedDict()
        )

    async def status(
        self, address: str, *, plain: bool = False, timeout: float = 1.0
    ) -> runner_api.RunnerStatus | runner_api.Unreachable:
        """Returns a runner's status, or the result of a plain service's health check."""
        path = _HEALTH_PATH if plain else "/status"
        reply = await self._caller(address).read(path, timeout=timeout)
        if isinstance(reply, http_calls.NoReply):
            return runner_api.Unreachable(reason=f"{address}: {reply.reason}")
        if reply.status != 200:
            return runner_api.Unreachable(reason=f"{address} answered status {reply.status}")
        if plain:
            return runner_api.RunnerStatus(vm_id=address, state=runner_api.RunnerState.READY)
        try:
            return codec.from_json(reply.body, runner_api.RunnerStatus)
        except ValueError as error:
            return runner_api.Unreachable(reason=f"{address}: {error}")

    async def order(
        self, address: str, order: runner_api.Order, *, timeout: float = 2.0
    ) -> runner_api.Accepted | runner_api.StaleFence | runner_api.Unreachable:
        """Posts an order, unless its timeout passes before the body is sent.

        The deadline is checked right before the body is written: a process that is paused after it
        has connected must not complete an old order when it resumes.
        """
        body = codec.to_json(order)
        deadline = clock.monotonic() + timeout

        async def produce(write: Callable[[bytes], Awaitable[None]]) -> None:
            if clock.monotonic() >= deadline:
                raise OrderTooLateError(f"order for {address} was not sent within {timeout} s")
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
        if answer.code == _HTTP_CONFLICT:
            return runner_api.StaleFence(reason=f"{address} refused fence {order.fence}")
        return runner_api.Unreachable(reason=f"{address} answered status {answer.code}")

    def _caller(self, address: str) -> http_calls.HttpClient:
        """Returns the caller of an address; closes the least recently used one if too many."""
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
