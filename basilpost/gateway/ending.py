"""Notes how each request ended: one log line, a counter and a histogram."""

import dataclasses

import prometheus_client

from basilpost.core import clock, kernel
from basilpost.gateway import inbound
from basilpost.gateway import progress as results
from basilpost.members import knowledge as knowledges
from basilpost.routing import header_dialect

LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
# A request waits a fifth of its objective at most, some tens of milliseconds.
WAIT_BUCKETS = (0.0, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ended:
    """How a request ended.

    Attributes:
        call: What its headers say.
        progress: What it went through, None if it was not admitted.
        status: HTTP status that the caller got, 0 if it got no whole answer.
        outcome: answered, streamed, broken_off, caller_left or the code of a refusal.
        reason: Why it was refused or broken off.
    """

    call: header_dialect.RequestInfo
    progress: results.Progress | None = None
    status: int = 0
    outcome: str = ""
    reason: str = ""


class Endings:
    """Writes and counts the ends of requests."""

    def __init__(self, *, kernel: kernel.Kernel, knowledge: knowledges.Knowledge) -> None:
        self._log = kernel.log
        self._knowledge = knowledge
        self._ended = prometheus_client.Counter(
            "basilpost_requests_total",
            "Requests by route, status and outcome",
            ["route", "status", "outcome"],
            registry=kernel.registry,
        )
        self._seconds = prometheus_client.Histogram(
            "basilpost_request_seconds",
            "Time from a request's head to the end of its answer",
            ["route"],
            buckets=LATENCY_BUCKETS,
            registry=kernel.registry,
        )
        self._waited = prometheus_client.Histogram(
            "basilpost_request_wait_seconds",
            "Time for which a request waited for room at a target, all its tries together",
            ["route", "outcome"],
            buckets=WAIT_BUCKETS,
            registry=kernel.registry,
        )

    def note(self, request: inbound.Request, ended: Ended) -> None:
        """Notes the end of a request."""
        seconds = clock.elapsed() - request.received_at
        progress = ended.progress
        route = progress.admitted.route.name if progress is not None else ""
        self._ended.labels(route, str(ended.status), ended.outcome).inc()
        self._seconds.labels(route).observe(seconds)
        fields: dict[str, object] = {"path": request.path}
        if progress is not None:
            self._waited.labels(route, ended.outcome).observe(progress.waited)
            fields = {
                "route": route,
                "workspace": progress.admitted.workspace,
                "model": ended.call.model,
                "configuration": progress.admitted.configuration,
                "target": progress.target,
                "sends": progress.sends,
                "rejections": progress.rejections,
            }
        self._log.info(
            "request_ended",
            request=ended.call.request_id,
            outcome=ended.outcome,
            status=ended.status,
            reason=ended.reason,
            ms=round(seconds * 1000),
            configuration_age_ms=_whole_ms(self._knowledge.configuration_age()),
            vms_age_ms=_whole_ms(self._knowledge.vms_age()),
            **fields,
        )


def _whole_ms(seconds: float) -> int | None:
    """Returns milliseconds, None for an age of what was never known."""
    return round(seconds * 1000) if seconds < 1e9 else None
