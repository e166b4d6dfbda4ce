"""Sets up structured logging: one event a line, with the node and the request where known."""

import logging
import sys

import structlog
import structlog.tracebacks

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
