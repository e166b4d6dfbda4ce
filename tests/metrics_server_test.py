"""The metrics server of a node, on loopback."""

import asyncio
import contextlib

from basilpost.core import kernel
from basilpost.node import metrics
from tests import processes

SCRAPE = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"


async def test_a_stopped_metrics_server_reads_no_scrape_from_a_kept_connection():
    node, port = kernel.Kernel(node_id="node-1"), processes.free_port()
    server = metrics.MetricsServer(kernel=node, host="127.0.0.1", port=port)
    await server.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(SCRAPE)
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
    await server.stop()
    writer.write(SCRAPE)
    with contextlib.suppress(ConnectionError):
        assert b"HTTP/1.1" not in await asyncio.wait_for(reader.read(), 2)
    writer.close()
