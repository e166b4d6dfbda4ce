"""Which connections of callers are closed first when all of them hold too many bytes."""

import contextlib
import socket

import prometheus_client
import structlog

from basilpost.core import caller_stream, connection_memory, turns

MAX_BYTES = 1_000_000
ANSWER_BYTES = 400_000
HEAD_BYTES = 60_000
SENT_AT_ONCE_BYTES = 16_384


@contextlib.contextmanager
def connection(memory):
    """Yields the node's end of a connection and the socket of its caller."""
    node_end, caller_end = socket.socketpair()
    node_end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SENT_AT_ONCE_BYTES)
    stream = caller_stream.CallerStream(
        node_end, memory=memory, read_turns=turns.Turns(), max_buffer_size=10 * HEAD_BYTES
    )
    try:
        yield stream, caller_end
    finally:
        stream.close()
        caller_end.close()


# The answer of a request that has run was cut as soon as it was written, for newer heads without an end.
async def test_an_answer_that_was_just_written_is_cut_before_heads_without_an_end():
    memory = connection_memory.ConnectionMemory(
        max_bytes=MAX_BYTES,
        log=structlog.get_logger(),
        registry=prometheus_client.CollectorRegistry(),
    )
    with contextlib.ExitStack() as stack:
        answered, _ = stack.enter_context(connection(memory))
        answered.carries_request = True
        answered.write(b"x" * ANSWER_BYTES)
        heads = [stack.enter_context(connection(memory)) for _ in range(12)]
        for stream, caller in heads:
            caller.setblocking(False)
            sent = 0
            while sent < HEAD_BYTES:
                sent += caller.send(b"x" * min(SENT_AT_ONCE_BYTES, HEAD_BYTES - sent))
                stream._read_to_buffer()
        assert not answered.closed()
        assert any(stream.closed() for stream, _ in heads)
