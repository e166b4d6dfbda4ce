"""Counts the bytes of request bodies in memory, and gives up slow uploads if there is no room for others.

A body that stops arriving would hold its room until the limit on the time of an upload.
"""

import dataclasses
from collections.abc import Callable

from basilpost.core import clock

# Time that an upload is given before it may make room for others.
MIN_SECONDS = 1.0
# Time in which bytes that have arrived count half.
HALF_LIFE_SECONDS = 1.0


@dataclasses.dataclass(kw_only=True, eq=False)
class Upload:
    """The body of one request.

    Attributes:
        give_up: Refuses the request, and releases the body, while it arrives.
        began_at: When its head arrived.
        data: What has arrived.
        progress: Bytes that have arrived lately, as counted at `progress_at`.
        progress_at: When the latest bytes arrived.
    """

    give_up: Callable[[], None]
    began_at: float
    data: bytearray = dataclasses.field(default_factory=bytearray)
    progress: float = 0.0
    progress_at: float = 0.0


class UploadMemory:
    """Counts the bytes of the bodies that a node holds.

    Attributes:
        held: Bytes of all bodies.
    """

    def __init__(self) -> None:
        self.held = 0
        self._arriving: set[Upload] = set()

    def begin(self, *, give_up: Callable[[], None]) -> Upload:
        """Returns the empty body of a request whose head has arrived."""
        upload = Upload(give_up=give_up, began_at=clock.monotonic())
        self._arriving.add(upload)
        return upload

    def add(self, upload: Upload, piece: bytes, *, max_held: int) -> bool:
        """Adds a piece to a body; returns False if there is no room and no other upload to give up.

        Given up is the one that has made least progress lately for the room that it holds; if that is
        this one, nothing is given up for it.
        """
        while self.held > max_held:
            slowest = self._slowest()
            if slowest is None or slowest is upload:
                return False
            self.release(slowest)
            slowest.give_up()
        now = clock.monotonic()
        upload.progress = _progress(upload, now) + len(piece)
        upload.progress_at = now
        upload.data += piece
        self.held += len(piece)
        return True

    def end(self, upload: Upload) -> bytes:
        """Returns a body that has arrived whole; its room is held until it is released."""
        self._arriving.discard(upload)
        return bytes(upload.data)

    def release(self, upload: Upload) -> None:
        """Gives the room of a body back."""
        self._arriving.discard(upload)
        self.held -= len(upload.data)
        upload.data = bytearray()

    def _slowest(self) -> Upload | None:
        now = clock.monotonic()
        candidates = (
            upload
            for upload in self._arriving
            if upload.data and now - upload.began_at >= MIN_SECONDS
        )
        return min(
            candidates,
            key=lambda upload: _progress(upload, now) / len(upload.data),
            default=None,
        )


def _progress(upload: Upload, now: float) -> float:
    halved = (now - upload.progress_at) / HALF_LIFE_SECONDS
    return upload.progress * float(2.0**-halved)
