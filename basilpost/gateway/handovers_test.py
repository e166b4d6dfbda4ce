"""Handovers: a stream stays whole, whatever the next target does and whenever the present one ends."""

import asyncio
import types

import pytest
import structlog
import tornado.httputil

from basilpost.core import catalog, channels
from basilpost.gateway import answer_sinks, attempts, handovers
from basilpost.routing import header_dialect, targets

OLD, NEXT = "large--1@1", "large--2@1"
TARGET = targets.Target(
    target_id=NEXT,
    service="s",
    model="large",
    vm_id="vm",
    address="127.0.0.1:1",
    failure_domain="a",
    slots=4,
    pace=1.0,
    cold_until=0.0,
)


class FakeDialect:
    """Takes every answer for a signed one and passes its headers on."""

    def parse_response(self, status, headers):
        return header_dialect.ResponseInfo(
            request_id="r", signed=True, not_run=False, vm_at_fault="", cold_seconds=0.0
        )

    def response_headers(self, headers):
        return headers


class FakeReply:
    """Collects what its caller gets."""

    def __init__(self):
        self.started = False
        self.data = b""

    def send_head(self, status, reason, head):
        self.started = True

    def send_piece(self, data):
        self.data += data

    async def wait_written(self):
        pass


class FakeChannel:
    def __init__(self):
        self.closed = False

    def close(self):
        self.closed = True


class FakeLoads:
    def __init__(self):
        self.in_flight = 0

    def request_started(self, target_id):
        assert target_id == NEXT
        self.in_flight += 1

    def request_ended(self, target_id):
        assert target_id == NEXT
        self.in_flight -= 1


class NextTarget:
    """Stands in for the sender: what a test says is what the next target sends.

    Attributes:
        asked_after: Ids of the last events with which it was asked to go on.
    """

    def __init__(self):
        self.asked_after = []
        self.channel = FakeChannel()
        self.cancelled = False
        self.sink = None
        self.ended = None
        self.reachable = asyncio.Event()
        self.reachable.set()

    async def send(self, progress, target, sink):
        assert target is TARGET
        progress.target = target.target_id
        progress.tried_targets.add(target.target_id)
        self.ended = asyncio.get_running_loop().create_future()
        await self.reachable.wait()
        self.sink = sink
        sink.on_connected(self.channel)
        self.asked_after.append(sink.last_event)
        progress.sends += 1
        try:
            result = await self.ended
        except asyncio.CancelledError:
            self.cancelled = True
            raise
        if isinstance(result, attempts.NotRun):
            progress.sends -= 1
            progress.rejections += 1
        return result


def head(status=200, content_type="text/event-stream"):
    headers = tornado.httputil.HTTPHeaders({"Content-Type": content_type})
    return channels.Head(status=status, reason="", headers=headers)


def event(number, source):
    return f"id: {number}\ndata: {source}\n\n".encode()


class Bench:
    """A stream of which the caller has two events of the old target, and a handover under way."""

    def __init__(self):
        self.memory = answer_sinks.AnswerMemory()
        self.reply, self.loads, self.next = FakeReply(), FakeLoads(), NextTarget()
        self.lost = []
        self.handovers = handovers.Handovers(
            loads=self.loads,
            memory=self.memory,
            on_lost=lambda progress, result: self.lost.append((progress.target, result)),
            log=structlog.get_logger(),
        )
        self.progress = attempts.Progress(
            admitted=types.SimpleNamespace(
                route=types.SimpleNamespace(repeat=catalog.Repeat.IDEMPOTENT, max_attempts=2),
                call=types.SimpleNamespace(request_id="r"),
            ),
            fingerprint="",
            sends=1,
            target=OLD,
            tried_targets={OLD},
        )
        self.sink = answer_sinks.StreamSink(
            reply=self.reply,
            dialect=FakeDialect(),
            last_event="",
            max_answer_tokens=0,
            memory=self.memory,
        )
        self.old_channel = FakeChannel()
        self.sink.on_connected(self.old_channel)
        self.sink.on_head(head())
        self.say_old(1, 2)

    async def start(self, *, is_planned=True):
        self.handovers.start(
            self.progress, self.sink, TARGET, self.next.send, is_planned=is_planned
        )
        await self.pause()

    async def pause(self):
        for _ in range(10):
            await asyncio.sleep(0)

    def say_old(self, *numbers):
        for number in numbers:
            assert self.sink.on_chunk(event(number, "old")) is None

    def say_next(self, *numbers):
        for number in numbers:
            waiting = self.next.sink.on_chunk(event(number, "next"))
            if waiting is not None:
                waiting.close()

    async def end_next(self, result):
        self.next.ended.set_result(result)
        await self.pause()

    def settle(self, result):
        self.handovers.settle(self.progress, self.sink, result)

    @property
    def events(self):
        """Returns number and source of each event that the caller has."""
        lines = self.reply.data.decode().split("\n\n")[:-1]
        return [tuple(part.partition(": ")[2] for part in line.split("\n")) for line in lines]

    def assert_kept(self):
        """Checks that the stream goes on at the old target as if nothing had happened."""
        assert self.handovers.find(self.progress) is None
        assert not self.old_channel.closed and not self.sink.abandoned
        self.say_old(5)
        assert self.events == [(str(number), "old") for number in range(1, 6)]
        assert (self.loads.in_flight, self.memory.total) == (0, 0)


