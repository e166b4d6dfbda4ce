"""Tests of the limits of time on connections, with the clock of the event loop paused and advanced."""

import asyncio
import contextlib
import socket

import pytest
import tornado.iostream
import tornado.web

from basilpost.core import connection_limits, kernel, listener

pytestmark = pytest.mark.looptime

LIMITS = connection_limits.Limits(header_seconds=5.0, idle_seconds=12.0)
WHOLE = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
TURNS = 20


class SlowHandler(tornado.web.RequestHandler):
    async def get(self):
        await asyncio.sleep(float(self.request.headers.get("Seconds", "0")))
        self.finish(b"ok")


class Bench:
    """A listener whose connections are socket pairs."""

    def __init__(self):
        self.kernel = kernel.Kernel(node_id="node-1")
        self.limits = LIMITS
        self.listener = listener.Listener(
            tornado.web.Application([("/", SlowHandler)], log_function=lambda handler: None),
            name="test",
            kernel=self.kernel,
            limits=lambda: self.limits,
        )
        self._callers = []

    async def connect(self):
        """Returns the caller's end of a new connection, which the listener waits on."""
        caller = self.connect_now()
        await self.turn()
        return caller

    def connect_now(self):
        """Returns the caller's end of a connection that was accepted just now."""
        caller, accepted = socket.socketpair()
        caller.setblocking(False)
        self._callers.append(caller)
        self.listener.handle_stream(tornado.iostream.IOStream(accepted), ("127.0.0.1", 1))
        return caller

    async def turn(self):
        """Lets the listener read and write what it can, without time passing."""
        for _ in range(TURNS):
            await asyncio.sleep(0)

    async def send(self, caller, data):
        with contextlib.suppress(BrokenPipeError):
            caller.send(data)
        await self.turn()

    async def pass_time(self, seconds):
        await asyncio.sleep(seconds)
        await self.turn()

    def closed(self, cause):
        """Returns the number of connections that were closed by a limit."""
        value = self.kernel.registry.get_sample_value(
            "basilpost_connections_closed_total", {"listener": "test", "cause": cause}
        )
        return int(value or 0)

    async def stop(self):
        self.listener.stop_accepting()
        await self.listener.close_all_connections()
        for caller in self._callers:
            caller.close()


@pytest.fixture
async def bench():
    bench = Bench()
    yield bench
    await bench.stop()


def is_open(caller):
    try:
        return caller.recv(65_536) != b""
    except BlockingIOError:
        return True


async def test_a_head_is_given_the_limit_from_its_first_byte(bench):
    caller = await bench.connect()
    await bench.pass_time(9.0)
    await bench.send(caller, WHOLE[:5])
    await bench.pass_time(4.9)
    assert is_open(caller)
    await bench.pass_time(2 * listener.SWEEP_SECONDS)
    assert not is_open(caller)
    assert (bench.closed("head"), bench.closed("idle")) == (1, 0)


async def test_a_byte_now_and_then_does_not_extend_the_limit_of_a_head(bench):
    caller = await bench.connect()
    for byte in WHOLE[:7]:
        await bench.send(caller, bytes([byte]))
        await bench.pass_time(1.0)
    assert not is_open(caller)


async def test_a_head_in_ten_pieces_within_the_limit_is_served(bench):
    caller = await bench.connect()
    for begin in range(0, len(WHOLE), 3):
        await bench.send(caller, WHOLE[begin : begin + 3])
        await bench.pass_time(0.45)
    assert caller.recv(65_536).startswith(b"HTTP/1.1 200")


async def test_an_idle_connection_is_closed_after_the_limit_and_not_sooner(bench):
    caller = await bench.connect()
    await bench.send(caller, WHOLE)
    for _ in range(3):
        assert caller.recv(65_536).startswith(b"HTTP/1.1 200")
        await bench.pass_time(LIMITS.idle_seconds - 0.1)
        await bench.send(caller, WHOLE)
    assert caller.recv(65_536).startswith(b"HTTP/1.1 200")
    await bench.pass_time(LIMITS.idle_seconds + listener.SWEEP_SECONDS)
    assert not is_open(caller)
    assert bench.closed("idle") == 1


async def test_a_connection_with_a_request_is_not_closed(bench):
    caller = await bench.connect()
    await bench.send(caller, b"GET / HTTP/1.1\r\nHost: x\r\nSeconds: 40\r\n\r\n")
    await bench.pass_time(39.0)
    assert is_open(caller) and bench.listener.busy == 1
    await bench.pass_time(2.0)
    assert caller.recv(65_536).startswith(b"HTTP/1.1 200")


# A sweep that comes before the read of a request must not close its connection.
async def test_a_request_that_arrived_with_the_limit_is_served(bench):
    caller = await bench.connect()
    await bench.pass_time(LIMITS.idle_seconds - 0.5)
    caller.send(WHOLE)
    bench.limits = connection_limits.Limits(header_seconds=0.0, idle_seconds=0.0)
    bench.listener._sweep()
    await bench.turn()
    assert caller.recv(65_536).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("turns", range(4))
