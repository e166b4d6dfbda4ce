"""What nodes tell each other about crashed targets; the class names are on the wire."""

import dataclasses

from basilpost.routing import crash_evidence


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashReport:
    """Tells other nodes that a target crashed and which requests were lost.

    Attributes:
        target_id: The target.
        age: Seconds since the crash.
        requests: The lost requests; further reports of the same crash may add others.
    """

    target_id: str
    age: float
    requests: tuple[crash_evidence.LostRequest, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredCrash:
    """A crash as the platform's store keeps it, in case that all nodes are killed.

    Attributes:
        target_id: The target.
        crashed_at: When it crashed, ISO 8601 in UTC.
        requests: Fingerprints of the lost requests that were not answered since.
    """

    target_id: str
    crashed_at: str
    requests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnsweredTrait:
    """A trait of a request that was answered `age` seconds ago."""

    trait: crash_evidence.Trait
    age: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerReport:
    """Tells other nodes of answers to requests that have a trait of lost requests.

    It also ends what a node sends to a peer when a stream opens, then possibly without any answer.

    Attributes:
        report_id: Unique id; a node can receive the message several times.
        answered: The traits.
    """

    report_id: str
    answered: tuple[AnsweredTrait, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashCause:
    """A trait that crashes targets; requests with it are refused on all nodes.

    Attributes:
        cause_id: Unique id of this entry.
        trait: The trait.
        found_at: When it was found, ISO 8601 in UTC.
        node_id: Node that found it.
        crashes: Number of crashes that speak against it.
        targets: Targets that crashed, the latest ones.
        requests: Fingerprints of requests with the trait that were lost, some of them.
        age: Seconds since it was found.
        released: Why an operator has released it, empty while it is in force.
    """

    cause_id: str
    trait: crash_evidence.Trait
    found_at: str
    node_id: str
    crashes: int
    targets: tuple[str, ...]
    requests: tuple[str, ...]
    age: float = 0.0
    released: str = ""
