"""Turns failures into the administration API's HTTP answers, in one table."""

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
    """A request that cannot be understood.

    Attributes:
        status: HTTP status.
        code: Machine-readable code.
    """

    status: int = 400
    code: str = "bad_request"


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoSuchPage(failure.Failure):
    """The API has nothing under a path."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faulty(failure.Failure):
    """The program has failed on a request; the log has the details."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ErrorBody:
    """An error as operators' programs read it.

    Attributes:
        type: Broad class: request, permission, conflict, value, store, limit or fault.
        code: Stable machine-readable code.
        message: One sentence for a person.
        errors: Every error of a value that was not accepted.
        current_version: Version of the object now, after a lost race.
        changed_by: Operator who made the latest change, after a lost race.
        attempt_id: Id with which an unsettled change may be repeated.
    """

    type: str
    code: str
    message: str
    errors: tuple[loader.SettingError, ...] = ()
    current_version: int | None = None
    changed_by: str = ""
    attempt_id: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shape:
    """How a type of failure is told: HTTP status, type, code, and whether a change took effect."""

    status: int
    type: str
    code: str
    outcome: failure.Outcome = failure.Outcome.NOT_RUN


_SHAPES_BY_FAILURE: dict[type[failure.Failure], Shape] = {
    tokens.NoAccount: Shape(status=401, type="permission", code="no_account"),
    tokens.RoleMissing: Shape(status=403, type="permission", code="role_missing"),
    limits.TooFast: Shape(status=429, type="limit", code="too_many_requests"),
    NoSuchPage: Shape(status=404, type="request", code="no_such_page"),
    Faulty: Shape(status=500, type="fault", code="fault", outcome=failure.Outcome.UNKNOWN),
    configuration.Problems: Shape(status=422, type="value", code="invalid_value"),
    proposals.Lost: Shape(status=412, type="conflict", code="version_conflict"),
    proposals.Absent: Shape(status=404, type="request", code="no_such_object"),
    proposals.AttemptReused: Shape(status=409, type="conflict", code="attempt_reused"),
    proposals.NotWritten: Shape(status=503, type="store", code="store_unavailable"),
    proposals.Unsettled: Shape(
        status=504, type="store", code="outcome_unknown", outcome=failure.Outcome.UNKNOWN
    ),
    audit_reader.BadSince: Shape(status=400, type="request", code="bad_since"),
    ports.NoRun: Shape(status=404, type="request", code="no_such_run"),
    ports.NotOffered: Shape(status=501, type="request", code="not_offered"),
    ports.StoreUnavailable: Shape(status=503, type="store", code="store_unavailable"),
    ports.OutcomeUnknown: Shape(
        status=504, type="store", code="outcome_unknown", outcome=failure.Outcome.UNKNOWN
    ),
}


_TYPES_BY_STATUS = {409: "conflict", 503: "store"}


def shape_of(found: failure.Failure) -> Shape:
    """Returns how a failure is told."""
    if isinstance(found, BadRequest):
        return Shape(status=found.status, type="request", code=found.code)
    if isinstance(found, failure.Refusal):
        broad = _TYPES_BY_STATUS.get(found.status, "request")
        return Shape(status=found.status, type=broad, code=found.code, outcome=found.outcome)
    return _SHAPES_BY_FAILURE.get(type(found), _SHAPES_BY_FAILURE[Faulty])


def error_body(found: failure.Failure) -> ErrorBody:
    """Returns the error of a failure with all details that it has."""
    shape = shape_of(found)
    return ErrorBody(
        type=shape.type,
        code=shape.code,
        message=found.reason,
        errors=getattr(found, "errors", ()),
        current_version=getattr(found, "current_version", None),
        changed_by=getattr(found, "changed_by", ""),
        attempt_id=getattr(found, "attempt_id", ""),
    )


def parse_object(body: bytes) -> dict[str, Any] | BadRequest:
    """Parses a request body that has to be a JSON object."""
    try:
        raw = json.loads(body.decode("utf-8"), parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        return BadRequest(reason=f"the body is not JSON: {error}", code="bad_json")
    if not isinstance(raw, dict):
        return BadRequest(reason="the body has to be a JSON object", code="bad_json")
    if _is_deeper(raw, MAX_DEPTH):
        return BadRequest(reason=f"the body nests deeper than {MAX_DEPTH} levels", code="bad_json")
    return raw


def parse_version(if_match: str, if_none_match: str) -> int | None | BadRequest:
    """Reads the condition of a change: a version, or None for an object that must not exist."""
    if if_none_match.strip() == "*" and not if_match:
        return None
    found = re.fullmatch(r'\s*"?([0-9]{1,18})"?\s*', if_match, re.ASCII)
    if found is not None and not if_none_match:
        return int(found.group(1))
    return BadRequest(
        reason="a change needs If-Match: VERSION, or If-None-Match: * to create an object",
        status=428,
        code="condition_missing",
    )


def _is_deeper(raw: Any, limit: int) -> bool:
    """Returns True if a value nests deeper than a limit; works without recursion itself."""
    level = [raw]
    for _ in range(limit):
        level = [
            inner
            for one in level
            for inner in (one.values() if isinstance(one, dict) else one)
            if isinstance(inner, dict | list)
        ]
        if not level:
            return False
    return True


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number of JSON")
