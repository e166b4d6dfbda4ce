"""Tests of the HTTP runner client against a minimal runner."""

import asyncio
import socket

import pytest
from tornado import httpserver, netutil, web

from basilpost.core import clock, codec
from basilpost.groups import http_runner_client, runner_api

ORDER = runner_api.Order(kind=runner_api.OrderKind.LOAD, fence=3, group_id="g", model="m")


class Runner:
    """Answers like a runner, and records the orders whose bodies it received completely."""

    def __init__(self):
        self.orders = []
        self.refuses = False
        owner = self

        class Orders(web.RequestHandler):
            def post(self):
                owner.orders.append(codec.from_json(self.request.body, runner_api.Order))
                self.set_status(409 if owner.refuses else 200)
                self.finish({})

        class Status(web.RequestHandler):
            def get(self):
                status = runner_api.RunnerStatus(vm_id="vm-1", state=runner_api.RunnerState.READY)
                self.finish(codec.to_json(status))

        class Health(web.RequestHandler):
            def get(self):
                self.finish("fine")

        application = web.Application(
            [("/orders", Orders), ("/status", Status), ("/healthz", Health)]
        )
        self.server = httpserver.HTTPServer(application)
        (sock,) = netutil.bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        self.address = f"127.0.0.1:{sock.getsockname()[1]}"
        self.server.add_sockets([sock])


@pytest.fixture
async def runner():
    started = Runner()
    yield started
    started.server.stop()


async def test_status_order_and_refusal(runner):
    client = http_runner_client.HttpRunnerClient()
    status = await client.status(runner.address)
    assert (status.vm_id, status.state) == ("vm-1", runner_api.RunnerState.READY)
    plain = await client.status(runner.address, plain=True)
    assert plain.state is runner_api.RunnerState.READY
    assert await client.order(runner.address, ORDER) == runner_api.Accepted()
    assert runner.orders == [ORDER]
    runner.refuses = True
    assert isinstance(await client.order(runner.address, ORDER), runner_api.StaleFence)


async def test_a_silent_runner_is_unreachable_in_time():
    listener = socket.create_server(("127.0.0.1", 0))
    client = http_runner_client.HttpRunnerClient()
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    status = await client.status(address, timeout=0.1)
    assert isinstance(status, runner_api.Unreachable)
    listener.close()
    assert isinstance(await client.status(address, timeout=0.5), runner_api.Unreachable)


async def test_an_order_is_not_completed_after_its_timeout(runner, monkeypatch):
    client = http_runner_client.HttpRunnerClient()
    real, jumps = clock.monotonic, []

    def jumping():
        jumps.append(1)
        return real() + (60.0 if len(jumps) > 1 else 0.0)

    monkeypatch.setattr(clock, "monotonic", jumping)
    result = await client.order(runner.address, ORDER, timeout=1.0)
    await asyncio.sleep(0.05)
    assert isinstance(result, runner_api.Unreachable)
    assert runner.orders == []
