"""The users' platform in one process: store and runners emulated, two nodes real.

It shows the path through the platform's adapter: groups formed from a pool, a stream served, a VM lost
and its group rebuilt with the spare, a filing whose answer is lost.
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
RETRY_SHARE = 0.2
RETRY_RESERVE = 100.0
CALLERS_PORT, READINESS_PORT, PEER_PORT, METRICS_PORT = 8001, 8002, 8003, 8004

Say = Callable[[str], None]


class PoolDemo:
    """Emulated platform and pool with two nodes before them."""

    def __init__(self) -> None:
        self.fleet = pool_fleet.PoolFleet(vms=4, plain=1)
        self._kernels: list[kernel_.Kernel] = []
        self._callers: list[str] = []
        self._attempts = itertools.count(1)
        self._client = tornado.httpclient.AsyncHTTPClient(force_instance=True)

    async def start(self) -> None:
        """Starts everything and waits until a group serves."""
        await self.fleet.start()
        for number in (1, 2):
            settings = settings_of(f"node-{number}", self.fleet.store.address)
            kernel = pool_assembly.build(settings)
            self._kernels.append(kernel)
            self._callers.append(settings.callers)
            await kernel.start()
        await self.serving()

    async def stop(self) -> None:
        """Stops everything."""
        for kernel in self._kernels:
            await kernel.stop()
        await self.fleet.stop()

    async def serving(self, *, but: str = "") -> str:
        """Waits until all nodes know an open group other than `but`; returns its name."""

        def known() -> bool:
            return all(
                any(not one.target_id.startswith(f"{but}@") for one in self._groups(kernel))
                for kernel in self._kernels
            )

        await pool_fleet.until(known)
        return self._groups(self._kernels[0])[0].target_id.rpartition("@")[0]

    def members(self, group: str) -> list[pool_runner.PoolRunner]:
        """Returns the runners of a group by rank."""
        found = [
            runner
            for runner in self.fleet.runners_by_id.values()
            if runner.member is not None and runner.member["name"] == group
        ]
        return sorted(found, key=lambda runner: runner.member["rank"] if runner.member else 0)

    async def call(self, node: int, path: str) -> tuple[str, tornado.httpclient.HTTPResponse]:
        """Makes a call; returns the request's id and the answer."""
        request_id = f"demo-{next(self._attempts)}"
        model = pool_fleet.LARGE if path.startswith("/draft") else ""
        request = tornado.httpclient.HTTPRequest(
            f"http://{self._callers[node]}{path}",
            method="POST",
            body=b"who holds the rights of reel 7?",
            headers=pool_fleet.call_headers(request_id, model=model),
        )
        return request_id, await self._client.fetch(request, raise_error=False)

    def _groups(self, kernel: kernel_.Kernel) -> tuple[targets.Target, ...]:
        known = kernel.find(names.TARGETS, targets.Targets)
        return known.matching(pool_fleet.MODEL_SERVICE, pool_fleet.LARGE)


async def tour(demo: PoolDemo, say: Say) -> None:
    """Shows the path step by step; fails with AssertionError if it does not come out as it should."""
    group = await demo.serving()
    names_ = [runner.vm_id for runner in demo.members(group)]
    say(f"Group {group} is open: head {names_[0]}, members {', '.join(names_[1:])}.")
    for node in (0, 1):
        request_id, answer = await demo.call(node, "/draft/summary")
        assert answer.code == 200
        (ran,) = demo.fleet.ran(request_id)
        events = answer.body.count(b"id: ")
        say(f"node-{node + 1} passed {events} events on; {ran.group} ran it once.")
    lost = demo.members(group)[1]
    await lost.vanish()
    rebuilt = await demo.serving(but=group)
    assert lost not in demo.members(rebuilt)
    say(f"{lost.vm_id} is lost; {rebuilt} is open with the spare.")
    demo.fleet.runners_by_id["desk-0"].options.lose_answers = 1
    request_id, answer = await demo.call(0, "/filing/licence")
    runs = len(demo.fleet.ran(request_id))
    assert (answer.code, runs) == (502, 1)
    outcome = answer.headers[names.OUTCOME_HEADER]
    say(f"The answer to a filing was lost: status {answer.code}, outcome {outcome}, {runs} run.")


def own_host() -> str:
    """Returns a loopback address of its own, so that ports meet those of no other process."""
    chance = random.SystemRandom()
    return ".".join(["127", *(str(chance.randrange(1, 255)) for _ in range(3))])


def settings_of(node_id: str, store: str) -> pool_schema.PoolNodeSettings:
    """Returns the settings of a node of its own address before a store at `host:port`."""
    host = own_host()
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
            grace_seconds=GRACE_SECONDS, retry_share=RETRY_SHARE, retry_reserve=RETRY_RESERVE
        ),
    )
