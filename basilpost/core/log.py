"""Configures structured logging: one event per line, with the node and the request if known."""

import logging
import sys
import threading
from typing import Any

import structlog
import structlog.tracebacks

from basilpost.core import log_writer

# Leaves the values of variables out of tracebacks: they include callers' bodies and API keys, and
# formatting deeply nested ones takes minutes.
_traceback_without_values = structlog.tracebacks.ExceptionDictTransformer(show_locals=False)


def configure(*, json_lines: bool, level: str = "info") -> None:
    """Configures the process's loggers to write to standard error.

    Args:
        json_lines: True for one JSON object per line, False for a console format.
        level: The lowest level that is written: debug, info, warning or error.
    """
    renderer = (
        structlog.processors.JSONRenderer()
        if json_lines
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.ExceptionRenderer(_traceback_without_values),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )


def configure_bounded(*, descriptor: int, level: str) -> log_writer.LineWriter:
    """Configures a node's loggers: JSON lines, limited in rate and written without blocking.

    Args:
        descriptor: File descriptor to write to; it is made non-blocking.
        level: The lowest level that is written: debug, info, warning or error.

    Returns:
        The writer, to be closed before the process ends.
    """
    writer = log_writer.LineWriter(descriptor=descriptor)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.ExceptionRenderer(_traceback_without_values),
            log_writer.render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=lambda *args: log_writer.BoundedLogger(writer=writer),
    )
    return writer


class LibraryMessages(logging.Handler):
    """Logs warnings and errors of libraries, such as asyncio's on callbacks that have failed."""

    def __init__(self, *, log: Any) -> None:
        super().__init__(level=logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Logs a message; one of another thread goes to standard error."""
        if threading.current_thread() is not threading.main_thread():
            # The log belongs to the main thread.
            if logging.lastResort is not None:
                logging.lastResort.handle(record)
            return
        is_error = record.levelno >= logging.ERROR
        (self._log.error if is_error else self._log.warning)(
            "library_message",
            library=record.name,
            message=record.getMessage(),
            exc_info=record.exc_info,
        )
