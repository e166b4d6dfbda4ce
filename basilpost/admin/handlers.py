"""What every handler of the administration API does: limits, accounts, errors, answers."""

import dataclasses
from typing import Any

import tornado.web

from basilpost.admin import answers, context, limits, tokens
from basilpost.core import codec, failure, names

_MAX_REASON_CHARACTERS = 500
_SHOWN_CHARACTERS = 100


@dataclasses.dataclass(frozen=True, kw_only=True)
class ErrorAnswer:
    """The body of every answer that is a failure."""

    error: answers.ErrorBody


class Handler(tornado.web.RequestHandler):
    """Base of all handlers; `account` is the operator who asks."""

    account: tokens.Account

    def initialize(self, context: context.Context) -> None:
        """Takes the node's parts."""
        self.context = context

    def prepare(self) -> None:
        """Refuses requests of nobody and those over the limits.

        Rejected tokens have a limit of their own, so that guessing does not lock operators out.
        """
        self.context.in_flight.enter()
        found = tokens.identify(
            self.request.headers.get("Authorization", ""),
            self.context.directory.config(),
            bootstrap_digest=self.context.bootstrap_digest,
        )
        if isinstance(found, tokens.NoAccount):
            return self.fail(self.context.rejected.take() or found)
        self.account = found
        too_fast = self.context.requests.take()
        if too_fast is not None:
            return self.fail(too_fast)
        if len(self.request.body) > limits.MAX_BODY_BYTES:
            self.fail(_too_large(len(self.request.body)))

    def on_finish(self) -> None:
        """Counts the request as done."""
        self.context.in_flight.leave()

    def allowed(self, role: tokens.Role) -> bool:
        """Returns True if the operator has a role; otherwise answers the request."""
        missing = tokens.require(self.account, role)
        if missing is not None:
            self.fail(missing)
        return missing is None

    def fail(self, found: failure.Failure) -> None:
        """Answers with a failure."""
        shape = answers.shape_of(found)
        self.set_header(names.OUTCOME_HEADER, shape.outcome.value)
        retry_after = getattr(found, "retry_after", None)
        if retry_after is not None:
            self.set_header("Retry-After", str(max(1, round(retry_after))))
        self.answer(ErrorAnswer(error=answers.error_body(found)), status=shape.status)

    def answer(self, record: Any, *, status: int = 200) -> None:
        """Answers with a record as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header("Cache-Control", "no-store")
        self.finish(codec.to_json(record) + b"\n")

    def compute_etag(self) -> None:
        """Leaves entity tags to the handlers, which answer with versions."""
        return None

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers with an error in the API's own form when the program or the path is wrong."""
        if status_code >= 500:
            return self.fail(answers.Faulty(reason="the node failed on this request; see its log"))
        self.fail(
            answers.BadRequest(
                reason=f"{self.request.method} {self.request.path}: {self._reason}",
                status=status_code,
                code=f"http_{status_code}",
            )
        )

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs a fault of the program; errors of the operator's request are answered only."""
        if not isinstance(value, tornado.web.HTTPError):
            self.context.log.error("admin_request_failed", exc_info=(typ, value, tb))

    def reason(self) -> str | answers.BadRequest:
        """Returns the reason given in the query."""
        return check_reason(self.get_query_argument("reason", ""))

    def json_body(self) -> dict[str, Any] | answers.BadRequest:
        """Returns the request's body, which has to be a JSON object."""
        return answers.parse_object(self.request.body)


class NoSuchPageHandler(Handler):
    """Answers every path that the API does not have."""

    def prepare(self) -> None:
        """Answers without asking for a token."""
        self.context.in_flight.enter()
        self.fail(answers.NoSuchPage(reason=f"there is nothing at {self.request.path}"))


def _too_large(size: int) -> answers.BadRequest:
    reason = f"the body has {size} bytes, at most {limits.MAX_BODY_BYTES} are allowed"
    return answers.BadRequest(reason=reason, status=413, code="body_too_large")


def check_reason(text: Any) -> str | answers.BadRequest:
    """Checks a reason, which is kept in the audit trail."""
    if isinstance(text, str) and len(text) <= _MAX_REASON_CHARACTERS and text.isprintable():
        return text.strip()
    return answers.BadRequest(
        reason=f"a reason has at most {_MAX_REASON_CHARACTERS} printable characters",
        code="bad_reason",
    )


def required_reason(raw: dict[str, Any], *, also: tuple[str, ...] = ()) -> str | answers.BadRequest:
    """Reads the reason of an action from its body, which has no other keys than those named."""
    unknown = sorted(raw.keys() - {"reason", *also})
    if unknown:
        return answers.BadRequest(reason=f"unknown key {unknown[0][:_SHOWN_CHARACTERS]!r}")
    reason = check_reason(raw.get("reason"))
    if isinstance(reason, answers.BadRequest) or reason:
        return reason
    return answers.BadRequest(reason="a reason is needed", code="bad_reason")
