"""Tests of the gateway against scripted targets on loopback.

A filing is a call of the plain service `licences`, whose POST routes are not idempotent.
"""

import asyncio
import contextlib
import dataclasses
import json
import resource
import socket
import tracemalloc

import pytest
import tornado.httpclient
import tornado.httpserver
import tornado.iostream
import tornado.netutil
import tornado.web

from basilpost.core import data, failure, hashing, kernel, names
from basilpost.gateway import server
from basilpost.groups import fakes as group_fakes
from basilpost.members import fakes as member_fakes
from basilpost.members import standing
from basilpost.routing import fakes as routing_fakes
from basilpost.runs import ledger, witnesses
from basilpost.settings import schema

TOKENS = [f"t{number}" for number in range(6)]
QUESTION = {"model": "drafts", "messages": [{"role": "user", "content": "who holds the rights?"}]}


class Script:
    """The faults of a scripted target, and the requests that it received."""

    def __init__(self, **faults):
        self.die_after = faults.get("die_after")
        self.crossed = faults.get("crossed", False)
        self.refuse = faults.get("refuse", False)
        self.silent = faults.get("silent", False)
        self.drop = faults.get("drop", False)
        self.text = faults.get("text", "whole")
        self.seen = []


class TargetHandler(tornado.web.RequestHandler):
    def initialize(self, script):
        self.script = script

    async def post(self, *_):
        request_id = self.request.headers["X-Request-Id"]
        self.script.seen.append((request_id, self.request.headers.get("Basilpost-Resume-From")))
        if self.script.silent:
            await asyncio.sleep(30)
        if self.script.drop:
            self.request.connection.stream.close()
            return
        if self.script.refuse:
            self.set_status(409)
            self.set_header("Basilpost-Outcome", "not-run")
        answered_id = "other" if self.script.crossed else request_id
        self.set_header("X-Request-Id", answered_id)
        if not self.script.refuse and b'"stream": true' in self.request.body:
            await self._stream(answered_id)
        else:
            self.finish({"id": answered_id, "text": self.script.text})

    get = post

    async def _stream(self, answered_id):
        first = int(self.request.headers.get("Basilpost-Resume-From", "0"))
        for number, token in enumerate(TOKENS[first:]):
            if self.script.die_after == number:
                self.request.connection.stream.close()
                return
            event = {"id": answered_id, "choices": [{"delta": {"content": token}}]}
            self.write(f"data: {json.dumps(event)}\n\n")
            await self.flush()
        self.finish("data: [DONE]\n\n")


class MemoryLedger(ledger.Ledger):
    """A ledger that holds the claims of one node in memory."""

    def __init__(self):
        self.state_by_key = {}

    async def claim(self, call, *, timeout):
        known = self.state_by_key.get(call.key)
        if isinstance(known, ledger.Answer):
            return ledger.Replayed(answer=known)
        if known is not None:
            return failure.Refusal(
                reason=known, code="outcome", status=409, outcome=failure.Outcome.UNKNOWN
            )
        self.state_by_key[call.key] = "claimed"
        return ledger.Claim(call=call, attempt_id="a", node_id="n", confirmed_at=0.0)

    async def may_dispatch(self, claim):
        return True

    async def finish(self, claim, answer):
        self.state_by_key[claim.call.key] = answer

    async def withdraw(self, claim):
        del self.state_by_key[claim.call.key]

    async def mark_unknown(self, claim, reason):
        self.state_by_key[claim.call.key] = "unknown"


