"""The attempts to get a request answered, their results, and the refusals that follow from them."""

import dataclasses
import functools

from basilpost.core import catalog, channels, failure
from basilpost.gateway import request_admission
from basilpost.routing import crash_evidence

# Longest body of a failure that a node holds while another target is tried.
MAX_KEPT_FAILURE_BYTES = 65_536
# The names NotSent, NotRun and Lost are values of the log field `result` of `attempt_failed`.


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotSent(failure.Failure):
    """No connection to the target could be opened, so no byte of the request was sent."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun(failure.Failure):
    """The runner rejected the request and says that it has not run it."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lost(failure.Failure):
    """The answer did not arrive completely; the request may have run.

    Attributes:
        abandoned: True if this node closed the connection because the target stalled or its group is
            closed as planned. The runner may still be alive then.
        writing_seconds: Time from the first event that the target sent to the loss, 0 without any.
        stale_connection: True if a kept connection was closed at once, so that the target may have
            ended before it read the request.
        by_detour: True if another node sent the request; it looks for the cause of the loss.
        unattributed: True if the target sent answers of which none is surely that to the request.
    """

    abandoned: bool = False
    writing_seconds: float = 0.0
    stale_connection: bool = False
    by_detour: bool = False
    unattributed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class BrokenOff(failure.Failure):
    """A stream that was begun could not be completed; the caller's connection was closed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class WholeAnswer:
    """A complete answer of a target that is not sent to the caller yet."""

    head: channels.Head
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Streamed:
    """A stream was sent to the caller completely."""


@dataclasses.dataclass(kw_only=True, eq=False)
class Progress:
    """The attempts of one request so far.

    Attributes:
        admitted: The request.
        fingerprint: Identifies requests with the same workspace, path and body; see
            `crashes.request_fingerprint`.
        tried_targets: Ids of the targets that it was sent to or that could not be connected to.
        sends: Number of sends after which it may have run.
        rejections: Number of times that a runner rejected it without running it.
        target: Id of the last target, empty before the first.
        waited_seconds: Seconds for which it waited for a target with a free slot.
        address: `host:port` of the last target.
        lifetime: Run of the runner process that is the last target.
        unreached_targets: Those of `tried_targets` to which this node could open no connection.
        tried_nodes: Ids of the nodes that could not send it for this node.
        detour_node: Id of the node that sent it last for this node, empty if none did.
        predicted_seconds: Predicted time from the last send to the first event of its stream, 0 if it is
            not known.
        sent_at: When it was sent last, on `clock.elapsed`.
        first_event_at: When the first event of its stream came, None before.
        resumed: True if its last target was asked for the rest of a stream only.
        declined_targets: Ids of the targets that did not take its stream over, and have not run it.
        declines: How often targets did not take its stream over, and have not run it.
        may_move: True if another node, for which this one sends it, resumes it when it is broken off.
        failed_answer: The latest answer of a target with a status of 500 or above after which the request
            was sent once more, None without one or if it is large.
        joined: The attempt on which the request depends although another one began it, None without one.
        denials: Causes for which it was denied to be sent once more, each with the value of `sends`.
        repeats: Causes for which it was allowed to be sent once more, in their order.
        last_failure: What ended its last attempt that failed, empty without one.
        event_count: Number of events of its stream that were forwarded.
        last_event: Id of the last one of them, empty without one.
        answer_end: What marks the end of its stream; see `answer_sinks.AnswerEnd`.
    """

    admitted: request_admission.AdmittedRequest
    fingerprint: str
    tried_targets: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    rejections: int = 0
    target: str = ""
    waited_seconds: float = 0.0
    address: str = ""
    lifetime: str = ""
    unreached_targets: set[str] = dataclasses.field(default_factory=set)
    tried_nodes: set[str] = dataclasses.field(default_factory=set)
    detour_node: str = ""
    predicted_seconds: float = 0.0
    sent_at: float = 0.0
    first_event_at: float | None = None
    resumed: bool = False
    declined_targets: set[str] = dataclasses.field(default_factory=set)
    declines: int = 0
    may_move: bool = False
    failed_answer: WholeAnswer | None = None
    denials: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    repeats: list[str] = dataclasses.field(default_factory=list)
    last_failure: str = ""
    event_count: int = 0
    last_event: str = ""
    answer_end: str = ""
    joined: "Branch | None" = None

    @functools.cached_property
    def lost_request(self) -> crash_evidence.LostRequest:
        """Returns the request as evidence of a crash; the last part of its prompt is its own."""
        return crash_evidence.LostRequest(
            fingerprint=self.fingerprint, parts=self.admitted.call.prompt_parts[:-1]
        )

    @functools.cached_property
    def traits(self) -> tuple[crash_evidence.Trait, ...]:
        """Returns the traits by which requests that crash targets are recognised."""
        return self.lost_request.traits

    @property
    def repeatable(self) -> bool:
        """Returns True if the request may run more than once."""
        return self.admitted.route.repeat is catalog.Repeat.IDEMPOTENT

    @property
    def has_attempts_left(self) -> bool:
        """Returns True if the route allows that the request runs once more."""
        sends = self.sends + (self.joined.uncounted_sends if self.joined is not None else 0)
        return self.repeatable and sends < self.admitted.route.max_attempts

    def keep_failed_answer(self, answer: WholeAnswer) -> None:
        """Keeps a failure that a target has answered, unless it is large."""
        self.failed_answer = answer if len(answer.body) <= MAX_KEPT_FAILURE_BYTES else None


class Branch:
    """An attempt beside another one of the same request, each with a record of its own.

    Attributes:
        progress: The record of this attempt.
    """

    def __init__(self, trunk: Progress) -> None:
        if trunk.joined is not None:
            trunk.joined.count()
        self.progress = dataclasses.replace(
            trunk,
            joined=None,
            tried_targets=set(trunk.tried_targets),
            unreached_targets=set(trunk.unreached_targets),
        )
        self._trunk = trunk
        self._sends, self._rejections = trunk.sends, trunk.rejections

    @property
    def uncounted_sends(self) -> int:
        """Returns what this attempt has sent since it was counted last."""
        return self.progress.sends - self._sends

    def count_sends(self) -> None:
        """Counts what this attempt has sent since the last call as sent by the request."""
        self._trunk.sends += self.progress.sends - self._sends
        self._sends = self.progress.sends

    def count(self) -> None:
        """Counts sends and rejections of this attempt since the last call as those of the request."""
        self.count_sends()
        self._trunk.rejections += self.progress.rejections - self._rejections
        self._rejections = self.progress.rejections

    def replace_trunk(self) -> None:
        """Makes this attempt the last one of the request; the other one has ended."""
        self.count()
        trunk, branch = self._trunk, self.progress
        trunk.target, trunk.address, trunk.lifetime = branch.target, branch.address, branch.lifetime
        trunk.detour_node = branch.detour_node
        trunk.sent_at, trunk.predicted_seconds = branch.sent_at, branch.predicted_seconds
        trunk.tried_targets = branch.tried_targets
        trunk.unreached_targets = branch.unreached_targets
        trunk.joined = self


def deadline_refusal(progress: Progress) -> failure.Refusal:
    """Returns the refusal of a request past its deadline: 503 if it cannot have run, else 504."""
    if not progress.sends:
        return failure.Refusal(reason="no target in time", code="deadline", status=503)
    return failure.Refusal(
        reason="no whole answer in time",
        code="deadline",
        status=504,
        outcome=failure.Outcome.UNKNOWN,
    )


def corrected_refusal(progress: Progress, refusal: failure.Refusal) -> failure.Refusal:
    """Returns the refusal with outcome unknown and status 502 if the request may have run."""
    if not progress.sends or refusal.outcome is failure.Outcome.UNKNOWN:
        return refusal
    return dataclasses.replace(
        refusal, status=502, outcome=failure.Outcome.UNKNOWN, retry_after=None
    )


def final_result(progress: Progress, refusal: failure.Refusal) -> WholeAnswer | failure.Refusal:
    """Returns what a request ends with that no target answers any more.

    A failure that a target has answered goes before a refusal, which could say less to the caller.
    """
    return progress.failed_answer or corrected_refusal(progress, refusal)
