"""One node's authority over a fabric domain, whose table names the node as its holder.

Conditional updates already protect the table. Authority protects what they do not cover: orders to
runners and credits for cold targets. It lasts for one lease after the holder last confirmed its
entry with the store, counted from before that call. A new holder waits for one lease and the
longest order in flight before it sends orders to runners that do not check fencing numbers.
"""

import dataclasses
from collections.abc import Callable

from basilpost.core import clock, data
from basilpost.settings import schema

NO_HOLDER = ""
_NEVER = float("-inf")


def with_holder(table: data.FabricTable, node_id: str) -> data.FabricTable:
    """Returns the table with a node as its new holder, under the next fencing number."""
    fence = table.holder.fence + 1 if table.holder else 1
    return dataclasses.replace(table, holder=data.Holder(node_id=node_id, fence=fence))


def without_holder(table: data.FabricTable) -> data.FabricTable:
    """Returns the table without a holder; the fencing number is kept, so that it never falls."""
    fence = table.holder.fence if table.holder else 0
    return dataclasses.replace(table, holder=data.Holder(node_id=NO_HOLDER, fence=fence))


class Authority:
    """This process's own record of its authority over one fabric domain."""

    def __init__(
        self, *, node_id: str, timing: schema.Timing, lease_remaining: Callable[[], float]
    ) -> None:
        self._node_id = node_id
        self._timing = timing
        self._lease_remaining = lease_remaining
        self._fence: int | None = None
        self._confirmed_at = _NEVER
        self._claimed_at = _NEVER
        self._claimed_after_release = True

    @property
    def fence(self) -> int | None:
        """Returns the fencing number of this process's claim, None if it has none."""
        return self._fence

    @property
    def claimed_at(self) -> float:
        """Returns the monotonic time at which the store confirmed this process's claim."""
        return self._claimed_at

    @property
    def confirmed_at(self) -> float:
        """Returns the monotonic time just before the latest call that confirmed the claim."""
        return self._confirmed_at

    def holds(self, table: data.FabricTable) -> bool:
        """Returns True if a confirmed table names this process as the holder."""
        holder = table.holder
        return (
            self._fence is not None
            and holder is not None
            and (holder.node_id, holder.fence) == (self._node_id, self._fence)
        )

    def record_claim(
        self, before: data.FabricTable, after: data.FabricTable, *, asked_at: float
    ) -> None:
        """Records that the store has confirmed this process's claim.

        Args:
            before: The table that was replaced.
            after: The table that names this process.
            asked_at: Monotonic time before the write was sent.
        """
        if after.holder is None:
            raise ValueError("the claimed table has no holder")
        self._fence = after.holder.fence
        self._claimed_at = clock.monotonic()
        self._claimed_after_release = before.holder is None or before.holder.node_id == NO_HOLDER
        self._confirmed_at = asked_at

    def record_fence(self, fence: int) -> None:
        """Records a higher fencing number of this holder, confirmed by the store."""
        self._fence = fence

    def record_confirmation(self, *, asked_at: float) -> None:
        """Records that a call sent at `asked_at` showed this process to be the holder still."""
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def clear(self) -> None:
        """Records that this process is no longer the holder of the fabric domain."""
        self._fence = None
        self._confirmed_at = _NEVER

    def remaining(self) -> float:
        """Returns the seconds for which authority lasts at least; 0 or less if there is none."""
        if self._fence is None:
            return 0.0
        own = self._confirmed_at + self._timing.lease - clock.monotonic()
        return min(own, self._lease_remaining())

    def may_order(self, *, checks_fence: bool) -> bool:
        """Returns True if an order may be sent now, to a runner that checks its fence or does not."""
        if self.remaining() <= 0.0:
            return False
        if checks_fence or self._claimed_after_release:
            return True
        return self.earlier_orders_expired()

    def earlier_orders_expired(self) -> bool:
        """Returns True if no order of an earlier holder can still be in flight."""
        if self._claimed_after_release:
            return True
        waited = clock.monotonic() - self._claimed_at
        return waited >= self._timing.lease + self._timing.order
