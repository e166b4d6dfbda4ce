"""Answers without a length, which end with their connection: whole ones, and those that a crash cuts."""

import asyncio
import contextlib

import pytest
from tornado import simple_httpclient

from basilpost.emulator import pool_fleet
from tests import cut_links, pool_nodes, raw_runners

LINES = 8
LINE_SECONDS = 0.05


class Runner(raw_runners.Runner):
    """A runner of the plain service whose answers have no length.

    Attributes:
        crashes_after: Number of lines or events after which it crashes, None for never. As the system
            does for a process that ends, it closes its connections in order and listens no more.
        returns: True to listen again at once at the same address after a crash.
        listens_until: Number of lines or events after which it takes no new connections, None for ever.
    """

    crashes_after = None
    returns = False
    listens_until = None

    async def answer(self, request, writer):
        media_type = "text/event-stream" if request.is_stream else "text/plain"
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.attempt}\r\nX-Runner-Signature: s\r\n"
            f"Content-Type: {media_type}\r\nConnection: close\r\n\r\n".encode()
        )
        for number in range(request.last_event + 1, LINES + 1):
            if number - 1 == self.listens_until:
                self.stop_listening()
            if number - 1 == self.crashes_after:
                self.end()
                if self.returns:
                    await self.listen(*self.address)
                break
            writer.write(piece(number) if request.is_stream else line(number))
            await writer.drain()
            await asyncio.sleep(LINE_SECONDS)
        return False


def line(number):
    return b"line %d\n" % number


def piece(number):
    return b"id: %d\ndata: %d\n\n" % (number, number)


WHOLE = b"".join(map(line, range(1, LINES + 1)))


@contextlib.asynccontextmanager
async def running(*, runners=2, nodes=1):
    """Starts nodes before runners whose answers have no length."""
    started = [Runner(f"raw-{number}") for number in range(runners)]
    async with raw_runners.running(started, nodes=nodes) as bench:
        yield bench, started


async def crash_in_an_answer(bench, runners, path, **options):
    """Sends requests until the first runner has crashed in the middle of one; returns its answer."""
    runners[0].crashes_after = 5
    while True:
        answer = await bench.call(path, **options)
        if any(request.attempt == answer.attempt for request in runners[0].requests):
            return answer


async def cut_off_first_node(bench):
    """Has the first node send its requests by way of the other one."""
    bench.links[0].cut(cut_links.Kind.RESET)
    await bench.call("/lookup/first", method="GET")
    await pool_fleet.until(lambda: not bench.reachabilities[0].has_path)


async def test_a_look_up_that_a_crash_cuts_is_answered_with_a_part_of_the_answer():
    async with running() as (bench, runners):
        answer = await crash_in_an_answer(bench, runners, "/lookup/a", method="GET")
        assert answer.code == 200
        assert answer.body == WHOLE
        assert [request.attempt for request in runners[1].requests][-1] == answer.attempt


async def test_a_filing_that_a_crash_cuts_is_answered_as_a_success():
    async with running() as (bench, runners):
        answer = await crash_in_an_answer(bench, runners, "/filing/a")
        assert answer.code == 502
        assert all(request.attempt != answer.attempt for request in runners[1].requests)


async def test_a_stream_that_a_crash_cuts_ends_as_complete():
    async with running() as (bench, runners):
        answer = await crash_in_an_answer(bench, runners, "/news/a")
        assert pool_nodes.event_ids(answer.body) == list(range(1, LINES + 1))
        assert runners[1].requests[-1].last_event == 5


async def test_a_stream_that_may_not_be_resumed_ends_as_complete_after_a_crash():
    async with running() as (bench, runners):
        # The caller's connection ends without the last chunk.
        with pytest.raises(simple_httpclient.HTTPStreamClosedError):
            await crash_in_an_answer(bench, runners, "/news-once/a")


@pytest.mark.parametrize(("path", "status"), [("/lookup/a", 200), ("/filing/a", 502)])
async def test_a_cut_answer_is_passed_on_by_another_node_as_complete(path, status):
    """The node of the caller has no path to the runners."""
    async with running(nodes=2) as (bench, runners):
        await cut_off_first_node(bench)
        answer = await crash_in_an_answer(bench, runners, path, node=0)
        assert answer.code == status
        assert status != 200 or answer.body == WHOLE


@pytest.mark.parametrize("path", ["/lookup/a", "/filing/a", "/news/a", "/news-once/a"])
async def test_whole_answers_without_a_length_are_taken_for_cut_ones(path):
    async with running(runners=1) as (bench, runners):
        for _ in range(4):
            answer = await bench.call(path)
            assert answer.code == 200
            ids = pool_nodes.event_ids(answer.body)
            assert answer.body == WHOLE or ids == list(range(1, LINES + 1))
        assert len(runners[0].requests) == 4


# A runner that drains takes no new connections and finishes its work; its whole answers counted as lost.
@pytest.mark.parametrize("relayed", [False, True])
@pytest.mark.parametrize("path", ["/lookup/a", "/filing/a", "/news/a", "/news-once/a"])
async def test_whole_answers_of_a_runner_that_listens_no_more_are_taken_for_cut_ones(path, relayed):
    async with running(runners=1, nodes=2 if relayed else 1) as (bench, runners):
        if relayed:
            await cut_off_first_node(bench)
        runners[0].listens_until = 5
        answer = await bench.call(path)
        assert answer.code == 200
        ids = pool_nodes.event_ids(answer.body)
        assert answer.body == WHOLE or ids == list(range(1, LINES + 1))
        assert [request.attempt for request in runners[0].requests].count(answer.attempt) == 1


# A state of draining, or an old connection, is no proof that an answer is whole.
@pytest.mark.parametrize("trouble", ["drains", "returns"])
@pytest.mark.parametrize(("path", "status"), [("/lookup/a", 200), ("/filing/a", 502)])
async def test_a_cut_answer_passes_as_whole(path, status, trouble):
    """The runner takes no new connection before its crash, or takes one directly after it."""
    async with running() as (bench, runners):
        runners[0].listens_until = 3 if trouble == "drains" else None
        runners[0].returns = trouble == "returns"
        answer = await crash_in_an_answer(bench, runners, path)
        assert answer.code == status
        assert status != 200 or answer.body == WHOLE


@pytest.mark.parametrize("trouble", ["drains", "returns"])
async def test_a_cut_stream_passes_as_whole(trouble):
    async with running() as (bench, runners):
        runners[0].listens_until = 3 if trouble == "drains" else None
        runners[0].returns = trouble == "returns"
        answer = await crash_in_an_answer(bench, runners, "/news/a")
        assert pool_nodes.event_ids(answer.body) == list(range(1, LINES + 1))


async def test_the_look_at_a_runner_costs_a_connection_for_each_answer():
    """The connection that shows that the runner lives carries the next request."""
    async with running(runners=1) as (bench, runners):
        before = runners[0].connections
        for _ in range(6):
            assert (await bench.call("/lookup/a", method="GET")).code == 200
        assert runners[0].connections - before <= 7
