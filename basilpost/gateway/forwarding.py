"""Sends admitted requests to targets until one answers, and forwards the answer.

A request that may run only once is never sent again after a byte of it may have been sent, unless the
runner says that it has not run the request. Other requests may be sent again within the attempts of
their route, their deadline and a budget that bounds the retries of all nodes together. A stream is
resumed on another target after its last complete event. While this node has no path to the runners,
other nodes send its requests, each once; this node does the same for them.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable
from typing import Any

from basilpost.core import channels, clock, failure
from basilpost.gateway import (
    answer_sinks,
    attempts,
    detour_headers,
    detours,
    inbound,
    loss_probe,
    request_admission,
    target_choice,
)
from basilpost.gateway import stall_detector as stall_detector_
from basilpost.members import loads as loads_
from basilpost.members import reachability as reachability_
from basilpost.routing import crashes as crashes_
from basilpost.routing import departures, header_dialect, named_limits, pauses, retry
from basilpost.routing import targets as targets_

# Longest time for opening a connection to a target.
CONNECT_SECONDS = 0.5
# A request is refused after this many runners have rejected it without running it.
MAX_REJECTIONS = 3
# A target that has sent events of a stream for this long does not crash under the request.
SOUND_WRITING_SECONDS = 0.5
# A kept connection that breaks this soon was closed before the request arrived.
STALE_SECONDS = 0.005
# Answers to other requests that are skipped on a connection before it is closed.
MAX_STRAY_ANSWERS = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Budgets:
    """Bounds on the retries of requests to one service.

    Attributes:
        retry_share: Retries allowed per arriving request.
        retry_reserve: Number of retries to a service allowed beyond that share, over all nodes.
    """

    retry_share: float
    retry_reserve: float


@dataclasses.dataclass(kw_only=True, eq=False)
class _InFlight:
    """A request on a connection to a target.

    Attributes:
        progress: The attempts of the request.
        channel: The connection.
        abandoned: True if this node closed the connection because its path to the runners is gone.
    """

    progress: attempts.Progress
    channel: channels.Channel
    abandoned: bool = False


class Forwarder:
    """Forwards the requests of one node to targets.

    Attributes:
        pool: Connections to targets.
        stall_detector: Watches the streams that this node reads.
        loss_probe: Finds out whether targets that lost requests have crashed.
    """

    def __init__(
        self,
        *,
        node_id: str,
        failure_domain: str,
        source_host: str,
        dialect: header_dialect.HeaderDialect,
        targets: targets_.Targets,
        loads: loads_.Loads,
        budgets: Budgets,
        crashes: crashes_.CrashTracker,
        limits: named_limits.NamedLimits,
        runner_pauses: pauses.RunnerPauses,
        runner_departures: departures.Departures,
        reachability: reachability_.Reachability,
        node_detours: detours.Detours,
        rng: random.Random,
        log: Any,
    ) -> None:
        self.pool = channels.Pool(source_host=source_host)
        self.stall_detector = stall_detector_.StallDetector()
        self._dialect = dialect
        self._loads = loads
        self._budgets = budgets
        self._crashes = crashes
        self._limits = limits
        self._pauses = runner_pauses
        self._departures = runner_departures
        self._reachability = reachability
        self._detours = node_detours
        self._in_flight: set[_InFlight] = set()
        reachability.connect = self._connect
        reachability.subscribe(self._on_path_change)
        self.loss_probe = loss_probe.LossProbe(
            connect=self._connect,
            has_path=lambda: reachability.find_path(fresh=True),
            on_crash=crashes.record_crash,
            log=log,
        )
        self._log = log
        self._answer_memory = answer_sinks.AnswerMemory()
        self._chooser = target_choice.TargetChooser(
            node_id=node_id,
            failure_domain=failure_domain,
            targets=targets,
            loads=loads,
            crashes=crashes,
            limits=limits,
            runner_pauses=runner_pauses,
            runner_departures=runner_departures,
            rng=rng,
        )
        self._retries_by_service: dict[str, retry.RetryBudget] = {}
        loads.local_stalled = self._stalled_targets
        loads.local_writing = self.stall_detector.active_targets
        self.stall_detector.active_elsewhere = loads.writing_elsewhere_among

    def _count_arrival(self, progress: attempts.Progress) -> None:
        self._retry_budget(progress).deposit()
        self._loads.demand_meter.count_arrival(progress.admitted.call.model)

    async def fetch(
        self, progress: attempts.Progress, request: inbound.Request
    ) -> attempts.WholeAnswer | failure.Refusal:
        """Returns the complete answer of a target, or a refusal at the latest at the deadline."""
        self._count_arrival(progress)
        try:
            async with asyncio.timeout(max(0.0, request_admission.seconds_left(progress.admitted))):
                return await self._fetch(progress, request)
        except TimeoutError:
            return attempts.deadline_refusal(progress)

    async def _fetch(
        self, progress: attempts.Progress, request: inbound.Request
    ) -> attempts.WholeAnswer | failure.Refusal:
        sink = answer_sinks.Collector(memory=self._answer_memory)
        try:
            return await self._fetch_into(progress, request, sink)
        finally:
            sink.discard()

    async def _fetch_into(
        self,
        progress: attempts.Progress,
        request: inbound.Request,
        sink: answer_sinks.Collector,
    ) -> attempts.WholeAnswer | failure.Refusal:
        while True:
            way = await self._choose_way(progress)
            if isinstance(way, failure.Refusal):
                return attempts.corrected_refusal(progress, way)
            sink.restart()
            result = await self._send(progress, request, way, last_event="", sink=sink)
            if isinstance(result, failure.Refusal):
                return attempts.corrected_refusal(progress, result)
            if isinstance(result, channels.Head):
                self._record_answer(progress, result)
                if result.status < 500 or not self._spend_retry(progress):
                    return attempts.WholeAnswer(head=result, body=sink.body)
            elif not self._may_try_elsewhere(progress, result):
                return attempts.corrected_refusal(
                    progress, self._chooser.refusal_after(progress, result.reason)
                )

    async def stream(
        self, progress: attempts.Progress, request: inbound.Request, reply: inbound.Reply
    ) -> attempts.Streamed | attempts.WholeAnswer | failure.Refusal | attempts.BrokenOff:
        """Forwards a stream to the caller event by event; returns an answer that is not a stream.

        A refusal is returned only if nothing was sent to the caller yet. After that, a stream that cannot
        be completed is aborted and `BrokenOff` is returned.
        """
        self._count_arrival(progress)
        sink = self._stream_sink(progress, reply)
        try:
            async with asyncio.timeout(max(0.0, request_admission.seconds_left(progress.admitted))):
                result = await self._stream(progress, request, sink)
        except TimeoutError:
            result = attempts.deadline_refusal(progress)
        finally:
            sink.discard()
        if reply.started and not isinstance(result, attempts.Streamed):
            reply.abort()
            reason = result.reason if isinstance(result, failure.Refusal) else "no more events"
            return attempts.BrokenOff(reason=reason)
        return result

    def _stream_sink(
        self, progress: attempts.Progress, reply: inbound.Reply
    ) -> answer_sinks.StreamSink:
        return answer_sinks.StreamSink(
            reply=reply,
            dialect=self._dialect,
            last_event=progress.admitted.call.last_event_id,
            max_answer_tokens=progress.admitted.call.max_answer_tokens,
            memory=self._answer_memory,
        )

    async def _stream(
        self,
        progress: attempts.Progress,
        request: inbound.Request,
        sink: answer_sinks.StreamSink,
    ) -> attempts.Streamed | attempts.WholeAnswer | failure.Refusal:
        while True:
            way = await self._choose_way(progress)
            if isinstance(way, failure.Refusal):
                return attempts.corrected_refusal(progress, way)
            result = await self._stream_from(
                progress, request, way, sink, may_move=lambda: self._spend_retry(progress)
            )
            if isinstance(result, failure.Refusal):
                return attempts.corrected_refusal(progress, result)
            if isinstance(result, channels.Head):
                self._record_answer(progress, result)
                if sink.is_stream:
                    sink.end()
                    return attempts.Streamed()
                if result.status < 500 or not self._spend_retry(progress):
                    return attempts.WholeAnswer(head=result, body=sink.body)
            elif not self._may_try_elsewhere(progress, result):
                return attempts.corrected_refusal(
                    progress, self._chooser.refusal_after(progress, result.reason)
                )

    async def _stream_from(
        self,
        progress: attempts.Progress,
        request: inbound.Request,
        way: targets_.Target | detours.Detour,
        sink: answer_sinks.StreamSink,
        *,
        may_move: Callable[[], bool],
    ) -> channels.Head | attempts.NotSent | attempts.NotRun | attempts.Lost | failure.Refusal:
        """Forwards the events of one target until its stream ends, breaks off or stalls.

        Args:
            progress: The attempts of the request.
            request: The request.
            way: The target, or the node that chooses one.
            sink: Receives the events.
            may_move: Called before a stalled stream is moved; returns False to leave it. A retry is
                spent then: without one, the stream would be cut although its target may go on.
        """
        # Streams that other nodes send are watched by node: the same ones watch them by target.
        source = way.node_id if isinstance(way, detours.Detour) else way.target_id

        def move_stream() -> None:
            if sink.abandoned or not self._has_alternative(progress) or not may_move():
                return
            self._log.info("stream_moved", request=progress.admitted.call.request_id, target=source)
            sink.abandoned = True
            sink.close_channel()

        sink.restart()
        watch = self.stall_detector.watch(source, move_stream, lambda: sink.activity)
        try:
            result = await self._send(
                progress, request, way, last_event=sink.stream.last_id, sink=sink
            )
        finally:
            self.stall_detector.unwatch(watch)
        if isinstance(result, channels.Head) and sink.is_stream and not sink.is_complete:
            result = attempts.Lost(reason=f"{source}: the stream ended within an event")
        if isinstance(result, attempts.Lost):
            return dataclasses.replace(
                result,
                abandoned=result.abandoned or sink.abandoned,
                writing_seconds=sink.writing_seconds,
            )
        return result

    async def _choose_way(
        self, progress: attempts.Progress
    ) -> targets_.Target | detours.Detour | failure.Refusal:
        """Returns the target of a request, or the node that sends it while this one has no path."""
        if self._reachability.prefers_detour():
            detour = self._detours.choose(progress)
            if detour is not None:
                return detour
            if not self._reachability.has_path:
                return self._chooser.refusal(
                    "no_path", "this node reaches no runner, and no other node can send it now"
                )
        chosen = await self._chooser.wait(progress)
        if isinstance(chosen, failure.Refusal) and progress.unreached_targets:
            # Other nodes may reach the targets to which this one could open no connection.
            return self._detours.choose(progress) or chosen
        return chosen

    def _has_alternative(self, progress: attempts.Progress) -> bool:
        """Returns True if a request could be sent once more now."""
        if self._reachability.prefers_detour() and self._detours.choose(progress) is not None:
            return True
        return not isinstance(self._chooser.choose(progress), failure.Refusal)

    async def carry(
        self,
        progress: attempts.Progress,
        request: inbound.Request,
        reply: inbound.Reply,
    ) -> (
        attempts.Streamed | attempts.WholeAnswer | attempts.NotRun | attempts.Lost | failure.Refusal
    ):
        """Sends a request for another node to one target, which it reaches, and forwards the answer.

        The other node has counted the request's arrival and decides about a retry.

        Args:
            progress: The attempts that the other node has made.
            request: The request as that node sent it.
            reply: The answer to that node, to which the events of a stream are sent.
        """
        streaming = progress.admitted.route.streaming
        sink = (
            self._stream_sink(progress, reply)
            if streaming
            else answer_sinks.Collector(memory=self._answer_memory)
        )
        try:
            async with asyncio.timeout(max(0.0, request_admission.seconds_left(progress.admitted))):
                return await self._carry(progress, request, reply, sink)
        except TimeoutError:
            return attempts.deadline_refusal(progress)
        finally:
            sink.discard()

    async def _carry(
        self,
        progress: attempts.Progress,
        request: inbound.Request,
        reply: inbound.Reply,
        sink: answer_sinks.Collector,
    ) -> (
        attempts.Streamed | attempts.WholeAnswer | attempts.NotRun | attempts.Lost | failure.Refusal
    ):
        while True:
            if not self._reachability.has_path:
                return self._chooser.refusal("no_path", "this node reaches no runner either")
            target = await self._chooser.wait(progress)
            if isinstance(target, failure.Refusal):
                return target
            report = detour_headers.Report(
                result=detour_headers.Result.ANSWERED, target_id=target.target_id
            )
            reply.added_headers = report.headers()
            if isinstance(sink, answer_sinks.StreamSink):
                result = await self._stream_from(
                    progress, request, target, sink, may_move=lambda: progress.may_move
                )
            else:
                sink.restart()
                result = await self._send(progress, request, target, last_event="", sink=sink)
            if isinstance(result, failure.Refusal):
                return result
            if isinstance(result, attempts.NotSent):
                self._log_failed_attempt(progress, result, again=True)
                continue
            if isinstance(result, channels.Head):
                self._record_answer(progress, result)
                if isinstance(sink, answer_sinks.StreamSink) and sink.is_stream:
                    sink.end()
                    return attempts.Streamed()
                return attempts.WholeAnswer(head=result, body=sink.body)
            if isinstance(result, attempts.Lost) and self._may_have_crashed(progress, result):
                self._report_loss(progress)
            self._log_failed_attempt(progress, result, again=False)
            return result

    async def _send(
        self,
        progress: attempts.Progress,
        request: inbound.Request,
        way: targets_.Target | detours.Detour,
        *,
        last_event: str,
        sink: answer_sinks.AnswerSink,
    ) -> channels.Head | attempts.NotSent | attempts.NotRun | attempts.Lost | failure.Refusal:
        """Sends a request to a target, or by way of a node, and reads the answer into the sink."""
        if isinstance(way, detours.Detour):
            return await self._detours.send(
                progress, request, way, last_event=last_event, sink=sink
            )
        return await self._send_to_target(progress, request, way, last_event, sink)

    async def _send_to_target(
        self,
        progress: attempts.Progress,
        request: inbound.Request,
        target: targets_.Target,
        last_event: str,
        sink: answer_sinks.AnswerSink,
    ) -> channels.Head | attempts.NotSent | attempts.NotRun | attempts.Lost:
        progress.target, progress.address = target.target_id, target.address
        progress.detour_node = ""
        progress.tried_targets.add(target.target_id)
        # Counted before the connection is open, so that other requests see that the room is taken.
        self._loads.request_started(target.target_id)
        self._chooser.record_sent(target)
        try:
            return await self._exchange(progress, request, target, last_event, sink)
        finally:
            self._loads.request_ended(target.target_id)

    async def _exchange(
        self,
        progress: attempts.Progress,
        request: inbound.Request,
        target: targets_.Target,
        last_event: str,
        sink: answer_sinks.AnswerSink,
    ) -> channels.Head | attempts.NotSent | attempts.NotRun | attempts.Lost:
        channel = await self.pool.acquire(
            target.address,
            timeout=CONNECT_SECONDS,
            fresh=not progress.repeatable,
            lifetime=target.lifetime,
        )
        if isinstance(channel, channels.ConnectFailed):
            self._chooser.record_unreachable(target)
            progress.unreached_targets.add(target.target_id)
            await self._reachability.find_path()
            return attempts.NotSent(reason=channel.reason)
        self._log_placement(progress, target, last_event)
        began_at = clock.elapsed()
        keep = False
        in_flight = _InFlight(progress=progress, channel=channel)
        self._in_flight.add(in_flight)
        self._reachability.record_sent()
        try:
            progress.sends += 1
            sink.on_connected(channel)
            headers = self._dialect.request_headers(
                request.headers, _added_headers(progress.admitted, target, last_event)
            )
            channel.send(request.method, request.target, headers, request.body)
            result = await self._receive(progress, target, channel, sink)
            keep = isinstance(result, channels.Head | attempts.NotRun)
            if isinstance(result, channels.Head):
                self._loads.demand_meter.count_completion(target.model, clock.elapsed() - began_at)
            if isinstance(result, attempts.NotRun):
                progress.sends -= 1
                progress.rejections += 1
            if isinstance(result, attempts.Lost) and channel.requests > 1:
                is_stale = clock.elapsed() - began_at < STALE_SECONDS
                result = dataclasses.replace(result, stale_connection=is_stale)
                if is_stale:
                    self._chooser.record_unreachable(target)
            if isinstance(result, attempts.Lost) and in_flight.abandoned:
                result = dataclasses.replace(result, abandoned=True)
            return result
        finally:
            self._in_flight.discard(in_flight)
            self._reachability.record_ended()
            if keep:
                self.pool.release(channel)
            else:
                channel.close()

    def _log_placement(
        self, progress: attempts.Progress, target: targets_.Target, last_event: str
    ) -> None:
        self._log.info(
            "request_placed",
            request=progress.admitted.call.request_id,
            target=target.target_id,
            vm=target.vm_id,
            # Without this request, which is counted already.
            in_flight=self._loads.total_in_flight(target.target_id) - 1,
            slots=target.slots,
            suspects=self._loads.stalled_count(),
            sends=progress.sends,
            last_event=last_event,
            left_ms=round(request_admission.seconds_left(progress.admitted) * 1000),
        )

    async def _receive(
        self,
        progress: attempts.Progress,
        target: targets_.Target,
        channel: channels.Channel,
        sink: answer_sinks.AnswerSink,
    ) -> channels.Head | attempts.NotRun | attempts.Lost:
        """Reads the answer to this request; skips and logs answers to other requests."""
        is_own = False
        sent_at = clock.elapsed()

        def receive_head(head: channels.Head) -> None:
            nonlocal is_own
            self._reachability.record_heard()
            is_own = self._is_own_answer(progress, channel, head)
            self._record_limit(target, head, sent_at=sent_at)
            self._record_pause(target, head, sent_at=sent_at)
            if self._dialect.parse_response(head.status, head.headers).leaving:
                self._departures.record_said(target.lifetime, target.target_id)
            if is_own:
                sink.on_head(head)
            else:
                self._log_stray_answer(progress, channel, head)

        def receive_chunk(chunk: bytes) -> Awaitable[None] | None:
            self._reachability.record_heard()
            return sink.on_chunk(chunk) if is_own else None

        for _ in range(MAX_STRAY_ANSWERS + 1):
            head = await channel.receive(on_head=receive_head, on_data=receive_chunk)
            if isinstance(head, channels.Broken):
                return attempts.Lost(reason=sink.excess or head.reason)
            if is_own:
                return self._classify(head, channel)
        return attempts.Lost(reason=f"{channel.address} sent answers to other requests")

    def _record_limit(
        self, target: targets_.Target, head: channels.Head, *, sent_at: float
    ) -> None:
        """Records the limit that an answer names, or that it names none."""
        response = self._dialect.parse_response(head.status, head.headers)
        if response.limit_per_second is not None:
            self._limits.record_named(target.lifetime, target.target_id, response.limit_per_second)
        elif response.signed:
            self._limits.record_unnamed(target.lifetime, target.target_id, sent_at=sent_at)

    def _record_pause(
        self, target: targets_.Target, head: channels.Head, *, sent_at: float
    ) -> None:
        """Records the pause that a rejection asks for, or that an answer asks for none."""
        response = self._dialect.parse_response(head.status, head.headers)
        if response.bad_pause:
            self._pauses.record_invalid(target.lifetime, target.target_id, response.bad_pause)
        if response.pause_seconds is not None:
            self._pauses.record_asked(target.lifetime, target.target_id, response.pause_seconds)
        elif response.signed or response.not_run:
            self._pauses.record_accepted(target.lifetime, target.target_id, sent_at=sent_at)

    def _is_own_answer(
        self, progress: attempts.Progress, channel: channels.Channel, head: channels.Head
    ) -> bool:
        """Returns True if an answer carries the id of this request, or cannot be for another one.

        On a kept connection a second answer to an earlier request may arrive first. Rejections may carry
        no request id. Taking one that was meant for another request does no harm, because requests that
        may run only once get a new connection.
        """
        response = self._dialect.parse_response(head.status, head.headers)
        if response.request_id:
            return response.request_id == progress.admitted.call.request_id
        return response.not_run or channel.requests == 1

    def _log_stray_answer(
        self, progress: attempts.Progress, channel: channels.Channel, head: channels.Head
    ) -> None:
        response = self._dialect.parse_response(head.status, head.headers)
        self._log.warning(
            "stray_answer",
            request=progress.admitted.call.request_id,
            target=progress.target,
            named=response.request_id,
            answer_status=head.status,
            requests=channel.requests,
        )

    def _classify(
        self, head: channels.Head, channel: channels.Channel
    ) -> channels.Head | attempts.NotRun | attempts.Lost:
        response = self._dialect.parse_response(head.status, head.headers)
        if response.not_run:
            return attempts.NotRun(reason=f"{channel.address} rejected it with {head.status}")
        if head.status < 300 and not response.signed:
            return attempts.Lost(reason=f"{channel.address} sent an unsigned success")
        return head

    def _retry_budget(self, progress: attempts.Progress) -> retry.RetryBudget:
        service = progress.admitted.service.name
        max_retries = self._budgets.retry_reserve / self._loads.node_count()
        budget = self._retries_by_service.get(service)
        if budget is None:
            budget = retry.RetryBudget(
                share=self._budgets.retry_share, reserve=max_retries, max_balance=max_retries
            )
            self._retries_by_service[service] = budget
        budget.set_max_balance(max_retries)
        return budget

    def _spend_retry(self, progress: attempts.Progress) -> bool:
        """Spends a retry and returns True if the request may run once more."""
        return progress.has_attempts_left and self._retry_budget(progress).spend()

    def _may_try_elsewhere(
        self,
        progress: attempts.Progress,
        result: attempts.NotSent | attempts.NotRun | attempts.Lost,
    ) -> bool:
        """Logs a failed attempt; returns True if the request may be sent to another target."""
        if isinstance(result, attempts.Lost) and self._may_have_crashed(progress, result):
            again = self._crashes.may_retry(progress.traits) and self._should_retry(
                progress, result
            )
            if not result.by_detour:
                self._report_loss(progress)
        else:
            again = self._should_retry(progress, result)
        self._log_failed_attempt(progress, result, again=again)
        return again

    def _report_loss(self, progress: attempts.Progress) -> None:
        self.loss_probe.report_loss(progress.target, progress.address, progress.lost_request)

    def _log_failed_attempt(
        self,
        progress: attempts.Progress,
        result: attempts.NotSent | attempts.NotRun | attempts.Lost,
        *,
        again: bool,
    ) -> None:
        self._log.info(
            "attempt_failed",
            request=progress.admitted.call.request_id,
            target=progress.target,
            result=type(result).__name__,
            reason=result.reason,
            again=again,
            fingerprint=progress.fingerprint,
            parts=list(progress.admitted.call.prompt_parts),
            detour_node=progress.detour_node,
        )

    def _may_have_crashed(self, progress: attempts.Progress, result: attempts.Lost) -> bool:
        """Returns True if the target may have crashed under this request.

        A stream that went on for a while clears its request, although its end is lost.
        """
        if result.writing_seconds >= SOUND_WRITING_SECONDS:
            self._crashes.record_answer(progress.traits)
            return False
        return not result.abandoned and not result.stale_connection

    def _record_answer(self, progress: attempts.Progress, head: channels.Head) -> None:
        if head.status < 300:
            self._crashes.record_answer(progress.traits)

    def _stalled_targets(self) -> frozenset[str]:
        """Returns the targets that seem stalled; none without a path, when all of them seem so."""
        return self.stall_detector.suspects() if self._reachability.has_path else frozenset()

    def _on_path_change(self, lost: bool) -> None:
        """Forgets who seemed stalled; without a path, sends silent requests again if they may be."""
        self.stall_detector.forget_suspects()
        if not lost or not self._reachability.is_silent:
            return
        for in_flight in tuple(self._in_flight):
            if self._spend_retry(in_flight.progress):
                in_flight.abandoned = True
                in_flight.channel.close()

    async def _connect(
        self, address: str, timeout: float
    ) -> channels.Channel | channels.ConnectFailed:
        return await self.pool.acquire(address, timeout=timeout, fresh=True)

    def _should_retry(
        self,
        progress: attempts.Progress,
        result: attempts.NotSent | attempts.NotRun | attempts.Lost,
    ) -> bool:
        if isinstance(result, attempts.NotSent):
            return True
        if isinstance(result, attempts.NotRun):
            return progress.rejections < MAX_REJECTIONS and self._retry_budget(progress).spend()
        # The retry of an abandoned stream was spent when it was given up.
        return result.abandoned or self._spend_retry(progress)


def _added_headers(
    admitted: request_admission.AdmittedRequest, target: targets_.Target, last_event: str
) -> header_dialect.ForwardingInfo:
    return header_dialect.ForwardingInfo(
        vm_id=target.vm_id,
        workspace=admitted.workspace,
        budget_seconds=request_admission.seconds_left(admitted),
        priority=admitted.priority,
        last_event_id=last_event,
    )
