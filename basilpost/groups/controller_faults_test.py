"""Tests of controllers under faults of members, nodes, store and VM list."""

import asyncio
import collections
import dataclasses
import itertools

import pytest

from basilpost.core import clock, data, hashing
from basilpost.groups import fabric_table, fake_cluster, fakes, runner_api
from basilpost.groups import view as views
from basilpost.store import objects, vms

SERVICE = data.Service(
    name="chat",
    kind=data.ServiceKind.MODEL,
    pool="gpu",
    model="m",
    model_version="1",
    vms_per_group=3,
)
UNFENCED = dataclasses.replace(SERVICE, checks_fence=False)
LEASE_AND_ORDER_SECONDS = 12.0


def make_cluster(count=4, *, service=SERVICE, **options):
    return fake_cluster.FakeCluster(
        vms_listed=fake_cluster.make_vms(count), services=(service,), **options
    )


def generations(cluster):
    return {group.group_id: group.generation for group in cluster.groups()}


async def assert_holds_for(seconds, condition):
    for _ in range(int(seconds * 10)):
        await asyncio.sleep(0.1)
        assert condition()


@pytest.mark.looptime(noop_cycles=2)
async def test_a_member_paused_for_less_than_the_window_costs_no_rebuild():
    async with make_cluster() as cluster:
        await cluster.until(cluster.ready(1))
        before, orders = generations(cluster), len(cluster.runners.orders)
        paused = cluster.groups()[0].members[1].address
        cluster.runners.unreachable.add(paused)
        await cluster.until(lambda: not cluster.groups()[0].serving, within=4.0)
        cluster.runners.unreachable.discard(paused)
        await cluster.until(cluster.ready(1), within=2.0)
        assert generations(cluster) == before
        joins = [order for _, order in cluster.runners.orders[orders:] if order.group_id]
        assert joins == []


@pytest.mark.looptime(noop_cycles=2)
async def test_a_member_paused_for_longer_is_replaced_and_comes_back_as_a_spare():
    async with make_cluster() as cluster:
        await cluster.until(cluster.ready(1))
        paused = cluster.groups()[0].members[1]
        cluster.runners.unreachable.add(paused.address)
        await cluster.until(lambda: paused.vm_id not in set(views.member_ids(cluster.groups())))
        cluster.runners.unreachable.discard(paused.address)
        await cluster.until(cluster.ready(1))
        await assert_holds_for(
            5, lambda: paused.vm_id not in set(views.member_ids(cluster.groups()))
        )


@pytest.mark.looptime(noop_cycles=2)
async def test_a_spare_loads_while_the_silent_member_is_still_waited_for():
    async with make_cluster(load_seconds=8.0) as cluster:
        await cluster.until(cluster.ready(1))
        cluster.runners.unreachable.add(cluster.groups()[0].members[1].address)
        took = await cluster.until(
            lambda: generations(cluster) == {cluster.groups()[0].group_id: 2}
        )
        took += await cluster.until(cluster.ready(1))
        assert took < 4.0 + 8.0


@pytest.mark.looptime(noop_cycles=2)
async def test_a_member_that_restarts_loads_again_in_its_place():
    async with make_cluster(3) as cluster:
        await cluster.until(cluster.ready(1))
        before = cluster.groups()[0]
        cluster.runners.restart(before.members[2].address)
        await cluster.until(lambda: not cluster.groups()[0].serving, within=2.0)
        await cluster.until(cluster.ready(1))
        assert cluster.groups()[0].members == before.members
        assert cluster.groups()[0].generation > before.generation


@pytest.mark.looptime(noop_cycles=2)
async def test_a_straggler_is_moved_out_for_a_spare():
    async with make_cluster() as cluster:
        await cluster.until(cluster.ready(1))
        slow = cluster.groups()[0].members[1]
        cluster.runners.delay_by_address[slow.address] = 0.6
        await cluster.until(lambda: slow.vm_id not in set(views.member_ids(cluster.groups())))
        await cluster.until(cluster.ready(1))


