"""Tests of a listener in a process without descriptors for further connections."""

import asyncio
import contextlib
import os
import resource
import socket

import pytest
import tornado.netutil
import tornado.web

from basilpost.core import connection_limits, kernel, listener

CROWD = 24
# Descriptors that are free for the crowd.
FREE = 6
# Passes of the event loop in which it has to have looked at the whole crowd.
PASSES = 200
WHOLE = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class SlowHandler(tornado.web.RequestHandler):
    async def get(self):
        await asyncio.sleep(float(self.request.headers.get("Seconds", "0")))
        self.finish(b"ok")


@contextlib.contextmanager
def free_descriptors(count):
    """Lowers the limit of this process so that it may open this many descriptors more."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    highest = max(map(int, os.listdir("/proc/self/fd")))
    # Takes all descriptors below the highest one.
    taken = [socket.socket() for _ in range(highest)]
    for sock in taken:
        if sock.fileno() > highest:
            sock.close()
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 1 + count, hard))
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for sock in taken:
            sock.close()


class Bench:
    """A listener, callers whose sockets are open already, and the errors of the event loop."""

    def __init__(self):
        self.errors = []
        self.server = listener.Listener(
            tornado.web.Application([("/", SlowHandler)], log_function=lambda handler: None),
            name="test",
            kernel=kernel.Kernel(node_id="node-1"),
            limits=connection_limits.Limits,
        )
        sockets = tornado.netutil.bind_sockets(0, address="127.0.0.1")
        self.address = sockets[0].getsockname()
        self.server.add_sockets(sockets)
        self.callers = [socket.socket() for _ in range(CROWD)]
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: self.errors.append(context)
        )

    async def connect(self, caller, data=b""):
        caller.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            caller.connect(self.address)
        await asyncio.sleep(0.01)
        with contextlib.suppress(ConnectionError):
            caller.send(data)
        await asyncio.sleep(0.01)

    async def stop(self):
        self.server.stop_accepting()
        await self.server.close_all_connections()
        for caller in self.callers:
            caller.close()


@pytest.fixture
async def bench():
    bench = Bench()
    yield bench
    await bench.stop()


def received(caller):
    """Returns what a caller has received; None if its connection is open without it."""
    try:
        return caller.recv(65_536)
    except BlockingIOError:
        return None
    except ConnectionError:
        return b""


# Each pass of the event loop failed and left the connection in the queue of the listening socket.
async def test_a_crowd_without_requests_keeps_new_callers_in_the_queue(bench):
    with free_descriptors(FREE):
        for caller in bench.callers[:-1]:
            await bench.connect(caller)
        await bench.connect(bench.callers[-1], WHOLE)
        for _ in range(PASSES):
            await asyncio.sleep(0)
        assert not bench.errors
        await asyncio.sleep(0.1)
        assert (received(bench.callers[-1]) or b"").startswith(b"HTTP/1.1 200")


async def test_a_crowd_with_requests_makes_accepting_fail_in_each_pass(bench):
    slow = WHOLE[:-2] + b"Seconds: 1.5\r\n\r\n"
    with free_descriptors(FREE):
        for caller in bench.callers:
            await bench.connect(caller, slow)
        await asyncio.sleep(0.1)
        refused = [caller for caller in bench.callers if received(caller) == b""]
        assert not bench.errors
        assert CROWD - FREE <= len(refused) < CROWD
    await asyncio.sleep(2.0)
    answered = [caller for caller in bench.callers if (received(caller) or b"").startswith(b"HTTP")]
    assert len(answered) == CROWD - len(refused)
