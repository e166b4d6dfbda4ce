"""What all of the gateway's handlers share, and the base of those that answer at once."""

import dataclasses
from typing import Any

import tornado.web

from basilpost.core import failure
from basilpost.gateway import claimed_requests as claimed_requests_
from basilpost.gateway import dispatch, metrics, refusals, request_parsing
from basilpost.members import directory, standing
from basilpost.routing import policy
from basilpost.settings import schema


@dataclasses.dataclass(kw_only=True)
class Context:
    """What all handlers of one node share; `stopping` and the counts change while it runs."""

    settings: schema.NodeSettings
    directory: directory.Directory
    standing: standing.Standing
    admission: policy.Admission
    quarantine: policy.Quarantine
    dispatcher: dispatch.Dispatcher
    claimed_requests: claimed_requests_.ClaimedRequests
    metrics: metrics.Metrics
    key_index: request_parsing.KeyIndex = dataclasses.field(
        default_factory=request_parsing.KeyIndex
    )
    ready: bool = False
    draining: bool = False
    stopping: bool = False
    in_flight: int = 0
    body_bytes: int = 0


class BaseHandler(tornado.web.RequestHandler):
    """Base of handlers that answer at once."""

    def initialize(self, context: Context) -> None:
        """Takes the shared context."""
        self.context = context

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers an unexpected failure in the same form as a refusal."""
        outcome = failure.Outcome.UNKNOWN if status_code >= 500 else failure.Outcome.NOT_RUN
        code = "internal_error" if status_code >= 500 else "bad_request"
        refusals.write(
            self,
            failure.Refusal(reason=self._reason, code=code, status=status_code, outcome=outcome),
        )
