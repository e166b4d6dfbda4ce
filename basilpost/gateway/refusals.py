"""Builds the gateway's refusals, and writes refusals as HTTP responses."""

import json
import math

import tornado.web

from basilpost.core import failure, names
from basilpost.members import standing

_TYPES_BY_STATUS = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    408: "timeout_error",
    409: "conflict_error",
    413: "invalid_request_error",
    422: "invalid_request_error",
    429: "rate_limit_error",
}


def missing_key() -> failure.Refusal:
    """Returns the refusal of a request without a known API key."""
    return failure.Refusal(
        reason="no valid API key: send 'Authorization: Bearer KEY'",
        code="invalid_api_key",
        status=401,
    )


def forbidden(workspace: str, service: str) -> failure.Refusal:
    """Returns the refusal of a service that the workspace may not call."""
    return failure.Refusal(
        reason=f"workspace {workspace} may not call {service}", code="service_forbidden", status=403
    )


def bad_json(detail: str) -> failure.Refusal:
    """Returns the refusal of a body that is not the JSON that the call needs."""
    return failure.Refusal(reason=f"bad request body: {detail}", code="invalid_json", status=400)


def bad_header(name: str, allowed: str) -> failure.Refusal:
    """Returns the refusal of a header whose value is not valid."""
    return failure.Refusal(
        reason=f"header {name}: allowed is {allowed}", code="invalid_header", status=400
    )


def unknown_model(name: str) -> failure.Refusal:
    """Returns the refusal of a model that no service serves."""
    return failure.Refusal(reason=f"no model {name!r}", code="model_not_found", status=404)


def unknown_service(name: str) -> failure.Refusal:
    """Returns the refusal of a service that does not exist."""
    return failure.Refusal(reason=f"no service {name!r}", code="service_not_found", status=404)


def no_route(path: str) -> failure.Refusal:
    """Returns the refusal of a path that the gateway does not serve."""
    return failure.Refusal(reason=f"no such path: {path}", code="path_not_found", status=404)


def too_large(limit: int) -> failure.Refusal:
    """Returns the refusal of a body that is larger than `limit` bytes."""
    return failure.Refusal(
        reason=f"the body is larger than {limit} bytes", code="body_too_large", status=413
    )


def upload_timeout(seconds: float) -> failure.Refusal:
    """Returns the refusal of a body that took longer than `seconds` to arrive."""
    return failure.Refusal(
        reason=f"the body did not arrive within {seconds:g} s",
        code="upload_timeout",
        status=408,
        retry_after=1.0,
    )


def upload_given_up() -> failure.Refusal:
    """Returns the refusal of a body that arrived more slowly than others that found no room."""
    return failure.Refusal(
        reason="the body arrived slowly, and its room was needed for others",
        code="upload_timeout",
        status=408,
        retry_after=1.0,
    )


def memory_full() -> failure.Refusal:
    """Returns the refusal of a body while the node holds as many body bytes as it may."""
    return failure.Refusal(
        reason="this node holds too many request bodies now",
        code="node_busy",
        status=503,
        retry_after=1.0,
    )


def key_required() -> failure.Refusal:
    """Returns the refusal of a non-idempotent call without an idempotency key."""
    return failure.Refusal(
        reason=f"this call may not be repeated: send '{names.IDEMPOTENCY_HEADER}' with a unique key",
        code="idempotency_key_required",
        status=400,
    )


def stopping() -> failure.Refusal:
    """Returns the refusal of new requests during a planned stop."""
    return failure.Refusal(
        reason="this node is stopping", code="node_stopping", status=503, retry_after=1.0
    )


def not_serving(verdict: standing.NotServing) -> failure.Refusal:
    """Returns the refusal of new requests by a node whose view may be outdated."""
    return failure.Refusal(
        reason=verdict.reason, code="node_isolated", status=503, retry_after=verdict.retry_after
    )


def deadline_passed(outcome: failure.Outcome) -> failure.Refusal:
    """Returns the refusal of a request whose deadline passed before its answer was complete."""
    return failure.Refusal(
        reason="the deadline passed before the whole answer came",
        code="deadline_exceeded",
        status=504,
        outcome=outcome,
        retry_after=1.0,
    )


def target_lost(reason: str, outcome: failure.Outcome) -> failure.Refusal:
    """Returns the refusal of a request whose target failed and that is not sent again."""
    return failure.Refusal(
        reason=f"the target failed: {reason}",
        code="target_failed",
        status=502,
        outcome=outcome,
        retry_after=1.0 if outcome is not failure.Outcome.UNKNOWN else None,
    )


def error_body(refusal: failure.Refusal) -> bytes:
    """Returns a refusal as a JSON body, in the format of OpenAI's API."""
    error_type = _TYPES_BY_STATUS.get(refusal.status, "server_error")
    error = {"type": error_type, "code": refusal.code, "message": refusal.reason}
    return json.dumps({"error": error}).encode()


def write(
    handler: tornado.web.RequestHandler, refusal: failure.Refusal, *, close: bool = False
) -> None:
    """Finishes a handler's response with a refusal; `close` asks for the connection to be closed."""
    handler.clear()
    handler.set_status(refusal.status)
    handler.set_header("Content-Type", "application/json")
    handler.set_header(names.OUTCOME_HEADER, refusal.outcome.value)
    if refusal.retry_after is not None:
        handler.set_header("Retry-After", str(max(1, math.ceil(refusal.retry_after))))
    if close:
        handler.set_header("Connection", "close")
    handler.finish(error_body(refusal))
