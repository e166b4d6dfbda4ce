"""The platform's headers, to and from the product's records."""

import tornado.httputil

from basilpost.routing import calls

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


class PlatformDialect(calls.Dialect):
    """Translates the platform's headers."""

    def read_call(self, headers: tornado.httputil.HTTPHeaders) -> calls.Call:
        """Returns what a caller's headers say; a number that cannot be read counts as missing."""
        budget = _number(headers.get(_BUDGET, ""))
        prompt, _, answer = headers.get(_TOKENS, "").partition(",")
        return calls.Call(
            request_id=headers.get(_ATTEMPT, ""),
            key=headers.get(_KEY, ""),
            budget=None if budget is None else budget / _MS,
            model=headers.get(_MODEL, ""),
            prompt_tokens=int(_number(prompt) or 0),
            answer_tokens=int(_number(answer) or 0),
            last_event=headers.get(_LAST_EVENT, ""),
        )

    def forwarded(
        self, headers: tornado.httputil.HTTPHeaders, added: calls.Forwarding
    ) -> tornado.httputil.HTTPHeaders:
        """Returns the headers of the request as it goes to a runner."""
        result = _without(headers, _SET_BY_NODE)
        result[EXPECT_VM] = added.vm_id
        result[_BUDGET] = str(max(1, int(added.budget * _MS)))
        result[_PRIORITY] = str(min(_LOWEST_PRIORITY, max(0, added.priority)))
        if added.workspace:
            result[_WORKSPACE] = added.workspace
        if added.last_event:
            result[_LAST_EVENT] = added.last_event
        return result

    def read_verdict(self, status: int, headers: tornado.httputil.HTTPHeaders) -> calls.Verdict:
        """Returns what the head of a runner's answer says."""
        return calls.Verdict(
            request_id=headers.get(_ATTEMPT, ""),
            signed=_SIGNATURE in headers,
            not_run=_NOT_RUN in headers or status == _MISDIRECTED,
            vm_at_fault=headers.get(_AT_FAULT, ""),
            cold_seconds=(_number(headers.get(_COLD, "")) or 0.0) / _MS,
        )

    def returned(self, headers: tornado.httputil.HTTPHeaders) -> tornado.httputil.HTTPHeaders:
        """Returns the headers of a runner's answer as they go to the caller."""
        return _without(headers, frozenset())

    def refused(self, request_id: str) -> dict[str, str]:
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
