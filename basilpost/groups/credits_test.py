"""Tests of credits: the nodes' requests in flight stay within the limit under faults."""

import asyncio
import collections
import dataclasses
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from basilpost.core import codec, data
from basilpost.groups import fabric_table, fake_cluster, runner_api, shares, slots
from basilpost.members import fakes as member_fakes
from basilpost.members import peers
from basilpost.store import objects

COLD_LIMIT = 2
WARM_LIMIT = 12
SERVICE = data.Service(
    name="chat",
    kind=data.ServiceKind.MODEL,
    pool="gpu",
    model="m",
    model_version="1",
    vms_per_group=2,
    max_in_flight=WARM_LIMIT,
    cold_max_in_flight=COLD_LIMIT,
    cold_seconds=5.0,
)
GOOD = data.Observation(reached=True, latency=0.1)


class Traffic:
    """Callers at all nodes that use each slot they get; counts requests in flight per target."""

    def __init__(self, cluster, *, seconds=0.7, engine_reports=True, idle=""):
        self.idle = idle
        self.cluster = cluster
        reported = cluster.runners.in_flight_by_address
        self.counts = reported if engine_reports else collections.Counter()
        self.seconds = seconds
        self.observation = GOOD
        self.peak = 0
        self.started = 0
        self.started_by_node = {}
        self._tasks = []

    def add(self, node, streams=6):
        loop = asyncio.get_running_loop()
        self._tasks += [loop.create_task(self._caller(node)) for _ in range(streams)]

    async def __aenter__(self):
        for node_id, node in self.cluster.nodes_by_id.items():
            if node_id != self.idle:
                self.add(node)
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _caller(self, node):
        source = random.Random(len(self._tasks))
        while True:
            await asyncio.sleep(source.uniform(0.05, 0.15))
            if self.cluster.nodes_by_id.get(node.kernel.node_id) is not node:
                return
            for group in node.directory.groups_for("chat"):
                slot = node.slots.try_acquire(group)
                if isinstance(slot, slots.Slot):
                    await self._run(node, group, slot, source)

    async def _run(self, node, group, slot, source):
        counts = self.counts
        counts[group.address] += 1
        self.started += 1
        name = node.kernel.node_id
        self.started_by_node[name] = self.started_by_node.get(name, 0) + 1
        self.peak = max(self.peak, counts[group.address])
        try:
            await asyncio.sleep(self.seconds * source.uniform(0.5, 3.0))
        finally:
            counts[group.address] -= 1
            slot.release(self.observation)


def make_cluster(nodes=4, **options):
    return fake_cluster.FakeCluster(
        vms_listed=fake_cluster.make_vms(2), services=(SERVICE,), nodes=nodes, **options
    )


def one_group(cluster):
    (group,) = cluster.groups()
    return group


async def until_cold(cluster):
    await cluster.until(lambda: any(group.serving for group in cluster.groups()), warm=False)


@pytest.fixture
def lossy(monkeypatch):
    """Loses one in four messages between nodes, or its reply."""
    source = random.Random(7)
    real = member_fakes.FakePeers.request

    async def request(self, node_id, message, *, timeout=2.0):
        draw = source.random()
        if draw < 0.1:
            await asyncio.sleep(timeout)
            return peers.PeerUnavailable(reason="request lost")
        await asyncio.sleep(source.uniform(0.0, 0.05))
        answer = await real(self, node_id, message, timeout=timeout)
        if draw < 0.25:
            await asyncio.sleep(timeout)
            return peers.PeerUnavailable(reason="reply lost")
        return answer

    monkeypatch.setattr(member_fakes.FakePeers, "request", request)


@pytest.mark.looptime(noop_cycles=2)
async def test_a_cold_target_under_full_traffic_while_a_node_joins_and_the_controller_dies(lossy):
    async with make_cluster() as cluster:
        await until_cold(cluster)
        async with Traffic(cluster) as traffic:
            await asyncio.sleep(20)
            assert traffic.started > 10
            joined = cluster.make_node("n9")
            await joined.start()
            traffic.add(joined)
            await asyncio.sleep(5)
            await cluster.crash(cluster.holder())
            before = traffic.started
            await asyncio.sleep(30)
            assert traffic.started > before + 10
            assert set(traffic.started_by_node) >= set(cluster.nodes_by_id)
            await cluster.stop(cluster.holder())
            await asyncio.sleep(20)
        assert one_group(cluster).state is data.GroupState.COLD
        assert traffic.peak == COLD_LIMIT


