"""Tests of the ledger, with a store and peers in memory."""

import asyncio
import dataclasses
import random

import pytest

from basilpost.core import clock, codec, failure, kernel, names
from basilpost.members import fakes
from basilpost.runs import buckets, held_claims, ledger, lookup, store_ledger
from basilpost.settings import schema
from basilpost.store import memory, objects

ANSWER = ledger.Answer(status=201, headers=(("Content-Type", "text/plain"),), body=b"receipt")
CALL = ledger.Call(workspace="w", service="filings", key="k", digest="d", request_id="r")


class Nodes:
    """The ledgers of several nodes that share a store and a peer hub."""

    def __init__(self):
        self.store = memory.MemoryStore()
        self.hub = fakes.PeerHub()
        self.ledgers = []

    async def add(self, node_id, **options):
        node_kernel = kernel.Kernel(node_id=node_id)
        platform = schema.Platform(object_api="", vm_list="")
        settings = schema.NodeSettings(node_id=node_id, failure_domain="f", platform=platform)
        node_kernel.register(names.SETTINGS, settings)
        node_kernel.register(names.OBJECTS, self.store)
        node_kernel.register(names.PEERS, fakes.FakePeers(node_id=node_id, hub=self.hub))
        node = store_ledger.StoreLedger(
            kernel=node_kernel, random_source=random.Random(1), **options
        )
        await node.start()
        self.ledgers.append(node)
        return node

    def kill(self, node):
        del self.hub.peers_by_id[node.node_id]

    def record(self, call=CALL):
        run_id = buckets.run_id(call.workspace, call.service, call.key)
        stored = self.store._stored_by_key.get(buckets.bucket_key(run_id))
        return buckets.decode(stored.value).get(run_id) if stored else None


@pytest.fixture
async def nodes():
    nodes = Nodes()
    yield nodes
    nodes.store.faults = memory.Faults()
    for node in nodes.ledgers:
        await node.stop()


pytestmark = pytest.mark.looptime


async def test_a_finished_request_is_replayed_on_every_node(nodes):
    a, b = await nodes.add("a"), await nodes.add("b")
    claim = await a.claim(CALL, timeout=5)
    assert await a.may_dispatch(claim)
    await a.finish(claim, ANSWER)
    assert await a.claim(CALL, timeout=5) == ledger.Replayed(answer=ANSWER)
    assert await b.claim(CALL, timeout=5) == ledger.Replayed(answer=ANSWER)
    await asyncio.sleep(1)
    assert a.held_claims.count() == 0
    assert await b.claim(CALL, timeout=5) == ledger.Replayed(answer=ANSWER)


async def test_a_repeat_waits_for_the_running_answer_at_another_node(nodes):
    a, b = await nodes.add("a"), await nodes.add("b")
    claim = await a.claim(CALL, timeout=5)
    repeat = asyncio.create_task(b.claim(CALL, timeout=60))
    await asyncio.sleep(30)
    assert not repeat.done()
    await a.finish(claim, ANSWER)
    assert await repeat == ledger.Replayed(answer=ANSWER)


async def test_a_repeat_of_a_long_run_is_refused_as_still_running(nodes):
    a, b = await nodes.add("a"), await nodes.add("b")
    await a.claim(CALL, timeout=5)
    for node in (a, b):
        refusal = await node.claim(CALL, timeout=7)
        assert (refusal.code, refusal.outcome) == ("still_running", failure.Outcome.UNKNOWN)


async def test_another_body_under_the_same_key_is_refused(nodes):
    a, b = await nodes.add("a"), await nodes.add("b")
    claim = await a.claim(CALL, timeout=5)
    other = dataclasses.replace(CALL, digest="other")
    assert (await a.claim(other, timeout=5)).status == 422
    assert (await b.claim(other, timeout=5)).status == 422
    await a.finish(claim, ANSWER)
    await asyncio.sleep(1)
    assert (await b.claim(other, timeout=5)).code == "idempotency_key_reused"


async def test_a_key_counts_per_workspace_and_service(nodes):
    a = await nodes.add("a")
    calls = [CALL, dataclasses.replace(CALL, workspace="v"), dataclasses.replace(CALL, service="s")]
    claims = [await a.claim(call, timeout=5) for call in calls]
    assert all(isinstance(claim, ledger.Claim) for claim in claims)


