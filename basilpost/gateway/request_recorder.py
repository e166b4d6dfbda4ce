"""Records how each request ended: a log line, a counter and two histograms."""

import asyncio
import dataclasses
import itertools

import prometheus_client

from basilpost.core import clock, kernel
from basilpost.gateway import attempts, inbound
from basilpost.members import knowledge as knowledges
from basilpost.routing import header_dialect

LATENCY_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
# Upper bounds in seconds. A request waits for a free slot for at most a fifth of its latency
# objective, which is some tens of milliseconds.
WAIT_BUCKETS_SECONDS = (0.0, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64)

# Requests that a log line lists at most.
MAX_LISTED = 200
LIST_SECONDS = 2.0
# Younger requests have a line of their placement that is as recent.
LISTED_AFTER_SECONDS = 1.0
_DROPPED = "the connection ended before the whole request had arrived"
_EXPECTED_ENDS = frozenset({"answered", "streamed", "caller_left"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestSummary:
    """What is recorded of one request; made when it starts and replaced as it proceeds.

    Attributes:
        call: What the headers of the request say.
        progress: The attempts made for it, None if it was not admitted.
        status: HTTP status sent to the caller, 0 if the caller got no complete answer.
        outcome: answered, streamed, broken_off, caller_left, cut_by_stop, incomplete, internal_error or the
            code of a refusal; empty until the request has ended.
        reason: Why it was refused or broken off.
        cause: Id of the cause of crashes for which it was refused, empty for none.
    """

    call: header_dialect.RequestInfo
    progress: attempts.Progress | None = None
    status: int = 0
    outcome: str = ""
    reason: str = ""
    cause: str = ""


class RequestRecorder:
    """Knows the requests in flight; writes the log line and the metrics of each that ended."""

    def __init__(self, *, kernel: kernel.Kernel, knowledge: knowledges.Knowledge) -> None:
        self._log = kernel.log
        self._knowledge = knowledge
        # The requests in flight, in the order of their arrival.
        self._open: dict[inbound.Request, RequestSummary] = {}
        self._requests = prometheus_client.Counter(
            "basilpost_requests_total",
            "Requests by route, status and outcome",
            ["route", "status", "outcome"],
            registry=kernel.registry,
        )
        self._total_seconds = prometheus_client.Histogram(
            "basilpost_request_seconds",
            "Time from a request's head to the end of its answer",
            ["route"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=kernel.registry,
        )
        self._wait_seconds = prometheus_client.Histogram(
            "basilpost_request_wait_seconds",
            "Time for which a request waited for room at a target, all its tries together",
            ["route", "outcome"],
            buckets=WAIT_BUCKETS_SECONDS,
            registry=kernel.registry,
        )

    def begin(self, request: inbound.Request, call: header_dialect.RequestInfo) -> RequestSummary:
        """Counts a request as in flight until it is recorded."""
        summary = self._open[request] = RequestSummary(call=call)
        return summary

    def update(self, request: inbound.Request, summary: RequestSummary) -> None:
        """Replaces what is known of a request in flight."""
        self._open[request] = summary

    def known(self, request: inbound.Request) -> RequestSummary:
        """Returns what is known of a request in flight."""
        return self._open[request]

    def open_requests(self) -> tuple[str, ...]:
        """Returns the ids of the oldest requests in flight, `MAX_LISTED` at most."""
        oldest = itertools.islice(self._open.values(), MAX_LISTED)
        return tuple(summary.call.request_id for summary in oldest)

    async def run(self) -> None:
        """Logs the requests that have been in flight for a while periodically, until cancelled.

        If the process is killed, its last line of this kind tells what it had.
        """
        while True:
            await asyncio.sleep(LIST_SECONDS)
            self.list_requests()

    def list_requests(self) -> None:
        """Logs the requests that have been in flight for `LISTED_AFTER_SECONDS`, if there are any."""
        arrived_before = clock.elapsed() - LISTED_AFTER_SECONDS
        listed = [
            summary.call.request_id
            for request, summary in self._open.items()
            if request.received_at <= arrived_before
        ]
        if listed:
            self._log.info("requests_in_flight", count=len(listed), requests=listed[:MAX_LISTED])

    def record_dropped(
        self,
        request: inbound.Request,
        call: header_dialect.RequestInfo,
        *,
        stop_began_at: float | None,
    ) -> None:
        """Records a request whose connection ended before it was handled; it has not run."""
        summary = RequestSummary(call=call, outcome="incomplete", reason=_DROPPED)
        self.record(request, None, summary, stop_began_at=stop_began_at)

    def record(
        self,
        request: inbound.Request,
        reply: inbound.Reply | None,
        summary: RequestSummary,
        *,
        stop_began_at: float | None,
    ) -> None:
        """Writes the log line of a request that has ended, and counts it.

        Args:
            request: The request.
            reply: Its answer, None if it was not handled.
            summary: How it ended.
            stop_began_at: When the node was asked to stop, on `clock.elapsed`; None if it was not.
        """
        self._open.pop(request, None)
        seconds = clock.elapsed() - request.received_at
        progress = summary.progress
        route = progress.admitted.route.name if progress is not None else ""
        self._requests.labels(route, str(summary.status), summary.outcome).inc()
        self._total_seconds.labels(route).observe(seconds)
        fields: dict[str, object] = {"path": request.path}
        if progress is not None:
            self._wait_seconds.labels(route, summary.outcome).observe(progress.waited_seconds)
            fields = {
                "route": route,
                "workspace": progress.admitted.workspace,
                "model": summary.call.model,
                "configuration": progress.admitted.configuration,
                "target": progress.target,
                "sends": progress.sends,
                "rejections": progress.rejections,
            }
            if progress.first_event_at is not None:
                fields["first_event_ms"] = _ms(progress.first_event_at - request.received_at)
                # From the last send on, to compare both.
                fields["after_send_ms"] = _ms(progress.first_event_at - progress.sent_at)
                fields["predicted_ms"] = _ms(progress.predicted_seconds)
            fields |= _stream_fields(progress)
            if progress.detour_node:
                fields["detour_node"] = progress.detour_node
        is_aborted = reply is not None and reply.aborted
        if is_aborted or request.caller_left:
            fields["closed_by"] = "node" if is_aborted else "caller"
        if request.close_error:
            fields["close_error"] = request.close_error
        if summary.cause:
            fields["cause"] = summary.cause
        if stop_began_at is not None:
            fields["after_stop_ms"] = round((request.received_at - stop_began_at) * 1000)
        (self._log.warning if _is_lost(summary) else self._log.info)(
            "request_ended",
            request=summary.call.request_id,
            outcome=summary.outcome,
            status=summary.status,
            reason=summary.reason,
            written=reply is not None and reply.written,
            ms=round(seconds * 1000),
            configuration_age_ms=_age_ms(self._knowledge.configuration_age()),
            vms_age_ms=_age_ms(self._knowledge.vms_age()),
            **fields,
        )


def _is_lost(summary: RequestSummary) -> bool:
    """Returns True if a target may have run the request and its caller has no whole answer."""
    was_sent = summary.progress is not None and summary.progress.sends > 0
    return was_sent and summary.outcome not in _EXPECTED_ENDS


def _stream_fields(progress: attempts.Progress) -> dict[str, object]:
    """Returns how far a stream came and why it was sent more than once; only what applies."""
    fields: dict[str, object] = {}
    if progress.event_count:
        fields = {
            "events": progress.event_count,
            "last_event": progress.last_event,
            "answer_end": progress.answer_end,
        }
    if progress.repeats:
        fields["repeats"] = progress.repeats
    if progress.denials:
        fields["denied"] = sorted({cause for cause, _ in progress.denials})
    if progress.last_failure:
        fields["last_failure"] = progress.last_failure
    return fields


def _ms(seconds: float) -> int:
    return round(seconds * 1000)


def _age_ms(seconds: float) -> int | None:
    """Returns whole milliseconds, None for the infinite age of a view that was never read."""
    return round(seconds * 1000) if seconds < 1e9 else None
