"""Sends a request to targets until one gives a whole answer, or gives up truthfully.

An idempotent request may be sent again elsewhere within the retry budget and its deadline. Whether
any byte of it has ever left is kept for the outcome that a refusal names.
"""

import asyncio
import dataclasses
from collections.abc import Mapping
from typing import Any

from basilpost.core import clock, data, failure, kernel, names
from basilpost.gateway import exchange as exchange_
from basilpost.gateway import meters, refusals, upstream
from basilpost.groups import slots
from basilpost.members import standing
from basilpost.routing import interfaces

_CONNECT_SECONDS = 1.0
_MAX_CONNECT_ATTEMPTS = 6
_MAX_ANSWER_BYTES = 16_000_000
_TRUE = "1"
_PASSED_HEADERS = (
    "Content-Type",
    "Content-Disposition",
    "Content-Language",
    "Cache-Control",
    "ETag",
    "Last-Modified",
    "Location",
)
_COLD_HEADER = "Basilpost-Cold"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Message:
    """An HTTP request as it goes to a target."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answered:
    """A whole answer.

    Attributes:
        status: HTTP status.
        headers: Headers that reach the caller.
        body: The whole body.
        target: Id of the group that gave it, empty for a kept answer.
        replayed: True if it was kept from an earlier run.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    target: str = ""
    replayed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class TryElsewhere(failure.Failure):
    """A dispatch gave no answer.

    Attributes:
        refused: True if the target said that the request has not run.
        crashed: True if the target went away under the request.
    """

    refused: bool = False
    crashed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Opened:
    """A chosen target and an open connection to it; nothing was sent yet."""

    choice: interfaces.Choice
    exchange: exchange_.Exchange
    wire_id: str
    started: float


class Attempts:
    """What a request has gone through so far: targets that failed it, and whether any byte left."""

    def __init__(self, *, request: interfaces.Request) -> None:
        self.request = request
        self.excluded: set[str] = set()
        self.uncertain_sends = 0
        self.count = 0

    @property
    def sent(self) -> bool:
        """Returns True if the request may have run somewhere."""
        return self.uncertain_sends > 0

    @property
    def outcome(self) -> failure.Outcome:
        """Returns what a refusal may say of whether the request has run."""
        return failure.Outcome.UNKNOWN if self.sent else failure.Outcome.NOT_RUN

    def refuse(self, refusal: failure.Refusal) -> failure.Refusal:
        """Corrects a refusal's outcome by what has happened before it."""
        return dataclasses.replace(refusal, outcome=self.outcome) if self.sent else refusal


