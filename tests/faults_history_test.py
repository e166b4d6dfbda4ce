"""Checks the history of a concurrent load on real processes while faults are injected."""

import asyncio
import itertools
import signal

import pytest

from basilpost.core import clock, data, hashing
from basilpost.load import generator, history, logs, records, schedule
from tests import processes

DRAFTS = data.Service(
    name="drafts", kind=data.ServiceKind.MODEL, pool="gpu", model="clearance", model_version="1",
    vms_per_group=2, cold_seconds=0.5, stream_silence_seconds=1.0,
)  # fmt: skip
LICENCES = data.Service(
    name="licences", kind=data.ServiceKind.PLAIN, pool="app", cold_seconds=0.2,
    routes=(data.Route(method="GET", idempotent=True),),
)  # fmt: skip
RUNNER = ("--warm-seconds", "0.5", "--token-interval", "0.01")
ADMIN_TOKEN = "test-admin"
ALLOWED_SECONDS = 5.0

pytestmark = [pytest.mark.processes, pytest.mark.timeout(180)]


@pytest.fixture
async def bench(tmp_path, request):
    bench = processes.Bench(folder=tmp_path)
    try:
        await start(bench, nodes=getattr(request, "param", 3))
        yield bench
    finally:
        await bench.stop()


async def start(bench, *, nodes):
    await bench.start_platform()
    await asyncio.gather(
        *(bench.start_runners(domain, 2, *RUNNER) for domain in "abc"),
        bench.start_instances(("a", "b", "c")),
    )
    await bench.configure(DRAFTS, LICENCES, processes.workspace())
    await bench.start_nodes(
        {f"node-{number + 1}": "abc"[number % 3] for number in range(nodes)},
        admin_token_digest=hashing.key_digest(ADMIN_TOKEN),
    )
    await processes.eventually(lambda: serves(bench))


async def serves(bench):
    """Returns True if node-1 serves both the model and the plain service."""
    question = {"model": "drafts", "max_tokens": 2, "messages": [{"role": "user", "content": "?"}]}
    completed = await bench.call("node-1", "/v1/chat/completions", body=question)
    looked_up = await bench.call("node-1", "/services/licences/catalogue/1", method="GET")
    return (completed.code, looked_up.code) == (200, 200)


def load(bench, *, seconds, seed, **options):
    """Starts an open-loop load on all nodes; returns the task that gives its result."""
    plan = schedule.Plan(
        seed=seed, rate=30.0, seconds=seconds, max_tokens=40, deadline_seconds=10.0,
        gateways=tuple(f"http://{address}" for address in bench.gateways_by_id.values()),
        callers=(schedule.Caller(workspace="editors", api_key=processes.API_KEY),),
        model="drafts", service="licences", repeat_share=0.5, **options,
    )  # fmt: skip
    return asyncio.create_task(generator.run(plan))


async def violations(bench, result, *withdrawals):
    """Returns the violations, each with the records that its reason names."""
    collected = await logs.collect(runner.address for runner in bench.runners_by_vm_id.values())
    domains = {vm.vm_id: vm.failure_domain for vm in bench.vms_by_id.values()}
    instances = {f"licences-{domain}": domain for domain in "abc"}
    violated = logs.check(
        result.records, collected, withdrawals=withdrawals,
        failure_domains_by_vm_id=domains | instances, allowed_seconds=ALLOWED_SECONDS,
    )  # fmt: skip
    return [
        (violation, [record for record in result.records if record.request_id in violation.reason])
        for violation in violated
    ]


def answered(result, *kinds):
    return [
        record
        for record in result.records
        if record.succeeded and (not kinds or record.kind in kinds)
    ]


async def test_members_that_freeze_and_resume(bench):
    running = load(bench, seconds=12.0, seed=1)
    await asyncio.sleep(2.0)
    bench.runners_by_vm_id["vm-a-1"].send(signal.SIGSTOP)
    await asyncio.sleep(1.0)
    bench.runners_by_vm_id["vm-b-0"].send(signal.SIGSTOP)
    await asyncio.sleep(1.5)
    bench.runners_by_vm_id["vm-b-0"].send(signal.SIGCONT)
    await asyncio.sleep(5.0)
    bench.runners_by_vm_id["vm-a-1"].send(signal.SIGCONT)
    result = await running
    assert await violations(bench, result) == []
    assert len(answered(result)) > 0.8 * len(result.records)


