"""Failures that callers expect, as sentinel values with a reason.

A function that can be refused returns one of these instead of raising; exceptions are kept for
faults of the program itself and for broken transports below the interfaces.
"""

import dataclasses
import enum


class Outcome(enum.Enum):
    """What is known of whether a request has run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """An expected failure.

    Attributes:
        reason: One sentence for a person, with the ids it is about.
    """

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal(Failure):
    """A request that the system gives up on, as its caller is told.

    Attributes:
        code: Stable machine-readable code, such as `no_healthy_group`.
        status: HTTP status.
        outcome: Whether the request has run.
        retry_after: Seconds after which coming back makes sense, None when it never does.
    """

    code: str
    status: int
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float | None = None
