"""Keeps requests to targets within the rates that their runners name.

A runner in need says in its answers how many requests per second it takes from all nodes together.
Nodes tell each other of such a limit and share it equally. A node that may not send to a target uses
another one. With very low limits only some nodes may send, as each sends a first request at any time.
"""

import dataclasses
import math
import uuid

import prometheus_client

from basilpost.core import clock, hashing, kernel, names
from basilpost.members import peers, recent_ids

# A limit that no answer has named for this long is forgotten.
MEMORY_SECONDS = 30.0
# A limit that is still named is told to the other nodes again after this time.
REPEAT_SECONDS = 1.0
# Limits below this count as this: answers to a few requests show when a runner has recovered.
MIN_PER_SECOND = 0.25
# Limits above this count as this: no target takes more, and the shares stay finite.
MAX_PER_SECOND = 1e6
# The runner allows for bursts of two seconds' requests and this many. Together, the nodes may have
# fewer requests saved up.
BURST_SECONDS = 2.0
BURST_REQUESTS = 3.0
# Limits that are remembered; a fleet has some hundred targets.
MAX_LIMITS = 4_096


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitReport:
    """Tells other nodes which limit a runner has named.

    Attributes:
        report_id: Unique id; a node can receive the message several times.
        lifetime: Id of the run of the runner process.
        per_second: Requests per second from all nodes together; None if it no longer names a limit.
        age: Seconds since the runner's answer.
    """

    report_id: str
    lifetime: str
    per_second: float | None
    age: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """What one node may send to a limited target.

    Attributes:
        per_second: Requests per second, 0 for none.
        burst: Requests that it may send at once after a pause.
    """

    per_second: float
    burst: int


@dataclasses.dataclass(kw_only=True)
class _Limit:
    """A named limit, and how far this node has used its share.

    Attributes:
        per_second: Requests per second from all nodes together.
        named_at: When a runner's answer named it last, on `clock.elapsed`.
        reported_at: When this node told the others last.
        used_until: Time that the requests sent so far have used up, at the rate of the share.
        shared_by: The nodes that `share` was computed for, None before.
        share: This node's share.
    """

    per_second: float
    named_at: float
    reported_at: float = -math.inf
    used_until: float = -math.inf
    shared_by: frozenset[str] | None = None
    share: Share = Share(per_second=0.0, burst=0)


def share_of(lifetime: str, *, per_second: float, node_id: str, node_ids: frozenset[str]) -> Share:
    """Returns the share of a node; the shares of all nodes add up to the limit."""
    limit = min(max(per_second, MIN_PER_SECOND), MAX_PER_SECOND)
    saved = BURST_SECONDS * limit + BURST_REQUESTS
    senders = min(len(node_ids), int(saved))
    if node_id not in node_ids:
        return Share(per_second=0.0, burst=0)
    if senders < len(node_ids):
        if node_id not in hashing.rendezvous_order(lifetime, node_ids)[:senders]:
            return Share(per_second=0.0, burst=0)
    return Share(per_second=limit / senders, burst=int(saved / senders))


