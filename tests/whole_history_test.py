"""Histories of concurrent runs through real nodes while VMs and failure domains come and go.

The platform and the back ends run in the test's own process, so that the logs of killed ones stay.
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
    """Starts a fleet in this process and three nodes as processes of their own."""
    whole = fleet.Fleet(plan=PLAN)
    await whole.start()
    bench = processes.Bench(folder=folder)
    bench.objects, bench.vm_list = whole.objects, whole.vms
    bench.store = http_objects.HttpObjectStore(base_url=whole.object_api_url)
    try:
        await bench.configure(DRAFTS, LICENCES, processes.workspace())
        await bench.start_nodes({f"node-{one}": one for one in DOMAINS})
        await processes.eventually(lambda: all_groups_serve(bench, whole), seconds=30)
        yield bench, whole
    finally:
        await bench.stop()
        await whole.stop()


async def all_groups_serve(bench, whole):
    question = {"model": "drafts", "max_tokens": 2, "messages": [{"role": "user", "content": "?"}]}
    for node in bench.nodes_by_id:
        await bench.call(node, "/v1/chat/completions", body=question)
        await bench.call(node, "/services/licences/catalogue/1", method="GET")
    ran = [one for one in whole.runners_by_vm_id.values() if one.runs]
    return len(ran) >= len(DOMAINS)


def plan_for(bench, **changes):
    options = {"seed": 7, "rate": 25.0, "seconds": 12.0, "max_tokens": 20} | changes
    return schedule.Plan(
        gateways=tuple(f"http://{one}" for one in bench.gateways_by_id.values()),
        callers=(schedule.Caller(workspace="editors", api_key=processes.API_KEY),),
        model="drafts", service="licences", deadline_seconds=15.0, **options,
    )  # fmt: skip


def check(result, whole, withdrawals=()):
    runners = list(whole.runners_by_vm_id.values())
    found = logs.Logs(
        runs=tuple(run for one in runners for run in one.runs),
        memberships=tuple(span for one in runners for span in one.memberships),
        filings=tuple(one for each in whole.services_by_vm_id.values() for one in each.filings),
        vm_ids_by_address={one.address: one.vm_id for one in runners},
    )
    return logs.check(
        result.records, found, withdrawals=withdrawals, allowed_seconds=ALLOWED_SECONDS,
        failure_domains_by_vm_id={vm.vm_id: vm.failure_domain for vm in whole.vms_by_id.values()},
    )  # fmt: skip


def answered_share(result):
    return sum(record.succeeded for record in result.records) / len(result.records)


async def move_failure_domain(bench, name, *, in_service):
    """Takes a failure domain out or back in, as an operator does, and returns when."""
    key = names.FAILURE_DOMAIN_PREFIX + name
    value = codec.to_json(data.FailureDomain(name=name, in_service=in_service))
    stored = codec.to_json(data.ConfigObject(value=value.decode()))
    found = await bench.store.get(key)
    if hasattr(found, "version"):
        await bench.store.update(key, stored, version=found.version)
    else:
        await bench.store.create(key, stored)
    return clock.monotonic()


async def test_vms_die_and_return_under_load(tmp_path):
    async with running(tmp_path) as (bench, whole):
        load = asyncio.create_task(generator.run(plan_for(bench)))
        await asyncio.sleep(2)
        await whole.lose_vm(next(iter(whole.runners_by_vm_id)))
        await whole.lose_vm(next(iter(whole.services_by_vm_id)))
        await asyncio.sleep(4)
        await whole.return_vm(next(iter(whole.services_by_vm_id)))
        result = await load
        assert check(result, whole) == []
        assert answered_share(result) > 0.9
        generations = {
            run.generation for one in whole.runners_by_vm_id.values() for run in one.runs
        }
        assert len(generations) > 1, "the broken group was not rebuilt under load"
        assert {record.kind for record in result.records} == set(records.Kind)


async def test_a_failure_domain_leaves_and_returns_under_load(tmp_path):
    async with running(tmp_path) as (bench, whole):
        load = asyncio.create_task(generator.run(plan_for(bench)))
        await asyncio.sleep(1.5)
        left = await move_failure_domain(bench, "a", in_service=False)
        await asyncio.sleep(6)
        returned = clock.monotonic()
        await move_failure_domain(bench, "a", in_service=True)
        result = await load
        withdrawal = history.Withdrawal(name="a", left=left, returned=returned)
        assert check(result, whole, [withdrawal]) == []
        assert answered_share(result) > 0.95
