"""Tests of settling open outcomes."""

import asyncio

import pytest

from basilpost.core import failure, kernel, names
from basilpost.members import fakes
from basilpost.runs import buckets, install, leases, ledger, lookup, store_ledger_test
from basilpost.settings import schema
from basilpost.store import memory, objects

pytestmark = pytest.mark.looptime

CALL, ANSWER = store_ledger_test.CALL, store_ledger_test.ANSWER
nodes = store_ledger_test.nodes


class Leases(leases.NodeLeases):
    """Says what the test has set."""

    def __init__(self):
        self.lapsed = set()

    def has_ended(self, node_id):
        return node_id in self.lapsed


async def _settle(found, outcome):
    return await found.settler.settle(
        workspace=CALL.workspace,
        service=CALL.service,
        key=CALL.key,
        outcome=outcome,
        actor="ana",
        reason="looked it up",
    )


async def _show(found):
    return await found.settler.show(workspace=CALL.workspace, service=CALL.service, key=CALL.key)


async def test_a_lost_request_settled_as_not_run_runs_again_with_the_same_body(nodes):
    a, b = await nodes.add("a"), await nodes.add("b")
    await a.mark_unknown(await a.claim(CALL, timeout=5), "the connection broke")
    await asyncio.sleep(1)
    settled = await _settle(b, failure.Outcome.NOT_RUN)
    assert settled.audit[0].actor == "ana"
    assert (settled.audit[0].before, settled.audit[0].after) == ("unknown", "not-run")
    claim = await b.claim(CALL, timeout=5)
    assert isinstance(claim, ledger.Claim)
    assert (await _show(b)).audit == settled.audit


async def test_a_request_settled_as_run_is_never_claimed_again(nodes):
    a = await nodes.add("a")
    await a.mark_unknown(await a.claim(CALL, timeout=5), "the connection broke")
    await asyncio.sleep(1)
    assert (await _settle(a, failure.Outcome.RAN)).state is buckets.RunState.RAN
    refusal = await a.claim(CALL, timeout=5)
    assert (refusal.code, refusal.outcome) == ("answer_not_kept", failure.Outcome.RAN)
    assert (await _settle(a, failure.Outcome.NOT_RUN)).code == "already_settled"


async def test_a_claim_of_a_live_node_is_not_settled(nodes):
    a, b = await nodes.add("a"), await nodes.add("b")
    await a.claim(CALL, timeout=5)
    for outcome in (failure.Outcome.RAN, failure.Outcome.NOT_RUN):
        assert (await _settle(b, outcome)).code == "still_held"


async def test_a_claim_of_a_silent_node_is_settled_only_once_its_lease_is_gone(nodes):
    found = Leases()
    a, b = await nodes.add("a"), await nodes.add("b", node_leases=found)
    await a.claim(CALL, timeout=5)
    nodes.kill(a)
    assert (await _settle(b, failure.Outcome.NOT_RUN)).code == "still_held"
    found.lapsed.add("a")
    assert (await _settle(b, failure.Outcome.NOT_RUN)).state is buckets.RunState.NOT_RUN


async def test_a_frozen_node_that_wakes_does_not_run_what_was_settled(nodes):
    found = Leases()
    a, b = await nodes.add("a"), await nodes.add("b", node_leases=found)
    claim = await a.claim(CALL, timeout=5)
    nodes.hub.cut.add(frozenset("ab"))
    found.lapsed.add("a")
    await asyncio.sleep(20)
    assert (await _settle(b, failure.Outcome.NOT_RUN)).state is buckets.RunState.NOT_RUN
    assert not await a.may_dispatch(claim)


async def test_a_node_that_wakes_while_its_claim_is_settled_goes_first(nodes):
    found = Leases()
    a, b = await nodes.add("a"), await nodes.add("b", node_leases=found)
    claim = await a.claim(CALL, timeout=5)
    nodes.hub.cut.add(frozenset("ab"))
    found.lapsed.add("a")
    await asyncio.sleep(20)
    settling = asyncio.create_task(_settle(b, failure.Outcome.NOT_RUN))
    await asyncio.sleep(4)
    assert await a.may_dispatch(claim)
    assert (await settling).code == "run_changed"


async def test_an_answer_after_a_wrong_settling_is_kept_and_marked(nodes):
    found = Leases()
    a, b = await nodes.add("a"), await nodes.add("b", node_leases=found)
    claim = await a.claim(CALL, timeout=5)
    assert await a.may_dispatch(claim)
    nodes.hub.cut.add(frozenset("ab"))
    found.lapsed.add("a")
    await _settle(b, failure.Outcome.NOT_RUN)
    await a.finish(claim, ANSWER)
    await asyncio.sleep(1)
    assert await b.claim(CALL, timeout=5) == ledger.Replayed(answer=ANSWER)
    assert (await _show(b)).reason