class Dispatcher:
    """Dispatches requests to targets."""

    def __init__(
        self, *, kernel: kernel.Kernel, upstreams: upstream.Upstreams, meters: meters.Meters
    ) -> None:
        self._admission = kernel.find(names.ADMISSION, interfaces.Admission)
        self._quarantine = kernel.find(names.QUARANTINE, interfaces.Quarantine)
        self._standing = kernel.find(names.STANDING, standing.Standing)
        self._health = kernel.find(names.HEALTH, slots.Health)
        self._upstreams = upstreams
        self._meters = meters
        self._log = kernel.log

    async def open(self, attempts: Attempts, *, events: bool = False) -> Opened | failure.Refusal:
        """Chooses a target and connects to it; tries others while no connection can be made.

        Args:
            attempts: The request and what it has gone through.
            events: True if the answer will be relayed as events.
        """
        reason = ""
        for _ in range(_MAX_CONNECT_ATTEMPTS):
            choice = await self._admission.choose(
                attempts.request, exclude=frozenset(attempts.excluded)
            )
            if isinstance(choice, failure.Refusal):
                return attempts.refuse(choice)
            try:
                exchange = await self._upstreams.connect(
                    choice.group.address, timeout=_CONNECT_SECONDS, events=events
                )
            except BaseException:
                choice.slot.release(data.Observation(reached=True))
                raise
            if not isinstance(exchange, exchange_.ConnectFailed):
                return self._opened(attempts, choice, exchange)
            reason = exchange.reason
            self._saw(choice, data.Observation(reached=False, failed=True), "no_connection")
            attempts.excluded.add(choice.group.group_id)
        return attempts.refuse(refusals.target_lost(reason, attempts.outcome))

    def send(self, attempts: Attempts, opened: Opened, message: Message) -> None:
        """Sends the request on an open connection; from now on it may run."""
        group = opened.choice.group
        left = max(1, int((attempts.request.deadline - clock.monotonic()) * 1000))
        headers = {
            **message.headers,
            names.REQUEST_ID_HEADER: opened.wire_id,
            names.GROUP_HEADER: group.group_id,
            names.GENERATION_HEADER: str(group.generation),
            names.DEADLINE_HEADER: str(left),
        }
        self._quarantine.record_start(attempts.request, group)
        attempts.uncertain_sends += 1
        opened.exchange.send(message.method, message.path, headers, message.body)

    def close(
        self, attempts: Attempts, opened: Opened, result: Answered | TryElsewhere | None
    ) -> None:
        """Ends a dispatch: frees its slot and tells what was seen; `None` means cancelled."""
        self._upstreams.release(opened.exchange)
        if result is None:
            self._saw(opened.choice, data.Observation(reached=True), "cancelled", opened)
            crashed, ran = False, False
        elif isinstance(result, TryElsewhere):
            observation = data.Observation(reached=True, failed=not result.refused)
            self._saw(opened.choice, observation, "refused" if result.refused else "failed", opened)
            attempts.excluded.add(opened.choice.group.group_id)
            attempts.uncertain_sends -= result.refused
            crashed, ran = result.crashed, not result.refused
        else:
            self._saw(opened.choice, data.Observation(reached=True), "answered", opened)
            crashed, ran = False, True
        group = opened.choice.group
        self._quarantine.record_end(attempts.request, group, crashed=crashed, ran=ran)

    async def fetch(
        self, request: interfaces.Request, message: Message, *, sized: bool = False
    ) -> Answered | failure.Refusal:
        """Gets a whole answer for an idempotent request.

        Args:
            request: The admitted request.
            message: What is sent.
            sized: True if targets name the length of their answers, as model engines do.
        """
        attempts = Attempts(request=request)
        try:
            async with asyncio.timeout_at(request.deadline):
                return await self._fetch(attempts, message, sized=sized)
        except TimeoutError:
            return refusals.deadline_passed(attempts.outcome)

    async def exchange(
        self, attempts: Attempts, opened: Opened, message: Message
    ) -> Answered | TryElsewhere:
        """Sends a request and reads its whole answer on one connection; closes it at the end."""
        result: Answered | TryElsewhere | None = None
        try:
            self.send(attempts, opened, message)
            result = await read_answer(opened)
            return result
        finally:
            self.close(attempts, opened, result)

    def may_retry(self, attempts: Attempts, result: TryElsewhere) -> failure.Refusal | None:
        """Returns None if the request may be tried elsewhere, else its refusal."""
        if result.refused and attempts.count < _MAX_CONNECT_ATTEMPTS:
            return None
        if self._admission.may_retry(attempts.request):
            return None
        return refusals.target_lost(result.reason, attempts.outcome)

    def in_standing(self) -> bool:
        """Returns True if this node may still dispatch."""
        return isinstance(self._standing.check(), standing.InStanding)

    async def _fetch(
        self, attempts: Attempts, message: Message, *, sized: bool
    ) -> Answered | failure.Refusal:
        while True:
            opened = await self.open(attempts, events=sized)
            if isinstance(opened, failure.Refusal):
                return opened
            result = await self.exchange(attempts, opened, message)
            if isinstance(result, Answered):
                return result
            refusal = self.may_retry(attempts, result)
            if refusal is not None:
                return refusal

    def _opened(
        self, attempts: Attempts, choice: interfaces.Choice, exchange: exchange_.Exchange
    ) -> Opened:
        attempts.count += 1
        return Opened(
            choice=choice,
            exchange=exchange,
            wire_id=f"{attempts.request.request_id}-{attempts.count}",
            started=clock.monotonic(),
        )

    def _saw(
        self,
        choice: interfaces.Choice,
        observation: data.Observation,
        result: str,
        opened: Opened | None = None,
    ) -> None:
        if opened is not None:
            observation = dataclasses.replace(observation, **_seen_by(opened))
        choice.slot.release(observation)
        self._health.report(choice.group, observation)
        self._meters.dispatches.labels(choice.group.service, result).inc()
        if observation.failed:
            self._log.warning("dispatch_failed", group=choice.group.group_id, result=result)


async def read_answer(opened: Opened) -> Answered | TryElsewhere:
    """Reads a whole answer and checks that it belongs to the request."""
    head = await opened.exchange.head()
    if isinstance(head, exchange_.Broken):
        return TryElsewhere(reason=head.reason, crashed=True)
    problem = problem_of(head, opened)
    if problem is not None:
        return problem
    body = await opened.exchange.read_all(_MAX_ANSWER_BYTES)
    if isinstance(body, exchange_.Broken):
        return TryElsewhere(reason=body.reason, crashed=True)
    return Answered(
        status=head.status,
        headers=tuple(
            (name, head.headers[name]) for name in _PASSED_HEADERS if name in head.headers
        ),
        body=body,
        target=opened.choice.group.group_id,
    )


def problem_of(head: exchange_.Head, opened: Opened) -> TryElsewhere | None:
    """Returns why an answer's head cannot be used, None if it can."""
    group = opened.choice.group.group_id
    echoed = head.headers.get(names.REQUEST_ID_HEADER)
    if echoed != opened.wire_id:
        return TryElsewhere(reason=f"{group} answered {echoed} instead of {opened.wire_id}")
    if head.headers.get(names.OUTCOME_HEADER) == failure.Outcome.NOT_RUN.value:
        return TryElsewhere(reason=f"{group} refused with status {head.status}", refused=True)
    return None


def _seen_by(opened: Opened) -> dict[str, Any]:
    first_byte_at = opened.exchange.first_byte_at
    head = opened.exchange.known_head
    return {
        "latency": (first_byte_at or clock.monotonic()) - opened.started,
        "cold": head is not None and head.headers.get(_COLD_HEADER) == _TRUE,
    }
