"""Tests of HTTP calls: which connections are kept, and whether a failed call may have been sent."""

import asyncio
import contextlib
import dataclasses

from tornado import httpserver, netutil, web

from basilpost.core import data
from basilpost.store import http_calls, http_vms

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ScriptedServer:
    """Answers requests; each connection goes silent or closes after a number of answers."""

    def __init__(self):
        self.connections = 0
        self.answers_before_silence = 1000
        self.answers_before_close = 1000
        self.extra_answer = b""

    async def serve(self, reader, writer):
        self.connections += 1
        answered = 0
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                if answered >= self.answers_before_close:
                    break
                if answered < self.answers_before_silence:
                    writer.write(ANSWER + self.extra_answer)
                answered += 1
        writer.close()


@contextlib.asynccontextmanager
async def serve_and_connect():
    server = ScriptedServer()
    async with await asyncio.start_server(server.serve, "127.0.0.1", 0) as listener:
        port = listener.sockets[0].getsockname()[1]
        client = http_calls.HttpClient(base_url=f"http://127.0.0.1:{port}")
        yield server, client
        client.close()


PUT = http_calls.Call(method="PUT", path="/x", body=b"1")


async def test_reads_share_a_connection_and_writes_do_not():
    async with serve_and_connect() as (server, client):
        for _ in range(3):
            assert (await client.read("/x", timeout=5)).body == b"ok"
        assert server.connections == 1
        await client.write(PUT, timeout=5)
        await client.write(PUT, timeout=5)
        assert server.connections == 3


async def test_concurrent_reads_have_a_connection_each():
    async with serve_and_connect() as (server, client):
        await asyncio.gather(*(client.read("/x", timeout=5) for _ in range(4)))
        assert server.connections == 4


async def test_a_read_survives_a_kept_connection_that_went_silent():
    async with serve_and_connect() as (server, client):
        server.answers_before_silence = 1
        assert isinstance(await client.read("/x", timeout=5), http_calls.Reply)
        assert isinstance(await client.read("/x", timeout=0.4), http_calls.Reply)
        assert server.connections == 2


async def test_a_read_survives_a_kept_connection_that_closes():
    async with serve_and_connect() as (server, client):
        server.answers_before_close = 1
        assert isinstance(await client.read("/x", timeout=5), http_calls.Reply)
        assert isinstance(await client.read("/x", timeout=5), http_calls.Reply)


async def test_a_read_gets_an_answer_that_waited_on_a_kept_connection():
    """A server that answers a read twice must not have the second answer taken for that to the next one."""
    async with serve_and_connect() as (server, client):
        server.extra_answer = ANSWER.replace(b"ok", b"no")
        for _ in range(3):
            assert (await client.read("/x", timeout=5)).body == b"ok"
            await asyncio.sleep(0.02)


async def test_a_write_without_an_answer_counts_as_sent():
    async with serve_and_connect() as (server, client):
        server.answers_before_silence = 0
        reply = await client.write(PUT, timeout=0.2)
        assert isinstance(reply, http_calls.NoReply) and reply.sent


async def test_a_write_on_a_refused_connection_counts_as_not_sent():
    async with serve_and_connect() as (_, client):
        pass
    reply = await client.write(PUT, timeout=5)
    assert isinstance(reply, http_calls.NoReply) and not reply.sent


async def test_an_unchanged_vm_list_is_not_sent_again():
    vm = data.Vm(
        vm_id="vm-1", address="127.0.0.1:1", pool="gpu", fabric_domain="f", failure_domain="a"
    )
    etags = []

    class ListHandler(web.RequestHandler):
        def get(self):
            etags.append(self.request.headers.get("If-None-Match", ""))
            self.write({"vms": [dataclasses.asdict(vm) for vm in listed]})

    listed = [vm]
    application = web.Application([(r"/v1/vms", ListHandler)], compress_response=True)
    server = httpserver.HTTPServer(application)
    sockets = netutil.bind_sockets(0, address="127.0.0.1")
    server.add_sockets(sockets)
    vm_list = http_vms.HttpVmList(base_url=f"http://127.0.0.1:{sockets[0].getsockname()[1]}")
    first = await vm_list.fetch()
    assert await vm_list.fetch() is first
    listed.extend(dataclasses.replace(vm, vm_id=f"vm-{number}") for number in range(2, 40))
    assert len((await vm_list.fetch()).vms_by_id) == 39
    assert [bool(etag) for etag in etags] == [False, True, True]
    vm_list.close()
    server.stop()
