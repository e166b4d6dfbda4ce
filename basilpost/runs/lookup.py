"""The interface to services that can report the outcome of an idempotency key."""

import abc
import dataclasses

from basilpost.core import failure
from basilpost.runs import buckets, ledger


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ran:
    """The service has run the request.

    Attributes:
        answer: What it would answer to a repeat, None if that is not known.
    """

    answer: ledger.Answer | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class NeverRan:
    """The service has no record of the key."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LookupUnavailable(failure.Failure):
    """The service has no look-up, or did not answer it."""


class OutcomeLookup(abc.ABC):
    """Asks a service for the outcome of a request."""

    @abc.abstractmethod
    async def look_up(
        self, record: buckets.Record, *, timeout: float
    ) -> Ran | NeverRan | LookupUnavailable:
        """Asks the service of a recorded request for its outcome, for `timeout` seconds at most."""


class NoLookup(OutcomeLookup):
    """For nodes on which no service can be asked."""

    async def look_up(
        self, record: buckets.Record, *, timeout: float
    ) -> Ran | NeverRan | LookupUnavailable:
        """Returns that the service has no look-up."""
        return LookupUnavailable(reason=f"{record.service} has no outcome look-up")
