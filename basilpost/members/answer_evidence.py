"""Remembers when targets were last seen to answer, at any node.

Load pattern: the entries of many runners expire at the same moment because the runners have lost the
store, not because they are gone. Their groups still serve, but a group with little traffic has no
answer under way just then. What was seen a moment ago tells it from a group that has really lost a
member, which answers nothing from that loss on.
"""

from collections.abc import Iterable

# An entry expires after at least two heartbeat intervals of silence, 2.4 s. What other nodes tell of
# answers is up to 1.1 s old: 0.3 s until a silence shows, and three reports on the way over hubs. So
# an answer seen within this time of the expiry was sent after the member fell silent.
ANSWERED_AFTER_LOSS_SECONDS = 1.3
# A group that was seen to answer without the entry of a member has to be seen again within this time.
# A head that refuses everything because a member has left sends no answers.
PROOF_SECONDS = 3.0
# Evidence older than this is dropped.
KEEP_SECONDS = 10.0


class AnswerEvidence:
    """Times on `clock.elapsed` at which targets were last seen to answer, by short target id."""

    def __init__(self) -> None:
        self._answered_at: dict[str, float] = {}

    def record(self, short_ids: Iterable[str], now: float) -> None:
        """Records that targets were sending answers at this moment."""
        self._answered_at.update(dict.fromkeys(short_ids, now))

    def answered_at(self, short_id: str) -> float | None:
        """Returns when a target was last seen to answer, None if it was not."""
        return self._answered_at.get(short_id)

    def drop_old(self, now: float) -> None:
        """Forgets targets that have not been seen to answer for `KEEP_SECONDS`."""
        self._answered_at = {
            short_id: at for short_id, at in self._answered_at.items() if now - at <= KEEP_SECONDS
        }


def proves_service(answered_at: float | None, *, incomplete_since: float, now: float) -> bool:
    """Returns True if a group still serves although the entry of a member has expired.

    Args:
        answered_at: When the group was last seen to answer, None for never.
        incomplete_since: When the entry expired.
        now: The current time; all three are on the same clock.
    """
    return (
        answered_at is not None
        and answered_at >= incomplete_since - ANSWERED_AFTER_LOSS_SECONDS
        and now - answered_at <= PROOF_SECONDS
    )
