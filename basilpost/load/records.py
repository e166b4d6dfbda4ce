"""The record of one request as its caller saw it, one line of JSON each.

All times are readings of the machine's monotonic clock, so that they compare with the logs of the
emulated back ends on the same machine.
"""

import dataclasses
import enum
import json
from collections.abc import Iterable
from typing import TextIO


class Kind(enum.Enum):
    """What a request asks for."""

    COMPLETION = "completion"
    STREAM = "stream"
    LOOK_UP = "look-up"
    FILING = "filing"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """One request and what became of it.

    Attributes:
        request_id: Id that the request carried.
        kind: What it asked for.
        workspace: Who asked.
        gateway: Base URL of the node that it was sent to.
        key: Idempotency key, empty for none.
        scheduled: When it was due.
        sent: When it was sent.
        first_byte: When the first byte of the answer's body came, None for none.
        finished: When the answer or failure was complete.
        status: HTTP status, 0 if none came.
        outcome: Header that tells whether it ran.
        target: Header that names the group that answered.
        answered_ids: Request ids that the answer carried, in its head and in its content.
        complete: True if the answer came to its proper end.
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
        """Returns True if the caller takes this for a whole answer."""
        return 200 <= self.status < 300 and not self.error


def write_lines(records: Iterable[Record], file: TextIO) -> None:
    """Writes records as lines of JSON."""
    for record in records:
        plain = dataclasses.asdict(record) | {"kind": record.kind.value}
        file.write(json.dumps(plain, sort_keys=True) + "\n")


def read_lines(file: TextIO) -> list[Record]:
    """Reads records from lines of JSON."""
    plain = (json.loads(line) for line in file)
    return [
        Record(**one | {"kind": Kind(one["kind"]), "answered_ids": tuple(one["answered_ids"])})
        for one in plain
    ]
