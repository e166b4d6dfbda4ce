"""A node that sends requests for others ends in the middle of its answer, mostly within the head."""

import asyncio
import contextlib
import json

import pytest
import tornado.httpclient
import tornado.iostream

from basilpost.emulator import pool_fleet
from basilpost.gateway import detours
from tests import cut_links, pool_cut_off_test, pool_nodes

READ_BYTES = 65_536
NOTHING_CUT = 1_000_000
EVENTS = 6


class CuttingProxy:
    """Passes requests on, and of each answer only the first bytes.

    Attributes:
        passed_bytes: Bytes of each answer that are passed on before the connection ends.
        resets: True to reset the connection then, False to close it.
        received: Length of the last answer so far.
    """

    def __init__(self):
        self.passed_bytes = NOTHING_CUT
        self.resets = False
        self.received = 0
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
        upstream = asyncio.create_task(_copy(reader, node_writer))
        self.received = 0
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await node_reader.read(READ_BYTES):
                writer.write(data[: max(0, self.passed_bytes - self.received)])
                self.received += len(data)
                if self.received >= self.passed_bytes:
                    break
            await writer.drain()
        upstream.cancel()
        if self.resets:
            writer.transport.abort()
        writer.close()
        node_writer.transport.abort()


async def _copy(reader, writer):
    while data := await reader.read(READ_BYTES):
        writer.write(data)


@contextlib.asynccontextmanager
async def detouring(monkeypatch):
    """Runs two nodes of which the first has no path; the way to the second leads over a proxy."""
    proxy = CuttingProxy()
    async with pool_nodes.running(nodes=2, vms=3) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        await pool_cut_off_test.lose_path(bench, 0, cut_links.Kind.RESET)
        record = bench.feeds[0]._table.records_by_id[bench.kernels[1].node_id]
        address = await proxy.start(detours.detour_address(record))
        monkeypatch.setattr(detours, "detour_address", lambda record: address)
        bench.relays[0]._detours.pool.close()
        try:
            yield bench, proxy
        finally:
            proxy.stop()


async def send(bench, path):
    """Returns the status of an answer, and True if it is the whole one of its own request."""
    try:
        answer = await bench.call(path, node=0, X_Deadline_Ms="1500")
    except (tornado.iostream.StreamClosedError, tornado.httpclient.HTTPError):
        return 0, False
    if path.startswith("/draft"):
        return answer.code, pool_nodes.event_ids(answer.body) == list(range(1, EVENTS + 1))
    with contextlib.suppress(ValueError):
        return answer.code, json.loads(answer.body).get("attempt") == answer.attempt
    return answer.code, False


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("path", ["/filing/a", "/lookup/a", "/draft/a"])
async def test_a_head_that_is_cut_short_becomes_a_whole_answer(monkeypatch, path, resets):
    async with detouring(monkeypatch) as (bench, proxy):
        assert await send(bench, path) == (200, True)
        length = proxy.received
        proxy.resets = resets
        cuts = sorted({*range(0, length, 9), *range(length - 12, length)})
        for passed_bytes in cuts:
            proxy.passed_bytes = passed_bytes
            runs_before = sum(len(runner.runs) for runner in bench.fleet.runners_by_id.values())
            status, whole = await send(bench, path)
            runs = sum(len(runner.runs) for runner in bench.fleet.runners_by_id.values())
            assert status != 200 or whole, passed_bytes
            assert status not in (429, 503) or runs == runs_before, passed_bytes
            if path.startswith("/filing"):
                assert runs - runs_before <= 1
