"""A demo of nodes that serve a pool of VMs of the users' platform, all in one process.

The users' platform runs the VMs and the object store; here both are emulated.

Two real nodes with the adapter in `basilpost.platform` form groups from a pool, serve a stream,
rebuild a group with the spare VM after another one is lost, and answer a call to a plain service
whose answer was lost with the outcome "unknown". Paths and printed texts name this call a filing.
"""

import itertools
import random
from collections.abc import Callable

import tornado.httpclient

from basilpost.core import kernel as kernel_
from basilpost.core import names
from basilpost.emulator import pool_fleet, pool_runner
from basilpost.node import pool_assembly
from basilpost.routing import targets
from basilpost.settings import pool_schema

GRACE_SECONDS = 4.0
# Retries per request, and further retries in number; see `pool_schema.Bounds`.
RETRY_SHARE = 0.2
RETRY_RESERVE = 100.0
# The port after that of the peers serves detours.
CALLERS_PORT, READINESS_PORT, PEER_PORT, METRICS_PORT = 8001, 8002, 8003, 8005

Say = Callable[[str], None]


class PoolDemo:
    """Two nodes with an emulated platform.

    Attributes:
        fleet: The emulated store, four runners of model engines and one plain service.
    """

    def __init__(self) -> None:
        self.fleet = pool_fleet.PoolFleet(vms=4, plain_instances=1)
        self._kernels: list[kernel_.Kernel] = []
        self._gateway_addresses: list[str] = []
        self._attempts = itertools.count(1)
        self._client = tornado.httpclient.AsyncHTTPClient(force_instance=True)

    async def start(self) -> None:
        """Starts everything and waits until all nodes know an open group, one that accepts requests."""
        await self.fleet.start()
        for number in (1, 2):
            settings = node_settings(f"node-{number}", self.fleet.store.address)
            kernel = pool_assembly.build(settings)
            self._kernels.append(kernel)
            self._gateway_addresses.append(settings.callers)
            await kernel.start()
        await self.wait_for_group()

    async def stop(self) -> None:
        """Stops the nodes, then the emulated platform."""
        for kernel in self._kernels:
            await kernel.stop()
        await self.fleet.stop()

    async def wait_for_group(self, *, excluding: str = "") -> str:
        """Waits until all nodes know an open group besides `excluding`; returns a name."""

        def known_by_all() -> bool:
            return all(
                any(
                    not target.target_id.startswith(f"{excluding}@")
                    for target in self._known_groups(kernel)
                )
                for kernel in self._kernels
            )

        await pool_fleet.until(known_by_all)
        return self._known_groups(self._kernels[0])[0].target_id.rpartition("@")[0]

    def runners_of_group(self, group: str) -> list[pool_runner.PoolRunner]:
        """Returns the runners of a group in the order of their ranks."""
        members = [
            runner
            for runner in self.fleet.runners_by_id.values()
            if runner.member is not None and runner.member["name"] == group
        ]
        return sorted(members, key=lambda runner: runner.member["rank"] if runner.member else 0)

    async def call(self, node: int, path: str) -> tuple[str, tornado.httpclient.HTTPResponse]:
        """Posts a request to a node, numbered from 0; returns the request's id and the answer."""
        request_id = f"demo-{next(self._attempts)}"
        model = pool_fleet.LARGE if path.startswith("/draft") else ""
        request = tornado.httpclient.HTTPRequest(
            f"http://{self._gateway_addresses[node]}{path}",
            method="POST",
            body=b"who holds the rights of reel 7?",
            headers=pool_fleet.call_headers(request_id, model=model),
        )
        return request_id, await self._client.fetch(request, raise_error=False)

    def _known_groups(self, kernel: kernel_.Kernel) -> tuple[targets.Target, ...]:
        known = kernel.find(names.TARGETS, targets.Targets)
        return known.matching(pool_fleet.MODEL_SERVICE, pool_fleet.LARGE)


async def run_steps(demo: PoolDemo, say: Say) -> None:
    """Runs the steps of the demo and prints each one with `say`.

    Raises:
        AssertionError: If a step has another result than it should.
    """
    group = await demo.wait_for_group()
    vm_ids = [runner.vm_id for runner in demo.runners_of_group(group)]
    say(f"Group {group} is open: head {vm_ids[0]}, members {', '.join(vm_ids[1:])}.")
    for node in (0, 1):
        request_id, answer = await demo.call(node, "/draft/summary")
        assert answer.code == 200
        (run,) = demo.fleet.runs_of(request_id)
        events = answer.body.count(b"id: ")
        say(f"node-{node + 1} passed {events} events on; {run.group} ran it once.")
    lost = demo.runners_of_group(group)[1]
    await lost.vanish()
    rebuilt = await demo.wait_for_group(excluding=group)
    assert lost not in demo.runners_of_group(rebuilt)
    say(f"{lost.vm_id} is lost; {rebuilt} is open with the spare.")
    demo.fleet.runners_by_id["desk-0"].options.lose_answers = 1
    request_id, answer = await demo.call(0, "/filing/licence")
    runs = len(demo.fleet.runs_of(request_id))
    assert (answer.code, runs) == (502, 1)
    outcome = answer.headers[names.OUTCOME_HEADER]
    say(f"The answer to a filing was lost: status {answer.code}, outcome {outcome}, {runs} run.")


def random_loopback_host() -> str:
    """Returns a random loopback address, on which the fixed ports are most likely free."""
    generator = random.SystemRandom()
    return ".".join(["127", *(str(generator.randrange(1, 255)) for _ in range(3))])


def node_settings(
    node_id: str, store: str, *, grace_seconds: float = GRACE_SECONDS
) -> pool_schema.PoolNodeSettings:
    """Returns the settings of a node on a random loopback address with a store at `host:port`."""
    host = random_loopback_host()
    return pool_schema.PoolNodeSettings(
        node_id=node_id,
        failure_domain="a",
        region="r",
        host=host,
        callers=f"{host}:{CALLERS_PORT}",
        readiness=f"{host}:{READINESS_PORT}",
        peer_port=PEER_PORT,
        metrics_port=METRICS_PORT,
        store=store,
        first_start=True,
        bounds=pool_schema.Bounds(
            grace_seconds=grace_seconds, retry_share=RETRY_SHARE, retry_reserve=RETRY_RESERVE
        ),
    )
