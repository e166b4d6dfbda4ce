"""A client with little overhead, for measuring a node or runner.

It sends each request on a new connection, counts the events of the answer and keeps the times, but
does not parse or check the answer as the load tool does.
"""

import asyncio
import dataclasses
import json

from basilpost.core import names
from basilpost.load import relay_node

_EVENT = b"data: {"
_TIMEOUT_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Endpoint:
    """A node's gateway, or a runner and its group, to which requests for a model are sent."""

    address: str
    model: str = relay_node.MODEL
    group_id: str = ""

    def request(self, request_id: str, *, tokens: int, stream: bool) -> bytes:
        """Returns a completion request as the bytes of an HTTP message."""
        body = json.dumps(
            {
                "model": self.model,
                "messages": [{"role": "user", "content": f"who holds the rights? {request_id}"}],
                "max_tokens": tokens,
                "stream": stream,
            }
        )
        headers = {
            "Host": self.address,
            "Connection": "close",
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            "Authorization": f"Bearer {relay_node.API_KEY}",
            names.REQUEST_ID_HEADER: request_id,
        }
        if self.group_id:
            headers |= {names.GROUP_HEADER: self.group_id, names.GENERATION_HEADER: "1"}
        lines = [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join(["POST /v1/chat/completions HTTP/1.1", *lines, "", body]).encode()


class Call(asyncio.Protocol):
    """One request on its own connection.

    Attributes:
        events: Streamed events received so far.
        ok: True if the answer has status 200.
        first_byte_at: Event loop time of the first byte, 0 before it.
        ended: Completes with the event loop time at which the connection was closed.
    """

    def __init__(self, *, request: bytes) -> None:
        self.events = 0
        self.ok = False
        self.first_byte_at = 0.0
        loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[float] = loop.create_future()
        self._loop = loop
        self._request = request
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the request; part of the library's protocol interface."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(self._request)

    def data_received(self, chunk: bytes) -> None:
        """Counts the events of a chunk; part of the library's protocol interface."""
        if not self.first_byte_at:
            self.first_byte_at = self._loop.time()
            self.ok = chunk.startswith(b"HTTP/1.1 200")
        self.events += chunk.count(_EVENT)

    def connection_lost(self, error: Exception | None) -> None:
        """Completes `ended`; part of the library's protocol interface."""
        if not self.ended.done():
            self.ended.set_result(self._loop.time())

    def close(self) -> None:
        """Aborts the request."""
        if self._transport is not None:
            self._transport.abort()


async def start_call(endpoint: Endpoint, request_id: str, *, tokens: int, stream: bool) -> Call:
    """Sends a request and returns its call without waiting for the answer."""
    host, _, port = endpoint.address.rpartition(":")
    request = endpoint.request(request_id, tokens=tokens, stream=stream)
    _, running_call = await asyncio.get_running_loop().create_connection(
        lambda: Call(request=request), host, int(port)
    )
    return running_call


async def request_seconds(
    endpoint: Endpoint, request_id: str, *, tokens: int = 1, stream: bool = False
) -> float:
    """Sends a request, waits for the whole answer and returns the seconds that both took.

    Raises:
        RuntimeError: If the status is not 200, so that no measurement counts failures.
    """
    started_at = asyncio.get_running_loop().time()
    running_call = await start_call(endpoint, request_id, tokens=tokens, stream=stream)
    ended_at = await asyncio.wait_for(running_call.ended, _TIMEOUT_SECONDS)
    if not running_call.ok:
        raise RuntimeError(
            f"{endpoint.address} answered with a status other than 200 to {request_id}"
        )
    return ended_at - started_at
