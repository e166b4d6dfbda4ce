"""Streams of a model that a version of the configuration removes, while their group is silent for a moment."""

import asyncio
import dataclasses

import pytest

from basilpost.emulator import pool_fleet
from basilpost.gateway import stall_detector
from basilpost.groups import pool, pool_state
from basilpost.groups import pool_test as planning
from tests import pool_planned_close_test as planned_closes

SILENT_SECONDS = stall_detector.STALL_SECONDS + 0.4


# The head was ordered to leave at once, which cuts its requests, although all of its members are there.
@pytest.mark.parametrize("state", [planning.OPEN, planning.CLOSING])
def test_the_requests_of_a_removed_model_are_cut_as_their_group_is_silent_for_a_moment(state):
    vms = planning.group("7", [state, planning.READY, planning.READY])
    silent = planning.view_of_work(vms, stalled=["large--7"])
    decision = pool.decide(
        dataclasses.replace(silent, models=(planning.SMALL,)), pool_state.State()
    )
    assert not any(text.startswith("leave") for text in planning.order_texts(decision))


def without_large(version):
    spec = planned_closes.configuration(version)
    engine = spec["services"][0]["engine"]
    engine["models"] = [engine["models"][0] | {"name": "other"}]
    return spec


# Streams of one node at one target ended alike after a version; no other group had their model.
@pytest.mark.parametrize("is_silent", [False, True])
async def test_streams_of_a_removed_model_are_cut_after_a_version(is_silent):
    await streams_after(without_large(2), is_silent=is_silent)


# No other group may take them over.
ONCE = {"resumable": False, "maxAttempts": 1}


def with_large_of(version, size):
    spec = planned_closes.configuration(version, **ONCE)
    engine = spec["services"][0]["engine"]
    engine["models"] = [engine["models"][0] | {"size": size}]
    return spec


# The head was ordered to leave, as the group was not whole by the new size.
@pytest.mark.parametrize("size", [2, 4])
async def test_streams_of_a_model_whose_size_changes_are_cut_after_a_version(size):
    await streams_after(with_large_of(2, size), is_silent=True, **ONCE)


async def streams_after(spec, *, is_silent, **route_fields):
    """Checks that streams that run at a version of the configuration end whole."""
    async with planned_closes.running(groups=2, **route_fields) as bench:
        streams = planned_closes.Streams(bench)
        await planned_closes.start_streams(bench, streams, 4)
        group, _ = planned_closes.busiest_group(bench)
        members = planned_closes.members_of(bench, group)
        await bench.fleet.configure(spec)
        await pool_fleet.until(
            lambda: all(each.knowledge.configuration.version == 2 for each in bench.relays)
        )
        await asyncio.sleep(0.1)
        members[0].options.stalled = is_silent
        await asyncio.sleep(SILENT_SECONDS)
        members[0].options.stalled = False
        await streams.end()
        assert streams.lost == []
