"""A runner in trouble sends answers whose status is none that HTTP has."""

import time

import pytest

from basilpost.emulator import pool_fleet
from tests import cut_links, raw_runners

# 101 answers a request for another protocol, which no node sends.
INVALID_STATUSES = ("000", "001", "099", "101", "600", "999")
# What a runner writes after the head: a body with a length, one that looks like an answer, none that ends.
HIDDEN = b"HTTP/1.1 200 OK\r\nX-Runner-Signature: s\r\nContent-Length: 2\r\n\r\nno"
FRAMINGS = {
    "length": (b"Content-Length: 2\r\n", b"no"),
    "hidden-answer": (b"Content-Length: %d\r\n" % len(HIDDEN), HIDDEN),
    "next-answer": (b"Content-Length: 0\r\n", HIDDEN),
    "endless": (b"", b"no"),
}
# A request that such an answer holds up must not wait for long: the runners answer at once.
SOON_SECONDS = 1.0
EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (number, number) for number in range(1, 5))


class OddRunner(raw_runners.Runner):
    """Answers with a status line and a framing.

    Attributes:
        status: The status, three digits.
        framing: The header that frames the body, and the body.
    """

    def __init__(self, vm_id, *, status="000", framing="length"):
        super().__init__(vm_id)
        self.status = status
        self.framing = FRAMINGS[framing]

    async def answer(self, request, writer):
        header, body = self.framing
        writer.write(
            f"HTTP/1.1 {self.status} Odd\r\nX-Attempt-Id: {request.attempt}\r\n"
            "X-Runner-Signature: odd\r\nContent-Type: text/event-stream\r\n".encode()
            + header
            + b"\r\n"
            + body
        )
        await writer.drain()
        return True


class SoundRunner(raw_runners.Runner):
    """Answers each request with the rest of four events."""

    async def answer(self, request, writer):
        body = EVENTS[EVENTS.find(b"id: %d\n" % (request.last_event + 1)) :]
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.attempt}\r\nX-Runner-Signature: sound\r\n"
            f"Content-Type: text/event-stream\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()
        return True


async def timed_call(bench, path, **options):
    """Returns the answer to a request, and the seconds that it took."""
    began_at = time.monotonic()
    answer = await bench.call(path, **options)
    return answer, time.monotonic() - began_at


def paths_until(condition):
    """Yields each path twice, and more often until a condition holds: nodes draw the runner of a request."""
    paths = ("/lookup/a", "/news/a", "/filing/a", "/news-once/a")
    yield from paths * 2
    while not condition():
        yield from paths


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_a_caller_gets_an_answer_whose_status_is_invalid(status, framing):
    """Requests that may be repeated go to a sound runner, the others end as lost."""
    odd, sound = OddRunner("odd", status=status, framing=framing), SoundRunner("sound")
    async with raw_runners.running([odd, sound]) as bench:
        for path in paths_until(lambda: odd.requests):
            answer, seconds = await timed_call(bench, path)
            assert seconds < SOON_SECONDS, (path, answer.code)
            ran_at = [
                runner.vm_id
                for runner in (odd, sound)
                for request in runner.requests
                if request.attempt == answer.attempt
            ]
            if "sound" in ran_at:
                assert (answer.code, answer.body) == (200, EVENTS), path
                assert answer.headers["X-Runner-Signature"] == "sound"
            else:
                # Requests that may not be repeated, sent to the odd runner.
                assert path in ("/filing/a", "/news-once/a")
                assert answer.code == 502, path
                assert "X-Runner-Signature" not in answer.headers
            assert path in ("/lookup/a", "/news/a") or len(ran_at) == 1


@pytest.mark.parametrize("path", ["/lookup/a", "/filing/a", "/news/a", "/news-once/a"])
@pytest.mark.parametrize("status", ["000", "999"])
async def test_an_invalid_status_of_the_only_runner_reaches_the_caller(status, path):
    async with raw_runners.running([OddRunner("odd", status=status)]) as bench:
        answer, seconds = await timed_call(bench, path)
        assert answer.code == 502
        assert "X-Runner-Signature" not in answer.headers
        assert seconds < SOON_SECONDS


@pytest.mark.parametrize("status", ["000", "999"])
async def test_an_invalid_status_reaches_the_caller_through_another_node(status):
    """The node of the caller has no path to the runners."""
    odd = OddRunner("odd", status=status)
    async with raw_runners.running([odd], nodes=2) as bench:
        bench.links[0].cut(cut_links.Kind.RESET)
        await bench.call("/filing/a", node=0)
        await pool_fleet.until(lambda: not bench.reachabilities[0].has_path)
        for path in ("/lookup/a", "/filing/a", "/news/a"):
            answer, _ = await timed_call(bench, path, node=0)
            assert answer.code == 502, path
            assert "X-Runner-Signature" not in answer.headers
        assert odd.requests