@pytest.mark.looptime(noop_cycles=2)
async def test_a_dark_fabric_domain_comes_back_without_a_rebuild():
    async with make_cluster(7) as cluster:
        await cluster.until(cluster.ready(2))
        before = generations(cluster)
        cluster.runners.unreachable |= {vm.address for vm in cluster.vm_list.vms_by_id.values()}
        await cluster.until(lambda: not any(group.serving for group in cluster.groups()))
        await asyncio.sleep(60)
        cluster.runners.unreachable.clear()
        await cluster.until(cluster.ready(2), within=3.0)
        assert generations(cluster) == before


class FreezeGate:
    """While `opened` is not set, the calls of one node wait, as if its process were frozen."""

    def __init__(self):
        self.opened = asyncio.Event()
        self.opened.set()


class GatedRunnerClient(fakes.FakeRunners):
    """One node's client of the shared runners; an order is not sent after its timeout."""

    def __init__(self, *, inner, gate):
        self._inner = inner
        self._gate = gate

    async def status(self, address, *, plain=False, timeout=1.0):
        await self._gate.opened.wait()
        return await self._inner.status(address, plain=plain, timeout=timeout)

    async def order(self, address, order, *, timeout=2.0):
        deadline = clock.monotonic() + timeout
        await self._gate.opened.wait()
        if clock.monotonic() >= deadline:
            return runner_api.Unreachable(reason="too late")
        return await self._inner.order(address, order, timeout=timeout)


class GatedStore(objects.ObjectStore):
    """One node's client of the shared store."""

    def __init__(self, *, inner, gate):
        self._inner = inner
        self._gate = gate

    async def _pass(self, name, *arguments, **options):
        await self._gate.opened.wait()
        return await getattr(self._inner, name)(*arguments, **options)

    async def get(self, key, **options):
        return await self._pass("get", key, **options)

    async def list(self, prefix, **options):
        return await self._pass("list", prefix, **options)

    async def create(self, key, value, **options):
        return await self._pass("create", key, value, **options)

    async def update(self, key, value, **options):
        return await self._pass("update", key, value, **options)

    async def delete(self, key, **options):
        return await self._pass("delete", key, **options)

    async def watch(self, prefix, **options):
        return await self._pass("watch", prefix, **options)


class FreezableCluster(fake_cluster.FakeCluster):
    """A cluster whose nodes can be frozen: their calls wait and their peer links are cut."""

    def make_node(self, node_id, **changes):
        gate = FreezeGate()
        self.gates_by_id = {**getattr(self, "gates_by_id", {}), node_id: gate}
        return super().make_node(
            node_id,
            store=GatedStore(inner=self.store, gate=gate),
            runner_client=GatedRunnerClient(inner=self.runners, gate=gate),
            **changes,
        )

    async def __aexit__(self, *details):
        for gate in self.gates_by_id.values():
            gate.opened.set()
        await super().__aexit__(*details)

    def freeze(self, node_id):
        self.gates_by_id[node_id].opened.clear()
        self.hub.cut |= {frozenset((node_id, other)) for other in self.nodes_by_id}
        self.nodes_by_id[node_id].lease_seconds_left = 10.0

    def thaw(self, node_id):
        self.hub.cut.clear()
        self.gates_by_id[node_id].opened.set()

    def node(self):
        return next(
            node for one, node in self.nodes_by_id.items() if self.gates_by_id[one].opened.is_set()
        )


@pytest.mark.looptime(noop_cycles=2)
@pytest.mark.parametrize("service", [SERVICE, UNFENCED])
async def test_a_frozen_holder_gives_no_order_after_its_successor_has(service):
    async with FreezableCluster(
        vms_listed=fake_cluster.make_vms(5), services=(service,), nodes=3, checks_fence=False
    ) as cluster:
        await cluster.until(cluster.ready(1))
        old = cluster.holder()
        victim = cluster.groups()[0].members[0]
        cluster.runners.unreachable.add(victim.address)
        cluster.freeze(old)
        frozen_at = clock.monotonic()
        orders_before = len(cluster.runners.orders)
        await cluster.until(lambda: cluster.holder() not in ("", old))
        claimed_at = clock.monotonic()
        await cluster.until(lambda: len(cluster.runners.orders) > orders_before)
        waited = clock.monotonic() - claimed_at
        if not service.checks_fence:
            assert waited >= LEASE_AND_ORDER_SECONDS - 0.2
        assert clock.monotonic() - frozen_at < 30
        await cluster.until(lambda: cluster.ready(1)() and cluster.groups()[0].generation == 2)
        orders_before = len(cluster.runners.orders)
        cluster.thaw(old)
        await asyncio.sleep(20)
        fences = [order.fence for _, order in cluster.runners.orders[orders_before:]]
        assert all(fence > 1 for fence in fences)
        assert cluster.ready(1)()


