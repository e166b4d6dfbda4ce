"""The interface that translates between HTTP headers and records, for requests and responses."""

import abc
import dataclasses

import tornado.httputil

from basilpost.core import catalog


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestInfo:
    """What the headers of a caller's request say.

    Attributes:
        request_id: Id of this attempt of the caller.
        key: API key, empty if none was sent.
        budget_seconds: Time that the caller waits for the answer, None if it does not say.
        model: Requested model, empty for plain services.
        prompt_tokens: Tokens of the prompt.
        max_answer_tokens: Upper bound of the answer's tokens.
        last_event_id: Id of the last event that the caller got of an interrupted stream, empty if
            it resumes none.
        prompt_parts: Ids of the parts of the prompt in order. Requests share parts, except for the
            last one, which belongs to the request or to its session.
        expected_answer_tokens: The caller's estimate of the answer's tokens, 0 without one. It is
            right at the median and often far off.
    """

    request_id: str
    key: str
    budget_seconds: float | None
    model: str
    prompt_tokens: int
    max_answer_tokens: int
    last_event_id: str
    prompt_parts: tuple[str, ...] = ()
    expected_answer_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardingInfo:
    """What a node adds to a request that it forwards to a runner.

    Attributes:
        vm_id: VM of the runner that must answer.
        workspace: Workspace of the caller, empty if it sent no key.
        budget_seconds: Time left until the request's deadline.
        priority: Rank in the runner's queue, 0 is first.
        last_event_id: Event after which a resumed stream continues, empty for none.
    """

    vm_id: str
    workspace: str
    budget_seconds: float
    priority: int
    last_event_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseInfo:
    """What the status and the headers of a runner's response say.

    Attributes:
        request_id: Request that it answers, empty if it does not say.
        signed: True if it has a runner's signature.
        not_run: True if the runner says that it has not run and will not run the request.
        vm_at_fault: VM that a rejection blames, empty for none.
        cold_seconds: Time left of the runner's cold start, 0 if it does not say.
        limit_per_second: Requests per second that the runner takes from all nodes together, None if it
            names no limit.
        pause_seconds: Time for which a runner that rejects a request wants no others from this node, None
            if it names none. It is not negative and finite, but may be of any length.
        bad_pause: Text of a pause that is not a valid time, empty without one.
        leaving: True if the runner says that it will stop.
    """

    request_id: str
    signed: bool
    not_run: bool
    vm_at_fault: str
    cold_seconds: float
    limit_per_second: float | None = None
    pause_seconds: float | None = None
    bad_pause: str = ""
    leaving: bool = False


class HeaderDialect(abc.ABC):
    """The header names and formats of one platform."""

    @abc.abstractmethod
    def parse_request(self, headers: tornado.httputil.HTTPHeaders) -> RequestInfo:
        """Returns what a caller's headers say."""

    @abc.abstractmethod
    def request_headers(
        self, headers: tornado.httputil.HTTPHeaders, added: ForwardingInfo
    ) -> tornado.httputil.HTTPHeaders:
        """Returns a caller's headers in the form in which they are forwarded to a runner."""

    @abc.abstractmethod
    def detour_headers(
        self, headers: tornado.httputil.HTTPHeaders, *, budget_seconds: float, last_event_id: str
    ) -> tornado.httputil.HTTPHeaders:
        """Returns a caller's headers in the form in which they are sent to another node.

        Args:
            headers: The caller's headers.
            budget_seconds: Time left until the request's deadline.
            last_event_id: Event after which a resumed stream continues, empty for none.
        """

    @abc.abstractmethod
    def parse_response(self, status: int, headers: tornado.httputil.HTTPHeaders) -> ResponseInfo:
        """Returns what the status and the headers of a runner's response say."""

    @abc.abstractmethod
    def response_headers(
        self, headers: tornado.httputil.HTTPHeaders
    ) -> tornado.httputil.HTTPHeaders:
        """Returns a runner's headers in the form in which they are passed to the caller."""

    @abc.abstractmethod
    def status_path(self, service: catalog.Service | None) -> str:
        """Returns the path at which the runners of a service tell their status; None if it is unknown."""

    @abc.abstractmethod
    def refusal_headers(self, request_id: str) -> dict[str, str]:
        """Returns the headers that name the request in a refusal by the node itself."""
