"""Tests of admission, fair queueing and selection on one node."""

import asyncio
import collections
import random

import pytest

from basilpost.core import clock, data, failure
from basilpost.members import standing
from basilpost.routing import interfaces

pytestmark = pytest.mark.looptime


async def _serve(node, hold, workspace="w", **fields):
    """Runs one request of some seconds; returns its latency or its refusal."""
    started_at = clock.monotonic()
    choice = await node.choose(workspace, **fields)
    if isinstance(choice, failure.Refusal):
        return choice
    await asyncio.sleep(hold)
    choice.slot.release(data.Observation(reached=True, latency=hold))
    return clock.monotonic() - started_at


async def test_a_released_slot_wakes_the_next_request_at_once(bench):
    bench.slots.limit = 1
    node = bench.node()
    held = [await node.choose() for _ in range(3)]
    waiting = asyncio.create_task(node.choose())
    await asyncio.sleep(1.0)
    assert not waiting.done()
    held[1].slot.release(bench.ok)
    await asyncio.sleep(0)
    assert (await waiting).group == held[1].group


async def test_slots_that_become_free_by_credits_are_noticed(bench):
    bench.slots.limit = 1
    node = bench.node()
    bench.slots.in_use_by_id = {f"chat-{number}": 1 for number in range(3)}
    waiting = asyncio.create_task(node.choose())
    await asyncio.sleep(1.0)
    bench.slots.in_use_by_id.clear()
    await asyncio.sleep(0.1)
    assert isinstance(waiting.result(), interfaces.Choice)


async def test_rate_and_concurrency_are_limited_by_workspace(bench):
    limited = data.Workspace(name="w", max_concurrency=2, rate=10, burst=5)
    bench.directory.set(config=bench.config(limited, data.Workspace(name="v")))
    node = bench.node()
    tickets = [node.admission.admit(node.request()) for _ in range(2)]
    assert node.admission.admit(node.request()).code == "concurrency_limited"
    for ticket in tickets * 2:
        ticket.close()
    for _ in range(3):
        node.admission.admit(node.request()).close()
    refusal = node.admission.admit(node.request())
    assert (refusal.code, refusal.status) == ("rate_limited", 429)
    assert isinstance(node.admission.admit(node.request("v")), interfaces.Ticket)
    await asyncio.sleep(refusal.retry_after)
    assert isinstance(node.admission.admit(node.request()), interfaces.Ticket)


async def test_bodies_are_held_within_a_memory_budget(bench):
    node = bench.node(max_buffered_bytes=1000)
    ticket = node.admission.admit(node.request(size=900))
    assert node.admission.admit(node.request(size=200)).code == "memory_full"
    ticket.close()
    assert isinstance(node.admission.admit(node.request(size=200)), interfaces.Ticket)


async def test_a_failure_domain_taken_out_gets_nothing_new_at_once(bench):
    groups = (bench.group(1, failure_domain="f1"), bench.group(2, failure_domain="f2"))
    bench.directory.set(groups=groups)
    node = bench.node()
    first = await node.choose()
    assert first.group.failure_domain == "f1"
    first.slot.release(bench.ok)
    workspace = data.Workspace(name="w")
    out = data.FailureDomain(name="f1", in_service=False)
    bench.directory.set(config=bench.config(workspace, failure_domains=(out,)))
    chosen = [await node.choose() for _ in range(2)]
    assert {one.group.failure_domain for one in chosen} == {"f2"}
    waiting = asyncio.create_task(node.choose())
    await asyncio.sleep(1)
    assert not waiting.done()
    bench.directory.set(config=bench.config(workspace))
    assert (await waiting).group.failure_domain == "f1"


async def test_partial_and_draining_groups_are_never_chosen(bench):
    states = [one for one in data.GroupState if one not in data.SERVING_STATES]
    groups = [bench.group(number, state=state) for number, state in enumerate(states)]
    bench.directory.set(groups=tuple(groups))
    node = bench.node()
    refusal = await node.choose()
    assert (refusal.code, refusal.outcome) == ("no_healthy_group", failure.Outcome.NOT_RUN)


async def test_a_group_that_becomes_healthy_soon_is_waited_for(bench):
    bench.health.unhealthy = {f"chat-{number}" for number in range(3)}
    node = bench.node()
    waiting = asyncio.create_task(node.choose())
    await asyncio.sleep(0.5)
    bench.health.unhealthy = set()
    assert isinstance(await waiting, interfaces.Choice)


async def test_a_request_that_failed_everywhere_is_refused_at_once(bench):
    node = bench.node()
    exclude = frozenset(f"chat-{number}" for number in range(3))
    started_at = clock.monotonic()
    assert (await node.choose(exclude=exclude)).code == "no_healthy_group"
    assert clock.monotonic() == started_at


async def test_a_node_without_standing_gives_no_slot_also_to_those_that_wait(bench):
    bench.slots.limit = 1
    node = bench.node()
    held = [await node.choose() for _ in range(3)]
    waiting = asyncio.create_task(node.choose())
    await asyncio.sleep(0.5)
    node.standing.verdict = standing.NotServing(reason="isolated", retry_after=3.0)
    held[0].slot.release(bench.ok)
    assert (await waiting).code == "not_serving"
    assert (await node.choose()).retry_after == 3.0


