"""Operators' changes at nodes run as processes while the object API is down or loses answers."""

import asyncio
import datetime
import json

import pytest

from basilpost.cli import client
from basilpost.core import hashing
from tests import processes

TOKEN = "operators-token"
NODES = {"node-1": "a", "node-2": "b", "node-3": "c"}
ROUNDS = 15
DOMAIN = client.path("failure-domains", "kz-a")

pytestmark = pytest.mark.processes


@pytest.fixture
async def bench(tmp_path):
    bench = processes.Bench(folder=tmp_path)
    await bench.start_platform()
    await bench.start_nodes(NODES, admin_token_digest=hashing.key_digest(TOKEN))
    yield bench
    await bench.stop()


def admin_of(bench, node):
    return client.Admin(url=f"http://{bench.admins_by_id[node]}", token=TOKEN)


async def send(bench, node, method, target, body=None, **headers):
    """Sends a request to a node's administration API; returns its answer, also a refusal."""
    extra_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    try:
        answer_body = await client.request(
            admin_of(bench, node), method, target, body=body, headers=extra_headers
        )
    except client.RequestFailed as refused:
        return refused.answer
    return client.Answer(status=200, body=answer_body)


async def set_faults(bench, **faults):
    await bench.client.fetch(
        f"http://{bench.objects.address}/faults", method="POST", body=json.dumps(faults)
    )


async def audit_reasons(bench, node):
    """Returns the reasons of all changes of the failure domain, with those in the archives."""
    yesterday = datetime.datetime.now(datetime.UTC).date() - datetime.timedelta(days=1)
    target = client.path("audit", key="config/failure_domains/kz-a", since=yesterday.isoformat())
    answer = await send(bench, node, "GET", target)
    assert answer.body["complete"]
    return [line["entry"]["reason"] for line in answer.body["lines"]]


async def in_force_everywhere(bench, node, change):
    query = client.path("in-force", key=change["key"], version=str(change["version"]))

    async def everywhere():
        return (await send(bench, node, "GET", query)).body["everywhere"]

    await processes.eventually(everywhere)


async def test_racing_operators_at_two_nodes(bench):
    created = await send(bench, "node-1", "PUT", DOMAIN, {}, If_None_Match="*")
    version, winners = created.body["version"], [""]
    for turn in range(ROUNDS):
        results = await asyncio.gather(
            *(
                send(
                    bench, node, "PUT", client.path("failure-domains", "kz-a", reason=f"{node} {turn}"),
                    {"region": f"{node}.{turn}"}, If_Match=str(version),
                )
                for node in ("node-1", "node-2")
            )
        )  # fmt: skip
        assert sorted(answer.status for answer in results) == [200, 412]
        won = next(answer for answer in results if answer.status == 200)
        lost = next(answer for answer in results if answer.status == 412)
        version = won.body["version"]
        assert lost.body["error"]["current_version"] == version
        winners.append(f"{('node-1', 'node-2')[results.index(won)]} {turn}")
    await in_force_everywhere(bench, "node-3", {"key": created.body["key"], "version": version})
    assert await audit_reasons(bench, "node-3") == winners


async def test_lost_answers_and_outages_of_the_store(bench):
    created = await send(bench, "node-1", "PUT", DOMAIN, {}, If_None_Match="*")
    await in_force_everywhere(bench, "node-1", created.body)
    await set_faults(bench, lose_answers=1)
    taken_out = await send(bench, "node-2", "POST", f"{DOMAIN}/out", {"reason": "power works"})
    assert (taken_out.status, taken_out.body["changed"]) == (200, True)
    await in_force_everywhere(bench, "node-3", taken_out.body)
    assert await audit_reasons(bench, "node-1") == ["", "power works"]

    await set_faults(bench, down=True)
    refused = await send(bench, "node-1", "POST", f"{DOMAIN}/in", {"reason": "done"})
    assert (refused.status, refused.body["error"]["code"]) == (503, "store_unavailable")
    status = await send(bench, "node-1", "GET", client.path("status"))
    assert [domain["in_service"] for domain in status.body["failure_domains"]] == [False]

    await set_faults(bench, down=False)

    async def returns_to_service():
        return (
            await send(bench, "node-1", "POST", f"{DOMAIN}/in", {"reason": "done"})
        ).status == 200

    await processes.eventually(returns_to_service)
    assert await audit_reasons(bench, "node-1") == ["", "power works", "done"]
