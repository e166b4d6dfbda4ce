"""Tests of the evidence that a group serves although the entry of a member has expired."""

import pytest

from basilpost.members import answer_evidence


@pytest.mark.parametrize(
    ("answered_at", "now", "proved"),
    [
        (None, 100.0, False),
        (98.6, 100.0, False),
        (98.8, 100.0, True),
        (101.0, 103.9, True),
        (101.0, 104.1, False),
    ],
)
def test_only_an_answer_that_was_sent_after_the_member_fell_silent_is_proof(
    answered_at, now, proved
):
    assert answer_evidence.proves_service(answered_at, incomplete_since=100.0, now=now) is proved


def test_old_evidence_is_forgotten():
    evidence = answer_evidence.AnswerEvidence()
    evidence.record(["a"], 1.0)
    evidence.record(["b"], 9.0)
    evidence.drop_old(answer_evidence.KEEP_SECONDS + 2.0)
    assert evidence.answered_at("a") is None
    assert evidence.answered_at("b") == 9.0
