"""A client that costs far less than what it measures.

It sends a prepared request on a connection of its own, counts the events of the answer as they come
and keeps the times; nothing is parsed beyond that. The load tool checks answers, this one does not.
"""

import asyncio
import dataclasses
import json

from basilpost.core import names
from basilpost.load import relay_node

_EVENT = b"data: {"
_TIMEOUT_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Place:
    """Where requests for a model go: a node's gateway, or a runner, whose group is named."""

    address: str
    model: str = relay_node.MODEL
    group_id: str = ""

    def request(self, request_id: str, *, tokens: int, stream: bool) -> bytes:
        """Returns the bytes of a completion request."""
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
    """One request on one connection.

    Attributes:
        events: Streamed events received so far.
        ok: True if the answer began with status 200.
        first_at: Event loop's time of the first byte.
        ended: Completes when the other side has closed the connection.
    """

    def __init__(self, *, request: bytes) -> None:
        self.events = 0
        self.ok = False
        self.first_at = 0.0
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

    def data_received(self, piece: bytes) -> None:
        """Counts events."""
        if not self.first_at:
            self.first_at = self._loop.time()
            self.ok = piece.startswith(b"HTTP/1.1 200")
        self.events += piece.count(_EVENT)

    def connection_lost(self, error: Exception | None) -> None:
        """Notes the end."""
        if not self.ended.done():
            self.ended.set_result(self._loop.time())

    def close(self) -> None:
        """Gives the request up."""
        if self._transport is not None:
            self._transport.abort()


async def call(place: Place, request_id: str, *, tokens: int, stream: bool) -> Call:
    """Starts a request and returns while it runs."""
    host, _, port = place.address.rpartition(":")
    request = place.request(request_id, tokens=tokens, stream=stream)
    _, one = await asyncio.get_running_loop().create_connection(
        lambda: Call(request=request), host, int(port)
    )
    return one


async def timed(place: Place, request_id: str, *, tokens: int = 1, stream: bool = False) -> float:
    """Makes a whole request and returns the seconds that it took.

    Raises:
        RuntimeError: If the answer was not a success; a measurement must not count failures.
    """
    begun = asyncio.get_running_loop().time()
    one = await call(place, request_id, tokens=tokens, stream=stream)
    ended_at = await asyncio.wait_for(one.ended, _TIMEOUT_SECONDS)
    if not one.ok:
        raise RuntimeError(f"{place.address} refused {request_id}")
    return ended_at - begun
