"""Tests of the throughput estimate."""

import asyncio

import pytest

from basilpost.routing import throughput


@pytest.mark.looptime
async def test_a_short_time_without_work_does_not_lower_the_rate():
    service = throughput.Throughput()
    held = [service.record_start() for _ in range(8)]
    await asyncio.sleep(0.5)
    for started_at in held:
        service.record_end(started_at, used=True)
    assert service.rate == pytest.approx(16.0, rel=0.1)
    await asyncio.sleep(1.0)
    assert service.rate == pytest.approx(16.0, rel=0.1)


@pytest.mark.looptime
async def test_lost_capacity_lowers_the_rate_after_some_seconds():
    service = throughput.Throughput()
    held = [service.record_start() for _ in range(8)]
    await asyncio.sleep(0.5)
    for started_at in held:
        service.record_end(started_at, used=True)
    for _ in range(24):
        started_at = service.record_start()
        await asyncio.sleep(0.5)
        service.record_end(started_at, used=True)
    assert service.rate == pytest.approx(2.0, rel=0.1)
