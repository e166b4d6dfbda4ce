"""Changes that wait for their commit, and what becomes of them."""

import asyncio
import dataclasses

from basilpost.core import failure
from basilpost.runs import buckets, changes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Committed:
    """A change that the store has confirmed, or found not to apply.

    Attributes:
        record: The record afterwards.
        done: True if the change is in effect.
        confirmed_at: Event loop's time from before the first call that can have made it so.
    """

    record: buckets.Record | None
    done: bool
    confirmed_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Uncommitted(failure.Failure):
    """The store did not confirm the change in time.

    Attributes:
        fence_version: Bucket version at which a write of it may still arrive, None if none can.
    """

    fence_version: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class BucketFull(failure.Failure):
    """The bucket has no room for another record."""


Result = Committed | Uncommitted | BucketFull


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """A bucket as read or written at a version; `size` is that of its stored form in bytes."""

    version: int
    records_by_id: dict[str, buckets.Record]
    size: int = 0


@dataclasses.dataclass(kw_only=True)
class Pending:
    """A change that waits for its commit."""

    change: changes.Change
    deadline: float
    result: asyncio.Future[Result]
    written_at: float | None = None
    fence_version: int | None = None

    def resolve(self, result: Result) -> None:
        """Hands over the result unless the submitter has gone away."""
        if not self.result.done():
            self.result.set_result(result)
