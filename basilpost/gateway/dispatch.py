"""Sends a request to targets until one returns a complete answer, or refuses it.

An idempotent request may be sent to another target within the retry budget and its deadline. Whether
any byte of it was ever sent is remembered for the outcome that a refusal states.
"""

import asyncio
import dataclasses
from collections.abc import Mapping
from typing import Any

from basilpost.core import clock, data, failure, kernel, names
from basilpost.gateway import exchange as exchange_
from basilpost.gateway import metrics, refusals, upstream
from basilpost.groups import slots
from basilpost.members import standing
from basilpost.routing import interfaces

# Longest time for opening a connection to a target.
_CONNECT_SECONDS = 1.0
# Most targets tried until a connection opens. Also the most connections for a request that targets
# refuse without running it; further ones are charged to the retry budget.
_MAX_CONNECT_ATTEMPTS = 6
_MAX_ANSWER_BYTES = 16_000_000
_COLD_VALUE = "1"
_FORWARDED_HEADERS = (
    "Content-Type",
    "Content-Disposition",
    "Content-Language",
    "Cache-Control",
    "ETag",
    "Last-Modified",
    "Location",
)
# A target sets this header to `_COLD_VALUE` while it is in a cold start.
_COLD_HEADER = "Basilpost-Cold"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Message:
    """An HTTP request for a target, without the headers that differ by target."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answered:
    """A complete answer.

    Attributes:
        status: HTTP status.
        headers: Headers that are forwarded to the caller.
        body: The whole body.
        target: Id of the group that sent it, empty for a replayed answer.
        replayed: True if it is the stored answer of an earlier run.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    target: str = ""
    replayed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class DispatchFailed(failure.Failure):
    """A dispatch that returned no usable answer.

    Attributes:
        refused: True if the target says that it has not run the request.
        crashed: True if the connection to the target was lost while the request may have been running.
    """

    refused: bool = False
    crashed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class OpenDispatch:
    """One dispatch of a request: the chosen target and an open connection to it.

    Attributes:
        choice: The target and the slot taken on it.
        exchange: The connection; nothing is sent on it before `Dispatcher.send`.
        wire_id: Unique request id of this dispatch, which the target must return in its answer.
        started_at: Event loop's time at which the connection was open.
    """

    choice: interfaces.Choice
    exchange: exchange_.Exchange
    wire_id: str
    started_at: float


class Attempts:
    """The dispatches of one request so far.

    Attributes:
        request: The request.
        excluded: Ids of the groups that failed it, which are not chosen again.
        uncertain_sends: Number of sends after which it may have run.
        dispatch_count: Number of connections opened for it.
    """

    def __init__(self, *, request: interfaces.Request) -> None:
        self.request = request
        self.excluded: set[str] = set()
        self.uncertain_sends = 0
        self.dispatch_count = 0

    @property
    def may_have_run(self) -> bool:
        """Returns True if the request may have run on a target."""
        return self.uncertain_sends > 0

    @property
    def outcome(self) -> failure.Outcome:
        """Returns the outcome that a refusal of the request must state."""
        return failure.Outcome.UNKNOWN if self.may_have_run else failure.Outcome.NOT_RUN

    def corrected_refusal(self, refusal: failure.Refusal) -> failure.Refusal:
        """Returns the refusal with outcome unknown if the request may have run."""
        return dataclasses.replace(refusal, outcome=self.outcome) if self.may_have_run else refusal