@pytest.mark.looptime(noop_cycles=2)
async def test_a_runner_that_has_seen_a_higher_fence_in_another_domain_is_still_used():
    async with make_cluster(3) as cluster:
        address = fake_cluster.make_vms(3)[1].address
        cluster.runners.status_by_address[address] = runner_api.RunnerStatus(
            vm_id="vm-0001", fence=50
        )
        await cluster.until(cluster.ready(1))
        assert cluster.node().directory.tables()["fab-1"].holder.fence == 51


@pytest.mark.looptime(noop_cycles=2)
async def test_a_planned_stop_hands_control_over_without_a_wait():
    async with make_cluster(service=UNFENCED, nodes=3, checks_fence=False) as cluster:
        await cluster.until(cluster.ready(1))
        old = cluster.holder()
        await cluster.stop(old)
        await cluster.until(lambda: cluster.holder() not in ("", old), within=2.0)
        cluster.runners.restart(cluster.groups()[0].address)
        await cluster.until(cluster.ready(1), within=10.0)


@pytest.mark.looptime(noop_cycles=2)
async def test_a_planned_stop_within_the_wait_for_a_dead_holder_releases_nothing():
    async with make_cluster(service=UNFENCED, nodes=3, checks_fence=False) as cluster:
        await cluster.until(cluster.ready(1))
        first = cluster.holder()
        await cluster.crash(first)
        crashed_at = clock.monotonic()
        await cluster.until(lambda: cluster.holder() not in ("", first))
        cluster.runners.restart(cluster.groups()[0].address)
        orders_before = len(cluster.runners.orders)
        await asyncio.sleep(2)
        await cluster.stop(cluster.holder())
        await cluster.until(lambda: len(cluster.runners.orders) > orders_before)
        assert clock.monotonic() - crashed_at >= LEASE_AND_ORDER_SECONDS


@pytest.mark.looptime(noop_cycles=2)
async def test_a_planned_stop_waits_for_an_order_that_is_in_flight():
    async with make_cluster(service=UNFENCED, nodes=2, checks_fence=False) as cluster:
        await cluster.until(cluster.ready(1))
        old = cluster.holder()
        real, ended = cluster.runners.order, []

        async def slow_order(address, order, *, timeout=2.0):
            await asyncio.sleep(1.5)
            ended.append(cluster.holder())
            return await real(address, order, timeout=timeout)

        cluster.runners.order = slow_order
        cluster.runners.restart(cluster.groups()[0].address)
        await asyncio.sleep(2.0)
        await cluster.stop(old)
        assert ended and set(ended) == {old}


@pytest.mark.looptime(noop_cycles=2)
async def test_a_write_whose_answer_is_lost_is_recognised_and_not_repeated():
    async with make_cluster() as cluster:
        cluster.store.faults.lose_answers = 4
        await cluster.until(cluster.ready(1))
        assert len(cluster.groups()) == 1
        joins = collections.Counter(
            address for address, one in cluster.runners.orders if one.group_id
        )
        assert set(joins.values()) == {1}


@pytest.mark.looptime(noop_cycles=2)
async def test_groups_outlive_a_long_store_outage_and_orders_stop_with_the_lease():
    async with make_cluster(nodes=2) as cluster:
        await cluster.until(cluster.ready(1))
        cluster.store.faults.down = True
        await asyncio.sleep(15)
        before = len(cluster.runners.orders)
        cluster.runners.unreachable.add(cluster.groups()[0].members[1].address)
        await assert_holds_for(60, lambda: len(cluster.runners.orders) == before)
        cluster.store.faults.down = False
        await cluster.until(lambda: generations(cluster) == {cluster.groups()[0].group_id: 2})
        await cluster.until(cluster.ready(1))


