"""Frames and envelopes of the peer streams.

A frame is a length, a 4-byte big-endian integer, followed by that many bytes of msgpack. They hold
an envelope, which names the type of the message in it, so that a node rejects types it does not
know.
"""

import asyncio
import dataclasses
import enum
import struct
from typing import Any

import msgpack

from basilpost.core import codec, failure

PROTOCOL = 1
MAX_FRAME_BYTES = 4_000_000
MAX_HANDSHAKE_BYTES = 1_000
_LENGTH = struct.Struct(">I")
_ENVELOPE_FIELDS = 4


class Mode(enum.IntEnum):
    """What an envelope carries; only a request is answered, by a reply or by NO_REPLY."""

    MESSAGE = 0
    REQUEST = 1
    REPLY = 2
    NO_REPLY = 3
    HEARTBEAT = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class FrameRefused(failure.Failure):
    """A frame that is rejected; the stream that it came from is closed.

    Attributes:
        cause: Value of the `cause` label of `basilpost_peer_streams_closed_total`.
    """

    cause: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Envelope:
    """A decoded frame.

    Attributes:
        mode: Whether it carries a message, a request, a reply, no reply or a heartbeat.
        call: Id that matches a reply to its request; 0 for messages and heartbeats.
        message: The message, None for heartbeats and empty replies.
    """

    mode: Mode
    call: int = 0
    message: Any = None


class MessageRegistry:
    """The message types that a node can decode, by their names on the wire."""

    def __init__(self) -> None:
        self._kinds_by_name: dict[str, type] = {}

    def add(self, kind: type) -> None:
        """Adds a message type; adding it again has no effect.

        Raises:
            ValueError: If another type has the same name on the wire.
        """
        known = self._kinds_by_name.setdefault(name_of(kind), kind)
        if known is not kind:
            raise ValueError(f"two message types have the wire name {name_of(kind)}")

    def encode(self, envelope: Envelope) -> bytes:
        """Returns the envelope as one frame.

        Raises:
            ValueError: If the frame would be larger than `MAX_FRAME_BYTES`.
        """
        name, body = "", None
        if envelope.message is not None:
            name = name_of(type(envelope.message))
            body = codec.msgpack_converter().unstructure(envelope.message)
        raw = msgpack.packb((int(envelope.mode), envelope.call, name, body))
        if len(raw) > MAX_FRAME_BYTES:
            raise ValueError(f"message {name} of {len(raw)} bytes exceeds the frame limit")
        return frame(raw)

    def decode(self, raw: bytes) -> Envelope | FrameRefused:
        """Returns the envelope in a frame's content, or why it is rejected."""
        try:
            fields = msgpack.unpackb(raw, strict_map_key=False)
        # A map whose key is a list or a map raises TypeError.
        except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as error:
            return _malformed(f"the frame is not msgpack: {error!r}")
        if not isinstance(fields, list) or len(fields) != _ENVELOPE_FIELDS:
            return _malformed("the frame is not an envelope")
        mode, call, name, body = fields
        if mode not in set(Mode) or type(call) is not int or not isinstance(name, str):
            return _malformed("the frame is not an envelope")
        if not name:
            return Envelope(mode=Mode(mode), call=call)
        return self._decode_message(Mode(mode), call, name, body)

    def _decode_message(
        self, mode: Mode, call: int, name: str, body: Any
    ) -> Envelope | FrameRefused:
        kind = self._kinds_by_name.get(name)
        if kind is None:
            return FrameRefused(reason=f"unknown message type {name[:80]!r}", cause="unknown")
        try:
            message: Any = codec.msgpack_converter().structure(body, kind)
        except Exception as error:
            return _malformed(f"no {name}: {type(error).__name__}")
        return Envelope(mode=mode, call=call, message=message)


def name_of(kind: type) -> str:
    """Returns the type's name on the wire: its base name and, from 2 on, its `VERSION`."""
    version = getattr(kind, "VERSION", 1)
    return base_name_of(kind) if version == 1 else f"{base_name_of(kind)}/{version}"


def base_name_of(kind: type) -> str:
    """Returns the type's name without a version: its `WIRE_NAME`, or else its class name."""
    name: str = getattr(kind, "WIRE_NAME", kind.__name__)
    return name


def frame(raw: bytes) -> bytes:
    """Returns the content as a frame, with its length in front."""
    return _LENGTH.pack(len(raw)) + raw


async def read_frame(reader: asyncio.StreamReader, *, limit: int) -> bytes | FrameRefused:
    """Returns the content of the next frame, or why it is rejected.

    A frame longer than `limit` bytes is rejected without reading its content.
    """
    try:
        (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
        if length > limit:
            return FrameRefused(reason=f"a frame of {length} bytes", cause="oversized")
        return await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError) as error:
        return FrameRefused(reason=f"the stream ended: {error!r}", cause="ended")


def _malformed(reason: str) -> FrameRefused:
    return FrameRefused(reason=reason, cause="malformed")


HEARTBEAT_FRAME = MessageRegistry().encode(Envelope(mode=Mode.HEARTBEAT))
