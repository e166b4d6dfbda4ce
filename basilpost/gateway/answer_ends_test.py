"""Answers without a length: which ends are those of runners' processes, and what telling them apart costs."""

import asyncio

import pytest
import structlog

from basilpost.core import channels, clock
from basilpost.gateway import answer_ends
from basilpost.gateway.answer_ends import Evidence
from basilpost.routing import targets

pytestmark = pytest.mark.looptime

EVENT_SECONDS = 0.05
RUN = "vm@1"
TARGET = targets.Target(
    target_id="vm",
    service="s",
    model="",
    vm_id="vm",
    address="127.0.0.1:1",
    failure_domain="a",
    slots=4,
    pace=1.0,
    cold_until=0.0,
    lifetime=RUN,
)


class FakeSocket:
    """Has nothing to read until its end arrives."""

    ended = False

    def recv(self, size, flags):
        if self.ended:
            return b""
        raise BlockingIOError


class FakeStream:
    def __init__(self):
        self.socket = FakeSocket()
        self._closed = False
        self._on_close = lambda: None

    def set_close_callback(self, callback):
        self._on_close = callback

    def closed(self):
        return self._closed

    def close(self):
        if not self._closed:
            self._closed = True
            asyncio.get_running_loop().call_soon(self._on_close)


class FakePool:
    """Opens connections to one runner.

    Attributes:
        opened: The connections, in their order.
        listens: False once the runner takes no new connection.
        connect_seconds: Time for opening one.
        kept: Connections that are kept for requests.
    """

    def __init__(self):
        self.opened, self.kept = [], []
        self.listens = True
        self.connect_seconds = 0.001

    async def acquire(self, address, *, timeout, fresh, lifetime):
        assert (address, lifetime, fresh) == (TARGET.address, RUN, True)
        await asyncio.sleep(self.connect_seconds)
        if not self.listens:
            return channels.ConnectFailed(reason="refused")
        self.opened.append(channels.Channel(address=address, stream=FakeStream()))
        return self.opened[-1]

    def keep_unused(self, channel):
        self.kept.append(channel)

    def crash(self):
        """Ends the runner's process."""
        self.listens = False
        for channel in self.opened:
            channel.stream.close()


class Bench:
    def __init__(self):
        self.pool = FakePool()
        self.is_replaced = False
        self.ends = answer_ends.AnswerEnds(
            pool=self.pool,
            is_replaced=lambda lifetime: self.is_replaced,
            log=structlog.get_logger(),
        )

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    def begin(self):
        """Begins an answer whose request has been sent just now."""
        return self.ends.watch(TARGET, sent_at=self.now)

    async def hear(self, watch, *, events=10, seconds=EVENT_SECONDS):
        for _ in range(events):
            await asyncio.sleep(seconds)
            watch.record_heard()


@pytest.fixture
def bench(monkeypatch):
    # The machine's clock stands still while the loop's is advanced.
    monkeypatch.setattr(clock, "elapsed", clock.monotonic)
    return Bench()


async def test_a_whole_answer_of_a_runner_that_listens_no_more_counts_as_cut(bench):
    watch = bench.begin()
    await bench.hear(watch)
    bench.pool.listens = False
    assert await watch.find_evidence() is Evidence.OUTLIVED


async def test_a_crash_of_a_runner_that_listens_no_more_passes_for_an_end(bench):
    watch = bench.begin()
    await bench.hear(watch)
    bench.pool.crash()
    assert await watch.find_evidence() is Evidence.ENDED


async def test_a_runner_that_has_started_again_passes_for_the_one_that_crashed(bench):
    watch = bench.begin()
    await bench.hear(watch)
    bench.pool.crash()
    bench.pool.listens = True
    assert await watch.find_evidence() is Evidence.ENDED


async def test_the_end_of_a_process_is_seen_too_late_on_the_other_connection(bench):
    watch = bench.begin()
    await bench.hear(watch)
    evidence = asyncio.create_task(watch.find_evidence())
    await asyncio.sleep(answer_ends.SPREAD_SECONDS * 0.8)
    bench.pool.crash()
    assert await evidence is Evidence.ENDED


async def test_an_end_that_arrives_as_the_wait_ends_is_overlooked(bench):
    """The loop was held up: it sees the end of the wait before that of the connection."""
    watch = bench.begin()
    await bench.hear(watch)
    bench.pool.opened[0].stream.socket.ended = True
    assert await watch.find_evidence() is Evidence.ENDED


@pytest.mark.parametrize("silent_before", ["end", "last-bytes"])
async def test_the_end_of_the_other_connection_is_delayed_by_a_cut(bench, silent_before):
    """Both ends were sent within a cut of 0.8 s; the second one was repeated 0.7 s after the first one."""
    watch = bench.begin()
    await bench.hear(watch)
    await asyncio.sleep(0.8)
    if silent_before == "last-bytes":
        await bench.hear(watch, events=2, seconds=0.001)
    evidence = asyncio.create_task(watch.find_evidence())
    await asyncio.sleep(0.7)
    bench.pool.crash()
    assert await evidence is Evidence.ENDED