async def test_two_operators_settle_once(nodes):
    a, b = await nodes.add("a"), await nodes.add("b")
    await a.mark_unknown(await a.claim(CALL, timeout=5), "the connection broke")
    await asyncio.sleep(1)
    nodes.store.faults.delay = 0.01
    results = await asyncio.gather(
        *(_settle(one, failure.Outcome.RAN) for one in (a, b)), return_exceptions=True
    )
    assert sorted(isinstance(one, buckets.Record) for one in results) == [False, True]
    assert len(nodes.record().audit) == 1


async def test_a_lost_answer_to_settling_is_recognised(nodes):
    a = await nodes.add("a")
    await a.mark_unknown(await a.claim(CALL, timeout=5), "the connection broke")
    await asyncio.sleep(1)
    nodes.store.faults.lose_answers = 1
    assert (await _settle(a, failure.Outcome.RAN)).state is buckets.RunState.RAN
    assert len(nodes.record().audit) == 1


async def test_a_service_that_never_saw_the_key_settles_it_after_a_while(nodes):
    class Never(lookup.OutcomeLookup):
        async def look_up(self, record, *, timeout):
            return lookup.NeverRan()

    a, b = await nodes.add("a"), await nodes.add("b")
    b.use_lookup(Never())
    await a.mark_unknown(await a.claim(CALL, timeout=5), "the connection broke")
    await asyncio.sleep(1)
    assert (await b.claim(CALL, timeout=5)).code == "outcome_unknown"
    await asyncio.sleep(10)
    assert (await b.claim(CALL, timeout=5)).code == "outcome_unknown"
    await asyncio.sleep(10)
    assert isinstance(await b.claim(CALL, timeout=5), ledger.Claim)


async def test_open_outcomes_are_listed(nodes):
    a = await nodes.add("a")
    calls = [
        ledger.Call(workspace="w", service="s", key=f"k{one}", digest="d", request_id="r")
        for one in range(20)
    ]
    claims = [await a.claim(call, timeout=5) for call in calls]
    for claim in claims[:5]:
        await a.mark_unknown(claim, "the connection broke")
    for claim in claims[5:]:
        await a.finish(claim, ANSWER)
    await asyncio.sleep(1)
    assert {one.key for one in await a.settler.list_unsettled()} == {f"k{one}" for one in range(5)}


@pytest.fixture
def installed():
    one = kernel.Kernel(node_id="b")
    platform = schema.Platform(object_api="", vm_list="")
    settings = schema.NodeSettings(node_id="b", failure_domain="f", platform=platform)
    one.register(names.SETTINGS, settings)
    one.register(names.OBJECTS, memory.MemoryStore())
    one.register(names.PEERS, fakes.FakePeers(node_id="b", hub=fakes.PeerHub()))
    one.register(names.REPLICA, fakes.FakeReplica())
    install.install(one)
    return one


async def test_a_lease_is_gone_once_it_is_not_renewed_for_longer_than_it_lasts(installed):
    replica = installed.find(names.REPLICA, fakes.FakeReplica)
    found = leases.ReplicaLeases(
        replica=replica,
        peers=installed.find(names.PEERS, fakes.FakePeers),
        timing=schema.Timing(),
    )

    def renew(version, value=b"{}"):
        stored = objects.Stored(key="nodes/a", value=value, version=version) if value else None
        replica.offer(objects.Change(key="nodes/a", version=version, stored=stored))

    renew(1)
    await asyncio.sleep(15)
    assert not found.has_ended("a")
    renew(2)
    await asyncio.sleep(15)
    assert not found.has_ended("a")
    await asyncio.sleep(2)
    assert found.has_ended("a")
    replica.contact_age = 60.0
    assert not found.has_ended("a")
    replica.contact_age = 0.0
    renew(3, value=None)
    assert found.has_ended("a")


async def test_a_decision_that_the_store_does_not_confirm_is_told_as_such(nodes):
    a = await nodes.add("a")
    await a.mark_unknown(await a.claim(CALL, timeout=5), "the connection broke")
    await asyncio.sleep(1)
    nodes.store.faults.delay = 0.3
    nodes.store.faults.lose_answers = 1
    settling = asyncio.create_task(_settle(a, failure.Outcome.RAN))
    await asyncio.sleep(0.7)
    nodes.store.faults.down = True
    refusal = await settling
    assert (refusal.code, refusal.outcome) == ("settling_unconfirmed", failure.Outcome.UNKNOWN)
    assert nodes.record().state is buckets.RunState.RAN


async def test_a_look_from_before_a_new_claim_settles_nothing(nodes):
    found = Leases()
    a, b = await nodes.add("a"), await nodes.add("b", node_leases=found)
    await a.mark_unknown(await a.claim(CALL, timeout=5), "the connection broke")
    await asyncio.sleep(1)
    seen = await _show(b)
    await _settle(b, failure.Outcome.NOT_RUN)
    claim = await a.claim(CALL, timeout=5)
    assert await a.may_dispatch(claim)
    nodes.kill(a)
    found.lapsed.add("a")
    settled = await b.settler.settle(
        workspace=CALL.workspace,
        service=CALL.service,
        key=CALL.key,
        outcome=failure.Outcome.NOT_RUN,
        actor="ana",
        reason="an old look",
        seen=seen,
    )
    assert settled.code == "run_changed"