class Bench:
    """A gateway with scripted targets behind it."""

    def __init__(self):
        self.servers = []
        self.slots = group_fakes.FakeSlots()
        self.quarantine = routing_fakes.FakeQuarantine()
        self.ledger = MemoryLedger()
        self.standing = member_fakes.FakeStanding()

    async def start(self, *scripts):
        groups = tuple(
            self.target(number, script, service)
            for service in ("drafts", "licences")
            for number, script in enumerate(scripts)
        )
        self.admission = routing_fakes.FakeAdmission(groups=groups, slots=self.slots)
        node = kernel.Kernel(node_id="node-1")
        routes = (data.Route(method="GET", idempotent=True),)
        config = data.Config(
            services_by_name={
                "drafts": data.Service(
                    name="drafts",
                    kind=data.ServiceKind.MODEL,
                    pool="gpu",
                    stream_silence_seconds=0.3,
                ),
                "licences": data.Service(
                    name="licences", kind=data.ServiceKind.PLAIN, pool="app", routes=routes
                ),
            },
            workspaces_by_name={
                "editors": data.Workspace(name="editors", key_digests=(hashing.key_digest("key"),))
            },
        )
        seeds = (schema.Peer(node_id="node-2", address="127.0.0.1:1"),)
        gateway = schema.Gateway(
            max_body_bytes=1000, upload_seconds=1.0, drain_grace_seconds=0.05, drain_seconds=3.0
        )
        settings = schema.NodeSettings(
            node_id="node-1",
            failure_domain="a",
            platform=schema.Platform(object_api="http://unused", vm_list="http://unused"),
            gateway=gateway,
            peers=schema.PeerStreams(seeds=seeds),
        )
        node.register(names.SETTINGS, settings)
        self.directory = member_fakes.FakeDirectory(config=config, groups=groups)
        node.register(names.DIRECTORY, self.directory)
        node.register(names.STANDING, self.standing)
        node.register(names.HEALTH, group_fakes.FakeHealth())
        node.register(names.ADMISSION, self.admission)
        node.register(names.QUARANTINE, self.quarantine)
        node.register(names.LEDGER, self.ledger)
        self.hub = member_fakes.PeerHub()
        self.peers = [
            member_fakes.FakePeers(node_id=node_id, hub=self.hub)
            for node_id in ("node-1", "node-2")
        ]
        witnesses.Witnesses(network=self.peers[1])
        node.register(names.PEERS, self.peers[0])
        node.register(names.REPLICA, member_fakes.FakeReplica())
        self.gateway = server.Gateway(kernel=node)
        await self.gateway.start()

    def target(self, number, script, service):
        sockets = tornado.netutil.bind_sockets(0, address="127.0.0.1")
        application = tornado.web.Application([(r"/(.*)", TargetHandler, {"script": script})])
        self.servers.append(tornado.httpserver.HTTPServer(application))
        self.servers[-1].add_sockets(sockets)
        address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        return data.Group(
            group_id=f"{service}-{number}",
            service=service,
            generation=1,
            state=data.GroupState.READY,
            fabric_domain="f",
            failure_domain="a",
            members=(data.Member(vm_id=f"vm-{number}", address=address, rank=0),),
        )

    async def call(self, path="/v1/chat/completions", *, body=QUESTION, method="POST", **headers):
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        return await tornado.httpclient.AsyncHTTPClient().fetch(
            f"http://127.0.0.1:{self.gateway.port}{path}",
            method=method,
            body=raw if method != "GET" else None,
            headers={"Authorization": "Bearer key", **sent},
            raise_error=False,
            request_timeout=10,
        )

    async def shut_down(self):
        """Stops the gateway as planned, as `node.process` does."""
        await self.gateway.drain()
        await self.gateway.stop()

    async def connect(self):
        """Opens a connection with a small receive buffer, which stays open between requests."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.gateway.port))
        return await asyncio.open_connection(sock=sock, limit=65_536)

    async def stop(self):
        await self.gateway.stop()
        for target_server in self.servers:
            target_server.stop()


@pytest.fixture
async def bench():
    bench = Bench()
    yield bench
    await bench.stop()


def request_bytes(path="/v1/chat/completions", *, key=""):
    raw = json.dumps(QUESTION).encode()
    keyed = f"Idempotency-Key: {key}\r\n" if key else ""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n"
        f"{keyed}Content-Length: {len(raw)}\r\n\r\n"
    )
    return head.encode() + raw


async def status_of_answer(reader):
    """Reads one answer; returns its status, None if the connection ends before the answer does."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionResetError):
        return None
    return int(head.split()[1])


