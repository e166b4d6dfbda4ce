"""Mutual authentication of two nodes that share a secret.

Each side sends a hello with a nonce, and proves that it knows the secret by an HMAC over both
hellos. The HMAC covers the sender's role, so that a proof cannot be reflected to the side that made
it.
"""

import asyncio
import dataclasses
import hashlib
import hmac
import secrets
from typing import TypeVar

from basilpost.core import codec
from basilpost.members import wire

T = TypeVar("T")

_NONCE_BYTES = 16
MAX_ID_CHARACTERS = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class Hello:
    """The first frame on a stream, in both directions.

    Attributes:
        protocol: Version of the peer protocol.
        node_id: Id of the sender.
        nonce: Random bytes that the other side's proof has to cover.
        lasting: False on a stream that is opened on demand and closed when idle.
    """

    protocol: int
    node_id: str
    nonce: bytes
    lasting: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Proof:
    """The second frame on a stream, in both directions.

    Attributes:
        digest: HMAC-SHA256 over the sender's role and both hellos.
    """

    digest: bytes


async def run(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    *,
    node_id: str,
    secret: str,
    dialled: bool,
    lasting: bool = True,
) -> Hello | wire.FrameRefused:
    """Authenticates both sides; returns the other side's hello, or why it is rejected.

    Args:
        reader: Receives from the other side.
        writer: Sends to the other side.
        node_id: Id of this node.
        secret: The shared secret.
        dialled: True on the side that opened the stream.
        lasting: Sent in this side's hello.
    """
    mine = Hello(
        protocol=wire.PROTOCOL,
        node_id=node_id,
        nonce=secrets.token_bytes(_NONCE_BYTES),
        lasting=lasting,
    )
    writer.write(wire.frame(codec.to_msgpack(mine)))
    theirs = await _read(reader, Hello)
    if isinstance(theirs, wire.FrameRefused):
        return theirs
    if theirs.protocol != wire.PROTOCOL or not 0 < len(theirs.node_id) <= MAX_ID_CHARACTERS:
        return _refused(f"protocol {theirs.protocol} of {theirs.node_id[:MAX_ID_CHARACTERS]!r}")
    if theirs.node_id == node_id or theirs.nonce == mine.nonce:
        return _refused("the other side is this node")
    dialler, listener = (mine, theirs) if dialled else (theirs, mine)
    proof = Proof(digest=_digest(secret, dialled, dialler, listener))
    writer.write(wire.frame(codec.to_msgpack(proof)))
    answer = await _read(reader, Proof)
    if isinstance(answer, wire.FrameRefused):
        return answer
    if not hmac.compare_digest(answer.digest, _digest(secret, not dialled, dialler, listener)):
        return _refused(f"{theirs.node_id!r} does not know the secret")
    return theirs


async def _read(reader: asyncio.StreamReader, kind: type[T]) -> T | wire.FrameRefused:
    raw = await wire.read_frame(reader, limit=wire.MAX_HANDSHAKE_BYTES)
    if isinstance(raw, wire.FrameRefused):
        return raw
    try:
        return codec.from_msgpack(raw, kind)
    except Exception as error:
        return _refused(f"no {kind.__name__}: {type(error).__name__}")


def _digest(secret: str, by_dialler: bool, dialler: Hello, listener: Hello) -> bytes:
    role = b"dialler" if by_dialler else b"listener"
    text = codec.to_msgpack(dialler) + codec.to_msgpack(listener)
    return hmac.new(secret.encode(), role + text, hashlib.sha256).digest()


def _refused(reason: str) -> wire.FrameRefused:
    return wire.FrameRefused(reason=reason, cause="unauthenticated")
