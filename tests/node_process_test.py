"""The process of a node, before the emulated platform."""

import asyncio
import contextlib
import os
import signal

import pytest

from tests import processes

pytestmark = [pytest.mark.processes, pytest.mark.timeout(90)]


@pytest.fixture
async def bench(tmp_path):
    bench = processes.Bench(folder=tmp_path)
    try:
        await bench.start_platform()
        await bench.start_nodes({"node-1": "a"})
        yield bench
    finally:
        await bench.stop()


async def test_a_second_sigterm_while_the_process_ends_does_not_kill_it(bench):
    node = bench.nodes_by_id["node-1"]
    process = os.pidfd_open(node.child.pid)
    node.send(signal.SIGTERM)
    log = bench.folder / "node-1.log"

    async def stopped():
        return "node_stopped" in log.read_text()

    await processes.eventually(stopped)
    with contextlib.suppress(ProcessLookupError):
        while node.child.returncode is None:
            signal.pidfd_send_signal(process, signal.SIGTERM)
            await asyncio.sleep(0.002)
    os.close(process)
    assert await node.child.wait() == 0
