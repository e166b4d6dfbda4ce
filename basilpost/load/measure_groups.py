"""Measures groups: downtime after failures, stranded VMs, and what controllers and credits cost.

Failures run on a clock that tests advance, with runners in memory, so that the same seed gives the same
figures. Each downtime stands beside the least possible and beside a baseline that rebuilds whole groups.
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
RAMP_SECONDS = 5.0
DARK_SECONDS = 30.0
PAUSE_SECONDS = 3.0
LOAD_SECONDS = (10.0, 30.0, 60.0)
SETTLE_SECONDS = 300.0
STEP_SECONDS = 0.1
ROUND_VMS = (16, 32, 64, 128)
CREDIT_NODES = (4, 8, 16)
CREDIT_TARGETS = (5, 10, 20)
CREDIT_SECONDS = 20.0
FLEETS = 24
QUIET_LOOP_CYCLES = 2

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
    """A failure and the least that it can cost.

    Attributes:
        name: What fails.
        spares: VMs beside those of the groups.
        strike: Makes it happen; returns once it has.
        left: Groups that can be whole afterwards.
        hit: Groups that have to be made whole again.
        least: Least seconds for which each of them is down, by the seconds that a load takes.
    """

    name: str
    spares: int
    strike: Callable[[fake_cluster.FakeCluster], Awaitable[None]]
    left: int
    hit: int
    least: Callable[[float], float]


def numbered(plan: Callable[[views.View], planner.Plan]) -> Callable[[views.View], planner.Plan]:
    """Returns the plan function with group ids that count up, so that runs can be compared."""
    numbers = itertools.count()

    def planned(view: views.View) -> planner.Plan:
        return plan(
            dataclasses.replace(view, new_id=lambda service: f"{service}-{next(numbers):04}")
        )

    return planned


def greedy_plan(view: views.View) -> planner.Plan:
    """Plans as a system that gives a broken group up and forms new ones from all free VMs."""
    observed = [lifecycle.with_observed_state(view, group) for group in view.table.groups]
    kept = [group for group in observed if not _is_given_up(view, group)]
    spares = views.spares_by_cell(view, kept)
    groups = [*kept, *forming.form_groups(view, kept, spares)]
    next_table = dataclasses.replace(view.table, groups=tuple(groups))
    return planner.Plan(table=next_table, orders=order_planning.plan_orders(view, next_table, {}))


def _is_given_up(view: views.View, group: data.Group) -> bool:
    if group.state is not data.GroupState.BROKEN:
        return False
    silent = any(views.current_status(view, one.vm_id) is None for one in group.members)
    return bool(lifecycle.members_to_replace(view, group)) or not silent


async def _kill(cluster: fake_cluster.FakeCluster, *counts: int) -> None:
    """Kills members of the first groups: as many of each as given."""
    for group, count in zip(cluster.groups(), counts, strict=False):
        cluster.runners.unreachable |= {member.address for member in group.members[:count]}


async def _kill_one(cluster: fake_cluster.FakeCluster) -> None:
    await _kill(cluster, 1)


async def _kill_two(cluster: fake_cluster.FakeCluster) -> None:
    await _kill(cluster, 2)


async def _kill_in_two_groups(cluster: fake_cluster.FakeCluster) -> None:
    await _kill(cluster, 1, 2)


async def _restart_one(cluster: fake_cluster.FakeCluster) -> None:
    cluster.runners.restart(cluster.groups()[0].members[1].address)


async def _pause_one(cluster: fake_cluster.FakeCluster) -> None:
    await _dark_for(cluster, {cluster.groups()[0].members[1].address}, PAUSE_SECONDS)


async def _dark_domain(cluster: fake_cluster.FakeCluster) -> None:
    addresses = {vm.address for vm in cluster.vm_list.vms_by_id.values()}
    await _dark_for(cluster, addresses, DARK_SECONDS)


async def _dark_for(cluster: fake_cluster.FakeCluster, addresses: set[str], seconds: float) -> None:
    cluster.runners.unreachable |= addresses
    asyncio.get_running_loop().call_later(
        seconds, cluster.runners.unreachable.difference_update, addresses
    )


async def _leave(cluster: fake_cluster.FakeCluster) -> None:
    vm_id = cluster.groups()[0].members[1].vm_id
    vm = cluster.vm_list.vms_by_id[vm_id]
    cluster.vm_list.vms_by_id[vm_id] = dataclasses.replace(vm, leaving=True)
    asyncio.get_running_loop().call_later(
        2 * DARK_SECONDS, cluster.runners.unreachable.add, vm.address
    )


FAILURES = (
    Failure(
        name="member killed, a spare",
        spares=1, strike=_kill_one, left=3, hit=1, least=lambda load: load + RAMP_SECONDS,
    ),
    Failure(
        name="two members of a group killed, two spares",
        spares=2, strike=_kill_two, left=3, hit=1, least=lambda load: load + RAMP_SECONDS,
    ),
    Failure(
        name="member restarted without weights",
        spares=0, strike=_restart_one, left=3, hit=1, least=lambda load: max(load, RAMP_SECONDS),
    ),
    Failure(
        name="members of two groups killed, no spare",
        spares=0, strike=_kill_in_two_groups, left=2, hit=1, least=lambda load: RAMP_SECONDS,
    ),
    Failure(
        name="member paused for 3 s",
        spares=1, strike=_pause_one, left=3, hit=1, least=lambda load: PAUSE_SECONDS,
    ),
    Failure(
        name="fabric domain dark for 30 s",
        spares=1, strike=_dark_domain, left=3, hit=3, least=lambda load: DARK_SECONDS,
    ),
    Failure(
        name="member leaving, a spare",
        spares=1, strike=_leave, left=3, hit=1, least=lambda load: RAMP_SECONDS,
    ),
)  # fmt: skip


async def downtime(failure: Failure, *, load_seconds: float, greedy: bool) -> float:
    """Returns the seconds of groups that were missing until all that can be whole were READY."""
    runners = fakes.FakeRunners(
        load_seconds=load_seconds, keeps_weights=not greedy, warm_seconds=RAMP_SECONDS
    )
    cluster = fake_cluster.FakeCluster(
        vms_listed=fake_cluster.make_vms(VMS_PER_GROUP * GROUPS + failure.spares),
        services=(SERVICE,),
        runners=runners,
        weight_store=schema.WeightStore(),
        plan=numbered(greedy_plan if greedy else planner.plan),
    )
    async with cluster:
        await cluster.until(cluster.ready(GROUPS), within=SETTLE_SECONDS, warm=False)
        await asyncio.sleep(2.0)
        await failure.strike(cluster)
        struck_at = clock.monotonic()
        missing = 0.0
        was_down = False
        while clock.monotonic() - struck_at < SETTLE_SECONDS:
            await asyncio.sleep(STEP_SECONDS)
            down = max(0, failure.left - _whole(cluster))
            missing += down * STEP_SECONDS
            was_down = was_down or down > 0
            if was_down and not down and clock.monotonic() - struck_at > 3 * DARK_SECONDS:
                break
    return missing


def _whole(cluster: fake_cluster.FakeCluster) -> int:
    """Returns the groups that are READY in the table and whose members all answer."""
    return sum(
        group.state is data.GroupState.READY
        and not any(member.address in cluster.runners.unreachable for member in group.members)
        for group in cluster.groups()
    )


def measure_downtime() -> None:
    """Prints the downtime of each failure, and of the baseline, as ratios to the least possible."""
    for failure in FAILURES:
        for load_seconds in LOAD_SECONDS:
            least = failure.hit * failure.least(load_seconds)
            ours = _simulate(downtime(failure, load_seconds=load_seconds, greedy=False))
            greedy = _simulate(downtime(failure, load_seconds=load_seconds, greedy=True))
            _emit(
                figure="groups.downtime_ratio",
                failure=failure.name,
                load_seconds=load_seconds,
                least_seconds=least,
                seconds=round(ours, 1),
                value=round(ours / least, 3),
                baseline_seconds=round(greedy, 1),
                baseline=round(greedy / least, 3),
                unit="ratio",
            )


async def stranded(source: random.Random, *, greedy: bool) -> int:
    """Returns how many more VMs stay without a group than in the best partition of those alive."""
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
        plan=numbered(greedy_plan if greedy else planner.plan),
    )
    dead = source.sample(range(count), source.randint(1, max(1, count // 4)))
    async with cluster:
        await asyncio.sleep(30.0)
        for index in dead:
            gone = cluster.vm_list.vms_by_id.pop(f"vm-{index:04}")
            cluster.runners.unreachable.add(gone.address)
        await asyncio.sleep(60.0)
        groups = [
            one for service in services for one in cluster.groups(service.name) if one.serving
        ]
    alive = count - len(dead)
    limits = tuple(alive for _ in sizes)
    counts = forming.best_counts(alive, sizes, limits)
    best = sum(size * number for size, number in zip(sizes, counts, strict=True))
    return best - len(list(views.member_ids(groups)))


def measure_stranded(seed: int) -> None:
    """Prints the stranded VMs above the best partition, over random small fleets."""
    ours = [
        _simulate(stranded(random.Random(seed + index), greedy=False)) for index in range(FLEETS)
    ]
    greedy = [
        _simulate(stranded(random.Random(seed + index), greedy=True)) for index in range(FLEETS)
    ]
    for name, found, baseline in (
        ("groups.stranded_above_best_mean", sum(ours) / FLEETS, sum(greedy) / FLEETS),
        ("groups.stranded_above_best_max", max(ours), max(greedy)),
    ):
        _emit(
            figure=name,
            value=round(found, 3),
            baseline=round(baseline, 3),
            fleets=FLEETS,
            unit="VMs a fabric domain",
        )


async def round_seconds(count: int) -> tuple[float, int]:
    """Returns the processor time of a controller's round over that many VMs, and its table's bytes."""
    cluster = fake_cluster.FakeCluster(
        vms_listed=fake_cluster.make_vms(count),
        services=(SERVICE,),
        runners=fakes.FakeRunners(load_seconds=1.0, warm_seconds=1.0),
        weight_store=schema.WeightStore(loads_per_second=1000.0, load_burst=1000),
    )
    async with cluster:
        whole = cluster.ready(count // VMS_PER_GROUP)
        await cluster.until(whole, within=SETTLE_SECONDS, warm=False)
        (controller,) = cluster.node().controllers.domain_controllers()
        await asyncio.sleep(5.0)
        rounds = 50
        begun = time.process_time()
        for _ in range(rounds):
            await controller.run_round()
        spent = (time.process_time() - begun) / rounds
        assert controller.confirmed_table is not None
        return spent, len(codec.to_json(controller.confirmed_table.table))


def measure_rounds() -> None:
    """Prints what rounds and tables cost at several sizes of a fabric domain."""
    for count in ROUND_VMS:
        spent, size = _simulate(round_seconds(count))
        measuring.sample("groups.round_cpu_by_vms", count, "VMs", spent, "cpu seconds")
        groups = count // VMS_PER_GROUP
        measuring.sample("groups.table_bytes_by_groups", groups, "groups", size, "bytes")


async def credit_rates(*, nodes: int, targets: int) -> tuple[float, float]:
    """Returns asks, and bytes of asks and replies, for each node and second in steady use."""
    cluster = fake_cluster.FakeCluster(
        vms_listed=fake_cluster.make_vms(targets),
        services=(dataclasses.replace(SERVICE, vms_per_group=1, max_in_flight=64),),
        nodes=nodes,
        runners=fakes.FakeRunners(load_seconds=1.0, warm_seconds=1.0),
        weight_store=schema.WeightStore(loads_per_second=1000.0, load_burst=1000),
    )
    counted = [0, 0]
    async with cluster:
        await cluster.until(cluster.ready(targets), within=SETTLE_SECONDS, warm=False)
        for node in cluster.nodes_by_id.values():
            _count_asks(node.peers, counted)
        callers = [
            asyncio.get_running_loop().create_task(_use(node.slots, group))
            for node in cluster.nodes_by_id.values()
            for group in cluster.groups()
        ]
        await asyncio.sleep(CREDIT_SECONDS)
        counted[:] = [0, 0]
        await asyncio.sleep(CREDIT_SECONDS)
        asks, size = counted
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
    return asks / nodes / CREDIT_SECONDS, size / nodes / CREDIT_SECONDS


def _count_asks(peers: Any, counted: list[int]) -> None:
    real = peers.request

    async def request(node_id: str, message: Any, *, timeout: float = 2.0) -> Any:
        answer = await real(node_id, message, timeout=timeout)
        if isinstance(message, credit_messages.CreditAsk):
            counted[0] += 1
            counted[1] += len(codec.to_msgpack(message)) + len(codec.to_msgpack(answer))
        return answer

    peers.request = request


async def _use(of: slots.Slots, group: data.Group) -> None:
    while True:
        slot = of.try_acquire(group)
        await asyncio.sleep(1.0)
        if isinstance(slot, slots.Slot):
            slot.release(data.Observation(reached=True, latency=0.1))


def measure_credits() -> None:
    """Prints the messages of credits for one controller, by targets in use and by nodes."""
    for targets in CREDIT_TARGETS:
        asks, size = _simulate(credit_rates(nodes=4, targets=targets))
        unit = "targets"
        measuring.sample("groups.credit_asks_by_targets", targets, unit, asks, "asks/s a node")
        measuring.sample("groups.credit_bytes_by_targets", targets, unit, size, "bytes/s a node")
    for nodes in CREDIT_NODES:
        asks, size = _simulate(credit_rates(nodes=nodes, targets=10))
        measuring.sample("groups.credit_asks_by_nodes", nodes, "nodes", asks, "asks/s a node")
        measuring.sample("groups.credit_bytes_by_nodes", nodes, "nodes", size, "bytes/s a node")


def _simulate(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a measurement on a loop whose time moves on by itself."""
    new_loop = looptime.new_event_loop(_enabled=True, noop_cycles=QUIET_LOOP_CYCLES)
    with contextlib.closing(new_loop) as loop:
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
