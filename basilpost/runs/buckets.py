"""The stored form of the ledger: records of non-idempotent requests in hashed buckets.

A bucket is one object of the store. Expired records are dropped whenever their bucket is written
for another reason, so expiry costs no write of its own. A record whose outcome is open never
expires: only its node, an operator or the service itself can say what became of it.
"""

import base64
import dataclasses
import datetime
import enum

from basilpost.core import clock, codec, data, hashing, names
from basilpost.runs import ledger

BUCKET_COUNT = 65_536
PROMISED_HOURS = 24
EXPIRY_HOURS = 48
MAX_KEPT_ANSWER_BYTES = 65_536
MAX_BUCKET_BYTES = 900_000
MAX_KEY_CHARACTERS = 256


class RunState(enum.Enum):
    """What the store knows of a request."""

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


FINAL_STATES = frozenset({RunState.RAN, RunState.NOT_RUN})


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeptAnswer:
    """An answer as stored; `body` is base64 text."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str

    def answer(self) -> ledger.Answer:
        """Returns the answer as it was given."""
        body = base64.b64decode(self.body)
        return ledger.Answer(status=self.status, headers=self.headers, body=body)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """One non-idempotent request.

    Attributes:
        workspace: Who called.
        service: What was called.
        key: The caller's idempotency key.
        digest: Digest of the request; a repeat must have the same.
        request_id: Id of the request that made the claim.
        outcome_path: Path at which the service tells what became of the key, empty for none.
        state: What is known.
        attempt_id: Unique id of the claim.
        node_id: Node that holds the claim.
        confirmations: Times the claim was confirmed again; an observer sees by it that the
            claim's node is still active.
        changed_at: Time of the last change of state, ISO 8601 in UTC.
        answer: The kept answer of a request that ran.
        reason: Why the outcome is unknown.
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
        """Returns the id under which the request is found again."""
        return run_id(self.workspace, self.service, self.key)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bucket:
    """The records of all requests whose id hashes to one number."""

    records: tuple[Record, ...] = ()


def run_id(workspace: str, service: str, key: str) -> str:
    """Returns the id of a request: keys of different workspaces or services never meet."""
    return f"{workspace}\0{service}\0{key}"


def bucket_key(run_id: str, *, buckets: int = BUCKET_COUNT) -> str:
    """Returns the store's key of the bucket that a request's record is in."""
    return f"{names.RUN_PREFIX}{hashing.bucket_of(run_id, buckets):04x}"


def decode(raw: bytes) -> dict[str, Record]:
    """Returns a stored bucket's records by id."""
    bucket = codec.from_json(raw, Bucket)
    return {record.run_id: record for record in bucket.records}


def encode(records_by_id: dict[str, Record]) -> bytes | None:
    """Encodes a bucket, dropping kept answers, oldest first, while it is too large.

    Returns:
        The bytes, or None if the records do not fit even without answers.
    """
    raw = _encode_all(records_by_id)
    if len(raw) <= MAX_BUCKET_BYTES:
        return raw
    trimmed = dict(records_by_id)
    answered = [one for one in records_by_id.values() if one.answer is not None]
    for record in sorted(answered, key=lambda one: one.changed_at):
        trimmed[record.run_id] = dataclasses.replace(record, answer=None)
        raw = _encode_all(trimmed)
        if len(raw) <= MAX_BUCKET_BYTES:
            return raw
    return None


def without_expired(records_by_id: dict[str, Record]) -> dict[str, Record]:
    """Returns the records that must still be kept."""
    now = datetime.datetime.fromisoformat(clock.utc_now())
    oldest = now - datetime.timedelta(hours=EXPIRY_HOURS)
    limit = oldest.isoformat(timespec="milliseconds")
    return {
        key: record
        for key, record in records_by_id.items()
        if record.state not in FINAL_STATES or record.changed_at >= limit
    }


def to_kept_answer(answer: ledger.Answer) -> KeptAnswer | None:
    """Returns the answer in its stored form, None if it is too large to be kept."""
    if len(answer.body) > MAX_KEPT_ANSWER_BYTES:
        return None
    body = base64.b64encode(answer.body).decode()
    return KeptAnswer(status=answer.status, headers=answer.headers, body=body)


def _encode_all(records_by_id: dict[str, Record]) -> bytes:
    return codec.to_json(Bucket(records=tuple(records_by_id.values())))
