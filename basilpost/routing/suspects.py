"""The requests that were in flight on a target as it went away, and where they run again.

A suspect runs again on one target at a time, with no other suspect beside it, so that a second
crash can be blamed on it alone. A suspect that ends well is cleared.
"""

import collections
import dataclasses

from basilpost.core import clock

SUSPECT_SECONDS = 600.0
RUN_SECONDS = 120.0
MAX_SUSPECTS = 10_000
STORM_SECONDS = 3.0
STORM_TARGETS = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Blame:
    """A request was in flight on a target that went away.

    Attributes:
        event_id: Unique id, by which a node takes the message in once.
        fingerprint: The request.
        group_id: The target.
        fabric_domain: Where the target was.
    """

    event_id: str
    fingerprint: str
    group_id: str
    fabric_domain: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cleared:
    """A suspect has ended well."""

    event_id: str
    fingerprint: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoneRun:
    """A suspect runs on a target, or with `group_id` empty runs no more."""

    event_id: str
    fingerprint: str
    group_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class AskLoneRun:
    """Asks the node that arbitrates a service's lone runs for one."""

    fingerprint: str
    group_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoneRunReply:
    """Whether the lone run is granted."""

    granted: bool


@dataclasses.dataclass(kw_only=True)
class Suspect:
    """What a request is blamed for."""

    blamed_at: float
    group_ids: set[str] = dataclasses.field(default_factory=set)
    fabric_domains: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """A lone run, forgotten after some time in case its end is never heard of."""

    group_id: str
    until: float


class Suspects:
    """What this node and its peers know of suspects."""

    def __init__(self) -> None:
        self._suspects: collections.OrderedDict[str, Suspect] = collections.OrderedDict()
        self._runs_by_fingerprint: dict[str, Run] = {}
        self._crashes: collections.deque[tuple[float, str]] = collections.deque(maxlen=256)

    def find(self, fingerprint: str) -> Suspect | None:
        """Returns the suspect of a fingerprint, None for an unsuspected request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or clock.monotonic() - suspect.blamed_at > SUSPECT_SECONDS:
            return None
        return suspect

    def blame(self, blame: Blame) -> Suspect:
        """Takes a blame in and returns the suspect."""
        self._crashes.append((clock.monotonic(), blame.group_id))
        suspect = self.find(blame.fingerprint)
        if suspect is None:
            suspect = Suspect(blamed_at=clock.monotonic())
            self._suspects[blame.fingerprint] = suspect
        suspect.group_ids.add(blame.group_id)
        suspect.fabric_domains.add(blame.fabric_domain)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect

    def clear(self, fingerprint: str) -> bool:
        """Forgets a suspect; returns False if there was none."""
        return self._suspects.pop(fingerprint, None) is not None

    def storm(self, suspect: Suspect) -> bool:
        """Returns True if many targets went away at once that the suspect did not run on.

        Then the cause is in the network or the platform, not in the request.
        """
        since = clock.monotonic() - STORM_SECONDS
        others = {group_id for at, group_id in self._crashes if at >= since}
        return len(others - suspect.group_ids) >= STORM_TARGETS

    def note_run(self, fingerprint: str, group_id: str) -> None:
        """Notes where a suspect runs; an empty id ends the run."""
        self._runs_by_fingerprint.pop(fingerprint, None)
        if group_id:
            until = clock.monotonic() + RUN_SECONDS
            self._runs_by_fingerprint[fingerprint] = Run(group_id=group_id, until=until)

    def running_on(self, fingerprint: str) -> str:
        """Returns the target that a suspect runs on, empty for none."""
        run = self._runs_by_fingerprint.get(fingerprint)
        return run.group_id if run is not None and clock.monotonic() < run.until else ""

    def occupied(self) -> frozenset[str]:
        """Returns the targets on which suspects run."""
        if not self._runs_by_fingerprint:
            return frozenset()
        now = clock.monotonic()
        runs = self._runs_by_fingerprint.values()
        return frozenset(run.group_id for run in runs if now < run.until)
