"""Tests of status requests, against servers on real sockets."""

import asyncio
import contextlib
import types

import pytest

from basilpost.core import catalog, channels
from basilpost.gateway import status_probe
from basilpost.members import path_probe, reachability_test
from basilpost.platform import headers

CONTACT = path_probe.Contact
ENDLESS = b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 100_000


@contextlib.asynccontextmanager
async def listening(handle):
    """Serves connections with a handler; yields a VM with the server's address."""
    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    vm = reachability_test.make_vm(1)
    async with server:
        yield types.SimpleNamespace(address=f"{host}:{port}", service=vm.service)


def make_probe(*, services=()):
    pool = channels.Pool()
    configuration = types.SimpleNamespace(services_by_name={one.name: one for one in services})
    return status_probe.StatusProbe(
        connect=lambda address, timeout: pool.acquire(address, timeout=timeout, fresh=True),
        dialect=headers.PlatformDialect(),
        knowledge=types.SimpleNamespace(configuration=configuration),
    )


@pytest.mark.parametrize(
    "sent, closes, contact",
    [
        (b"", False, CONTACT.SILENT),
        (b"HTTP/1.1 200", False, CONTACT.SILENT),
        (b"HTTP/1.1 100 Continue\r\n\r\n", False, CONTACT.SILENT),
        (b"", True, CONTACT.UNREACHED),
        (b"HTTP/1.1 200 OK\r\nContent-Le", True, CONTACT.UNREACHED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", False, CONTACT.ANSWERED),
        (b"HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\nx", True, CONTACT.ANSWERED),
        (ENDLESS, False, CONTACT.ANSWERED),
    ],
)
async def test_an_open_connection_counts_as_an_answer(sent, closes, contact):
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        if closes:
            writer.close()
        else:
            await reader.read()

    async with listening(handle) as vm:
        assert await make_probe().ask(vm) is contact


async def test_a_closed_port_counts_as_silent():
    async with listening(lambda reader, writer: None) as vm:
        pass
    assert await make_probe().ask(vm) is CONTACT.UNREACHED


@pytest.mark.parametrize(
    "health_path, path", [("/health", b"/health"), ("", headers.REPORT_PATH.encode())]
)
async def test_the_status_of_a_plain_service_is_asked_at_the_path_of_engines(health_path, path):
    requests = []

    async def handle(reader, writer):
        requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    service = catalog.Service(name="s", cold_per_second=0.0, engine=None, health_path=health_path)
    async with listening(handle) as vm:
        assert await make_probe(services=[service]).ask(vm) is CONTACT.ANSWERED
    (request,) = requests
    assert request.startswith(b"GET " + path + b" HTTP/1.1\r\n")
    assert b"X-Attempt-Id" not in request