BROKEN = attempts.Lost(reason="broken")


@pytest.mark.parametrize(
    ("result", "sends", "declined", "tried"),
    [
        (attempts.NotRun(reason="full"), 1, {NEXT}, {OLD}),
        (attempts.NotSent(reason="refused"), 2, {NEXT}, {OLD}),
        (BROKEN, 2, set(), {OLD, NEXT}),
        (head(500), 2, set(), {OLD, NEXT}),
        (head(200), 2, set(), {OLD, NEXT}),
    ],
    ids=["rejected", "not-sent", "broken", "failed", "empty"],
)
async def test_a_stream_is_cut_for_a_target_that_does_not_take_it(result, sends, declined, tried):
    bench = Bench()
    await bench.start()
    bench.say_old(3)
    if isinstance(result, channels.Head):
        bench.next.sink.on_head(result)
        if result.status == 500:
            bench.next.sink.on_chunk(b"failed")
    bench.say_old(4)
    assert len(bench.events) == 2
    await bench.end_next(result)
    assert (bench.progress.sends, bench.progress.target) == (sends, OLD)
    # It may be rejected as often as before, should the old target break off.
    assert bench.progress.rejections == 0
    assert (bench.progress.declined_targets, bench.progress.tried_targets) == (declined, tried)
    assert bench.lost == ([(NEXT, BROKEN)] if result is BROKEN else [])
    bench.assert_kept()


async def test_a_stream_waits_for_a_target_that_stays_silent():
    bench = Bench()
    await bench.start()
    bench.next.sink.on_head(head())
    bench.say_old(3, 4)
    await asyncio.sleep(handovers.TAKE_SECONDS * 0.9)
    assert len(bench.events) == 2
    await asyncio.sleep(handovers.TAKE_SECONDS * 0.2)
    assert bench.next.cancelled
    bench.assert_kept()


async def test_a_stream_is_cut_for_a_target_that_breaks_off_within_its_first_event():
    bench = Bench()
    await bench.start()
    bench.next.sink.on_head(head())
    bench.next.sink.on_chunk(b"id: 3\ndata:")
    bench.say_old(3, 4)
    await bench.end_next(BROKEN)
    bench.assert_kept()


@pytest.mark.parametrize(
    "answer",
    [event(4, "next"), b"data: no id\n\n", b"id: x\ndata: text\n\n"],
    ids=["gap", "no-id", "text-as-id"],
)
async def test_a_stream_goes_on_at_a_target_that_skips_events(answer):
    """Its answer is another stream, or an error page."""
    bench = Bench()
    await bench.start()
    bench.next.sink.on_head(head())
    assert bench.next.sink.on_chunk(answer) is None
    assert bench.next.channel.closed
    bench.say_old(3, 4)
    await bench.end_next(BROKEN)
    bench.assert_kept()


