"""Recognises requests that crash the runners that run them, so that all nodes refuse them.

Nodes tell each other of crashed targets with the requests that were lost there, of answers that clear a
trait of such requests, and of causes, the traits that are refused. A stream that opens to a peer
begins with what this node knows, so that a node that starts needs no store for it. `crash_store`
keeps the causes in the platform's store. See `crash_evidence` for the decision.
"""

import asyncio
import collections
import dataclasses
import random
import uuid
from collections.abc import Callable, Iterable

import prometheus_client
import xxhash

from basilpost.core import clock, kernel, names, tasks
from basilpost.members import peers, recent_ids
from basilpost.routing import crash_evidence, crash_messages

# Time after which a crash no longer counts, and after which an answer is forgotten.
MEMORY_SECONDS = 600.0
# Time for which a cause is refused, unless an operator releases it.
CAUSE_SECONDS = 3600.0
# Time for other nodes' answers to arrive before a cause is chosen.
DECISION_DELAY_SECONDS = 0.15
# Nodes that had answers wait up to this long, so that few of them report the same ones.
ANSWER_DELAY_SECONDS = 0.1
# A report of answers that is newer than the known one by no more than this is not passed on.
ANSWER_ADVANCE_SECONDS = 1.0
# Crashes in which a request without any answer so far was lost, after which it is not sent again.
MAX_CRASHES_TO_RETRY = 1
# Time for which a target that crashed is avoided. Its entry in the store may last as long.
AVOID_SECONDS = 5.0
# Bounds on what is remembered.
MAX_CRASHES = 256
MAX_REQUESTS_PER_CRASH = 64
MAX_ANSWERED_TRAITS = 8_192
MAX_CAUSES = 256
MAX_RELEASED = 1_024
# Targets and requests that a cause lists as its evidence.
MAX_LISTED = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnownCause:
    """A cause and when its time is over, on `clock.elapsed`."""

    cause: crash_messages.CrashCause
    expires_at: float


def request_fingerprint(workspace: str, target: str, body: bytes | bytearray) -> str:
    """Returns a digest by which repeats of a request are recognised.

    Args:
        workspace: Workspace of the caller.
        target: Path and query.
        body: The whole body.
    """
    digest = xxhash.xxh3_64(f"{workspace}\0{target}\0".encode())
    digest.update(body)
    return digest.hexdigest()


