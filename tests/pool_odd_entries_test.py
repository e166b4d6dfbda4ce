"""Another writer leaves an odd entry among those of the runners in the platform's store."""

import asyncio
import json

import pytest
import structlog.testing

from basilpost.emulator import odd_entries, pool_fleet
from basilpost.platform import decode
from tests import pool_nodes

# Checks of a path among VMs of unknown services.
PATH_CHECKS = 5


async def check_entries_are_followed(odd):
    """Serves requests and follows entries that come later, at old nodes and at one that starts."""
    with structlog.testing.capture_logs() as lines:
        async with pool_nodes.running(nodes=2, vms=3, plain_instances=3) as bench:
            await odd_entries.leave(bench.fleet.store, odd)
            await bench.wait_for_groups(1, pool_fleet.LARGE)
            await bench.wait_for_knowledge(lambda known: known.vms_age() < 2.0)
            await bench.add("late")
            await pool_fleet.until(lambda: bench.relays[2].ready)
            later = odd_entries.entry("127.9.9.9:1", "other")
            await bench.fleet.store.put("servers/zz-later", later)
            await bench.wait_for_knowledge(lambda known: "zz-later" in known.vms_by_id)
            await bench.wait_for_knowledge(lambda known: len(known.vms_by_id) >= 7)
            answers = [
                await bench.call(path, node=node)
                for path in ("/lookup/a", "/filing/a", "/draft/a") * 3
                for node in range(3)
            ]
            assert [answer.code for answer in answers] == [200] * 27
    failed = [line for line in lines if line["event"] in ("task_failed", "store_lost")]
    assert not failed, failed


@pytest.mark.parametrize("name", odd_entries.FIELDS_BY_NAME)
async def test_an_odd_field_ends_the_following_of_all_entries(name):
    await check_entries_are_followed(
        odd_entries.with_field(name, *odd_entries.FIELDS_BY_NAME[name])
    )


@pytest.mark.parametrize("name", odd_entries.TEXTS_BY_NAME)
async def test_an_entry_that_is_odd_as_a_whole_ends_the_following_of_all_entries(name):
    await check_entries_are_followed(odd_entries.with_text(name, odd_entries.TEXTS_BY_NAME[name]))


async def test_a_name_that_is_not_utf_8_ends_the_following_of_all_entries():
    await check_entries_are_followed(odd_entries.with_name("name", odd_entries.NO_UTF_8))


@pytest.mark.parametrize("name", odd_entries.GROUPS_BY_NAME)
async def test_the_epoch_of_an_odd_entry_keeps_all_groups_from_being_formed(name):
    """The epochs that follow it are beyond those that nodes read."""
    odd = odd_entries.with_highest_epoch(name, *odd_entries.GROUPS_BY_NAME[name])
    bench = pool_nodes.Nodes(vms=3)
    try:
        await bench.fleet.start()
        await odd_entries.leave(bench.fleet.store, odd)
        await bench.add("node-0")
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        assert (await bench.draft()).code == 200
    finally:
        await bench.stop()


@pytest.mark.parametrize("name", ["number-version", "list-sequence"])
async def test_a_vm_whose_entry_has_a_field_of_another_type_is_ordered_into_a_group(name):
    """Such an entry names no runner, so the order is never carried out and the group is formed late."""
    field, raw = odd_entries.OTHER_TYPES_BY_NAME[name]
    content = odd_entries.entry(service=pool_fleet.MODEL_SERVICE) | {"domain": "f0"}
    content[field] = json.loads(raw)
    bench = pool_nodes.Nodes(vms=3)
    with structlog.testing.capture_logs() as lines:
        try:
            await bench.fleet.start()
            await bench.fleet.store.put("servers/0-odd", content)
            await bench.add("node-0")
            await bench.wait_for_groups(1, pool_fleet.LARGE)
        finally:
            await bench.stop()
    ordered = {line["vm"] for line in lines if line["event"] == "pool_order"}
    assert ordered and "0-odd" not in ordered


async def test_a_node_takes_its_path_for_lost_as_vms_of_unknown_services_are_silent():
    """The check of the path asked four VMs of as many failure domains, whatever their service."""

    async def hold(reader, writer):
        await reader.read()
        writer.close()

    silent_server = await asyncio.start_server(hold, odd_entries.HOST, 0)
    _, port = silent_server.sockets[0].getsockname()
    bench = pool_nodes.Nodes(vms=3, plain_instances=3)
    with structlog.testing.capture_logs() as lines:
        try:
            await bench.fleet.start()
            for odd in odd_entries.of_unknown_services(f"{odd_entries.HOST}:{port}"):
                await odd_entries.leave(bench.fleet.store, odd)
            for number in range(2):
                await bench.add(f"node-{number}")
            await pool_fleet.until(lambda: all(relay.ready for relay in bench.relays))
            await bench.wait_for_knowledge(
                lambda known: len(known.vms_by_id) > odd_entries.UNKNOWN_DOMAINS
            )
            for reachability in bench.reachabilities:
                for _ in range(PATH_CHECKS):
                    assert await reachability.find_path(fresh=True)
            answers = [await bench.call("/lookup/a", node=node) for node in (0, 1) * 10]
            assert [answer.code for answer in answers] == [200] * 20
        finally:
            await bench.stop()
            silent_server.close()
    assert not [line for line in lines if line["event"] == "runner_path_lost"]


@pytest.mark.parametrize("odd", odd_entries.entries(), ids=lambda odd: odd.name)
def test_an_odd_entry_is_taken_for_a_runner(odd):
    """Only an entry that is whole may be, of a service that the configuration names."""
    services = {pool_fleet.PLAIN_SERVICE, pool_fleet.MODEL_SERVICE}
    text = json.dumps(odd.content)
    if odd.raw:
        text = text.replace(json.dumps(odd.marker), odd.raw)
    name = odd.key.partition("/")[2].replace(odd.marker, "\udcff")
    vm = decode.vm(name, text.encode(errors="surrogateescape"))
    assert (not isinstance(vm, decode.Malformed) and vm.service in services) == odd.is_whole
