"""Measures groups: downtime after failures, unused VMs, and the cost of controllers and credits.

Failures run in simulated time with runners in memory, so that a seed always gives the same figures.
Each downtime is printed with the least possible one and with that of a baseline that rebuilds whole
groups.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import random
import sys
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import looptime

from basilpost.core import clock, codec, data
from basilpost.groups import (
    credit_messages,
    fake_cluster,
    fakes,
    forming,
    lifecycle,
    order_planning,
    planner,
    slots,
)
from basilpost.groups import view as views
from basilpost.load import measuring
from basilpost.settings import schema

SEED = 1
VMS_PER_GROUP = 8
GROUPS = 3
WARM_SECONDS = 5.0
OUTAGE_SECONDS = 30.0
PAUSE_SECONDS = 3.0
LOAD_SECONDS = (10.0, 30.0, 60.0)
SETTLE_SECONDS = 300.0
STEP_SECONDS = 0.1
ROUND_VM_COUNTS = (16, 32, 64, 128)
CREDIT_NODE_COUNTS = (4, 8, 16)
CREDIT_TARGET_COUNTS = (5, 10, 20)
CREDIT_SECONDS = 20.0
RANDOM_FLEETS = 24
NOOP_CYCLES = 2

SERVICE = data.Service(
    name="chat",
    kind=data.ServiceKind.MODEL,
    pool="gpu",
    model="m",
    model_version="1",
    vms_per_group=VMS_PER_GROUP,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """A failure and the least downtime that it can cause.

    Attributes:
        name: What fails.
        spares: VMs in addition to those of the groups.
        inject: Causes the failure; returns once it is in effect.
        remaining_groups: Groups that can be complete afterwards.
        affected_groups: Groups that have to be completed again.
        least_downtime: Returns the least seconds that each of them is down, given the seconds
            that a load takes.
    """

    name: str
    spares: int
    inject: Callable[[fake_cluster.FakeCluster], Awaitable[None]]
    remaining_groups: int
    affected_groups: int
    least_downtime: Callable[[float], float]


def with_sequential_ids(
    plan: Callable[[views.View], planner.Plan],
) -> Callable[[views.View], planner.Plan]:
    """Returns a planner with sequential group ids, so that repeated runs give the same plans."""
    numbers = itertools.count()

    def plan_with_sequential_ids(view: views.View) -> planner.Plan:
        return plan(
            dataclasses.replace(view, new_id=lambda service: f"{service}-{next(numbers):04}")
        )

    return plan_with_sequential_ids


def greedy_plan(view: views.View) -> planner.Plan:
    """Plans for the baseline: drops broken groups and forms new ones from all free VMs."""
    observed = [lifecycle.with_observed_state(view, group) for group in view.table.groups]
    kept = [group for group in observed if not _is_dropped(view, group)]
    spares = views.spares_by_cell(view, kept)
    groups = [*kept, *forming.form_groups(view, kept, spares)]
    next_table = dataclasses.replace(view.table, groups=tuple(groups))
    return planner.Plan(table=next_table, orders=order_planning.plan_orders(view, next_table, {}))


def _is_dropped(view: views.View, group: data.Group) -> bool:
    if group.state is not data.GroupState.BROKEN:
        return False
    has_silent_member = any(
        views.current_status(view, member.vm_id) is None for member in group.members
    )
    return bool(lifecycle.members_to_replace(view, group)) or not has_silent_member


async def _kill(cluster: fake_cluster.FakeCluster, *counts: int) -> None:
    """Kills members of the first groups; `counts` has the number for each group."""
    for group, count in zip(cluster.groups(), counts, strict=False):
        cluster.runners.unreachable |= {member.address for member in group.members[:count]}


async def _kill_member(cluster: fake_cluster.FakeCluster) -> None:
    await _kill(cluster, 1)


async def _kill_two_members(cluster: fake_cluster.FakeCluster) -> None:
    await _kill(cluster, 2)


async def _kill_in_two_groups(cluster: fake_cluster.FakeCluster) -> None:
    await _kill(cluster, 1, 2)


async def _restart_member(cluster: fake_cluster.FakeCluster) -> None:
    cluster.runners.restart(cluster.groups()[0].members[1].address)


async def _pause_member(cluster: fake_cluster.FakeCluster) -> None:
    await _disconnect_for(cluster, {cluster.groups()[0].members[1].address}, PAUSE_SECONDS)


async def _disconnect_domain(cluster: fake_cluster.FakeCluster) -> None:
    addresses = {vm.address for vm in cluster.vm_list.vms_by_id.values()}
    await _disconnect_for(cluster, addresses, OUTAGE_SECONDS)


async def _disconnect_for(
    cluster: fake_cluster.FakeCluster, addresses: set[str], seconds: float
) -> None:
    cluster.runners.unreachable |= addresses
    asyncio.get_running_loop().call_later(
        seconds, cluster.runners.unreachable.difference_update, addresses
    )


async def _mark_leaving(cluster: fake_cluster.FakeCluster) -> None:
    vm_id = cluster.groups()[0].members[1].vm_id
    vm = cluster.vm_list.vms_by_id[vm_id]
    cluster.vm_list.vms_by_id[vm_id] = dataclasses.replace(vm, leaving=True)
    asyncio.get_running_loop().call_later(
        2 * OUTAGE_SECONDS, cluster.runners.unreachable.add, vm.address
    )


FAILURES = (
    Failure(
        name="member killed, a spare",
        spares=1, inject=_kill_member, remaining_groups=3, affected_groups=1,
        least_downtime=lambda load: load + WARM_SECONDS,
    ),
    Failure(
        name="two members of a group killed, two spares",
        spares=2, inject=_kill_two_members, remaining_groups=3, affected_groups=1,
        least_downtime=lambda load: load + WARM_SECONDS,
    ),
    Failure(
        name="member restarted without weights",
        spares=0, inject=_restart_member, remaining_groups=3, affected_groups=1,
        least_downtime=lambda load: max(load, WARM_SECONDS),
    ),
    Failure(
        name="members of two groups killed, no spare",
        spares=0, inject=_kill_in_two_groups, remaining_groups=2, affected_groups=1,
        least_downtime=lambda load: WARM_SECONDS,
    ),
    Failure(
        name="member paused for 3 s",
        spares=1, inject=_pause_member, remaining_groups=3, affected_groups=1,
        least_downtime=lambda load: PAUSE_SECONDS,
    ),
    Failure(
        name="fabric domain dark for 30 s",
        spares=1, inject=_disconnect_domain, remaining_groups=3, affected_groups=3,
        least_downtime=lambda load: OUTAGE_SECONDS,
    ),
    Failure(
        name="member leaving, a spare",
        spares=1, inject=_mark_leaving, remaining_groups=3, affected_groups=1,
        least_downtime=lambda load: WARM_SECONDS,
    ),
)  # fmt: skip


async def downtime(failure: Failure, *, load_seconds: float, greedy: bool) -> float:
    """Returns the downtime in group-seconds until all groups that can be complete are READY."""
    runners = fakes.FakeRunners(
        load_seconds=load_seconds, keeps_weights=not greedy, warm_seconds=WARM_SECONDS
    )
    cluster = fake_cluster.FakeCluster(
        vms_listed=fake_cluster.make_vms(VMS_PER_GROUP * GROUPS + failure.spares),
        services=(SERVICE,),
        runners=runners,
        weight_store=schema.WeightStore(),
        plan=with_sequential_ids(greedy_plan if greedy else planner.plan),
    )
    async with cluster:
        await cluster.until(cluster.ready(GROUPS), within=SETTLE_SECONDS, warm=False)
        await asyncio.sleep(2.0)
        await failure.inject(cluster)
        failed_at = clock.monotonic()
        group_seconds = 0.0
        was_down = False
        while clock.monotonic() - failed_at < SETTLE_SECONDS:
            await asyncio.sleep(STEP_SECONDS)
            down = max(0, failure.remaining_groups - _ready_groups(cluster))
            group_seconds += down * STEP_SECONDS
            was_down = was_down or down > 0
            if was_down and not down and clock.monotonic() - failed_at > 3 * OUTAGE_SECONDS:
                break
    return group_seconds


def _ready_groups(cluster: fake_cluster.FakeCluster) -> int:
    """Returns the number of groups that are READY in the table and whose members all answer."""
    return sum(
        group.state is data.GroupState.READY
        and not any(member.address in cluster.runners.unreachable for member in group.members)
        for group in cluster.groups()
    )


def measure_downtime() -> None:
    """Prints the downtime of each failure, also for the baseline, and its ratio to the least."""
    for failure in FAILURES:
        for load_seconds in LOAD_SECONDS:
            least = failure.affected_groups * failure.least_downtime(load_seconds)
            measured = _simulate(downtime(failure, load_seconds=load_seconds, greedy=False))
            greedy = _simulate(downtime(failure, load_seconds=load_seconds, greedy=True))
            _emit(
                figure="groups.downtime_ratio",
                failure=failure.name,
                load_seconds=load_seconds,
                least_seconds=least,
                seconds=round(measured, 1),
                value=round(measured / least, 3),
                baseline_seconds=round(greedy, 1),
                baseline=round(greedy / least, 3),
                unit="ratio",
            )


async def stranded_vms(source: random.Random, *, greedy: bool) -> int:
    """Returns how many more VMs have no group than in the best partition of the VMs alive."""
    sizes = source.choice(((4,), (3,), (2, 3), (4, 3), (5, 2)))
    services = tuple(
        dataclasses.replace(SERVICE, name=f"s{index}", model=f"m{index}", vms_per_group=size)
        for index, size in enumerate(sizes)
    )
    count = source.randint(8, 20)
    cluster = fake_cluster.FakeCluster(
        vms_listed=fake_cluster.make_vms(count),
        services=services,
        runners=fakes.FakeRunners(load_seconds=2.0, keeps_weights=not greedy, warm_seconds=1.0),
        plan=with_sequential_ids(greedy_plan if greedy else planner.plan),
    )
    dead = source.sample(range(count), source.randint(1, max(1, count // 4)))
    async with cluster:
        await asyncio.sleep(30.0)
        for index in dead:
            lost_vm = cluster.vm_list.vms_by_id.pop(f"vm-{index:04}")
            cluster.runners.unreachable.add(lost_vm.address)
        await asyncio.sleep(60.0)
        groups = [
            group for service in services for group in cluster.groups(service.name) if group.serving
        ]
    alive = count - len(dead)
    limits = tuple(alive for _ in sizes)
    counts = forming.best_counts(alive, sizes, limits)
    best = sum(size * number for size, number in zip(sizes, counts, strict=True))
    return best - len(list(views.member_ids(groups)))


def measure_stranded(seed: int) -> None:
    """Prints the mean and maximum of `stranded_vms` over small random fleets."""
    measured = [
        _simulate(stranded_vms(random.Random(seed + index), greedy=False))
        for index in range(RANDOM_FLEETS)
    ]
    greedy = [
        _simulate(stranded_vms(random.Random(seed + index), greedy=True))
        for index in range(RANDOM_FLEETS)
    ]
    for name, value, baseline in (
        (
            "groups.stranded_above_best_mean",
            sum(measured) / RANDOM_FLEETS,
            sum(greedy) / RANDOM_FLEETS,
        ),
        ("groups.stranded_above_best_max", max(measured), max(greedy)),
    ):
        _emit(
            figure=name,
            value=round(value, 3),
            baseline=round(baseline, 3),
            fleets=RANDOM_FLEETS,
            unit="VMs a fabric domain",
        )


async def round_cost(count: int) -> tuple[float, int]:
    """Returns the processor seconds of a controller's round over VMs and its table's bytes."""
    cluster = fake_cluster.FakeCluster(
        vms_listed=fake_cluster.make_vms(count),
        services=(SERVICE,),
        runners=fakes.FakeRunners(load_seconds=1.0, warm_seconds=1.0),
        weight_store=schema.WeightStore(loads_per_second=1000.0, load_burst=1000),
    )
    async with cluster:
        all_ready = cluster.ready(count // VMS_PER_GROUP)
        await cluster.until(all_ready, within=SETTLE_SECONDS, warm=False)
        (controller,) = cluster.node().controllers.domain_controllers()
        await asyncio.sleep(5.0)
        rounds = 50
        started_at = time.process_time()
        for _ in range(rounds):
            await controller.run_round()
        cpu_seconds = (time.process_time() - started_at) / rounds
        assert controller.confirmed_table is not None
        return cpu_seconds, len(codec.to_json(controller.confirmed_table.table))


def measure_rounds() -> None:
    """Prints the cost of a round and the size of a table for several sizes of a fabric domain."""
    for count in ROUND_VM_COUNTS:
        cpu_seconds, size = _simulate(round_cost(count))
        measuring.sample("groups.round_cpu_by_vms", count, "VMs", cpu_seconds, "cpu seconds")
        groups = count // VMS_PER_GROUP
        measuring.sample("groups.table_bytes_by_groups", groups, "groups", size, "bytes")


async def credit_rates(*, nodes: int, targets: int) -> tuple[float, float]:
    """Returns the credit asks, and the bytes of asks and replies, per node and second."""
    cluster = fake_cluster.FakeCluster(
        vms_listed=fake_cluster.make_vms(targets),
        services=(dataclasses.replace(SERVICE, vms_per_group=1, max_in_flight=64),),
        nodes=nodes,
        runners=fakes.FakeRunners(load_seconds=1.0, warm_seconds=1.0),
        weight_store=schema.WeightStore(loads_per_second=1000.0, load_burst=1000),
    )
    totals = [0, 0]
    async with cluster:
        await cluster.until(cluster.ready(targets), within=SETTLE_SECONDS, warm=False)
        for node in cluster.nodes_by_id.values():
            _count_asks(node.peers, totals)
        callers = [
            asyncio.get_running_loop().create_task(_use_slots(node.slots, group))
            for node in cluster.nodes_by_id.values()
            for group in cluster.groups()
        ]
        await asyncio.sleep(CREDIT_SECONDS)
        totals[:] = [0, 0]
        await asyncio.sleep(CREDIT_SECONDS)
        asks, size = totals
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
    return asks / nodes / CREDIT_SECONDS, size / nodes / CREDIT_SECONDS


def _count_asks(peers: Any, totals: list[int]) -> None:
    send_request = peers.request

    async def request(node_id: str, message: Any, *, timeout: float = 2.0) -> Any:
        answer = await send_request(node_id, message, timeout=timeout)
        if isinstance(message, credit_messages.CreditAsk):
            totals[0] += 1
            totals[1] += len(codec.to_msgpack(message)) + len(codec.to_msgpack(answer))
        return answer

    peers.request = request


async def _use_slots(node_slots: slots.Slots, group: data.Group) -> None:
    while True:
        slot = node_slots.try_acquire(group)
        await asyncio.sleep(1.0)
        if isinstance(slot, slots.Slot):
            slot.release(data.Observation(reached=True, latency=0.1))


def measure_credits() -> None:
    """Prints the rates of credit messages of one controller, by targets in use and by nodes."""
    for targets in CREDIT_TARGET_COUNTS:
        asks, size = _simulate(credit_rates(nodes=4, targets=targets))
        unit = "targets"
        measuring.sample("groups.credit_asks_by_targets", targets, unit, asks, "asks/s a node")
        measuring.sample("groups.credit_bytes_by_targets", targets, unit, size, "bytes/s a node")
    for nodes in CREDIT_NODE_COUNTS:
        asks, size = _simulate(credit_rates(nodes=nodes, targets=10))
        measuring.sample("groups.credit_asks_by_nodes", nodes, "nodes", asks, "asks/s a node")
        measuring.sample("groups.credit_bytes_by_nodes", nodes, "nodes", size, "bytes/s a node")


def _simulate(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a measurement on an event loop with simulated time."""
    simulated_loop = looptime.new_event_loop(_enabled=True, noop_cycles=NOOP_CYCLES)
    with contextlib.closing(simulated_loop) as loop:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(coroutine)


def _emit(**fields: Any) -> None:
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


def main() -> None:
    """Runs all measurements."""
    measure_rounds()
    measure_credits()
    measure_stranded(SEED)
    measure_downtime()


if __name__ == "__main__":
    main()
