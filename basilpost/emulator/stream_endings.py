"""How streams ended at emulated runners: checks need to know which end closed a connection first."""

import dataclasses
import enum


class EndedBy(enum.Enum):
    """What ended a stream at its runner.

    NODE stands for a connection that was closed from the other end: by the node, also because its
    caller had left, or by a fault of the link.
    """

    COMPLETE = "complete"
    RUNNER = "runner"
    ORDER = "order"
    NODE = "node"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ending:
    """The end of a stream at its runner.

    Attributes:
        attempt: Id of the request.
        at: When the runner noticed it, in seconds of `clock.elapsed`; with the next event at the latest.
        by: What ended it.
        members: Ids of the VMs of the runner's group, by rank.
    """

    attempt: str
    at: float
    by: EndedBy
    members: tuple[str, ...] = ()