class NamedLimits(kernel.Service):
    """The limits that runners name, as seen by this node and told by its peers."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._node_id = kernel.node_id
        self._log = kernel.log
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._limits_by_lifetime: dict[str, _Limit] = {}
        self._lifted_at: dict[str, float] = {}
        self._handled_reports = recent_ids.RecentIds()
        limited = prometheus_client.Gauge(
            "basilpost_limited_targets",
            "Targets whose runners name a limit on the requests that they take",
            registry=kernel.registry,
        )
        limited.set_function(lambda: len(self._limits_by_lifetime))
        self._peers.handle(LimitReport, self._on_report)
        self._peers.subscribe(self._on_stream)

    def may_send(self, lifetime: str, *, node_ids: frozenset[str]) -> bool:
        """Returns True if this node may send one more request to a runner now."""
        return self.seconds_until_free(lifetime, node_ids=node_ids) <= 0.0

    def seconds_until_free(self, lifetime: str, *, node_ids: frozenset[str]) -> float:
        """Returns the time until this node may send to a runner, infinite if others use its limit.

        Args:
            lifetime: Id of the run of the runner process.
            node_ids: All nodes that this node knows of, itself included.
        """
        limit = self._limits_by_lifetime.get(lifetime)
        if limit is None:
            return 0.0
        now = clock.elapsed()
        if now - limit.named_at > MEMORY_SECONDS:
            return 0.0
        share = self._share(lifetime, limit, node_ids)
        if not share.burst:
            return math.inf
        return max(0.0, limit.used_until - (share.burst - 1) / share.per_second - now)

    def record_sent(self, lifetime: str, *, node_ids: frozenset[str]) -> None:
        """Counts a request that this node sends to a runner."""
        limit = self._limits_by_lifetime.get(lifetime)
        if limit is None:
            return
        share = self._share(lifetime, limit, node_ids)
        if share.burst:
            limit.used_until = max(clock.elapsed(), limit.used_until) + 1.0 / share.per_second

    def record_named(self, lifetime: str, target_id: str, per_second: float) -> None:
        """Records the limit that an answer names, and tells the other nodes."""
        now = clock.elapsed()
        self._apply(lifetime, target_id, per_second, now)
        limit = self._limits_by_lifetime[lifetime]
        if now - limit.reported_at >= REPEAT_SECONDS:
            limit.reported_at = now
            self._peers.broadcast(self._report(lifetime, per_second, age=0.0))

    def record_unnamed(self, lifetime: str, target_id: str, *, sent_at: float) -> None:
        """Records a complete answer without a limit, to a request that was sent at a time.

        It ends a limit that was named before the request was sent.
        """
        limit = self._limits_by_lifetime.get(lifetime)
        if limit is not None and sent_at > limit.named_at:
            self._lift(lifetime, target_id, clock.elapsed())
            self._peers.broadcast(self._report(lifetime, None, age=0.0))

    def _share(self, lifetime: str, limit: _Limit, node_ids: frozenset[str]) -> Share:
        if limit.shared_by is not node_ids:
            limit.shared_by = node_ids
            limit.share = share_of(
                lifetime, per_second=limit.per_second, node_id=self._node_id, node_ids=node_ids
            )
        return limit.share

    def _apply(self, lifetime: str, target_id: str, per_second: float, named_at: float) -> None:
        known = self._limits_by_lifetime.get(lifetime)
        if known is None:
            self._make_room(clock.elapsed())
            # The first share is unused only from now on, not since long ago.
            known = _Limit(per_second=per_second, named_at=named_at, used_until=clock.elapsed())
            self._limits_by_lifetime[lifetime] = known
            self._log.info("target_limit", target=target_id, per_second=per_second)
        elif per_second != known.per_second:
            self._log.info("target_limit", target=target_id, per_second=per_second)
        if per_second != known.per_second:
            known.per_second, known.shared_by = per_second, None
        known.named_at = max(known.named_at, named_at)

    def _lift(self, lifetime: str, target_id: str, at: float) -> None:
        del self._limits_by_lifetime[lifetime]
        self._lifted_at[lifetime] = at
        self._log.info("target_limit", target=target_id, per_second=None)

    def _make_room(self, now: float) -> None:
        """Forgets limits that are no longer named, or the oldest one if there are too many."""
        self._lifted_at = {
            lifetime: at for lifetime, at in self._lifted_at.items() if at > now - MEMORY_SECONDS
        }
        for lifetime, limit in list(self._limits_by_lifetime.items()):
            if limit.named_at < now - MEMORY_SECONDS:
                del self._limits_by_lifetime[lifetime]
        if len(self._limits_by_lifetime) >= MAX_LIMITS:
            oldest = min(
                self._limits_by_lifetime,
                key=lambda lifetime: self._limits_by_lifetime[lifetime].named_at,
            )
            del self._limits_by_lifetime[oldest]

    async def _on_report(self, sender: str, message: LimitReport) -> None:
        """Applies a report and passes it on if it is news; the newer of two reports holds."""
        if not self._handled_reports.add(message.report_id):
            return
        at = clock.elapsed() - message.age
        known = self._limits_by_lifetime.get(message.lifetime)
        if message.per_second is None:
            if known is not None and at > known.named_at:
                self._lift(message.lifetime, message.lifetime, at)
                self._peers.broadcast(message)
            return
        if at <= self._lifted_at.get(message.lifetime, -math.inf):
            return
        is_news = known is None or known.per_second != message.per_second
        if known is not None and at < known.named_at:
            return
        self._apply(message.lifetime, message.lifetime, message.per_second, at)
        if is_news:
            self._peers.broadcast(message)

    def _on_stream(self, node_id: str, is_open: bool) -> None:
        """Tells a peer the limits in force when a stream to it opens."""
        if not is_open:
            return
        now = clock.elapsed()
        for lifetime, limit in self._limits_by_lifetime.items():
            age = now - limit.named_at
            if age < MEMORY_SECONDS:
                self._peers.send(node_id, self._report(lifetime, limit.per_second, age=age))

    def _report(self, lifetime: str, per_second: float | None, *, age: float) -> LimitReport:
        report = LimitReport(
            report_id=uuid.uuid4().hex, lifetime=lifetime, per_second=per_second, age=age
        )
        self._handled_reports.add(report.report_id)
        return report
