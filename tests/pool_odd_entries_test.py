"""Another writer leaves an odd entry among those of the runners in the platform's store."""

import asyncio

import pytest
import structlog.testing

from basilpost.emulator import pool_fleet
from tests import pool_nodes

MARKER = "@odd@"
DEEP = "[" * 100_000 + "]" * 100_000
LESS_DEEP = "[" * 900 + "]" * 900
LARGE = "9" * 401
HUGE = "9" * 6_000
# The emulated store writes each of these surrogates as a byte that is not UTF-8.
NO_UTF_8 = '"\udcff\udcfe\udc80"'
HOST = "127.0.0.1"
# The largest epoch that nodes read.
HIGHEST_EPOCH = 2**53 - 1
# Failure domains that only odd entries name, and checks of a path among them.
ODD_DOMAINS = 60
PATH_CHECKS = 5


def group(name, *, epoch=1, rank=0):
    """Returns the JSON text of a membership."""
    return f'{{"name": "{name}", "epoch": {epoch}, "rank": {rank}, "state": "open"}}'


# Values of single fields of an entry, as JSON text.
ODD_FIELDS = {
    "deep-unknown": ("unknown", DEEP),
    "less-deep-unknown": ("unknown", LESS_DEEP),
    "huge-unknown": ("unknown", HUGE),
    "deep-service": ("service", DEEP),
    "less-deep-zone": ("zone", LESS_DEEP),
    "surrogate-zone": ("zone", '"\\ud800"'),
    "header-in-service": ("service", '"desk\\r\\nX: y"'),
    "less-deep-staged": ("staged", LESS_DEEP),
    "large-cold": ("coldRemainingMs", LARGE),
    "huge-cold": ("coldRemainingMs", HUGE),
    "infinite-cold": ("coldRemainingMs", "1e999"),
    "no-number-cold": ("coldRemainingMs", "NaN"),
    "large-slots": ("slots", LARGE),
    "negative-slots": ("slots", "-1"),
    "infinite-slots": ("slots", "1e999"),
    "large-born": ("born", LARGE),
    "infinite-born": ("born", "Infinity"),
    "large-epoch": ("group", f'{{"name": "g-1", "epoch": {LARGE}, "rank": 0, "state": "open"}}'),
    "large-rank": ("group", f'{{"name": "g-1", "epoch": 1, "rank": {LARGE}, "state": "open"}}'),
    "negative-rank": ("group", '{"name": "g-1", "epoch": 1, "rank": -9, "state": "open"}'),
    "odd-group-name": ("group", '{"name": "\\u0000", "epoch": 1, "rank": 0, "state": "open"}'),
    "deep-group": ("group", DEEP),
    "other-group-name": ("group", group("g-1")),
    "large-number-in-group-name": ("group", group(f"{pool_fleet.LARGE}--{LARGE}")),
    "huge-number-in-group-name": ("group", group(f"{pool_fleet.LARGE}--{HUGE}")),
    "standby-group-name": ("group", group(f"standby-{pool_fleet.LARGE}--x")),
    "highest-epoch": ("group", group(f"{pool_fleet.LARGE}--1", epoch=2**53)),
    "highest-rank": ("group", group(f"{pool_fleet.LARGE}--1", rank=2**53)),
    "highest-slots": ("slots", str(2**53)),
    "highest-cold": ("coldRemainingMs", "1e300"),
    "negative-cold": ("coldRemainingMs", "-1e300"),
    "port-70000": ("address", f'"{HOST}:70000"'),
    "port-0": ("address", f'"{HOST}:0"'),
    "negative-port": ("address", f'"{HOST}:-1"'),
    "port-in-other-digits": ("address", f'"{HOST}:\\u0668\\u0660"'),
    "huge-port": ("address", f'"{HOST}:{HUGE}"'),
    "header-in-host": ("address", f'"{HOST}\\r\\nX-Tenant: other:80"'),
    "surrogate-host": ("address", '"\\ud800:80"'),
    "space-in-host": ("address", '"a b:80"'),
    "no-utf-8-unknown": ("unknown", NO_UTF_8),
    "no-utf-8-zone": ("zone", NO_UTF_8),
    "no-utf-8-group-name": (
        "group",
        f'{{"name": {NO_UTF_8}, "epoch": 1, "rank": 0, "state": "open"}}',
    ),
}
ODD_ENTRIES = {
    "deep": DEEP,
    "less-deep": LESS_DEEP,
    "huge": HUGE,
    "null": "null",
    "list": "[]",
    "text": '"text"',
    "empty": "{}",
    "no-utf-8": NO_UTF_8,
}


def entry(address, service=pool_fleet.PLAIN_SERVICE):
    return {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldRemainingMs": 0,
        "born": 5,
        "sequence": 0,
    }


