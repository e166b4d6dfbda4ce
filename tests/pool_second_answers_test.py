"""Runners that answer a request twice on one connection: which answer belongs to which sending."""

import asyncio
import collections
import contextlib
import json

import pytest
import structlog.testing
import tornado.httputil

from basilpost.core import channels
from basilpost.emulator import pool_fleet, pool_runner, second_answers
from basilpost.gateway import detours
from tests import cut_links, pool_cut_off_test, pool_nodes

FAILURES = (500, 503)
CALLS = 80
CALLS_PER_SECOND = 80.0
# Longer than any delay of a second answer.
AFTER_ALL_SECONDS = 0.1
# Connections of nodes to their runners beyond the kept ones, such as those of status requests.
PROBE_CONNECTIONS = 4


def set_plan(bench, **plan):
    """Has all runners answer requests twice; returns the log of their first answers."""
    for runner in bench.fleet.runners_by_id.values():
        runner.options.answers_twice = second_answers.SecondAnswers(**plan)


def first_statuses(bench, attempt):
    """Returns how often runners gave a request each status as their own, first answer."""
    return collections.Counter(
        status
        for runner in bench.fleet.runners_by_id.values()
        for known, status in runner.first_statuses
        if known == attempt
    )


def find_fault(answer, statuses):
    """Returns what is wrong with an answer to a request that runners gave these statuses, or None."""
    if answer.code == 200:
        if 200 not in statuses:
            return f"a success where the runners answered {list(statuses)}"
        if json.loads(answer.body)["attempt"] != answer.attempt:
            return "a success of another request"
    if pool_runner.SIGNATURE in answer.headers and answer.code not in statuses:
        return f"a signed {answer.code} where the runners answered {list(statuses)}"
    return None


async def call(bench, faults, *, path="/lookup/a", **options):
    """Makes one call, notes what is wrong with its answer and returns it."""
    before = first_statuses(bench, options.get("attempt"))
    answer = await bench.call(path, method="GET", **options)
    fault = find_fault(answer, first_statuses(bench, answer.attempt) - before)
    if fault:
        faults.append(fault)
    return answer


async def call_evenly(bench, *, repeats=False, count=CALLS):
    """Makes calls at an even rate; returns the answers and what was wrong with them.

    With `repeats` the caller of a failure comes again at once, under the same id and at the same node.
    """
    faults = []

    async def make_call():
        answer = await call(bench, faults)
        if repeats and answer.code >= 500:
            answer = await call(bench, faults, attempt=answer.attempt)
        return answer

    running = []
    for _ in range(count):
        running.append(asyncio.create_task(make_call()))
        await asyncio.sleep(1.0 / CALLS_PER_SECOND)
    return await asyncio.gather(*running), faults


@contextlib.asynccontextmanager
async def kept_connections(*, plain_instances=2, **options):
    """Runs nodes that have kept connections to all runners."""
    async with pool_nodes.running(vms=0, plain_instances=plain_instances, **options) as bench:
        for _ in range(3):
            await asyncio.gather(
                *(bench.call("/lookup/a", method="GET") for _ in range(2 * plain_instances))
            )
        yield bench


@pytest.mark.parametrize("keeps", [False, True])
@pytest.mark.parametrize("share", [0.25, 1.0])
@pytest.mark.parametrize("status", FAILURES)
async def test_a_failure_without_an_id_is_skipped_for_a_second_answer(
    monkeypatch, status, share, keeps
):
    """The runner's own failure names no request, and its second answer is a named success."""
    if keeps:
        monkeypatch.setattr(channels, "SINGLE_USE_SECONDS", 0.0)
    async with kept_connections() as bench:
        set_plan(bench, share=share, first_status=status)
        answers, faults = await call_evenly(bench)
        assert faults == []
        if share == 1.0:
            assert 200 not in {answer.code for answer in answers}


async def test_one_request_without_an_id_ends_the_reuse_of_connections_for_all_callers():
    """Its answer names no request either; the runner is sound."""
    async with kept_connections() as bench:
        with structlog.testing.capture_logs() as lines:
            for number in range(20):
                anonymous = {"X-Attempt-Id": ""} if number == 0 else {}
                answer = await bench.call("/lookup/a", method="GET", **anonymous)
                assert answer.code == 200
        assert [line for line in lines if line["event"] == "attempt_failed"] == []
        placed = [line["requests"] for line in lines if line["event"] == "request_placed"]
        assert placed.count(0) == 1