async def test_a_stream_goes_on_at_a_target_with_an_answer_of_another_type():
    bench = Bench()
    await bench.start()
    bench.next.sink.on_head(head(content_type="text/html"))
    assert bench.next.sink.on_chunk(event(3, "page")) is None
    bench.say_old(3, 4)
    await bench.end_next(head(200, "text/html"))
    bench.assert_kept()


async def test_events_of_two_runs_are_joined_at_a_place_at_which_neither_began():
    """The next target is asked to go on after event 2, so that no event of the old one may follow."""
    bench = Bench()
    await bench.start()
    assert bench.next.asked_after == ["2"]
    bench.say_old(3, 4)
    bench.next.sink.on_head(head())
    bench.say_next(3)
    assert bench.old_channel.closed and bench.sink.abandoned and not bench.next.channel.closed
    bench.say_old(5)
    bench.settle(BROKEN)
    handover = bench.handovers.take(bench.progress)
    joining = asyncio.create_task(handover.join())
    await bench.pause()
    assert bench.handovers.find(bench.progress) is None
    bench.say_next(4, 5, 6)
    await bench.end_next(head())
    assert isinstance(await joining, channels.Head)
    assert bench.events == [("1", "old"), ("2", "old"), *((str(n), "next") for n in range(3, 7))]
    assert (bench.progress.sends, bench.progress.target) == (2, NEXT)
    assert (bench.loads.in_flight, bench.memory.total) == (0, 0)


async def test_a_target_that_begins_anew_repeats_events():
    bench = Bench()
    await bench.start()
    bench.next.sink.on_head(head())
    bench.say_next(1, 2)
    assert not bench.old_channel.closed
    bench.say_next(3)
    assert bench.old_channel.closed
    bench.settle(BROKEN)
    joining = asyncio.create_task(bench.handovers.take(bench.progress).join())
    await bench.pause()
    assert bench.events == [("1", "old"), ("2", "old"), ("3", "next")]
    joining.cancel()


@pytest.mark.parametrize("said", ["nothing", "head", "part"])
async def test_a_third_target_is_asked_when_the_old_one_breaks_off_during_a_handover(said):
    bench = Bench()
    await bench.start()
    bench.say_old(3, 4)
    if said != "nothing":
        bench.next.sink.on_head(head())
    if said == "part":
        bench.next.sink.on_chunk(event(3, "next")[:5])
    bench.settle(BROKEN)
    assert bench.handovers.find(bench.progress).target is TARGET
    joining = asyncio.create_task(bench.handovers.take(bench.progress).join())
    # The stall detector watches it now.
    await asyncio.sleep(handovers.TAKE_SECONDS * 2)
    assert not joining.done()
    if said == "nothing":
        bench.next.sink.on_head(head())
    bench.next.sink.on_chunk(event(3, "next")[5 * (said == "part") :])
    bench.say_next(4)
    await bench.end_next(head())
    await joining
    assert bench.events == [("1", "old"), ("2", "old"), ("3", "next"), ("4", "next")]
    assert bench.next.asked_after == ["2"]


async def test_a_handover_that_is_used_fails_later_without_a_trace():
    """What it sends counts against the attempts of the request."""
    bench = Bench()
    await bench.start()
    bench.settle(BROKEN)
    joining = asyncio.create_task(bench.handovers.take(bench.progress).join())
    await bench.pause()
    await bench.end_next(attempts.NotRun(reason="full"))
    assert isinstance(await joining, attempts.NotRun)
    assert (bench.progress.sends, bench.progress.rejections) == (1, 1)
    assert bench.progress.tried_targets == {OLD, NEXT}


async def test_a_handover_outlives_the_stream_that_ends_at_its_old_target():
    bench = Bench()
    await bench.start()
    bench.say_old(3, 4)
    bench.settle(head())
    await bench.pause()
    assert bench.next.cancelled
    assert bench.progress.sends == 2
    bench.assert_kept()


async def test_a_failure_of_the_old_target_ends_a_handover():
    """The next target may still give a whole answer."""
    bench = Bench()
    bench.sink.restart()
    bench.sink.on_head(head(500))
    await bench.start()
    bench.settle(head(500))
    assert bench.handovers.find(bench.progress).is_used
    bench.handovers.cancel(bench.progress)


