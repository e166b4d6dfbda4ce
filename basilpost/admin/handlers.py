"""The base handler of the administration API: rate limits, accounts, errors and JSON answers."""

import dataclasses
from typing import Any

import tornado.web

from basilpost.admin import answers, context, limits, tokens
from basilpost.core import codec, failure, names

_MAX_REASON_CHARACTERS = 500
_SHOWN_CHARACTERS = 100


@dataclasses.dataclass(frozen=True, kw_only=True)
class ErrorAnswer:
    """The body of every error answer."""

    error: answers.ErrorBody


class Handler(tornado.web.RequestHandler):
    """Base of all handlers; `account` is the authenticated operator."""

    account: tokens.Account

    def initialize(self, context: context.Context) -> None:
        """Receives the context from the route."""
        self.context = context

    def prepare(self) -> None:
        """Authenticates the operator, and refuses requests above the rate or size limits.

        Rejected tokens have a separate limit, so that guessing does not lock operators out.
        """
        self.context.in_flight.enter()
        account = tokens.identify(
            self.request.headers.get("Authorization", ""),
            self.context.directory.config(),
            bootstrap_digest=self.context.bootstrap_digest,
        )
        if isinstance(account, tokens.NoAccount):
            return self.fail(self.context.rejected_tokens.try_acquire() or account)
        self.account = account
        rate_limited = self.context.requests.try_acquire()
        if rate_limited is not None:
            return self.fail(rate_limited)
        if len(self.request.body) > limits.MAX_BODY_BYTES:
            self.fail(_too_large(len(self.request.body)))

    def on_finish(self) -> None:
        """Removes the request from the count of requests in flight."""
        self.context.in_flight.leave()

    def check_role(self, role: tokens.Role) -> bool:
        """Returns whether the operator has `role`; if not, answers with the failure."""
        missing = tokens.require(self.account, role)
        if missing is not None:
            self.fail(missing)
        return missing is None

    def fail(self, error: failure.Failure) -> None:
        """Answers with the status, headers and body of a failure."""
        mapping = answers.error_mapping_of(error)
        self.set_header(names.OUTCOME_HEADER, mapping.outcome.value)
        retry_after = getattr(error, "retry_after", None)
        if retry_after is not None:
            self.set_header("Retry-After", str(max(1, round(retry_after))))
        self.answer(ErrorAnswer(error=answers.error_body(error)), status=mapping.status)

    def answer(self, record: Any, *, status: int = 200) -> None:
        """Answers with a record as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header("Cache-Control", "no-store")
        self.finish(codec.to_json(record) + b"\n")

    def compute_etag(self) -> None:
        """Disables Tornado's entity tags; handlers set versions as entity tags."""
        return None

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers Tornado's own errors and unexpected exceptions with the error body of the API."""
        if status_code >= 500:
            return self.fail(
                answers.InternalError(reason="the node failed on this request; see its log")
            )
        self.fail(
            answers.BadRequest(
                reason=f"{self.request.method} {self.request.path}: {self._reason}",
                status=status_code,
                code=f"http_{status_code}",
            )
        )

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs unexpected exceptions; HTTP errors are answered but not logged."""
        if not isinstance(value, tornado.web.HTTPError):
            self.context.log.error("admin_request_failed", exc_info=(typ, value, tb))

    def reason(self) -> str | answers.BadRequest:
        """Returns the `reason` argument of the query."""
        return check_reason(self.get_query_argument("reason", ""))

    def json_body(self) -> dict[str, Any] | answers.BadRequest:
        """Parses the request body as a JSON object."""
        return answers.parse_object(self.request.body)


class NoSuchPageHandler(Handler):
    """Answers unknown paths."""

    def prepare(self) -> None:
        """Answers 404 without checking a token."""
        self.context.in_flight.enter()
        self.fail(answers.NoSuchPage(reason=f"there is nothing at {self.request.path}"))


def _too_large(size: int) -> answers.BadRequest:
    reason = f"the body has {size} bytes, at most {limits.MAX_BODY_BYTES} are allowed"
    return answers.BadRequest(reason=reason, status=413, code="body_too_large")


def check_reason(text: Any) -> str | answers.BadRequest:
    """Returns a valid reason without surrounding white space; it is stored in the audit trail."""
    if isinstance(text, str) and len(text) <= _MAX_REASON_CHARACTERS and text.isprintable():
        return text.strip()
    return answers.BadRequest(
        reason=f"a reason has at most {_MAX_REASON_CHARACTERS} printable characters",
        code="bad_reason",
    )


def parse_required_reason(
    raw: dict[str, Any], *, other_keys: tuple[str, ...] = ()
) -> str | answers.BadRequest:
    """Returns the reason in a body; `BadRequest` without one, or for keys not in `other_keys`."""
    unknown = sorted(raw.keys() - {"reason", *other_keys})
    if unknown:
        return answers.BadRequest(reason=f"unknown key {unknown[0][:_SHOWN_CHARACTERS]!r}")
    reason = check_reason(raw.get("reason"))
    if isinstance(reason, answers.BadRequest) or reason:
        return reason
    return answers.BadRequest(reason="a reason is needed", code="bad_reason")
