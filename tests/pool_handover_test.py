"""What a planned stop of a pool's node leaves behind in the store, and when another node takes over."""

import asyncio
import time

import pytest

from basilpost.emulator import pool_fleet
from basilpost.groups import pool_controller
from basilpost.members import node_registry
from basilpost.platform import store as platform_store
from basilpost.store import objects
from tests import pool_nodes

WAIT_SECONDS = 10.0
# Well below the 3 s after which a lease expires.
HANDOVER_SECONDS = 1.5


@pytest.fixture
def slow_answers(monkeypatch):
    """Delays answers to writes of new objects below a prefix; returns the event of the first one."""
    create = platform_store.PlatformStore.create

    def delay(prefix):
        written = asyncio.Event()

        async def slow_create(self, key, value, **options):
            result = await create(self, key, value, **options)
            if key.startswith(prefix):
                written.set()
                await asyncio.sleep(0.3)
            return result

        monkeypatch.setattr(platform_store.PlatformStore, "create", slow_create)
        return written

    return delay


async def test_control_stays_with_a_stopped_controller_until_its_lease_expires():
    async with pool_nodes.running(vms=0, nodes=2) as bench:
        await pool_fleet.until(lambda: any(one.is_holder for one in bench.controllers))
        # Lets the streams between the nodes open.
        await asyncio.sleep(1.5)
        holder, other = sorted(bench.controllers, key=lambda one: not one.is_holder)
        began_at = time.monotonic()
        await holder.stop()
        await pool_fleet.until(lambda: other.is_holder)
        assert time.monotonic() - began_at < HANDOVER_SECONDS


async def test_a_controller_that_stops_while_it_acquires_the_lease_leaves_it(slow_answers):
    async with pool_nodes.running(vms=0) as bench:
        first = bench.controllers[0]
        await pool_fleet.until(lambda: first.is_holder)
        await first.stop()
        found = await first._store.get(pool_controller.LEASE_KEY, timeout=1.0)
        if isinstance(found, objects.Stored):
            await first._store.delete(found.key, version=found.version, timeout=1.0)
        written = slow_answers(pool_controller.LEASE_KEY)
        await bench.add("node-late")
        await asyncio.wait_for(written.wait(), WAIT_SECONDS)
        await bench.controllers[1].stop()
        found = await first._store.get(pool_controller.LEASE_KEY, timeout=1.0)
        assert isinstance(found, objects.Missing)


async def test_a_node_that_stops_while_it_writes_its_record_leaves_it(slow_answers):
    async with pool_nodes.running(vms=0) as bench:
        written = slow_answers(node_registry.PREFIX)
        kernel = await bench.add("node-late")
        await asyncio.wait_for(written.wait(), WAIT_SECONDS)
        await kernel.stop()
        store = bench.controllers[0]._store
        found = await store.get(node_registry.PREFIX + "node-late", timeout=1.0)
        assert isinstance(found, objects.Missing)
