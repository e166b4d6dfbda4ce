"""A demo of the whole system in one process, with an emulated platform and emulated back ends.

Two real nodes form groups, answer a question, file a licence twice, lose a VM, and take a failure
domain out of service and back. Each step prints what happened.
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
    """Two nodes, with an emulated platform and emulated back ends."""

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
        """Starts everything and waits until all groups of both services serve."""
        await self.fleet.start()
        await self._configure()
        peer_address = await self._start_node("node-1", _FAILURE_DOMAINS[0], self._port, ())
        peer = schema.Peer(node_id="node-1", address=peer_address)
        await self._start_node("node-2", _FAILURE_DOMAINS[1], 0, (peer,))
        await self.wait_until(
            lambda: len(self.serving_groups("clearance")) == len(_FAILURE_DOMAINS)
        )
        await self.wait_until(lambda: len(self.serving_groups("licences")) == len(_FAILURE_DOMAINS))

    async def stop(self) -> None:
        """Stops the nodes, then the emulated platform and back ends."""
        for kernel in reversed(self.kernels):
            await kernel.stop()
        self._client.close()
        await self.fleet.stop()

    def serving_groups(self, service: str) -> list[data.Group]:
        """Returns the groups of a service to which node-1 sends new work."""
        node_directory = self.kernels[0].find(names.DIRECTORY, directory.Directory)
        in_service = node_directory.config().in_service
        return [
            group
            for group in node_directory.groups_for(service)
            if group.serving and in_service(group.failure_domain)
        ]

    async def wait_until(self, check: Callable[[], bool]) -> float:
        """Waits until a check returns True; returns the seconds that it took.

        Raises:
            TimeoutError: If it does not within _WAIT_SECONDS.
        """
        started = time.monotonic()
        async with asyncio.timeout(_WAIT_SECONDS):
            while not check():
                await asyncio.sleep(_POLL_SECONDS)
        return time.monotonic() - started

    def gateway_url(self, number: int) -> str:
        """Returns the base URL of a node's gateway; nodes are numbered from 0."""
        return f"http://127.0.0.1:{self.kernels[number].find(names.GATEWAY, server.Gateway).port}"

    def admin_url(self) -> str:
        """Returns the base URL of node-1's admin API."""
        return f"http://127.0.0.1:{self.kernels[0].find(names.ADMIN, api.AdminApi).port}"

    async def call(
        self, number: int, path: str, body: object, **headers: str
    ) -> tornado.httpclient.HTTPResponse:
        """Posts a caller's request to a node; underscores in header names become dashes."""
        extra_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        return await self._client.fetch(
            self.gateway_url(number) + path,
            method="POST",
            body=json.dumps(body),
            headers={"Authorization": f"Bearer {API_KEY}", **extra_headers},
            raise_error=False,
        )

    async def post_admin(self, path: str, body: object) -> tornado.httpclient.HTTPResponse:
        """Posts an operator's request to the admin API of node-1."""
        return await self._client.fetch(
            f"{self.admin_url()}/admin/v1{path}",
            method="POST",
            body=json.dumps(body),
            headers={"Authorization": f"Bearer {ADMIN_TOKEN}"},
            raise_error=False,
        )

    async def _configure(self) -> None:
        workspace = data.Workspace(name="editors", key_digests=(hashing.key_digest(API_KEY),))
        services = [(names.SERVICE_PREFIX + service.name, service) for service in SERVICES]
        for key, record in [*services, (names.WORKSPACE_PREFIX + workspace.name, workspace)]:
            value = data.ConfigObject(value=codec.to_json(record).decode())
            await self.fleet.objects.store.create(key, codec.to_json(value))

    async def _start_node(
        self, node_id: str, failure_domain: str, port: int, seeds: tuple[schema.Peer, ...]
    ) -> str:
        """Starts a node on the in-memory store; returns its address for peers."""
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


