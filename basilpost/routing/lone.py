"""Gives suspects of crashing their targets a target for themselves."""

import asyncio
from collections.abc import Callable

from basilpost.core import clock, data, failure
from basilpost.groups import slots
from basilpost.routing import interfaces, quarantine, refusals, selection, suspects

POLL_SECONDS = 0.02
NO_TARGET_SECONDS = 1.0


class LoneSlot(slots.Slot):
    """The slot of a suspect, which ends its lone run when it is released."""

    def __init__(
        self, *, inner: slots.Slot, owner: quarantine.CrashQuarantine, fingerprint: str
    ) -> None:
        self._inner = inner
        self._owner: quarantine.CrashQuarantine | None = owner
        self._fingerprint = fingerprint

    def release(self, observation: data.Observation) -> None:
        """Gives the slot back once."""
        self._inner.release(observation)
        if self._owner is not None:
            self._owner.end_lone_run(self._fingerprint)
            self._owner = None


class LoneRuns:
    """Chooses targets for suspects; they are rare, so they look again instead of queueing."""

    def __init__(
        self,
        *,
        selector: selection.Selector,
        owner: quarantine.CrashQuarantine,
        refusal_now: Callable[[interfaces.Request], failure.Refusal | None],
    ) -> None:
        self._selector = selector
        self._quarantine = owner
        self._refusal_now = refusal_now

    async def choose(
        self, request: interfaces.Request, suspect: suspects.Suspect, exclude: frozenset[str]
    ) -> interfaces.Choice | failure.Refusal:
        """Waits until the suspect can run on a target without another suspect."""
        patient_until = clock.monotonic() + (0.0 if exclude else NO_TARGET_SECONDS)
        while True:
            refusal = self._refusal_now(request)
            if clock.monotonic() >= patient_until and not self._selector.by_load(
                request.service, exclude
            ):
                refusal = refusal or refusals.no_healthy_group(request)
            if refusal is not None:
                return refusal
            if not self._quarantine.suspects.running_on(request.fingerprint):
                choice = await self._pick_alone(request, suspect, exclude)
                if choice is not None:
                    return choice
            await asyncio.sleep(POLL_SECONDS)

    async def _pick_alone(
        self, request: interfaces.Request, suspect: suspects.Suspect, exclude: frozenset[str]
    ) -> interfaces.Choice | None:
        """Takes a slot on the least loaded free target, in another fabric domain if possible."""
        unusable = exclude | self._quarantine.suspects.occupied()
        groups = self._selector.by_load(request.service, unusable)
        groups.sort(
            key=lambda group: (
                group.group_id in suspect.group_ids,
                group.fabric_domain in suspect.fabric_domains,
            )
        )
        taken = (self._selector.take(group, unusable) for group in groups)
        choice = next((one for one in taken if one is not None), None)
        if choice is None:
            return None
        if not await self._reserve(request, choice):
            return None
        slot = LoneSlot(inner=choice.slot, owner=self._quarantine, fingerprint=request.fingerprint)
        return interfaces.Choice(group=choice.group, slot=slot)

    async def _reserve(self, request: interfaces.Request, choice: interfaces.Choice) -> bool:
        """Asks for the lone run; without it the slot is given back."""
        granted = False
        try:
            granted = await self._quarantine.begin_lone_run(
                request.service, request.fingerprint, choice.group.group_id
            )
        finally:
            if not granted:
                self._selector.give_back(choice)
        return granted