def code_of(answer):
    return json.loads(answer.body)["error"]["code"]


def tokens_of(answer):
    events = answer.body.decode().strip().split("\n\n")
    assert events[-1] == "data: [DONE]"
    parsed = [json.loads(event.removeprefix("data: ")) for event in events[:-1]]
    return [event["choices"][0]["delta"]["content"] for event in parsed]


async def test_a_whole_answer(bench):
    await bench.start(Script())
    answer = await bench.call(X_Request_Id="r-1")
    assert json.loads(answer.body)["text"] == "whole"
    assert answer.headers["Basilpost-Outcome"] == "ran"
    assert answer.headers["X-Request-Id"] == "r-1"
    assert bench.admission.tickets[0].closed
    assert bench.slots.in_use_by_id["drafts-0"] == 0


async def test_a_stream_resumes_on_another_target_without_a_gap(bench):
    first, second = Script(die_after=2), Script()
    await bench.start(first, second)
    answer = await bench.call(body={**QUESTION, "stream": True})
    assert tokens_of(answer) == TOKENS
    assert second.seen[0][1] == "2"
    assert bench.quarantine.crashes[0][1] == "drafts-0"


async def test_a_stream_that_cannot_be_completed_ends_in_an_error_event(bench):
    await bench.start(Script(die_after=2))
    answer = await bench.call(body={**QUESTION, "stream": True})
    assert b"[DONE]" not in answer.body
    assert answer.body.split(b"\n\n")[-2].startswith(b"event: error\ndata: ")


async def test_a_silent_stream_is_given_up_and_resumed(bench):
    await bench.start(Script(silent=True), Script())
    answer = await bench.call(body={**QUESTION, "stream": True})
    assert tokens_of(answer) == TOKENS


async def test_a_crossed_answer_never_reaches_the_caller(bench):
    await bench.start(Script(crossed=True), Script())
    whole = await bench.call()
    assert json.loads(whole.body)["id"] != "other"
    streamed = await bench.call(body={**QUESTION, "stream": True})
    assert b"other" not in streamed.body
    assert tokens_of(streamed) == TOKENS


async def test_a_refusal_says_not_run_only_if_no_target_may_have_run_it(bench):
    await bench.start(Script(refuse=True))
    refused = await bench.call()
    assert (refused.code, refused.headers["Basilpost-Outcome"]) == (503, "not-run")
    assert refused.headers["Retry-After"] == "1"
    bench.admission.groups = ()
    assert (await bench.call()).headers["Basilpost-Outcome"] == "not-run"


async def test_a_refusal_after_a_lost_target_says_unknown(bench):
    await bench.start(Script(drop=True))
    refused = await bench.call()
    assert refused.headers["Basilpost-Outcome"] == "unknown"


async def test_retries_stop_when_the_budget_is_spent(bench):
    scripts = [Script(drop=True) for _ in range(4)]
    await bench.start(*scripts)
    bench.admission.retries = 1
    assert (await bench.call()).code == 502
    assert sum(len(script.seen) for script in scripts) == 2


async def test_a_filing_runs_once_and_its_repeat_is_replayed(bench):
    script = Script()
    await bench.start(script)
    first = await bench.call("/services/licences/filings", Idempotency_Key="k-1")
    await asyncio.sleep(0)
    again = await bench.call("/services/licences/filings", Idempotency_Key="k-1")
    assert first.body == again.body
    assert again.headers["Basilpost-Replayed"] == "true"
    assert len(script.seen) == 1


async def test_a_filing_is_never_sent_again_after_a_byte_was_sent(bench):
    lost, other = Script(drop=True), Script()
    await bench.start(lost, other)
    answer = await bench.call("/services/licences/filings", Idempotency_Key="k-1")
    assert (answer.code, answer.headers["Basilpost-Outcome"]) == (502, "unknown")
    assert other.seen == []
    repeat = await bench.call("/services/licences/filings", Idempotency_Key="k-1")
    assert repeat.headers["Basilpost-Outcome"] == "unknown"


