"""Operators at real nodes over a real object API that goes down and loses answers."""

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


async def ask(bench, node, method, target, body=None, **headers):
    """Returns the API's answer, also when it is a refusal."""
    given = {name.replace("_", "-"): value for name, value in headers.items()}
    try:
        found = await client.request(
            admin_of(bench, node), method, target, body=body, headers=given
        )
    except client.RequestFailed as refused:
        return refused.answer
    return client.Answer(status=200, body=found)


async def set_faults(bench, **faults):
    await bench.client.fetch(
        f"http://{bench.objects.address}/faults", method="POST", body=json.dumps(faults)
    )


async def trail_of(bench, node):
    """Returns the reasons of all changes, those in the archives included."""
    yesterday = datetime.datetime.now(datetime.UTC).date() - datetime.timedelta(days=1)
    target = client.path("audit", key="config/failure_domains/kz-a", since=yesterday.isoformat())
    answer = await ask(bench, node, "GET", target)
    assert answer.body["complete"]
    return [line["entry"]["reason"] for line in answer.body["lines"]]


async def in_force_everywhere(bench, node, change):
    query = client.path("in-force", key=change["key"], version=str(change["version"]))

    async def everywhere():
        return (await ask(bench, node, "GET", query)).body["everywhere"]

    await processes.eventually(everywhere)


async def test_racing_operators_at_two_nodes(bench):
    made = await ask(bench, "node-1", "PUT", DOMAIN, {}, If_None_Match="*")
    version, winners = made.body["version"], [""]
    for turn in range(ROUNDS):
        results = await asyncio.gather(
            *(
                ask(
                    bench, node, "PUT", client.path("failure-domains", "kz-a", reason=f"{node} {turn}"),
                    {"region": f"{node}.{turn}"}, If_Match=str(version),
                )
                for node in ("node-1", "node-2")
            )
        )  # fmt: skip
        assert sorted(one.status for one in results) == [200, 412]
        won = next(one for one in results if one.status == 200)
        lost = next(one for one in results if one.status == 412)
        version = won.body["version"]
        assert lost.body["error"]["current_version"] == version
        winners.append(f"{('node-1', 'node-2')[results.index(won)]} {turn}")
    await in_force_everywhere(bench, "node-3", {"key": made.body["key"], "version": version})
    assert await trail_of(bench, "node-3") == winners


async def test_lost_answers_and_outages_of_the_store(bench):
    made = await ask(bench, "node-1", "PUT", DOMAIN, {}, If_None_Match="*")
    await in_force_everywhere(bench, "node-1", made.body)
    await set_faults(bench, lose_answers=1)
    out = await ask(bench, "node-2", "POST", f"{DOMAIN}/out", {"reason": "power works"})
    assert (out.status, out.body["changed"]) == (200, True)
    await in_force_everywhere(bench, "node-3", out.body)
    assert await trail_of(bench, "node-1") == ["", "power works"]

    await set_faults(bench, down=True)
    refused = await ask(bench, "node-1", "POST", f"{DOMAIN}/in", {"reason": "done"})
    assert (refused.status, refused.body["error"]["code"]) == (503, "store_unavailable")
    status = await ask(bench, "node-1", "GET", client.path("status"))
    assert [one["in_service"] for one in status.body["failure_domains"]] == [False]

    await set_faults(bench, down=False)

    async def comes_back():
        return (
            await ask(bench, "node-1", "POST", f"{DOMAIN}/in", {"reason": "done"})
        ).status == 200

    await processes.eventually(comes_back)
    assert await trail_of(bench, "node-1") == ["", "power works", "done"]
