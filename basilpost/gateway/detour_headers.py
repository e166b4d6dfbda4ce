"""Headers between a node that cannot reach the runners and the node that sends its requests."""

import dataclasses
import enum
import json

import tornado.httputil

_CONFIGURATION = "Basilpost-Detour"
_TRIED = "Basilpost-Detour-Tried"
_MAY_MOVE = "Basilpost-Detour-May-Move"
_RESULT = "Basilpost-Detour-Result"
_TARGET = "Basilpost-Detour-Target"
_REQUEST = "Basilpost-Detour-Request"
_ALL = (_CONFIGURATION, _TRIED, _MAY_MOVE, _RESULT, _TARGET, _REQUEST)
_SEPARATOR = ","


class Result(enum.Enum):
    """What became of a request at the node that was to send it.

    Attributes:
        ANSWERED: The answer is that of a target.
        NOT_RUN: A target rejected the request without running it.
        LOST: It was sent to a target and may have run.
        REFUSED: It was sent to no target.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    LOST = "lost"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, kw_only=True)
class DetourContext:
    """What a node asks of another one besides the request itself.

    Attributes:
        configuration: Version of the configuration that the request was admitted by; an older one must
            not be applied to it.
        tried_targets: Ids of the targets that it must not be sent to again.
        may_move: True if the asking node sends the request once more when its target stalls.
    """

    configuration: int
    tried_targets: frozenset[str]
    may_move: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """The result of a request at another node.

    Attributes:
        result: What became of it.
        target_id: The target that it was sent to, empty for none.
        request_id: Its id; empty from nodes of an earlier version, and for a request without one.
    """

    result: Result
    target_id: str = ""
    request_id: str = ""

    def headers(self) -> dict[str, str]:
        """Returns the report as headers of the answer."""
        headers = {_RESULT: self.result.value, _TARGET: self.target_id}
        return headers | ({_REQUEST: self.request_id} if self.request_id else {})


def encode_context(context: DetourContext) -> dict[str, str]:
    """Returns the context of a detour as headers of the request."""
    return {
        _CONFIGURATION: str(context.configuration),
        _TRIED: _SEPARATOR.join(sorted(context.tried_targets)),
        _MAY_MOVE: str(int(context.may_move)),
    }


def decode_context(headers: tornado.httputil.HTTPHeaders) -> DetourContext | None:
    """Returns the context in the headers of a request, None if they hold no valid one."""
    version = headers.get(_CONFIGURATION, "")
    if not version.isdecimal():
        return None
    return DetourContext(
        configuration=int(version),
        tried_targets=frozenset(filter(None, headers.get(_TRIED, "").split(_SEPARATOR))),
        may_move=headers.get(_MAY_MOVE) == "1",
    )


def decode_report(headers: tornado.httputil.HTTPHeaders) -> Report | None:
    """Returns the report in the headers of an answer, None if they hold no valid one."""
    try:
        result = Result(headers.get(_RESULT, ""))
    except ValueError:
        return None
    return Report(
        result=result,
        target_id=headers.get(_TARGET, ""),
        request_id=headers.get(_REQUEST, ""),
    )


def without_detour(headers: tornado.httputil.HTTPHeaders) -> tornado.httputil.HTTPHeaders:
    """Returns a copy of headers without those of this module."""
    result = tornado.httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name not in _ALL:
            result.add(name, value)
    return result


def decode_error(body: bytes) -> tuple[str, str, str]:
    """Returns code, message and cause of a refusal by a node, empty texts if the body names none."""
    try:
        error = json.loads(body)["error"]
        return str(error["code"]), str(error["message"]), str(error["cause"])
    except (ValueError, TypeError, KeyError):
        return "", "", ""
