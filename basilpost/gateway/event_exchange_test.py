"""Tests of answers that are cut short, or whose heads are unusual, on an exchange for events."""

import asyncio

import pytest

from basilpost.gateway import event_exchange, exchange

HEAD = b"HTTP/1.0 200 OK\r\nX-Request-Id: r1\r\nContent-Length: 5\r\n\r\n"
ANSWER = HEAD + b"whole"


class FakeTransport(asyncio.Transport):
    def write(self, data):
        pass

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def is_closing(self):
        return False

    def abort(self):
        pass


def make_exchange():
    opened = event_exchange.EventExchange(address="10.0.0.1:1")
    opened.connection_made(FakeTransport())
    opened.send("POST", "/", {}, b"")
    return opened


@pytest.mark.parametrize("error", [None, ConnectionResetError("reset")])
@pytest.mark.parametrize("length", range(len(ANSWER)))
async def test_an_answer_that_is_cut_short_is_whole(length, error):
    opened = make_exchange()
    opened.data_received(ANSWER[:length])
    opened.connection_lost(error)
    head = await opened.head()
    if length < len(HEAD):
        assert isinstance(head, exchange.Broken)
    else:
        assert isinstance(await opened.read_all(100), exchange.Broken)


@pytest.mark.parametrize("pieces", [1, len(ANSWER)])
async def test_an_interim_head_is_taken_for_that_of_the_answer(pieces):
    interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    opened = make_exchange()
    sent = interim + ANSWER
    size = -(-len(sent) // pieces)
    for begin in range(0, len(sent), size):
        opened.data_received(sent[begin : begin + size])
    head = await opened.head()
    assert (head.status, head.headers["X-Request-Id"]) == (200, "r1")
    assert await opened.read_all(100) == b"whole"


async def test_interim_heads_that_never_end_take_memory():
    opened = make_exchange()
    for _ in range(10_000):
        opened.data_received(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert isinstance(await opened.head(), exchange.Broken)


@pytest.mark.parametrize("length", [b"-1", b"+5", b"1_0", b"5, 5", b"x", b"", b"\xb2"])
async def test_an_answer_with_an_invalid_length_is_whole(length):
    opened = make_exchange()
    opened.data_received(b"HTTP/1.0 200 OK\r\nContent-Length: " + length + b"\r\n\r\nwhole")
    opened.connection_lost(None)
    assert isinstance(await opened.head(), exchange.Broken)


@pytest.mark.parametrize("status", [b"000", b"001", b"099", b"101", b"600", b"999"])
async def test_the_body_after_an_invalid_status_is_read_as_the_answer(status):
    """It was taken for an interim answer, so that the next bytes were read as the head."""
    opened = make_exchange()
    opened.data_received(b"HTTP/1.1 " + status + b" Odd\r\nContent-Length: 45\r\n\r\n" + ANSWER)
    opened.connection_lost(None)
    assert isinstance(await opened.head(), exchange.Broken)
