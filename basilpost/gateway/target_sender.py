"""Sends one request to one target and reads its answer.

What an answer says beside its content is recorded here: named limits, pauses and departures of
runners, and whether bytes arrive from runners at all.
"""

import dataclasses
import enum
from collections.abc import Awaitable, Callable
from typing import Any

from basilpost.core import channels, clock
from basilpost.gateway import (
    answer_ends,
    answer_sinks,
    attempts,
    inbound,
    load_control,
    request_admission,
    target_choice,
)
from basilpost.gateway import silent_targets as silent_targets_
from basilpost.members import loads as loads_
from basilpost.members import reachability as reachability_
from basilpost.routing import (
    departures,
    first_events,
    header_dialect,
    named_limits,
    pauses,
    workload,
)
from basilpost.routing import targets as targets_

# Longest time for opening a connection to a target.
CONNECT_SECONDS = 0.5
# A kept connection that breaks this soon was closed before the request arrived.
STALE_SECONDS = 0.005
# Answers to other requests that are skipped on a connection before it is closed.
MAX_STRAY_ANSWERS = 2


class _Attribution(enum.Enum):
    """Which request an answer on the connection of a request belongs to.

    Attributes:
        OWN: To this request.
        OTHER: It names another one; this one may still be answered.
        UNKNOWN: It names none, and the connection has carried other requests or answers.
    """

    OWN = "own"
    OTHER = "other"
    UNKNOWN = "unknown"


@dataclasses.dataclass(kw_only=True, eq=False)
class InFlight:
    """A request on a connection to a target.

    Attributes:
        progress: The attempts of the request.
        target_id: Id of the target.
        channel: The connection, None while it opens.
        heard: True once bytes have arrived on it.
        counted: True while the request is counted as in flight at its target.
        abandoned: True if this node closed the connection because its path to the runners is gone.
        end_watch: Tells the end of an answer without a length from that of its runner; None for others.
    """

    progress: attempts.Progress
    target_id: str
    channel: channels.Channel | None = None
    heard: bool = False
    counted: bool = True
    abandoned: bool = False
    end_watch: answer_ends.Watch | None = None

    @property
    def service(self) -> str:
        """Returns the name of the service."""
        return self.progress.admitted.service.name


