"""Tells what waits on a connection that is idle, before it is used again or closed.

The event loop may not have read yet what has arrived, so the socket is asked as well.
"""

import socket
import ssl

from tornado import iostream


def has_unread(stream: iostream.IOStream) -> bool:
    """Returns True if bytes have arrived on an open connection that nobody has read."""
    # Tornado has no public access to its buffer; `reading` tells of readers only.
    return stream._read_buffer_size > 0 or bool(_peek(stream))


def is_quiet(stream: iostream.IOStream) -> bool:
    """Returns True if on an open connection nothing has arrived, neither bytes nor its end."""
    return stream._read_buffer_size == 0 and _peek(stream) is None


def is_open(stream: iostream.IOStream) -> bool:
    """Returns True unless a connection is closed or its end has arrived."""
    return not stream.closed() and _peek(stream) != b""


def has_buffered(stream: iostream.IOStream) -> bool:
    """Returns True if bytes were read from the socket that no reader has taken yet."""
    return stream._read_buffer_size > 0


def waits_for_bytes(stream: iostream.IOStream) -> bool:
    """Returns True if a reader waits and nothing that has arrived could still be passed to it."""
    return stream.reading() and not stream.closed() and _peek(stream) is None


def _peek(stream: iostream.IOStream) -> bytes | None:
    """Returns the next byte in the socket, empty after its end, None if nothing has arrived."""
    if isinstance(stream.socket, ssl.SSLSocket):
        # What is in the socket may be a record of TLS itself, such as a session ticket.
        return b"?" if stream.socket.pending() else None
    try:
        return stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b""