async def test_a_steady_answer_waits_for_the_end_of_a_cut_before(bench):
    watch = bench.begin()
    await bench.hear(watch, seconds=0.5)
    await bench.hear(watch, events=20)
    began_at = bench.now
    assert await watch.find_evidence() is Evidence.OUTLIVED
    assert bench.now - began_at < answer_ends.SPREAD_SECONDS + 0.001


async def test_an_answer_waits_without_end_after_a_long_silence(bench):
    watch = bench.begin()
    await bench.hear(watch)
    await asyncio.sleep(30.0)
    began_at = bench.now
    assert await watch.find_evidence() is Evidence.OUTLIVED
    assert bench.now - began_at <= answer_ends.MAX_WAIT_SECONDS + 0.001


async def test_a_connection_to_the_next_run_of_a_runner_proves_that_the_last_one_lives(bench):
    """A proxy took it before a cut and passed it on afterwards, with the bytes that the cut held up."""
    watch = bench.begin()
    await bench.hear(watch, events=0)
    await asyncio.sleep(1.8)
    await bench.hear(watch, events=3, seconds=0.001)
    bench.is_replaced = True
    assert await watch.find_evidence() is Evidence.REPLACED


@pytest.mark.parametrize(
    ("listens", "is_replaced", "evidence"),
    [
        (True, False, Evidence.ACCEPTED),
        (False, False, Evidence.REFUSED),
        (True, True, Evidence.REPLACED),
    ],
)
async def test_a_short_answer_is_whole_whatever_became_of_its_runner(
    bench, listens, is_replaced, evidence
):
    """No other connection was open when its request was sent."""
    bench.pool.connect_seconds = 0.005
    watch = bench.begin()
    watch.record_heard()
    bench.pool.listens, bench.is_replaced = listens, is_replaced
    assert await watch.find_evidence() is evidence
    assert evidence.is_whole is (listens and not is_replaced)


async def test_a_short_answer_counts_as_cut_though_a_connection_was_open_before_its_request(bench):
    first = bench.begin()
    await bench.hear(first)
    first.close()
    bench.pool.listens = False
    second = bench.begin()
    second.record_heard()
    assert await second.find_evidence() is Evidence.OUTLIVED


async def test_a_connection_that_was_closed_as_idle_counts_as_the_end_of_the_process(bench):
    watch = bench.begin()
    await bench.hear(watch)
    bench.pool.listens = False
    bench.pool.opened[0].stream.close()
    await bench.hear(watch, events=1)
    assert await watch.find_evidence() is Evidence.REFUSED
    bench.pool.listens = True
    assert await watch.find_evidence() is Evidence.ACCEPTED


async def test_a_connection_that_was_closed_as_idle_is_not_opened_again(bench):
    watch = bench.begin()
    await bench.hear(watch, events=30)
    bench.pool.opened[0].stream.close()
    await bench.hear(watch)
    bench.pool.listens = False
    assert await watch.find_evidence() is Evidence.OUTLIVED


async def test_a_runner_that_refuses_connections_is_asked_with_each_event(bench):
    bench.pool.listens = False
    tries = []
    acquire = bench.pool.acquire

    async def count(*args, **options):
        tries.append(bench.now)
        return await acquire(*args, **options)

    bench.pool.acquire = count
    await bench.hear(bench.begin(), events=60)
    assert len(tries) <= 60 * EVENT_SECONDS / answer_ends.RETRY_SECONDS + 1


async def test_each_answer_of_a_runner_costs_a_connection(bench):
    watches = [bench.begin() for _ in range(20)]
    for watch in watches:
        await bench.hear(watch, events=3)
    for watch in watches:
        assert (await watch.find_evidence()).is_whole
    assert len(bench.pool.opened) <= 2
    assert bench.pool.kept == []


async def test_a_long_answer_leaves_a_connection_open_until_its_runner_closes_it(bench):
    watch = bench.begin()
    await bench.hear(watch, events=round(10 * answer_ends.REPLACE_SECONDS / EVENT_SECONDS))
    still_open = [channel for channel in bench.pool.opened if not channel.stream.closed()]
    assert len(still_open) == 2 < len(bench.pool.opened) <= 11
    assert await watch.find_evidence() is Evidence.OUTLIVED


async def test_connections_are_left_open_that_no_answer_needs(bench):
    watch = bench.begin()
    await bench.hear(watch)
    bench.ends.sweep()
    watch.close()
    bench.ends.sweep()
    assert not bench.pool.opened[0].stream.closed()
    await asyncio.sleep(answer_ends.REPLACE_SECONDS * 1.1)
    bench.ends.sweep()
    assert bench.pool.opened[0].stream.closed()


async def test_a_stopping_node_leaves_connections_open(bench):
    await bench.hear(bench.begin())
    bench.pool.connect_seconds = 10.0
    later = bench.begin()
    await asyncio.sleep(answer_ends.REPLACE_SECONDS * 1.1)
    later.record_heard()
    await bench.ends.close()
    assert all(channel.stream.closed() for channel in bench.pool.opened)