@pytest.mark.looptime(noop_cycles=2)
async def test_requests_of_a_crashed_node_count_until_the_runner_reports_that_they_ended():
    async with make_cluster(nodes=3) as cluster:
        await until_cold(cluster)
        async with Traffic(cluster, seconds=15.0) as traffic:
            await asyncio.sleep(10)
            for node_id in list(cluster.nodes_by_id)[:2]:
                if node_id != cluster.holder():
                    await cluster.crash(node_id)
            await asyncio.sleep(60)
        assert traffic.peak == COLD_LIMIT


@pytest.mark.looptime(noop_cycles=2)
@pytest.mark.parametrize("engine_reports", [True, False])
async def test_a_new_controller_counts_the_nodes_requests_in_flight(engine_reports):
    async with make_cluster() as cluster:
        await until_cold(cluster)
        old = cluster.holder()
        async with Traffic(
            cluster, seconds=15.0, engine_reports=engine_reports, idle=old
        ) as traffic:
            await asyncio.sleep(10)
            assert traffic.peak == COLD_LIMIT
            await cluster.crash(old)
            await asyncio.sleep(30)
        assert traffic.peak == COLD_LIMIT


@pytest.mark.looptime(noop_cycles=2)
async def test_credits_of_an_earlier_holder_are_void_once_the_next_one_is_known():
    async with make_cluster() as cluster:
        await until_cold(cluster)
        group = one_group(cluster)
        node = next(node for node in cluster.nodes_by_id.values() if not is_holder(cluster, node))
        for _ in range(20):
            if isinstance(node.slots.try_acquire(group), slots.Slot):
                break
            await asyncio.sleep(0.2)
        await asyncio.sleep(0.6)
        assert node.slots.available(group) > 0
        known = node.replica.get("fabric/fab-1")
        current_table = fabric_table.decode(known).table
        later = dataclasses.replace(current_table, holder=data.Holder(node_id="n99", fence=99))
        stored = objects.Stored(
            key=known.key, value=codec.to_json(later), version=known.version + 1
        )
        change = objects.Change(key=known.key, version=stored.version, stored=stored)
        node.replica.offer(change)
        assert node.slots.available(group) == 0


def is_holder(cluster, node):
    return cluster.holder() == node.kernel.node_id


@pytest.mark.looptime(noop_cycles=2)
async def test_a_failure_domain_that_returns_to_service_ramps_up():
    async with make_cluster() as cluster:
        await cluster.until(cluster.ready(1))
        async with Traffic(cluster) as traffic:
            await asyncio.sleep(30)
            out = data.FailureDomain(name="fd-1", in_service=False)
            cluster.configure(failure_domains_by_name={"fd-1": out})
            await asyncio.sleep(10)
            traffic.peak = 0
            cluster.configure(failure_domains_by_name={})
            await asyncio.sleep(0.6)
            assert 0 < traffic.peak <= WARM_LIMIT // 2
            await asyncio.sleep(30)
            assert traffic.peak == WARM_LIMIT


@pytest.mark.looptime(noop_cycles=2)
async def test_without_its_controllers_lease_a_cold_target_gets_nothing_new():
    async with make_cluster() as cluster:
        await until_cold(cluster)
        async with Traffic(cluster) as traffic:
            await asyncio.sleep(5)
            cluster.store.faults.down = True
            await asyncio.sleep(15)
            before = traffic.started
            await asyncio.sleep(20)
            assert traffic.started == before
            cluster.store.faults.down = False
            await asyncio.sleep(10)
            assert traffic.started > before


@pytest.mark.looptime(noop_cycles=2)
async def test_a_warm_target_ramps_up_and_stays_within_its_limit_without_a_controller():
    async with make_cluster() as cluster:
        await cluster.until(cluster.ready(1))
        async with Traffic(cluster) as traffic:
            await asyncio.sleep(1)
            assert traffic.peak <= COLD_LIMIT + 2
            await asyncio.sleep(30)
            assert traffic.peak == WARM_LIMIT
            cluster.store.faults.down = True
            await asyncio.sleep(15)
            before = traffic.started
            await asyncio.sleep(10)
            assert traffic.started > before
            await cluster.crash(cluster.holder())
            await asyncio.sleep(3)
            traffic.peak = 0  # The requests of the crashed process have ended.
            await asyncio.sleep(10)
            assert traffic.peak == WARM_LIMIT


@pytest.mark.looptime(noop_cycles=2)
async def test_a_ready_target_is_served_by_static_shares_while_no_holder_may_grant():
    async with make_cluster() as cluster:
        await cluster.until(cluster.ready(1))
        for node in cluster.nodes_by_id.values():
            node.standing.acknowledged = False
        await cluster.crash(cluster.holder())
        async with Traffic(cluster) as traffic:
            await asyncio.sleep(8)
            before = traffic.started
            await asyncio.sleep(10)
            assert traffic.started > before
            assert traffic.peak <= WARM_LIMIT