async def test_a_node_killed_and_a_node_frozen_while_a_failure_domain_is_taken_out(bench):
    running = load(bench, seconds=20.0, seed=2)
    await asyncio.sleep(2.0)
    bench.nodes_by_id["node-2"].send(signal.SIGKILL)
    await asyncio.sleep(1.0)
    bench.nodes_by_id["node-3"].send(signal.SIGSTOP)
    await asyncio.sleep(1.0)
    taken_out = await bench.client.fetch(
        f"http://{bench.admins_by_id['node-1']}/admin/v1/failure-domains/c/out",
        method="POST", body='{"reason": "maintenance"}',
        headers={"Authorization": f"Bearer {ADMIN_TOKEN}"},
    )  # fmt: skip
    assert taken_out.code == 200
    withdrawal = history.Withdrawal(name="c", left=clock.monotonic())
    await asyncio.sleep(11.0)
    bench.nodes_by_id["node-3"].send(signal.SIGCONT)
    result = await running
    assert await violations(bench, result, withdrawal) == []
    by_node_1 = [
        record for record in result.records if bench.gateways_by_id["node-1"] in record.gateway
    ]
    load_started_at = result.records[0].scheduled
    failed = [record for record in by_node_1[-20:] if not record.succeeded]
    for record in failed:
        print(
            record.request_id,
            record.error,
            record.sent - load_started_at,
            record.finished - load_started_at,
        )
    assert failed == []


async def test_a_long_outage_of_the_object_api(bench):
    running = load(bench, seconds=18.0, seed=3)
    await asyncio.sleep(2.0)
    faults = f"http://{bench.objects.address}/faults"
    await bench.client.fetch(faults, method="POST", body='{"down": true}')
    outage_started_at = clock.monotonic()
    await asyncio.sleep(13.0)
    await bench.client.fetch(faults, method="POST", body='{"down": false}')
    result = await running
    assert await violations(bench, result) == []
    during = [
        record
        for record in result.records
        if outage_started_at + 3 < record.scheduled < outage_started_at + 12
    ]
    filings = [record for record in during if record.kind is records.Kind.FILING]
    others = [record for record in during if record.kind is not records.Kind.FILING]
    assert all(record.succeeded for record in others)
    assert all(record.outcome == "not-run" for record in filings if not record.succeeded)
    assert any(not record.succeeded for record in filings)


@pytest.mark.parametrize("bench", [7], indirect=True)
async def test_nodes_replaced_one_after_another_cut_no_request(bench):
    running = load(bench, seconds=28.0, seed=4)
    for node in list(bench.nodes_by_id):
        await asyncio.sleep(1.5)
        assert await bench.nodes_by_id[node].stop(signal.SIGTERM) == 0
        await bench.restart_node(node)
        await bench.wait_until_ready(node)
    result = await running
    assert await violations(bench, result) == []
    cut = [
        record for record in result.records if record.first_byte is not None and not record.complete
    ]
    assert cut == []
    lost = [
        record
        for record in result.records
        if record.status == 0 and "refused" not in record.error.lower()
    ]
    # A connection that the node never accepted is reset when the node stops listening.
    collected = await logs.collect(runner.address for runner in bench.runners_by_vm_id.values())
    ran = {history.base_id(run.request_id) for run in (*collected.runs, *collected.filings)}
    assert [
        record for record in lost if "reset" not in record.error or record.request_id in ran
    ] == []


async def test_a_request_that_crashes_its_targets_fells_two_at_most(bench):
    vm_ids = [vm_id for vm_id in bench.runners_by_vm_id if vm_id.startswith("vm-")]
    for vm_id in vm_ids:
        faults = f"http://{bench.runners_by_vm_id[vm_id].address}/faults"
        await bench.client.fetch(faults, method="POST", body='{"crash_on": "poison"}')
    poison = {"model": "drafts", "messages": [{"role": "user", "content": "poison"}]}
    answers = [
        await bench.call(node, "/v1/chat/completions", body=poison, Basilpost_Deadline_Ms="4000")
        for _, node in zip(range(10), itertools.cycle(bench.nodes_by_id), strict=False)
    ]
    assert all(answer.code != 200 for answer in answers)
    crash_counts = [(await bench.fetch_log(vm_id))["falls"] for vm_id in vm_ids]
    assert 1 <= sum(crash_counts) <= 2
    assert answers[-1].code == 422
    assert "Retry-After" not in answers[-1].headers
    await processes.eventually(lambda: serves(bench))
