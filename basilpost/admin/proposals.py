"""Proposed changes of configuration objects, their results, and the current state of an object.

The class names of the results are label values of a metric and values in log lines.
"""

import dataclasses
from typing import Any

from basilpost.core import codec, data, failure
from basilpost.settings import configuration
from basilpost.store import objects


@dataclasses.dataclass(frozen=True, kw_only=True)
class Proposal:
    """A requested change of one configuration object.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        raw: New value as decoded JSON, None to delete the object.
        expected: Version that the change is based on, None if the object must not exist.
        actor: Operator who requests the change.
        reason: Reason given by the operator.
        attempt_id: Unique id of the change; a repeat with the same id is the same change.
    """

    kind: configuration.Kind
    name: str
    raw: Any
    expected: int | None
    actor: str
    reason: str
    attempt_id: str

    @property
    def key(self) -> str:
        """Returns the store key of the object."""
        return self.kind.key(self.name)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """A confirmed change; `changed` is False if the object had this value already."""

    key: str
    version: int
    attempt_id: str
    changed: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lost(failure.Failure):
    """A version conflict: the object is not at the expected version; nothing was changed.

    Attributes:
        current_version: Version of the object now, None if it does not exist or could not be read.
        changed_by: Operator who made the latest change, empty if not known.
    """

    current_version: int | None
    changed_by: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Absent(failure.Failure):
    """The object does not exist."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptReused(failure.Failure):
    """The attempt id belongs to another change of the same object; nothing was changed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotWritten(failure.Failure):
    """The store could not be read or written; nothing was changed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unsettled(failure.Failure):
    """The store did not confirm in time whether the change was written.

    Attributes:
        attempt_id: Id with which the operator may repeat the change safely.
    """

    attempt_id: str


Result = Accepted | Lost | Absent | AttemptReused | NotWritten | Unsettled | configuration.Problems


@dataclasses.dataclass(frozen=True, kw_only=True)
class Current:
    """The current state of an object.

    The version is None if the object never existed; the value is empty if it was deleted.
    """

    version: int | None = None
    stored: data.ConfigObject = data.ConfigObject(value="")

    @property
    def exists(self) -> bool:
        """Returns True if the object has a value."""
        return not self.stored.deleted

    @property
    def shown_version(self) -> int | None:
        """Returns the version that an operator sees, None for an object that does not exist."""
        return self.version if self.exists else None

    @property
    def changed_by(self) -> str:
        """Returns the operator of the latest change, empty if there is none."""
        return self.stored.audit[-1].actor if self.stored.audit else ""


def decode_current(stored: objects.Stored | None) -> Current:
    """Decodes an object read from the store or the replica; None means that it does not exist."""
    if stored is None:
        return Current()
    return Current(version=stored.version, stored=codec.from_json(stored.value, data.ConfigObject))
