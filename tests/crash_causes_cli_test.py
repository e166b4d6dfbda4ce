"""`basilpost crash-causes` against the emulated store, with nodes that follow it."""

import asyncio

import click.testing
import pytest

from basilpost.cli import main
from basilpost.core import names
from basilpost.emulator import pool_fleet
from basilpost.routing import crash_evidence, crashes
from tests import pool_nodes

TRAIT = crash_evidence.Trait(kind="part", value="bad")


async def command(*arguments):
    """Runs the command in a thread, as the store is served by the test's event loop."""
    return await asyncio.to_thread(
        click.testing.CliRunner().invoke, main.main, ["crash-causes", *arguments]
    )


def trackers(bench):
    return [kernel.find(names.CRASHES, crashes.CrashTracker) for kernel in bench.kernels]


async def accuse(bench):
    """Reports three crashes under different requests with the part to one node."""
    for number in range(3):
        requests = [
            crash_evidence.LostRequest(fingerprint=f"f{number}", parts=("bad",)),
            crash_evidence.LostRequest(fingerprint=f"s{number}", parts=(f"p{number}",)),
        ]
        trackers(bench)[0].record_crash(f"t{number}", requests)
        await asyncio.sleep(crash_evidence.SEPARATE_SECONDS * 1.1)
    await pool_fleet.until(
        lambda: all(tracker.find_cause([TRAIT]) is not None for tracker in trackers(bench))
    )


async def test_operators_see_a_cause_with_its_evidence_and_release_it_on_all_nodes():
    async with pool_nodes.running(nodes=2, vms=0) as bench:
        await accuse(bench)
        store = ("--store", bench.fleet.store.address)
        await asyncio.sleep(0.5)
        listed = await command("list", *store)
        assert listed.exit_code == 0, listed.output
        row = listed.output.splitlines()[1].split()
        assert row[:2] == ["part", "bad"]
        assert {"t0", "t1", "t2", "f0", "f1", "f2", "refused"} <= set(row)
        refused = await bench.call("/lookup/a", method="GET", X_Prompt_Prefix="bad:5,own:3")
        assert (refused.code, pool_nodes.error_code(refused)) == (503, "quarantined")
        assert "Retry-After" not in refused.headers
        assert refused.headers["Basilpost-Outcome"] == "not-run"
        released = await command("release", "part", "bad", "--reason", "mended", *store)
        assert released.exit_code == 0, released.output
        await pool_fleet.until(
            lambda: all(tracker.find_cause([TRAIT]) is None for tracker in trackers(bench)),
            seconds=3.0,
        )
        served = await bench.call("/lookup/a", method="GET", X_Prompt_Prefix="bad:5,own:3")
        assert served.code == 200
        assert "released: mended" in (await command("list", *store)).output


@pytest.mark.parametrize(
    "arguments", [("release", "part", "none", "--reason", "x"), ("release", "other", "a")]
)
async def test_what_cannot_be_released_is_an_error(arguments):
    async with pool_nodes.running(vms=0) as bench:
        result = await command(*arguments, "--store", bench.fleet.store.address)
        assert result.exit_code != 0
        assert result.output
