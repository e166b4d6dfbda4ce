"""Runners of the plain service whose answers a test writes byte by byte."""

import abc
import asyncio
import contextlib
import dataclasses

from basilpost.emulator import pool_fleet
from basilpost.node import pool_demo
from tests import pool_nodes

# Routes of streams, by whether these may be resumed.
STREAM_ROUTES = {"news": True, "news-once": False}


@dataclasses.dataclass(frozen=True)
class Request:
    """A request as a runner read it."""

    path: str
    attempt: str
    last_event: int

    @property
    def is_stream(self):
        return self.path.startswith("/news")


class Runner(abc.ABC):
    """A runner that answers status requests, and leaves the answers to others to its subclass.

    Attributes:
        requests: The requests that it ran.
        connections: Number of connections that were opened to it.
    """

    def __init__(self, vm_id):
        self.vm_id = vm_id
        self.requests = []
        self.connections = 0
        self._writers = set()

    @abc.abstractmethod
    async def answer(self, request, writer):
        """Writes the answer to a request; returns True if the connection is to be kept open."""

    async def start(self, store):
        await self.listen(pool_demo.random_loopback_host(), 0)
        host, port = self.address
        entry = {
            "service": pool_fleet.PLAIN_SERVICE,
            "address": f"{host}:{port}",
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "born": 1,
            "sequence": 1,
        }
        await store.put(f"servers/{self.vm_id}", entry)

    async def listen(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = self._server.sockets[0].getsockname()

    def stop_listening(self):
        """Takes no new connections; those that are open go on."""
        self._server.close()

    def end(self):
        self.stop_listening()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = {
                    name.lower(): value
                    for name, _, value in (line.partition(": ") for line in head[1:] if line)
                }
                await reader.readexactly(int(headers.get("content-length", 0)))
                path = head[0].split(" ")[1]
                if path.startswith(("/health", "/api")):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                request = Request(
                    path=path,
                    attempt=headers["x-attempt-id"],
                    last_event=int(headers.get("last-event-id") or 0),
                )
                self.requests.append(request)
                if not await self.answer(request, writer):
                    break
        self._writers.discard(writer)
        writer.close()


@contextlib.asynccontextmanager
async def running(runners, *, nodes=1):
    """Starts nodes before some runners; yields the nodes."""
    spec = pool_fleet.configuration(1)
    lookup = next(route for route in spec["routes"] if route["name"] == "lookup")
    spec["routes"] += [
        lookup
        | {"name": name, "pathPrefix": f"/{name}/", "kind": "streaming", "resumable": resumable}
        for name, resumable in STREAM_ROUTES.items()
    ]
    async with pool_nodes.running(nodes=nodes, vms=3, plain_instances=0, spec=spec) as bench:
        try:
            for runner in runners:
                await runner.start(bench.fleet.store)
            await bench.wait_for_knowledge(
                lambda known: all(runner.vm_id in known.vms_by_id for runner in runners)
            )
            yield bench
        finally:
            for runner in runners:
                runner.end()
