"""Expected failures, as values with a reason.

A function that may be refused returns one of these instead of raising. Exceptions are for bugs in
the program and for transport errors below the interfaces.
"""

import dataclasses
import enum


class Outcome(enum.Enum):
    """What is known about whether a request has run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """An expected failure.

    Attributes:
        reason: One sentence for people, with the ids that it concerns.
    """

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal(Failure):
    """A request that the system refuses or gives up, as reported to its caller.

    Attributes:
        code: Stable machine-readable code, such as `no_healthy_group`.
        status: HTTP status.
        outcome: Whether the request has run.
        retry_after: Seconds after which the caller may retry, None if a retry cannot succeed.
        cause: Id of the entry for which it is refused, empty for none.
    """

    code: str
    status: int
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float | None = None
    cause: str = ""
