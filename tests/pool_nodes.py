"""Nodes of a pool in the test's process, before the stand-ins of the platform."""

import contextlib

import tornado.httpclient

from basilpost.core import names
from basilpost.emulator import pool_fleet
from basilpost.gateway import relay
from basilpost.groups import pool_controller
from basilpost.members import peers
from basilpost.node import pool_assembly, pool_demo
from basilpost.routing import targets
from basilpost.settings import pool_schema

GRACE_SECONDS = 4.0


class Nodes:
    """A fleet of stand-ins with nodes before it."""

    def __init__(self, **fleet):
        self.fleet = pool_fleet.PoolFleet(**fleet)
        self.kernels = []
        self.addresses = []
        self._client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
        self._attempts = iter(range(1, 1_000_000))

    async def start(self, *, nodes=1):
        await self.fleet.start()
        for number in range(nodes):
            await self.add(f"node-{number}")
        await pool_fleet.until(lambda: all(one.ready for one in self.relays))

    async def add(self, node_id, *, failure_domain="a"):
        host = pool_demo.own_host()
        callers = f"{host}:{pool_demo.CALLERS_PORT}"
        settings = pool_schema.PoolNodeSettings(
            node_id=node_id,
            failure_domain=failure_domain,
            region="r",
            host=host,
            callers=callers,
            readiness=f"{host}:{pool_demo.READINESS_PORT}",
            peer_port=pool_demo.PEER_PORT,
            metrics_port=pool_demo.METRICS_PORT,
            store=self.fleet.store.address,
            first_start=True,
            bounds=pool_schema.Bounds(
                grace_seconds=GRACE_SECONDS, retry_share=0.2, retry_reserve=100
            ),
        )
        kernel = pool_assembly.build(settings)
        self.kernels.append(kernel)
        self.addresses.append(callers)
        await kernel.start()
        return kernel

    async def stop(self):
        for kernel in self.kernels:
            await kernel.stop()
        await self.fleet.stop()

    @property
    def relays(self):
        return [kernel.find(names.RELAY, relay.Relay) for kernel in self.kernels]

    @property
    def peers(self):
        return [kernel.find(names.PEERS, peers.PeerNetwork) for kernel in self.kernels]

    @property
    def targets(self):
        return [kernel.find(names.TARGETS, targets.Targets) for kernel in self.kernels]

    @property
    def controllers(self):
        return [
            kernel.find(names.CONTROLLER, pool_controller.Controller) for kernel in self.kernels
        ]

    async def formed(self, count, model=""):
        """Waits until groups are open and all nodes know of them."""
        await pool_fleet.until(lambda: len(self.fleet.open_groups(model)) >= count)
        await pool_fleet.until(
            lambda: all(
                len(one.matching(pool_fleet.MODEL_SERVICE, model)) >= count for one in self.targets
            )
        )

    async def known(self, condition):
        """Waits until what each node knows fits a condition."""
        await pool_fleet.until(lambda: all(condition(one.knowledge) for one in self.relays))

    def attempt(self):
        return f"attempt-{next(self._attempts)}"

    async def call(self, path, *, node=0, method="POST", body=b"x", attempt=None, **headers):
        """Calls a node; returns the answer, whatever its status, with its attempt id."""
        attempt = attempt or self.attempt()
        model = pool_fleet.LARGE if path.startswith("/draft") else ""
        sent = pool_fleet.call_headers(attempt, model=model) | {"X-Deadline-Ms": "4000"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        request = tornado.httpclient.HTTPRequest(
            f"http://{self.addresses[node]}{path}",
            method=method,
            headers={name: value for name, value in sent.items() if value},
            body=None if method == "GET" else body,
            request_timeout=10,
        )
        answer = await self._client.fetch(request, raise_error=False)
        answer.attempt = attempt
        return answer

    async def draft(self, **more):
        return await self.call("/draft/one?x=1", **more)


@contextlib.asynccontextmanager
async def running(*, nodes=1, **fleet):
    """Runs nodes before a fleet until the block ends."""
    bench = Nodes(**fleet)
    try:
        await bench.start(nodes=nodes)
        yield bench
    finally:
        await bench.stop()


def event_ids(body):
    """Returns the ids of the events of a stream."""
    return [int(line[4:]) for line in body.decode().splitlines() if line.startswith("id: ")]