async def test_a_withdrawn_claim_may_be_claimed_at_once_by_any_node(nodes):
    a, b = await nodes.add("a"), await nodes.add("b")
    claim = await a.claim(CALL, timeout=5)
    repeat = asyncio.create_task(b.claim(CALL, timeout=5))
    await asyncio.sleep(1)
    await a.withdraw(claim)
    assert not await a.may_dispatch(claim)
    again = await repeat
    assert isinstance(again, ledger.Claim)
    await asyncio.sleep(1)
    assert nodes.record().attempt_id == again.attempt_id
    assert a.held_claims.count() == 0


async def test_a_lost_outcome_is_unknown_and_never_claimed_again(nodes):
    a, b = await nodes.add("a"), await nodes.add("b")
    claim = await a.claim(CALL, timeout=5)
    await a.mark_unknown(claim, "the connection broke")
    for node in (a, b):
        refusal = await node.claim(CALL, timeout=5)
        assert (refusal.code, refusal.outcome) == ("outcome_unknown", failure.Outcome.UNKNOWN)
    await asyncio.sleep(100_000)
    assert (await b.claim(CALL, timeout=5)).code == "outcome_unknown"


async def test_a_claim_of_a_dead_node_is_unknown(nodes):
    a, b = await nodes.add("a"), await nodes.add("b")
    await a.claim(CALL, timeout=5)
    nodes.kill(a)
    await asyncio.sleep(100_000)
    assert (await b.claim(CALL, timeout=5)).code == "outcome_unknown"


async def test_a_claim_of_a_restarted_node_is_unknown(nodes):
    a = await nodes.add("a")
    await a.claim(CALL, timeout=5)
    nodes.kill(a)
    again = await nodes.add("a")
    assert (await again.claim(CALL, timeout=5)).code == "outcome_unknown"


async def test_a_look_up_at_the_service_finds_that_a_lost_request_ran(nodes):
    class RanLookup(lookup.OutcomeLookup):
        async def look_up(self, record, *, timeout):
            return lookup.Ran(answer=ANSWER)

    a, b = await nodes.add("a"), await nodes.add("b", outcome_lookup=RanLookup())
    await a.claim(CALL, timeout=5)
    nodes.kill(a)
    assert await b.claim(CALL, timeout=5) == ledger.Replayed(answer=ANSWER)
    assert nodes.record().state is buckets.RunState.RAN


@pytest.mark.parametrize("lost", [1, 2, 3])
async def test_lost_answers_of_the_store_are_recognised(nodes, lost):
    a, b = await nodes.add("a"), await nodes.add("b")
    nodes.store.faults.lose_answers = lost
    claim = await a.claim(CALL, timeout=5)
    assert isinstance(claim, ledger.Claim)
    await a.finish(claim, ANSWER)
    await asyncio.sleep(1)
    assert await b.claim(CALL, timeout=5) == ledger.Replayed(answer=ANSWER)


async def test_without_the_store_claims_are_refused_at_once_until_it_is_back(nodes):
    a = await nodes.add("a")
    nodes.store.faults.down = True
    first = await a.claim(CALL, timeout=30)
    assert (first.code, first.outcome) == ("ledger_unavailable", failure.Outcome.NOT_RUN)
    started_at = clock.monotonic()
    for _ in range(100):
        assert (await a.claim(CALL, timeout=30)).retry_after == 1.0
    assert clock.monotonic() == started_at
    nodes.store.faults.down = False
    await asyncio.sleep(2)
    assert isinstance(await a.claim(CALL, timeout=5), ledger.Claim)


async def test_a_slow_store_does_not_hold_new_claims(nodes):
    a = await nodes.add("a")
    nodes.store.faults.delay = 20.0
    waiting = asyncio.create_task(a.claim(CALL, timeout=30))
    await asyncio.sleep(0.6)
    started_at = clock.monotonic()
    other = dataclasses.replace(CALL, key="other")
    assert (await a.claim(other, timeout=30)).code == "ledger_unavailable"
    assert clock.monotonic() == started_at
    assert (await waiting).code == "ledger_unavailable"