@pytest.mark.parametrize("moment", ["before-it-runs", "asked", "taken", "used"])
async def test_a_target_works_on_for_a_caller_that_has_left(moment):
    bench = Bench()
    if moment == "before-it-runs":
        bench.handovers.start(bench.progress, bench.sink, TARGET, bench.next.send, is_planned=True)
        assert bench.loads.in_flight == 1
    else:
        await bench.start()
    if moment in ("taken", "used"):
        bench.next.sink.on_head(head())
        bench.say_next(3)
    if moment == "used":
        bench.settle(BROKEN)
        joining = asyncio.create_task(bench.handovers.take(bench.progress).join())
        await bench.pause()
        joining.cancel()
    else:
        bench.handovers.cancel(bench.progress)
    bench.sink.discard()
    await bench.pause()
    assert bench.next.cancelled or not bench.next.asked_after
    assert (bench.loads.in_flight, bench.memory.total) == (0, 0)


async def test_a_handover_is_counted_twice_or_not_before_it_is_sent():
    bench = Bench()
    bench.handovers.start(bench.progress, bench.sink, TARGET, bench.next.send, is_planned=True)
    assert bench.loads.in_flight == 1
    await bench.pause()
    # From here on the sender counts it.
    assert bench.loads.in_flight == 0
    bench.handovers.cancel(bench.progress)


async def test_events_that_are_held_back_fill_the_memory():
    bench = Bench()
    await bench.start()
    chunk = b"id: 3\ndata: " + b"x" * 60_000
    assert bench.sink.on_chunk(chunk) is None
    activity = bench.sink.activity
    waiting = asyncio.create_task(bench.sink.on_chunk(b"x" * 60_000))
    await bench.pause()
    assert not waiting.done()
    # The target is not silent, although the caller gets no event.
    assert bench.sink.activity > activity
    await bench.end_next(attempts.NotRun(reason="full"))
    await waiting
    assert bench.memory.total == 0
    bench.sink.on_chunk(b"\n\n")
    assert [number for number, _ in bench.events] == ["1", "2", "3"]


async def test_a_silent_stream_waits_for_a_slow_target_in_vain():
    """Nobody else has the stream, so that the next target may take its time."""
    bench = Bench()
    await bench.start(is_planned=False)
    await asyncio.sleep(handovers.TAKE_SECONDS * 1.5)
    assert not bench.next.cancelled
    bench.next.sink.on_head(head())
    bench.say_next(3)
    assert bench.old_channel.closed
    bench.handovers.cancel(bench.progress)


async def test_a_silent_stream_is_cut_although_its_target_sends_again():
    bench = Bench()
    await bench.start(is_planned=False)
    bench.say_old(3, 4)
    await bench.pause()
    assert bench.next.cancelled
    bench.assert_kept()


async def test_a_silent_stream_is_cut_for_a_target_that_rejects_it():
    bench = Bench()
    await bench.start(is_planned=False)
    await bench.end_next(attempts.NotRun(reason="full"))
    bench.say_old(3, 4)
    bench.assert_kept()


@pytest.mark.parametrize("is_taken", [False, True])
async def test_a_target_is_given_up_that_has_taken_a_stream(is_taken):
    bench = Bench()
    await bench.start(is_planned=False)
    handover = bench.handovers.find(bench.progress)
    if is_taken:
        bench.next.sink.on_head(head())
        bench.say_next(3)
    handover.give_up()
    handover.give_up()
    await bench.pause()
    assert bench.next.cancelled is not is_taken
    assert bench.sink.abandoned is is_taken
    bench.handovers.cancel(bench.progress)


async def test_a_slow_target_counts_as_silent_while_it_sends():
    bench = Bench()
    await bench.start()
    activity = bench.next.sink.activity
    bench.next.sink.on_head(head())
    bench.next.sink.on_chunk(b"id: 3\n")
    assert bench.next.sink.activity > activity
    bench.settle(BROKEN)
    joining = asyncio.create_task(bench.handovers.take(bench.progress).join())
    await bench.pause()
    activity = bench.next.sink.activity
    bench.next.sink.on_chunk(b"data: next\n\n")
    assert bench.next.sink.activity > activity
    joining.cancel()


