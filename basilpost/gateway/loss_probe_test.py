"""Tests of the probe that tells crashed targets from lost answers."""

import asyncio

import pytest
import structlog

from basilpost.core import channels
from basilpost.gateway import loss_probe
from basilpost.routing import crash_evidence

PATH_CHECK_SECONDS = 0.03
WAIT_SECONDS = loss_probe.GATHER_SECONDS * 4 + PATH_CHECK_SECONDS


class FakeChannel:
    def __init__(self, *, aborted=False):
        self.aborted = aborted
        self.closed = False

    async def closes_within(self, seconds):
        return self.aborted

    def close(self):
        self.closed = True


@pytest.fixture
def crashes():
    return []


def make_probe(crashes, result, connects, *, has_path=True, down=None):
    async def connect(address, timeout):
        connects.append(address)
        return result

    def on_crash(target_id, lost):
        crashes.append((target_id, [request.fingerprint for request in lost]))

    async def find_path(service):
        await asyncio.sleep(PATH_CHECK_SECONDS)
        return has_path

    return loss_probe.LossProbe(
        connect=connect,
        has_path=find_path,
        on_down=(down if down is not None else []).append,
        on_crash=on_crash,
        log=structlog.get_logger(),
    )


def lost(fingerprint):
    return crash_evidence.LostRequest(fingerprint=fingerprint, parts=())


async def test_a_target_that_refuses_connections_has_crashed_with_all_its_requests(crashes):
    connects = []
    probe = make_probe(crashes, channels.ConnectFailed(reason="refused"), connects)
    for name in "abc":
        probe.report_loss("t", "h:1", lost(name), service="s")
    await asyncio.sleep(WAIT_SECONDS)
    assert crashes == [("t", ["a", "b", "c"])]
    assert connects == ["h:1"]


async def test_a_target_that_accepts_connections_has_not_crashed(crashes):
    channel = FakeChannel()
    probe = make_probe(crashes, channel, [])
    probe.report_loss("t", "h:1", lost("a"), service="s")
    await asyncio.sleep(WAIT_SECONDS)
    assert crashes == []
    assert channel.closed


async def test_a_target_behind_a_proxy_that_aborts_connections_has_crashed(crashes):
    probe = make_probe(crashes, FakeChannel(aborted=True), [])
    probe.report_loss("t", "h:1", lost("a"), service="s")
    await asyncio.sleep(WAIT_SECONDS)
    assert crashes == [("t", ["a"])]


@pytest.mark.parametrize("aborts", [False, True])
async def test_a_connection_shows_whether_it_is_aborted_at_once(aborts):
    async def serve(reader, writer):
        if aborts:
            writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    channel = await channels.Pool().acquire(f"{host}:{port}", timeout=1.0)
    assert await channel.closes_within(0.05) is aborts
    channel.close()
    server.close()


async def test_a_node_that_reaches_no_target_takes_them_for_crashed(crashes):
    probe = make_probe(crashes, channels.ConnectFailed(reason="refused"), [], has_path=False)
    probe.report_loss("t", "h:1", lost("a"), service="s")
    await asyncio.sleep(WAIT_SECONDS)
    assert crashes == []


async def test_a_dead_target_attracts_requests_until_the_path_is_checked(crashes):
    down = []
    probe = make_probe(crashes, channels.ConnectFailed(reason="refused"), [], down=down)
    probe.report_loss("t", "h:1", lost("a"), service="s")
    await asyncio.sleep(loss_probe.GATHER_SECONDS * 2)
    assert (down, crashes) == (["t"], [])
    await asyncio.sleep(WAIT_SECONDS)
    assert crashes == [("t", ["a"])]
