"""Changes of records that wait for their commit, and the results of a commit.

The ledger keeps its records of requests in buckets, each one object in the store. A write is
conditional on the version of the bucket. So a delayed write, of which it is unknown whether it took
effect, is fenced by any other write: that changes the version, and the delayed one then fails.
"""

import asyncio
import dataclasses

from basilpost.core import failure
from basilpost.runs import buckets, changes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Committed:
    """The store has confirmed a change, or shown that it does not apply.

    Attributes:
        record: The record afterwards, None if there is none.
        in_effect: True if the change is in effect, False if it does not apply.
        confirmed_at: Event loop's time right before the first call that can have confirmed it.
    """

    record: buckets.Record | None
    in_effect: bool
    confirmed_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Uncommitted(failure.Failure):
    """The store did not confirm a change in time.

    Attributes:
        fence_version: Version of the bucket that a delayed write of the change is conditional on.
            While the bucket has it, the write can still take effect. None without such a write.
    """

    fence_version: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class BucketFull(failure.Failure):
    """The bucket has no room for another record."""


Result = Committed | Uncommitted | BucketFull


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """A bucket at one version.

    Attributes:
        version: Its version in the store.
        records_by_id: Its records.
        size: Bytes of its stored form.
    """

    version: int
    records_by_id: dict[str, buckets.Record]
    size: int = 0


@dataclasses.dataclass(kw_only=True)
class Pending:
    """A change that waits for its commit.

    Attributes:
        change: What to change in the record of one request.
        deadline: Event loop's time after which it fails.
        result: Completes with the result of the commit.
        written_at: Event loop's time right before its first write, None before that.
        fence_version: Version of the bucket that a delayed write of it is conditional on, None if
            there is no such write.
    """

    change: changes.Change
    deadline: float
    result: asyncio.Future[Result]
    written_at: float | None = None
    fence_version: int | None = None

    def resolve(self, result: Result) -> None:
        """Completes the result, unless the submitter was cancelled."""
        if not self.result.done():
            self.result.set_result(result)
