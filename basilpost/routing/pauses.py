"""Keeps requests from targets whose runners have rejected one and asked for a pause.

A runner asks one node, so that node sends nothing until the pause is over. Other nodes are told and
use the target only if they have no other one: it may reject their requests as well. After the pause
each node sends one request and waits for its answer before it sends more.

The users allow two requests in a pause. In a long one, which may be meant otherwise (such as by a wrong
unit), the node uses them to test the runner. If it accepts one, other nodes use it again.
"""

import dataclasses
import itertools
import random
import uuid
from collections.abc import Iterator

import prometheus_client

from basilpost.core import clock, kernel, names
from basilpost.members import peers, recent_ids

# Pauses longer than this are logged as long; peers, and callers, are told no longer time.
LONG_PAUSE_SECONDS = 60.0
# Times from the beginning of a pause, and then from the first test, after which a request tests
# whether the runner has recovered. There are no more tests, as the users allow two requests.
TEST_SECONDS = (60.0, 600.0)
# The tests of several nodes differ by up to this share of the time.
TEST_SPREAD = 0.25
# Time after which a request that tests the end of a pause no longer keeps others back.
TRIAL_SECONDS = 1.0
# A pause whose end was not tested for this long is forgotten.
MEMORY_SECONDS = 30.0
# A pause that ends at most this much later than one that is known is not told again: all nodes that a
# runner rejects would tell all others of it.
TOLD_SLACK_SECONDS = 1.0
# Pauses, and runners with an invalid one, that are remembered; a fleet has some hundred targets.
MAX_PAUSES = 4_096


@dataclasses.dataclass(frozen=True, kw_only=True)
class PauseReport:
    """Tells other nodes that a runner has asked the sender for a pause.

    Attributes:
        report_id: Unique id; a node can receive the message several times.
        lifetime: Id of the run of the runner process.
        seconds: Time left of the pause; 0 if the runner has accepted a request since.
    """

    report_id: str
    lifetime: str
    seconds: float


@dataclasses.dataclass(kw_only=True)
class _Pause:
    """A pause that a runner has asked this node for.

    Attributes:
        began_at: When its answer arrived, on `clock.elapsed`.
        until: End of the pause.
        test_seconds: Times to the tests that are left before the end, each from the one before.
        test_at: Time of the next test, infinite after the last one.
        trial_at: When the request was sent that tests its end, None before.
    """

    began_at: float
    until: float
    test_seconds: Iterator[float]
    test_at: float
    trial_at: float | None = None


