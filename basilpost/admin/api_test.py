"""Tests of the administration API over HTTP."""

import asyncio
import json
import socket
import urllib.parse

import pytest
import pytest_asyncio
import tornado.httpclient
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from basilpost.admin import api, fakes, install, limits
from basilpost.core import clock, codec, data, hashing, names
from basilpost.members import fakes as member_fakes
from basilpost.members import standing
from basilpost.store import memory, objects

GROUP = data.Group(
    group_id="g1",
    service="clearance",
    generation=3,
    state=data.GroupState.READY,
    fabric_domain="f1",
    failure_domain="kz-a",
    members=(data.Member(vm_id="v1", address="10.0.0.1:1", rank=0),),
)
CLEARANCE = {"kind": "model", "pool": "gpu", "model": "m", "model_version": "1"}


class Caller:
    """Sends requests to a node's administration API."""

    def __init__(self, node, port):
        self.node = node
        self.port = port

    async def __call__(self, method, path, body=None, *, token=fakes.ADMIN_TOKEN, **headers):
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        if token:
            sent["Authorization"] = f"Bearer {token}"
        raw = json.dumps(body).encode() if body is not None and type(body) is not bytes else body
        answer = await tornado.httpclient.AsyncHTTPClient().fetch(
            f"http://127.0.0.1:{self.port}/admin/v1{path}",
            method=method,
            body=raw,
            headers=sent,
            allow_nonstandard_methods=True,
            raise_error=False,
        )
        answer.json = json.loads(answer.body)
        return answer

    async def connect(self):
        """Opens a connection with a small receive buffer, which stays open between requests."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.port))
        return await asyncio.open_connection(sock=sock, limit=65_536)


def request_bytes(method, path, body=b""):
    head = (
        f"{method} /admin/v1{path} HTTP/1.1\r\nHost: x\r\nIf-None-Match: *\r\n"
        f"Authorization: Bearer {fakes.ADMIN_TOKEN}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


@pytest_asyncio.fixture
async def callers():
    store, hub = memory.MemoryStore(), member_fakes.PeerHub()
    nodes = [fakes.FakeNode(node_id=f"node-{i}", store=store, hub=hub) for i in range(3)]
    for node in nodes:
        install.install(node.kernel)
        await node.kernel.start()
    yield [Caller(node, node.kernel.find(names.ADMIN, api.AdminApi).port) for node in nodes]
    for node in nodes:
        await node.kernel.stop()


@pytest.fixture
def call(callers):
    return callers[0]


async def add_operator(call, name, role):
    value = {"token_digest": hashing.key_digest(f"{name}-token"), "role": role}
    answer = await call("PUT", f"/operators/{name}", value, If_None_Match="*")
    assert answer.code == 200
    return f"{name}-token"


async def test_objects_are_created_read_changed_and_deleted(call):
    made = await call("PUT", "/services/clearance?reason=first", CLEARANCE, If_None_Match="*")
    assert made.code == 200
    assert made.headers["Etag"] == f'"{made.json["version"]}"'
    assert made.headers["Basilpost-Outcome"] == "ran"
    read = await call("GET", "/services/clearance")
    assert read.json["value"]["model"] == "m"
    assert (read.json["changed_by"], read.json["reason"]) == ("bootstrap", "first")
    changed = await call(
        "PUT",
        "/services/clearance",
        CLEARANCE | {"max_in_flight": 4},
        If_Match=read.headers["Etag"],
    )
    listed = await call("GET", "/services")
    assert [one["version"] for one in listed.json["objects"]] == [changed.json["version"]]
    stale = await call("DELETE", "/services/clearance", If_Match=read.headers["Etag"])
    assert (stale.code, stale.json["error"]["code"]) == (412, "version_conflict")
    assert stale.json["error"]["current_version"] == changed.json["version"]
    gone = await call("DELETE", "/services/clearance", If_Match=changed.headers["Etag"])
    assert gone.code == 200
    assert (await call("GET", "/services/clearance")).code == 404
    assert (await call("GET", "/config")).json["services"] == []


async def test_a_change_without_a_condition_is_refused(call):
    answer = await call("PUT", "/services/clearance", CLEARANCE)
    assert (answer.code, answer.json["error"]["code"]) == (428, "condition_missing")
    assert answer.headers["Basilpost-Outcome"] == "not-run"


async def test_all_errors_are_in_the_answer(call):
    value = {"kind": "model", "pool": "", "max_in_flight": 0}
    answer = await call("PUT", "/services/clearance", value, If_None_Match="*")
    assert answer.code == 422
    paths = {error["path"] for error in answer.json["error"]["errors"]}
    assert paths == {"pool", "max_in_flight", "cold_max_in_flight", "model", "model_version"}


async def test_roles_limit_what_operators_read_and_change(call):
    reader, operator = await add_operator(call, "rita", "read"), await add_operator(
        call, "oskar", "operate"
    )
    await call("PUT", "/failure-domains/kz-a", {}, If_None_Match="*")
    assert (await call("GET", "/services", token=reader)).code == 200
    assert (await call("GET", "/operators", token=reader)).code == 403
    out = {"reason": "maintenance"}
    assert (await call("POST", "/failure-domains/kz-a/out", out, token=reader)).code == 403
    assert (await call("POST", "/failure-domains/kz-a/out", out, token=operator)).code == 200
    change = await call("PUT", "/services/s", CLEARANCE, token=operator, If_None_Match="*")
    assert (change.code, change.json["error"]["code"]) == (403, "role_missing")
    assert (await call("GET", "/status", token="guess")).code == 401
    assert (await call("GET", "/status", token="")).code == 401
    trail = await call("GET", "/audit", token=reader)
    assert not any(line["key"].startswith("config/operators") for line in trail.json["lines"])


async def test_rejected_tokens_are_rate_limited_without_locking_operators_out(call):
    began_at = clock.elapsed()
    codes = [(await call("GET", "/status", token="guess")).code for _ in range(40)]
    seconds = clock.elapsed() - began_at
    assert codes[0] == 401 and set(codes) <= {401, 429}
    allowed = limits.REJECTED_TOKENS_BURST + limits.REJECTED_TOKENS_PER_SECOND * seconds
    assert codes.count(401) <= allowed + 1
    assert (await call("GET", "/status")).code == 200


async def test_a_failure_domain_is_taken_out_of_service_and_put_back(callers):
    call, other = callers[:2]
    unknown = await call("POST", "/failure-domains/kz-z/out", {"reason": "typing error"})
    assert unknown.code == 404
    call.node.directory.set(groups=(GROUP,))
    out = await call("POST", "/failure-domains/kz-a/out", {"reason": "power works"})
    assert out.code == 200
    assert not call.node.directory.config().in_service("kz-a")
    await other.node.catch_up()
    assert not other.node.directory.config().in_service("kz-a")
    again = await other("POST", "/failure-domains/kz-a/out", {"reason": "power works"})
    assert (again.json["changed"], again.json["version"]) == (False, out.json["version"])
    missing = await call("POST", "/failure-domains/kz-a/in", {})
    assert (missing.code, missing.json["error"]["code"]) == (400, "bad_reason")
    back = await other("POST", "/failure-domains/kz-a/in", {"reason": "done"})
    assert back.json["version"] > out.json["version"]
    assert other.node.directory.config().in_service("kz-a")


async def test_in_force_lists_the_nodes_with_an_older_version(callers):
    call, follower = callers[:2]
    made = await call("PUT", "/failure-domains/kz-a", {}, If_None_Match="*")
    query = f"/in-force?key={made.json['key']}&version={made.json['version']}"
    before = (await call("GET", query)).json
    assert [node["in_force"] for node in before["nodes"]] == [True, False, False]
    assert not before["everywhere"]
    for caller in callers[1:]:
        await caller.node.catch_up()
    assert (await call("GET", query)).json["everywhere"]
    call.node.standing.acknowledged = False
    assert not (await call("GET", query)).json["everywhere"]


async def test_status_lists_nodes_groups_and_failure_domains(callers):
    call = callers[0]
    call.node.directory.set(groups=(GROUP,))
    callers[1].node.standing.verdict = standing.NotServing(reason="isolated")
    callers[2].node.replica.contact_age = float("inf")
    found = (await call("GET", "/status")).json
    assert [node["serving"] for node in found["nodes"]] == [True, False, True]
    assert found["nodes"][1]["detail"] == "isolated"
    assert found["nodes"][2]["store_contact_age"] is None
    assert found["groups"][0]["vms"] == ["v1"]
    assert found["failure_domains"][0] == {
        "name": "kz-a", "region": "", "in_service": True, "groups": 1, "serving_groups": 1,
    }  # fmt: skip
    assert found["same_configuration"]


async def test_a_key_is_shown_once_and_stored_as_a_digest(call):
    assert (await call("POST", "/keys", {"workspace": "arkhiv"})).code == 404
    await call("PUT", "/workspaces/arkhiv", {}, If_None_Match="*")
    keys = [(await call("POST", "/keys", {"workspace": "arkhiv"})).json for _ in range(2)]
    digests = call.node.directory.config().workspaces_by_name["arkhiv"].key_digests
    assert list(digests) == [hashing.key_digest(key["api_key"]) for key in keys]
    stored = await call.node.store.get("config/workspaces/arkhiv")
    assert not any(key["api_key"].encode() in stored.value for key in keys)


async def test_audit_by_workspace_and_time(call):
    await call("PUT", "/workspaces/arkhiv?reason=new%20team", {}, If_None_Match="*")
    await call("PUT", "/workspaces/caja", {}, If_None_Match="*")
    (line,) = (await call("GET", "/audit?workspace=arkhiv")).json["lines"]
    assert line["entry"]["reason"] == "new team"
    assert len((await call("GET", "/audit")).json["lines"]) == 2
    assert (await call("GET", "/audit?since=2999-01-01")).json["lines"] == []
    assert (await call("GET", "/audit?since=yesterday")).code == 400


async def test_bodies_that_are_too_large_are_refused(call):
    answer = await call("PUT", "/services/s", {"model": "x" * 100_000}, If_None_Match="*")
    assert answer.code == 422
    answer = await call("PUT", "/services/s", b"x" * 200_000, If_None_Match="*")
    assert (answer.code, answer.json["error"]["code"]) == (413, "body_too_large")
    with pytest.raises((json.JSONDecodeError, OSError)):
        await call("PUT", "/services/s", b"x" * 1_200_000, If_None_Match="*")
    assert (await call("GET", "/services")).code == 200


async def test_unknown_paths_and_methods(call):
    assert (await call("GET", "/nothing")).json["error"]["code"] == "no_such_page"
    assert (await call("PATCH", "/services/s", b"")).json["error"]["code"] == "http_405"
    assert (await call("PUT", "/services/a%2Fb", {}, If_None_Match="*")).code == 400


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=10), inner),
    max_leaves=10,
)
FIELDS = st.sampled_from(
    ["name", "kind", "pool", "routes", "services", "key_digests", "rate", "in_service", "role"]
)
BODIES = (
    st.binary(max_size=200)
    | JSON_VALUES.map(lambda value: json.dumps(value).encode())
    | st.dictionaries(FIELDS, JSON_VALUES).map(lambda value: json.dumps(value).encode())
    | st.just(b"[" * 50_000)
)
PATHS = st.sampled_from(
    [
        ("PUT", "/services/s"),
        ("PUT", "/workspaces/w"),
        ("PUT", "/failure-domains/d"),
        ("PUT", "/operators/o"),
        ("POST", "/failure-domains/d/out"),
        ("POST", "/keys"),
        ("POST", "/runs/w/s/k"),
        ("POST", "/quarantine/f/release"),
    ]
)


TEXTS = st.text(min_size=1, max_size=40) | st.sampled_from(["..", "a/b", "%", "a" * 70, "ａ"])
READS = st.tuples(
    st.sampled_from(
        ["/services/{}", "/audit?since={}", "/in-force?key={}&version={}", "/runs/{}/{}/{}"]
    ),
    TEXTS,
)
CONDITIONS = st.text(
    st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=30
) | st.sampled_from(['"1"', "1", "99999999999999999999", "*", '"1", "2"', "W/1"])


def draw_cases(*strategies, count):
    """Returns `count` examples, to be sent one after another to one running node."""
    cases = []
    collect = settings(
        max_examples=count, database=None, derandomize=True, suppress_health_check=HealthCheck
    )(given(st.tuples(*strategies))(lambda drawn: cases.append(drawn)))
    collect()
    return cases


@pytest.fixture
def unlimited(call, monkeypatch):
    requests = call.node.kernel.find(names.ADMIN, api.AdminApi)._context.requests
    monkeypatch.setattr(requests, "_rate", 1e9)


async def test_malformed_paths_and_queries_cause_no_server_error(call, unlimited):
    for ((pattern, text),) in draw_cases(READS, count=150):
        path = pattern.replace("{}", urllib.parse.quote(text, safe=""))
        answer = await call("GET", path)
        assert answer.code < 500 or answer.code == 501, path
        assert answer.code == 200 or answer.json["error"]["code"], path


async def test_malformed_conditions_change_nothing(call, unlimited):
    made = await call("PUT", "/failure-domains/kz-a", {}, If_None_Match="*")
    for (condition,) in draw_cases(CONDITIONS, count=100):
        if condition.strip('"') == str(made.json["version"]):
            continue
        answer = await call("PUT", "/failure-domains/kz-a", {"region": "x"}, If_Match=condition)
        assert answer.code in (412, 428), condition
    assert (await call("GET", "/failure-domains/kz-a")).json["version"] == made.json["version"]


async def test_deeply_nested_bodies_are_refused(call):
    for depth in range(1, 1000, 7):
        body = b'{"routes": [' + b'{"method":' * depth + b"1" + b"}" * depth + b"]}"
        answer = await call("PUT", "/services/s", body, If_None_Match="*")
        assert answer.code in (400, 422), depth


async def test_malformed_bodies_cause_no_server_error(call, unlimited):
    for (method, path), body in draw_cases(PATHS, BODIES, count=250):
        answer = await call(method, path, body, If_None_Match="*")
        assert answer.code < 500 or answer.code == 501, (method, path, body)
        assert answer.code == 200 or answer.json["error"]["code"]
    assert (await call("GET", "/status")).code == 200


async def test_metrics_are_served_on_the_admin_port(call):
    client = tornado.httpclient.AsyncHTTPClient()
    answer = await client.fetch(f"http://127.0.0.1:{call.port}/metrics")
    assert b"# HELP" in answer.body


async def test_a_stop_cuts_no_change_that_is_still_being_sent(call):
    reader, writer = await call.connect()
    request = request_bytes("PUT", "/failure-domains/kz-a", b'{"region": "kz"}')
    writer.write(request[:-5])
    await asyncio.sleep(0.05)
    stopping = asyncio.create_task(call.node.kernel.stop())
    await asyncio.sleep(0.2)
    writer.write(request[-5:])
    assert (await reader.read()).startswith(b"HTTP/1.1 200 ")
    assert isinstance(
        await call.node.store.get(names.FAILURE_DOMAIN_PREFIX + "kz-a"), objects.Stored
    )
    await stopping


async def test_a_stop_leaves_no_accepted_change_without_an_answer(call):
    call.node.store.faults.delay = 0.02
    connections = [await call.connect() for _ in range(40)]
    answered = set()

    async def change(number, reader, writer):
        for _ in range(number):
            await asyncio.sleep(0)
        writer.write(request_bytes("PUT", f"/failure-domains/kz-{number}", b"{}"))
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionResetError):
            return
        assert head.startswith(b"HTTP/1.1 200 ")
        answered.add(names.FAILURE_DOMAIN_PREFIX + f"kz-{number}")

    first, *others = (change(number, *pair) for number, pair in enumerate(connections))
    await first
    await asyncio.gather(call.node.kernel.stop(), *others)
    await asyncio.sleep(0.3)
    listing = await call.node.store.list(names.FAILURE_DOMAIN_PREFIX)
    assert answered
    assert {stored.key for stored in listing.objects} == answered


async def test_a_stop_cuts_no_answer_that_its_operator_is_still_reading(call):
    key = names.FAILURE_DOMAIN_PREFIX + "kz-a"
    record = data.ConfigObject(value=json.dumps({"region": "x" * 8_000_000}))
    stored = objects.Stored(key=key, value=codec.to_json(record), version=1)
    call.node.replica.offer(objects.Change(key=key, version=1, stored=stored))
    reader, writer = await call.connect()
    writer.write(request_bytes("GET", "/failure-domains"))
    received = await reader.read(1000)
    stopping = asyncio.create_task(call.node.kernel.stop())
    await asyncio.sleep(0.5)
    received += await reader.read()
    assert received.endswith(b"]}\n")
    await stopping


# Connections of anybody took all descriptors of a node, and read up to 1 MB each.
@pytest.mark.parametrize(
    "sent", [b"", request_bytes("POST", "/keys", b"x")[:-1]], ids=["silent", "unfinished"]
)
async def test_a_crowd_takes_the_descriptors_and_the_memory_of_a_node(callers, sent):
    port = callers[0].port
    opened = []
    for _ in range(150):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(sent)
        opened.append(writer)
        await asyncio.sleep(0)
    await asyncio.sleep(0.2)
    server = callers[0].node.kernel.find(names.ADMIN, api.AdminApi)._server
    assert server.idle + server.busy <= 64
    assert (await callers[0]("GET", "/status")).code == 200
    for writer in opened:
        writer.close()