class TargetSender:
    """Sends the requests of one node to targets.

    Attributes:
        pool: Connections to targets.
        in_flight: The requests that are sent now.
        first_events: What the predicted times to first events lack.
        silent_targets: Targets to which nothing passes from this node.
        answer_ends: Decides whether answers without a length are whole.
    """

    def __init__(
        self,
        *,
        source_host: str,
        dialect: header_dialect.HeaderDialect,
        loads: loads_.Loads,
        chooser: target_choice.TargetChooser,
        limits: named_limits.NamedLimits,
        runner_pauses: pauses.RunnerPauses,
        runner_departures: departures.Departures,
        reachability: reachability_.Reachability,
        silent_targets: silent_targets_.SilentTargets,
        is_replaced: Callable[[str], bool],
        on_cancelled: Callable[[attempts.Progress], None],
        log: Any,
    ) -> None:
        """Takes the node's services.

        Args:
            is_replaced: Tells whether the platform lists a later run of a runner process.
            on_cancelled: Called with the attempts of a request that was cancelled after it was sent; its
                target may work on.
        """
        self.pool = channels.Pool(source_host=source_host, on_unread=self._log_unread)
        self.answer_ends = answer_ends.AnswerEnds(pool=self.pool, is_replaced=is_replaced, log=log)
        self.in_flight: set[InFlight] = set()
        self.first_events = first_events.FirstEventOffsets()
        self._dialect = dialect
        self._loads = loads
        self._chooser = chooser
        self._limits = limits
        self._pauses = runner_pauses
        self._departures = runner_departures
        self._reachability = reachability
        self.silent_targets = silent_targets
        self._on_cancelled = on_cancelled
        self._log = log

    async def connect(
        self, address: str, timeout: float
    ) -> channels.Channel | channels.ConnectFailed:
        """Opens a new connection to a target, on which no request is sent."""
        return await self.pool.acquire(address, timeout=timeout, fresh=True)

    def sweep(self) -> None:
        """Closes connections that have been idle for too long."""
        self.pool.sweep()
        self.answer_ends.sweep()

    async def close(self) -> None:
        """Closes all idle connections."""
        await self.answer_ends.close()
        self.pool.close()

    def give_up_silent(
        self,
        is_affected: Callable[[InFlight], bool],
        spend_retry: Callable[[attempts.Progress], bool],
    ) -> None:
        """Gives up those of some requests that were sent on links on which nothing passes.

        Those that may be sent again end as abandoned. The others wait on, as they may have arrived, but
        are no longer counted: to all nodes their targets would look full.
        """
        for request in tuple(self.in_flight):
            if request.heard or request.abandoned or not is_affected(request):
                continue
            self._stop_counting(request)
            if request.channel is not None and spend_retry(request.progress):
                request.abandoned = True
                request.channel.close()

    def _stop_counting(self, request: InFlight) -> None:
        if request.counted:
            request.counted = False
            self._loads.request_ended(request.target_id)

    async def send(
        self,
        progress: attempts.Progress,
        request: inbound.Request,
        target: targets_.Target,
        *,
        sink: answer_sinks.AnswerSink,
    ) -> channels.Head | attempts.NotSent | attempts.NotRun | attempts.Lost:
        """Sends a request to a target and reads the answer into the sink."""
        progress.target, progress.address = target.target_id, target.address
        progress.lifetime = target.lifetime
        progress.detour_node = ""
        progress.sent_at = clock.elapsed()
        progress.predicted_seconds = self._predict_seconds(progress, target)
        progress.tried_targets.add(target.target_id)
        # Counted before the connection is open, so that other requests see that the room is taken.
        self._loads.request_started(target.target_id)
        self._chooser.record_sent(target)
        in_flight = InFlight(progress=progress, target_id=target.target_id)
        try:
            return await self._exchange(in_flight, request, target, sink)
        finally:
            self._stop_counting(in_flight)

    def _predict_seconds(self, progress: attempts.Progress, target: targets_.Target) -> float:
        """Returns the predicted time to the first event, 0 for plain services."""
        admitted = progress.admitted
        model = load_control.find_model(admitted)
        if model is None or admitted.service.engine is None:
            return 0.0
        in_flight = self._loads.total_in_flight(target.target_id)
        predicted = workload.first_event_seconds(
            admitted.call, admitted.service.engine, model, in_flight=in_flight
        )
        return self.first_events.correct(model.name, predicted) if predicted else 0.0

    async def _exchange(
        self,
        in_flight: InFlight,
        request: inbound.Request,
        target: targets_.Target,
        sink: answer_sinks.AnswerSink,
    ) -> channels.Head | attempts.NotSent | attempts.NotRun | attempts.Lost:
        progress = in_flight.progress
        request_id = progress.admitted.call.request_id
        channel = await self.pool.acquire(
            target.address,
            timeout=CONNECT_SECONDS,
            # On a kept connection the answer to a request without an id could not be attributed.
            fresh=not progress.repeatable or not request_id,
            lifetime=target.lifetime,
            request_id=request_id,
        )
        if isinstance(channel, channels.ConnectFailed):
            self._chooser.record_unreachable(target)
            progress.unreached_targets.add(target.target_id)
            await self._reachability.find_path(service=in_flight.service)
            return attempts.NotSent(reason=channel.reason)
        sink.on_connected(channel)
        last_event = sink.last_event
        self._log_placement(progress, target, last_event, channel.reuse)
        began_at = clock.elapsed()
        result: channels.Head | attempts.NotRun | attempts.Lost | None = None
        in_flight.channel = channel
        self.in_flight.add(in_flight)
        self._reachability.record_sent(in_flight.service)
        self.silent_targets.record_sent(target.target_id, target.vm_id)
        try:
            progress.sends += 1
            headers = self._dialect.request_headers(
                request.headers, _added_headers(progress.admitted, target, last_event)
            )
            channel.send(request.method, request.target, headers, request.body)
            result = await self._receive(in_flight, target, channel, sink)
            if isinstance(result, channels.Head):
                self._loads.demand_meter.count_completion(target.model, clock.elapsed() - began_at)
            if isinstance(result, attempts.NotRun):
                progress.sends -= 1
                progress.rejections += 1
            if isinstance(result, attempts.Lost) and result.unattributed:
                if channel.requests > 1:
                    # It says nothing against the target, which may get the request on another connection.
                    progress.tried_targets.discard(target.target_id)
            elif isinstance(result, attempts.Lost) and channel.was_idle:
                is_stale = clock.elapsed() - began_at < STALE_SECONDS
                result = dataclasses.replace(result, stale_connection=is_stale)
                if is_stale:
                    self._chooser.record_unreachable(target)
            if isinstance(result, attempts.Lost) and not result.unattributed:
                self._reachability.record_lost()
            if isinstance(result, attempts.Lost) and in_flight.abandoned:
                result = dataclasses.replace(result, abandoned=True)
            return result
        finally:
            self.in_flight.discard(in_flight)
            self._reachability.record_ended(in_flight.service)
            self.silent_targets.record_ended(target.target_id)
            if in_flight.end_watch is not None:
                in_flight.end_watch.close()
            if result is None:
                self._log_cancelled(progress, target, clock.elapsed() - began_at)
                self._on_cancelled(progress)
            if isinstance(result, channels.Head | attempts.NotRun):
                self.pool.release(channel)
            else:
                channel.close()

    def _log_cancelled(
        self, progress: attempts.Progress, target: targets_.Target, seconds: float
    ) -> None:
        self._log.info(
            "attempt_cancelled",
            request=progress.admitted.call.request_id,
            target=target.target_id,
            fingerprint=progress.fingerprint,
            parts=list(progress.admitted.call.prompt_parts),
            after_send_ms=round(seconds * 1000),
        )

    def _log_placement(
        self,
        progress: attempts.Progress,
        target: targets_.Target,
        last_event: str,
        reuse: channels.Reuse,
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
            requests=reuse.requests,
            carried=reuse.carried,
            unread=reuse.unread,
        )

    async def _receive(
        self,
        in_flight: InFlight,
        target: targets_.Target,
        channel: channels.Channel,
        sink: answer_sinks.AnswerSink,
    ) -> channels.Head | attempts.NotRun | attempts.Lost:
        """Reads the answer to this request.

        Answers to other requests are skipped. One that cannot be attributed ends the attempt: if it is
        this request's own one, what follows it must not be taken for the answer.
        """
        progress = in_flight.progress
        attribution = _Attribution.OTHER
        answers = 0
        sent_at = clock.elapsed()

        def record_heard() -> None:
            self._reachability.record_heard(in_flight.service)
            self.silent_targets.record_heard(target.target_id)
            if in_flight.end_watch is not None:
                in_flight.end_watch.record_heard()

        def receive_head(head: channels.Head) -> None:
            nonlocal attribution, answers
            in_flight.heard = True
            record_heard()
            attribution = self._attribute(
                progress, head, is_first=channel.requests == 1 and not answers
            )
            answers += 1
            # Other answers may be older than the limit or the pause; they do not end it.
            is_own = attribution is _Attribution.OWN
            self._record_limit(target, head, sent_at=sent_at, is_own=is_own)
            self._record_pause(target, head, sent_at=sent_at, is_own=is_own)
            if self._dialect.parse_response(head.status, head.headers).leaving:
                self._departures.record_said(target.lifetime, target.target_id)
            if attribution is _Attribution.OWN:
                if head.has_no_length:
                    in_flight.end_watch = self.answer_ends.watch(target, sent_at=sent_at)
                sink.on_head(head)
                return
            channel.carried_extra = True
            self._log_stray_answer(progress, channel, head)
            if attribution is _Attribution.UNKNOWN:
                self.pool.require_single_use(channel)
                channel.close()

        def receive_chunk(chunk: bytes) -> Awaitable[None] | None:
            record_heard()
            return sink.on_chunk(chunk) if attribution is _Attribution.OWN else None

        for _ in range(MAX_STRAY_ANSWERS + 1):
            head = await channel.receive(on_head=receive_head, on_data=receive_chunk)
            if attribution is _Attribution.UNKNOWN:
                return attempts.Lost(
                    reason=f"{channel.address} sent an answer that names no request",
                    unattributed=True,
                )
            if isinstance(head, channels.Broken):
                return attempts.Lost(reason=sink.excess or head.reason)
            if attribution is _Attribution.OWN:
                result = self._classify(head, channel)
                is_answer = isinstance(result, channels.Head)
                if not (is_answer and channel.ended_answer and in_flight.end_watch):
                    return result
                evidence = await in_flight.end_watch.find_evidence()
                if evidence.is_whole:
                    return result
                return attempts.Lost(
                    reason=f"{channel.address} ended an answer without a length, and {evidence}"
                )
        return attempts.Lost(
            reason=f"{channel.address} sent answers to other requests", unattributed=True
        )

    def _record_limit(
        self, target: targets_.Target, head: channels.Head, *, sent_at: float, is_own: bool
    ) -> None:
        """Records the limit that an answer names, or that it names none."""
        response = self._dialect.parse_response(head.status, head.headers)
        if response.limit_per_second is not None:
            self._limits.record_named(target.lifetime, target.target_id, response.limit_per_second)
        elif response.signed and is_own:
            self._limits.record_unnamed(target.lifetime, target.target_id, sent_at=sent_at)

    def _record_pause(
        self, target: targets_.Target, head: channels.Head, *, sent_at: float, is_own: bool
    ) -> None:
        """Records the pause that a rejection asks for, or that an answer asks for none."""
        response = self._dialect.parse_response(head.status, head.headers)
        if response.bad_pause:
            self._pauses.record_invalid(target.lifetime, target.target_id, response.bad_pause)
        if response.pause_seconds is not None:
            self._pauses.record_asked(target.lifetime, target.target_id, response.pause_seconds)
        elif is_own and (response.signed or response.not_run):
            self._pauses.record_accepted(target.lifetime, target.target_id, sent_at=sent_at)

    def _attribute(
        self, progress: attempts.Progress, head: channels.Head, *, is_first: bool
    ) -> _Attribution:
        """Returns which request an answer belongs to.

        The id tells sendings apart, as a connection carries an id once.

        Args:
            progress: The attempts of the request.
            head: Head of the answer.
            is_first: True if it is the first answer on a connection that carried no other request.
        """
        named = self._dialect.parse_response(head.status, head.headers).request_id
        if named:
            is_own = named == progress.admitted.call.request_id
            return _Attribution.OWN if is_own else _Attribution.OTHER
        return _Attribution.OWN if is_first else _Attribution.UNKNOWN

    def _log_unread(self, channel: channels.Channel) -> None:
        self._log.warning(
            "connection_unread",
            address=channel.address,
            lifetime=channel.lifetime,
            requests=channel.requests,
        )

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
            carried=channel.reuse.carried,
            unread=channel.reuse.unread,
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