async def check_entries_are_followed(odd_entry, raw, *, name="0-odd"):
    """Serves requests and follows entries that come later, at old nodes and at one that starts."""
    with structlog.testing.capture_logs() as lines:
        async with pool_nodes.running(nodes=2, vms=3, plain_instances=3) as bench:
            bench.fleet.store.raw_text_by_marker[MARKER] = raw
            await bench.fleet.store.put(f"servers/{name}", odd_entry)
            await bench.wait_for_groups(1, pool_fleet.LARGE)
            await bench.wait_for_knowledge(lambda known: known.vms_age() < 2.0)
            await bench.add("late")
            await pool_fleet.until(lambda: bench.relays[2].ready)
            await bench.fleet.store.put("servers/zz-later", entry("127.9.9.9:1", "other"))
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


@pytest.mark.parametrize("name", ODD_FIELDS)
async def test_an_odd_field_ends_the_following_of_all_entries(name):
    field, raw = ODD_FIELDS[name]
    odd_entry = entry(f"{HOST}:9") | {field: MARKER}
    if field in ("group", "staged"):
        odd_entry |= {"service": pool_fleet.MODEL_SERVICE, "domain": "f0"}
    await check_entries_are_followed(odd_entry, raw)


@pytest.mark.parametrize("name", ODD_ENTRIES)
async def test_an_entry_that_is_odd_as_a_whole_ends_the_following_of_all_entries(name):
    await check_entries_are_followed(MARKER, ODD_ENTRIES[name])


async def test_a_name_that_is_not_utf_8_ends_the_following_of_all_entries():
    await check_entries_are_followed(entry(f"{HOST}:9"), NO_UTF_8, name=MARKER)


@pytest.mark.parametrize(
    ("service", "name"),
    [
        ("other", "g1"),
        (pool_fleet.PLAIN_SERVICE, f"{pool_fleet.LARGE}--{HIGHEST_EPOCH}"),
        (pool_fleet.MODEL_SERVICE, "g1"),
        (pool_fleet.MODEL_SERVICE, f"{pool_fleet.LARGE}--{HIGHEST_EPOCH}"),
    ],
    ids=["other-service", "plain-service", "other-name", "own-name"],
)
async def test_the_epoch_of_an_odd_entry_keeps_all_groups_from_being_formed(service, name):
    """The epochs that follow it are beyond those that nodes read."""
    odd_entry = entry(f"{HOST}:9", service)
    member = {"name": name, "epoch": HIGHEST_EPOCH, "rank": 0, "state": "ready"}
    bench = pool_nodes.Nodes(vms=3)
    try:
        await bench.fleet.start()
        await bench.fleet.store.put("servers/0-odd", odd_entry | {"domain": "f", "group": member})
        await bench.add("node-0")
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        assert (await bench.draft()).code == 200
    finally:
        await bench.stop()


@pytest.mark.parametrize("field", ["version", "sequence"])
async def test_a_vm_whose_entry_has_a_field_of_another_type_is_ordered_into_a_group(field):
    """Such an entry names no runner, so the order is never carried out and the group is formed late."""
    odd_entry = entry(f"{HOST}:9", pool_fleet.MODEL_SERVICE) | {"domain": "f0", field: [1]}
    bench = pool_nodes.Nodes(vms=3)
    with structlog.testing.capture_logs() as lines:
        try:
            await bench.fleet.start()
            await bench.fleet.store.put("servers/0-odd", odd_entry)
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

    silent_server = await asyncio.start_server(hold, HOST, 0)
    _, port = silent_server.sockets[0].getsockname()
    bench = pool_nodes.Nodes(vms=3, plain_instances=3)
    with structlog.testing.capture_logs() as lines:
        try:
            await bench.fleet.start()
            for number in range(ODD_DOMAINS):
                odd_entry = entry(f"{HOST}:{port}", "other") | {"zone": f"zone-{number}"}
                await bench.fleet.store.put(f"servers/odd-{number}", odd_entry)
            for number in range(2):
                await bench.add(f"node-{number}")
            await pool_fleet.until(lambda: all(relay.ready for relay in bench.relays))
            await bench.wait_for_knowledge(lambda known: len(known.vms_by_id) > ODD_DOMAINS)
            for reachability in bench.reachabilities:
                for _ in range(PATH_CHECKS):
                    assert await reachability.find_path(fresh=True)
            answers = [await bench.call("/lookup/a", node=node) for node in (0, 1) * 10]
            assert [answer.code for answer in answers] == [200] * 20
        finally:
            await bench.stop()
            silent_server.close()
    assert not [line for line in lines if line["event"] == "runner_path_lost"]