class CrashTracker(kernel.Service):
    """The crashes, answers and causes that this node has seen or was told of.

    Attributes:
        causes_by_trait: The causes in force.
        on_cause: Called with each cause that was found here or came from a peer.
        on_crash: Called with the id of each target whose crash was seen here.
        heard_from_peer: True once a peer has sent what it knows.
    """

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self.causes_by_trait: dict[crash_evidence.Trait, KnownCause] = {}
        self.on_cause: Callable[[crash_messages.CrashCause], None] = lambda cause: None
        self.on_crash: Callable[[str], None] = lambda target_id: None
        self.heard_from_peer = False
        self._node_id = kernel.node_id
        self._log = kernel.log
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._crashes_by_target: collections.OrderedDict[str, crash_evidence.Crash] = (
            collections.OrderedDict()
        )
        self._answered_at: collections.OrderedDict[crash_evidence.Trait, float] = (
            collections.OrderedDict()
        )
        # Traits of lost requests, with the time of the last crash.
        self._suspected_at: dict[crash_evidence.Trait, float] = {}
        self._reported_at: dict[crash_evidence.Trait, float] = {}
        self._released_ids: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._ids_by_trait: dict[crash_evidence.Trait, set[str]] = {}
        self._handled_reports = recent_ids.RecentIds()
        self._reports = 0
        self._is_deciding = False
        self._crashes_total = prometheus_client.Counter(
            "basilpost_target_crashes_total",
            "Targets that crashed with requests in flight, seen here or by other nodes",
            registry=kernel.registry,
        )
        causes = prometheus_client.Gauge(
            "basilpost_crash_causes",
            "Traits of requests that are refused because they crash targets",
            registry=kernel.registry,
        )
        causes.set_function(lambda: len(self.causes_by_trait))
        self._peers.handle(crash_messages.CrashReport, self._on_crash_report)
        self._peers.handle(crash_messages.AnswerReport, self._on_answer_report)
        self._peers.handle(crash_messages.CrashCause, self._on_cause)
        self._peers.subscribe(self._on_stream)

    async def stop(self) -> None:
        """Cancels pending decisions."""
        await self._tasks.close()

    # What the forwarder asks and reports.

    def find_cause(
        self, traits: Iterable[crash_evidence.Trait]
    ) -> crash_messages.CrashCause | None:
        """Returns the cause for which a request with these traits is refused, None for others."""
        if not self.causes_by_trait:
            return None
        for trait in traits:
            known = self.causes_by_trait.get(trait)
            if known is not None and clock.elapsed() < known.expires_at:
                return known.cause
        return None

    def may_retry(self, traits: Iterable[crash_evidence.Trait]) -> bool:
        """Returns False for a lost request with a trait under which another target crashed before.

        A request whose traits were all answered since is sent again.
        """
        return all(
            crash_evidence.count_crashes(
                trait,
                self._crashes_by_target.values(),
                self._answered_at,
                self.causes_by_trait.keys(),
            )
            < MAX_CRASHES_TO_RETRY
            for trait in traits
            if trait in self._suspected_at
        )

    def avoided_among(self, target_ids: Iterable[str]) -> frozenset[str]:
        """Returns those of the targets that crashed lately and whose entry may be out of date."""
        oldest = clock.elapsed() - AVOID_SECONDS
        return frozenset(
            target_id
            for target_id in target_ids
            if target_id in self._crashes_by_target
            and self._crashes_by_target[target_id].at > oldest
        )

    def record_crash(
        self, target_id: str, requests: Iterable[crash_evidence.LostRequest], age: float = 0.0
    ) -> None:
        """Records that a target crashed `age` seconds ago, here and at the other nodes."""
        self._add_crash(
            crash_messages.CrashReport(target_id=target_id, age=age, requests=tuple(requests))
        )
        self.on_crash(target_id)

    def unexplained(self, target_id: str) -> crash_evidence.Crash | None:
        """Returns a crash with those of its lost requests that may have caused it, None without any.

        They were not answered since, and no cause that is known explains the crash. Parts of their prompts
        are left out: only the answers that nodes have seen clear a part that many requests share.
        """
        crash = self._crashes_by_target.get(target_id)
        if crash is None or not crash.traits.isdisjoint(self.causes_by_trait.keys()):
            return None
        requests = {
            lost.fingerprint: crash_evidence.LostRequest(fingerprint=lost.fingerprint, parts=())
            for lost in crash.requests.values()
            if crash_evidence.speaks_against(crash, lost.own_trait, self._answered_at)
        }
        return dataclasses.replace(crash, requests=requests) if requests else None

    def restore_crash(self, stored: crash_messages.StoredCrash, age: float) -> None:
        """Adds a crash of `age` seconds ago that the store has kept, unless it is known or forgotten."""
        if stored.target_id not in self._crashes_by_target and age < MEMORY_SECONDS:
            self._add_crash(
                crash_messages.CrashReport(
                    target_id=stored.target_id,
                    age=age,
                    requests=tuple(
                        crash_evidence.LostRequest(fingerprint=fingerprint, parts=())
                        for fingerprint in stored.requests
                    ),
                )
            )

    def record_answer(self, traits: Iterable[crash_evidence.Trait]) -> None:
        """Records that a request was answered, which clears its traits here and elsewhere."""
        now = clock.elapsed()
        cleared = []
        for trait in traits:
            is_suspected = trait in self._suspected_at
            if trait.kind == "part" or is_suspected:
                self._set_answered(trait, now)
            if is_suspected and self._reported_at.get(trait, 0.0) < self._suspected_at[trait]:
                self._reported_at[trait] = now
                cleared.append(crash_messages.AnsweredTrait(trait=trait, age=0.0))
        if cleared:
            self._peers.broadcast(self._answer_report(cleared))

    def apply_cause(self, cause: crash_messages.CrashCause) -> bool:
        """Takes over a cause or its release; returns False if it was known already."""
        self._ids_by_trait.setdefault(cause.trait, set()).add(cause.cause_id)
        if cause.released:
            return self._release(cause)
        if cause.cause_id in self._released_ids or cause.trait in self.causes_by_trait:
            return False
        if cause.age >= CAUSE_SECONDS:
            return False
        if len(self.causes_by_trait) >= MAX_CAUSES:
            self._forget_cause(min(self.causes_by_trait, key=self._expiry_of))
        self.causes_by_trait[cause.trait] = KnownCause(
            cause=cause, expires_at=clock.elapsed() + CAUSE_SECONDS - cause.age
        )
        return True

    def expire(self) -> list[crash_messages.CrashCause]:
        """Ends the causes whose time is over, forgets old crashes; returns those causes."""
        now = clock.elapsed()
        ended = [known.cause for known in self.causes_by_trait.values() if known.expires_at <= now]
        for cause in ended:
            self._log.info("crash_cause_expired", trait=str(cause.trait), cause=cause.cause_id)
            self._forget_cause(cause.trait)
        self._forget_old_crashes(now - MEMORY_SECONDS)
        return ended

    # Crashes and answers.

    def _add_crash(self, report: crash_messages.CrashReport) -> None:
        """Adds a report's requests to a crash and passes on what is new to this node."""
        known = self._crashes_by_target.get(report.target_id)
        before = known.requests if known is not None else {}
        new = [lost for lost in report.requests if lost.fingerprint not in before]
        new = new[: max(0, MAX_REQUESTS_PER_CRASH - len(before))]
        if known is not None and not new:
            return
        at = known.at if known is not None else clock.elapsed() - report.age
        self._crashes_by_target[report.target_id] = crash_evidence.Crash(
            target_id=report.target_id,
            at=at,
            requests={**before, **{lost.fingerprint: lost for lost in new}},
        )
        if known is None:
            self._crashes_total.inc()
        self._log.info(
            "target_crashed",
            target=report.target_id,
            requests=[lost.fingerprint for lost in new],
            parts=sorted({part for lost in new for part in lost.parts}),
        )
        for trait in {trait for lost in new for trait in lost.traits}:
            self._suspected_at[trait] = max(at, self._suspected_at.get(trait, at))
        while len(self._crashes_by_target) > MAX_CRASHES:
            self._forget_old_crashes(next(iter(self._crashes_by_target.values())).at)
        self._peers.broadcast(dataclasses.replace(report, requests=tuple(new)))
        self._tasks.spawn(self._report_answers(new), name="crash-answers")
        self._reports += 1
        if not self._is_deciding:
            self._is_deciding = True
            self._tasks.spawn(self._decide(), name="crash-decision")

    async def _report_answers(self, lost: list[crash_evidence.LostRequest]) -> None:
        """Reports answers that this node has seen to requests with the traits of lost ones.

        It waits a random time and leaves out what another node has reported meanwhile.
        """
        await asyncio.sleep(random.uniform(0.0, ANSWER_DELAY_SECONDS))
        now = clock.elapsed()
        answered = [
            crash_messages.AnsweredTrait(trait=trait, age=now - self._answered_at[trait])
            for trait in {trait for request in lost for trait in request.traits}
            if trait in self._answered_at and self._is_news(trait, self._answered_at[trait])
        ]
        if answered:
            for item in answered:
                self._reported_at[item.trait] = now - item.age
            self._peers.broadcast(self._answer_report(answered))

    def _is_news(self, trait: crash_evidence.Trait, at: float) -> bool:
        """Returns True if other nodes may not know of an answer as recent as this one."""
        reported_at = self._reported_at.get(trait)
        return reported_at is None or at > reported_at + ANSWER_ADVANCE_SECONDS

    async def _decide(self) -> None:
        """Looks for causes once answers that other nodes know of have arrived.

        While further reports come, it looks again after each delay.
        """
        try:
            decided = -1
            while decided != self._reports:
                decided = self._reports
                await asyncio.sleep(DECISION_DELAY_SECONDS)
                self._find_causes()
        finally:
            self._is_deciding = False

    def _find_causes(self) -> None:
        while found := crash_evidence.find_causes(
            crash_evidence.gather(
                self._crashes_by_target.values(), self._answered_at, self.causes_by_trait.keys()
            ),
            self._answered_at,
        ):
            for evidence in found:
                self._found(evidence)

    def _found(self, evidence: crash_evidence.Evidence) -> None:
        lost = {
            request.fingerprint
            for crash in evidence.crashes
            for request in crash.requests.values()
            if evidence.trait in request.traits
        }
        cause = crash_messages.CrashCause(
            cause_id=uuid.uuid4().hex,
            trait=evidence.trait,
            found_at=clock.utc_now(),
            node_id=self._node_id,
            crashes=evidence.count,
            targets=tuple(crash.target_id for crash in evidence.crashes[-MAX_LISTED:]),
            requests=tuple(sorted(lost)[:MAX_LISTED]),
        )
        if self.apply_cause(cause):
            self._log.warning(
                "crash_cause_found",
                trait=str(cause.trait),
                cause=cause.cause_id,
                crashes=cause.crashes,
                targets=list(cause.targets),
                requests=list(cause.requests),
            )
            self._peers.broadcast(cause)
            self.on_cause(cause)

    def _set_answered(self, trait: crash_evidence.Trait, at: float) -> None:
        if at < self._answered_at.get(trait, at):
            return
        self._answered_at[trait] = at
        self._answered_at.move_to_end(trait)
        if len(self._answered_at) > MAX_ANSWERED_TRAITS:
            self._answered_at.popitem(last=False)

    def _forget_old_crashes(self, until: float) -> None:
        kept = [crash for crash in self._crashes_by_target.values() if crash.at > until]
        self._crashes_by_target = collections.OrderedDict(
            (crash.target_id, crash) for crash in kept
        )
        traits = frozenset(trait for crash in kept for trait in crash.traits)
        self._suspected_at = {
            trait: at for trait, at in self._suspected_at.items() if trait in traits
        }
        self._reported_at = {
            trait: at for trait, at in self._reported_at.items() if trait in traits
        }

    # Causes.

    def _release(self, cause: crash_messages.CrashCause) -> bool:
        """Ends a cause for good; the crashes that spoke against it no longer count."""
        ids = self._ids_by_trait.pop(cause.trait, set())
        is_new = not ids <= self._released_ids.keys()
        for cause_id in ids:
            self._released_ids[cause_id] = None
        while len(self._released_ids) > MAX_RELEASED:
            self._released_ids.popitem(last=False)
        known = self.causes_by_trait.pop(cause.trait, None)
        if known is not None:
            self._set_answered(cause.trait, clock.elapsed())
            self._log.warning(
                "crash_cause_released",
                trait=str(cause.trait),
                cause=cause.cause_id,
                reason=cause.released,
            )
        return is_new

    def _forget_cause(self, trait: crash_evidence.Trait) -> None:
        self.causes_by_trait.pop(trait, None)
        self._ids_by_trait.pop(trait, None)

    def _expiry_of(self, trait: crash_evidence.Trait) -> float:
        return self.causes_by_trait[trait].expires_at

    # Messages.

    async def _on_crash_report(self, sender: str, message: crash_messages.CrashReport) -> None:
        self._add_crash(message)

    async def _on_answer_report(self, sender: str, message: crash_messages.AnswerReport) -> None:
        self.heard_from_peer = True
        if not self._handled_reports.add(message.report_id):
            return
        now = clock.elapsed()
        news = []
        for item in message.answered:
            at = now - item.age
            if item.trait in self._suspected_at:
                if self._is_news(item.trait, at):
                    news.append(item)
                self._reported_at[item.trait] = max(at, self._reported_at.get(item.trait, at))
            self._set_answered(item.trait, at)
        if news:
            self._peers.broadcast(dataclasses.replace(message, answered=tuple(news)))

    async def _on_cause(self, sender: str, message: crash_messages.CrashCause) -> None:
        if self.apply_cause(message):
            self._log.info(
                "crash_cause_learned",
                trait=str(message.trait),
                cause=message.cause_id,
                source=sender,
            )
            self._peers.broadcast(message)
            self.on_cause(message)

    def _on_stream(self, node_id: str, is_open: bool) -> None:
        """Sends a peer what this node knows when a stream to it opens."""
        if not is_open:
            return
        now = clock.elapsed()
        for known in self.causes_by_trait.values():
            age = CAUSE_SECONDS - (known.expires_at - now)
            self._peers.send(node_id, dataclasses.replace(known.cause, age=max(0.0, age)))
        for crash in self._crashes_by_target.values():
            report = crash_messages.CrashReport(
                target_id=crash.target_id,
                age=max(0.0, now - crash.at),
                requests=tuple(crash.requests.values()),
            )
            self._peers.send(node_id, report)
        answered = [
            crash_messages.AnsweredTrait(trait=trait, age=now - self._answered_at[trait])
            for trait in self._suspected_at
            if trait in self._answered_at
        ]
        self._peers.send(node_id, self._answer_report(answered))

    def _answer_report(
        self, answered: Iterable[crash_messages.AnsweredTrait]
    ) -> crash_messages.AnswerReport:
        report = crash_messages.AnswerReport(report_id=uuid.uuid4().hex, answered=tuple(answered))
        self._handled_reports.add(report.report_id)
        return report
