"""The stored form of the ledger: records of non-idempotent requests, hashed into buckets.

A bucket is one object of the store. Expired records are dropped when their bucket is written for
another reason, so expiry needs no write of its own. A record whose outcome is open never expires:
only its node, an operator or the service can determine what became of the request.
"""

import base64
import dataclasses
import datetime
import enum

from basilpost.core import clock, codec, data, hashing, names
from basilpost.runs import ledger

BUCKET_COUNT = 65_536
# Time for which callers may rely on the record of a request with a known outcome.
PROMISED_HOURS = 24
# A record with a final outcome is dropped this long after its last change.
EXPIRY_HOURS = 48
# The answer is not kept if its body is larger.
MAX_KEPT_ANSWER_BYTES = 65_536
# Largest encoded bucket; a record that would make it larger is refused.
MAX_BUCKET_BYTES = 900_000
MAX_KEY_CHARACTERS = 256


class RunState(enum.Enum):
    """What is recorded of a request: whether it ran, or that this is open."""

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


FINAL_STATES = frozenset({RunState.RAN, RunState.NOT_RUN})


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeptAnswer:
    """The stored form of an answer, with the body as base64 text."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str

    def answer(self) -> ledger.Answer:
        """Returns the answer with its body decoded."""
        body = base64.b64decode(self.body)
        return ledger.Answer(status=self.status, headers=self.headers, body=body)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """The record of one non-idempotent request.

    Attributes:
        workspace: Workspace of the caller.
        service: Requested service.
        key: The caller's idempotency key.
        digest: Digest of method, path and body; a repeat must have the same.
        request_id: Id of the request that made the claim.
        state: Whether it ran, as far as known.
        attempt_id: Unique id of the claim.
        node_id: Node that holds the claim.
        outcome_path: Path at which the service can be asked for the outcome of the key, empty for
            none.
        confirmations: How often the claim was confirmed again; a change of it shows that the node
            is still active.
        changed_at: Time of the last change of state, ISO 8601 in UTC.
        answer: The kept answer of a request that ran.
        reason: Why the outcome is unknown, or that a request ran although it was settled as not run.
        audit: Operators' decisions on this request.
    """

    workspace: str
    service: str
    key: str
    digest: str
    request_id: str
    state: RunState
    attempt_id: str
    node_id: str
    outcome_path: str = ""
    confirmations: int = 0
    changed_at: str = ""
    answer: KeptAnswer | None = None
    reason: str = ""
    audit: tuple[data.AuditEntry, ...] = ()

    @property
    def run_id(self) -> str:
        """Returns the id of the request within the ledger."""
        return run_id(self.workspace, self.service, self.key)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bucket:
    """The records of all requests whose ids have the same hash modulo the number of buckets."""

    records: tuple[Record, ...] = ()


def run_id(workspace: str, service: str, key: str) -> str:
    """Returns the id of a request within the ledger; a key counts per workspace and service."""
    return f"{workspace}\0{service}\0{key}"


def bucket_key(run_id: str, *, buckets: int = BUCKET_COUNT) -> str:
    """Returns the store's key of the bucket for a request's record."""
    return f"{names.RUN_PREFIX}{hashing.bucket_of(run_id, buckets):04x}"


def decode(raw: bytes) -> dict[str, Record]:
    """Decodes a stored bucket; returns its records by id."""
    bucket = codec.from_json(raw, Bucket)
    return {record.run_id: record for record in bucket.records}


def encode(records_by_id: dict[str, Record]) -> bytes | None:
    """Encodes a bucket; drops kept answers, the oldest first, while it is too large.

    Returns:
        The bytes, or None if the records do not fit even without answers.
    """
    raw = _encode_all(records_by_id)
    if len(raw) <= MAX_BUCKET_BYTES:
        return raw
    trimmed = dict(records_by_id)
    answered = [record for record in records_by_id.values() if record.answer is not None]
    for record in sorted(answered, key=lambda record: record.changed_at):
        trimmed[record.run_id] = dataclasses.replace(record, answer=None)
        raw = _encode_all(trimmed)
        if len(raw) <= MAX_BUCKET_BYTES:
            return raw
    return None


def without_expired(records_by_id: dict[str, Record]) -> dict[str, Record]:
    """Returns the records that have not expired."""
    now = datetime.datetime.fromisoformat(clock.utc_now())
    expiry = now - datetime.timedelta(hours=EXPIRY_HOURS)
    oldest_kept = expiry.isoformat(timespec="milliseconds")
    return {
        record_id: record
        for record_id, record in records_by_id.items()
        if record.state not in FINAL_STATES or record.changed_at >= oldest_kept
    }


def to_kept_answer(answer: ledger.Answer) -> KeptAnswer | None:
    """Returns the stored form of an answer, None if it is too large to be kept."""
    if len(answer.body) > MAX_KEPT_ANSWER_BYTES:
        return None
    body = base64.b64encode(answer.body).decode()
    return KeptAnswer(status=answer.status, headers=answer.headers, body=body)


def _encode_all(records_by_id: dict[str, Record]) -> bytes:
    return codec.to_json(Bucket(records=tuple(records_by_id.values())))
