"""Sends admitted requests to targets until one answers, and passes the answer on.

A request that must run once is never sent again after a byte of it may have left, unless the runner
says that it has not run. Others may be sent again within their attempts, the deadline and a budget
that bounds repeats over all nodes. A stream goes on at another target after its last whole event.
"""

import asyncio
import dataclasses
import random

import tornado.httputil

from basilpost.core import catalog, channels, clock, failure
from basilpost.gateway import activity as activities
from basilpost.gateway import admitting, inbound, sse
from basilpost.members import loads as loads_
from basilpost.routing import calls, cold, placing, retry
from basilpost.routing import targets as targets_

CONNECT_SECONDS = 0.5
# Targets that may say that they have not run a request before it is given up.
MAX_REJECTIONS = 3
# Answers to other requests that are skipped on a connection before it is given up.
MAX_STRAY_ANSWERS = 2
# Part of the objective that a request may wait for room at a target.
WAIT_SHARE = 0.2
WAIT_STEP_SECONDS = 0.02
# Range in which refused callers are asked to come back, so that they do not come together.
RETRY_AFTER_SECONDS = (0.3, 0.8)
_OK = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotSent(failure.Failure):
    """No connection: nothing has left."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun(failure.Failure):
    """The runner says that it has not run the request."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lost(failure.Failure):
    """The answer did not come whole; the request may have run."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Whole:
    """A whole answer, or for a stream that was passed on, its head."""

    head: channels.Head
    body: bytes


@dataclasses.dataclass(kw_only=True, eq=False)
class Progress:
    """What a request has gone through.

    Attributes:
        admitted: The request.
        tried: Ids of the targets it was sent to, or could not be.
        sends: Times that it may have begun to run.
        rejections: Times that a runner refused it unrun.
        events: Events passed on.
        target: Last target.
        outcome: How it ended, for the log.
    """

    admitted: admitting.Admitted
    tried: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    rejections: int = 0
    events: int = 0
    target: str = ""
    outcome: str = ""

    @property
    def repeatable(self) -> bool:
        """Returns True if the request may run more than once."""
        return self.admitted.route.repeat is catalog.Repeat.IDEMPOTENT


@dataclasses.dataclass(frozen=True, kw_only=True)
class Budgets:
    """Bounds shared with the other nodes.

    Attributes:
        retry_share: Repeats per request.
        retry_reserve: Repeats beyond them, of all nodes.
        cold_factor: Factor on the rate that a cold target bears.
        cold_slack: Requests beyond it.
    """

    retry_share: float
    retry_reserve: float
    cold_factor: float
    cold_slack: float


class Forwarder:
    """Forwards the requests of one node."""

    def __init__(
        self,
        *,
        node_failure_domain: str,
        dialect: calls.Dialect,
        targets: targets_.Targets,
        loads: loads_.Loads,
        budgets: Budgets,
        chance: random.Random,
    ) -> None:
        self.pool = channels.Pool()
        self.activity = activities.Activity()
        self._failure_domain = node_failure_domain
        self._dialect = dialect
        self._targets = targets
        self._loads = loads
        self._budgets = budgets
        self._chance = chance
        self._cold = cold.ColdMeter()
        self._retries_by_service: dict[str, retry.RetryBudget] = {}
        loads.stalled = lambda: tuple(sorted(self.activity.suspects()))

    # Placing.

    async def _place(self, progress: Progress) -> targets_.Target | failure.Refusal:
        """Returns a target with room, after a short wait if need be."""
        admitted = progress.admitted
        wait_until = clock.elapsed() + admitted.route.objective * WAIT_SHARE
        while True:
            found = self._choose(progress)
            if not isinstance(found, failure.Refusal) or found.code == "no_target":
                return found
            if clock.elapsed() + WAIT_STEP_SECONDS > min(wait_until, admitted.deadline):
                return found
            await asyncio.sleep(WAIT_STEP_SECONDS)

    def _choose(self, progress: Progress) -> targets_.Target | failure.Refusal:
        admitted = progress.admitted
        known = self._targets.of(admitted.service.name, admitted.call.model)
        fresh = [one for one in known if one.target_id not in progress.tried]
        if not fresh:
            return self.refusal("no_target", f"no target of {admitted.service.name} to send to")
        chosen = placing.choose(
            [self._candidate(admitted, one) for one in fresh],
            failure_domain=self._failure_domain,
            chance=self._chance,
        )
        return chosen or self.refusal("busy", f"all targets of {admitted.service.name} are full")

    def _candidate(
        self, admitted: admitting.Admitted, target: targets_.Target
    ) -> placing.Candidate:
        target_id = target.target_id
        return placing.Candidate(
            target=target,
            in_flight=self._loads.total(target_id),
            stalled=target_id in self.activity.suspects()
            or self._loads.stalled_elsewhere(target_id),
            may_send=not self._targets.is_cold(target)
            or self._cold.may_send(
                target_id,
                per_second=admitted.service.cold_per_second * self._budgets.cold_factor
                + self._budgets.cold_slack,
                nodes=self._loads.nodes(),
            ),
        )

    def refusal(self, code: str, reason: str) -> failure.Refusal:
        """Returns a refusal of a request that has not run."""
        return failure.Refusal(
            reason=reason,
            code=code,
            status=503,
            retry_after=self._chance.uniform(*RETRY_AFTER_SECONDS),
        )

    # Whole answers.

    async def fetch(
        self, progress: Progress, request: inbound.Request
    ) -> Whole | failure.Refusal:
        """Gets a whole answer."""
        self._budget(progress).deposit()
        try:
            async with asyncio.timeout(max(0.0, admitting.left(progress.admitted))):
                return await self._fetch(progress, request)
        except TimeoutError:
            return _too_late(progress)

    async def _fetch(
        self, progress: Progress, request: inbound.Request
    ) -> Whole | failure.Refusal:
        while True:
            target = await self._place(progress)
            if isinstance(target, failure.Refusal):
                return _after(progress, target)
            pieces: list[bytes] = []
            result = await self._send(progress, request, target, "", pieces.append, pieces.clear)
            if isinstance(result, channels.Head):
                if result.status < 500 or not self._may_repeat(progress):
                    return Whole(head=result, body=b"".join(pieces))
            elif not self._may_go_on(progress, result):
                return _given_up(progress, result, self.refusal("rejected", result.reason))

    async def _send(
        self,
        progress: Progress,
        request: inbound.Request,
        target: targets_.Target,
        last_event: str,
        on_data: "activities.Callable[[bytes], None]",
        on_stray: "activities.Callable[[], None]",
        on_head: "activities.Callable[[channels.Head], None] | None" = None,
        on_open: "activities.Callable[[channels.Channel], None] | None" = None,
    ) -> channels.Head | NotSent | NotRun | Lost:
        """Sends a request to a target and reads its answer."""
        admitted = progress.admitted
        progress.target = target.target_id
        progress.tried.add(target.target_id)
        channel = await self.pool.take(
            target.address, timeout=CONNECT_SECONDS, fresh=not progress.repeatable
        )
        if isinstance(channel, channels.ConnectFailed):
            return NotSent(reason=channel.reason)
        self._loads.began(target.target_id)
        keep = False
        try:
            headers = self._dialect.forwarded(
                request.headers,
                calls.Forwarding(
                    vm_id=target.vm_id,
                    workspace=admitted.workspace,
                    budget=admitting.left(admitted),
                    priority=admitted.priority,
                    last_event=last_event,
                ),
            )
            if self._targets.is_cold(target):
                self._cold.sent(target.target_id)
            progress.sends += 1
            if on_open is not None:
                on_open(channel)
            channel.send(request.method, request.target, headers, request.body)
            result = await self._receive(progress, channel, on_data, on_stray, on_head)
            keep = isinstance(result, channels.Head | NotRun)
            if isinstance(result, NotRun):
                progress.sends -= 1
                progress.rejections += 1
            return result
        finally:
            self._loads.ended(target.target_id)
            if keep:
                self.pool.give_back(channel)
            else:
                channel.close()

    async def _receive(
        self,
        progress: Progress,
        channel: channels.Channel,
        on_data: "activities.Callable[[bytes], None]",
        on_stray: "activities.Callable[[], None]",
        on_head: "activities.Callable[[channels.Head], None] | None",
    ) -> channels.Head | NotRun | Lost:
        """Reads the answer to this request; answers to others are skipped."""
        own = False

        def note_head(head: channels.Head) -> None:
            nonlocal own
            verdict = self._dialect.read_verdict(head.status, head.headers)
            own = verdict.request_id in ("", progress.admitted.call.request_id)
            if own and on_head is not None:
                on_head(head)

        def note_data(data: bytes) -> None:
            if own:
                on_data(data)

        for _ in range(MAX_STRAY_ANSWERS + 1):
            head = await channel.receive(on_head=note_head, on_data=note_data)
            if isinstance(head, channels.Broken):
                return Lost(reason=head.reason)
            if not own:
                on_stray()
                continue
            verdict = self._dialect.read_verdict(head.status, head.headers)
            if verdict.not_run:
                return NotRun(reason=f"{channel.address} answered {head.status}")
            if head.status < 300 and not verdict.signed:
                return Lost(reason=f"{channel.address} sent an unsigned success")
            return head
        return Lost(reason=f"{channel.address} sent answers to other requests")

    # Repeats.

    def _budget(self, progress: Progress) -> retry.RetryBudget:
        service = progress.admitted.service.name
        if service not in self._retries_by_service:
            reserve = self._budgets.retry_reserve / max(1, self._loads.nodes())
            self._retries_by_service[service] = retry.RetryBudget(
                share=self._budgets.retry_share, reserve=reserve, most=reserve
            )
        return self._retries_by_service[service]

    def _may_repeat(self, progress: Progress) -> bool:
        """Returns True, and pays for it, if a request may run once more."""
        return (
            progress.repeatable
            and progress.sends < progress.admitted.route.max_attempts
            and self._budget(progress).spend()
        )

    def _may_go_on(self, progress: Progress, result: NotSent | NotRun | Lost) -> bool:
        if isinstance(result, NotSent):
            return True
        if isinstance(result, NotRun):
            return progress.rejections < MAX_REJECTIONS and self._budget(progress).spend()
        return self._may_repeat(progress)

    # Streams.

    async def stream(
        self, progress: Progress, request: inbound.Request, reply: inbound.Reply
    ) -> Whole | failure.Refusal | None:
        """Passes a stream on; returns None once its answer has been given by this call."""
        self._budget(progress).deposit()
        passing = _Passing(progress=progress, reply=reply, dialect=self._dialect)
        try:
            async with asyncio.timeout(max(0.0, admitting.left(progress.admitted))):
                return await self._stream(passing, request)
        except TimeoutError:
            if not reply.started:
                return _too_late(progress)
            progress.outcome = "deadline_in_stream"
            reply.abort()
            return None

    async def _stream(
        self, passing: "_Passing", request: inbound.Request
    ) -> Whole | failure.Refusal | None:
        progress, reply = passing.progress, passing.reply
        while True:
            target = await self._place(progress)
            if isinstance(target, failure.Refusal):
                if not reply.started:
                    return _after(progress, target)
                return _broken_off(progress, reply, target.reason)
            result = await self._stream_from(passing, request, target)
            if isinstance(result, channels.Head):
                if passing.passes:
                    progress.outcome = "streamed"
                    reply.end()
                    return None
                if result.status < 500 or reply.started or not self._may_repeat(progress):
                    if reply.started:
                        return _broken_off(progress, reply, f"resume answered {result.status}")
                    return Whole(head=result, body=passing.body)
            elif not self._may_go_on(progress, result):
                if reply.started:
                    return _broken_off(progress, reply, result.reason)
                return _given_up(progress, result, self.refusal("rejected", result.reason))

    async def _stream_from(
        self, passing: "_Passing", request: inbound.Request, target: targets_.Target
    ) -> channels.Head | NotSent | NotRun | Lost:
        passing.restart()
        opened: list[channels.Channel] = []

        def move() -> None:
            """Leaves a target that stands still if the stream can go on elsewhere."""
            progress = passing.progress
            if opened and progress.repeatable and (
                progress.sends < progress.admitted.route.max_attempts
            ):
                if not isinstance(self._choose(progress), failure.Refusal):
                    passing.moved = True
                    opened[0].close()

        watch = self.activity.watch(target.target_id, move)

        def data(chunk: bytes) -> None:
            if passing.take(chunk):
                self.activity.heard(watch)
            if passing.broken and opened:
                opened[0].close()

        try:
            result = await self._send(
                passing.progress,
                request,
                target,
                passing.cutter.last_id,
                data,
                passing.restart,
                passing.take_head,
                opened.append,
            )
        finally:
            self.activity.ended(watch)
        if isinstance(result, channels.Head) and passing.passes:
            if passing.broken or not passing.cutter.at_boundary:
                return Lost(reason=f"{target.target_id}: the stream ended within an event")
        return result


class _Passing:
    """A stream on its way to the caller, over all the targets that it comes from."""

    def __init__(
        self, *, progress: Progress, reply: inbound.Reply, dialect: calls.Dialect
    ) -> None:
        self.progress = progress
        self.reply = reply
        self.cutter = sse.Cutter(last_id=progress.admitted.call.last_event)
        self.passes = False
        self.broken = False
        self.moved = False
        self._dialect = dialect
        self._head: channels.Head | None = None
        self._pieces: list[bytes] = []

    @property
    def body(self) -> bytes:
        """Returns the body of an answer that is no stream."""
        return b"".join(self._pieces)

    def restart(self) -> None:
        """Prepares for another target."""
        self.cutter.restart()
        self.passes = self.broken = self.moved = False
        self._pieces.clear()

    def take_head(self, head: channels.Head) -> None:
        """Takes in the head of a target's answer."""
        verdict = self._dialect.read_verdict(head.status, head.headers)
        self.passes = head.status == _OK and verdict.signed
        if self.passes and self._head is None:
            self._head = head

    def take(self, chunk: bytes) -> bool:
        """Takes in a part of the body; returns True if events were passed on."""
        if not self.passes:
            self._pieces.append(chunk)
            return False
        passed = self.cutter.feed(chunk)
        self.broken = self.broken or passed.gap
        if not passed.count:
            return False
        if not self.reply.started:
            assert self._head is not None
            self.reply.begin(
                self._head.status, self._head.reason, self._dialect.returned(self._head.headers)
            )
        self.reply.piece(passed.data)
        self.progress.events += passed.count
        return True


def _too_late(progress: Progress) -> failure.Refusal:
    if not progress.sends:
        return failure.Refusal(reason="no target in time", code="deadline", status=503)
    return failure.Refusal(
        reason="no answer in time",
        code="deadline",
        status=504,
        outcome=failure.Outcome.UNKNOWN,
    )


def _after(progress: Progress, refusal: failure.Refusal) -> failure.Refusal:
    """Corrects a refusal for a request that may have run before."""
    if not progress.sends:
        return refusal
    return failure.Refusal(
        reason=refusal.reason,
        code="target_lost",
        status=502,
        outcome=failure.Outcome.UNKNOWN,
    )


def _given_up(
    progress: Progress, result: NotSent | NotRun | Lost, refusal: failure.Refusal
) -> failure.Refusal:
    return _after(progress, dataclasses.replace(refusal, reason=result.reason))


def _broken_off(progress: Progress, reply: inbound.Reply, reason: str) -> None:
    progress.outcome = f"broken_off: {reason}"
    reply.abort()
