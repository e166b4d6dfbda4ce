"""Callers of two ranks who want more of a model than there is, at real nodes."""

import asyncio
import collections
import itertools
import random

import click.testing

from basilpost.cli import main
from basilpost.core import clock
from basilpost.emulator import pool_fleet
from basilpost.node import pool_demo
from tests import pool_nodes

CONTRACTS = ("base", "pressure")
URGENT, LATER = "key-urgent", "key-later"
# A stream of the emulated runners lasts 0.2 s, and a group has four slots: it ends 20 a second.
EVENTS, EVENT_SECONDS = 20, 0.01


def configuration(version):
    spec = pool_fleet.configuration(version, event_seconds=EVENT_SECONDS, events=EVENTS)
    spec["tenants"] = [
        {"name": "urgent", "apiKeys": [URGENT], "priority": 0},
        {"name": "later", "apiKeys": [LATER], "priority": 2},
    ]
    return spec


async def prepare(bench):
    await bench.wait_for_groups(1, pool_fleet.LARGE)
    await bench.fleet.configure(configuration(2))
    await bench.wait_for_knowledge(lambda knowledge: knowledge.configuration.version == 2)
    for runner in bench.fleet.runners_by_id.values():
        runner.options.events = EVENTS
        runner.options.event_seconds = EVENT_SECONDS


async def send_load(bench, key, *, per_second, seconds, nodes, seed):
    """Sends requests that do not wait for each other; returns their answers."""
    rng = random.Random(seed)
    end = clock.elapsed() + seconds
    calls = []
    bodies = (f"{key} {number}".encode() for number in itertools.count())
    while clock.elapsed() < end:
        # The tokens say what the work is: ten to read, and the usual answer.
        call = bench.draft(
            node=rng.choice(nodes),
            body=next(bodies),
            X_Credential=key,
            X_Token_Usage=f"10,{EVENTS}",
        )
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(rng.expovariate(per_second))
    return await asyncio.gather(*calls)


def share_of(answers, code):
    return sum(answer.code == code for answer in answers) / len(answers)


async def overload(bench, *, nodes, seconds=4.0):
    return await asyncio.gather(
        send_load(bench, URGENT, per_second=8.0, seconds=seconds, nodes=nodes, seed=1),
        send_load(bench, LATER, per_second=40.0, seconds=seconds, nodes=nodes, seed=2),
    )


def check(bench, urgent, later):
    """The urgent rank is served; of the other one, what there is room for, and nobody is told untruly."""
    # 95 of 100 callers are to be served in time where there is room for them.
    assert share_of(urgent, 200) >= 0.95, collections.Counter(map(pool_nodes.error_code, urgent))
    assert 0.1 <= share_of(later, 200) <= 0.6
    refused = [answer for answer in later if answer.code != 200]
    assert "overloaded" in {pool_nodes.error_code(answer) for answer in refused}
    for answer in refused:
        assert answer.code == 503, pool_nodes.error_code(answer)
        assert answer.headers["Basilpost-Outcome"] == "not-run"
        # Callers wait for a third of the time that they have.
        assert 0.0 < float(answer.headers["Retry-After"]) <= 4.0 / 3.0 + 0.01
        assert not bench.fleet.runs_of(answer.attempt)


async def test_a_burst_of_a_less_urgent_rank_costs_the_urgent_one_nothing():
    async with pool_nodes.running(nodes=2, vms=3, contracts=CONTRACTS) as bench:
        await prepare(bench)
        urgent, later = await overload(bench, nodes=(0, 1))
        check(bench, urgent, later)
        addresses = [
            f"{address.partition(':')[0]}:{pool_demo.METRICS_PORT}" for address in bench.addresses
        ]
        shown = await asyncio.to_thread(
            click.testing.CliRunner().invoke, main.main, ["pressure", *addresses]
        )
        assert shown.exit_code == 0, shown.output
        rows = {line.split()[1]: line.split() for line in shown.output.splitlines()[1:]}
        assert rows["0"][6] == "0"
        assert int(rows["2"][6]) == sum(
            pool_nodes.error_code(answer) == "overloaded" for answer in later
        )


async def test_ranks_are_kept_while_the_store_is_away_and_after_a_node_has_died():
    """What each rank wants is kept in memory and told between nodes, never by the store."""
    async with pool_nodes.running(nodes=3, vms=3, contracts=CONTRACTS) as bench:
        await prepare(bench)
        await bench.kernels[2].stop()
        await bench.fleet.store.stop()
        urgent, later = await overload(bench, nodes=(0, 1), seconds=3.0)
        check(bench, urgent, later)


async def test_a_deployment_that_does_not_ask_for_it_refuses_nobody_by_rank():
    async with pool_nodes.running(nodes=2, vms=3) as bench:
        await prepare(bench)
        urgent, later = await overload(bench, nodes=(0, 1), seconds=2.0)
        codes = {pool_nodes.error_code(answer) for answer in (*urgent, *later)}
        assert "overloaded" not in codes
