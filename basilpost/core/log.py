"""Sets up structured logging: one event a line, with the node and the request where known."""

import logging
import sys

import structlog


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
            structlog.processors.dict_tracebacks,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )
