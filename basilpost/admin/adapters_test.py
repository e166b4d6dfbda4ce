"""Tests of the administration API with a real ledger and a real quarantine."""

import json

import pytest
import tornado.httpclient

from basilpost.admin import api, fakes, install
from basilpost.core import codec, names
from basilpost.members import fakes as member_fakes
from basilpost.routing import quarantine
from basilpost.runs import install as runs_install
from basilpost.runs import ledger, store_ledger
from basilpost.store import memory, objects

CALL = ledger.Call(
    workspace="licensing", service="licences", key="filing/1 é", digest="d", request_id="r1"
)
FILING = "/runs/licensing/licences/filing%2F1%20%C3%A9"
ENTRY = quarantine.Entry(
    fingerprint="f1",
    workspace="licensing",
    service="clearance",
    group_ids=("g1", "g2"),
    at="2026-01-31T00:00:00.000+00:00",
    node_id="node-0",
    attempt_id="q1",
)


@pytest.fixture
async def node():
    parts = fakes.FakeNode(node_id="node-0", store=memory.MemoryStore(), hub=member_fakes.PeerHub())
    runs_install.install(parts.kernel)
    parts.kernel.register(names.QUARANTINE, quarantine.CrashQuarantine(kernel=parts.kernel))
    install.install(parts.kernel)
    await parts.kernel.start()
    yield parts
    await parts.kernel.stop()


async def call(node, method, path, body=None):
    port = node.kernel.find(names.ADMIN, api.AdminApi).port
    answer = await tornado.httpclient.AsyncHTTPClient().fetch(
        f"http://127.0.0.1:{port}/admin/v1{path}",
        method=method,
        body=json.dumps(body) if body is not None else None,
        headers={"Authorization": f"Bearer {fakes.ADMIN_TOKEN}"},
        raise_error=False,
    )
    return answer.code, json.loads(answer.body)


async def test_an_unknown_outcome_is_listed_shown_and_settled_once(node):
    request_ledger = node.kernel.find(names.LEDGER, store_ledger.StoreLedger)
    assert (await call(node, "GET", FILING))[0] == 404
    claim = await request_ledger.claim(CALL, timeout=1.0)
    settling = {"ran": True, "reason": "the receipt is in the application's log"}
    code, refused = await call(node, "POST", FILING, settling)
    assert (code, refused["error"]["code"]) == (409, "still_held")
    await request_ledger.mark_unknown(claim, "the target went away")
    code, found = await call(node, "GET", "/runs")
    assert [(one["key"], one["state"]) for one in found["runs"]] == [(CALL.key, "unknown")]
    code, settled = await call(node, "POST", FILING, settling)
    assert (code, settled["state"]) == (200, "ran")
    assert "bootstrap settled it as ran: the receipt" in settled["detail"]
    code, refused = await call(node, "POST", FILING, settling)
    assert (code, refused["error"]["code"]) == (409, "already_settled")
    assert (await call(node, "GET", "/runs"))[1] == {"runs": []}


async def test_settling_needs_an_outcome_and_a_reason(node):
    for body in ({"ran": True}, {"reason": "x"}, {"ran": "yes", "reason": "x"}, {"ran": 1}, {}):
        assert (await call(node, "POST", FILING, body))[0] == 400


async def test_a_quarantined_request_is_listed_and_released(node):
    key = f"{names.QUARANTINE_PREFIX}f1"
    written = await node.store.create(key, codec.to_json(ENTRY))
    stored = await node.store.get(key)
    node.replica.offer(objects.Change(key=key, version=written.version, stored=stored))
    code, found = await call(node, "GET", "/quarantine")
    assert found["quarantined"][0]["detail"] == "crashed g1, g2 of clearance"
    release = {"reason": "fixed in version 8"}
    assert (await call(node, "POST", "/quarantine/f1/release", release))[0] == 200
    assert (await call(node, "GET", "/quarantine"))[1] == {"quarantined": []}
    assert (await call(node, "POST", "/quarantine/f1/release", release))[0] == 404
    kept = codec.from_json((await node.store.get(key)).value, quarantine.Entry)
    assert (kept.released.actor, kept.released.reason) == ("bootstrap", "fixed in version 8")
