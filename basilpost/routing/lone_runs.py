"""Chooses targets for requests suspected of crashing their targets, at most one on each target."""

import asyncio
from collections.abc import Callable

from basilpost.core import clock, data, failure
from basilpost.groups import slots
from basilpost.routing import interfaces, quarantine, refusals, selection, suspects

# Time between two attempts to start a lone run.
POLL_SECONDS = 0.02
# Time for which a request waits for a usable target before it is refused.
NO_TARGET_SECONDS = 1.0


class LoneSlot(slots.Slot):
    """The slot of a suspect; its release ends the lone run."""

    def __init__(
        self,
        *,
        inner: slots.Slot,
        crash_quarantine: quarantine.CrashQuarantine,
        fingerprint: str,
    ) -> None:
        self._inner = inner
        self._quarantine: quarantine.CrashQuarantine | None = crash_quarantine
        self._fingerprint = fingerprint

    def release(self, observation: data.Observation) -> None:
        """Releases the slot and ends the lone run; later calls do nothing."""
        self._inner.release(observation)
        if self._quarantine is not None:
            self._quarantine.end_lone_run(self._fingerprint)
            self._quarantine = None


class LoneRuns:
    """Chooses targets for suspects by polling; they are too rare for a queue."""

    def __init__(
        self,
        *,
        selector: selection.Selector,
        crash_quarantine: quarantine.CrashQuarantine,
        check_now: Callable[[interfaces.Request], failure.Refusal | None],
    ) -> None:
        self._selector = selector
        self._quarantine = crash_quarantine
        self._check_now = check_now

    async def choose(
        self, request: interfaces.Request, suspect: suspects.Suspect, exclude: frozenset[str]
    ) -> interfaces.Choice | failure.Refusal:
        """Waits until the suspect can run on a target without another suspect.

        Args:
            request: The request that is to run alone.
            suspect: What it is suspected of.
            exclude: Ids of the groups that have failed it.
        """
        wait_until = clock.monotonic() + (0.0 if exclude else NO_TARGET_SECONDS)
        while True:
            refusal = self._check_now(request)
            if clock.monotonic() >= wait_until and not self._selector.by_load(
                request.service, exclude
            ):
                refusal = refusal or refusals.no_healthy_group(request)
            if refusal is not None:
                return refusal
            if not self._quarantine.suspects.running_on(request.fingerprint):
                choice = await self._try_lone_run(request, suspect, exclude)
                if choice is not None:
                    return choice
            await asyncio.sleep(POLL_SECONDS)

    async def _try_lone_run(
        self, request: interfaces.Request, suspect: suspects.Suspect, exclude: frozenset[str]
    ) -> interfaces.Choice | None:
        """Acquires a slot on the least loaded target without a suspect, and reserves the target.

        Targets that the suspect has not crashed are preferred, and of them those in fabric domains
        where it has crashed none.
        """
        unusable = exclude | self._quarantine.suspects.occupied_targets()
        groups = self._selector.by_load(request.service, unusable)
        groups.sort(
            key=lambda group: (
                group.group_id in suspect.group_ids,
                group.fabric_domain in suspect.fabric_domains,
            )
        )
        choices = (self._selector.acquire(group, unusable) for group in groups)
        choice = next((choice for choice in choices if choice is not None), None)
        if choice is None:
            return None
        if not await self._reserve(request, choice):
            return None
        slot = LoneSlot(
            inner=choice.slot, crash_quarantine=self._quarantine, fingerprint=request.fingerprint
        )
        return interfaces.Choice(group=choice.group, slot=slot)

    async def _reserve(self, request: interfaces.Request, choice: interfaces.Choice) -> bool:
        """Reserves the target for the lone run; releases the slot if another suspect has it."""
        granted = False
        try:
            granted = await self._quarantine.begin_lone_run(
                request.service, request.fingerprint, choice.group.group_id
            )
        finally:
            if not granted:
                self._selector.release_unused(choice)
        return granted
