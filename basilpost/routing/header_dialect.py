"""What callers and runners say in headers, and the interface that translates it."""

import abc
import dataclasses

import tornado.httputil


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestInfo:
    """A caller's request as far as its headers tell.

    Attributes:
        request_id: Id of this one try of the caller.
        key: API key, empty if none was sent.
        budget_seconds: Seconds that the caller will wait, None if it does not say.
        model: Model asked for, empty for plain services.
        prompt_tokens: Tokens of the prompt.
        max_answer_tokens: Most tokens of the answer.
        last_event_id: Id of the last event that the caller has of a broken stream, empty for none.
    """

    request_id: str
    key: str
    budget_seconds: float | None
    model: str
    prompt_tokens: int
    max_answer_tokens: int
    last_event_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardingInfo:
    """What a node adds to a request for a runner.

    Attributes:
        vm_id: The runner that must answer.
        workspace: Workspace of the caller, empty if it sent no key.
        budget_seconds: Seconds that are left.
        priority: Rank in the runner's queue, 0 is first.
        last_event_id: Event after which a stream goes on, empty for none.
    """

    vm_id: str
    workspace: str
    budget_seconds: float
    priority: int
    last_event_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseInfo:
    """What the head of a runner's answer says.

    Attributes:
        request_id: Request that it answers, empty if it does not say.
        signed: True if it bears a runner's signature.
        not_run: True if the runner says that it has not run and will not run the request.
        vm_at_fault: The runner that a refusal blames, empty for none.
        cold_seconds: How much longer the runner stays cold, 0 if it does not say.
    """

    request_id: str
    signed: bool
    not_run: bool
    vm_at_fault: str
    cold_seconds: float


class HeaderDialect(abc.ABC):
    """Translates between headers and records."""

    @abc.abstractmethod
    def parse_request(self, headers: tornado.httputil.HTTPHeaders) -> RequestInfo:
        """Returns what a caller's headers say."""

    @abc.abstractmethod
    def request_headers(
        self, headers: tornado.httputil.HTTPHeaders, added: ForwardingInfo
    ) -> tornado.httputil.HTTPHeaders:
        """Returns the headers of the request as it goes to a runner."""

    @abc.abstractmethod
    def parse_response(self, status: int, headers: tornado.httputil.HTTPHeaders) -> ResponseInfo:
        """Returns what the head of a runner's answer says."""

    @abc.abstractmethod
    def response_headers(
        self, headers: tornado.httputil.HTTPHeaders
    ) -> tornado.httputil.HTTPHeaders:
        """Returns the headers of a runner's answer as they go to the caller."""

    @abc.abstractmethod
    def refusal_headers(self, request_id: str) -> dict[str, str]:
        """Returns the headers that name the request in an answer of the node's own."""