class Dispatcher:
    """Dispatches requests to targets, and reports how the targets behaved."""

    def __init__(
        self, *, kernel: kernel.Kernel, upstreams: upstream.Upstreams, metrics: metrics.Metrics
    ) -> None:
        self._admission = kernel.find(names.ADMISSION, interfaces.Admission)
        self._quarantine = kernel.find(names.QUARANTINE, interfaces.Quarantine)
        self._standing = kernel.find(names.STANDING, standing.Standing)
        self._health = kernel.find(names.HEALTH, slots.Health)
        self._upstreams = upstreams
        self._metrics = metrics
        self._log = kernel.log

    async def open(
        self, attempts: Attempts, *, events: bool = False
    ) -> OpenDispatch | failure.Refusal:
        """Chooses a target and connects to it; tries other targets if the connection fails.

        Args:
            attempts: The request and its dispatches so far.
            events: True to read the answer by an `EventExchange`.
        """
        reason = ""
        for _ in range(_MAX_CONNECT_ATTEMPTS):
            choice = await self._admission.choose(
                attempts.request, exclude=frozenset(attempts.excluded)
            )
            if isinstance(choice, failure.Refusal):
                return attempts.corrected_refusal(choice)
            try:
                exchange = await self._upstreams.connect(
                    choice.group.address, timeout=_CONNECT_SECONDS, events=events
                )
            except BaseException:
                choice.slot.release(data.Observation(reached=True))
                raise
            if not isinstance(exchange, exchange_.ConnectFailed):
                return self._new_dispatch(attempts, choice, exchange)
            reason = exchange.reason
            self._report(choice, data.Observation(reached=False, failed=True), "no_connection")
            attempts.excluded.add(choice.group.group_id)
        return attempts.corrected_refusal(refusals.target_lost(reason, attempts.outcome))

    def send(self, attempts: Attempts, opened: OpenDispatch, message: Message) -> None:
        """Sends the request on the open connection; from then on it may run."""
        group = opened.choice.group
        left_ms = max(1, int((attempts.request.deadline - clock.monotonic()) * 1000))
        headers = {
            **message.headers,
            names.REQUEST_ID_HEADER: opened.wire_id,
            names.GROUP_HEADER: group.group_id,
            names.GENERATION_HEADER: str(group.generation),
            names.DEADLINE_HEADER: str(left_ms),
        }
        self._quarantine.record_start(attempts.request, group)
        attempts.uncertain_sends += 1
        opened.exchange.send(message.method, message.path, headers, message.body)

    def close(
        self, attempts: Attempts, opened: OpenDispatch, result: Answered | DispatchFailed | None
    ) -> None:
        """Ends a dispatch: releases its slot and reports the result, None if it was cancelled."""
        self._upstreams.release(opened.exchange)
        if result is None:
            self._report(opened.choice, data.Observation(reached=True), "cancelled", opened)
            crashed, ran = False, False
        elif isinstance(result, DispatchFailed):
            observation = data.Observation(reached=True, failed=not result.refused)
            self._report(
                opened.choice, observation, "refused" if result.refused else "failed", opened
            )
            attempts.excluded.add(opened.choice.group.group_id)
            attempts.uncertain_sends -= result.refused
            crashed, ran = result.crashed, not result.refused
        else:
            self._report(opened.choice, data.Observation(reached=True), "answered", opened)
            crashed, ran = False, True
        group = opened.choice.group
        self._quarantine.record_end(attempts.request, group, crashed=crashed, ran=ran)

    async def fetch(
        self, request: interfaces.Request, message: Message, *, with_length: bool = False
    ) -> Answered | failure.Refusal:
        """Returns a complete answer to an idempotent request, or a refusal.

        Args:
            request: The admitted request.
            message: The HTTP request to send.
            with_length: True if answers have a Content-Length, as those of model engines do. Such answers
                are read by an `EventExchange`.
        """
        attempts = Attempts(request=request)
        try:
            async with asyncio.timeout_at(request.deadline):
                return await self._fetch(attempts, message, with_length=with_length)
        except TimeoutError:
            return refusals.deadline_passed(attempts.outcome)

    async def send_and_read(
        self, attempts: Attempts, opened: OpenDispatch, message: Message
    ) -> Answered | DispatchFailed:
        """Sends a request, reads its whole answer, and closes the connection."""
        result: Answered | DispatchFailed | None = None
        try:
            self.send(attempts, opened, message)
            result = await read_answer(opened)
            return result
        finally:
            self.close(attempts, opened, result)

    def retry_refusal(self, attempts: Attempts, result: DispatchFailed) -> failure.Refusal | None:
        """Returns None if the request may be sent to another target, else its refusal."""
        if result.refused and attempts.dispatch_count < _MAX_CONNECT_ATTEMPTS:
            return None
        if self._admission.may_retry(attempts.request):
            return None
        return refusals.target_lost(result.reason, attempts.outcome)

    def node_may_dispatch(self) -> bool:
        """Returns True if this node may dispatch requests."""
        return isinstance(self._standing.check(), standing.InStanding)

    async def _fetch(
        self, attempts: Attempts, message: Message, *, with_length: bool
    ) -> Answered | failure.Refusal:
        while True:
            opened = await self.open(attempts, events=with_length)
            if isinstance(opened, failure.Refusal):
                return opened
            result = await self.send_and_read(attempts, opened, message)
            if isinstance(result, Answered):
                return result
            refusal = self.retry_refusal(attempts, result)
            if refusal is not None:
                return refusal

    def _new_dispatch(
        self, attempts: Attempts, choice: interfaces.Choice, exchange: exchange_.Exchange
    ) -> OpenDispatch:
        attempts.dispatch_count += 1
        return OpenDispatch(
            choice=choice,
            exchange=exchange,
            wire_id=f"{attempts.request.request_id}-{attempts.dispatch_count}",
            started_at=clock.monotonic(),
        )

    def _report(
        self,
        choice: interfaces.Choice,
        observation: data.Observation,
        result: str,
        opened: OpenDispatch | None = None,
    ) -> None:
        """Releases the slot and reports a dispatch to health checks, metrics and the log."""
        if opened is not None:
            observation = dataclasses.replace(observation, **_observed(opened))
        choice.slot.release(observation)
        self._health.report(choice.group, observation)
        self._metrics.dispatches.labels(choice.group.service, result).inc()
        if observation.failed:
            self._log.warning("dispatch_failed", group=choice.group.group_id, result=result)