async def test_what_cannot_make_its_deadline_is_refused_at_once(bench):
    bench.slots.limit = 1
    node = bench.node()
    await asyncio.gather(*(_serve(node, 1.0) for _ in range(12)))
    running = [asyncio.create_task(_serve(node, 1.0)) for _ in range(9)]
    await asyncio.sleep(0.1)
    started_at = clock.monotonic()
    refusal = await node.choose(seconds=2.0)
    assert (refusal.code, refusal.outcome) == ("deadline_unreachable", failure.Outcome.NOT_RUN)
    assert refusal.retry_after >= 0.5
    assert clock.monotonic() == started_at
    assert all(isinstance(one, float) for one in await asyncio.gather(*running))


async def test_a_cancelled_request_leaves_no_slot_taken(bench):
    bench.slots.limit = 1
    node = bench.node()
    held = [await node.choose() for _ in range(3)]
    waiting = asyncio.create_task(node.choose())
    await asyncio.sleep(0.5)
    held[0].slot.release(bench.ok)
    waiting.cancel()
    await asyncio.sleep(0.1)
    assert sum(bench.slots.in_use_by_id.values()) == 2
    assert node.admission.queued("chat") == 0


async def test_a_flooding_workspace_does_not_hold_up_the_others(bench):
    bench.slots.limit = 4
    node = bench.node(max_queued=50)
    await asyncio.gather(*(_serve(node, 0.5, "w") for _ in range(12)))
    flood = [asyncio.create_task(_serve(node, 0.5, "w", seconds=60)) for _ in range(500)]
    latencies = []
    for _ in range(20):
        await asyncio.sleep(0.05)
        latencies.append(await _serve(node, 0.5, "v", seconds=60))
    assert all(isinstance(one, float) and one < 1.2 for one in latencies)
    results = await asyncio.gather(*flood)
    assert {one.code for one in results if not isinstance(one, float)} == {"queue_full"}


async def test_weights_share_the_slots(bench):
    workspaces = (data.Workspace(name="w", weight=3.0), data.Workspace(name="v", weight=1.0))
    bench.directory.set(config=bench.config(*workspaces))
    bench.slots.limit = 1
    node = bench.node()
    served = collections.Counter()

    async def ask(workspace):
        latency = await _serve(node, 0.1, workspace, seconds=100)
        assert isinstance(latency, float)
        if clock.monotonic() <= until:
            served[workspace] += 1

    until = clock.monotonic() + 10
    await asyncio.gather(*(ask(one) for _ in range(400) for one in ("w", "v")))
    assert 2.7 < served["w"] / served["v"] < 3.3


async def test_priority_raises_the_share_without_starving(bench):
    workspaces = (data.Workspace(name="w", priority=0), data.Workspace(name="v", priority=2))
    bench.directory.set(config=bench.config(*workspaces))
    bench.slots.limit = 1
    node = bench.node()
    tasks = [asyncio.create_task(_serve(node, 0.1, one)) for _ in range(60) for one in ("w", "v")]
    await asyncio.sleep(2.0)
    done = [task.done() for task in tasks]
    assert sum(done[0::2]) > 8 * sum(done[1::2]) > 0
    for task in tasks:
        task.cancel()


async def test_a_prefix_stays_with_its_target_until_that_is_loaded(bench):
    bench.slots.limit = 8
    node = bench.node()
    chosen = [await node.choose(affinity="prefix") for _ in range(12)]
    counts = collections.Counter(one.group.group_id for one in chosen)
    assert counts.most_common()[0][1] >= 4
    assert max(counts.values()) <= 6
    for one in chosen:
        one.slot.release(bench.ok)
    again = await node.choose(affinity="prefix")
    assert again.group == chosen[0].group


async def test_a_target_that_fails_in_a_row_gets_one_trial_after_a_while(bench):
    bench.directory.set(groups=(bench.group(1),))
    node = bench.node()
    for _ in range(3):
        (await node.choose()).slot.release(bench.crash)
    assert (await node.choose(seconds=0.5)).code in ("no_healthy_group", "deadline_passed")
    await asyncio.sleep(1.0)
    trial = await node.choose()
    assert isinstance(trial, interfaces.Choice)
    assert isinstance(await node.choose(seconds=0.5), failure.Refusal)
    trial.slot.release(bench.ok)
    assert isinstance(await node.choose(), interfaces.Choice)


async def test_retries_stay_below_a_tenth_of_the_traffic_in_an_outage(bench):
    node = bench.node()
    allowed = 0
    for _ in range(2000):
        request = node.request()
        node.admission.admit(request).close()
        allowed += sum(node.admission.may_retry(request) for _ in range(5))
        await asyncio.sleep(0.01)
    assert allowed / 2000 < 0.1


@pytest.mark.parametrize("overload", [1, 2, 4])
async def test_goodput_holds_under_overload(bench, overload):
    bench.slots.limit = 8
    node = bench.node()
    capacity = 3 * 8 / 1.0
    source = random.Random(5)
    good = late = 0

    async def ask():
        nonlocal good, late
        latency = await _serve(node, source.uniform(0.5, 1.5), seconds=4.0)
        good += isinstance(latency, float) and latency <= 4.0
        late += isinstance(latency, float) and latency > 4.0

    tasks = []
    for _ in range(int(60 * capacity * overload)):
        tasks.append(asyncio.create_task(ask()))
        await asyncio.sleep(1 / (capacity * overload))
    await asyncio.gather(*tasks)
    assert good >= 0.95 * 60 * capacity
    assert late <= 0.01 * good