async def test_a_request_that_was_read_and_not_parsed_is_served(bench, turns):
    caller = await bench.connect()
    caller.send(WHOLE)
    for _ in range(turns):
        await asyncio.sleep(0)
    bench.limits = connection_limits.Limits(header_seconds=0.0, idle_seconds=1e9)
    bench.listener._sweep()
    await bench.turn()
    assert caller.recv(65_536).startswith(b"HTTP/1.1 200")


async def test_limits_that_change_bind_open_connections(bench):
    caller = await bench.connect()
    await bench.pass_time(3.0)
    bench.limits = connection_limits.Limits(header_seconds=1.0, idle_seconds=1.0)
    await bench.pass_time(listener.SWEEP_SECONDS)
    assert not is_open(caller)


async def test_a_listener_without_connections_has_no_timer(bench):
    caller = await bench.connect()
    caller.close()
    await bench.pass_time(2 * listener.SWEEP_SECONDS)
    assert bench.listener._sweep_timer is None


async def test_a_new_connection_replaces_the_one_without_a_request_for_longest(bench):
    bench.limits = connection_limits.Limits(max_connections=3)
    busy = await bench.connect()
    await bench.send(busy, b"GET / HTTP/1.1\r\nHost: x\r\nSeconds: 9\r\n\r\n")
    kept, waiting = await bench.connect(), await bench.connect()
    await bench.pass_time(1.0)
    await bench.send(kept, WHOLE)
    assert kept.recv(65_536).startswith(b"HTTP/1.1 200")
    await bench.send(await bench.connect(), WHOLE[:9])
    assert not is_open(waiting) and is_open(kept) and is_open(busy)
    await bench.connect()
    assert not is_open(kept) and is_open(busy)
    await bench.pass_time(listener.SWEEP_SECONDS)
    assert bench.closed("replaced") == 2


async def test_a_new_connection_is_closed_if_all_others_carry_requests(bench):
    bench.limits = connection_limits.Limits(max_connections=2)
    busy = [await bench.connect() for _ in range(2)]
    for caller in busy:
        await bench.send(caller, b"GET / HTTP/1.1\r\nHost: x\r\nSeconds: 3\r\n\r\n")
    assert not is_open(await bench.connect())
    await bench.pass_time(4.0)
    assert all(caller.recv(65_536).startswith(b"HTTP/1.1 200") for caller in busy)
    assert bench.closed("refused") == 1
    await bench.send(last := await bench.connect(), WHOLE)
    assert last.recv(65_536).startswith(b"HTTP/1.1 200")


async def test_a_connection_with_an_unread_request_is_not_replaced(bench):
    bench.limits = connection_limits.Limits(max_connections=1)
    caller = await bench.connect()
    caller.send(WHOLE)
    other = bench.connect_now()
    await bench.turn()
    assert caller.recv(65_536).startswith(b"HTTP/1.1 200")
    assert not is_open(other)


async def test_a_request_beyond_the_limit_of_an_answer_is_closed(bench):
    bench.limits = connection_limits.Limits(answer_seconds=2.0)
    quick, slow = await bench.connect(), await bench.connect()
    await bench.send(quick, b"GET / HTTP/1.1\r\nHost: x\r\nSeconds: 1.9\r\n\r\n")
    await bench.send(slow, b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n")
    await bench.pass_time(2.0 + listener.SWEEP_SECONDS)
    assert quick.recv(65_536).startswith(b"HTTP/1.1 200")
    assert not is_open(slow)
    assert bench.closed("answer") == 1


async def test_the_oldest_unfinished_request_makes_room_where_answers_are_made_at_once(bench):
    bench.limits = connection_limits.Limits(answer_seconds=60.0, max_connections=2)
    unfinished = [await bench.connect() for _ in range(2)]
    for caller in unfinished:
        await bench.send(caller, b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n")
    await bench.send(last := await bench.connect(), WHOLE)
    assert last.recv(65_536).startswith(b"HTTP/1.1 200")
    assert [is_open(caller) for caller in unfinished] == [False, True]


async def test_the_oldest_unfinished_body_makes_room_and_no_request_that_is_answered(bench):
    bench.limits = connection_limits.Limits(max_connections=3)
    answered = await bench.connect()
    await bench.send(answered, b"GET / HTTP/1.1\r\nHost: x\r\nSeconds: 3\r\n\r\n")
    unfinished = [await bench.connect() for _ in range(2)]
    for caller in unfinished:
        await bench.send(caller, b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n12345678")
    await bench.send(last := await bench.connect(), WHOLE)
    assert last.recv(65_536).startswith(b"HTTP/1.1 200")
    assert [is_open(caller) for caller in unfinished] == [False, True]
    await bench.pass_time(3.0)
    assert answered.recv(65_536).startswith(b"HTTP/1.1 200")
