"""The interface for a node's standing: whether it may take new work.

A node that reaches neither the store nor a majority of the known nodes cannot distinguish an outage
of the store from its own isolation. It stops taking new work, as its view may be outdated.
"""

import abc
import dataclasses

from basilpost.core import failure


@dataclasses.dataclass(frozen=True, kw_only=True)
class InStanding:
    """The node may take and dispatch new work."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotServing(failure.Failure):
    """The node must not take or dispatch new work.

    Attributes:
        retry_after: Seconds after which a caller may try again.
    """

    retry_after: float = 1.0


class Standing(abc.ABC):
    """The node's own decision whether its view is current enough to take new work."""

    @abc.abstractmethod
    def check(self) -> InStanding | NotServing:
        """Returns the current standing; cheap enough to call before each dispatch."""

    @abc.abstractmethod
    def acknowledged_by_all(self, key: str, version: int) -> bool:
        """Returns True if every node that may still dispatch has applied an object's version.

        A node needs no longer be waited for when it has acknowledged the version over a peer
        stream, or when it has been silent for so long that it has stopped taking work by itself.
        """
