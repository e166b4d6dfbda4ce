"""Decides which share of the requests of each rank is admitted while callers want more than there is.

Load pattern: for some seconds callers ask for more than all targets of a model can process, because a
burst arrives or targets were lost. If all are admitted, the targets fill up and each caller is served
too late. If each node refuses whom it happens to find no room for, urgent requests pay for others. So
the nodes add up what each rank wants, and all of them refuse the same shares at once, the least urgent
ranks first, until what is left can be served in time.
"""

from collections.abc import Mapping

# Share of the targets' work that is admitted. The rest absorbs what arrives unevenly, and serves
# callers that return when they were told to.
ADMITTED_UTILIZATION = 0.9
# Share of each rank that is admitted however urgent the others are, so that none starves.
FLOOR_SHARE = 0.1
# Share of a target's slots, at least one, that a rank leaves free for more urgent ones while it is cut.
KEPT_SHARE = 0.1
# Relative error of sums of work that arrived at many nodes.
ROUNDING = 1e-9


def admitted_shares(
    wanted_by_rank: Mapping[int, float], *, capacity: float, utilization: float
) -> dict[int, float]:
    """Returns the share of the requests to admit, between 0 and 1, by rank.

    Args:
        wanted_by_rank: Work that arrives per second, in seconds of a target's work; rank 0 is the most
            urgent.
        capacity: Number of targets that process it.
        utilization: Share of the capacity that may be used.
    """
    left = capacity * utilization
    wanted = {rank: work for rank, work in wanted_by_rank.items() if work > 0.0}
    if sum(wanted.values()) <= left:
        return dict.fromkeys(wanted, 1.0)
    floors = {rank: work * FLOOR_SHARE for rank, work in wanted.items()}
    reserved = sum(floors.values())
    if reserved >= left:
        return {rank: FLOOR_SHARE * left / reserved for rank in wanted}
    left -= reserved
    shares = {}
    for rank in sorted(wanted):
        extra = min(wanted[rank] - floors[rank], left)
        left -= extra
        # A rank that gets all it wants has a share of exactly 1, whatever the rounding.
        full = floors[rank] + extra >= wanted[rank] * (1.0 - ROUNDING)
        shares[rank] = 1.0 if full else (floors[rank] + extra) / wanted[rank]
    return shares


def may_use_slot(
    rank: int, share_by_rank: Mapping[int, float], *, in_flight: int, slots: int
) -> bool:
    """Returns True if a request may take one of a target's slots.

    While a rank is cut, it leaves some slots to more urgent ranks. Without them each slot that comes free
    at one node is taken by a request that waits there, while a more urgent one waits at another node.

    Args:
        rank: Rank of the request.
        share_by_rank: Admitted shares of all ranks that callers of the model have.
        in_flight: Requests that the target has.
        slots: Its slots.
    """
    if share_by_rank.get(rank, 1.0) >= 1.0 or rank <= min(share_by_rank):
        return True
    return in_flight < slots - max(1.0, slots * KEPT_SHARE)
