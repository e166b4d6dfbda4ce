"""Requests that come while a node stops, within a grace in which some of them cannot be answered."""

import asyncio
import contextlib
import dataclasses

import pytest
import tornado.httpclient
import tornado.iostream

from basilpost.core import clock, names
from basilpost.emulator import pool_fleet
from basilpost.routing import durations
from tests import pool_nodes

# As in the settings of these nodes.
GRACE = pool_nodes.GRACE_SECONDS
SEND_SECONDS = 0.1
# The users excuse what is cut in the last sixth of the grace.
EXCUSED_SHARE = 1 / 6
EVENTS = 30
PATHS = ("/filing/a", "/lookup/a", "/draft/a")


@contextlib.asynccontextmanager
async def stopping_node(*, seconds, served=1):
    """Runs a node whose requests take some seconds, and which has served some of each kind."""
    async with pool_nodes.running(fabric_domains=3, vms=6, plain_instances=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.work_seconds = seconds
            runner.options.events, runner.options.event_seconds = EVENTS, seconds / EVENTS
        for _ in range(served):
            answers = await asyncio.gather(*(bench.call(path) for path in PATHS))
            assert {answer.code for answer in answers} == {200}
        yield bench


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A request and its answer, None if its connection ended early."""

    path: str
    attempt: str
    answer: tornado.httpclient.HTTPResponse | None

    @property
    def whole(self):
        if self.answer is None or self.answer.code != 200:
            return False
        is_stream = self.path.startswith("/draft")
        return not is_stream or len(pool_nodes.event_ids(self.answer.body)) == EVENTS


async def send(bench, path):
    attempt = bench.next_attempt_id()
    try:
        answer = await bench.call(path, attempt=attempt, X_Deadline_Ms="4000")
    except (OSError, tornado.httpclient.HTTPError, tornado.iostream.StreamClosedError):
        answer = None
    return Call(path=path, attempt=attempt, answer=answer)


async def send_until(bench, path, draining):
    calls = []
    while not draining.done():
        calls.append(asyncio.create_task(send(bench, path)))
        await asyncio.sleep(SEND_SECONDS)
    return await asyncio.gather(*calls)


@pytest.mark.parametrize("path", PATHS)
async def test_a_request_that_cannot_end_within_the_grace_is_taken_and_cut(path):
    async with stopping_node(seconds=GRACE * 0.8) as bench:
        draining = asyncio.create_task(bench.relays[0].drain())
        await asyncio.sleep(0)
        calls = await send_until(bench, path, draining)
        assert len(calls) > 10
        for call in calls:
            code = call.answer.code if call.answer is not None else 0
            # Those that meet the end of the node get no connection.
            assert call.whole or (code in (0, 503) and not bench.fleet.runs_of(call.attempt)), code


@pytest.mark.parametrize("path", ["/lookup/a", "/draft/a"])
async def test_requests_that_end_in_time_are_refused_because_of_a_late_deadline(path):
    """Their deadlines lie beyond the end of the grace, but requests like them take a moment."""
    async with stopping_node(seconds=0.1, served=durations.MIN_REQUESTS) as bench:
        draining = asyncio.create_task(bench.relays[0].drain())
        await asyncio.sleep(0.5)
        assert (await send(bench, path)).whole
        await draining


async def test_a_request_before_the_stop_is_cut_long_before_the_end_of_the_grace():
    async with stopping_node(seconds=GRACE * (1 - EXCUSED_SHARE)) as bench:
        calls = [asyncio.create_task(send(bench, path)) for path in PATHS]
        await asyncio.sleep(0.05)
        began_at = clock.elapsed()
        await bench.relays[0].drain()
        assert clock.elapsed() - began_at < GRACE
        assert all(call.whole for call in await asyncio.gather(*calls))


async def test_a_short_grace_is_exceeded(monkeypatch):
    """A node with a grace below the time that the load balancer takes to notice is killed."""
    monkeypatch.setattr(pool_nodes, "GRACE_SECONDS", 2.0)
    async with pool_nodes.running(vms=0) as bench:
        for runner in bench.fleet.runners_by_id.values():
            runner.options.work_seconds = 3.0
        sending = asyncio.create_task(send(bench, "/filing/a"))
        await asyncio.sleep(0.2)
        began_at = clock.elapsed()
        await bench.relays[0].drain()
        assert clock.elapsed() - began_at < 2.0
        answer = (await sending).answer
        assert (answer.code, answer.headers[names.OUTCOME_HEADER]) == (502, "unknown")
