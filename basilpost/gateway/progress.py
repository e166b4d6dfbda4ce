"""What a request goes through on its way to targets: its tries, their results, and what they leave true."""

import dataclasses

from basilpost.core import catalog, channels, failure
from basilpost.gateway import admitting


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotSent(failure.Failure):
    """No connection: nothing has left."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun(failure.Failure):
    """The runner says that it has not run the request."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lost(failure.Failure):
    """The answer did not come whole; the request may have run.

    Attributes:
        left: True if this node left the target, so that its runner is not known to be lost.
    """

    left: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class BrokenOff(failure.Failure):
    """An answer that had begun could not be completed; the caller's connection was closed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Whole:
    """A whole answer that the caller is still to get."""

    head: channels.Head
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Streamed:
    """A stream that the caller has got whole."""


@dataclasses.dataclass(kw_only=True, eq=False)
class Progress:
    """What a request has gone through.

    Attributes:
        admitted: The request.
        tried: Ids of the targets it was sent to, or could not be.
        sends: Times that it may have begun to run.
        rejections: Times that a runner refused it unrun.
        target: Last target.
        waited: Seconds for which it waited for room at a target.
        fingerprint: What the request is known again by.
    """

    admitted: admitting.Admitted
    fingerprint: str
    tried: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    rejections: int = 0
    target: str = ""
    waited: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Returns True if the request may run more than once."""
        return self.admitted.route.repeat is catalog.Repeat.IDEMPOTENT

    @property
    def has_attempts(self) -> bool:
        """Returns True if the route lets the request run once more."""
        return self.repeatable and self.sends < self.admitted.route.max_attempts


def too_late(progress: Progress) -> failure.Refusal:
    """Returns the refusal of a request whose time is over; 503 only if nothing can have run."""
    if not progress.sends:
        return failure.Refusal(reason="no target in time", code="deadline", status=503)
    return failure.Refusal(
        reason="no whole answer in time",
        code="deadline",
        status=504,
        outcome=failure.Outcome.UNKNOWN,
    )


def corrected(progress: Progress, refusal: failure.Refusal) -> failure.Refusal:
    """Returns a refusal that is true of a request which may have run before."""
    if not progress.sends:
        return refusal
    return dataclasses.replace(
        refusal, status=502, outcome=failure.Outcome.UNKNOWN, retry_after=None
    )