@pytest.mark.looptime(noop_cycles=2)
async def test_unused_credits_go_to_another_node_once_they_expire():
    """The first node asked for credits on the cold target and then sent its requests elsewhere."""
    async with make_cluster(3) as cluster:
        await until_cold(cluster)
        group = one_group(cluster)
        first, second, _ = cluster.nodes_by_id.values()
        while first.slots.available(group) < COLD_LIMIT:
            assert isinstance(first.slots.try_acquire(group), slots.NoSlot)
            await asyncio.sleep(0.3)
        await asyncio.sleep(10.0)
        assert first.slots.available(group) == 0
        acquired = []
        for _ in range(40):
            slot = second.slots.try_acquire(one_group(cluster))
            acquired += [slot] if isinstance(slot, slots.Slot) else []
            await asyncio.sleep(0.1)
        assert len(acquired) == COLD_LIMIT


@pytest.mark.looptime(noop_cycles=2)
async def test_a_ready_target_does_not_ramp_up_by_time_alone_nor_on_failures():
    async with make_cluster() as cluster:
        await cluster.until(cluster.ready(1))
        await asyncio.sleep(60)
        async with Traffic(cluster) as traffic:
            traffic.observation = data.Observation(reached=True, failed=True, latency=0.1)
            await asyncio.sleep(30)
            assert traffic.peak == COLD_LIMIT


@pytest.mark.looptime(noop_cycles=2)
async def test_a_fall_back_to_cold_revokes_all_credits_at_once():
    async with make_cluster() as cluster:
        await cluster.until(cluster.ready(1))
        async with Traffic(cluster):
            await asyncio.sleep(30)
        group = one_group(cluster)
        nodes = list(cluster.nodes_by_id.values())
        await asyncio.sleep(1)
        assert sum(node.slots.available(group) for node in nodes) > COLD_LIMIT
        slot = nodes[0].slots.try_acquire(group)
        cluster.runners.set_state(group.address, runner_api.RunnerState.COLD)
        slot.release(data.Observation(reached=True, latency=0.1, cold=True))
        await asyncio.sleep(0.15)
        assert sum(node.slots.available(group) for node in nodes) <= COLD_LIMIT
        async with Traffic(cluster) as traffic:
            await asyncio.sleep(20)
        assert traffic.peak <= COLD_LIMIT


@pytest.mark.looptime(noop_cycles=2)
async def test_a_failure_domain_out_gets_nothing_new_while_its_controller_is_cut_off():
    async with make_cluster() as cluster:
        await cluster.until(cluster.ready(1))
        async with Traffic(cluster) as traffic:
            await asyncio.sleep(30)
            assert traffic.peak == WARM_LIMIT
            cut = cluster.holder()
            cluster.hub.cut |= {frozenset((cut, other)) for other in cluster.nodes_by_id}
            out = data.FailureDomain(name="fd-1", in_service=False)
            cluster.configure(failure_domains_by_name={"fd-1": out})
            before = traffic.started
            await asyncio.sleep(20)
            assert traffic.started == before
            assert cluster.runners.in_flight_by_address[one_group(cluster).address] == 0
            cluster.hub.cut.clear()
            await asyncio.sleep(5)
            traffic.peak = 0
            back = dataclasses.replace(out, in_service=True)
            cluster.configure(failure_domains_by_name={"fd-1": back})
            await asyncio.sleep(1.0)
            assert 0 < traffic.peak <= COLD_LIMIT + 4
            await asyncio.sleep(30)
            assert traffic.peak == WARM_LIMIT


NAMES = [f"n{index}" for index in range(30)]


@hypothesis.given(st.lists(st.sampled_from(NAMES), min_size=1, unique=True), st.integers(0, 40))
def test_static_shares_never_exceed_the_limit(nodes, limit):
    live = tuple(sorted(nodes))
    parts = [shares.static_share("g", node, live, limit) for node in live]
    assert sum(parts) == shares.base_total(len(live), limit) <= limit


@hypothesis.given(
    st.dictionaries(st.sampled_from(NAMES), st.integers(1, 20), min_size=1),
    st.integers(0, 40),
    st.integers(0, 100),
)
def test_fair_shares_use_the_limit_and_never_exceed_it(wanted_by_node, limit, epoch):
    parts = [shares.fair_share("g", node, wanted_by_node, limit, epoch) for node in wanted_by_node]
    assert sum(parts) == min(limit, sum(wanted_by_node.values()))
