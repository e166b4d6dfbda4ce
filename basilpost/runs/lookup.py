"""The interface to services that can tell what became of a key."""

import abc
import dataclasses

from basilpost.core import failure
from basilpost.runs import buckets, ledger


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ran:
    """The service has run the request; `answer` is what it would answer to a repeat, if known."""

    answer: ledger.Answer | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class NeverRan:
    """The service has no trace of the key."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LookupUnavailable(failure.Failure):
    """The service has no such look-up, or did not answer it."""


class OutcomeLookup(abc.ABC):
    """Asks a service for the outcome of a request."""

    @abc.abstractmethod
    async def look_up(
        self, record: buckets.Record, *, timeout: float
    ) -> Ran | NeverRan | LookupUnavailable:
        """Asks the service that the record's request went to."""


class NoLookup(OutcomeLookup):
    """Stands in where no service has a look-up."""

    async def look_up(
        self, record: buckets.Record, *, timeout: float
    ) -> Ran | NeverRan | LookupUnavailable:
        """Knows nothing."""
        return LookupUnavailable(reason=f"{record.service} has no outcome look-up")
