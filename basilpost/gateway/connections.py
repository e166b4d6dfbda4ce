"""The callers' connections of a server, and which of them have an unanswered request.

A planned stop needs to know both: work in flight has to end, and connections without any are closed.
"""

import tornado.http1connection


class Connections:
    """The open connections of callers.

    A connection is idle while it waits for the head of a request. It is busy from then until the whole
    answer has been written to the socket or the connection is closed.

    Attributes:
        closes_after_answer: True if callers are told that their connection is closed after the answer.
    """

    def __init__(self) -> None:
        self._idle: set[tornado.http1connection.HTTP1Connection] = set()
        self._busy: set[tornado.http1connection.HTTP1Connection] = set()
        self._accepts_requests = True
        self.closes_after_answer = False

    @property
    def idle(self) -> int:
        """Returns the number of connections that wait for a request."""
        return len(self._idle)

    @property
    def busy(self) -> int:
        """Returns the number of connections with an unanswered request."""
        return len(self._busy)

    def add_idle(self, connection: tornado.http1connection.HTTP1Connection) -> None:
        """Records that a connection waits for a request, or closes it if no more are accepted."""
        if self._accepts_requests:
            self._idle.add(connection)
        else:
            connection.close()

    def mark_busy(self, connection: tornado.http1connection.HTTP1Connection) -> None:
        """Records that the head of a request has arrived."""
        self._idle.discard(connection)
        self._busy.add(connection)

    def remove(self, connection: tornado.http1connection.HTTP1Connection) -> None:
        """Records that a request is answered, or that its connection is closed."""
        self._idle.discard(connection)
        self._busy.discard(connection)

    def stop_accepting(self) -> None:
        """Closes the idle connections, and the busy ones as soon as their request is answered."""
        self._accepts_requests = False
        for connection in list(self._idle):
            connection.close()

    def close(self) -> None:
        """Closes all connections."""
        self.stop_accepting()
        for connection in list(self._busy):
            connection.close()
        self._idle.clear()
        self._busy.clear()
