"""The refusals of routing: one function for each cause that a caller is told.

Routing refuses before it assigns a slot, so the outcome `not-run` holds for this dispatch. If the
request was dispatched before, the code that dispatched it must report the outcome of that dispatch
instead.
"""

from basilpost.core import failure
from basilpost.members import standing
from basilpost.routing import interfaces

MIN_RETRY_SECONDS = 0.5
NO_TARGET_RETRY_SECONDS = 2.0


def unknown_workspace(request: interfaces.Request) -> failure.Refusal:
    """The workspace is not in the configuration, such as after it was removed."""
    return failure.Refusal(
        reason=f"there is no workspace {request.workspace}", code="unknown_workspace", status=403
    )


def unknown_service(request: interfaces.Request) -> failure.Refusal:
    """The service is not in the configuration."""
    return failure.Refusal(
        reason=f"there is no service {request.service}", code="unknown_service", status=404
    )


def not_serving(state: standing.NotServing) -> failure.Refusal:
    """The node must not take new work."""
    return failure.Refusal(
        reason=state.reason, code="not_serving", status=503, retry_after=state.retry_after
    )


def stopping() -> failure.Refusal:
    """The node is stopping."""
    return failure.Refusal(
        reason="the node is stopping", code="not_serving", status=503, retry_after=1.0
    )


def no_healthy_group(request: interfaces.Request) -> failure.Refusal:
    """No healthy target is left that has not failed the request."""
    return failure.Refusal(
        reason=f"{request.service} has no healthy target left for {request.request_id}",
        code="no_healthy_group",
        status=503,
        retry_after=NO_TARGET_RETRY_SECONDS,
    )


def queue_full(request: interfaces.Request, retry_seconds: float) -> failure.Refusal:
    """The queue is full, and the workspace uses its share of it."""
    return failure.Refusal(
        reason=f"the queue of {request.service} is full",
        code="queue_full",
        status=503,
        retry_after=max(MIN_RETRY_SECONDS, retry_seconds),
    )


def deadline_unreachable(request: interfaces.Request, retry_seconds: float) -> failure.Refusal:
    """The request would end after its deadline."""
    return failure.Refusal(
        reason=f"{request.service} is too busy to answer {request.request_id} by its deadline",
        code="deadline_unreachable",
        status=503,
        retry_after=max(MIN_RETRY_SECONDS, retry_seconds),
    )


def deadline_passed(request: interfaces.Request) -> failure.Refusal:
    """The deadline passed while the request waited."""
    return failure.Refusal(
        reason=f"the deadline of {request.request_id} has passed",
        code="deadline_passed",
        status=504,
        retry_after=MIN_RETRY_SECONDS,
    )
