"""Requests from callers to back ends through real processes of platform, nodes and back ends."""

import asyncio
import json
import signal

import pytest

from basilpost.core import data
from basilpost.emulator import answers
from tests import processes

QUESTION = {
    "model": "drafts",
    "max_tokens": 12,
    "messages": [{"role": "user", "content": "Who holds the rights of reel 7?"}],
}
DRAFTS = data.Service(
    name="drafts",
    kind=data.ServiceKind.MODEL,
    pool="gpu",
    model="clearance",
    model_version="1",
    vms_per_group=4,
    cold_seconds=0.5,
)
LICENCES = data.Service(
    name="licences",
    kind=data.ServiceKind.PLAIN,
    pool="app",
    cold_seconds=0.2,
    routes=(data.Route(method="GET", idempotent=True),),
)

pytestmark = [pytest.mark.processes, pytest.mark.timeout(180)]


@pytest.fixture
async def bench(tmp_path):
    bench = processes.Bench(folder=tmp_path)
    try:
        await start(bench)
        yield bench
    finally:
        await bench.stop()


async def start(bench):
    await bench.start_platform()
    await asyncio.gather(
        bench.start_runners("a", 4, "--warm-seconds", "0.5", "--token-interval", "0.005"),
        bench.start_runners("b", 4, "--warm-seconds", "0.5", "--token-interval", "0.005"),
        bench.start_instances(("a", "b", "c")),
    )
    await bench.configure(DRAFTS, LICENCES, processes.workspace())
    await bench.start_nodes({"node-1": "a", "node-2": "b", "node-3": "c"})


def content_of(answer):
    return json.loads(answer.body)["choices"][0]["message"]["content"]


def streamed_content_of(answer):
    events = answer.body.decode().strip().split("\n\n")
    assert events[-1] == "data: [DONE]"
    chunks = [json.loads(event.removeprefix("data: ")) for event in events[:-1]]
    return "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)


async def test_a_request_is_served_from_one_end_to_the_other(bench):
    expected = "".join(answers.tokens_for(QUESTION))

    async def both_groups_serve():
        targets_seen = set()
        for node in bench.nodes_by_id:
            answer = await bench.call(node, "/v1/chat/completions", body=QUESTION)
            targets_seen.add(answer.headers.get("Basilpost-Target"))
        return len(targets_seen - {None}) == 2

    await processes.eventually(both_groups_serve)

    for node in bench.nodes_by_id:
        whole = await bench.call(node, "/v1/chat/completions", body=QUESTION)
        assert content_of(whole) == expected
        streamed = await bench.call(node, "/v1/chat/completions", body={**QUESTION, "stream": True})
        assert streamed_content_of(streamed) == expected

    await _send_filing_three_times(bench)
    await _kill_and_replace_runner(bench, expected)


async def _send_filing_three_times(bench):
    """Sends one filing through two nodes at once, then through the third: it must run once."""
    filing = {"clip": "reel-7", "estate": "north"}

    async def instances_serve():
        looked_up = await bench.call("node-1", "/services/licences/catalogue/7", method="GET")
        return looked_up.code == 200

    await processes.eventually(instances_serve)
    path = "/services/licences/filings"
    receipts = await asyncio.gather(
        *(
            bench.call(node, path, body=filing, Idempotency_Key="k-7")
            for node in ("node-1", "node-2")
        )
    )
    receipts.append(await bench.call("node-3", path, body=filing, Idempotency_Key="k-7"))
    assert {answer.code for answer in receipts} == {201}
    assert len({answer.body for answer in receipts}) == 1
    logs = [await bench.fetch_log(f"app-{domain}") for domain in "abc"]
    runs = [filed for log in logs for filed in log["filings"] if filed["key"] == "k-7"]
    assert len(runs) == 1


async def _kill_and_replace_runner(bench, expected):
    """Kills a runner: the other group serves all requests until a replacement is listed."""
    bench.runners_by_vm_id["vm-a-2"].send(signal.SIGKILL)
    await asyncio.sleep(3.0)
    run_count = len((await bench.fetch_log("vm-a-0"))["runs"])
    for _ in range(5):
        for node in bench.nodes_by_id:
            answer = await bench.call(node, "/v1/chat/completions", body=QUESTION)
            assert content_of(answer) == expected
    assert len((await bench.fetch_log("vm-a-0"))["runs"]) == run_count
    logs = {vm: await bench.fetch_log(vm) for vm in ("vm-a-0", "vm-b-0")}
    served = [run for run in logs["vm-b-0"]["runs"] if run["outcome"] == "finished"]
    assert len(served) >= 15

    replacement = await bench.start_emulator(
        "runner", "--vm-id", "vm-a-9", "--weight-store", f"http://{bench.weights.address}",
        "--warm-seconds", "0.5", "--token-interval", "0.005",
    )  # fmt: skip
    bench.runners_by_vm_id["vm-a-9"] = replacement
    await bench.list_vm("vm-a-9", replacement.address, "gpu", "a")

    async def group_of_a_serves():
        for _ in range(4):
            await bench.call("node-1", "/v1/chat/completions", body=QUESTION)
        logs = [await bench.fetch_log(f"vm-a-{number}") for number in (0, 1, 3, 9)]
        return sum(len(log["runs"]) for log in logs) > run_count

    await processes.eventually(group_of_a_serves, seconds=30)
