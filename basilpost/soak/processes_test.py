"""Tests of the node processes of the soak."""

import pytest

from basilpost.emulator import pool_fleet
from basilpost.soak import processes


@pytest.mark.processes
async def test_a_reload_before_the_interpreter_runs_ends_a_node(tmp_path):
    """Guards against a node that ends with -1 as SIGHUP arrives before its first line of code."""
    fleet = pool_fleet.PoolFleet(vms=0, plain_instances=1)
    await fleet.start()
    node = processes.NodeProcess(
        node_id="node-0",
        store=fleet.store.address,
        folder=tmp_path,
        grace_seconds=2,
        stop_seconds=5,
    )
    try:
        await node.start()
        node.reload()
        log = tmp_path / "node-0.log"
        await pool_fleet.until(
            lambda: processes.STARTED_EVENT in log.read_bytes() or node.has_ended(), seconds=20
        )
        assert not node.has_ended()
        node.reload()
        await pool_fleet.until(lambda: b"settings_reload_ignored" in log.read_bytes())
        node.record_own_end()
        assert node.own_ends == []
    finally:
        await node.close()
        await fleet.stop()
