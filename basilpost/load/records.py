"""Records of requests as their callers saw them, stored as lines of JSON.

All times are readings of the machine's monotonic clock, so that they can be compared with the logs
of emulated back ends on the same machine.
"""

import dataclasses
import enum
import json
from collections.abc import Iterable
from typing import TextIO


class Kind(enum.Enum):
    """The kind of a request: a completion, whole or streamed, or a call of a plain service."""

    COMPLETION = "completion"
    STREAM = "stream"
    LOOK_UP = "look-up"
    FILING = "filing"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """One request and its result.

    Attributes:
        request_id: Id that the request carried.
        kind: Kind of the request.
        workspace: Workspace that sent it.
        gateway: Base URL of the node that received it.
        key: Idempotency key, empty for none.
        scheduled: When it was due.
        sent: When it was sent.
        first_byte: When the first byte of the answer's body arrived, None if none did.
        finished: When the answer or failure was complete.
        status: HTTP status, 0 if none arrived.
        outcome: Header that says whether the request ran.
        target: Header with the group that answered.
        answered_ids: Request ids in the answer's headers and content.
        complete: True if the answer was received up to its proper end.
        answer_digest: Digest of the answer's content.
        expected_digest: Digest of the content that the request asked for.
        tokens: Tokens received.
        error: Code or text of the failure, empty for none.
    """

    request_id: str
    kind: Kind
    workspace: str
    gateway: str
    key: str = ""
    scheduled: float
    sent: float
    first_byte: float | None = None
    finished: float
    status: int = 0
    outcome: str = ""
    target: str = ""
    answered_ids: tuple[str, ...] = ()
    complete: bool = False
    answer_digest: str = ""
    expected_digest: str = ""
    tokens: int = 0
    error: str = ""

    @property
    def succeeded(self) -> bool:
        """True if the caller sees a successful answer without an error."""
        return 200 <= self.status < 300 and not self.error


def write_lines(records: Iterable[Record], file: TextIO) -> None:
    """Writes records as lines of JSON."""
    for record in records:
        fields = dataclasses.asdict(record) | {"kind": record.kind.value}
        file.write(json.dumps(fields, sort_keys=True) + "\n")


def read_lines(file: TextIO) -> list[Record]:
    """Reads records from lines of JSON."""
    lines = (json.loads(line) for line in file)
    return [
        Record(
            **fields | {"kind": Kind(fields["kind"]), "answered_ids": tuple(fields["answered_ids"])}
        )
        for fields in lines
    ]
