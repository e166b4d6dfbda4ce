"""Requests that were in flight on a target when it was lost, and their lone runs.

Each of these suspects runs again on a target without any other suspect, in a lone run, so that a
second crash is known to be caused by it. A suspect whose lone run succeeds is cleared.
"""

import collections
import dataclasses

from basilpost.core import clock

# Time after its first crash for which a request stays a suspect.
SUSPECT_SECONDS = 600.0
# Time after which a lone run counts as over although its end was not reported.
LONE_RUN_SECONDS = 120.0
MAX_SUSPECTS = 10_000
# So many targets lost within this time are a mass failure.
MASS_FAILURE_SECONDS = 3.0
MASS_FAILURE_TARGETS = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectReport:
    """Reports that a request was in flight on a target when it was lost.

    Attributes:
        event_id: Unique id, by which a node recognises a message that it has processed.
        fingerprint: Fingerprint of the request.
        group_id: Id of the target.
        fabric_domain: Fabric domain of the target.
    """

    WIRE_NAME = "Blame"

    event_id: str
    fingerprint: str
    group_id: str
    fabric_domain: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectCleared:
    """Reports that the lone run of a suspect has succeeded."""

    WIRE_NAME = "Cleared"

    event_id: str
    fingerprint: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoneRun:
    """Reports that a suspect runs on a target; an empty `group_id` ends its lone run."""

    event_id: str
    fingerprint: str
    group_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoneRunRequest:
    """Asks the node that arbitrates a service's lone runs for permission to start one."""

    WIRE_NAME = "AskLoneRun"

    fingerprint: str
    group_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoneRunReply:
    """Grants or denies a lone run."""

    granted: bool


@dataclasses.dataclass(kw_only=True)
class Suspect:
    """A request that may crash its targets.

    Attributes:
        suspected_at: Event loop's time of its first crash.
        group_ids: Targets that were lost while they ran it.
        fabric_domains: Fabric domains of these targets.
    """

    suspected_at: float
    group_ids: set[str] = dataclasses.field(default_factory=set)
    fabric_domains: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoneRunRecord:
    """A lone run that was reported or granted.

    Attributes:
        group_id: Target on which the suspect runs.
        expires_at: Event loop's time from which the run counts as over.
    """

    group_id: str
    expires_at: float


class Suspects:
    """The suspects and their lone runs, as this node and its peers have reported them."""

    def __init__(self) -> None:
        self._suspects: collections.OrderedDict[str, Suspect] = collections.OrderedDict()
        self._runs_by_fingerprint: dict[str, LoneRunRecord] = {}
        self._recent_crashes: collections.deque[tuple[float, str]] = collections.deque(maxlen=256)

    def find(self, fingerprint: str) -> Suspect | None:
        """Returns the suspect with a fingerprint, None for an unsuspected request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or clock.monotonic() - suspect.suspected_at > SUSPECT_SECONDS:
            return None
        return suspect

    def record_suspect(self, report: SuspectReport) -> Suspect:
        """Records a crash and returns the suspect."""
        self._recent_crashes.append((clock.monotonic(), report.group_id))
        suspect = self.find(report.fingerprint)
        if suspect is None:
            suspect = Suspect(suspected_at=clock.monotonic())
            self._suspects[report.fingerprint] = suspect
        suspect.group_ids.add(report.group_id)
        suspect.fabric_domains.add(report.fabric_domain)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect

    def clear(self, fingerprint: str) -> bool:
        """Removes a suspect; returns False if there was none."""
        return self._suspects.pop(fingerprint, None) is not None

    def is_mass_failure(self, suspect: Suspect) -> bool:
        """Returns True if many targets that did not run the suspect were lost at the same time.

        Then the cause is in the network or the platform, not in the request.
        """
        since = clock.monotonic() - MASS_FAILURE_SECONDS
        lost = {group_id for at, group_id in self._recent_crashes if at >= since}
        return len(lost - suspect.group_ids) >= MASS_FAILURE_TARGETS

    def record_run(self, fingerprint: str, group_id: str) -> None:
        """Records on which target a suspect runs; an empty id ends the run."""
        self._runs_by_fingerprint.pop(fingerprint, None)
        if group_id:
            expires_at = clock.monotonic() + LONE_RUN_SECONDS
            self._runs_by_fingerprint[fingerprint] = LoneRunRecord(
                group_id=group_id, expires_at=expires_at
            )

    def running_on(self, fingerprint: str) -> str:
        """Returns the target on which a suspect runs, empty for none."""
        run = self._runs_by_fingerprint.get(fingerprint)
        return run.group_id if run is not None and clock.monotonic() < run.expires_at else ""

    def occupied_targets(self) -> frozenset[str]:
        """Returns the targets on which suspects run."""
        if not self._runs_by_fingerprint:
            return frozenset()
        now = clock.monotonic()
        runs = self._runs_by_fingerprint.values()
        return frozenset(run.group_id for run in runs if now < run.expires_at)
