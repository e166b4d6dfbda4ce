"""Accepts connections while the process may be out of descriptors.

A connection that cannot be accepted stays in the queue of its listening socket, and the event loop would
report the socket as readable again at once, for as long as there is no descriptor.
"""

import contextlib
import errno
import socket
from collections.abc import Callable

_EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE})


class ListeningSocket:
    """A listening socket that always takes the next connection out of its queue, as Tornado needs it.

    Args:
        inner: The listening socket.
        free_descriptor: Closes something of less use than a new connection; returns False if there is
            nothing.
        on_refused: Called after a connection was closed at once, as no descriptor was free.
    """

    def __init__(
        self,
        *,
        inner: socket.socket,
        free_descriptor: Callable[[], bool],
        on_refused: Callable[[], None],
    ) -> None:
        self._inner = inner
        self._free_descriptor = free_descriptor
        self._on_refused = on_refused
        # Its descriptor takes a connection out of the queue that cannot be kept. Sockets may have a limit
        # of their own, so it is one.
        self._spare: socket.socket | None = socket.socket()

    def fileno(self) -> int:
        """Returns the descriptor of the listening socket."""
        return self._inner.fileno()

    def close(self) -> None:
        """Closes the listening socket."""
        self._close_spare()
        self._inner.close()

    def accept(self) -> tuple[socket.socket, object]:
        """Returns the next connection and its address.

        Raises:
            ConnectionAbortedError: If the next connection was closed for lack of a descriptor.
        """
        try:
            return self._inner.accept()
        except OSError as error:
            if error.errno not in _EXHAUSTED:
                raise
        if self._free_descriptor():
            return self._inner.accept()
        self._refuse_next()
        raise ConnectionAbortedError

    def _refuse_next(self) -> None:
        self._close_spare()
        try:
            connection, _ = self._inner.accept()
            connection.close()
            self._on_refused()
        finally:
            with contextlib.suppress(OSError):
                self._spare = socket.socket()

    def _close_spare(self) -> None:
        if self._spare is not None:
            self._spare.close()
            self._spare = None
