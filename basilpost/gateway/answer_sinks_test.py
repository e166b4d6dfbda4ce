"""Tests of the bounds on answers that never end."""

import asyncio

import pytest
import tornado.httputil

from basilpost.core import channels
from basilpost.gateway import answer_sinks
from basilpost.routing import header_dialect

CHUNK = b"x" * 65_536


class FakeChannel:
    def __init__(self):
        self.closed = False

    def close(self):
        self.closed = True


class FakeDialect:
    """Takes every answer for a signed one and passes its headers on."""

    def parse_response(self, status, headers):
        return header_dialect.ResponseInfo(
            request_id="r", signed=True, not_run=False, vm_at_fault="", cold_seconds=0.0
        )

    def response_headers(self, headers):
        return headers


class FakeReply:
    def __init__(self):
        self.started = False
        self.sent = 0
        self.waits = 0

    def send_head(self, status, reason, head):
        self.started = True

    def send_piece(self, data):
        self.sent += len(data)

    async def wait_written(self):
        self.waits += 1


def make_collector(memory):
    collector = answer_sinks.Collector(memory=memory)
    collector.on_connected(FakeChannel())
    return collector


async def feed(sink, chunk, limit):
    """Feeds chunks until the sink closes its connection; returns the number of bytes fed."""
    fed = 0
    while not sink.channel.closed and fed < limit:
        waiting = sink.on_chunk(chunk)
        if waiting is not None:
            await waiting
        fed += len(chunk)
    return fed


async def test_a_body_that_never_ends_is_given_up_and_its_memory_freed():
    memory = answer_sinks.AnswerMemory()
    collector = make_collector(memory)
    fed = await feed(collector, CHUNK, answer_sinks.MAX_ANSWER_BYTES * 2)
    assert fed <= answer_sinks.MAX_ANSWER_BYTES + len(CHUNK)
    assert "larger than" in collector.excess
    assert (memory.total, collector.body) == (0, b"")


async def test_a_body_in_pieces_without_end_is_given_up():
    collector = make_collector(answer_sinks.AnswerMemory())
    fed = await feed(collector, b"abcde", answer_sinks.MAX_ANSWER_BYTES)
    assert fed <= (answer_sinks.MAX_PIECES + 1) * 5
    assert "pieces" in collector.excess


async def test_of_many_large_answers_the_largest_is_given_up():
    memory = answer_sinks.AnswerMemory()
    small, *large = [make_collector(memory) for _ in range(9)]
    small.on_chunk(CHUNK)
    while not any(collector.excess for collector in large):
        for collector in large:
            collector.on_chunk(CHUNK)
        assert memory.total <= answer_sinks.MAX_HELD_BYTES
    assert not small.excess and small.body == CHUNK
    assert sum(bool(collector.excess) for collector in large) == 1


async def test_an_answer_after_one_that_was_given_up_is_collected_whole():
    memory = answer_sinks.AnswerMemory()
    collector = make_collector(memory)
    await feed(collector, CHUNK, answer_sinks.MAX_ANSWER_BYTES * 2)
    collector.restart()
    collector.on_connected(FakeChannel())
    collector.on_chunk(b"whole")
    assert (collector.body, collector.excess) == (b"whole", "")
    collector.discard()
    assert memory.total == 0


@pytest.mark.parametrize(
    ("chunk", "limit", "max_answer_tokens"),
    [
        (b"data: " + CHUNK, answer_sinks.MAX_EVENT_BYTES, 0),
        (b"data: e\n\n" * 1_000, answer_sinks.MAX_EVENTS * 9, 0),
        (b"data: e\n\n" * 100, (answer_sinks.SPARE_EVENTS + 12) * 9, 6),
        (b"data: " + CHUNK + b"\n\n", answer_sinks.MAX_STREAM_BYTES, 0),
        (b"data:", answer_sinks.MAX_EVENTS * 10, 0),
    ],
)
async def test_a_stream_that_never_ends_is_given_up(chunk, limit, max_answer_tokens):
    reply = FakeReply()
    sink = answer_sinks.StreamSink(
        reply=reply,
        dialect=FakeDialect(),
        last_event="",
        max_answer_tokens=max_answer_tokens,
        memory=answer_sinks.AnswerMemory(),
    )
    sink.on_connected(FakeChannel())
    head = channels.Head(status=200, reason="OK", headers=tornado.httputil.HTTPHeaders())
    sink.on_head(head)
    fed = await feed(sink, chunk, limit * 4)
    assert fed <= limit + len(chunk) * 3
    assert sink.excess
    # No more than this waits for a caller that reads slowly.
    assert reply.sent <= (reply.waits + 1) * (answer_sinks.MAX_UNSENT_BYTES + len(chunk))


class SlowReply(FakeReply):
    """A caller that reads only when the test says so."""

    def __init__(self):
        super().__init__()
        self.may_read = asyncio.Event()

    async def wait_written(self):
        await self.may_read.wait()


async def test_a_target_whose_stream_waits_for_a_slow_caller_counts_as_silent():
    reply = SlowReply()
    sink = answer_sinks.StreamSink(
        reply=reply,
        dialect=FakeDialect(),
        last_event="",
        max_answer_tokens=0,
        memory=answer_sinks.AnswerMemory(),
    )
    sink.on_connected(FakeChannel())
    sink.on_head(channels.Head(status=200, reason="OK", headers=tornado.httputil.HTTPHeaders()))
    assert sink.activity == sink.activity
    waiting = None
    while waiting is None:
        waiting = sink.on_chunk(b"data: " + CHUNK + b"\n\n")
    task = asyncio.create_task(waiting)
    await asyncio.sleep(0)
    assert sink.activity < sink.activity
    reply.may_read.set()
    await task
    assert sink.activity == sink.activity
