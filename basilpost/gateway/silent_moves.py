"""Hands streams over whose targets send nothing, without giving these up before others have taken them.

Silence is no proof that a target is lost; it may only stand still for a moment. The next target is watched
as well, so that a third one can be asked if it is silent too.
"""

from collections.abc import Callable

from basilpost.core import failure
from basilpost.gateway import (
    answer_sinks,
    attempts,
    handovers,
    inbound,
    next_sinks,
    stall_detector,
    target_sender,
)
from basilpost.routing import targets as targets_


class SilentMoves:
    """Moves silent streams of this node.

    Args:
        choose: Returns a target that was not tried for a request, or why there is none.
        detector: Finds silent targets.
        sender: Sends requests to targets.
        node_handovers: Hands the streams over.
    """

    def __init__(
        self,
        *,
        choose: Callable[[attempts.Progress], targets_.Target | failure.Refusal],
        detector: stall_detector.StallDetector,
        sender: target_sender.TargetSender,
        node_handovers: handovers.Handovers,
    ) -> None:
        self._choose = choose
        self._detector = detector
        self._sender = sender
        self._handovers = node_handovers

    def make_send(self, progress: attempts.Progress, request: inbound.Request) -> handovers.Send:
        """Returns what sends a request to a next target, and watches that one meanwhile."""

        async def send(
            branch: attempts.Progress, target: targets_.Target, sink: next_sinks.NextSink
        ) -> handovers.Result:
            watch = self._detector.watch(
                target.target_id, lambda: self.give_up(progress, branch), lambda: sink.activity
            )
            try:
                return await self._sender.send(branch, request, target, sink=sink)
            finally:
                self._detector.unwatch(watch)

        return send

    def move(
        self,
        progress: attempts.Progress,
        sink: answer_sinks.StreamSink,
        send: handovers.Send,
        may_move: Callable[[], bool],
    ) -> None:
        """Begins to hand a silent stream over, if another target may get it.

        Args:
            progress: The attempts of the request.
            sink: Receives the events of the present target.
            send: Sends the request to another target.
            may_move: Spends a retry and returns True if the request may be sent once more.
        """
        if not self._handovers.may_start(progress, sink):
            return
        target = self._choose(handovers.without_declined(progress))
        if isinstance(target, targets_.Target) and may_move():
            self._handovers.start(progress, sink, target, send, is_planned=False)

    def give_up(self, progress: attempts.Progress, branch: attempts.Progress) -> None:
        """Gives a next target up that sends nothing either, if a third one can be asked.

        Args:
            progress: The attempts of the request.
            branch: The record of the attempt at the next target.
        """
        handover = self._handovers.find(progress)
        if handover is None or handover.branch.progress is not branch:
            return
        choice = self._choose(handovers.without_declined(branch))
        if branch.has_attempts_left and isinstance(choice, targets_.Target):
            handover.give_up()
