"""Tests of splitting event streams."""

from basilpost.gateway import events


def test_holds_back_an_incomplete_event():
    split = events.split(b"data: 1\n\ndata: 2\n\ndata: [DO")
    assert (split.events, split.count) == (b"data: 1\n\ndata: 2\n\n", 2)
    assert split.rest == b"data: [DO"
    assert not split.done


def test_recognises_the_final_event():
    split = events.split(b"data: 1\n\ndata: [DONE]\n\n")
    assert (split.events, split.count, split.done) == (b"data: 1\n\n", 1, True)


def test_without_a_complete_event_the_whole_buffer_is_the_rest():
    assert events.split(b"data: 1").rest == b"data: 1"


def test_an_event_of_another_request_is_detected():
    own = events.split(b'data: {"id":"r1"}\n\n')
    crossed = events.split(b'data: {"id":"r1"}\n\ndata: {"id":"r2"}\n\n')
    assert events.all_contain(own, b'"r1"')
    assert not events.all_contain(crossed, b'"r1"')