async def test_each_answer_without_an_id_costs_a_request():
    """A runner that left the id out once gets one request on each connection for a while."""
    async with kept_connections() as bench:
        set_plan(bench, share=1.0)
        with structlog.testing.capture_logs() as lines:
            answers = [await bench.call("/lookup/a", method="GET") for _ in range(30)]
        lost = [line for line in lines if line["event"] == "attempt_failed"]
        assert {line["result"] for line in lost} == {"Lost"}
        assert all(line["unattributed"] and not line["stale"] for line in lost)
        assert len(lost) <= len(bench.fleet.runners_by_id)
        # The first request may meet both runners; all others end with their runner's own failure.
        assert {answer.code for answer in answers[1:]} == {500}


@pytest.mark.parametrize("status", FAILURES)
async def test_a_success_without_an_id_is_skipped_for_a_second_answer(status):
    """The runner's own success names no request, and its second answer is a named failure."""
    async with kept_connections() as bench:
        set_plan(bench, share=0.5, first_status=200, second_status=status)
        _, faults = await call_evenly(bench)
        assert faults == []


@pytest.mark.parametrize("status", FAILURES)
async def test_a_repeat_under_the_same_id_gets_the_second_answer_to_the_first_sending(status):
    async with kept_connections() as bench:
        set_plan(bench, share=0.75, first_status=status, first_named=True)
        _, faults = await call_evenly(bench, repeats=True)
        assert faults == []


@pytest.mark.parametrize("named", [False, True])
@pytest.mark.parametrize("status", [200, *FAILURES])
async def test_a_second_answer_is_taken_for_that_to_the_next_request(status, named):
    async with kept_connections() as bench:
        set_plan(
            bench,
            share=0.5,
            first_status=200,
            first_named=True,
            second_status=status,
            second_named=named,
        )
        _, faults = await call_evenly(bench)
        assert faults == []


async def test_a_request_is_sent_on_a_connection_with_unread_bytes():
    """The waiting refusal names no request, so that of the next one would be unknown."""
    async with kept_connections(plain_instances=1) as bench:
        set_plan(
            bench,
            share=1.0,
            first_status=200,
            first_named=True,
            second_status=503,
            second_named=False,
            delays=(0.0, 0.02),
        )
        with structlog.testing.capture_logs() as lines:
            for _ in range(10):
                assert (await bench.call("/lookup/a", method="GET")).code == 200
                await asyncio.sleep(AFTER_ALL_SECONDS)
        assert [line for line in lines if line["event"] in ("attempt_failed", "stray_answer")] == []


@pytest.mark.parametrize("named", [False, True])
async def test_a_stream_is_taken_from_a_second_answer(named):
    """The runner's own answer is a failure; an event of its second answer must not reach the caller."""
    async with pool_nodes.running(fabric_domains=3, vms=3) as bench:
        await bench.wait_for_groups(2, pool_fleet.LARGE)
        for _ in range(3):
            await asyncio.gather(*(bench.draft() for _ in range(6)))
        set_plan(bench, share=1.0, first_named=named, delays=(0.0, 0.005))
        statuses = set()
        for _ in range(10):
            answer = await bench.draft()
            again = await bench.draft(attempt=answer.attempt)
            assert b"second" not in answer.body + again.body
            statuses |= {answer.code, again.code}
        assert 200 not in statuses


@pytest.mark.parametrize("named", [False, True])
@pytest.mark.parametrize("status", FAILURES)
async def test_a_second_answer_is_taken_on_the_way_of_a_detour(status, named):
    """The node that the caller asks has no path, and another node sends its requests."""
    async with kept_connections(nodes=2) as bench:
        await pool_cut_off_test.lose_path(bench, 0, cut_links.Kind.RESET)
        assert (await bench.call("/lookup/a", method="GET")).code == 200
        set_plan(bench, share=0.75, first_status=status, first_named=named)
        _, faults = await call_evenly(bench, repeats=True)
        assert faults == []


