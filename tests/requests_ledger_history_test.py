"""History checks of the ledger: nodes that share a store crash, freeze and get repeated requests.

Hypothesis chooses the interleavings, on the virtual time of the test's event loop. Each key must
run at most once, and each outcome that a caller gets must be true. Sequences that once broke this
are plain tests below.
"""

import asyncio
import dataclasses
import itertools
import random

import hypothesis
import looptime
import pytest
import structlog
from hypothesis import stateful
from hypothesis import strategies as st

from basilpost.core import clock, failure, kernel, names
from basilpost.members import fakes
from basilpost.runs import buckets, leases, ledger, store_ledger
from basilpost.settings import schema
from basilpost.store import memory, objects

LEASE_SECONDS = 10.0
NODE_IDS = ("a", "b", "c")


class NodeStore(objects.ObjectStore):
    """One node's access to the store: it stops with the node, and writes can arrive late."""

    def __init__(self, shared):
        self._shared = shared
        self._late_tasks = set()
        self.running = asyncio.Event()
        self.running.set()
        self.late_writes = 0

    async def _call(self, method, *args, **options):
        await self.running.wait()
        result = await getattr(self._shared, method)(*args, **options)
        await self.running.wait()
        return result

    async def _write(self, method, *args, **options):
        if self.late_writes:
            self.late_writes -= 1
            self._late_tasks.add(asyncio.ensure_future(self._write_late(method, *args, **options)))
            await asyncio.sleep(options["timeout"])
            await self.running.wait()
            return objects.Unknown(reason="no answer in time")
        return await self._call(method, *args, **options)

    async def _write_late(self, method, *args, **options):
        await asyncio.sleep(4.0)
        await getattr(self._shared, method)(*args, **options)

    async def get(self, *args, **options):
        return await self._call("get", *args, **options)

    async def list(self, *args, **options):
        return await self._call("list", *args, **options)

    async def watch(self, *args, **options):
        return await self._call("watch", *args, **options)

    async def create(self, *args, **options):
        return await self._write("create", *args, **options)

    async def update(self, *args, **options):
        return await self._write("update", *args, **options)

    async def delete(self, *args, **options):
        return await self._write("delete", *args, **options)


@dataclasses.dataclass
class Flow:
    """One request as a gateway handles it; a repeat of it is another flow."""

    call: ledger.Call
    node: "Node"
    result: object = None
    asking: bool = False
    dispatched: bool = False
    done: bool = False
    task: asyncio.Task | None = None


@dataclasses.dataclass
class Node:
    node_id: str
    store: NodeStore
    ledger: store_ledger.StoreLedger
    silent_since: float | None = None
    crashed: bool = False

    @property
    def active(self):
        return self.silent_since is None


