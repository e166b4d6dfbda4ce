"""Translates between the platform's HTTP headers and the records of `routing.header_dialect`."""

import math

import tornado.httputil

from basilpost.core import catalog
from basilpost.routing import header_dialect

EXPECT_VM = "X-Expect-Runner"
# Path at which runners with an engine report their status; needs no slot.
REPORT_PATH = "/api/report"
_REQUEST_ID = "X-Attempt-Id"
_API_KEY = "X-Credential"
_DEADLINE = "X-Deadline-Ms"
_MODEL = "X-Model"
# Two numbers separated by a comma: tokens of the prompt, and the most tokens of the answer.
_TOKEN_COUNTS = "X-Token-Usage"
# Parts of the prompt in order, each as its id, a colon and its number of tokens.
_PROMPT_PARTS = "X-Prompt-Prefix"
# The caller's estimate of the tokens of the answer.
_ANSWER_ESTIMATE = "X-Length-Hint"
_LAST_EVENT_ID = "Last-Event-Id"
_WORKSPACE = "X-Tenant"
_PRIORITY = "X-Request-Priority"
_SIGNATURE = "X-Runner-Signature"
_NOT_RUN = "X-Not-Executed"
_AT_FAULT = "At-Server"
_COLD = "X-Cold-Ms"
# Requests per second that a runner in need takes from all nodes together, a decimal number.
_LIMIT = "Server-Limit"
# "1" in the answers of a runner that will stop.
_LEAVING = "Server-Leaving"
# Seconds, in a rejection: the runner wants nothing more from this node for so long.
_PAUSE = "Retry-After"

_MS_PER_SECOND = 1000.0
# Bounds on what is kept of a list of parts; requests have a few, with ids of some digits.
MAX_PROMPT_PARTS = 16
MAX_PART_ID_LENGTH = 64
_LOWEST_PRIORITY = 9
_MISDIRECTED_STATUS = 421
_UNAVAILABLE_STATUS = 503
MAX_LOGGED_VALUE = 64
# Headers that hold for one connection only and are never passed on.
_HOP_BY_HOP = frozenset(
    {
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Expect",
    }
)
# Headers of a caller that are not passed on: the node sets its own values, and keeps the API key.
_SET_BY_NODE = frozenset({_API_KEY, _WORKSPACE, _DEADLINE, EXPECT_VM, _PRIORITY, "Content-Length"})


class PlatformDialect(header_dialect.HeaderDialect):
    """Header names and units of the users' platform."""

    def parse_request(self, headers: tornado.httputil.HTTPHeaders) -> header_dialect.RequestInfo:
        """Returns what a caller's headers say; a number that cannot be parsed counts as missing."""
        budget_ms = _number(headers.get(_DEADLINE, ""))
        prompt, _, answer = headers.get(_TOKEN_COUNTS, "").partition(",")
        return header_dialect.RequestInfo(
            request_id=headers.get(_REQUEST_ID, ""),
            key=headers.get(_API_KEY, ""),
            budget_seconds=None if budget_ms is None else budget_ms / _MS_PER_SECOND,
            model=headers.get(_MODEL, ""),
            prompt_tokens=int(_number(prompt) or 0),
            max_answer_tokens=int(_number(answer) or 0),
            last_event_id=headers.get(_LAST_EVENT_ID, ""),
            prompt_parts=_part_ids(headers.get(_PROMPT_PARTS, "")),
            expected_answer_tokens=int(_non_negative(headers.get(_ANSWER_ESTIMATE, "")) or 0),
        )

    def request_headers(
        self, headers: tornado.httputil.HTTPHeaders, added: header_dialect.ForwardingInfo
    ) -> tornado.httputil.HTTPHeaders:
        """Returns the headers of a request as they are sent to a runner."""
        result = _without(headers, _SET_BY_NODE)
        result[EXPECT_VM] = added.vm_id
        result[_DEADLINE] = str(max(1, int(added.budget_seconds * _MS_PER_SECOND)))
        result[_PRIORITY] = str(min(_LOWEST_PRIORITY, max(0, added.priority)))
        if added.workspace:
            result[_WORKSPACE] = added.workspace
        if added.last_event_id:
            result[_LAST_EVENT_ID] = added.last_event_id
        return result

    def detour_headers(
        self, headers: tornado.httputil.HTTPHeaders, *, budget_seconds: float, last_event_id: str
    ) -> tornado.httputil.HTTPHeaders:
        """Returns the headers of a request as they are sent to another node, with the API key."""
        result = _without(headers, frozenset({_DEADLINE, "Content-Length"}))
        result[_DEADLINE] = str(max(1, int(budget_seconds * _MS_PER_SECOND)))
        if last_event_id:
            result[_LAST_EVENT_ID] = last_event_id
        return result

    def parse_response(
        self, status: int, headers: tornado.httputil.HTTPHeaders
    ) -> header_dialect.ResponseInfo:
        """Returns what the status and headers of a runner's answer say."""
        pause = headers.get(_PAUSE, "") if status == _UNAVAILABLE_STATUS else ""
        pause_seconds = _non_negative(pause)
        return header_dialect.ResponseInfo(
            request_id=headers.get(_REQUEST_ID, ""),
            signed=_SIGNATURE in headers,
            not_run=_NOT_RUN in headers or status == _MISDIRECTED_STATUS,
            vm_at_fault=headers.get(_AT_FAULT, ""),
            cold_seconds=(_number(headers.get(_COLD, "")) or 0.0) / _MS_PER_SECOND,
            limit_per_second=_non_negative(headers.get(_LIMIT, "")),
            pause_seconds=pause_seconds,
            bad_pause=pause[:MAX_LOGGED_VALUE] if pause_seconds is None else "",
            leaving=headers.get(_LEAVING, "").strip() == "1",
        )

    def response_headers(
        self, headers: tornado.httputil.HTTPHeaders
    ) -> tornado.httputil.HTTPHeaders:
        """Returns the headers of a runner's answer as they are sent to the caller."""
        return _without(headers, frozenset())

    def status_path(self, service: catalog.Service | None) -> str:
        """Returns the path of an engine's report, or of the health check of a plain service."""
        if service is None or service.engine is not None:
            return REPORT_PATH
        return service.health_path or REPORT_PATH

    def refusal_headers(self, request_id: str) -> dict[str, str]:
        """Returns the headers that name the request in an answer that the node itself gives."""
        return {_REQUEST_ID: request_id} if request_id else {}


def _without(
    headers: tornado.httputil.HTTPHeaders, dropped: frozenset[str]
) -> tornado.httputil.HTTPHeaders:
    """Copies headers without hop-by-hop ones, those that `Connection` names, and `dropped`."""
    named = {part.strip().title() for part in headers.get("Connection", "").split(",")}
    result = tornado.httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name not in _HOP_BY_HOP and name not in dropped and name not in named:
            result.add(name, value)
    return result


def _part_ids(text: str) -> tuple[str, ...]:
    ids = (part.partition(":")[0].strip() for part in text.split(",", MAX_PROMPT_PARTS))
    return tuple(part_id[:MAX_PART_ID_LENGTH] for part_id in ids if part_id)


def _non_negative(text: str) -> float | None:
    number = _number(text)
    return number if number is not None and number >= 0.0 else None


def _number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
