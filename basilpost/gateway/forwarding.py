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
from collections.abc import Callable
from typing import Any, TypeVar

from basilpost.core import channels, failure
from basilpost.gateway import (
    answer_sinks,
    attempts,
    detour_headers,
    detours,
    handovers,
    inbound,
    load_control,
    loss_probe,
    planned_moves,
    request_admission,
    retry_budgets,
    silent_moves,
    target_choice,
    target_sender,
)
from basilpost.gateway import silent_targets as silent_targets_
from basilpost.gateway import stall_detector as stall_detector_
from basilpost.members import loads as loads_
from basilpost.members import reachability as reachability_
from basilpost.routing import crashes as crashes_
from basilpost.routing import departures, header_dialect, named_limits, pauses
from basilpost.routing import targets as targets_

# A request is refused after this many runners have rejected it without running it.
MAX_REJECTIONS = 3
# A target that has sent events of a stream for this long has processed its prompt, whose parts then are
# probably sound.
SOUND_WRITING_SECONDS = 0.5

_Result = TypeVar("_Result")


class Forwarder:
    """Forwards the requests of one node to targets.

    Attributes:
        sender: Sends each request to its target.
        stall_detector: Watches the streams that this node reads.
        planned_moves: Moves streams from groups that are closed as planned.
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
        retries: retry_budgets.RetryBudgets,
        crashes: crashes_.CrashTracker,
        limits: named_limits.NamedLimits,
        runner_pauses: pauses.RunnerPauses,
        runner_departures: departures.Departures,
        reachability: reachability_.Reachability,
        node_detours: detours.Detours,
        control: load_control.LoadControl,
        rng: random.Random,
        log: Any,
    ) -> None:
        self.stall_detector = stall_detector_.StallDetector()
        self.stall_detector.finds_single_streams = control.enabled
        self._dialect = dialect
        self._loads = loads
        self._control = control
        self._retries = retries
        self._crashes = crashes
        self._reachability = reachability
        self._detours = node_detours
        self._log = log
        self._answer_memory = answer_sinks.AnswerMemory()
        self._silent_targets = silent_targets_.SilentTargets(
            ask_vm=reachability.ask_vm,
            give_up=lambda target_id: self.sender.give_up_silent(
                lambda request: request.target_id == target_id, self._spend_retry_of_silent
            ),
            list_vms=targets.vms_by_target,
            log=log,
        )
        self._chooser = target_choice.TargetChooser(
            node_id=node_id,
            failure_domain=failure_domain,
            targets=targets,
            loads=loads,
            crashes=crashes,
            limits=limits,
            runner_pauses=runner_pauses,
            runner_departures=runner_departures,
            silent_targets=self._silent_targets,
            control=control,
            rng=rng,
        )
        self.sender = target_sender.TargetSender(
            source_host=source_host,
            dialect=dialect,
            loads=loads,
            chooser=self._chooser,
            limits=limits,
            runner_pauses=runner_pauses,
            runner_departures=runner_departures,
            reachability=reachability,
            silent_targets=self._silent_targets,
            is_replaced=targets.is_replaced,
            on_cancelled=lambda progress: self._watch_target(progress, cancelled=True),
            log=log,
        )
        self._targets = targets
        self._handovers = handovers.Handovers(
            loads=loads, memory=self._answer_memory, on_lost=self._report_loss, log=log
        )
        self.planned_moves = planned_moves.PlannedMoves(
            closing=targets.closing,
            choose=self._chooser.choose_with_free_slot,
            node_handovers=self._handovers,
            log=log,
        )
        self._silent_moves = silent_moves.SilentMoves(
            choose=self._chooser.choose,
            detector=self.stall_detector,
            sender=self.sender,
            node_handovers=self._handovers,
        )
        self.loss_probe = loss_probe.LossProbe(
            connect=self.sender.connect,
            has_path=lambda service: reachability.find_path(service=service, fresh=True),
            has_ended=targets.has_ended,
            on_down=self._chooser.avoid,
            on_crash=crashes.record_crash,
            log=log,
        )
        reachability.give_up_silent = lambda service: self.sender.give_up_silent(
            lambda request: request.service == service, self._spend_retry_of_silent
        )
        reachability.subscribe(lambda lost: self.stall_detector.forget_suspects())
        loads.local_stalled = self._stalled_targets
        loads.local_writing = self.stall_detector.active_targets
        self.stall_detector.active_elsewhere = loads.writing_elsewhere_among

    def _count_arrival(self, progress: attempts.Progress) -> None:
        self._retries.count_request(progress.admitted.service.name)
        self._loads.demand_meter.count_arrival(progress.admitted.call.model)

    async def fetch(
        self, progress: attempts.Progress, request: inbound.Request
    ) -> attempts.WholeAnswer | failure.Refusal:
        """Returns the complete answer of a target, or a refusal at the latest at the deadline."""
        self._count_arrival(progress)
        refusal = self._control.admit(progress)
        if refusal is not None:
            return refusal
        try:
            async with asyncio.timeout(max(0.0, request_admission.seconds_left(progress.admitted))):
                return await self._fetch(progress, request)
        except TimeoutError:
            return progress.failed_answer or attempts.deadline_refusal(progress)

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
                return attempts.final_result(progress, way)
            result = await self._collect(progress, request, way, sink)
            if isinstance(result, failure.Refusal):
                return attempts.final_result(progress, result)
            if isinstance(result, channels.Head):
                self._record_answer(progress, result)
                answer = attempts.WholeAnswer(head=result, body=sink.body)
                if result.status < 500 or not self._may_retry_failure(progress, answer):
                    return answer
            elif not self._may_try_elsewhere(progress, result):
                return attempts.final_result(
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
        refusal = self._control.admit(progress)
        if refusal is not None:
            return refusal
        sink = self._stream_sink(progress, reply)
        try:
            async with asyncio.timeout(max(0.0, request_admission.seconds_left(progress.admitted))):
                result = await self._stream(progress, request, sink)
        except TimeoutError:
            result = progress.failed_answer or attempts.deadline_refusal(progress)
        finally:
            sink.describe(progress)
            sink.discard()
            self._handovers.cancel(progress)
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
                return attempts.final_result(progress, way)
            result = await self._stream_from(
                progress,
                request,
                way,
                sink,
                may_move=lambda: self._spend_retry(progress, retry_budgets.RetryCause.STALLED),
                spend_retry=lambda: self._spend_planned_retry(progress),
            )
            if isinstance(result, failure.Refusal):
                return attempts.final_result(progress, result)
            if isinstance(result, channels.Head):
                self._record_answer(progress, result)
                if sink.is_stream:
                    sink.end()
                    return attempts.Streamed()
                answer = attempts.WholeAnswer(head=result, body=sink.body)
                if result.status < 500 or not self._may_retry_failure(progress, answer):
                    return answer
            elif not self._may_try_elsewhere(progress, result):
                return attempts.final_result(
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
        spend_retry: Callable[[], bool] | None = None,
    ) -> channels.Head | attempts.NotSent | attempts.NotRun | attempts.Lost | failure.Refusal:
        """Forwards the events of one target until its stream ends, breaks off or stalls.

        Args:
            progress: The attempts of the request.
            request: The request.
            way: The target, or the node that chooses one.
            sink: Receives the events.
            may_move: Called before a stalled stream is moved; returns False to leave it. A retry is
                spent then: without one, the stream would be cut although its target may go on.
            spend_retry: The same for a stream whose group is closed as planned; None to leave it there.
        """
        # Streams that other nodes send are watched by node: the same ones watch them by target.
        source = _source_of(way)
        service = progress.admitted.service.name

        send_beside = self._silent_moves.make_send(progress, request)

        def move_stream() -> None:
            # If nothing passes on this node's links, another target of its own would be silent as well.
            if sink.abandoned or self._reachability.is_in_doubt(service):
                return
            if self._handovers.find(progress) is not None:
                return
            # Another node that has sent the stream on resumes it itself.
            is_own = isinstance(way, targets_.Target) and spend_retry is not None
            if is_own and not self._reachability.prefers_detour(service):
                self._silent_moves.move(progress, sink, send_beside, may_move)
                return
            if not self._has_alternative(progress) or not may_move():
                return
            self._log.info("stream_moved", request=progress.admitted.call.request_id, target=source)
            sink.abandon()

        handover = self._handovers.take(progress)
        if handover is None:
            sink.restart()
        progress.resumed = bool(sink.last_event)
        watch = self.stall_detector.watch(source, move_stream, lambda: sink.activity)
        planned = self.planned_moves.watch(
            source, progress, sink, send=send_beside, spend_retry=spend_retry
        )
        try:
            if handover is None:
                result = await self._send(progress, request, way, sink)
            else:
                result = await handover.join()
        finally:
            self.stall_detector.unwatch(watch)
            self.planned_moves.unwatch(planned)
        self._handovers.settle(progress, sink, result)
        if sink.writing_since is not None and progress.predicted_seconds:
            self.sender.first_events.record(
                progress.admitted.call.model,
                predicted_seconds=progress.predicted_seconds,
                seconds=sink.writing_since - progress.sent_at,
            )
        result = _confirm(result, sink, source)
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
        handover = self._handovers.find(progress)
        if handover is not None:
            return handover.target
        service = progress.admitted.service.name
        if not progress.repeatable:
            # Sent on a link on which nothing passes, it could not be sent by another node any more.
            await self._reachability.settle_doubt(service)
        if self._reachability.prefers_detour(service):
            detour = self._detours.choose(progress)
            if detour is not None:
                return detour
            if not self._reachability.has_path:
                return self._chooser.refusal(
                    "no_path",
                    f"this node reaches no runner; {self._detours.explain_refusal(progress)}",
                )
        chosen = await self._chooser.wait(progress)
        if isinstance(chosen, failure.Refusal) and progress.unreached_targets:
            # Other nodes may reach the targets to which this one could open no connection.
            return self._detours.choose(progress) or chosen
        if isinstance(chosen, targets_.Target) and self._silent_targets.among([chosen.target_id]):
            return self._detours.choose(progress) or chosen
        return chosen

    def _has_alternative(self, progress: attempts.Progress) -> bool:
        """Returns True if a request could be sent once more now."""
        prefers_detour = self._reachability.prefers_detour(progress.admitted.service.name)
        if prefers_detour and self._detours.choose(progress) is not None:
            return True
        return not isinstance(self._chooser.choose(progress), failure.Refusal)

    async def send_for_peer(
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
                return await self._send_for_peer(progress, request, reply, sink)
        except TimeoutError:
            return attempts.deadline_refusal(progress)
        finally:
            sink.discard()

    async def _send_for_peer(
        self,
        progress: attempts.Progress,
        request: inbound.Request,
        reply: inbound.Reply,
        sink: answer_sinks.Collector,
    ) -> (
        attempts.Streamed | attempts.WholeAnswer | attempts.NotRun | attempts.Lost | failure.Refusal
    ):
        service = progress.admitted.service.name
        while True:
            await self._reachability.settle_doubt(service)
            if not self._reachability.reaches(service):
                return self._chooser.refusal("no_path", "this node reaches no runner either")
            target = await self._chooser.wait(progress)
            if isinstance(target, failure.Refusal):
                if target.code == "no_target" and progress.unreached_targets:
                    # Another node may reach the targets to which this one could open no connection.
                    return self._chooser.refusal("no_path", "this node reaches no target either")
                return target
            report = detour_headers.Report(
                result=detour_headers.Result.ANSWERED,
                target_id=target.target_id,
                request_id=progress.admitted.call.request_id,
            )
            reply.added_headers = report.headers()
            if isinstance(sink, answer_sinks.StreamSink):
                result = await self._stream_from(
                    progress, request, target, sink, may_move=lambda: progress.may_move
                )
            else:
                result = await self._collect(progress, request, target, sink)
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
            if isinstance(result, attempts.Lost):
                self._report_loss(progress, result)
            self._log_failed_attempt(progress, result, again=False)
            return result

    async def _collect(
        self,
        progress: attempts.Progress,
        request: inbound.Request,
        way: targets_.Target | detours.Detour,
        sink: answer_sinks.Collector,
    ) -> channels.Head | attempts.NotSent | attempts.NotRun | attempts.Lost | failure.Refusal:
        """Sends a request and collects its whole answer in the sink."""
        sink.restart()
        result = await self._send(progress, request, way, sink)
        return _confirm(result, sink, _source_of(way))

    async def _send(
        self,
        progress: attempts.Progress,
        request: inbound.Request,
        way: targets_.Target | detours.Detour,
        sink: answer_sinks.AnswerSink,
    ) -> channels.Head | attempts.NotSent | attempts.NotRun | attempts.Lost | failure.Refusal:
        """Sends a request to a target, or by way of a node, and reads the answer into the sink."""
        if isinstance(way, detours.Detour):
            return await self._detours.send(
                progress, request, way, last_event=sink.last_event, sink=sink
            )
        return await self.sender.send(progress, request, way, sink=sink)

    def _spend_retry(self, progress: attempts.Progress, cause: retry_budgets.RetryCause) -> bool:
        """Spends a retry and returns True if the request may run once more."""
        return self._retries.decide(progress, cause)

    def _may_retry_failure(self, progress: attempts.Progress, answer: attempts.WholeAnswer) -> bool:
        """Returns True if a request that a target has failed may be sent to another one.

        The answer is kept, in case that no other target gives one.
        """
        if self._handovers.find(progress) is not None:
            # Its retry was spent when it began.
            progress.keep_failed_answer(answer)
            return True
        denial = retry_budgets.Denial.NONE
        if progress.has_attempts_left and not self._may_have_alternative(progress):
            denial = retry_budgets.Denial.NO_TARGET
        if not self._retries.decide(progress, retry_budgets.RetryCause.FAILED, denial=denial):
            return False
        progress.keep_failed_answer(answer)
        return True

    def _may_have_alternative(self, progress: attempts.Progress) -> bool:
        """Returns False if no other target is left; one that is full may have room in a moment."""
        if self._has_alternative(progress):
            return True
        choice = self._chooser.choose(progress)
        return isinstance(choice, failure.Refusal) and choice.code == "busy"

    def _spend_retry_of_silent(self, progress: attempts.Progress) -> bool:
        # A stream that is handed over goes on at its present target.
        if self._handovers.is_branch(progress):
            return True
        if not self._may_have_alternative(progress):
            return False
        return self._spend_retry(progress, retry_budgets.RetryCause.SILENT)

    def _spend_planned_retry(self, progress: attempts.Progress) -> bool:
        """Spends the retry of a planned move, unless this node may not reach the next target."""
        service = progress.admitted.service.name
        if self._reachability.is_in_doubt(service) or self._reachability.prefers_detour(service):
            return False
        return self._spend_retry(progress, retry_budgets.RetryCause.PLANNED)

    def _may_try_elsewhere(
        self,
        progress: attempts.Progress,
        result: attempts.NotSent | attempts.NotRun | attempts.Lost,
    ) -> bool:
        """Logs a failed attempt; returns True if the request may be sent to another target."""
        again = self._should_retry(progress, result)
        if isinstance(result, attempts.Lost):
            self._report_loss(progress, result)
        self._log_failed_attempt(progress, result, again=again)
        return again

    def _report_loss(self, progress: attempts.Progress, result: attempts.Lost) -> None:
        """Has the target of a lost request watched; another node does so for one that it has sent."""
        # A head that has ended as planned after a stream has moved away is no crash.
        handover = self._handovers.find(progress)
        has_moved = handover is not None and handover.is_planned and result.abandoned
        if not result.by_detour and not has_moved:
            # After an unattributed answer this node closed the connection; the target lives.
            self._watch_target(progress, cancelled=result.abandoned or result.unattributed)

    def _watch_target(self, progress: attempts.Progress, *, cancelled: bool) -> None:
        report = self.loss_probe.report_cancelled if cancelled else self.loss_probe.report_loss
        report(
            progress.target,
            progress.address,
            progress.lost_request,
            service=progress.admitted.service.name,
            lifetime=progress.lifetime,
        )

    def _log_failed_attempt(
        self,
        progress: attempts.Progress,
        result: attempts.NotSent | attempts.NotRun | attempts.Lost,
        *,
        again: bool,
    ) -> None:
        loss = result if isinstance(result, attempts.Lost) else attempts.Lost(reason="")
        progress.last_failure = f"{type(result).__name__}: {result.reason}"
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
            writing_ms=round(loss.writing_seconds * 1000),
            abandoned=loss.abandoned,
            stale=loss.stale_connection,
            unattributed=loss.unattributed,
            closing=progress.target in self._targets.closing(),
            attempts_left=progress.admitted.route.max_attempts - progress.sends,
            retries_left=round(self._retries.retries_left(progress.admitted.service.name), 1),
        )

    def _may_crash_again(self, progress: attempts.Progress, result: attempts.Lost) -> bool:
        """Returns True if another target may crash under a lost request as one did before."""
        if result.abandoned or result.stale_connection:
            return False
        if result.writing_seconds >= SOUND_WRITING_SECONDS:
            # Most such streams are innocent ones beside the request that crashed the target. They share
            # parts of its prompt, but are other requests.
            return not self._crashes.may_retry([progress.lost_request.own_trait])
        return not self._crashes.may_retry(progress.traits)

    def _record_answer(self, progress: attempts.Progress, head: channels.Head) -> None:
        """Clears the traits of a request that one target has answered from beginning to end."""
        if head.status < 300 and not progress.resumed:
            self._crashes.record_answer(progress.traits)

    def _stalled_targets(self) -> frozenset[str]:
        """Returns the targets that seem stalled; none without a path, when all of them seem so."""
        return self.stall_detector.suspects() if self._reachability.has_path else frozenset()

    def _should_retry(
        self,
        progress: attempts.Progress,
        result: attempts.NotSent | attempts.NotRun | attempts.Lost,
    ) -> bool:
        cause, denial = retry_budgets.RetryCause.LOST, retry_budgets.Denial.NONE
        if isinstance(result, attempts.NotSent):
            return True
        if self._handovers.find(progress) is not None:
            # Its retry was spent when it began.
            return True
        if isinstance(result, attempts.NotRun):
            cause = retry_budgets.RetryCause.REJECTED
            if progress.rejections >= MAX_REJECTIONS:
                denial = retry_budgets.Denial.REJECTIONS
        elif result.abandoned:
            # The retry of an abandoned stream was spent when it was given up.
            return True
        elif result.stale_connection:
            cause = retry_budgets.RetryCause.STALE
        elif self._may_crash_again(progress, result):
            denial = retry_budgets.Denial.CRASHES
        return self._retries.decide(progress, cause, denial=denial)


def _source_of(way: targets_.Target | detours.Detour) -> str:
    """Returns the id of the target, or of the node that sends the request."""
    return way.node_id if isinstance(way, detours.Detour) else way.target_id


def _confirm(
    result: _Result, sink: answer_sinks.AnswerSink, source: str
) -> _Result | attempts.Lost:
    """Returns the result of an attempt, as lost if the sink has not got the whole answer."""
    defect = sink.find_defect() if isinstance(result, channels.Head) else ""
    return attempts.Lost(reason=f"{source}: {defect}") if defect else result
