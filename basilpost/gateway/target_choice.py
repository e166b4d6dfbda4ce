"""Chooses the target of a request: the best one that may get it, or a refusal.

It brings together what the node knows: the targets, the requests in flight at them, causes of crashes,
cold starts, named limits, pauses and targets that seem to be gone. `routing.placement` compares candidates.
"""

import asyncio
import dataclasses
import random
from collections.abc import Iterable, Sequence

from basilpost.core import clock, failure
from basilpost.gateway import attempts, load_control, request_admission
from basilpost.gateway import silent_targets as silent_targets_
from basilpost.members import answer_evidence
from basilpost.members import loads as loads_
from basilpost.routing import (
    cold,
    crash_messages,
    departures,
    named_limits,
    pauses,
    placement,
    unreachable,
)
from basilpost.routing import crashes as crashes_
from basilpost.routing import targets as targets_

# Share of the route's latency objective for which a request may wait for a target with a free slot.
WAIT_SHARE = 0.2
# Interval at which a waiting request looks for a target with a free slot.
WAIT_POLL_SECONDS = 0.02
# Range from which Retry-After is drawn, so that refused callers do not all return at the same moment.
RETRY_AFTER_SECONDS = (0.3, 0.8)
# The same for requests that no target may get yet; more come than the limits of targets allow. It is
# added to the time until the first target may get one, which counts up to a maximum for limits.
LIMITED_RETRY_SECONDS = (0.2, 1.8)
MAX_LIMITED_SECONDS = 1.0


