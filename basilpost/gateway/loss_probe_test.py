"""Tests of the probe that tells crashed targets from lost answers."""

import asyncio
import math

import pytest
import structlog

from basilpost.core import channels, clock
from basilpost.gateway import loss_probe
from basilpost.routing import crash_evidence

PATH_CHECK_SECONDS = 0.03
WAIT_SECONDS = loss_probe.GATHER_SECONDS * 4 + PATH_CHECK_SECONDS


class FakeChannel:
    """A connection that the other end closes some time after it was opened."""

    def __init__(self, *, closes_after=math.inf):
        self.closes_after = closes_after
        self.closed = False

    async def closes_within(self, seconds):
        waited = min(seconds, self.closes_after)
        await asyncio.sleep(waited)
        self.closes_after -= waited
        return self.closes_after <= 0

    def close(self):
        self.closed = True


@pytest.fixture
def crashes():
    return []


def make_probe(crashes, result, connects, *, has_path=True, ended_at=math.inf, down=None):
    """Makes a probe whose connections all end in one result, or in one of a list after the other."""

    async def connect(address, timeout):
        connects.append(address)
        return result.pop(0) if isinstance(result, list) else result

    def on_crash(target_id, lost, age):
        crashes.append((target_id, [request.fingerprint for request in lost]))

    async def find_path(service):
        await asyncio.sleep(PATH_CHECK_SECONDS)
        return has_path

    return loss_probe.LossProbe(
        connect=connect,
        has_path=find_path,
        has_ended=lambda lifetime: clock.elapsed() >= ended_at,
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
    await asyncio.sleep(WAIT_SECONDS + loss_probe.WATCH_SECONDS)
    assert crashes == []
    assert channel.closed


async def test_a_target_behind_a_proxy_that_aborts_connections_has_crashed(crashes):
    probe = make_probe(crashes, FakeChannel(closes_after=0), [])
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


REFUSED = channels.ConnectFailed(reason="refused")
TIMED_OUT = channels.ConnectFailed(reason="no connection in time", timed_out=True)


@pytest.mark.parametrize("name", ["report_loss", "report_cancelled"])
async def test_a_target_crashes_after_its_request_was_cancelled(crashes, name):
    """Nobody waits for the answer by then, as the caller has left or the deadline has passed."""
    probe = make_probe(crashes, [FakeChannel(closes_after=0.3), REFUSED], [])
    getattr(probe, name)("t", "h:1", lost("a"), service="s")
    await asyncio.sleep(0.3 + WAIT_SECONDS)
    assert crashes == [("t", ["a"])]


async def test_a_request_is_blamed_for_a_crash_long_after_its_caller_has_left(crashes):
    """A later request keeps the target watched; the crash counts against that one only."""
    probe = make_probe(crashes, [FakeChannel(), FakeChannel(closes_after=0.2), REFUSED], [])
    probe.report_cancelled("t", "h:1", lost("early"), service="s")
    await asyncio.sleep(loss_probe.WATCH_SECONDS / 2)
    probe.report_cancelled("t", "h:1", lost("late"), service="s")
    await asyncio.sleep(loss_probe.WATCH_SECONDS)
    assert crashes == [("t", ["late"])]


async def test_a_connection_that_was_reset_on_its_way_counts_as_a_crash(crashes):
    probe = make_probe(crashes, [FakeChannel(closes_after=0.1), FakeChannel()], [])
    probe.report_cancelled("t", "h:1", lost("a"), service="s")
    await asyncio.sleep(loss_probe.WATCH_SECONDS + WAIT_SECONDS)
    assert crashes == []


async def test_a_proxy_that_aborts_connections_late_hides_a_crash(crashes):
    late = loss_probe.ABORT_SECONDS * 2
    probe = make_probe(
        crashes, [FakeChannel(closes_after=late), FakeChannel(closes_after=late)], []
    )
    probe.report_loss("t", "h:1", lost("a"), service="s")
    await asyncio.sleep(late * 2 + WAIT_SECONDS)
    assert crashes == [("t", ["a"])]


async def test_a_link_on_which_nothing_passes_makes_its_target_look_crashed(crashes):
    """The deadlines of requests on it pass; the target lives."""
    silent = make_probe(crashes, [TIMED_OUT, FakeChannel()], [])
    silent.report_cancelled("t", "h:1", lost("a"), service="s")
    await asyncio.sleep(loss_probe.WATCH_SECONDS + WAIT_SECONDS)
    assert crashes == []


async def test_all_requests_that_ended_lately_are_named_once(crashes):
    connects = []
    probe = make_probe(crashes, [FakeChannel(closes_after=0.2), REFUSED], connects)
    for number in range(loss_probe.MAX_REQUESTS + 10):
        probe.report_cancelled("t", "h:1", lost(str(number)), service="s")
    await asyncio.sleep(0.2 + WAIT_SECONDS)
    (crash,) = crashes
    assert crash == ("t", [str(number) for number in range(10, loss_probe.MAX_REQUESTS + 10)])
    assert connects == ["h:1", "h:1"]


@pytest.mark.parametrize("ends", [False, True])
async def test_no_crash_counts_while_all_targets_of_a_service_are_down(crashes, ends):
    """By its links alone the node cannot tell a service whose targets all crashed from a lost path."""
    ended_at = clock.elapsed() + WAIT_SECONDS + 0.2 if ends else math.inf
    probe = make_probe(crashes, REFUSED, [], has_path=False, ended_at=ended_at)
    probe.report_loss("t", "h:1", lost("a"), service="s", lifetime="vm@1")
    await asyncio.sleep(WAIT_SECONDS)
    assert crashes == []
    await asyncio.sleep(0.2 + loss_probe.CONFIRM_POLL_SECONDS * 2)
    assert crashes == ([("t", ["a"])] if ends else [])


async def test_a_target_that_closes_idle_connections_looks_crashed(crashes):
    """Requests are cancelled all the while, so that the target is watched for long."""
    idle_seconds = loss_probe.HOLD_SECONDS * 1.2
    probe = make_probe(crashes, [FakeChannel(closes_after=idle_seconds) for _ in range(20)], [])
    for _ in range(40):
        probe.report_cancelled("t", "h:1", lost("a"), service="s")
        await asyncio.sleep(0.1)
    assert crashes == []
    await probe.close()
