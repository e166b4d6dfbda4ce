"""Targets to which this node could not open a connection a short time ago."""

from collections.abc import Iterable

from basilpost.core import clock

# Time after which a connection to such a target is tried again.
AVOID_SECONDS = 1.0


class UnreachableTargets:
    """The targets that are avoided; each for a short time after a failed connection."""

    def __init__(self) -> None:
        self._failed_at_by_id: dict[str, float] = {}

    def add(self, target_id: str) -> None:
        """Avoids a target for `AVOID_SECONDS`."""
        now = clock.elapsed()
        self._failed_at_by_id = {
            known: at for known, at in self._failed_at_by_id.items() if at + AVOID_SECONDS > now
        }
        self._failed_at_by_id[target_id] = now

    def among(self, target_ids: Iterable[str]) -> frozenset[str]:
        """Returns those of the targets that are avoided now."""
        if not self._failed_at_by_id:
            return frozenset()
        oldest = clock.elapsed() - AVOID_SECONDS
        return frozenset(
            target_id
            for target_id in target_ids
            if self._failed_at_by_id.get(target_id, oldest) > oldest
        )
