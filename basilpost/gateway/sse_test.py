"""Tests of cutting streams into whole events."""

from hypothesis import given
from hypothesis import strategies as st

from basilpost.gateway import sse


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def test_part_of_an_event_is_held_back():
    cutter = sse.Cutter(last_id="")
    assert cutter.feed(event(1) + b"id: 2\nda").data == event(1)
    assert not cutter.at_boundary
    assert cutter.feed(b"ta: piece 2\n\n").data == event(2)
    assert cutter.at_boundary
    assert cutter.last_id == "2"


def test_a_resumed_stream_drops_what_was_passed_on():
    cutter = sse.Cutter(last_id="")
    cutter.feed(event(1) + event(2) + b"id: 3\n")
    cutter.restart()
    passed = cutter.feed(event(2) + event(3))
    assert (passed.data, passed.gap) == (event(3), False)


def test_a_missing_event_is_a_gap_and_nothing_after_it_is_passed_on():
    cutter = sse.Cutter(last_id="4")
    passed = cutter.feed(event(5) + event(7) + event(8))
    assert (passed.data, passed.gap) == (event(5), True)
    assert cutter.last_id == "5"


def test_lines_before_the_id_are_kept():
    cutter = sse.Cutter(last_id="1")
    data = b"x-weight-versions: 3\nid: 2\ndata: a\n\n"
    assert cutter.feed(data).data == data
    assert cutter.last_id == "2"


@given(st.integers(1, 12), st.lists(st.integers(1, 300), max_size=20))
def test_however_a_stream_is_cut_it_comes_out_whole(count, cuts):
    whole = b"".join(event(number) for number in range(1, count + 1))
    places = sorted({min(cut, len(whole)) for cut in cuts} | {0, len(whole)})
    cutter = sse.Cutter(last_id="")
    parts = [whole[a:b] for a, b in zip(places, places[1:], strict=False)]
    assert b"".join(cutter.feed(part).data for part in parts) == whole
    assert cutter.at_boundary


@given(st.integers(1, 12), st.data())
def test_a_stream_over_several_targets_has_each_event_once(count, data):
    """Targets break off anywhere; each one goes on after the last whole event."""
    cutter = sse.Cutter(last_id="")
    out = b""
    for _ in range(30):
        first = int(cutter.last_id or 0) + 1
        rest = b"".join(event(number) for number in range(first, count + 1))
        length = data.draw(st.integers(0, len(rest)))
        out += cutter.feed(rest[:length]).data
        if length == len(rest):
            break
        cutter.restart()
    else:
        out += cutter.feed(
            b"".join(event(n) for n in range(int(cutter.last_id or 0) + 1, count + 1))
        ).data
    assert out == b"".join(event(number) for number in range(1, count + 1))