@pytest.mark.looptime(noop_cycles=2)
async def test_a_slow_store_only_delays_a_rebuild():
    async with make_cluster() as cluster:
        cluster.store.faults.delay = 1.5
        await cluster.until(cluster.ready(1))
        cluster.runners.unreachable.add(cluster.groups()[0].members[1].address)
        await cluster.until(lambda: not cluster.groups()[0].serving, within=10.0)
        await cluster.until(cluster.ready(1))


class DelayedVmList(vms.FixedVmList):
    """Returns the VM list as it was `seconds` ago."""

    def __init__(self, *, inner, seconds):
        self._inner = inner
        self._seconds = seconds
        self._history = [(float("-inf"), dict(inner.vms_by_id))]

    async def fetch(self, *, timeout=2.0):
        now = clock.monotonic()
        if self._history[-1][1] != self._inner.vms_by_id:
            self._history.append((now, dict(self._inner.vms_by_id)))
        shown = [found for at, found in self._history if at <= now - self._seconds]
        return vms.VmListing(vms_by_id=shown[-1] if shown else self._history[0][1])


@pytest.mark.looptime(noop_cycles=2)
async def test_a_late_vm_list_neither_forms_groups_of_dead_vms_nor_breaks_whole_ones():
    listed = vms.FixedVmList(vms=fake_cluster.make_vms(7))
    late = DelayedVmList(inner=listed, seconds=30.0)
    async with make_cluster(vm_list=late) as cluster:
        dead = fake_cluster.make_vms(7)[3]
        cluster.runners.unreachable.add(dead.address)
        del listed.vms_by_id[dead.vm_id]
        await cluster.until(cluster.ready(2))
        before = generations(cluster)
        assert dead.vm_id not in set(views.member_ids(cluster.groups()))
        for vm_id in list(listed.vms_by_id):
            vm = listed.vms_by_id.pop(vm_id)
            listed.vms_by_id[f"new-{vm_id}"] = dataclasses.replace(vm, vm_id=f"new-{vm_id}")
        await assert_holds_for(25, lambda: generations(cluster) == before)


def preferred_pair(first, second):
    """Returns two node ids; the first is preferred for one fabric domain, the second for the other."""
    pairs = itertools.permutations([f"n{index}" for index in range(8)], 2)
    return next(
        pair
        for pair in pairs
        if (hashing.rendezvous_choice(first, pair), hashing.rendezvous_choice(second, pair)) == pair
    )


@pytest.mark.looptime(noop_cycles=2)
async def test_a_vm_listed_in_two_fabric_domains_is_never_in_two_groups():
    lists = [
        vms.FixedVmList(
            vms=(
                *fake_cluster.make_vms(2, fabric_domain="fab-1"),
                *fake_cluster.make_vms(2, fabric_domain="fab-2", start=2),
                *fake_cluster.make_vms(1, fabric_domain=listed_in, start=4),
            )
        )
        for listed_in in ("fab-1", "fab-2")
    ]
    holders = preferred_pair("fab-1", "fab-2")
    cluster = fake_cluster.FakeCluster(vms_listed=(), services=(SERVICE,), nodes=0)
    for node_id, listed in zip(holders, lists, strict=True):
        cluster.make_node(node_id, vm_list=listed)
    async with cluster:
        await cluster.until(lambda: len(cluster.groups()) >= 1)
        for _ in range(300):
            await asyncio.sleep(0.1)
            cluster.warm()
            listing = await cluster.store.list("fabric/")
            found = [fabric_table.decode(stored).table for stored in listing.objects]
            members = list(views.member_ids(g for t in found for g in t.groups))
            assert len(members) == len(set(members))
        assert cluster.ready(1)()
        assert (cluster.holder("fab-1"), cluster.holder("fab-2")) == holders