async def test_a_filing_may_go_to_another_target_before_a_byte_is_sent(bench):
    script = Script()
    await bench.start(script, Script())
    bench.servers[2].stop()
    answer = await bench.call("/services/licences/filings", Idempotency_Key="k-1")
    assert answer.headers["Basilpost-Target"] == "licences-1"


async def test_a_filing_continues_after_its_caller_disconnects(bench):
    script = Script()
    await bench.start(script)
    stream = await tornado.iostream.IOStream(socket.socket()).connect(
        ("127.0.0.1", bench.gateway.port)
    )
    await stream.write(
        b"POST /services/licences/filings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n"
        b"Idempotency-Key: k-1\r\nContent-Length: 2\r\n\r\n{}"
    )
    stream.close()
    for _ in range(200):
        if isinstance(bench.ledger.state_by_key.get("k-1"), ledger.Answer):
            return
        await asyncio.sleep(0.01)
    pytest.fail("the answer was not kept")


@pytest.mark.parametrize(
    ("path", "arguments", "status", "code"),
    [
        ("/v1/chat/completions", {"body": b"{"}, 400, "invalid_json"),
        ("/v1/chat/completions", {"body": b"[]"}, 400, "invalid_json"),
        ("/v1/chat/completions", {"body": {"model": "drafts"}}, 400, "invalid_json"),
        ("/v1/chat/completions", {"body": {**QUESTION, "model": "x"}}, 404, "model_not_found"),
        ("/v1/chat/completions", {"Authorization": "Bearer no"}, 401, "invalid_api_key"),
        ("/v1/chat/completions", {"body": b"x" * 2000}, 413, "body_too_large"),
        ("/v1/chat/completions", {"Basilpost_Deadline_Ms": "soon"}, 400, "invalid_header"),
        ("/services/licences/filings", {}, 400, "idempotency_key_required"),
        ("/services/none/filings", {}, 404, "service_not_found"),
        ("/elsewhere", {}, 404, "path_not_found"),
    ],
)
async def test_each_caller_error_has_its_own_code(bench, path, arguments, status, code):
    await bench.start(Script())
    answer = await bench.call(path, **arguments)
    assert (answer.code, code_of(answer)) == (status, code)
    assert answer.headers["Basilpost-Outcome"] == "not-run"


async def test_a_slow_upload_gets_its_own_error(bench):
    await bench.start(Script())
    stream = await tornado.iostream.IOStream(socket.socket()).connect(
        ("127.0.0.1", bench.gateway.port)
    )
    await stream.write(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n"
        b"Content-Length: 20\r\n\r\n{"
    )
    answer = await stream.read_until_close()
    assert b"408" in answer.split(b"\r\n")[0]
    assert b"upload_timeout" in answer


async def test_an_isolated_node_refuses_and_is_not_ready(bench):
    await bench.start(Script())
    bench.standing.verdict = standing.NotServing(reason="alone", retry_after=3.0)
    refused = await bench.call()
    assert (refused.code, refused.headers["Retry-After"]) == (503, "3")
    assert (await bench.call("/readyz", method="GET")).code == 503
    assert (await bench.call("/healthz", method="GET")).code == 200


async def test_a_drain_cuts_no_stream(bench):
    await bench.start(Script())
    calls = [asyncio.create_task(bench.call(body={**QUESTION, "stream": True})) for _ in range(5)]
    await asyncio.sleep(0.01)
    await bench.gateway.drain()
    for call in calls:
        assert tokens_of(await call) == TOKENS
    with pytest.raises(ConnectionRefusedError):
        await bench.call()


