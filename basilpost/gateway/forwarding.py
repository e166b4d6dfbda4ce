"""Sends admitted requests to targets until one answers, and passes the answer on.

A request that must run once is never sent again after a byte of it may have left, unless the runner
says that it has not run. Others may be sent again within their attempts, the deadline and a budget
that bounds repeats over all nodes. A stream goes on at another target after its last whole event.
"""

import asyncio
import dataclasses
import random
from typing import Any

from basilpost.core import channels, clock, failure
from basilpost.gateway import activity as activities
from basilpost.gateway import admitting, inbound, passing
from basilpost.gateway import progress as results
from basilpost.members import loads as loads_
from basilpost.routing import cold, header_dialect, placement, retry
from basilpost.routing import crashes as crashes_
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class Budgets:
    """Bounds shared with the other nodes.

    Attributes:
        retry_share: Repeats per request.
        retry_reserve: Repeats beyond them, of all nodes.
    """

    retry_share: float
    retry_reserve: float


class Forwarder:
    """Forwards the requests of one node."""

    def __init__(
        self,
        *,
        node_id: str,
        failure_domain: str,
        dialect: header_dialect.HeaderDialect,
        targets: targets_.Targets,
        loads: loads_.Loads,
        budgets: Budgets,
        crashes: crashes_.CrashTracker,
        chance: random.Random,
        log: Any,
    ) -> None:
        self.pool = channels.Pool()
        self.activity = activities.Activity()
        self._failure_domain = failure_domain
        self._dialect = dialect
        self._targets = targets
        self._loads = loads
        self._budgets = budgets
        self._crashes = crashes
        self._chance = chance
        self._log = log
        self._cold = cold.ColdStartLimiter(node_id=node_id)
        self._retries_by_service: dict[str, retry.RetryBudget] = {}
        loads.stalled = self.activity.suspects
        loads.writing = self.activity.writing
        self.activity.written_elsewhere = loads.written_elsewhere

    def _note_arrival(self, progress: results.Progress) -> None:
        self._retries(progress).deposit()
        self._loads.demand.arrived(progress.admitted.call.model)

    # Whole answers.

    async def fetch(
        self, progress: results.Progress, request: inbound.Request
    ) -> results.Whole | failure.Refusal:
        """Gets a whole answer."""
        self._note_arrival(progress)
        try:
            async with asyncio.timeout(max(0.0, admitting.left(progress.admitted))):
                return await self._fetch(progress, request)
        except TimeoutError:
            return results.too_late(progress)

    async def _fetch(
        self, progress: results.Progress, request: inbound.Request
    ) -> results.Whole | failure.Refusal:
        sink = passing.Collector()
        while True:
            target = await self._place(progress)
            if isinstance(target, failure.Refusal):
                return results.corrected(progress, target)
            sink.restart()
            result = await self._send(progress, request, target, last_event="", sink=sink)
            if isinstance(result, channels.Head):
                self._crashes.record_answer(progress.fingerprint)
                if result.status < 500 or not self._may_repeat(progress):
                    return results.Whole(head=result, body=sink.body)
            elif not self._may_go_on(progress, result):
                return results.corrected(progress, self._refusal("target_lost", result.reason))

    # Streams.

    async def stream(
        self, progress: results.Progress, request: inbound.Request, reply: inbound.Reply
    ) -> results.Streamed | results.Whole | failure.Refusal | results.BrokenOff:
        """Passes a stream on as it comes."""
        self._note_arrival(progress)
        sink = passing.StreamSink(
            reply=reply, dialect=self._dialect, last_event=progress.admitted.call.last_event_id
        )
        try:
            async with asyncio.timeout(max(0.0, admitting.left(progress.admitted))):
                result = await self._stream(progress, request, sink)
        except TimeoutError:
            result = results.too_late(progress)
        if reply.started and not isinstance(result, results.Streamed):
            reply.abort()
            reason = result.reason if isinstance(result, failure.Refusal) else "no more events"
            return results.BrokenOff(reason=reason)
        return result

    async def _stream(
        self, progress: results.Progress, request: inbound.Request, sink: passing.StreamSink
    ) -> results.Streamed | results.Whole | failure.Refusal:
        while True:
            target = await self._place(progress)
            if isinstance(target, failure.Refusal):
                return results.corrected(progress, target)
            result = await self._stream_from(progress, request, target, sink)
            if isinstance(result, channels.Head):
                self._crashes.record_answer(progress.fingerprint)
                if sink.streams:
                    sink.end()
                    return results.Streamed()
                if result.status < 500 or not self._may_repeat(progress):
                    return results.Whole(head=result, body=sink.body)
            elif not self._may_go_on(progress, result):
                return results.corrected(progress, self._refusal("target_lost", result.reason))

    async def _stream_from(
        self,
        progress: results.Progress,
        request: inbound.Request,
        target: targets_.Target,
        sink: passing.StreamSink,
    ) -> channels.Head | results.NotSent | results.NotRun | results.Lost:
        """Passes on what comes from one target, until its end or until it stands still."""

        def move() -> None:
            if progress.has_attempts and not isinstance(self._choose(progress), failure.Refusal):
                self._log.info(
                    "stream_moved",
                    request=progress.admitted.call.request_id,
                    target=target.target_id,
                )
                sink.left = True
                sink.break_off()

        sink.restart()
        watch = self.activity.watch(target.target_id, move, lambda: sink.events)
        try:
            result = await self._send(
                progress, request, target, last_event=sink.cutter.last_id, sink=sink
            )
        finally:
            self.activity.ended(watch)
        if isinstance(result, results.Lost):
            return dataclasses.replace(result, left=sink.left)
        if isinstance(result, channels.Head) and sink.streams and not sink.whole:
            return results.Lost(reason=f"{target.target_id}: the stream ended within an event")
        return result

    # Placing.

    async def _place(self, progress: results.Progress) -> targets_.Target | failure.Refusal:
        """Returns a target with room, after a short wait if need be."""
        admitted = progress.admitted
        wait_until = clock.elapsed() + admitted.route.objective * WAIT_SHARE
        while True:
            found = self._choose(progress)
            if isinstance(found, targets_.Target) or found.code != "busy":
                return found
            if clock.elapsed() + WAIT_STEP_SECONDS > min(wait_until, admitted.deadline):
                return found
            await asyncio.sleep(WAIT_STEP_SECONDS)
            progress.waited += WAIT_STEP_SECONDS

    def _choose(self, progress: results.Progress) -> targets_.Target | failure.Refusal:
        admitted = progress.admitted
        if self._crashes.should_refuse(progress.fingerprint):
            return dataclasses.replace(
                self._refusal("quarantined", "the request has felled each runner that ran it"),
                retry_after=None,
            )
        known = self._targets.matching(admitted.service.name, admitted.call.model)
        untried = [one for one in known if one.target_id not in progress.tried]
        if not untried:
            return self._refusal("no_target", f"{len(known)} targets known, none left to try")
        suspects = self._loads.all_stalled()
        lapsed = {one.target_id for one in untried if not one.complete}
        suspects |= lapsed - self._loads.all_writing() if lapsed else frozenset()
        candidates = [self._candidate(admitted, one, suspects) for one in untried]
        chosen = placement.choose_target(
            candidates,
            failure_domain=self._failure_domain,
            rng=self._chance,
            stale=self._loads.are_stale,
        )
        return chosen or self._refusal("busy", f"all {len(untried)} targets are full")

    def _candidate(
        self, admitted: admitting.Admitted, target: targets_.Target, suspects: frozenset[str]
    ) -> placement.Candidate:
        target_id = target.target_id
        return placement.Candidate(
            target=target,
            in_flight=self._loads.total(target_id),
            stalled=target_id in suspects,
            may_send=not self._targets.is_cold(target)
            or self._cold.may_send(
                target_id,
                per_second=admitted.service.cold_per_second,
                node_ids=self._loads.node_ids(),
            ),
        )

    # Sending.

    async def _send(
        self,
        progress: results.Progress,
        request: inbound.Request,
        target: targets_.Target,
        *,
        last_event: str,
        sink: passing.Sink,
    ) -> channels.Head | results.NotSent | results.NotRun | results.Lost:
        """Sends a request to a target and reads its answer."""
        progress.target = target.target_id
        progress.tried.add(target.target_id)
        channel = await self.pool.acquire(
            target.address, timeout=CONNECT_SECONDS, fresh=not progress.repeatable
        )
        if isinstance(channel, channels.ConnectFailed):
            return results.NotSent(reason=channel.reason)
        self._note_placed(progress, target, last_event)
        self._loads.began(target.target_id)
        began_at = clock.elapsed()
        keep = False
        try:
            if self._targets.is_cold(target):
                self._cold.record_sent(target.target_id)
            progress.sends += 1
            sink.opened(channel)
            headers = self._dialect.request_headers(
                request.headers, _forwarding(progress.admitted, target, last_event)
            )
            channel.send(request.method, request.target, headers, request.body)
            result = await self._receive(progress, channel, sink)
            keep = isinstance(result, channels.Head | results.NotRun)
            if isinstance(result, channels.Head):
                self._loads.demand.ended(target.model, clock.elapsed() - began_at)
            if isinstance(result, results.NotRun):
                progress.sends -= 1
                progress.rejections += 1
            return result
        finally:
            self._loads.ended(target.target_id)
            if keep:
                self.pool.release(channel)
            else:
                channel.close()

    def _note_placed(
        self, progress: results.Progress, target: targets_.Target, last_event: str
    ) -> None:
        self._log.info(
            "request_placed",
            request=progress.admitted.call.request_id,
            target=target.target_id,
            vm=target.vm_id,
            in_flight=self._loads.total(target.target_id),
            slots=target.slots,
            suspects=len(self._loads.all_stalled()),
            sends=progress.sends,
            last_event=last_event,
            left_ms=round(admitting.left(progress.admitted) * 1000),
        )

    async def _receive(
        self, progress: results.Progress, channel: channels.Channel, sink: passing.Sink
    ) -> channels.Head | results.NotRun | results.Lost:
        """Reads the answer to this request; answers to others are skipped."""
        own = False

        def take_head(head: channels.Head) -> None:
            nonlocal own
            own = self._answers_own(progress, channel, head)
            if own:
                sink.take_head(head)
            else:
                self._note_stray(progress, channel, head)

        def take(chunk: bytes) -> None:
            if own:
                sink.take(chunk)

        for _ in range(MAX_STRAY_ANSWERS + 1):
            head = await channel.receive(on_head=take_head, on_data=take)
            if isinstance(head, channels.Broken):
                return results.Lost(reason=head.reason)
            if own:
                return self._judged(head, channel)
        return results.Lost(reason=f"{channel.address} sent answers to other requests")

    def _answers_own(
        self, progress: results.Progress, channel: channels.Channel, head: channels.Head
    ) -> bool:
        """Returns True if an answer names the request, or can be to no other one.

        A second answer to an earlier request may come first on a kept connection. Rejections may
        come without a name; one that was meant for another request does no harm here, as requests
        that must run once have connections of their own.
        """
        verdict = self._dialect.parse_response(head.status, head.headers)
        if verdict.request_id:
            return verdict.request_id == progress.admitted.call.request_id
        return verdict.not_run or channel.requests == 1

    def _note_stray(
        self, progress: results.Progress, channel: channels.Channel, head: channels.Head
    ) -> None:
        verdict = self._dialect.parse_response(head.status, head.headers)
        self._log.warning(
            "stray_answer",
            request=progress.admitted.call.request_id,
            target=progress.target,
            named=verdict.request_id,
            answer_status=head.status,
            requests=channel.requests,
        )

    def _judged(
        self, head: channels.Head, channel: channels.Channel
    ) -> channels.Head | results.NotRun | results.Lost:
        verdict = self._dialect.parse_response(head.status, head.headers)
        if verdict.not_run:
            return results.NotRun(reason=f"{channel.address} rejected it with {head.status}")
        if head.status < 300 and not verdict.signed:
            return results.Lost(reason=f"{channel.address} sent an unsigned success")
        return head

    # Repeats and refusals.

    def _retries(self, progress: results.Progress) -> retry.RetryBudget:
        service = progress.admitted.service.name
        most = self._budgets.retry_reserve / self._loads.nodes()
        found = self._retries_by_service.get(service)
        if found is None:
            found = retry.RetryBudget(
                share=self._budgets.retry_share, reserve=most, max_balance=most
            )
            self._retries_by_service[service] = found
        found.set_max_balance(most)
        return found

    def _may_repeat(self, progress: results.Progress) -> bool:
        """Returns True, and pays for it, if a request may run once more."""
        return progress.has_attempts and self._retries(progress).spend()

    def _may_go_on(
        self, progress: results.Progress, result: results.NotSent | results.NotRun | results.Lost
    ) -> bool:
        """Returns True if a request may be tried elsewhere after a try without an answer."""
        if isinstance(result, results.Lost) and not result.left:
            self._crashes.record_crash(progress.fingerprint)
        again = self._is_worth_another(progress, result)
        self._log.info(
            "attempt_failed",
            request=progress.admitted.call.request_id,
            target=progress.target,
            result=type(result).__name__,
            reason=result.reason,
            again=again,
        )
        return again

    def _is_worth_another(
        self, progress: results.Progress, result: results.NotSent | results.NotRun | results.Lost
    ) -> bool:
        if isinstance(result, results.NotSent):
            return True
        if isinstance(result, results.NotRun):
            return progress.rejections < MAX_REJECTIONS and self._retries(progress).spend()
        return self._may_repeat(progress)

    def _refusal(self, code: str, reason: str) -> failure.Refusal:
        """Returns a refusal of a request that has not run."""
        return failure.Refusal(
            reason=reason,
            code=code,
            status=503,
            retry_after=self._chance.uniform(*RETRY_AFTER_SECONDS),
        )


def _forwarding(
    admitted: admitting.Admitted, target: targets_.Target, last_event: str
) -> header_dialect.ForwardingInfo:
    return header_dialect.ForwardingInfo(
        vm_id=target.vm_id,
        workspace=admitted.workspace,
        budget_seconds=admitting.left(admitted),
        priority=admitted.priority,
        last_event_id=last_event,
    )
