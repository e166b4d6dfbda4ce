"""Maps failures to HTTP error answers of the administration API, and parses its requests."""

import dataclasses
import json
import re
from typing import Any

from basilpost.admin import audit_reader, limits, ports, proposals, tokens
from basilpost.core import failure
from basilpost.settings import configuration, loader

MAX_DEPTH = 20


@dataclasses.dataclass(frozen=True, kw_only=True)
class BadRequest(failure.Failure):
    """A malformed request.

    Attributes:
        status: HTTP status.
        code: Machine-readable code.
    """

    status: int = 400
    code: str = "bad_request"


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoSuchPage(failure.Failure):
    """The API has no resource at the requested path."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class InternalError(failure.Failure):
    """An unexpected exception in a handler; the log has the details."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ErrorBody:
    """The machine-readable body of an error.

    Attributes:
        type: Category: request, permission, conflict, value, store, limit or fault.
        code: Stable machine-readable code.
        message: One sentence for a person.
        errors: Every error of a rejected value.
        current_version: Version of the object now, after a version conflict.
        changed_by: Operator who made the latest change, after a version conflict.
        attempt_id: Idempotency key for repeating a change of unknown outcome.
    """

    type: str
    code: str
    message: str
    errors: tuple[loader.SettingError, ...] = ()
    current_version: int | None = None
    changed_by: str = ""
    attempt_id: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ErrorMapping:
    """The HTTP status, type, code and outcome header that a type of failure is answered with."""

    status: int
    type: str
    code: str
    outcome: failure.Outcome = failure.Outcome.NOT_RUN


_MAPPINGS_BY_FAILURE: dict[type[failure.Failure], ErrorMapping] = {
    tokens.NoAccount: ErrorMapping(status=401, type="permission", code="no_account"),
    tokens.RoleMissing: ErrorMapping(status=403, type="permission", code="role_missing"),
    limits.RateLimited: ErrorMapping(status=429, type="limit", code="too_many_requests"),
    NoSuchPage: ErrorMapping(status=404, type="request", code="no_such_page"),
    InternalError: ErrorMapping(
        status=500, type="fault", code="fault", outcome=failure.Outcome.UNKNOWN
    ),
    configuration.Problems: ErrorMapping(status=422, type="value", code="invalid_value"),
    proposals.Lost: ErrorMapping(status=412, type="conflict", code="version_conflict"),
    proposals.Absent: ErrorMapping(status=404, type="request", code="no_such_object"),
    proposals.AttemptReused: ErrorMapping(status=409, type="conflict", code="attempt_reused"),
    proposals.NotWritten: ErrorMapping(status=503, type="store", code="store_unavailable"),
    proposals.Unsettled: ErrorMapping(
        status=504, type="store", code="outcome_unknown", outcome=failure.Outcome.UNKNOWN
    ),
    audit_reader.BadSince: ErrorMapping(status=400, type="request", code="bad_since"),
    ports.NoRun: ErrorMapping(status=404, type="request", code="no_such_run"),
    ports.NotOffered: ErrorMapping(status=501, type="request", code="not_offered"),
    ports.StoreUnavailable: ErrorMapping(status=503, type="store", code="store_unavailable"),
    ports.OutcomeUnknown: ErrorMapping(
        status=504, type="store", code="outcome_unknown", outcome=failure.Outcome.UNKNOWN
    ),
}


_TYPES_BY_STATUS = {409: "conflict", 503: "store"}


def error_mapping_of(error: failure.Failure) -> ErrorMapping:
    """Returns the mapping of a failure; that of `InternalError` for types not in the table."""
    if isinstance(error, BadRequest):
        return ErrorMapping(status=error.status, type="request", code=error.code)
    if isinstance(error, failure.Refusal):
        category = _TYPES_BY_STATUS.get(error.status, "request")
        return ErrorMapping(
            status=error.status, type=category, code=error.code, outcome=error.outcome
        )
    return _MAPPINGS_BY_FAILURE.get(type(error), _MAPPINGS_BY_FAILURE[InternalError])


def error_body(error: failure.Failure) -> ErrorBody:
    """Returns the body of a failure, with the optional fields that the failure has."""
    mapping = error_mapping_of(error)
    return ErrorBody(
        type=mapping.type,
        code=mapping.code,
        message=error.reason,
        errors=getattr(error, "errors", ()),
        current_version=getattr(error, "current_version", None),
        changed_by=getattr(error, "changed_by", ""),
        attempt_id=getattr(error, "attempt_id", ""),
    )


def parse_object(body: bytes) -> dict[str, Any] | BadRequest:
    """Parses a request body; returns `BadRequest` unless it is a JSON object of bounded depth."""
    try:
        raw = json.loads(body.decode("utf-8"), parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        return BadRequest(reason=f"the body is not JSON: {error}", code="bad_json")
    if not isinstance(raw, dict):
        return BadRequest(reason="the body has to be a JSON object", code="bad_json")
    if _nests_deeper(raw, MAX_DEPTH):
        return BadRequest(reason=f"the body nests deeper than {MAX_DEPTH} levels", code="bad_json")
    return raw


def parse_version(if_match: str, if_none_match: str) -> int | None | BadRequest:
    """Parses If-Match and If-None-Match: a version, or None for an object that must not exist."""
    if if_none_match.strip() == "*" and not if_match:
        return None
    match = re.fullmatch(r'\s*"?([0-9]{1,18})"?\s*', if_match, re.ASCII)
    if match is not None and not if_none_match:
        return int(match.group(1))
    return BadRequest(
        reason="a change needs If-Match: VERSION, or If-None-Match: * to create an object",
        status=428,
        code="condition_missing",
    )


def _nests_deeper(raw: Any, limit: int) -> bool:
    """Returns True if a value nests deeper than `limit`, without recursion on deep values."""
    containers = [raw]
    for _ in range(limit):
        containers = [
            child
            for container in containers
            for child in (container.values() if isinstance(container, dict) else container)
            if isinstance(child, dict | list)
        ]
        if not containers:
            return False
    return True


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number of JSON")
