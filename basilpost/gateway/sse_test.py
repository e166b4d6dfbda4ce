"""Tests of resumable event streams."""

from hypothesis import given
from hypothesis import strategies as st

from basilpost.gateway import events, sse


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def test_an_incomplete_event_is_buffered():
    stream = sse.ResumableStream(last_id="")
    assert stream.feed(event(1) + b"id: 2\nda").data == event(1)
    assert not stream.at_boundary
    assert stream.feed(b"ta: piece 2\n\n").data == event(2)
    assert stream.at_boundary
    assert stream.last_id == "2"


def test_a_resumed_stream_drops_events_that_were_forwarded():
    stream = sse.ResumableStream(last_id="")
    stream.feed(event(1) + event(2) + b"id: 3\n")
    stream.restart()
    passed = stream.feed(event(2) + event(3))
    assert (passed.data, passed.has_gap) == (event(3), False)


def test_nothing_is_forwarded_after_a_missing_event():
    stream = sse.ResumableStream(last_id="4")
    passed = stream.feed(event(5) + event(7) + event(8))
    assert (passed.data, passed.has_gap) == (event(5), True)
    assert stream.last_id == "5"


def test_lines_before_the_id_are_forwarded():
    stream = sse.ResumableStream(last_id="1")
    data = b"x-weight-versions: 3\nid: 2\ndata: a\n\n"
    assert stream.feed(data).data == data
    assert stream.last_id == "2"


@given(st.integers(1, 12), st.lists(st.integers(1, 300), max_size=20))
def test_a_stream_in_arbitrary_chunks_is_forwarded_whole(count, cuts):
    whole = b"".join(event(number) for number in range(1, count + 1))
    places = sorted({min(cut, len(whole)) for cut in cuts} | {0, len(whole)})
    stream = sse.ResumableStream(last_id="")
    parts = [whole[a:b] for a, b in zip(places, places[1:], strict=False)]
    assert b"".join(stream.feed(part).data for part in parts) == whole
    assert stream.at_boundary


@given(st.integers(1, 12), st.data())
def test_a_stream_over_several_targets_has_each_event_once(count, data):
    """Each target breaks off at an arbitrary byte; the next one resumes after the last complete event."""
    stream = sse.ResumableStream(last_id="")
    out = b""
    for _ in range(30):
        first = int(stream.last_id or 0) + 1
        rest = b"".join(event(number) for number in range(first, count + 1))
        length = data.draw(st.integers(0, len(rest)))
        out += stream.feed(rest[:length]).data
        if length == len(rest):
            break
        stream.restart()
    else:
        out += stream.feed(
            b"".join(event(n) for n in range(int(stream.last_id or 0) + 1, count + 1))
        ).data
    assert out == b"".join(event(number) for number in range(1, count + 1))


def test_an_event_without_the_next_id_is_taken_for_the_resumption():
    for other in (b"data: error\n\n", b"id: x\ndata: error\n\n", b"id: \xb2\ndata: error\n\n"):
        stream = sse.ResumableStream(last_id="")
        stream.feed(event(1) + event(2))
        stream.restart()
        passed = stream.feed(other + event(3))
        assert (passed.data, passed.has_gap) == (b"", True)


def test_ids_that_no_integer_takes_end_the_reading():
    for odd_id in (b"\xb2", b"9" * 6000):
        stream = sse.ResumableStream(last_id="1")
        odd = b"id: " + odd_id + b"\ndata: x\n\n"
        assert stream.feed(odd).data == odd


def test_a_stream_that_broke_off_before_its_end_marker_is_not_ended():
    stream = sse.ResumableStream(last_id="")
    stream.feed(event(1) + event(2))
    stream.restart()
    passed = stream.feed(events.DONE_EVENT)
    assert (passed.data, passed.has_gap) == (events.DONE_EVENT, False)
