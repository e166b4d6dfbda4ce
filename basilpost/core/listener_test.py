"""Tests of the listener on loopback."""

import asyncio

import pytest
import tornado.netutil
import tornado.web

from basilpost.core import clock, connection_limits, kernel, listener


class EchoHandler(tornado.web.RequestHandler):
    handled = 0

    async def post(self):
        EchoHandler.handled += 1
        await asyncio.sleep(float(self.request.headers.get("Seconds", "0")))
        self.finish(self.request.body)


class Bench:
    """A listener and the connections to it."""

    def __init__(self):
        self.kernel = kernel.Kernel(node_id="node-1")
        self.limits = connection_limits.Limits()
        self.listener = listener.Listener(
            tornado.web.Application([("/", EchoHandler)]),
            name="test",
            kernel=self.kernel,
            limits=lambda: self.limits,
        )
        sockets = tornado.netutil.bind_sockets(0, address="127.0.0.1")
        self.listener.add_sockets(sockets)
        self._address = sockets[0].getsockname()
        self._writers = []

    async def send(self, *, body=b"echo", length=4, seconds=0.0):
        """Sends the head and some of the body on a new connection; returns its reader and writer."""
        reader, writer = await asyncio.open_connection(*self._address)
        self._writers.append(writer)
        writer.write(
            b"POST / HTTP/1.1\r\nHost: x\r\nSeconds: %.1f\r\nContent-Length: %d\r\n\r\n%b"
            % (seconds, length, body)
        )
        await asyncio.sleep(0.05)
        return reader, writer

    def drain(self, seconds=5.0):
        return asyncio.create_task(self.listener.drain(clock.monotonic() + seconds))

    async def stop(self):
        await self.drain(0.0)
        for writer in self._writers:
            writer.close()


@pytest.fixture
async def bench():
    bench = Bench()
    yield bench
    await bench.stop()


async def test_a_drain_answers_a_request_whose_body_is_half_read(bench):
    reader, writer = await bench.send(body=b"ec")
    draining = bench.drain()
    await asyncio.sleep(0.2)
    writer.write(b"ho")
    assert (await reader.read()).endswith(b"\r\n\r\necho")
    assert await draining == 0


async def test_a_drain_closes_a_kept_connection_after_its_answer_and_reads_no_more(bench):
    reader, writer = await bench.send(seconds=0.3)
    draining = bench.drain()
    await asyncio.sleep(0)
    writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nmore")
    answers = await reader.read()
    assert answers.count(b"HTTP/1.1 200") == 1 and answers.endswith(b"echo")
    assert await draining == 0


async def test_a_drain_closes_idle_connections_at_once(bench):
    reader, _ = await bench.send()
    await reader.readuntil(b"echo")
    assert await asyncio.wait_for(bench.drain(), 1) == 0
    assert await reader.read() == b""


async def test_a_drain_counts_the_requests_that_it_cuts(bench):
    reader, _ = await bench.send(seconds=10)
    assert await asyncio.wait_for(bench.drain(0.2), 1) == 1
    assert await reader.read() == b""


@pytest.mark.parametrize("passes", range(8))
async def test_a_request_read_during_the_last_look_is_handled_and_cut(bench, passes):
    reader, writer = await bench.send()
    await reader.readuntil(b"echo")
    handled = EchoHandler.handled
    writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nmore")
    for _ in range(passes):
        await asyncio.sleep(0)
    bench.listener.stop_accepting()
    try:
        answered = (await reader.read()).endswith(b"more")
    except ConnectionResetError:
        answered = False
    assert (EchoHandler.handled > handled) == answered


async def test_connections_that_callers_closed_are_forgotten(bench):
    for _ in range(20):
        reader, writer = await bench.send()
        await reader.readuntil(b"echo")
        writer.close()
    async with asyncio.timeout(5):
        while bench.listener.idle or bench.listener.busy:
            await asyncio.sleep(0.01)