async def test_an_answer_is_kept_while_the_store_is_down(nodes):
    a, b = await nodes.add("a"), await nodes.add("b")
    claim = await a.claim(CALL, timeout=5)
    waiting = asyncio.create_task(b.claim(CALL, timeout=60))
    await asyncio.sleep(1)
    nodes.store.faults.down = True
    await a.finish(claim, ANSWER)
    assert await waiting == ledger.Replayed(answer=ANSWER)
    assert await a.claim(CALL, timeout=5) == ledger.Replayed(answer=ANSWER)
    await asyncio.sleep(600)
    nodes.store.faults.down = False
    await asyncio.sleep(5)
    assert nodes.record().answer.answer() == ANSWER
    assert a.held_claims.count() == 0


async def test_a_claim_whose_write_was_lost_is_withdrawn_when_refused(nodes):
    a, b = await nodes.add("a"), await nodes.add("b")
    nodes.store.faults.lose_answers = 1
    nodes.store.faults.delay = 0.3
    waiting = asyncio.create_task(a.claim(CALL, timeout=30))
    await asyncio.sleep(0.7)
    nodes.store.faults.down = True
    assert (await waiting).outcome is failure.Outcome.NOT_RUN
    assert nodes.record().attempt_id
    nodes.store.faults.down = False
    nodes.store.faults.delay = 0.0
    assert isinstance(await b.claim(CALL, timeout=10), ledger.Claim)


async def test_a_cancelled_caller_leaves_no_claim_behind(nodes):
    a = await nodes.add("a")
    nodes.store.faults.delay = 0.1
    waiting = asyncio.create_task(a.claim(CALL, timeout=30))
    await asyncio.sleep(0.15)
    waiting.cancel()
    await asyncio.sleep(2)
    assert nodes.record() is None
    assert a.held_claims.count() == 0


async def test_a_stop_leaves_no_claim_of_a_caller_that_has_just_left(nodes):
    a = await nodes.add("a")
    nodes.store.faults.delay = 0.1
    waiting = asyncio.create_task(a.claim(CALL, timeout=30))
    await asyncio.sleep(0.15)
    waiting.cancel()
    await asyncio.sleep(0)
    await a.stop()
    assert nodes.record() is None
    assert a.held_claims.count() == 0


async def test_an_old_claim_is_confirmed_by_a_write_before_dispatch(nodes):
    a = await nodes.add("a")
    claim = await a.claim(CALL, timeout=5)
    await asyncio.sleep(3.5)
    assert await a.may_dispatch(claim)
    assert nodes.record().confirmations == 1


async def test_an_old_claim_is_not_dispatched_without_the_store(nodes):
    a = await nodes.add("a")
    claim = await a.claim(CALL, timeout=5)
    await asyncio.sleep(3.5)
    nodes.store.faults.down = True
    assert not await a.may_dispatch(claim)


async def test_one_of_many_callers_on_all_nodes_claims(nodes):
    members = [await nodes.add(f"n{number}") for number in range(9)]
    nodes.store.faults.delay = 0.005
    asked = [
        asyncio.create_task(node.claim(CALL, timeout=60)) for node in members for _ in range(5)
    ]
    await asyncio.sleep(5)
    done = [task.result() for task in asked if task.done()]
    assert [type(result) for result in done] == [ledger.Claim]
    holder = next(node for node in members if node.node_id == done[0].node_id)
    await holder.finish(done[0], ANSWER)
    answers = await asyncio.gather(*asked)
    assert sum(isinstance(answer, ledger.Claim) for answer in answers) == 1
    assert answers.count(ledger.Replayed(answer=ANSWER)) == 44


async def test_claims_of_one_bucket_share_writes(nodes):
    a = await nodes.add("a", bucket_count=1)
    nodes.store.faults.delay = 0.005
    calls = [dataclasses.replace(CALL, key=f"k{number}") for number in range(100)]
    claims = await asyncio.gather(*(a.claim(call, timeout=5) for call in calls))
    assert all(isinstance(claim, ledger.Claim) for claim in claims)
    writes = nodes.store.calls_by_kind["create"] + nodes.store.calls_by_kind["update"]
    assert writes <= 3


async def test_an_answer_that_is_too_large_is_not_kept(nodes):
    a, b = await nodes.add("a"), await nodes.add("b")
    claim = await a.claim(CALL, timeout=5)
    await a.finish(claim, dataclasses.replace(ANSWER, body=bytes(100_000)))
    await asyncio.sleep(1)
    refusal = await b.claim(CALL, timeout=5)
    assert (refusal.code, refusal.outcome) == ("answer_not_kept", failure.Outcome.RAN)


