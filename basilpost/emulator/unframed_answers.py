"""Emulates runners whose answers have no length: the end of the connection is their end."""

import dataclasses
import random
import socket
import struct

from tornado import httputil, iostream

# Range of the share of answers that a runner of a drawn mix sends so.
_DRAWN_SHARE = (0.4, 1.0)
_DRAWN_PAUSE_SECONDS = (0.0, 0.2)
_FRAMING = ("Content-Length", "Transfer-Encoding", "Connection")


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnframedAnswers:
    """Which answers of a runner have no length.

    Attributes:
        share: Share of the answers, from 0 to 1.
        pause_seconds: Pause within the answer of a plain service, in which a fault can cut it.
    """

    share: float
    pause_seconds: float = 0.0

    def draw(self, rng: random.Random) -> bool:
        """Returns True if the answer to a request has no length."""
        return rng.random() < self.share


def draw_unframed_answers(rng: random.Random) -> UnframedAnswers:
    """Returns how many answers of one runner have no length."""
    return UnframedAnswers(
        share=rng.uniform(*_DRAWN_SHARE), pause_seconds=rng.uniform(*_DRAWN_PAUSE_SECONDS)
    )


def encode_head(headers: httputil.HTTPHeaders) -> bytes:
    """Returns the head of a success without a length, with the headers of one that has one."""
    lines = ["HTTP/1.1 200 OK"]
    lines += [f"{name}: {value}" for name, value in headers.get_all() if name not in _FRAMING]
    return "\r\n".join([*lines, "Connection: close", "", ""]).encode()


def reset(stream: iostream.IOStream) -> None:
    """Ends a connection with a reset, so that an answer on it does not look complete."""
    if not stream.closed():
        linger = struct.pack("ii", 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        stream.close()
