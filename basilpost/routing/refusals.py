"""The refusals of routing: one function for each code that a caller may see.

Routing refuses before it gives a slot, so `not-run` is true of the dispatch that was asked for.
Whoever has dispatched the request before must report the outcome of that dispatch instead.
"""

from basilpost.core import failure
from basilpost.members import standing
from basilpost.routing import interfaces

SHORTEST_RETRY_SECONDS = 0.5
NO_TARGET_RETRY_SECONDS = 2.0


def unknown_workspace(request: interfaces.Request) -> failure.Refusal:
    """The workspace was removed."""
    return failure.Refusal(
        reason=f"there is no workspace {request.workspace}", code="unknown_workspace", status=403
    )


def unknown_service(request: interfaces.Request) -> failure.Refusal:
    """The service is not configured."""
    return failure.Refusal(
        reason=f"there is no service {request.service}", code="unknown_service", status=404
    )


def not_serving(verdict: standing.NotServing) -> failure.Refusal:
    """The node may not take new work."""
    return failure.Refusal(
        reason=verdict.reason, code="not_serving", status=503, retry_after=verdict.retry_after
    )


def stopping() -> failure.Refusal:
    """The node stops."""
    return failure.Refusal(
        reason="the node is stopping", code="not_serving", status=503, retry_after=1.0
    )


def no_healthy_group(request: interfaces.Request) -> failure.Refusal:
    """No target is left to try."""
    return failure.Refusal(
        reason=f"{request.service} has no healthy target left for {request.request_id}",
        code="no_healthy_group",
        status=503,
        retry_after=NO_TARGET_RETRY_SECONDS,
    )


def queue_full(request: interfaces.Request, seconds: float) -> failure.Refusal:
    """The queue has no place left for the workspace."""
    return failure.Refusal(
        reason=f"the queue of {request.service} is full",
        code="queue_full",
        status=503,
        retry_after=max(SHORTEST_RETRY_SECONDS, seconds),
    )


def too_late(request: interfaces.Request, seconds: float) -> failure.Refusal:
    """The request could not end before its deadline."""
    return failure.Refusal(
        reason=f"{request.service} is too busy to answer {request.request_id} by its deadline",
        code="deadline_unreachable",
        status=503,
        retry_after=max(SHORTEST_RETRY_SECONDS, seconds),
    )


def deadline_passed(request: interfaces.Request) -> failure.Refusal:
    """The deadline passed while the request waited."""
    return failure.Refusal(
        reason=f"the deadline of {request.request_id} has passed",
        code="deadline_passed",
        status=504,
        retry_after=SHORTEST_RETRY_SECONDS,
    )