async def test_a_stopping_node_never_says_not_run_of_a_repeat(bench):
    await bench.start(Script())
    first = await bench.call("/services/licences/filings", Idempotency_Key="k-1")
    bench.gateway.context.stopping = True
    again = await bench.call("/services/licences/filings", Idempotency_Key="k-1")
    assert (again.code, again.body) == (200, first.body)
    other = await bench.call("/services/licences/filings", Idempotency_Key="k-2")
    assert (code_of(other), other.headers["Basilpost-Outcome"]) == ("node_stopping", "not-run")
    assert "k-2" not in bench.ledger.state_by_key


async def test_a_filing_refused_without_the_ledger_says_not_run_only_if_peers_know(bench):
    await bench.start(Script())
    await bench.call("/services/licences/filings", Idempotency_Key="k-1")
    bench.standing.verdict = standing.NotServing(reason="no view")
    again = await bench.call("/services/licences/filings", Idempotency_Key="k-1")
    assert (again.code, again.headers["Basilpost-Outcome"]) == (503, "unknown")
    fresh = await bench.call("/services/licences/filings", Idempotency_Key="k-2")
    assert fresh.headers["Basilpost-Outcome"] == "not-run"
    bench.hub.cut.add(frozenset(("node-1", "node-2")))
    alone = await bench.call("/services/licences/filings", Idempotency_Key="k-2")
    assert alone.headers["Basilpost-Outcome"] == "unknown"


@pytest.mark.parametrize("missing", ["workspaces_by_name", "services_by_name"])
async def test_a_node_without_a_configuration_refuses_a_call_that_ran_as_not_run(bench, missing):
    """A node that has just started answered the repeat of a filing with 401, which says that it never ran."""
    await bench.start(Script())
    await bench.call("/services/licences/filings", Idempotency_Key="k-1")
    known = bench.directory.config()
    bench.directory.set(config=dataclasses.replace(known, **{missing: {}}))
    bench.standing.verdict = standing.NotServing(reason="no configuration is confirmed yet")
    again = await bench.call("/services/licences/filings", Idempotency_Key="k-1")
    assert (again.code, again.headers["Basilpost-Outcome"]) == (503, "unknown")
    bench.standing.verdict = standing.InStanding()
    refused = await bench.call("/services/licences/filings", Idempotency_Key="k-1")
    assert refused.code == (401 if missing == "workspaces_by_name" else 404)


async def test_a_request_that_comes_while_a_drain_ends_is_answered(bench):
    """A request on a connection that the node accepted must be answered, not reset."""
    await bench.start(Script())
    drain = asyncio.create_task(bench.gateway.drain())
    calls = []
    while not drain.done():
        # Each call has its own key, because overlapping calls with one key are answered 409.
        key = f"k-{len(calls)}"
        calls.append(asyncio.create_task(bench.call("/services/licences/x", Idempotency_Key=key)))
        await asyncio.sleep(0.002)
    await bench.gateway.stop()
    answers = await asyncio.gather(*calls, return_exceptions=True)
    unanswered = {type(answer) for answer in answers if isinstance(answer, Exception)}
    assert unanswered <= {ConnectionRefusedError, ConnectionResetError}
    assert {answer.code for answer in answers if not isinstance(answer, Exception)} <= {200, 503}


async def test_callers_do_not_get_metrics(bench):
    await bench.start(Script())
    assert (await bench.call("/metrics", method="GET")).code == 404


async def test_a_drain_ends_in_an_outage_of_the_store(bench):
    await bench.start(Script())

    async def never(claim, answer):
        await asyncio.Event().wait()

    bench.ledger.finish = never
    assert (await bench.call("/services/licences/filings", Idempotency_Key="k-1")).code == 200
    await asyncio.wait_for(bench.gateway.drain(), 30)


async def test_a_stop_cuts_no_answer_that_its_caller_is_still_reading(bench):
    await bench.start(Script(text="x" * 8_000_000))
    reader, writer = await bench.connect()
    writer.write(request_bytes())
    received = b""
    while not bench.gateway.context.metrics.answers.collect()[0].samples:
        received += await reader.read(65_536)
    stopping = asyncio.create_task(bench.shut_down())
    await asyncio.sleep(1.0)
    received += await reader.read()
    assert received.endswith(b'x"}')
    await stopping


