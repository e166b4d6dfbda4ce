"""Tests of the budget of object API calls."""

import asyncio

import prometheus_client
import pytest

from basilpost.store import budget, memory, objects


@pytest.fixture
def registry():
    return prometheus_client.CollectorRegistry()


@pytest.fixture
def store(registry):
    return budget.BudgetedStore(
        inner=memory.MemoryStore(), calls_per_second=1, burst=2, registry=registry
    )


@pytest.mark.looptime
async def test_safety_calls_go_first(store):
    await store.get("a")
    await store.get("a")
    done = []

    async def call(name, urgency):
        await store.get("a", timeout=10, urgency=urgency)
        done.append(name)

    await asyncio.gather(
        call("audit", objects.Urgency.BACKGROUND),
        call("read", objects.Urgency.NORMAL),
        call("claim", objects.Urgency.SAFETY),
    )
    assert done == ["claim", "read", "audit"]


@pytest.mark.looptime
async def test_a_call_that_would_wait_past_its_timeout_is_refused_at_once(store, registry):
    loop = asyncio.get_running_loop()
    await store.get("a")
    await store.get("a")
    waiting = [asyncio.create_task(store.get("a", timeout=10)) for _ in range(3)]
    await asyncio.sleep(0)
    before = loop.time()
    assert isinstance(await store.create("a", b"x", timeout=2), objects.Unavailable)
    assert loop.time() == before
    await asyncio.gather(*waiting)
    refused = {"kind": "create", "urgency": "normal"}
    assert registry.get_sample_value("basilpost_store_calls_refused_total", refused) == 1


@pytest.mark.looptime
async def test_a_watch_counts_as_a_call_and_its_wait_includes_the_time_for_the_budget(
    store, registry
):
    loop = asyncio.get_running_loop()
    await store.get("a")
    await store.get("a")
    before = loop.time()
    changes = await store.watch("a", revision=0, wait=5)
    assert isinstance(changes, objects.Changes)
    assert loop.time() - before == pytest.approx(5, abs=0.01)
    assert registry.get_sample_value("basilpost_store_calls_total", {"kind": "watch"}) == 1


@pytest.mark.looptime
async def test_calls_beyond_the_burst_are_limited_to_the_rate(store):
    loop = asyncio.get_running_loop()
    before = loop.time()
    await asyncio.gather(*(store.get("a", timeout=100) for _ in range(12)))
    assert loop.time() - before == pytest.approx(10, abs=0.01)
