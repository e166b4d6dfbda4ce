"""Emulates runners in trouble whose answers have a status that HTTP does not have."""

import dataclasses
import random

# 101 answers a request for another protocol, which no node sends.
STATUSES = (0, 1, 99, 101, 600, 999)
# Range of the share of requests that a runner of a drawn mix answers so.
_DRAWN_SHARE = (0.05, 0.2)
_BODY = b"invalid"


@dataclasses.dataclass(frozen=True, kw_only=True)
class InvalidAnswers:
    """Which requests a runner answers with an invalid status.

    Attributes:
        share: Share of the requests, from 0 to 1.
    """

    share: float

    def draw_status(self, rng: random.Random) -> int | None:
        """Returns the status of the answer to a request, None if it is a valid one."""
        return rng.choice(STATUSES) if rng.random() < self.share else None


def draw_invalid_answers(rng: random.Random) -> InvalidAnswers:
    """Returns how often one runner answers with an invalid status."""
    return InvalidAnswers(share=rng.uniform(*_DRAWN_SHARE))


def encode(attempt: str, *, status: int, rng: random.Random) -> bytes:
    """Returns an answer with a status; its end is drawn.

    It has a length, no end, or one behind which a valid answer to the same request follows, also as what
    would be its body.
    """
    names = f"X-Attempt-Id: {attempt}\r\nX-Runner-Signature: s\r\n".encode()
    hidden = b"HTTP/1.1 200 OK\r\n" + names + b"Content-Length: 6\r\n\r\nhidden"
    framings = (
        (b"Content-Length: %d\r\n" % len(_BODY), _BODY),
        (b"", _BODY),
        (b"Content-Length: 0\r\n", hidden),
        (b"Content-Length: %d\r\n" % len(hidden), hidden),
    )
    framing, rest = rng.choice(framings)
    return b"HTTP/1.1 %03d Odd\r\n" % status + names + framing + b"\r\n" + rest