async def run_steps(demo: Demo, say: Say) -> None:
    """Runs the steps of the demo and prints each one with `say`.

    Raises:
        TimeoutError: If a step does not complete in time.
        AssertionError: If a step has another result than it should.
    """
    steps: tuple[Callable[[Demo, Say], Awaitable[None]], ...] = (
        _show_groups, _ask_question, _file_twice, _lose_a_vm, _move_a_failure_domain,
    )  # fmt: skip
    for number, step in enumerate(steps, start=1):
        say(f"\n{number}. {(step.__doc__ or '').strip().splitlines()[0]}")
        await step(demo, say)
    say("\nDone: every step came out as it should.")


async def _show_groups(demo: Demo, say: Say) -> None:
    """Groups are formed: complete, within one fabric domain, in no VM twice."""
    for group in demo.serving_groups("clearance"):
        members = ", ".join(member.vm_id for member in group.members)
        say(f"   {group.group_id} (generation {group.generation}): {members}")


async def _ask_question(demo: Demo, say: Say) -> None:
    """A question goes to any node; its answer is streamed from one complete group."""
    answer = await demo.call(1, "/v1/chat/completions", {**QUESTION, "stream": True})
    text = "".join(_tokens(answer.body))
    say(f"   target {answer.headers['Basilpost-Target']}: {text!r}")
    assert answer.body.endswith(b"data: [DONE]\n\n"), "the answer is incomplete"


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
    runs = sum(len(instance.filings) for instance in demo.fleet.services_by_vm_id.values())
    say(f"   the back ends' own logs show {runs} run")
    assert runs == 1, f"the filing ran {runs} times"


async def _lose_a_vm(demo: Demo, say: Say) -> None:
    """A VM is lost: its group takes no work until it is whole again, with a spare."""
    group = demo.serving_groups("clearance")[0]
    lost = group.members[2].vm_id
    await demo.fleet.lose_vm(lost)
    expected = len(_FAILURE_DOMAINS)
    noticed_seconds = await demo.wait_until(
        lambda: len(demo.serving_groups("clearance")) < expected
    )
    say(f"   {lost} of {group.group_id} is gone; noticed after {noticed_seconds:.1f} s")
    answer = await demo.call(0, "/v1/chat/completions", QUESTION)
    say(f"   meanwhile {answer.headers['Basilpost-Target']} answers")
    rebuilt_seconds = await demo.wait_until(
        lambda: len(demo.serving_groups("clearance")) == expected
    )
    say(f"   rebuilt with the spare VM {rebuilt_seconds:.1f} s later")


async def _move_a_failure_domain(demo: Demo, say: Say) -> None:
    """An operator takes a failure domain out for maintenance and brings it back."""
    name = _FAILURE_DOMAINS[0]
    body = {"reason": "power maintenance"}
    taken_out = await demo.post_admin(f"/failure-domains/{name}/out", body)
    assert taken_out.code == 200, taken_out.body
    await demo.wait_until(lambda: len(demo.serving_groups("clearance")) == 1)
    answers = [await demo.call(0, "/v1/chat/completions", QUESTION) for _ in range(4)]
    targets = {answer.headers.get("Basilpost-Target") for answer in answers}
    say(f"   {name} is out; {len(answers)} of {len(answers)} questions went to {targets}")
    assert {answer.code for answer in answers} == {200}, "a question was not answered"
    await demo.post_admin(f"/failure-domains/{name}/in", body)
    back_seconds = await demo.wait_until(
        lambda: len(demo.serving_groups("clearance")) == len(_FAILURE_DOMAINS)
    )
    say(f"   {name} is back in service after {back_seconds:.1f} s")


def _tokens(body: bytes) -> list[str]:
    chunks = [
        json.loads(event.removeprefix("data: "))
        for event in body.decode().strip().split("\n\n")
        if event != "data: [DONE]"
    ]
    return [chunk["choices"][0]["delta"].get("content", "") for chunk in chunks]


def _free_port() -> int:
    """Returns a port that was free a moment ago; peers need it before the node starts."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port
