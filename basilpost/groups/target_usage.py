"""A node's use of its targets: requests in flight, their results, and the credits that it holds."""

import dataclasses

from basilpost.core import data
from basilpost.groups import credit_messages as messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReceivedGrant:
    """A grant from a controller; its credits expire a credit's duration after they were asked for.

    Attributes:
        message: The grant as it arrived.
        ask_number: Number of the ask that it answers.
        asked_at: When this node sent that ask.
        in_flight: Requests in flight that the ask reported.
        wanted: Slots that the ask wanted.
    """

    message: messages.Grant
    ask_number: int
    asked_at: float
    in_flight: int
    wanted: int


@dataclasses.dataclass(kw_only=True)
class TargetUsage:
    """This node's use of one target. A period lasts from one ask for credits to the next.

    Attributes:
        group: The target, as in the latest group table.
        in_flight: Requests in flight.
        peak: Most requests in flight at once in this period.
        refused: Slots that were refused in this period.
        succeeded: Requests that ended well in this period.
        failed: Requests that the target failed in this period.
        latency_sum: Sum of the seconds to the first byte of the requests that ended well.
        cold: True if an answer in this period said that the target is in a cold start.
        credits_only: True while the target accepts requests under credits only.
        credits_voided_at: Credits that were asked for up to this time are void.
        latest_grant: The latest grant, None if there was none.
        refused_since: When a slot was first refused since the latest grant, None if none was.
        used_at: When a slot was last acquired or released.
        settled: False until the controller has received an ask that acts on a grant of no credits.
            Until then it counts credits that this node no longer uses.
    """

    group: data.Group
    in_flight: int = 0
    peak: int = 0
    refused: int = 0
    succeeded: int = 0
    failed: int = 0
    latency_sum: float = 0.0
    cold: bool = False
    credits_only: bool = False
    credits_voided_at: float = float("-inf")
    latest_grant: ReceivedGrant | None = None
    refused_since: float | None = None
    used_at: float = float("-inf")
    settled: bool = True


def make_want(usage: TargetUsage) -> messages.Want:
    """Returns the entry on this target in the node's next ask, a message to the controller.

    A target in use wants the slots used at the peak, those refused, and one more.
    """
    active = usage.in_flight or usage.refused or usage.peak
    wanted = max(usage.in_flight, usage.peak) + usage.refused + 1 if active else 0
    return messages.Want(
        group_id=usage.group.group_id,
        generation=usage.group.generation,
        in_flight=usage.in_flight,
        wanted=wanted,
        acting_on=usage.latest_grant.ask_number if usage.latest_grant else -1,
        succeeded=usage.succeeded,
        failed=usage.failed,
        latency_ms=round(1000 * usage.latency_sum / usage.succeeded) if usage.succeeded else 0,
        cold=usage.cold,
    )


def begin_period(usage: TargetUsage) -> None:
    """Starts the period until the next ask: resets what is counted since the last one."""
    usage.peak = usage.in_flight
    usage.refused = 0
    usage.succeeded = 0
    usage.failed = 0
    usage.latency_sum = 0.0
    usage.cold = False
