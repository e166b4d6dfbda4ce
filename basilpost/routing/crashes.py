"""Recognises requests that crash the runners that run them, so that they can be refused.

Such a request crashes one runner after the other, and comes again through any node with the same
workspace, path and body. Nodes tell each other of each crash, over several hops in a large fleet.
Harmless requests that were lost in the same crash are cleared by their next complete answer.
"""

import collections
import dataclasses
import uuid
from typing import Any

import xxhash

from basilpost.core import clock
from basilpost.members import peers

# Crashes after which a request is refused.
MAX_CRASHES = 3
# Older crashes do not count: most of them are of runners that were lost for another reason.
MEMORY_SECONDS = 20.0
# Requests that are remembered at most; each costs some hundred bytes.
MAX_SUSPECTS = 5_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashSeen:
    """Tells other nodes that a runner was lost while it ran a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        crash_id: Unique id of the crash; a node can receive the message several times.
    """

    fingerprint: str
    crash_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashCleared:
    """Tells other nodes that a suspected request was answered."""

    fingerprint: str


def request_fingerprint(workspace: str, target: str, body: bytes) -> str:
    """Returns a digest by which repeats of a request are recognised.

    Args:
        workspace: Workspace of the caller.
        target: Path and query.
        body: The whole body.
    """
    digest = xxhash.xxh3_64(f"{workspace}\0{target}\0".encode())
    digest.update(body)
    return digest.hexdigest()


class CrashTracker:
    """The recent crashes of each request, seen by this node or reported by others."""

    def __init__(self, *, network: peers.PeerNetwork, log: Any) -> None:
        self._log = log
        self._network = network
        self._crash_times: collections.OrderedDict[str, collections.deque[float]] = (
            collections.OrderedDict()
        )
        self._known_crash_ids: collections.OrderedDict[str, None] = collections.OrderedDict()
        network.handle(CrashSeen, self._on_crash_seen)
        network.handle(CrashCleared, self._on_crash_cleared)

    def should_refuse(self, fingerprint: str) -> bool:
        """Returns True for a request that has crashed `MAX_CRASHES` runners lately."""
        crash_times = self._crash_times.get(fingerprint)
        return crash_times is not None and len(self._recent(crash_times)) >= MAX_CRASHES

    def record_crash(self, fingerprint: str) -> None:
        """Counts a runner that was lost while it ran a request, here and at the other nodes."""
        self._process(CrashSeen(fingerprint=fingerprint, crash_id=uuid.uuid4().hex))

    def record_answer(self, fingerprint: str) -> None:
        """Clears a request that got its whole answer, here and at the other nodes."""
        if self._crash_times.pop(fingerprint, None) is not None:
            self._log.info("crash_cleared", fingerprint=fingerprint)
            self._network.broadcast(CrashCleared(fingerprint=fingerprint))

    def _process(self, message: CrashSeen) -> None:
        """Counts a crash that is new to this node, and passes it on to its peers."""
        if message.crash_id in self._known_crash_ids:
            return
        self._known_crash_ids[message.crash_id] = None
        if len(self._known_crash_ids) > MAX_SUSPECTS:
            self._known_crash_ids.popitem(last=False)
        self._count(message.fingerprint)
        self._log.info(
            "crash_counted",
            fingerprint=message.fingerprint,
            crashes=len(self._recent(self._crash_times[message.fingerprint])),
        )
        self._network.broadcast(message)

    def _count(self, fingerprint: str) -> None:
        self._crash_times.setdefault(fingerprint, collections.deque(maxlen=MAX_CRASHES)).append(
            clock.elapsed()
        )
        self._crash_times.move_to_end(fingerprint)
        if len(self._crash_times) > MAX_SUSPECTS:
            self._crash_times.popitem(last=False)

    def _recent(self, crash_times: collections.deque[float]) -> list[float]:
        oldest = clock.elapsed() - MEMORY_SECONDS
        return [at for at in crash_times if at > oldest]

    async def _on_crash_seen(self, sender: str, message: CrashSeen) -> None:
        self._process(message)

    async def _on_crash_cleared(self, sender: str, message: CrashCleared) -> None:
        self.record_answer(message.fingerprint)