class World(leases.NodeLeases):
    """Nodes, store, target and operators; `ran` lists the requests that really ran."""

    def __init__(self, *, bucket_count):
        self.shared = memory.MemoryStore()
        self.hub = fakes.PeerHub()
        self.bucket_count = bucket_count
        self.flows, self.ran = [], []
        self._ids = itertools.count()
        self.nodes_by_id = {}

    async def boot(self, node_id):
        node_kernel = kernel.Kernel(node_id=node_id)
        node_kernel.log = structlog.wrap_logger(None, processors=[_drop])
        store = NodeStore(self.shared)
        platform = schema.Platform(object_api="", vm_list="")
        settings = schema.NodeSettings(node_id=node_id, failure_domain="f", platform=platform)
        node_kernel.register(names.SETTINGS, settings)
        node_kernel.register(names.OBJECTS, store)
        node_kernel.register(names.PEERS, fakes.FakePeers(node_id=node_id, hub=self.hub))
        node_ledger = store_ledger.StoreLedger(
            kernel=node_kernel,
            random_source=random.Random(1),
            bucket_count=self.bucket_count,
            node_leases=self,
        )
        await node_ledger.start()
        self.nodes_by_id[node_id] = Node(node_id=node_id, store=store, ledger=node_ledger)

    def has_ended(self, node_id):
        since = self.nodes_by_id[node_id].silent_since
        return since is not None and clock.monotonic() - since > LEASE_SECONDS

    def silence(self, node, *, crash):
        node.silent_since = clock.monotonic()
        node.crashed = crash
        node.store.running.clear()
        self.hub.cut |= {frozenset((node.node_id, other)) for other in NODE_IDS}

    def join(self, node_id):
        silent = {node.node_id for node in self.nodes_by_id.values() if not node.active}
        for other in set(NODE_IDS) - silent:
            self.hub.cut.discard(frozenset((node_id, other)))

    def thaw(self, node):
        node.silent_since = None
        node.store.running.set()
        self.join(node.node_id)

    async def restart(self, node):
        await self.boot(node.node_id)
        self.join(node.node_id)

    def send(self, node, key, digest, timeout):
        request_id = f"r{next(self._ids)}"
        call = ledger.Call(
            workspace="w", service="s", key=key, digest=digest, request_id=request_id
        )
        flow = Flow(call=call, node=node)
        flow.task = asyncio.ensure_future(self._claim(flow, timeout))
        self.flows.append(flow)
        return flow

    async def _claim(self, flow, timeout):
        flow.result = await flow.node.ledger.claim(flow.call, timeout=timeout)
        if not isinstance(flow.result, ledger.Claim):
            flow.done = True
            self._check_result(flow)

    def _check_result(self, flow):
        ran = [run for run in self.ran if run.key == flow.call.key]
        if isinstance(flow.result, ledger.Replayed):
            assert [flow.result.answer.body.decode()] == [run.request_id for run in ran]
            assert ran[0].digest == flow.call.digest
        elif flow.result.outcome is failure.Outcome.RAN:
            assert [run.digest for run in ran] == [flow.call.digest]
        elif flow.result.outcome is failure.Outcome.NOT_RUN:
            assert flow.call not in ran

    async def dispatch(self, flow, *, arrives):
        flow.asking = True
        allowed = await flow.node.ledger.may_dispatch(flow.result)
        flow.asking = False
        if allowed:
            flow.dispatched = True
            if arrives:
                self.ran.append(flow.call)
                assert [run.key for run in self.ran].count(flow.call.key) == 1
        else:
            await flow.node.ledger.withdraw(flow.result)
            flow.done = True

    async def finish(self, flow):
        flow.done = True
        if flow.call in self.ran:
            body = flow.call.request_id.encode()
            await flow.node.ledger.finish(
                flow.result, ledger.Answer(status=201, headers=(), body=body)
            )
        else:
            await flow.node.ledger.mark_unknown(flow.result, "no answer")

    async def lose(self, flow):
        flow.done = True
        await flow.node.ledger.mark_unknown(flow.result, "the connection broke")

    async def abandon(self, flow):
        flow.done = True
        await flow.node.ledger.withdraw(flow.result)

    async def settle(self, node, key):
        """Reads the record first, then the service's log, as the operators' page says.

        Returns None, without a change, while the holder of the claim may still dispatch it.
        """
        seen = await node.ledger.settler.show(workspace="w", service="s", key=key)
        if isinstance(seen, failure.Refusal):
            return seen
        if seen.state is buckets.RunState.CLAIMED and self._may_dispatch(seen):
            return None
        ran = any(run.key == key for run in self.ran)
        outcome = failure.Outcome.RAN if ran else failure.Outcome.NOT_RUN
        return await node.ledger.settler.settle(
            workspace="w",
            service="s",
            key=key,
            outcome=outcome,
            actor="ana",
            reason="log",
            seen=seen,
        )

    def _may_dispatch(self, record):
        """Returns True while the process that made the claim holds it within its lease."""
        holder = self.nodes_by_id[record.node_id]
        held = holder.ledger.held_claims.find(record.attempt_id) is not None
        return held and not self.has_ended(record.node_id)

    def records(self):
        stored = self.shared._stored_by_key.values()
        return [record for bucket in stored for record in buckets.decode(bucket.value).values()]

    async def heal(self):
        """Ends all faults, finishes all flows and checks that the store's records are true."""
        self.shared.faults = memory.Faults()
        for node in list(self.nodes_by_id.values()):
            node.store.late_writes = 0
            if node.crashed:
                await self.restart(node)
            elif not node.active:
                self.thaw(node)
        for _ in range(60):
            for flow in self.flows:
                held = isinstance(flow.result, ledger.Claim) and not flow.done
                held = held and not flow.asking
                if held and not flow.node.crashed:
                    await (self.finish(flow) if flow.dispatched else self.abandon(flow))
            await asyncio.sleep(1)
        for flow in self.flows:
            assert flow.node.crashed or flow.task.done()
            if flow.task.done() and not flow.task.cancelled():
                flow.task.result()
        ran_by_key = {run.key: run for run in self.ran}
        for record in self.records():
            run = ran_by_key.get(record.key)
            if record.state is buckets.RunState.NOT_RUN:
                assert run is None
            if record.state is buckets.RunState.RAN:
                assert run is not None and run.digest == record.digest
        for node in self.nodes_by_id.values():
            assert node.ledger.held_claims.count() == 0
            for key, run in ran_by_key.items():
                call = dataclasses.replace(run, request_id="last")
                result = await node.ledger.claim(call, timeout=5)
                assert isinstance(result, ledger.Replayed) or result.outcome in (
                    failure.Outcome.RAN,
                    failure.Outcome.UNKNOWN,
                ), (key, result)


