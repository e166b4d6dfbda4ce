"""Checks the history of a load on real nodes while VMs and failure domains are lost and return.

The platform and the back ends run in the test's process, which keeps the logs of killed back ends.
"""

import asyncio
import contextlib

import pytest

from basilpost.core import clock, codec, data, names
from basilpost.emulator import fleet
from basilpost.emulator import records as back_ends
from basilpost.load import generator, history, logs, records, schedule
from basilpost.store import http_objects
from tests import processes

pytestmark = pytest.mark.processes

DOMAINS = ("a", "b", "c")
ALLOWED_SECONDS = 3.0
DRAFTS = data.Service(
    name="drafts", kind=data.ServiceKind.MODEL, pool=fleet.MODEL_POOL, model="clearance",
    model_version="1", vms_per_group=3, max_in_flight=16, cold_max_in_flight=2, cold_seconds=0.5,
)  # fmt: skip
LICENCES = data.Service(
    name="licences", kind=data.ServiceKind.PLAIN, pool=fleet.PLAIN_POOL, cold_seconds=0.2,
    routes=(data.Route(method="GET", idempotent=True),),
)  # fmt: skip
PLAN = fleet.FleetPlan(
    failure_domains=DOMAINS, vms_per_fabric_domain=4,
    runner=back_ends.RunnerOptions(
        token_interval=0.01, warm_seconds=0.5, max_in_flight=16, cold_limit=2
    ),
)  # fmt: skip


@contextlib.asynccontextmanager
async def running(folder):
    """Starts an emulated fleet in this process and three nodes as processes of their own."""
    emulated = fleet.Fleet(plan=PLAN)
    await emulated.start()
    bench = processes.Bench(folder=folder)
    bench.objects, bench.vm_list = emulated.objects, emulated.vms
    bench.store = http_objects.HttpObjectStore(base_url=emulated.object_api_url)
    try:
        await bench.configure(DRAFTS, LICENCES, processes.workspace())
        await bench.start_nodes({f"node-{domain}": domain for domain in DOMAINS})
        await processes.eventually(lambda: all_groups_serve(bench, emulated), seconds=30)
        yield bench, emulated
    finally:
        await bench.stop()
        await emulated.stop()


async def all_groups_serve(bench, emulated):
    question = {"model": "drafts", "max_tokens": 2, "messages": [{"role": "user", "content": "?"}]}
    for node in bench.nodes_by_id:
        await bench.call(node, "/v1/chat/completions", body=question)
        await bench.call(node, "/services/licences/catalogue/1", method="GET")
    used = [runner for runner in emulated.runners_by_vm_id.values() if runner.runs]
    return len(used) >= len(DOMAINS)


def plan_for(bench, **changes):
    options = {"seed": 7, "rate": 25.0, "seconds": 12.0, "max_tokens": 20} | changes
    return schedule.Plan(
        gateways=tuple(f"http://{address}" for address in bench.gateways_by_id.values()),
        callers=(schedule.Caller(workspace="editors", api_key=processes.API_KEY),),
        model="drafts", service="licences", deadline_seconds=15.0, **options,
    )  # fmt: skip


def check(result, emulated, withdrawals=()):
    runners = list(emulated.runners_by_vm_id.values())
    back_end_logs = logs.Logs(
        runs=tuple(run for runner in runners for run in runner.runs),
        memberships=tuple(span for runner in runners for span in runner.memberships),
        filings=tuple(
            filing for service in emulated.services_by_vm_id.values() for filing in service.filings
        ),
        vm_ids_by_address={runner.address: runner.vm_id for runner in runners},
    )
    return logs.check(
        result.records, back_end_logs, withdrawals=withdrawals, allowed_seconds=ALLOWED_SECONDS,
        failure_domains_by_vm_id={
            vm.vm_id: vm.failure_domain for vm in emulated.vms_by_id.values()
        },
    )  # fmt: skip


def answered_share(result):
    return sum(record.succeeded for record in result.records) / len(result.records)


async def move_failure_domain(bench, name, *, in_service):
    """Takes a failure domain out of service or back, as an operator does; returns the time."""
    key = names.FAILURE_DOMAIN_PREFIX + name
    value = codec.to_json(data.FailureDomain(name=name, in_service=in_service))
    stored = codec.to_json(data.ConfigObject(value=value.decode()))
    current = await bench.store.get(key)
    if hasattr(current, "version"):
        await bench.store.update(key, stored, version=current.version)
    else:
        await bench.store.create(key, stored)
    return clock.monotonic()


async def test_vms_die_and_return_under_load(tmp_path):
    async with running(tmp_path) as (bench, emulated):
        load = asyncio.create_task(generator.run(plan_for(bench)))
        await asyncio.sleep(2)
        await emulated.lose_vm(next(iter(emulated.runners_by_vm_id)))
        await emulated.lose_vm(next(iter(emulated.services_by_vm_id)))
        await asyncio.sleep(4)
        await emulated.return_vm(next(iter(emulated.services_by_vm_id)))
        result = await load
        assert check(result, emulated) == []
        assert answered_share(result) > 0.9
        generations = {
            run.generation for runner in emulated.runners_by_vm_id.values() for run in runner.runs
        }
        assert len(generations) > 1, "the group that lost a VM was not rebuilt under load"
        assert {record.kind for record in result.records} == set(records.Kind)


async def test_a_failure_domain_leaves_and_returns_under_load(tmp_path):
    async with running(tmp_path) as (bench, emulated):
        load = asyncio.create_task(generator.run(plan_for(bench)))
        await asyncio.sleep(1.5)
        left = await move_failure_domain(bench, "a", in_service=False)
        await asyncio.sleep(6)
        returned = clock.monotonic()
        await move_failure_domain(bench, "a", in_service=True)
        result = await load
        withdrawal = history.Withdrawal(name="a", left=left, returned=returned)
        assert check(result, emulated, [withdrawal]) == []
        assert answered_share(result) > 0.95
