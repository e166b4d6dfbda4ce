"""Finds what the requests under which targets crashed have in common; pure functions.

A crash loses all requests that were in flight at the target, most of them harmless. What causes the
crashes is a trait: the request itself, which its caller repeats, or a part of the prompt that
different requests share. A harmless trait is cleared by an answer to any request that has it. Targets
that are lost at about the same moment count as one crash, so that the loss of a rack or of a failure
domain says nothing about the requests that were in flight there.
"""

import dataclasses
import functools
import itertools
import math
from collections.abc import Collection, Iterable, Mapping

# Crashes, apart in time, after which a trait that no answered request had is taken for the cause.
MIN_CRASHES = 3
# The same for a trait that answered requests had, and for one of several with equal evidence.
MIN_CRASHES_IN_DOUBT = 5
# Different requests that must have been lost with a part. A request that is repeated is one.
MIN_REQUESTS = 3
# Crashes closer together than this count as one.
SEPARATE_SECONDS = 0.3
# An answer this long before a crash still clears the traits of its request.
CLEARING_SECONDS = 2.0

_PART = "part"
_REQUEST = "request"
KINDS = (_PART, _REQUEST)


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Trait:
    """A property of requests that may crash targets.

    Attributes:
        kind: `part` for a part of the prompt, `request` for one request and its repeats.
        value: Id of the part, or the fingerprint of the request.
    """

    kind: str
    value: str

    def __str__(self) -> str:
        """Returns the trait as logs and refusals show it."""
        return f"{self.kind} {self.value}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LostRequest:
    """A request that was in flight at a target when it crashed.

    Attributes:
        fingerprint: Fingerprint of the request; its repeats have the same.
        parts: Ids of the parts of its prompt that it shares with other requests.
    """

    fingerprint: str
    parts: tuple[str, ...]

    @property
    def traits(self) -> tuple[Trait, ...]:
        """Returns what may have crashed the target."""
        return traits_of(self.fingerprint, self.parts)

    @property
    def own_trait(self) -> Trait:
        """Returns the trait that only the request itself and its repeats have."""
        return Trait(kind=_REQUEST, value=self.fingerprint)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crash:
    """A target that crashed.

    Attributes:
        target_id: The target; its id is unique for one lifetime of the runner.
        at: When this node learnt of it, on `clock.elapsed`.
        requests: The requests that were lost with it, by fingerprint.
    """

    target_id: str
    at: float
    requests: Mapping[str, LostRequest]

    @functools.cached_property
    def traits(self) -> frozenset[Trait]:
        """Returns the traits of all lost requests."""
        return frozenset(trait for lost in self.requests.values() for trait in lost.traits)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evidence:
    """The crashes that speak against a trait.

    Attributes:
        trait: The trait.
        crashes: The crashes since the last answer to a request with the trait, by time.
        count: Number of crashes; those at about the same moment are one.
        requests: Number of different requests with the trait that were lost.
    """

    trait: Trait
    crashes: tuple[Crash, ...]
    count: int
    requests: int


def traits_of(fingerprint: str, parts: Iterable[str]) -> tuple[Trait, ...]:
    """Returns the traits of a request, its shared parts first."""
    return (
        *(Trait(kind=_PART, value=part) for part in dict.fromkeys(parts)),
        Trait(kind=_REQUEST, value=fingerprint),
    )


def gather(
    crashes: Iterable[Crash], answered_at: Mapping[Trait, float], known: Collection[Trait]
) -> list[Evidence]:
    """Returns the evidence against each trait that crashed requests had.

    Args:
        crashes: The recent crashes.
        answered_at: When a request with the trait was answered last, on `clock.elapsed`.
        known: Traits that are known to be a cause; they explain the crashes under them.
    """
    crashes_by_trait: dict[Trait, list[Crash]] = {}
    for crash in crashes:
        if crash.traits.isdisjoint(known):
            for trait in crash.traits:
                if speaks_against(crash, trait, answered_at):
                    crashes_by_trait.setdefault(trait, []).append(crash)
    return [_evidence(trait, found) for trait, found in crashes_by_trait.items()]


def count_crashes(
    trait: Trait,
    crashes: Iterable[Crash],
    answered_at: Mapping[Trait, float],
    known: Collection[Trait],
) -> int:
    """Returns the number of crashes that speak against one trait; arguments as for `gather`."""
    return count_separate(
        crash.at
        for crash in crashes
        if trait in crash.traits
        and crash.traits.isdisjoint(known)
        and speaks_against(crash, trait, answered_at)
    )


def find_causes(
    evidence: Iterable[Evidence], answered_at: Mapping[Trait, float]
) -> tuple[Evidence, ...]:
    """Returns the traits that are now known to crash targets, with the evidence.

    Traits that no answered request had are preferred. Of several with equal evidence none is chosen
    before `MIN_CRASHES_IN_DOUBT`; then those that the fewest lost requests have are.
    """
    sufficient = [found for found in evidence if _is_sufficient(found, answered_at)]
    unanswered = [found for found in sufficient if found.trait not in answered_at]
    candidates = unanswered or sufficient
    if not candidates:
        return ()
    most = max(found.count for found in candidates)
    best = [found for found in candidates if found.count == most]
    if len(best) > 1 and most < MIN_CRASHES_IN_DOUBT:
        return ()
    fewest = min(found.requests for found in best)
    return tuple(found for found in best if found.requests == fewest)


def count_separate(times: Iterable[float]) -> int:
    """Returns the number of times without those within `SEPARATE_SECONDS` of a counted one."""
    count, counted_at = 0, -math.inf
    for at in sorted(times):
        if at - counted_at >= SEPARATE_SECONDS:
            count, counted_at = count + 1, at
    return count


def speaks_against(crash: Crash, trait: Trait, answered_at: Mapping[Trait, float]) -> bool:
    """Returns True unless a request with a trait of a crash was answered shortly before it or since."""
    return crash.at > answered_at.get(trait, -math.inf) + CLEARING_SECONDS


def _evidence(trait: Trait, crashes: list[Crash]) -> Evidence:
    by_time = sorted(crashes, key=lambda crash: crash.at)
    lost = itertools.chain.from_iterable(crash.requests.values() for crash in by_time)
    return Evidence(
        trait=trait,
        crashes=tuple(by_time),
        count=count_separate(crash.at for crash in by_time),
        requests=len({request.fingerprint for request in lost if trait in request.traits}),
    )


def _is_sufficient(found: Evidence, answered_at: Mapping[Trait, float]) -> bool:
    needed = MIN_CRASHES_IN_DOUBT if found.trait in answered_at else MIN_CRASHES
    return found.count >= needed and (
        found.trait.kind == _REQUEST or found.requests >= MIN_REQUESTS
    )
