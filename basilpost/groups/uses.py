"""A node's use of its targets: what it has in flight, what it saw, and the credits that it holds."""

import dataclasses

from basilpost.core import data
from basilpost.groups import credit_messages as messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class Credit:
    """A grant as received; it expires a credit's length after it was asked for."""

    grant: messages.Grant
    number: int
    asked_at: float
    in_flight: int
    wanted: int


@dataclasses.dataclass(kw_only=True)
class Use:
    """This node's use of one target.

    Attributes:
        group: The target.
        in_flight: Requests in flight.
        peak: Most of them at once in this period.
        refused: Slots that were not free in this period.
        succeeded: Requests that ended well in this period.
        failed: Requests that the target failed in this period.
        latency_sum: Sum of the seconds to the first byte of those that ended well.
        cold: True if an answer said that the target is in a cold start.
        bounded: True while the target takes work under credits only.
        bounded_since: Time from which earlier credits are void.
        credit: The latest grant.
        unanswered_since: When a slot was first refused since the latest grant, None for never.
        used_at: When a slot was last taken or released.
        settled: False while the controller has to count credits that it gave and was not yet told that
            they are void.
    """

    group: data.Group
    in_flight: int = 0
    peak: int = 0
    refused: int = 0
    succeeded: int = 0
    failed: int = 0
    latency_sum: float = 0.0
    cold: bool = False
    bounded: bool = False
    bounded_since: float = float("-inf")
    credit: Credit | None = None
    unanswered_since: float | None = None
    used_at: float = float("-inf")
    settled: bool = True


def want_of(use: Use) -> messages.Want:
    """Returns what is told to the controller."""
    active = use.in_flight or use.refused or use.peak
    wanted = max(use.in_flight, use.peak) + use.refused + 1 if active else 0
    return messages.Want(
        group_id=use.group.group_id,
        generation=use.group.generation,
        in_flight=use.in_flight,
        wanted=wanted,
        acting_on=use.credit.number if use.credit else -1,
        succeeded=use.succeeded,
        failed=use.failed,
        latency_ms=round(1000 * use.latency_sum / use.succeeded) if use.succeeded else 0,
        cold=use.cold,
    )


def begin_period(use: Use) -> None:
    """Starts a new period of what is told to the controller."""
    use.peak = use.in_flight
    use.refused = 0
    use.succeeded = 0
    use.failed = 0
    use.latency_sum = 0.0
    use.cold = False
