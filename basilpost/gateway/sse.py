"""Splits a resumable event stream into complete events and tracks the id of the last one.

A stream that is resumed on another target must neither lose nor repeat an event, so only complete
events are forwarded. What that target sends first has to carry the id of the event to go on with: an
error page, or an event of another stream, would otherwise be taken for a part of this one.
"""

import dataclasses

from basilpost.gateway import events

_ID = b"id:"
# Ids of more digits are text.
_MAX_ID_DIGITS = 18


@dataclasses.dataclass(frozen=True, kw_only=True)
class NewEvents:
    """Complete events that can be forwarded to the caller.

    Attributes:
        data: Bytes of the events.
        count: Number of events.
        has_gap: True if the target skipped an event; `data` ends before the gap.
        too_many: True if the target has sent more events than allowed; `data` is empty then.
    """

    data: bytes
    count: int
    has_gap: bool
    too_many: bool = False


class ResumableStream:
    """One event stream, over all the targets that send parts of it.

    Attributes:
        last_id: Id of the last event forwarded; before the first, the last event that the caller says
            it has.
    """

    def __init__(self, *, last_id: str, max_events: int | None = None) -> None:
        self.last_id = last_id
        self._max_events = max_events
        self._events_of_target = 0
        self._has_forwarded = False
        # True until the first event of a target that resumes the stream.
        self._is_resuming = False
        self._rest = bytearray()
        # Up to here the rest holds no separator.
        self._searched = 0

    @property
    def may_resume(self) -> bool:
        """Returns True if another target can be told where to go on."""
        return bool(self.last_id) or not self._has_forwarded

    @property
    def at_boundary(self) -> bool:
        """Returns True if no incomplete event is buffered."""
        return not bytes(self._rest).strip()

    @property
    def pending_bytes(self) -> int:
        """Returns the length of the incomplete event that is buffered."""
        return len(self._rest)

    def restart(self) -> None:
        """Discards an incomplete event, before the stream is resumed on another target."""
        self._rest.clear()
        self._searched = self._events_of_target = 0
        self._is_resuming = self._has_forwarded

    def fork(self) -> "ResumableStream":
        """Returns what is left of the stream, as another target would send it."""
        fork = ResumableStream(last_id=self.last_id, max_events=self._max_events)
        fork._is_resuming = fork._has_forwarded = self._has_forwarded
        return fork

    def feed(self, chunk: bytes) -> NewEvents:
        """Adds a chunk of the stream; returns the events that it completes, without repeated ones."""
        self._rest += chunk
        if self._rest.find(events.SEPARATOR, self._searched) < 0:
            self._searched = max(0, len(self._rest) - len(events.SEPARATOR) + 1)
            return NewEvents(data=b"", count=0, has_gap=False)
        split_buffer = events.split(bytes(self._rest))
        complete = split_buffer.events + (events.DONE_EVENT if split_buffer.done else b"")
        self._rest = bytearray(split_buffer.rest)
        self._searched = 0
        self._events_of_target += split_buffer.count
        if self._max_events is not None and self._events_of_target > self._max_events:
            return NewEvents(data=b"", count=0, has_gap=False, too_many=True)
        kept: list[bytes] = []
        has_gap = False
        for event in complete.split(events.SEPARATOR)[:-1]:
            event_id = _event_id(event)
            is_end = event + events.SEPARATOR == events.DONE_EVENT
            if self._is_resuming and not is_end and not self._may_resume(event_id):
                has_gap = True
                break
            if event_id and not self._is_next(event_id):
                if self._is_repeated(event_id):
                    continue
                has_gap = True
                break
            kept.append(event + events.SEPARATOR)
            self.last_id = event_id or self.last_id
            self._has_forwarded, self._is_resuming = True, False
        return NewEvents(data=b"".join(kept), count=len(kept), has_gap=has_gap)

    def _is_next(self, event_id: str) -> bool:
        """Returns True if the id follows the last one; ids that are not numbers count as following."""
        number, last = _number(event_id), _number(self.last_id)
        return number is None or last is None or number == last + 1

    def _is_repeated(self, event_id: str) -> bool:
        number, last = _number(event_id), _number(self.last_id)
        return number is not None and last is not None and number <= last

    def _may_resume(self, event_id: str) -> bool:
        """Returns True if an event with this id may come first from a target that resumes the stream."""
        if _number(self.last_id) is None:
            return bool(event_id)
        return _number(event_id) is not None


def _number(event_id: str) -> int | None:
    """Returns the number that an id is, None if it is text."""
    is_number = event_id.isascii() and event_id.isdigit() and len(event_id) <= _MAX_ID_DIGITS
    return int(event_id) if is_number else None


def _event_id(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin1")
    return ""
