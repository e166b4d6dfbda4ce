"""Cuts a resumable stream into whole events and knows the id of the last one.

A stream that goes on at another target must neither lose nor repeat an event, so nothing but whole
events is passed on.
"""

import dataclasses

from basilpost.gateway import events

_ID = b"id:"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Passed:
    """Whole events that may be passed on.

    Attributes:
        data: Their bytes.
        count: Their number.
        gap: True if an event is missing before one of them.
    """

    data: bytes
    count: int
    gap: bool


class Cutter:
    """One stream, over all the targets that it comes from.

    Attributes:
        last_id: Id of the last event passed on; the one that the caller named before the first.
    """

    def __init__(self, *, last_id: str) -> None:
        self.last_id = last_id
        self._rest = b""

    @property
    def at_boundary(self) -> bool:
        """Returns True if no part of an event is held back."""
        return not self._rest.strip()

    def restart(self) -> None:
        """Drops the part of an event that a broken stream left."""
        self._rest = b""

    def feed(self, chunk: bytes) -> Passed:
        """Takes in bytes and returns the new whole events."""
        cut = events.cut(self._rest + chunk)
        whole = cut.events + (events.DONE_EVENT if cut.done else b"")
        self._rest = cut.rest
        passed: list[bytes] = []
        gap = False
        for event in whole.split(events.SEPARATOR)[:-1]:
            event_id = _id_of(event)
            if event_id and not self._is_next(event_id):
                if self._is_old(event_id):
                    continue
                gap = True
                break
            passed.append(event + events.SEPARATOR)
            self.last_id = event_id or self.last_id
        return Passed(data=b"".join(passed), count=len(passed), gap=gap)

    def _is_next(self, event_id: str) -> bool:
        """Returns True unless both ids are numbers and are not in sequence."""
        if not (event_id.isdigit() and self.last_id.isdigit()):
            return True
        return int(event_id) == int(self.last_id) + 1

    def _is_old(self, event_id: str) -> bool:
        return int(event_id) <= int(self.last_id)


def _id_of(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin1")
    return ""