@pytest.mark.parametrize(
    "held_back", [event(3, "old") + b"id: 4\ndata:", event(3, "old") + event(5, "old")]
)
async def test_an_orderly_end_within_an_event_ends_the_next_attempt(held_back):
    bench = Bench()
    await bench.start()
    bench.sink.on_chunk(held_back)
    bench.settle(head())
    handover = bench.handovers.find(bench.progress)
    assert handover is not None and handover.is_used
    joining = asyncio.create_task(bench.handovers.take(bench.progress).join())
    await bench.pause()
    bench.next.sink.on_head(head())
    bench.say_next(3, 4)
    await bench.end_next(head())
    await joining
    assert bench.events == [("1", "old"), ("2", "old"), ("3", "next"), ("4", "next")]


async def test_a_stream_that_was_given_up_for_its_size_counts_as_complete():
    bench = Bench()
    bench.sink.give_up("too long")
    assert bench.sink.find_defect() == "too long"


@pytest.mark.parametrize("end", ["gap", "taken"])
async def test_a_stream_counts_as_complete_though_its_last_events_are_held_back(end):
    """The next target sends them, as the old one skips an event or is not needed any more."""
    bench = Bench()
    await bench.start()
    bench.say_old(3)
    if end == "gap":
        bench.say_old(5)
    else:
        bench.next.sink.on_head(head())
        bench.say_next(3)
    bench.settle(head())
    assert bench.sink.find_defect()
    bench.handovers.cancel(bench.progress)


async def test_a_stream_that_is_whole_counts_as_cut_once_its_events_are_released():
    bench = Bench()
    await bench.start()
    bench.say_old(3, 4)
    assert bench.sink.find_defect()
    bench.settle(head())
    assert not bench.sink.find_defect()
    bench.handovers.cancel(bench.progress)


async def test_a_handover_that_fails_with_an_error_holds_events_back_for_good():
    bench = Bench()
    await bench.start()
    bench.say_old(3, 4)
    with structlog.testing.capture_logs() as lines:
        bench.next.ended.set_exception(RuntimeError("fault of the program"))
        await bench.pause()
    assert [line["task"] for line in lines if line["event"] == "task_failed"] == ["handover"]
    bench.assert_kept()


async def test_a_place_stays_taken_when_the_caller_leaves_before_the_next_target_is_asked():
    bench = Bench()
    bench.handovers.start(bench.progress, bench.sink, TARGET, bench.next.send, is_planned=True)
    bench.settle(BROKEN)
    joining = bench.handovers.take(bench.progress).join()
    joining.send(None)
    with pytest.raises(asyncio.CancelledError):
        joining.throw(asyncio.CancelledError())
    await bench.pause()
    assert (bench.loads.in_flight, bench.next.asked_after) == (0, [])


async def test_a_loss_at_the_next_target_is_attributed_to_the_old_one():
    """The request came to depend on the handover before that had begun to send."""
    bench = Bench()
    bench.handovers.start(bench.progress, bench.sink, TARGET, bench.next.send, is_planned=True)
    bench.settle(BROKEN)
    joining = bench.handovers.take(bench.progress).join()
    joining.send(None)
    await bench.pause()
    await bench.end_next(BROKEN)
    with pytest.raises(StopIteration):
        joining.send(None)
    assert bench.progress.target == NEXT


async def test_a_third_attempt_is_allowed_while_the_second_one_is_under_way():
    """Its connection was opened after the old target had broken off."""
    bench = Bench()
    bench.next.reachable.clear()
    await bench.start()
    bench.settle(BROKEN)
    handover = bench.handovers.take(bench.progress)
    joining = asyncio.create_task(handover.join())
    await bench.pause()
    assert bench.progress.has_attempts_left
    bench.next.reachable.set()
    await bench.pause()
    bench.next.sink.on_head(head())
    assert not bench.progress.has_attempts_left
    await bench.end_next(attempts.NotRun(reason="full"))
    await joining
    assert (bench.progress.sends, bench.progress.rejections) == (1, 1)
