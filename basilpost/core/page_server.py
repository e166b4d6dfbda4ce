"""Serves a few small pages to programs that watch a node, such as load balancers."""

import tornado.web

from basilpost.core import connection_limits, kernel, listener

MAX_HEADER_BYTES = 16_384
# No page takes a body; a small one is read, so that its sender gets an answer.
MAX_BODY_BYTES = 65_536
# Far above what an answer takes, and what a connection is left idle between two questions.
LIMITS = connection_limits.Limits(
    header_seconds=10.0, idle_seconds=600.0, answer_seconds=10.0, max_connections=16
)


def make(
    *, application: tornado.web.Application, name: str, kernel: kernel.Kernel
) -> listener.Listener:
    """Returns a server for an application whose answers are small and made at once."""
    return listener.Listener(
        application,
        name=name,
        kernel=kernel,
        limits=lambda: LIMITS,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_BODY_BYTES,
        max_buffer_size=MAX_HEADER_BYTES + MAX_BODY_BYTES,
    )
