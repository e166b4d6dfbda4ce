"""The state that all HTTP handlers of the gateway share, and their base class."""

import dataclasses
from typing import Any

import tornado.web

from basilpost.core import failure
from basilpost.gateway import claimed_requests as claimed_requests_
from basilpost.gateway import dispatch, metrics, refusals, request_parsing, upload_memory
from basilpost.members import directory, standing
from basilpost.routing import interfaces
from basilpost.settings import schema


@dataclasses.dataclass(kw_only=True)
class Context:
    """State shared by all handlers of one node.

    Attributes:
        ready: True once the gateway listens.
        draining: True once a planned stop has begun; requests are still accepted.
        stopping: True once new requests are refused.
        in_flight: Number of requests in progress.
        uploads: Request bodies in memory.
    """

    settings: schema.NodeSettings
    directory: directory.Directory
    standing: standing.Standing
    admission: interfaces.Admission
    quarantine: interfaces.Quarantine
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
    uploads: upload_memory.UploadMemory = dataclasses.field(
        default_factory=upload_memory.UploadMemory
    )

    @property
    def body_bytes(self) -> int:
        """Returns the bytes of request bodies in memory."""
        return self.uploads.held


class BaseHandler(tornado.web.RequestHandler):
    """Base of all handlers of the gateway."""

    def initialize(self, context: Context) -> None:
        """Stores the shared context; called by Tornado for each request."""
        self.context = context

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers an unexpected error in the same JSON form as a refusal."""
        outcome = failure.Outcome.UNKNOWN if status_code >= 500 else failure.Outcome.NOT_RUN
        code = "internal_error" if status_code >= 500 else "bad_request"
        refusals.write(
            self,
            failure.Refusal(reason=self._reason, code=code, status=status_code, outcome=outcome),
        )
