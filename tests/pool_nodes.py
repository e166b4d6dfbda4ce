"""Nodes of a pool, run in the test's process against an emulated platform."""

import contextlib
import json
import math

import tornado.httpclient

from basilpost.core import names
from basilpost.emulator import pool_fleet
from basilpost.gateway import relay
from basilpost.groups import pool_controller
from basilpost.members import feed, loads, peers, reachability
from basilpost.node import pool_assembly, pool_demo
from basilpost.routing import targets
from basilpost.settings import pool_schema
from tests import cut_links

GRACE_SECONDS = 4.0
# Calls that the client has in flight at once.
MAX_CALLS = 200


class Nodes:
    """Nodes in front of an emulated platform and its runners.

    Attributes:
        kernels: The kernel of each node.
        links: The connections of each node to runners, which a test may cut.
        addresses: Each node's address for callers.

    Args:
        contracts: Parts of the platform's terms that are in force.
        fleet: Arguments of the emulated platform.
    """

    def __init__(self, *, contracts=(), **fleet):
        self._contracts = contracts
        self.fleet = pool_fleet.PoolFleet(**fleet)
        self.kernels = []
        self.links = []
        self.addresses = []
        self._client = tornado.httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CALLS
        )
        self._attempt_numbers = iter(range(1, 1_000_000))

    async def start(self, *, nodes=1):
        await self.fleet.start()
        for number in range(nodes):
            await self.add(f"node-{number}")
        await pool_fleet.until(lambda: all(node_relay.ready for node_relay in self.relays))
        # Their first status requests are over, so that later ones have another reason.
        await pool_fleet.until(
            lambda: all(reachable._checked_at > -math.inf for reachable in self.reachabilities)
        )

    async def add(self, node_id, *, failure_domain="a", start=True, first_start=True):
        host = pool_demo.random_loopback_host()
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
            first_start=first_start,
            bounds=pool_schema.Bounds(
                grace_seconds=GRACE_SECONDS, retry_share=0.2, retry_reserve=100
            ),
            contracts=self._contracts,
        )
        kernel = pool_assembly.build(settings)
        self.kernels.append(kernel)
        node_relay = kernel.find(names.RELAY, relay.Relay)
        self.links.append(cut_links.Links(node_relay.forwarder.sender.pool))
        self.addresses.append(callers)
        if start:
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
    def forwarders(self):
        return [node_relay.forwarder for node_relay in self.relays]

    @property
    def reachabilities(self):
        return [
            kernel.find(names.REACHABILITY, reachability.Reachability) for kernel in self.kernels
        ]

    @property
    def loads(self):
        return [kernel.find(names.LOADS, loads.Loads) for kernel in self.kernels]

    @property
    def feeds(self):
        return [kernel.find(names.FEED, feed.Feed) for kernel in self.kernels]

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

    async def wait_for_groups(self, count, model=""):
        """Waits until `count` groups of a model are open and all nodes list them as targets."""
        await pool_fleet.until(lambda: len(self.fleet.open_groups(model)) >= count)
        await pool_fleet.until(
            lambda: all(
                len(node_targets.matching(pool_fleet.MODEL_SERVICE, model)) >= count
                for node_targets in self.targets
            )
        )

    async def wait_for_knowledge(self, condition):
        """Waits until a condition holds for the knowledge of each node."""
        await pool_fleet.until(
            lambda: all(condition(node_relay.knowledge) for node_relay in self.relays)
        )

    def next_attempt_id(self):
        return f"attempt-{next(self._attempt_numbers)}"

    async def call(
        self, path, *, node=0, method="POST", body=b"x", attempt=None, leaves_after=10, **headers
    ):
        """Sends a request to a node and returns the answer, whatever its status.

        The answer's `attempt` is the attempt id that was sent. Without an answer the caller closes the
        connection after `leaves_after` seconds.
        """
        attempt = attempt or self.next_attempt_id()
        model = pool_fleet.LARGE if path.startswith("/draft") else ""
        all_headers = pool_fleet.call_headers(attempt, model=model) | {"X-Deadline-Ms": "4000"}
        all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        request = tornado.httpclient.HTTPRequest(
            f"http://{self.addresses[node]}{path}",
            method=method,
            headers={name: value for name, value in all_headers.items() if value},
            body=None if method == "GET" else body,
            request_timeout=leaves_after,
        )
        answer = await self._client.fetch(request, raise_error=False)
        answer.attempt = attempt
        return answer

    async def draft(self, **options):
        return await self.call("/draft/one?x=1", **options)


@contextlib.asynccontextmanager
async def running(*, nodes=1, contracts=(), **fleet):
    """Starts an emulated platform with nodes in front of it and stops both at the end."""
    bench = Nodes(contracts=contracts, **fleet)
    try:
        await bench.start(nodes=nodes)
        yield bench
    finally:
        await bench.stop()


def event_ids(body):
    """Returns the ids of the events of a stream."""
    return [int(line[4:]) for line in body.decode().splitlines() if line.startswith("id: ")]


def error_code(answer):
    """Returns the code of a refusal by a node, empty for any other answer."""
    try:
        return json.loads(answer.body)["error"]["code"]
    except (TypeError, ValueError, KeyError):
        return ""