async def test_a_stop_cuts_no_repeat_that_arrives_while_outcomes_are_recorded(bench):
    await bench.start(Script())
    claimed_keys, answered_keys = set(), set()
    claim, finish = bench.ledger.claim, bench.ledger.finish

    async def claim_slowly(call, *, timeout):
        claimed_keys.add(call.key)
        await asyncio.sleep(0.3)
        return await claim(call, timeout=timeout)

    async def finish_slowly(held, answer):
        await asyncio.sleep(1.5)
        await finish(held, answer)

    bench.ledger.claim, bench.ledger.finish = claim_slowly, finish_slowly

    async def send(delay, reader, writer):
        await asyncio.sleep(delay)
        writer.write(request_bytes("/services/licences/filings", key=f"k-{delay}"))
        if await status_of_answer(reader) is not None:
            answered_keys.add(f"k-{delay}")
        writer.close()

    delays = (0.0, 0.8, 1.0, 1.2, 1.4, 1.6, 1.7, 1.8)
    calls = [send(delay, *await bench.connect()) for delay in delays]
    await asyncio.gather(bench.shut_down(), *calls)
    assert answered_keys
    assert claimed_keys == answered_keys


@contextlib.asynccontextmanager
async def connections(port, count, data=b""):
    """Opens connections that send some bytes and stay open."""
    writers = []
    try:
        for _ in range(count):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            writers.append(writer)
        await asyncio.sleep(0.2)
        yield writers
    finally:
        for writer in writers:
            writer.close()


# Idle connections took all descriptors, also those for peers, the store and targets.
@pytest.mark.parametrize("data", [b"", b"POST /v1/chat"], ids=["silent", "half-a-head"])
async def test_a_crowd_takes_the_descriptors_of_the_process(bench, monkeypatch, data):
    limits = (40, 40)
    monkeypatch.setattr(resource, "getrlimit", lambda kind: limits)
    await bench.start(Script())
    async with connections(bench.gateway.port, 60, data):
        assert bench.gateway._server.idle < limits[0]
        assert (await bench.call()).code == 200


def allow_bodies(bench, **limits):
    """Changes the limits on bodies of a gateway that has started."""
    context = bench.gateway.context
    gateway = dataclasses.replace(context.settings.gateway, upload_seconds=30.0, **limits)
    context.settings = dataclasses.replace(context.settings, gateway=gateway)


def head_of_body(length):
    return (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


# Each piece of a body was kept as an object of its own, of which only its bytes were counted.
async def test_a_body_in_tiny_pieces_takes_many_times_its_bytes(bench):
    pieces, piece = 4_000, b"xy"
    await bench.start(Script())
    allow_bodies(bench, max_body_bytes=1_000_000)
    _, writer = await asyncio.open_connection("127.0.0.1", bench.gateway.port)
    writer.write(head_of_body(1_000_000))
    await asyncio.sleep(0.1)
    with contextlib.closing(writer):
        tracemalloc.start()
        for _ in range(pieces):
            writer.write(piece)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        async with asyncio.timeout(10):
            while bench.gateway.context.body_bytes < pieces * len(piece):
                await asyncio.sleep(0.01)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    assert held < 10 * pieces * len(piece)


# Bodies that stop held their room until the limit of an upload, and all others were refused.
@pytest.mark.parametrize("trickle", [b"", b"x"], ids=["stopped", "a-byte-now-and-then"])
async def test_bodies_that_stop_keep_others_out(bench, trickle):
    await bench.start(Script())
    allow_bodies(bench, max_body_bytes=10_000, max_buffered_bytes=30_000)
    async with connections(bench.gateway.port, 5, head_of_body(9_999) + b"x" * 9_000) as writers:
        statuses = []
        for _ in range(8):
            statuses.append((await bench.call()).code)
            for writer in writers:
                writer.write(trickle)
            await asyncio.sleep(0.5)
        assert statuses[-1] == 200, statuses