class DoublingProxy:
    """Passes bytes on between nodes, and writes an answer that nobody asked for behind each answer.

    Attributes:
        extra: The bytes of that answer, empty for none.
        delay: Seconds between the answers.
    """

    def __init__(self):
        self.extra = b""
        self.delay = 0.0
        self._target = ""
        self._server = None

    async def start(self, target):
        self._target = target
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        host, _, port = self._target.rpartition(":")
        node_reader, node_writer = await asyncio.open_connection(host, int(port))
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                node_writer.write(await reader.readuntil(b"\r\n\r\n"))
                head = await node_reader.readuntil(b"\r\n\r\n")
                length = int(tornado.httputil.HTTPHeaders.parse(
                    head.decode().partition("\r\n")[2]
                )["Content-Length"])  # fmt: skip
                writer.write(head + await node_reader.readexactly(length))
                await asyncio.sleep(self.delay)
                writer.write(self.extra)
        writer.close()
        node_writer.close()


EXTRA_OF_NODE = (
    b"HTTP/1.1 200 OK\r\nBasilpost-Detour-Result: answered\r\nBasilpost-Detour-Target: desk-0@1\r\n"
    b"X-Runner-Signature: s\r\nContent-Length: 6\r\n%s\r\nsecond"
)


@pytest.mark.parametrize("delay", [0.0, 0.003, 0.02])
@pytest.mark.parametrize(
    "fields", [b"", b"X-Attempt-Id: other\r\n"], ids=["nameless", "named-otherwise"]
)
async def test_a_second_answer_on_a_kept_connection_of_a_detour(monkeypatch, fields, delay):
    """What sits between the nodes repeats an answer; the next caller must not get it."""
    proxy = DoublingProxy()
    async with kept_connections(nodes=2) as bench:
        await pool_cut_off_test.lose_path(bench, 0, cut_links.Kind.RESET)
        record = bench.feeds[0]._table.records_by_id[bench.kernels[1].node_id]
        address = await proxy.start(detours.detour_address(record))
        monkeypatch.setattr(detours, "detour_address", lambda record: address)
        bench.relays[0]._detours.pool.close()
        try:
            assert (await bench.call("/lookup/a", method="GET")).code == 200
            proxy.extra, proxy.delay = EXTRA_OF_NODE % fields, delay
            bodies = [
                (await bench.call("/lookup/a", method="GET", X_Deadline_Ms="1000")).body
                for _ in range(20)
            ]
            assert b"second" not in bodies
        finally:
            proxy.stop()


async def test_a_limit_ends_with_an_answer_to_an_earlier_request():
    """Such an answer may be older than the limit, so it does not tell that the limit is over."""
    async with kept_connections(plain_instances=1) as bench:
        (runner,) = bench.fleet.runners_by_id.values()
        runner.options.limit_per_second = 50.0
        assert (await bench.call("/lookup/a", method="GET")).code == 200
        with structlog.testing.capture_logs() as lines:
            for _ in range(5):
                runner.options.stray_answers = 1
                assert (await bench.call("/lookup/a", method="GET")).code == 200
        assert [line for line in lines if line["event"] == "stray_answer"]
        assert [line for line in lines if line["event"] == "target_limit"] == []


async def test_a_connection_that_carried_an_extra_answer_is_used_again():
    """What else comes on it may join with the next answer."""
    async with kept_connections() as bench:
        pool = bench.forwarders[0].sender.pool
        kept_after_extra = []
        release = pool.release

        def record(channel):
            release(channel)
            if channel.carried_extra:
                kept_after_extra.append(not channel.stream.closed())

        pool.release = record
        set_plan(bench, share=0.5, first_status=200, first_named=True, second_status=200)
        with structlog.testing.capture_logs() as lines:
            await call_evenly(bench)
        assert "stray_answer" in {line["event"] for line in lines}
        assert kept_after_extra and not any(kept_after_extra)


async def test_sound_runners_lose_their_kept_connections():
    """New connections to runners are priced, so calls one after another share one to each runner."""
    async with kept_connections() as bench:
        opened = bench.links[0].opened
        for _ in range(60):
            assert (await bench.call("/lookup/a", method="GET")).code == 200
        assert bench.links[0].opened - opened <= PROBE_CONNECTIONS
