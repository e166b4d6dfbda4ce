"""Tests of cutting event streams."""

from basilpost.gateway import events


def test_holds_back_an_incomplete_event():
    found = events.cut(b"data: 1\n\ndata: 2\n\ndata: [DO")
    assert (found.events, found.count) == (b"data: 1\n\ndata: 2\n\n", 2)
    assert found.rest == b"data: [DO"
    assert not found.done


def test_knows_the_final_event():
    found = events.cut(b"data: 1\n\ndata: [DONE]\n\n")
    assert (found.events, found.count, found.done) == (b"data: 1\n\n", 1, True)


def test_nothing_complete():
    assert events.cut(b"data: 1").rest == b"data: 1"


def test_an_event_of_another_request_is_noticed():
    own = events.cut(b'data: {"id":"r1"}\n\n')
    crossed = events.cut(b'data: {"id":"r1"}\n\ndata: {"id":"r2"}\n\n')
    assert events.belongs(own, b'"r1"')
    assert not events.belongs(crossed, b'"r1"')
