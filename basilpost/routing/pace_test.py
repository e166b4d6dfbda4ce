"""Tests of a service's pace."""

import asyncio

import pytest

from basilpost.routing import pace


@pytest.mark.looptime
async def test_a_moment_without_work_does_not_make_a_service_slow():
    found = pace.Pace()
    held = [found.started() for _ in range(8)]
    await asyncio.sleep(0.5)
    for started_at in held:
        found.ended(started_at, used=True)
    assert found.rate == pytest.approx(16.0, rel=0.1)
    await asyncio.sleep(1.0)
    assert found.rate == pytest.approx(16.0, rel=0.1)


@pytest.mark.looptime
async def test_lost_capacity_shows_after_a_while():
    found = pace.Pace()
    held = [found.started() for _ in range(8)]
    await asyncio.sleep(0.5)
    for started_at in held:
        found.ended(started_at, used=True)
    for _ in range(24):
        started_at = found.started()
        await asyncio.sleep(0.5)
        found.ended(started_at, used=True)
    assert found.rate == pytest.approx(2.0, rel=0.1)