@pytest.mark.looptime(noop_cycles=2)
async def test_a_vm_that_moves_to_another_fabric_domain_is_used_there_in_the_end():
    listed = (
        *fake_cluster.make_vms(4),
        *fake_cluster.make_vms(2, fabric_domain="fab-2", start=4),
    )
    async with fake_cluster.FakeCluster(vms_listed=listed, services=(SERVICE,)) as cluster:
        await cluster.until(cluster.ready(1))
        members = set(views.member_ids(cluster.groups()))
        cluster.runners.unreachable.add(cluster.groups()[0].members[1].address)
        await cluster.until(lambda: set(views.member_ids(cluster.groups())) != members)
        cluster.runners.unreachable.clear()
        (moved,) = members - set(views.member_ids(cluster.groups()))
        vm = cluster.vm_list.vms_by_id[moved]
        cluster.vm_list.vms_by_id[moved] = dataclasses.replace(vm, fabric_domain="fab-2")
        await assert_holds_for(50, lambda: len(cluster.groups()) == 1)
        await cluster.until(cluster.ready(2))


@pytest.mark.looptime(noop_cycles=2)
async def test_fabric_domains_that_appear_later_get_controllers():
    async with make_cluster(nodes=4) as cluster:
        await cluster.until(cluster.ready(1))
        for number in range(6):
            added = fake_cluster.make_vms(
                3, fabric_domain=f"new-{number}", failure_domain="fd-2", start=10 + 3 * number
            )
            cluster.vm_list.vms_by_id |= {vm.vm_id: vm for vm in added}
        await cluster.until(cluster.ready(7), within=30.0)
        holders = {cluster.holder(f"new-{number}") for number in range(6)}
        assert len(holders) > 1


@pytest.mark.looptime(noop_cycles=2)
async def test_a_new_model_version_takes_down_one_group_at_a_time():
    listed = (
        *fake_cluster.make_vms(3, fabric_domain="fab-1"),
        *fake_cluster.make_vms(3, fabric_domain="fab-2", failure_domain="fd-2", start=3),
        *fake_cluster.make_vms(3, fabric_domain="fab-3", failure_domain="fd-3", start=6),
    )
    async with fake_cluster.FakeCluster(vms_listed=listed, services=(SERVICE,), nodes=3) as cluster:
        await cluster.until(cluster.ready(3))
        newer = dataclasses.replace(SERVICE, model_version="2")
        cluster.configure(services_by_name={"chat": newer})
        fewest_serving = 3
        for _ in range(600):
            await asyncio.sleep(0.1)
            cluster.warm()
            fewest_serving = min(fewest_serving, sum(group.serving for group in cluster.groups()))
        assert {group.model_version for group in cluster.groups()} == {"2"}
        assert cluster.ready(3)()
        assert fewest_serving == 2


@pytest.mark.looptime(noop_cycles=2)
async def test_a_plain_service_is_probed_and_gets_no_orders():
    plain = data.Service(name="desk", kind=data.ServiceKind.PLAIN, pool="apps")
    listed = fake_cluster.make_vms(3, pool="apps")
    async with fake_cluster.FakeCluster(vms_listed=listed, services=(plain,)) as cluster:
        await cluster.until(cluster.ready(3, "desk"))
        victim = cluster.groups("desk")[0]
        cluster.runners.unreachable.add(victim.address)
        await cluster.until(lambda: not cluster.groups("desk")[0].serving, within=4.0)
        cluster.runners.unreachable.clear()
        await cluster.until(cluster.ready(3, "desk"))
        leaver = cluster.groups("desk")[1].members[0].vm_id
        vm = cluster.vm_list.vms_by_id[leaver]
        cluster.vm_list.vms_by_id[leaver] = dataclasses.replace(vm, leaving=True)
        await cluster.until(lambda: not cluster.groups("desk")[1].serving, within=5.0)
        assert cluster.runners.orders == []


@pytest.mark.looptime(noop_cycles=2)
@pytest.mark.parametrize("planned", [True, False])
async def test_a_change_of_controller_costs_no_downtime(planned):
    async with make_cluster(nodes=3) as cluster:
        await cluster.until(cluster.ready(1))
        await asyncio.sleep(3.0)
        holder = cluster.holder()
        survivor = next(node for name, node in cluster.nodes_by_id.items() if name != holder)
        states = []
        survivor.directory.subscribe(
            lambda: states.extend(group.state for group in survivor.directory.groups_for("chat"))
        )
        await (cluster.stop(holder) if planned else cluster.crash(holder))
        await cluster.until(lambda: cluster.holder() not in ("", holder))
        await asyncio.sleep(5.0)
        assert set(states) == {data.GroupState.READY}
