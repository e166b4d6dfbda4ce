"""Hands streams over to other targets without a loss if these do not take them.

The next target is asked to go on after the last event that the caller has. From then on what comes from
the present one is held back, as the two runs of the request need not agree: the caller gets either the next
target's events after that one, or those held back. The connection to the present target is closed once
the next one has sent its first event. If it rejects or fails the stream, or sends no event in time, the
stream stays where it is, with all its events. If the present target breaks off meanwhile, the next one is
used at once.

A stream leaves its target because that is closed as planned, or because it sends nothing. In the first
case the next target has a limited time. In the second it has as long as the present one sends nothing.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

from basilpost.core import channels
from basilpost.gateway import answer_sinks, attempts, next_sinks
from basilpost.members import loads as loads_
from basilpost.routing import targets as targets_

# Time in which the next target has to send its first event. Callers leave after 2 s without any.
TAKE_SECONDS = 1.0
# A stream that so many targets have rejected stays where it is.
MAX_DECLINES = 3
# Time after which a target that has rejected a silent stream is asked again. Callers leave after 2 s without
# an event.
ASK_AGAIN_SECONDS = 0.6

Result = channels.Head | attempts.NotSent | attempts.NotRun | attempts.Lost
# Sends a request to a target and reads the answer into a sink.
Send = Callable[[attempts.Progress, targets_.Target, next_sinks.NextSink], Awaitable[Result]]


class Handover:
    """An attempt to have a stream go on at another target.

    Attributes:
        target: The next target.
        branch: The record of the attempt.
        is_planned: True if the present target is closed as planned, False if it sends nothing.
        is_used: True once the request depends on this attempt.
    """

    def __init__(
        self,
        *,
        trunk: attempts.Progress,
        target: targets_.Target,
        stream_sink: answer_sinks.StreamSink,
        memory: answer_sinks.AnswerMemory,
        loads: loads_.Loads,
        send: Send,
        is_planned: bool,
        on_taken: Callable[["Handover"], None],
        on_declined: Callable[["Handover", Result], None],
        log: Any,
    ) -> None:
        self.target = target
        self.branch = attempts.Branch(trunk)
        self.branch.progress.resumed = bool(stream_sink.last_event)
        self.is_planned = is_planned
        self.is_used = False
        self._loads = loads
        self._send = send
        self._on_declined = on_declined
        self._log = log
        self._sink = next_sinks.NextSink(
            stream_sink=stream_sink,
            memory=memory,
            on_taken=lambda: on_taken(self),
            on_held_back=self._on_held_back,
        )
        self._limit: asyncio.Timeout | None = None
        # Counted at once, so that other streams do not count on the same free slot.
        self._is_reserved = True
        loads.request_started(target.target_id)
        self._task = asyncio.get_running_loop().create_task(self._run(), name="handover")

    @property
    def has_taken(self) -> bool:
        """Returns True if the next target has sent an event with which the stream goes on."""
        return self._sink.has_taken

    def use(self) -> None:
        """Makes the request depend on this attempt; `join` has to follow."""
        self.is_used = True
        self.end_limit()

    def give_up(self) -> None:
        """Leaves the stream at its present target, unless the next one has taken it."""
        if not self.is_used and not self.has_taken:
            self._set_limit(asyncio.get_running_loop().time())

    def _on_held_back(self) -> None:
        if not self.is_planned:
            # The present target, which was silent, is back first.
            self.give_up()

    def end_limit(self) -> None:
        """Lets the attempt take as long as its request may."""
        self._set_limit(None)

    def cancel(self) -> None:
        """Ends the attempt, because the stream has ended or its caller has left."""
        self._task.cancel()
        self._end_reservation()
        self._sink.discard()
        self.branch.count()

    async def join(self) -> Result:
        """Passes the answer on to the caller; returns the result when it ends."""
        self.branch.replace_trunk()
        try:
            await self._sink.use()
            return await self._task
        finally:
            self._task.cancel()
            self._end_reservation()
            self._sink.discard()
            # The attempt may have begun to send only after the first call.
            self.branch.replace_trunk()

    async def _run(self) -> Result:
        self._end_reservation()
        result: Result
        try:
            async with asyncio.timeout(self._first_limit()) as self._limit:
                result = await self._send(self.branch.progress, self.target, self._sink)
        except TimeoutError:
            # Once the request depends on this attempt, it needs a retry of its own to be sent again.
            result = attempts.Lost(reason="no event in time", abandoned=not self.is_used)
        except Exception as error:
            if self.is_used or self.has_taken:
                raise
            self._log.error("task_failed", task="handover", exc_info=error)
            result = attempts.Lost(reason=type(error).__name__, abandoned=True)
        finally:
            self._limit = None
        if not self.is_used and not self.has_taken:
            self._sink.discard()
            # Rejections of a stream that goes on do not bring it nearer to its refusal.
            self.branch.count_sends()
            self._on_declined(self, result)
        return result

    def _set_limit(self, when: float | None) -> None:
        if self._limit is not None and not self._limit.expired():
            self._limit.reschedule(when)

    def _first_limit(self) -> float | None:
        return TAKE_SECONDS if self.is_planned and not self.is_used else None

    def _end_reservation(self) -> None:
        if self._is_reserved:
            self._is_reserved = False
            self._loads.request_ended(self.target.target_id)


class Handovers:
    """The handovers of one node that are under way, one for each request at most."""

    def __init__(
        self,
        *,
        loads: loads_.Loads,
        memory: answer_sinks.AnswerMemory,
        on_lost: Callable[[attempts.Progress, attempts.Lost], None],
        log: Any,
    ) -> None:
        """Takes the node's services.

        Args:
            loads: Counts the requests in flight.
            memory: Counts the bytes of answers.
            on_lost: Called with the record of an attempt whose target has lost the request.
            log: The node's log.
        """
        self._loads = loads
        self._memory = memory
        self._on_lost = on_lost
        self._log = log
        self._handovers_by_trunk: dict[attempts.Progress, Handover] = {}

    def find(self, progress: attempts.Progress) -> Handover | None:
        """Returns the handover of a request that is under way, None without one."""
        return self._handovers_by_trunk.get(progress)

    def is_branch(self, progress: attempts.Progress) -> bool:
        """Returns True if a record is that of a handover, without which the stream can go on."""
        return any(
            handover.branch.progress is progress and not handover.is_used
            for handover in self._handovers_by_trunk.values()
        )

    def start(
        self,
        progress: attempts.Progress,
        sink: answer_sinks.StreamSink,
        target: targets_.Target,
        send: Send,
        *,
        is_planned: bool,
    ) -> None:
        """Asks another target to go on with a stream.

        Args:
            progress: The attempts of the request.
            sink: Receives the events of the present target.
            target: The next target.
            send: Sends the request.
            is_planned: True if the present target is closed as planned, False if it sends nothing.
        """

        def switch(handover: Handover) -> None:
            handover.end_limit()
            self._log.info(
                "stream_moved",
                request=progress.admitted.call.request_id,
                target=progress.target,
                to=target.target_id,
            )
            sink.abandon()

        def keep(handover: Handover, result: Result) -> None:
            if self._handovers_by_trunk.get(progress) is not handover:
                return
            del self._handovers_by_trunk[progress]
            self._record_declined(progress, handover, result)
            sink.release()

        self._handovers_by_trunk[progress] = Handover(
            trunk=progress,
            target=target,
            stream_sink=sink,
            memory=self._memory,
            loads=self._loads,
            send=send,
            is_planned=is_planned,
            on_taken=switch,
            on_declined=keep,
            log=self._log,
        )

    def may_start(self, progress: attempts.Progress, sink: answer_sinks.StreamSink) -> bool:
        """Returns True if a stream can be handed over, and not too many targets have rejected it."""
        return (
            sink.channel is not None
            and not sink.abandoned
            and sink.stream.may_resume
            and self.find(progress) is None
            and len(progress.declined_targets) < MAX_DECLINES
        )

    def settle(
        self, progress: attempts.Progress, sink: answer_sinks.StreamSink, result: object
    ) -> None:
        """Decides about a handover whose stream has ended at its present target.

        The handover is of no use any more if the answer is complete. Otherwise it is the next attempt.
        """
        handover = self.find(progress)
        if handover is None:
            return
        is_answered = isinstance(result, channels.Head) and (
            sink.ends_whole() if sink.is_stream else result.status < 500
        )
        if is_answered and not handover.has_taken:
            self.cancel(progress)
            sink.release()
        else:
            handover.use()

    def take(self, progress: attempts.Progress) -> Handover | None:
        """Returns the handover that is the next attempt of a request, which has to await `join`."""
        return self._handovers_by_trunk.pop(progress, None)

    def cancel(self, progress: attempts.Progress) -> None:
        """Ends the handover of a request, if there is one."""
        handover = self.take(progress)
        if handover is not None:
            handover.cancel()

    def _record_declined(
        self, progress: attempts.Progress, handover: Handover, result: Result
    ) -> None:
        target_id = handover.target.target_id
        if isinstance(result, attempts.NotRun | attempts.NotSent):
            progress.declined_targets.add(target_id)
            progress.declines += 1
            if not handover.is_planned and progress.declines < MAX_DECLINES:
                asyncio.get_running_loop().call_later(
                    ASK_AGAIN_SECONDS, progress.declined_targets.discard, target_id
                )
        else:
            progress.tried_targets.add(target_id)
        self._log.info(
            "stream_kept",
            request=progress.admitted.call.request_id,
            target=progress.target,
            to=target_id,
            result=type(result).__name__,
            reason=(
                f"status {result.status}" if isinstance(result, channels.Head) else result.reason
            ),
        )
        if isinstance(result, attempts.Lost):
            self._on_lost(handover.branch.progress, result)


def without_declined(progress: attempts.Progress) -> attempts.Progress:
    """Returns a record of a request by which no target is chosen that has not taken its stream."""
    if not progress.declined_targets:
        return progress
    return dataclasses.replace(
        progress, tried_targets=progress.tried_targets | progress.declined_targets
    )
