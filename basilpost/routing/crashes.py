"""Knows requests that crash the runners which run them, and keeps them from the next ones.

The load pattern it answers: a request that fells each runner, and comes again at any node with the same
path, workspace and body. Nodes tell each other of each crash, over several hops in a large fleet. The innocent that were lost with it are
cleared by their next answer.
"""

import collections
import dataclasses
import uuid

import xxhash

from basilpost.core import clock
from basilpost.members import peers

# Runners that a request may fell before it is refused.
MAX_CRASHES = 3
# Crashes longer ago than this do not count: most are of runners that were lost for another reason.
MEMORY_SECONDS = 20.0
# Most requests that are remembered; each costs some hundred bytes.
MAX_SUSPECTS = 5_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashSeen:
    """Tells other nodes that a runner was lost under a request.

    Attributes:
        fingerprint: The request.
        crash_id: Names the crash, which a node may hear of several times.
    """

    fingerprint: str
    crash_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashCleared:
    """Tells other nodes that a suspected request was answered."""

    fingerprint: str


def request_fingerprint(workspace: str, target: str, body: bytes) -> str:
    """Returns what a request is known again by.

    Args:
        workspace: Workspace of the caller.
        target: Path and query.
        body: The whole body.
    """
    digest = xxhash.xxh3_64(f"{workspace}\0{target}\0".encode())
    digest.update(body)
    return digest.hexdigest()


class CrashTracker:
    """Crashes by request, seen by this node and told by others."""

    def __init__(self, *, network: peers.PeerNetwork) -> None:
        self._network = network
        self._seen_at: collections.OrderedDict[str, collections.deque[float]] = (
            collections.OrderedDict()
        )
        self._heard: collections.OrderedDict[str, None] = collections.OrderedDict()
        network.handle(CrashSeen, self._take_seen)
        network.handle(CrashCleared, self._take_cleared)

    def should_refuse(self, fingerprint: str) -> bool:
        """Returns True for a request that has felled too many runners."""
        seen_at = self._seen_at.get(fingerprint)
        return seen_at is not None and len(self._recent(seen_at)) >= MAX_CRASHES

    def record_crash(self, fingerprint: str) -> None:
        """Notes that a runner was lost under a request."""
        self._take(CrashSeen(fingerprint=fingerprint, crash_id=uuid.uuid4().hex))

    def record_answer(self, fingerprint: str) -> None:
        """Notes that a request was answered whole, which clears it."""
        if self._seen_at.pop(fingerprint, None) is not None:
            self._network.broadcast(CrashCleared(fingerprint=fingerprint))

    def _take(self, message: CrashSeen) -> None:
        """Notes a crash that was not heard of before, and passes it on."""
        if message.crash_id in self._heard:
            return
        self._heard[message.crash_id] = None
        if len(self._heard) > MAX_SUSPECTS:
            self._heard.popitem(last=False)
        self._note(message.fingerprint)
        self._network.broadcast(message)

    def _note(self, fingerprint: str) -> None:
        self._seen_at.setdefault(fingerprint, collections.deque(maxlen=MAX_CRASHES)).append(
            clock.elapsed()
        )
        self._seen_at.move_to_end(fingerprint)
        if len(self._seen_at) > MAX_SUSPECTS:
            self._seen_at.popitem(last=False)

    def _recent(self, seen_at: collections.deque[float]) -> list[float]:
        oldest = clock.elapsed() - MEMORY_SECONDS
        return [at for at in seen_at if at > oldest]

    async def _take_seen(self, sender: str, message: CrashSeen) -> None:
        self._take(message)

    async def _take_cleared(self, sender: str, message: CrashCleared) -> None:
        self.record_answer(message.fingerprint)