class TargetChooser:
    """Chooses targets for the requests of one node."""

    def __init__(
        self,
        *,
        node_id: str,
        failure_domain: str,
        targets: targets_.Targets,
        loads: loads_.Loads,
        crashes: crashes_.CrashTracker,
        limits: named_limits.NamedLimits,
        runner_pauses: pauses.RunnerPauses,
        runner_departures: departures.Departures,
        silent_targets: silent_targets_.SilentTargets,
        control: load_control.LoadControl,
        rng: random.Random,
    ) -> None:
        self._failure_domain = failure_domain
        self._targets = targets
        self._loads = loads
        self._crashes = crashes
        self._limits = limits
        self._pauses = runner_pauses
        self._departures = runner_departures
        self._silent_targets = silent_targets
        self._control = control
        control.find_usable = self.find_usable
        self._rng = rng
        self._cold = cold.ColdStartLimiter(node_id=node_id)
        self._unreachable = unreachable.UnreachableTargets()

    async def wait(self, progress: attempts.Progress) -> targets_.Target | failure.Refusal:
        """Returns a target with a free slot, waiting for one up to `WAIT_SHARE` of the objective."""
        if self._control.enabled:
            return await self._control.wait(progress, lambda: self.choose(progress))
        admitted = progress.admitted
        wait_until = clock.elapsed() + admitted.route.objective * WAIT_SHARE
        while True:
            choice = self.choose(progress)
            if isinstance(choice, targets_.Target) or choice.code != "busy":
                return choice
            if clock.elapsed() + WAIT_POLL_SECONDS > min(wait_until, admitted.deadline):
                return choice
            await asyncio.sleep(WAIT_POLL_SECONDS)
            progress.waited_seconds += WAIT_POLL_SECONDS

    def choose(self, progress: attempts.Progress) -> targets_.Target | failure.Refusal:
        """Returns the best target for a request that was not tried for it, or why there is none."""
        admitted = progress.admitted
        cause = self._crashes.find_cause(progress.traits)
        if cause is not None:
            return dataclasses.replace(
                self.refusal("quarantined", _describe_cause(cause)),
                retry_after=None,
                cause=cause.cause_id,
            )
        all_targets = self._targets.matching(admitted.service.name, admitted.call.model)
        known = [target for target in all_targets if self._departures.may_send(target.lifetime)]
        if all_targets and not known:
            return self.refusal("leaving", "all targets have said that they leave")
        untried = [target for target in known if target.target_id not in progress.tried_targets]
        if not untried:
            return self._paused_refusal(known) or self.refusal(
                "no_target", f"{len(known)} targets known, none left to try"
            )
        if self._loads.are_stale:
            preferred = self._choose_preferred(progress)
            if preferred is not None:
                return preferred
        suspects = self._suspects_among(untried)
        # A group that lost a member is suspected unless some node still receives events from it.
        incomplete = frozenset(target.target_id for target in untried if not target.complete)
        if incomplete:
            suspects |= self._doubtful(incomplete)
        candidates = [self._candidate(admitted, target, suspects) for target in untried]
        chosen = self._place(admitted, candidates)
        if chosen is not None:
            return chosen
        return (
            self._paused_refusal(known)
            or self._limited_refusal(untried)
            or self.refusal("busy", self._describe_full(candidates))
        )

    def choose_with_free_slot(self, progress: attempts.Progress) -> targets_.Target | None:
        """Returns a sound target with a free slot for a request now, None if there is none.

        Requests beyond the slots are left to new requests: other nodes may place some there at the same
        moment, and the counts of their requests in flight come a little later.
        """
        chosen = self.choose(progress)
        if isinstance(chosen, failure.Refusal) or not chosen.complete:
            return None
        is_avoided = self._departures.is_leaving(chosen.lifetime) or self._suspects_among([chosen])
        has_slot = self._loads.total_in_flight(chosen.target_id) < chosen.slots
        return chosen if has_slot and not is_avoided else None

    def _describe_full(self, candidates: Sequence[placement.Candidate]) -> str:
        own = sum(self._loads.own_in_flight(one.target.target_id) for one in candidates)
        return (
            f"all {len(candidates)} targets are full: {sum(one.in_flight for one in candidates)} "
            f"requests in flight, {own} of them of this node; "
            f"{sum(one.stalled for one in candidates)} targets are avoided"
        )

    def record_sent(self, target: targets_.Target) -> None:
        """Counts a request that is sent to a target, where its rate is bounded."""
        if self._targets.is_cold(target):
            self._cold.record_sent(target.target_id)
        self._limits.record_sent(target.lifetime, node_ids=self._loads.node_ids())
        self._pauses.record_sent(target.lifetime)

    def record_unreachable(self, target: targets_.Target) -> None:
        """Avoids a target for a while, to which no connection could be opened."""
        self.avoid(target.target_id)

    def avoid(self, target_id: str) -> None:
        """Avoids a target for a while."""
        self._unreachable.add(target_id)

    def refusal(self, code: str, reason: str) -> failure.Refusal:
        """Returns a refusal with status 503 and a random Retry-After; its outcome is not-run."""
        return failure.Refusal(
            reason=reason,
            code=code,
            status=503,
            retry_after=self._rng.uniform(*RETRY_AFTER_SECONDS),
        )

    def refusal_after(self, progress: attempts.Progress, reason: str) -> failure.Refusal:
        """Returns the refusal of a request that failed at a target and is not sent to another one."""
        admitted = progress.admitted
        known = self._targets.matching(admitted.service.name, admitted.call.model)
        return self._paused_refusal(known) or self.refusal("target_lost", reason)

    def _paused_refusal(self, known: Sequence[targets_.Target]) -> failure.Refusal | None:
        """Returns a refusal if all targets have asked this node for a pause, None otherwise.

        The first callers return when the first pause is over, the others in the time after it.
        """
        waits = [self._pauses.seconds_until_free(target.lifetime) for target in known]
        if min(waits, default=0.0) <= 0.0:
            return None
        return dataclasses.replace(
            self.refusal("paused", f"all {len(known)} targets have asked for a pause"),
            retry_after=min(min(waits), pauses.LONG_PAUSE_SECONDS)
            + self._rng.uniform(*LIMITED_RETRY_SECONDS),
        )

    def _limited_refusal(self, untried: Sequence[targets_.Target]) -> failure.Refusal | None:
        """Returns a refusal if only limits keep this node from each target, None otherwise.

        Callers return at different times, over the time in which the limits allow further requests.
        """
        node_ids = self._loads.node_ids()
        waits = [
            max(
                self._limits.seconds_until_free(target.lifetime, node_ids=node_ids),
                self._pauses.seconds_until_free(target.lifetime),
            )
            for target in untried
        ]
        if min(waits) <= 0.0:
            return None
        first = min(min(waits), MAX_LIMITED_SECONDS)
        return dataclasses.replace(
            self.refusal("limited", f"all {len(untried)} targets are at the limit that they name"),
            retry_after=first + self._rng.uniform(*LIMITED_RETRY_SECONDS),
        )

    def _choose_preferred(self, progress: attempts.Progress) -> targets_.Target | None:
        """Returns one of the targets that this node uses first, None if all of them are busy."""
        admitted = progress.admitted
        untried = [
            target
            for target in self._targets.preferred(
                admitted.service.name, admitted.call.model, self._failure_domain
            )
            if target.target_id not in progress.tried_targets
        ]
        suspects = self._suspects_among(untried)
        candidates = [self._candidate(admitted, target, suspects) for target in untried]
        return self._place(admitted, filter(placement.has_light_load, candidates))

    def _place(
        self,
        admitted: request_admission.AdmittedRequest,
        candidates: Iterable[placement.Candidate],
    ) -> targets_.Target | None:
        """Returns one of the candidates with room, None if there is none."""
        if not (self._control.enabled and self._loads.are_stale):
            return placement.choose_target(
                candidates,
                failure_domain=self._failure_domain,
                rng=self._rng,
                stale=self._loads.are_stale,
            )
        service, model = admitted.service.name, admitted.call.model
        candidates = tuple(candidates)
        known = max(1, len(self._targets.matching(service, model)))
        arrived = self._control.arrivals_per_second(service, model) * self._loads.seconds_old
        return placement.draw_target(
            candidates,
            failure_domain=self._failure_domain,
            expected_arrivals=arrived * len(candidates) / known,
            rng=self._rng,
        )

    def _doubtful(self, incomplete: frozenset[str]) -> frozenset[str]:
        """Returns those of the incomplete groups that have probably lost a member."""
        doubtful = incomplete - self._loads.writing_among(incomplete)
        if not self._control.enabled:
            return doubtful
        since = clock.elapsed() - answer_evidence.ANSWERED_AFTER_LOSS_SECONDS
        return frozenset(
            target_id
            for target_id in doubtful
            if (self._loads.answered_at(target_id) or 0.0) < since
        )

    def find_usable(self, service: str, model: str) -> load_control.Usable:
        """Returns the targets that process requests of this node's callers now."""
        known = [
            target
            for target in self._targets.matching(service, model)
            if self._departures.may_send(target.lifetime) and self._pauses.may_send(target.lifetime)
        ]
        suspects = self._suspects_among(known)
        suspects |= self._doubtful(
            frozenset(target.target_id for target in known if not target.complete)
        )
        usable = [target.target_id for target in known if target.target_id not in suspects]
        return load_control.Usable(
            targets=len(usable), in_flight=sum(map(self._loads.total_in_flight, usable))
        )

    def _suspects_among(self, targets: Iterable[targets_.Target]) -> frozenset[str]:
        """Returns those of the targets that have stopped answering, crashed or refuse connections.

        A target that is gone has no requests in flight, and would be chosen first for its low load.
        """
        target_ids = [target.target_id for target in targets]
        return (
            self._loads.stalled_among(target_ids)
            | self._crashes.avoided_among(target_ids)
            | self._unreachable.among(target_ids)
            | self._silent_targets.among(target_ids)
        )

    def _candidate(
        self,
        admitted: request_admission.AdmittedRequest,
        target: targets_.Target,
        suspects: frozenset[str],
    ) -> placement.Candidate:
        target_id, node_ids = target.target_id, self._loads.node_ids()
        in_flight = self._loads.total_in_flight(target_id)
        return placement.Candidate(
            target=target,
            in_flight=in_flight,
            stalled=target_id in suspects
            or self._pauses.is_told(target.lifetime)
            or self._departures.is_leaving(target.lifetime),
            may_send=self._departures.may_send(target.lifetime)
            and self._control.may_send(admitted, in_flight=in_flight, slots=target.slots)
            and self._pauses.may_send(target.lifetime)
            and self._limits.may_send(target.lifetime, node_ids=node_ids)
            and (
                not self._targets.is_cold(target)
                or self._cold.may_send(
                    target_id,
                    per_second=admitted.service.cold_per_second,
                    node_ids=node_ids,
                )
            ),
        )


def _describe_cause(cause: crash_messages.CrashCause) -> str:
    return (
        f"requests with {cause.trait} are refused: {cause.crashes} targets crashed under them; "
        f"sending it again does not help (cause {cause.cause_id})"
    )
