"""The whole system in one process: platform and back ends emulated, nodes real.

It is what a newcomer runs first: it forms groups, answers a question, files a licence twice, loses a
VM and takes a failure domain out and back, and says what it sees.
"""

import asyncio
import json
import socket
import time
from collections.abc import Awaitable, Callable

import tornado.httpclient

from basilpost.admin import api
from basilpost.core import codec, data, hashing, names
from basilpost.core import kernel as kernel_
from basilpost.emulator import fleet, records
from basilpost.gateway import server
from basilpost.members import directory
from basilpost.node import assembly
from basilpost.settings import schema
from basilpost.store import http_vms

API_KEY = "demo-key"
ADMIN_TOKEN = "demo-admin"
_FAILURE_DOMAINS = ("kz-south-a", "kz-south-b")
_VMS_PER_GROUP = 4
_WAIT_SECONDS = 20.0
_POLL_SECONDS = 0.1

Say = Callable[[str], None]

SERVICES = (
    data.Service(
        name="clearance",
        kind=data.ServiceKind.MODEL,
        pool=fleet.MODEL_POOL,
        model="clearance-drafts",
        model_version="1",
        vms_per_group=_VMS_PER_GROUP,
        cold_seconds=0.5,
    ),
    data.Service(
        name="licences",
        kind=data.ServiceKind.PLAIN,
        pool=fleet.PLAIN_POOL,
        cold_seconds=0.2,
        routes=(data.Route(method="GET", idempotent=True),),
    ),
)
QUESTION = {
    "model": "clearance",
    "max_tokens": 16,
    "messages": [{"role": "user", "content": "Who holds the rights of reel 7?"}],
}


class Demo:
    """Emulated platform and back ends with two nodes before them."""

    def __init__(self, *, port: int = 0) -> None:
        plan = fleet.FleetPlan(
            failure_domains=_FAILURE_DOMAINS,
            vms_per_fabric_domain=_VMS_PER_GROUP + 1,
            runner=records.RunnerOptions(token_interval=0.01, warm_seconds=0.5),
        )
        self.fleet = fleet.Fleet(plan=plan)
        self.kernels: list[kernel_.Kernel] = []
        self._port = port
        self._client = tornado.httpclient.AsyncHTTPClient(force_instance=True)

    async def start(self) -> None:
        """Starts everything and waits until requests are served."""
        await self.fleet.start()
        await self._configure()
        first = await self._start_node("node-1", _FAILURE_DOMAINS[0], self._port, ())
        peer = schema.Peer(node_id="node-1", address=first)
        await self._start_node("node-2", _FAILURE_DOMAINS[1], 0, (peer,))
        await self.until(lambda: len(self.serving("clearance")) == len(_FAILURE_DOMAINS))
        await self.until(lambda: len(self.serving("licences")) == len(_FAILURE_DOMAINS))

    async def stop(self) -> None:
        """Stops the nodes as planned, then the stand-ins."""
        for kernel in reversed(self.kernels):
            await kernel.stop()
        self._client.close()
        await self.fleet.stop()

    def serving(self, service: str) -> list[data.Group]:
        """Returns the groups that node-1 would give work to."""
        found = self.kernels[0].find(names.DIRECTORY, directory.Directory)
        in_service = found.config().in_service
        return [
            group
            for group in found.groups_for(service)
            if group.serving and in_service(group.failure_domain)
        ]

    async def until(self, check: Callable[[], bool]) -> float:
        """Waits until a check holds; returns the seconds it took.

        Raises:
            TimeoutError: If it does not hold in time.
        """
        started = time.monotonic()
        async with asyncio.timeout(_WAIT_SECONDS):
            while not check():
                await asyncio.sleep(_POLL_SECONDS)
        return time.monotonic() - started

    def gateway_url(self, number: int) -> str:
        """Returns a node's base URL for callers."""
        return f"http://127.0.0.1:{self.kernels[number].find(names.GATEWAY, server.Gateway).port}"

    def admin_url(self) -> str:
        """Returns node-1's base URL for operators."""
        return f"http://127.0.0.1:{self.kernels[0].find(names.ADMIN, api.AdminApi).port}"

    async def call(
        self, number: int, path: str, body: object, **headers: str
    ) -> tornado.httpclient.HTTPResponse:
        """Posts a caller's request to a node."""
        given = {name.replace("_", "-"): value for name, value in headers.items()}
        return await self._client.fetch(
            self.gateway_url(number) + path,
            method="POST",
            body=json.dumps(body),
            headers={"Authorization": f"Bearer {API_KEY}", **given},
            raise_error=False,
        )

    async def operate(self, path: str, body: object) -> tornado.httpclient.HTTPResponse:
        """Posts an operator's request to node-1."""
        return await self._client.fetch(
            f"{self.admin_url()}/admin/v1{path}",
            method="POST",
            body=json.dumps(body),
            headers={"Authorization": f"Bearer {ADMIN_TOKEN}"},
            raise_error=False,
        )

    async def _configure(self) -> None:
        workspace = data.Workspace(name="editors", key_digests=(hashing.key_digest(API_KEY),))
        named = [(names.SERVICE_PREFIX + one.name, one) for one in SERVICES]
        for key, record in [*named, (names.WORKSPACE_PREFIX + workspace.name, workspace)]:
            value = data.ConfigObject(value=codec.to_json(record).decode())
            await self.fleet.objects.store.create(key, codec.to_json(value))

    async def _start_node(
        self, node_id: str, failure_domain: str, port: int, seeds: tuple[schema.Peer, ...]
    ) -> str:
        """Starts a node on the store in memory; returns its address for peers."""
        settings = schema.NodeSettings(
            node_id=node_id,
            failure_domain=failure_domain,
            platform=schema.Platform(
                object_api=self.fleet.object_api_url, vm_list=self.fleet.vm_list_url
            ),
            gateway=schema.Gateway(listen=schema.Listen(port=port)),
            peers=schema.PeerStreams(
                listen=schema.Listen(port=_free_port()), secret="demo", seeds=seeds
            ),
            admin_token_digest=hashing.key_digest(ADMIN_TOKEN),
        )
        platform = assembly.Platform(
            store=self.fleet.objects.store,
            vm_list=http_vms.HttpVmList(base_url=self.fleet.vm_list_url),
        )
        kernel = assembly.build(settings, platform=platform)
        await kernel.start()
        self.kernels.append(kernel)
        return f"127.0.0.1:{settings.peers.listen.port}"


