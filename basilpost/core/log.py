"""Sets up structured logging: one event a line, with the node and the request where known."""

import logging
import sys

import structlog
import structlog.tracebacks

from basilpost.core import log_writer

# The values of variables are left out: they hold callers' bodies and keys, and formatting deeply
# nested ones takes minutes.
_traceback_without_values = structlog.tracebacks.ExceptionDictTransformer(show_locals=False)


def configure(*, json_lines: bool, level: str = "info") -> None:
    """Configures the process's loggers; lines go to standard error.

    Args:
        json_lines: True for one JSON object a line, False for a console format.
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


def configure_bounded(*, descriptor: int, level: str) -> None:
    """Configures the process's loggers for a node: JSON lines that are bounded and never wait.

    Args:
        descriptor: File descriptor to write to, made non-blocking.
        level: The lowest level that is written: debug, info, warning or error.
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
