"""The line request_ended tells who ended a caller's stream, how far it came, and why."""

import asyncio
import contextlib
import socket
import struct

import pytest
import structlog.testing

from basilpost.emulator import pool_fleet
from tests import pool_nodes

EVENTS = 6
CHUNKED = b"Transfer-Encoding: chunked"


def request_bytes(attempt, *, length=1, body=b"x", budget_ms=4000):
    headers = pool_fleet.call_headers(attempt, model=pool_fleet.LARGE, budget_ms=budget_ms)
    lines = [f"{name}: {value}" for name, value in (headers | {"Content-Length": length}).items()]
    return "\r\n".join(["POST /draft/one HTTP/1.1", *lines, "", ""]).encode() + body


class Caller:
    """A connection to a node on which one request is sent."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)))

    def leave(self, *, reset=False):
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.socket.close()
        else:
            # With unread bytes `close` would send a reset too.
            self.socket.shutdown(socket.SHUT_WR)


@contextlib.asynccontextmanager
async def running(**options):
    """Yields nodes that have groups, with these options of the runners, and the lines of the log."""
    async with pool_nodes.running(vms=6, fabric_domains=2) as bench:
        await bench.wait_for_groups(2, pool_fleet.LARGE)
        for runner in bench.fleet.runners_by_id.values():
            for name, value in options.items():
                setattr(runner.options, name, value)
        with structlog.testing.capture_logs() as lines:
            yield bench, lines


async def end_of(lines, attempt):
    """Returns the line of the end of a request."""

    def find():
        return [
            line
            for line in lines
            if line["event"] == "request_ended" and line.get("request") == attempt
        ]

    await pool_fleet.until(find)
    (line,) = find()
    return line


async def test_the_end_of_a_whole_stream_has_no_event_and_no_close():
    async with running() as (bench, lines):
        answer = await bench.draft()
        ended = await end_of(lines, answer.attempt)
    assert pool_nodes.event_ids(answer.body)[-1] == EVENTS
    assert (ended["outcome"], ended["log_level"]) == ("streamed", "info")
    assert (ended["events"], ended["last_event"]) == (EVENTS, str(EVENTS))
    assert (ended["answer_end"], ended["written"]) == ("chunks", True)
    assert not {"closed_by", "repeats", "denied", "last_failure"} & ended.keys()


@pytest.mark.parametrize(("reset", "error"), [(False, ""), (True, "ConnectionResetError")])
async def test_a_caller_that_left_is_not_told_from_a_close_by_the_node(reset, error):
    async with running(event_seconds=0.1) as (bench, lines):
        caller = Caller(bench.addresses[0])
        caller.socket.sendall(request_bytes("left"))
        await asyncio.to_thread(caller.socket.recv, 10_000)
        caller.leave(reset=reset)
        ended = await end_of(lines, "left")
    assert (ended["outcome"], ended["closed_by"]) == ("caller_left", "caller")
    assert ended.get("close_error", "") == error
    assert 0 < int(ended["last_event"]) < EVENTS
    assert ended["written"] is False


async def test_a_request_whose_body_does_not_arrive_has_no_line():
    async with running() as (bench, lines):
        caller = Caller(bench.addresses[0])
        caller.socket.sendall(request_bytes("half", length=1000, body=b"x" * 10))
        await pool_fleet.until(lambda: bench.relays[0].in_flight)
        caller.leave()
        ended = await end_of(lines, "half")
    assert (ended["outcome"], ended["closed_by"]) == ("incomplete", "caller")
    assert ended["path"] == "/draft/one"


async def test_a_request_whose_chunks_are_malformed_has_no_line():
    async with running() as (bench, lines):
        caller = Caller(bench.addresses[0])
        head = request_bytes("odd", body=b"").replace(b"Content-Length: 1", CHUNKED)
        caller.socket.sendall(head + b"no-number\r\n")
        ended = await end_of(lines, "odd")
    assert ended["outcome"] == "incomplete"


async def test_a_request_that_is_cancelled_before_its_first_step_has_no_line():
    async with running() as (bench, lines):
        relay = bench.relays[0]
        spawn = relay._request_tasks.spawn

        def spawn_and_cancel(handling, **options):
            task = spawn(handling, **options)
            task.cancel()
            return task

        relay._request_tasks.spawn = spawn_and_cancel
        caller = Caller(bench.addresses[0])
        caller.socket.sendall(request_bytes("early"))
        ended = await end_of(lines, "early")
        relay._request_tasks.spawn = spawn
        held = relay._bodies.held
    assert ended["outcome"] == "incomplete"
    assert held == 0


async def test_a_request_that_a_fault_of_the_node_ends_has_no_outcome():
    async with running() as (bench, lines):

        async def fail(*arguments):
            raise RuntimeError("induced")

        bench.forwarders[0].stream = fail
        caller = Caller(bench.addresses[0])
        caller.socket.sendall(request_bytes("faulty"))
        ended = await end_of(lines, "faulty")
        assert await asyncio.to_thread(caller.socket.recv, 10_000) == b""
    assert (ended["outcome"], ended["reason"]) == ("internal_error", "RuntimeError: induced")
    assert ended["route"] == "draft"


async def test_the_end_of_a_broken_off_stream_does_not_tell_what_broke_it():
    async with running(cut_streams=1) as (bench, lines):
        with contextlib.suppress(Exception):
            await bench.draft(attempt="broken")
        ended = await end_of(lines, "broken")
    assert (ended["outcome"], ended["log_level"]) == ("broken_off", "warning")
    assert (ended["closed_by"], ended["written"]) == ("node", False)
    assert (ended["events"], ended["last_event"]) == (2, "2")
    assert ended["repeats"] == ["lost"]
    assert ended["last_failure"].startswith("Lost: ")


async def test_the_end_of_a_stream_that_was_resumed_does_not_tell_why():
    async with running(cut_streams=1, event_seconds=0.05) as (bench, lines):
        calling = asyncio.create_task(bench.draft(attempt="resumed"))
        await pool_fleet.until(lambda: bench.fleet.runs_of("resumed"))
        for runner in bench.fleet.runners_by_id.values():
            runner.options.cut_streams = 0
        answer = await calling
        ended = await end_of(lines, "resumed")
    assert pool_nodes.event_ids(answer.body)[-1] == EVENTS
    assert ended["outcome"] == "streamed"
    assert ended["repeats"] == ["lost"]
    assert ended["last_failure"].startswith("Lost: ")
