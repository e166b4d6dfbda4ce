"""The refusals of the ledger: one function for each code that a caller may see."""

from basilpost.core import failure
from basilpost.runs import ledger

STORE_RETRY_SECONDS = 1.0
RUNNING_RETRY_SECONDS = 1.0
UNKNOWN_RETRY_SECONDS = 10.0


def store_unavailable() -> failure.Refusal:
    """No claim without the store."""
    return failure.Refusal(
        reason="the request could not be claimed: the store is slow or out of reach",
        code="ledger_unavailable",
        status=503,
        retry_after=STORE_RETRY_SECONDS,
    )


def bucket_full() -> failure.Refusal:
    """No room for another record until older ones expire."""
    return failure.Refusal(
        reason="the request could not be claimed: its bucket of the ledger is full",
        code="ledger_full",
        status=503,
        retry_after=60.0,
    )


def key_reused(call: ledger.Call) -> failure.Refusal:
    """The key was used for another request."""
    return failure.Refusal(
        reason=f"key {call.key!r} was used for a request with another method, path or body",
        code="idempotency_key_reused",
        status=422,
    )


def key_too_long(longest: int) -> failure.Refusal:
    """The key is longer than the ledger keeps."""
    return failure.Refusal(
        reason=f"an idempotency key has at most {longest} characters",
        code="idempotency_key_too_long",
        status=400,
    )


def unknown(call: ledger.Call, reason: str) -> failure.Refusal:
    """Nobody knows whether the request ran; it will not run again until that is settled."""
    return failure.Refusal(
        reason=f"it is not known whether the request with key {call.key!r} has run: {reason}",
        code="outcome_unknown",
        status=409,
        outcome=failure.Outcome.UNKNOWN,
        retry_after=UNKNOWN_RETRY_SECONDS,
    )


def still_running(call: ledger.Call) -> failure.Refusal:
    """The request is still running."""
    return failure.Refusal(
        reason=f"the request with key {call.key!r} is still running",
        code="still_running",
        status=409,
        outcome=failure.Outcome.UNKNOWN,
        retry_after=RUNNING_RETRY_SECONDS,
    )


def answer_not_kept(call: ledger.Call) -> failure.Refusal:
    """The request has run, but its answer is gone."""
    return failure.Refusal(
        reason=f"the request with key {call.key!r} has run; its answer was not kept",
        code="answer_not_kept",
        status=409,
        outcome=failure.Outcome.RAN,
    )


def no_record(key: str) -> failure.Refusal:
    """The ledger has no record of the key."""
    return failure.Refusal(reason=f"there is no record of key {key!r}", code="no_run", status=404)


def not_an_outcome() -> failure.Refusal:
    """A request is settled as run or not run, nothing else."""
    return failure.Refusal(
        reason="a request is settled as ran or not-run", code="bad_outcome", status=400
    )


def already_settled(key: str) -> failure.Refusal:
    """The outcome is not open."""
    return failure.Refusal(
        reason=f"the outcome of key {key!r} is not open", code="already_settled", status=409
    )


def record_changed(key: str) -> failure.Refusal:
    """The record changed while it was being settled."""
    return failure.Refusal(
        reason=f"the record of key {key!r} changed meanwhile: look at it again",
        code="run_changed",
        status=409,
        retry_after=RUNNING_RETRY_SECONDS,
    )


def still_held(key: str, node_id: str) -> failure.Refusal:
    """The claim's node is not surely gone, so it may still run the request."""
    return failure.Refusal(
        reason=f"node {node_id} holds the claim of key {key!r} and is not surely gone",
        code="still_held",
        status=409,
        retry_after=UNKNOWN_RETRY_SECONDS,
    )


def settling_unconfirmed(key: str) -> failure.Refusal:
    """The store did not tell whether the decision took effect."""
    return failure.Refusal(
        reason=f"the store did not confirm the decision on key {key!r}: look at it again",
        code="settling_unconfirmed",
        status=503,
        outcome=failure.Outcome.UNKNOWN,
        retry_after=STORE_RETRY_SECONDS,
    )