def _drop(*args):
    raise structlog.DropEvent


async def _ended(tasks):
    await asyncio.gather(*tasks, return_exceptions=True)


NODES = st.sampled_from(NODE_IDS)
KEYS = st.sampled_from(("k1", "k2"))


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Interleaves callers, operators and failures."""

    @stateful.initialize(bucket_count=st.sampled_from((1, buckets.BUCKET_COUNT)))
    def begin(self, bucket_count):
        self.loop = looptime.new_event_loop(_enabled=True)
        asyncio.set_event_loop(self.loop)
        self.settling = []
        self.world = World(bucket_count=bucket_count)
        for node_id in NODE_IDS:
            self._run(self.world.boot(node_id))

    def _run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def _node(self, node_id):
        return self.world.nodes_by_id[node_id]

    def _spawn(self, coroutine):
        self.settling.append(self.loop.create_task(coroutine))
        self._run(asyncio.sleep(0))

    def _held(self, *, dispatched):
        return [
            flow
            for flow in self.world.flows
            if isinstance(flow.result, ledger.Claim)
            and not flow.done
            and not flow.asking
            and flow.dispatched == dispatched
            and flow.node.active
        ]

    @stateful.rule(
        node_id=NODES,
        key=KEYS,
        digest=st.sampled_from(("d1", "d1", "d2")),
        timeout=st.sampled_from((1.0, 30.0)),
        wait=st.sampled_from((0.0, 0.2)),
    )
    def send(self, node_id, key, digest, timeout, wait):
        node = self._node(node_id)
        if node.active:

            async def start():
                self.world.send(node, key, digest, timeout)

            self._run(start())
            self._run(asyncio.sleep(wait))

    @stateful.rule(key=KEYS)
    def send_everywhere(self, key):
        async def start():
            for node in self.world.nodes_by_id.values():
                if node.active:
                    self.world.send(node, key, "d1", 30.0)

        self._run(start())
        self._run(asyncio.sleep(0.1))

    @stateful.rule(seconds=st.sampled_from((0.1, 1.0, 4.0, 12.0)))
    def wait(self, seconds):
        self._run(asyncio.sleep(seconds))

    @stateful.rule(arrives=st.booleans(), wait=st.sampled_from((0.0, 0.1)))
    def dispatch(self, arrives, wait):
        for flow in self._held(dispatched=False)[:1]:
            self._spawn(self.world.dispatch(flow, arrives=arrives))
            self._run(asyncio.sleep(wait))

    @stateful.rule()
    def finish(self):
        for flow in self._held(dispatched=True)[:1]:
            self._run(self.world.finish(flow))

    @stateful.rule()
    def lose(self):
        for flow in self._held(dispatched=True)[:1]:
            self._run(self.world.lose(flow))

    @stateful.rule()
    def cancel(self):
        waiting = [one for one in self.world.flows if not one.task.done() and one.node.active]
        for flow in waiting[:1]:
            flow.task.cancel()
            self._run(asyncio.sleep(0))

    @stateful.rule(node_id=NODES, crash=st.booleans())
    def silence(self, node_id, crash):
        node = self._node(node_id)
        others = [one for one in self.world.nodes_by_id.values() if one.active and one is not node]
        if node.active and others:
            self._run(self._silence(node, crash))

    async def _silence(self, node, crash):
        self.world.silence(node, crash=crash)

    @stateful.rule(node_id=NODES)
    def come_back(self, node_id):
        node = self._node(node_id)
        if node.crashed:
            self._run(self.world.restart(node))
        elif not node.active:
            self.world.thaw(node)
            self._run(asyncio.sleep(0))

    @stateful.rule(node_id=NODES, key=KEYS)
    def settle(self, node_id, key):
        node = self._node(node_id)
        if node.active:
            self._spawn(self.world.settle(node, key))

    @stateful.rule(lost=st.integers(1, 3))
    def lose_answers(self, lost):
        self.world.shared.faults.lose_answers = lost

    @stateful.rule(node_id=NODES, late=st.integers(1, 2))
    def delay_writes(self, node_id, late):
        self._node(node_id).store.late_writes = late

    @stateful.rule(down=st.booleans(), delay=st.sampled_from((0.0, 0.0, 0.05, 0.7, 3.0)))
    def store_faults(self, down, delay):
        self.world.shared.faults.down = down
        self.world.shared.faults.delay = delay

    def teardown(self):
        if not hasattr(self, "world"):
            return
        try:
            self._run(self.world.heal())
            for task in self.settling:
                if task.done():
                    task.result()
        finally:
            while left := asyncio.all_tasks(self.loop):
                for task in left:
                    task.cancel()
                self._run(_ended(left))
            self.loop.close()
            asyncio.set_event_loop(None)


LedgerMachine.TestCase.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestLedgerHistory = LedgerMachine.TestCase


@pytest.fixture
async def world():
    started = World(bucket_count=buckets.BUCKET_COUNT)
    for node_id in NODE_IDS:
        await started.boot(node_id)
    yield started
    for node in started.nodes_by_id.values():
        node.store.running.set()
        await node.ledger._tasks.close()


async def _advance(world, flow, stage):
    """Processes a request up to the stage at which its node is silenced."""
    await asyncio.wait([flow.task])
    if stage == "claimed":
        return
    await world.dispatch(flow, arrives=True)
    if stage == "answered":
        world.shared.faults.down = True
        await world.finish(flow)
        await asyncio.sleep(0.1)


@pytest.mark.looptime
@pytest.mark.parametrize("crash", [True, False])
@pytest.mark.parametrize("stage", ["claimed", "dispatched", "answered"])
async def test_a_node_that_falls_silent_never_lets_a_request_run_twice(world, stage, crash):
    a, b = world.nodes_by_id["a"], world.nodes_by_id["b"]
    first = world.send(a, "k", "d", 30.0)
    await _advance(world, first, stage)
    world.silence(a, crash=crash)
    world.shared.faults.down = False
    await asyncio.sleep(1)
    repeat = world.send(b, "k", "d", 30.0)
    await asyncio.wait([repeat.task])
    assert repeat.result.outcome is failure.Outcome.UNKNOWN
    assert await world.settle(b, "k") is None
    await asyncio.sleep(15)
    settled = await world.settle(b, "k")
    ran = stage != "claimed"
    assert settled.state is (buckets.RunState.RAN if ran else buckets.RunState.NOT_RUN)
    if not crash:
        world.thaw(a)
        await asyncio.sleep(1)
        if not ran:
            await world.dispatch(first, arrives=True)
            assert not first.dispatched
    again = world.send(b, "k", "d", 30.0)
    await asyncio.wait([again.task])
    if isinstance(again.result, ledger.Claim):
        await world.dispatch(again, arrives=True)
        await world.finish(again)
    assert len(world.ran) == 1
    await world.heal()


@pytest.mark.looptime
@pytest.mark.parametrize("down", [True, False])
async def test_one_key_sent_to_all_nodes_at_once_with_lost_answers_runs_once(world, down):
    world.shared.faults.delay = 0.01
    world.shared.faults.lose_answers = 3
    flows = [
        world.send(node, "k", "d", 60.0) for _ in range(20) for node in world.nodes_by_id.values()
    ]
    await asyncio.sleep(5)
    held = [flow for flow in flows if isinstance(flow.result, ledger.Claim)]
    assert len(held) == 1
    await world.dispatch(held[0], arrives=True)
    world.shared.faults.down = down
    await world.finish(held[0])
    await asyncio.sleep(10)
    assert sum(isinstance(flow.result, ledger.Replayed) for flow in flows) == 59
    await world.heal()
