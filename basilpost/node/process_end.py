"""Logs why the process of a node ends, in every case that the program itself can see.

What it can't see, such as SIGKILL or a power failure, shows in the log as requests without an end and a
later `node_starting` without an earlier `node_ended`.
"""

import contextlib
import faulthandler
import os
import signal
import types
from typing import Any

import structlog

from basilpost.core import kernel as kernel_
from basilpost.core import log_writer, names
from basilpost.gateway import relay

# Longest time for which a node that ends waits for the reader of its log.
LOG_FLUSH_SECONDS = 0.2
# Signals that end a process by default and are not used by the node otherwise. SIGTERM is among them
# for the time before and after the event loop handles it.
SIGNALS = (
    signal.SIGTERM,
    signal.SIGQUIT,
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGPROF,
    signal.SIGIO,
    signal.SIGPWR,
    signal.SIGXCPU,
)
_EXIT_FAILED = 1


class ProcessEnd:
    """Logs the end of the process once, with the requests that are in flight, and closes the log.

    Attributes:
        kernel: The node's kernel, None before it is built.
    """

    def __init__(self, *, writer: log_writer.LineWriter) -> None:
        self.kernel: kernel_.Kernel | None = None
        self._writer = writer
        self._requests: tuple[str, ...] | None = None
        self._is_logged = False

    def watch_signals(self) -> None:
        """Logs the signals that would end the process without a line, and fatal errors as text."""
        with contextlib.suppress(ValueError, OSError, AttributeError):
            # Standard error may be closed.
            faulthandler.enable()
        for number in SIGNALS:
            if signal.getsignal(number) is signal.SIG_DFL:
                signal.signal(number, self._end_by_signal)

    def capture_requests(self) -> None:
        """Remembers the requests in flight, before the event loop cancels them."""
        if self._requests is None:
            self._requests = self._open_requests()

    def log_stop(self) -> None:
        """Logs the end of a planned stop."""
        self._log_end("stop", exit_code=0)

    def log_error(self, error: BaseException) -> None:
        """Logs the end by an exception that nothing has caught."""
        exit_code = _EXIT_FAILED
        if isinstance(error, SystemExit):
            exit_code = error.code if isinstance(error.code, int) else int(error.code is not None)
        self._log_end(type(error).__name__, exit_code=exit_code, error=error)

    def _end_by_signal(self, number: int, frame: types.FrameType | None) -> None:
        self._log_end(signal.Signals(number).name, exit_code=-number)
        signal.signal(number, signal.SIG_DFL)
        os.kill(os.getpid(), number)

    def _log_end(self, cause: str, *, exit_code: int, error: BaseException | None = None) -> None:
        if self._is_logged:
            return
        self._is_logged = True
        self.capture_requests()
        log: Any = self.kernel.log if self.kernel is not None else structlog.get_logger()
        (log.info if cause == "stop" else log.error)(
            "node_ended",
            cause=cause,
            exit_code=exit_code,
            requests=list(self._requests or ()),
            pid=os.getpid(),
            exc_info=error,
        )
        self._writer.close(timeout=LOG_FLUSH_SECONDS)

    def _open_requests(self) -> tuple[str, ...]:
        if self.kernel is None:
            return ()
        # The process may end before its services are registered.
        with contextlib.suppress(kernel_.ServiceMissingError):
            return self.kernel.find(names.RELAY, relay.Relay).recorder.open_requests()
        return ()