class RunnerPauses(kernel.Service):
    """The pauses that runners have asked this node for, and those that its peers tell of."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._log = kernel.log
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._pauses_by_lifetime: dict[str, _Pause] = {}
        # Ends of pauses that this node has told its peers of, or was told of.
        self._told_until_by_lifetime: dict[str, float] = {}
        self._ignored_lifetimes: set[str] = set()
        self._handled_reports = recent_ids.RecentIds()
        paused = prometheus_client.Gauge(
            "basilpost_paused_targets",
            "Targets whose runners have asked this node for a pause that is not over",
            registry=kernel.registry,
        )
        paused.set_function(self._count_paused)
        self._asked_total = prometheus_client.Counter(
            "basilpost_pauses_total",
            "Pauses that runners have asked this node for",
            registry=kernel.registry,
        )
        self._peers.handle(PauseReport, self._on_report)
        self._peers.subscribe(self._on_stream)

    def may_send(self, lifetime: str) -> bool:
        """Returns True if this node may send a request to a runner now."""
        return self.seconds_until_free(lifetime) <= 0.0

    def seconds_until_free(self, lifetime: str) -> float:
        """Returns the time until this node may send to a runner, 0 if it may now."""
        pause = self._pauses_by_lifetime.get(lifetime)
        if pause is None:
            return 0.0
        now = clock.elapsed()
        if now < pause.until:
            return max(0.0, min(pause.until, pause.test_at) - now)
        if pause.trial_at is not None:
            return max(0.0, pause.trial_at + TRIAL_SECONDS - now)
        return 0.0

    def is_told(self, lifetime: str) -> bool:
        """Returns True during a pause that a runner has asked some node for."""
        until = self._told_until_by_lifetime.get(lifetime)
        return until is not None and clock.elapsed() < until

    def is_paused(self, lifetime: str) -> bool:
        """Returns True if a runner has asked this node for a pause and not answered a request since."""
        return lifetime in self._pauses_by_lifetime

    def record_sent(self, lifetime: str) -> None:
        """Records a request that is sent to a runner; in and after a pause it tests the runner."""
        pause = self._pauses_by_lifetime.get(lifetime)
        if pause is None:
            return
        pause.trial_at = clock.elapsed()
        if pause.trial_at < pause.until:
            pause.test_at = pause.trial_at + next(pause.test_seconds)

    def record_asked(self, lifetime: str, target_id: str, seconds: float) -> None:
        """Records that a runner has rejected a request and asked for a pause, and tells the peers."""
        now = clock.elapsed()
        known = self._pauses_by_lifetime.get(lifetime)
        if known is not None and now < known.until:
            # Requests that were sent before the pause are rejected as well, and so may a test be.
            known.began_at = now
            known.until = max(now + seconds, known.until)
            return
        if known is None:
            self._make_room(now)
        test_seconds = _test_times()
        self._pauses_by_lifetime[lifetime] = _Pause(
            began_at=now,
            until=now + seconds,
            test_seconds=test_seconds,
            test_at=now + next(test_seconds),
        )
        self._asked_total.inc()
        self._log.info("target_paused", target=target_id, seconds=round(seconds, 3))
        if seconds > LONG_PAUSE_SECONDS:
            self._log.warning("target_pause_long", target=target_id, seconds=round(seconds, 3))
        told = min(seconds, LONG_PAUSE_SECONDS)
        if self._is_news(lifetime, now + told) and self._has_room_for(lifetime):
            self._told_until_by_lifetime[lifetime] = now + told
            self._peers.broadcast(self._report(lifetime, told))

    def record_accepted(self, lifetime: str, target_id: str, *, sent_at: float) -> None:
        """Records an answer that asks for no pause, to a request that was sent at a time.

        Other nodes use the runner again if it was asked for before the request was sent. For this node
        the pause goes on to its end, as the runner has asked for it.
        """
        pause = self._pauses_by_lifetime.get(lifetime)
        if pause is None or sent_at <= pause.began_at:
            return
        if clock.elapsed() >= pause.until:
            del self._pauses_by_lifetime[lifetime]
        self._log.info(
            "target_resumed",
            target=target_id,
            seconds=round(clock.elapsed() - pause.began_at, 3),
        )
        if self._told_until_by_lifetime.pop(lifetime, None) is not None:
            self._peers.broadcast(self._report(lifetime, 0.0))

    def _is_news(self, lifetime: str, until: float) -> bool:
        """Returns True if no pause is known at this node that lasts nearly as long as a given one."""
        return until - self._told_until_by_lifetime.get(lifetime, 0.0) > TOLD_SLACK_SECONDS

    def record_invalid(self, lifetime: str, target_id: str, text: str) -> None:
        """Logs once for each runner that the time it names is not valid."""
        if lifetime in self._ignored_lifetimes or len(self._ignored_lifetimes) >= MAX_PAUSES:
            return
        self._ignored_lifetimes.add(lifetime)
        self._log.warning("target_pause_ignored", target=target_id, value=text)

    def _count_paused(self) -> int:
        now = clock.elapsed()
        return sum(pause.until > now for pause in self._pauses_by_lifetime.values())

    def _make_room(self, now: float) -> None:
        """Forgets pauses that were over long ago, or the one that ends first if there are too many."""
        self._pauses_by_lifetime = {
            lifetime: pause
            for lifetime, pause in self._pauses_by_lifetime.items()
            if now - pause.until < MEMORY_SECONDS
        }
        if len(self._pauses_by_lifetime) >= MAX_PAUSES:
            first = min(
                self._pauses_by_lifetime,
                key=lambda lifetime: self._pauses_by_lifetime[lifetime].until,
            )
            del self._pauses_by_lifetime[first]

    async def _on_report(self, sender: str, message: PauseReport) -> None:
        """Applies a report, and passes it on if it tells this node something new."""
        if not self._handled_reports.add(message.report_id):
            return
        now = clock.elapsed()
        self._told_until_by_lifetime = {
            lifetime: until
            for lifetime, until in self._told_until_by_lifetime.items()
            if until > now
        }
        if not message.seconds > 0.0:
            if self._told_until_by_lifetime.pop(message.lifetime, None) is not None:
                self._peers.broadcast(message)
            return
        until = now + min(message.seconds, LONG_PAUSE_SECONDS)
        if self._is_news(message.lifetime, until) and self._has_room_for(message.lifetime):
            self._told_until_by_lifetime[message.lifetime] = until
            self._peers.broadcast(message)

    def _has_room_for(self, lifetime: str) -> bool:
        told = self._told_until_by_lifetime
        return lifetime in told or len(told) < MAX_PAUSES

    def _on_stream(self, node_id: str, is_open: bool) -> None:
        """Tells a peer the pauses in force when a stream to it opens."""
        if not is_open:
            return
        now = clock.elapsed()
        for lifetime, pause in self._pauses_by_lifetime.items():
            if pause.until > now:
                told = min(pause.until - now, LONG_PAUSE_SECONDS)
                self._peers.send(node_id, self._report(lifetime, told))

    def _report(self, lifetime: str, seconds: float) -> PauseReport:
        report = PauseReport(report_id=uuid.uuid4().hex, lifetime=lifetime, seconds=seconds)
        self._handled_reports.add(report.report_id)
        return report


def _test_times() -> Iterator[float]:
    """Yields the times to each test of a pause, and then infinity."""
    return itertools.chain(
        (seconds * random.uniform(1.0, 1.0 + TEST_SPREAD) for seconds in TEST_SECONDS),
        itertools.repeat(float("inf")),
    )
