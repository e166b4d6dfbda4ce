"""The platform's headers, to and from the product's records."""

import tornado.httputil

from basilpost.routing import header_dialect

EXPECT_VM = "X-Expect-Runner"
_ATTEMPT = "X-Attempt-Id"
_KEY = "X-Credential"
_BUDGET = "X-Deadline-Ms"
_MODEL = "X-Model"
# Two numbers: tokens of the prompt, and the most tokens of the answer.
_TOKENS = "X-Token-Usage"
_LAST_EVENT = "Last-Event-Id"
_WORKSPACE = "X-Tenant"
_PRIORITY = "X-Request-Priority"
_SIGNATURE = "X-Runner-Signature"
_NOT_RUN = "X-Not-Executed"
_AT_FAULT = "At-Server"
_COLD = "X-Cold-Ms"

_MS = 1000.0
_LOWEST_PRIORITY = 9
_MISDIRECTED = 421
# Headers that concern one connection only.
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
_SET_BY_NODE = frozenset({_KEY, _WORKSPACE, _BUDGET, EXPECT_VM, _PRIORITY, "Content-Length"})


class PlatformDialect(header_dialect.HeaderDialect):
    """Translates the platform's headers."""

    def parse_request(self, headers: tornado.httputil.HTTPHeaders) -> header_dialect.RequestInfo:
        """Returns what a caller's headers say; a number that cannot be read counts as missing."""
        budget = _number(headers.get(_BUDGET, ""))
        prompt, _, answer = headers.get(_TOKENS, "").partition(",")
        return header_dialect.RequestInfo(
            request_id=headers.get(_ATTEMPT, ""),
            key=headers.get(_KEY, ""),
            budget_seconds=None if budget is None else budget / _MS,
            model=headers.get(_MODEL, ""),
            prompt_tokens=int(_number(prompt) or 0),
            max_answer_tokens=int(_number(answer) or 0),
            last_event_id=headers.get(_LAST_EVENT, ""),
        )

    def request_headers(
        self, headers: tornado.httputil.HTTPHeaders, added: header_dialect.ForwardingInfo
    ) -> tornado.httputil.HTTPHeaders:
        """Returns the headers of the request as it goes to a runner."""
        result = _without(headers, _SET_BY_NODE)
        result[EXPECT_VM] = added.vm_id
        result[_BUDGET] = str(max(1, int(added.budget_seconds * _MS)))
        result[_PRIORITY] = str(min(_LOWEST_PRIORITY, max(0, added.priority)))
        if added.workspace:
            result[_WORKSPACE] = added.workspace
        if added.last_event_id:
            result[_LAST_EVENT] = added.last_event_id
        return result

    def parse_response(
        self, status: int, headers: tornado.httputil.HTTPHeaders
    ) -> header_dialect.ResponseInfo:
        """Returns what the head of a runner's answer says."""
        return header_dialect.ResponseInfo(
            request_id=headers.get(_ATTEMPT, ""),
            signed=_SIGNATURE in headers,
            not_run=_NOT_RUN in headers or status == _MISDIRECTED,
            vm_at_fault=headers.get(_AT_FAULT, ""),
            cold_seconds=(_number(headers.get(_COLD, "")) or 0.0) / _MS,
        )

    def response_headers(
        self, headers: tornado.httputil.HTTPHeaders
    ) -> tornado.httputil.HTTPHeaders:
        """Returns the headers of a runner's answer as they go to the caller."""
        return _without(headers, frozenset())

    def refusal_headers(self, request_id: str) -> dict[str, str]:
        """Returns the headers that name the request in an answer of the node's own."""
        return {_ATTEMPT: request_id} if request_id else {}


def _without(
    headers: tornado.httputil.HTTPHeaders, dropped: frozenset[str]
) -> tornado.httputil.HTTPHeaders:
    """Copies headers but for those of one connection, the ones it names, and `dropped`."""
    named = {part.strip().title() for part in headers.get("Connection", "").split(",")}
    result = tornado.httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name not in _HOP_BY_HOP and name not in dropped and name not in named:
            result.add(name, value)
    return result


def _number(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None