async def tour(demo: Demo, say: Say) -> None:
    """Shows what the system does, step by step.

    Raises:
        TimeoutError: If a step does not come about.
        AssertionError: If a step shows something else than it should.
    """
    steps: tuple[Callable[[Demo, Say], Awaitable[None]], ...] = (
        _show_groups, _ask, _file_twice, _lose_a_vm, _move_a_failure_domain,
    )  # fmt: skip
    for number, step in enumerate(steps, start=1):
        say(f"\n{number}. {(step.__doc__ or '').strip().splitlines()[0]}")
        await step(demo, say)
    say("\nDone: every step came out as it should.")


async def _show_groups(demo: Demo, say: Say) -> None:
    """Groups are formed: complete, within one fabric domain, in no VM twice."""
    for group in demo.serving("clearance"):
        members = ", ".join(member.vm_id for member in group.members)
        say(f"   {group.group_id} (generation {group.generation}): {members}")


async def _ask(demo: Demo, say: Say) -> None:
    """A question goes to any node; its answer is streamed from one complete group."""
    answer = await demo.call(1, "/v1/chat/completions", {**QUESTION, "stream": True})
    text = "".join(_tokens(answer.body))
    say(f"   target {answer.headers['Basilpost-Target']}: {text!r}")
    assert answer.body.endswith(b"data: [DONE]\n\n"), "the answer is not whole"


async def _file_twice(demo: Demo, say: Say) -> None:
    """A licence filing is sent through two nodes at once; it runs once."""
    path, filing = "/services/licences/filings", {"clip": "reel-7", "estate": "north"}
    answers = await asyncio.gather(
        *(demo.call(number, path, filing, Idempotency_Key="reel-7-north") for number in (0, 1))
    )
    for number, answer in enumerate(answers, start=1):
        receipt = json.loads(answer.body)["receipt"]
        replayed = answer.headers.get("Basilpost-Replayed", "false")
        say(f"   node-{number}: status {answer.code}, receipt {receipt}, replayed {replayed}")
    runs = sum(len(one.filings) for one in demo.fleet.services_by_vm_id.values())
    say(f"   the back ends' own logs show {runs} run")
    assert runs == 1, f"the filing ran {runs} times"


async def _lose_a_vm(demo: Demo, say: Say) -> None:
    """A VM is lost: its group takes no work until it is whole again, with a spare."""
    group = demo.serving("clearance")[0]
    lost = group.members[2].vm_id
    await demo.fleet.lose_vm(lost)
    whole = len(_FAILURE_DOMAINS)
    noticed = await demo.until(lambda: len(demo.serving("clearance")) < whole)
    say(f"   {lost} of {group.group_id} is gone; noticed after {noticed:.1f} s")
    answer = await demo.call(0, "/v1/chat/completions", QUESTION)
    say(f"   meanwhile {answer.headers['Basilpost-Target']} answers")
    rebuilt = await demo.until(lambda: len(demo.serving("clearance")) == whole)
    say(f"   rebuilt with the spare VM {rebuilt:.1f} s later")


async def _move_a_failure_domain(demo: Demo, say: Say) -> None:
    """An operator takes a failure domain out for maintenance and brings it back."""
    name = _FAILURE_DOMAINS[0]
    body = {"reason": "power maintenance"}
    taken_out = await demo.operate(f"/failure-domains/{name}/out", body)
    assert taken_out.code == 200, taken_out.body
    await demo.until(lambda: len(demo.serving("clearance")) == 1)
    answers = [await demo.call(0, "/v1/chat/completions", QUESTION) for _ in range(4)]
    targets = {answer.headers.get("Basilpost-Target") for answer in answers}
    say(f"   {name} is out; {len(answers)} of {len(answers)} questions went to {targets}")
    assert {answer.code for answer in answers} == {200}, "a question was not answered"
    await demo.operate(f"/failure-domains/{name}/in", body)
    back = await demo.until(lambda: len(demo.serving("clearance")) == len(_FAILURE_DOMAINS))
    say(f"   {name} is back in service after {back:.1f} s")


def _tokens(body: bytes) -> list[str]:
    parsed = [
        json.loads(event.removeprefix("data: "))
        for event in body.decode().strip().split("\n\n")
        if event != "data: [DONE]"
    ]
    return [one["choices"][0]["delta"].get("content", "") for one in parsed]


def _free_port() -> int:
    """Returns a port that was free a moment ago; peers have to know it before the node starts."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port