async def read_answer(opened: OpenDispatch) -> Answered | DispatchFailed:
    """Reads a complete answer and checks that it belongs to the request."""
    head = await opened.exchange.head()
    if isinstance(head, exchange_.Broken):
        return DispatchFailed(reason=head.reason, crashed=True)
    failed = check_head(head, opened)
    if failed is not None:
        return failed
    body = await opened.exchange.read_all(_MAX_ANSWER_BYTES)
    if isinstance(body, exchange_.Broken):
        return DispatchFailed(reason=body.reason, crashed=True)
    return Answered(
        status=head.status,
        headers=tuple(
            (name, head.headers[name]) for name in _FORWARDED_HEADERS if name in head.headers
        ),
        body=body,
        target=opened.choice.group.group_id,
    )


def check_head(head: exchange_.Head, opened: OpenDispatch) -> DispatchFailed | None:
    """Returns the failure if the head is of another request or says not-run, else None."""
    group = opened.choice.group.group_id
    answered_id = head.headers.get(names.REQUEST_ID_HEADER)
    if answered_id != opened.wire_id:
        return DispatchFailed(reason=f"{group} answered {answered_id} instead of {opened.wire_id}")
    if head.headers.get(names.OUTCOME_HEADER) == failure.Outcome.NOT_RUN.value:
        return DispatchFailed(reason=f"{group} refused with status {head.status}", refused=True)
    return None


def _observed(opened: OpenDispatch) -> dict[str, Any]:
    first_byte_at = opened.exchange.first_byte_at
    head = opened.exchange.received_head
    return {
        "latency": (first_byte_at or clock.monotonic()) - opened.started_at,
        "cold": head is not None and head.headers.get(_COLD_HEADER) == _COLD_VALUE,
    }