class LateStore(memory.MemoryStore):
    """A store in which the first write times out and takes effect later."""

    def __init__(self):
        super().__init__()
        self.late = []

    async def create(self, key, value, *, timeout=2.0, urgency=0):
        if self.late:
            return await super().create(key, value, timeout=timeout, urgency=urgency)
        self.late.append(asyncio.create_task(self._arrive(key, value)))
        await asyncio.sleep(timeout)
        return objects.Unknown(reason="no answer in time")

    async def _arrive(self, key, value):
        await asyncio.sleep(4.0)
        return await super().create(key, value)


async def test_a_claim_that_arrives_after_its_refusal_has_no_effect(nodes):
    nodes.store = LateStore()
    a, b = await nodes.add("a"), await nodes.add("b")
    refusal = await a.claim(CALL, timeout=1.0)
    assert refusal.outcome is failure.Outcome.NOT_RUN
    await asyncio.sleep(10)
    assert isinstance(nodes.store.late[0].result(), objects.Conflict)
    assert isinstance(await b.claim(CALL, timeout=5), ledger.Claim)


async def test_a_request_that_the_service_ran_is_not_replayed_without_its_answer(nodes):
    class RanLookup(lookup.OutcomeLookup):
        async def look_up(self, record, *, timeout):
            return lookup.Ran()

    a, b = await nodes.add("a"), await nodes.add("b", outcome_lookup=RanLookup())
    await a.claim(CALL, timeout=5)
    nodes.kill(a)
    for _ in range(2):
        assert (await b.claim(CALL, timeout=5)).code == "answer_not_kept"


async def test_decoded_buckets_are_cached_within_a_number_of_bytes(nodes):
    a = await nodes.add("a")
    large = dataclasses.replace(ANSWER, body=bytes(40_000))
    for number in range(200):
        claim = await a.claim(dataclasses.replace(CALL, key=f"k{number}"), timeout=5)
        await a.finish(claim, large)
    await asyncio.sleep(5)
    kept = a._writers._cache.values()
    assert 0 < sum(snapshot.size for snapshot in kept) <= 4_000_000
    assert a._writers._cached_bytes == sum(snapshot.size for snapshot in kept)


async def test_an_answer_that_is_too_large_for_peers_is_not_sent_to_them(nodes):
    a, b = await nodes.add("a"), await nodes.add("b")
    claim = await a.claim(CALL, timeout=5)
    waiting = asyncio.create_task(b.claim(CALL, timeout=60))
    await asyncio.sleep(1)
    await a.finish(claim, dataclasses.replace(ANSWER, body=bytes(8_000_000)))
    assert (await waiting).code == "answer_not_kept"


@pytest.mark.parametrize("answer", [ANSWER, None])
async def test_messages_are_unchanged_after_encoding_and_decoding(answer):
    for message in (
        held_claims.OutcomeQuery(attempt_id="a", wait_seconds=1.5),
        held_claims.OutcomeReport(phase=held_claims.Phase.FINISHED, answer=answer, reason="r"),
    ):
        assert codec.from_msgpack(codec.to_msgpack(message), type(message)) == message


async def test_a_claim_that_arrives_after_its_caller_was_cancelled_has_no_effect(nodes):
    nodes.store = LateStore()
    a, b = await nodes.add("a"), await nodes.add("b")
    waiting = asyncio.create_task(a.claim(CALL, timeout=1.0))
    await asyncio.sleep(0.5)
    waiting.cancel()
    await asyncio.sleep(10)
    assert a.held_claims.count() == 0
    assert isinstance(await b.claim(CALL, timeout=5), ledger.Claim)


async def test_a_repeat_cancelled_while_the_first_claim_is_withdrawn_leaves_no_claim(nodes):
    a = await nodes.add("a")
    claim = await a.claim(CALL, timeout=5)
    repeat = asyncio.create_task(a.claim(CALL, timeout=60))
    await asyncio.sleep(1)
    await a.withdraw(claim)
    await asyncio.sleep(0)
    repeat.cancel()
    await asyncio.sleep(5)
    assert repeat.cancelled()
    assert nodes.record() is None
