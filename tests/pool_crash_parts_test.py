"""Requests with one part of a prompt that crashes each runner which begins to write an answer."""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import random

import pytest
import tornado.httpclient

from basilpost.core import clock, names
from basilpost.emulator import pool_fleet
from basilpost.routing import crash_evidence, crash_store, crashes
from tests import pool_nodes

# Bounds of the users' pages: crashes after which the part has to be known, the time that this may take,
# and arrivals of such requests at runners after it.
KNOWN_AFTER_CRASHES = 5
STABLE_SECONDS = 3.0
MAX_LATE_ARRIVALS = 3
# Sound requests are served at least half as often as before.
MIN_SERVED_RATIO = 0.5
FIRST_PART = "f0"
NODES = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A request that has ended; `crashing` is the part that crashes runners, empty for none.

    A status of 0 stands for a connection that ended without a whole answer.
    """

    sent_at: float
    crashing: str
    status: int
    code: str
    retry_after: str | None


class Callers:
    """Sends sound requests and requests with a crashing part to all nodes, for a while."""

    def __init__(self, bench, *, seed=0):
        self.calls = []
        self._bench = bench
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._tasks = set()
        self.nodes = list(range(len(bench.addresses)))

    async def run(self, *, seconds, every, crashing=""):
        """Sends a request each `every` seconds on average."""
        end = clock.elapsed() + seconds
        while clock.elapsed() < end:
            self.send(crashing)
            await asyncio.sleep(self._rng.expovariate(1.0 / every))

    def send(self, crashing=""):
        task = asyncio.create_task(self._send(crashing))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self):
        await asyncio.gather(*self._tasks)

    async def _send(self, crashing):
        number = next(self._numbers)
        # Requests of one subject share the second part; the last one is the request's own.
        subject = crashing or f"5{self._rng.randrange(8)}"
        prefix = f"{FIRST_PART}:40,{subject}:200,a{number:x}:50"
        sent_at = clock.elapsed()
        status, code, retry_after = 0, "", None
        with contextlib.suppress(tornado.httpclient.HTTPError, OSError):
            answer = await self._bench.call(
                "/draft/one",
                node=self._rng.choice(self.nodes),
                body=str(number).encode(),
                X_Prompt_Prefix=prefix,
            )
            status, code = answer.code, pool_nodes.error_code(answer)
            retry_after = answer.headers.get("Retry-After")
        self.calls.append(
            Call(
                sent_at=sent_at,
                crashing=crashing,
                status=status,
                code=code,
                retry_after=retry_after,
            )
        )

    def served(self, since, until):
        """Returns the share of the sound requests sent in a time that were answered."""
        sound = [call for call in self.calls if not call.crashing and since <= call.sent_at < until]
        assert len(sound) >= 20
        return sum(call.status == 200 for call in sound) / len(sound)


def crash_times(bench, part=""):
    """Returns when runners crashed, under requests with a part if one is given."""
    return sorted(
        crash.at
        for runner in bench.fleet.runners_by_id.values()
        for crash in runner.crashes
        if not part or part in crash.parts
    )


def arrivals(bench, part, since):
    """Returns the requests with a part that runners have begun to run since a time."""
    logs = (runner.runs for runner in bench.fleet.runners_by_id.values())
    return [run for run in itertools.chain(*logs) if part in run.parts and run.at > since]


def set_crash_parts(bench, *parts):
    for runner in bench.fleet.runners_by_id.values():
        runner.options.crash_parts = frozenset(parts)


def outcomes(callers, part, since):
    return collections.Counter(
        (call.status, call.code)
        for call in callers.calls
        if call.crashing == part and call.sent_at > since
    )


@pytest.mark.parametrize("seed", [1, 2])
async def test_requests_with_one_part_crash_runner_after_runner(seed):
    async with pool_nodes.running(nodes=NODES, fabric_domains=3, vms=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.events, runner.options.event_seconds = 15, 0.02
        set_crash_parts(bench, "bad")
        callers = Callers(bench, seed=seed)
        began_at = clock.elapsed()
        sound = asyncio.create_task(callers.run(seconds=14.0, every=0.05))
        await asyncio.sleep(3.0)
        crashing_since = clock.elapsed()
        await callers.run(seconds=11.0, every=0.25, crashing="bad")
        await sound
        await callers.finish()
        crashed = crash_times(bench)
        assert len(crashed) >= 2
        known_at = (crashed[:KNOWN_AFTER_CRASHES][-1]) + STABLE_SECONDS
        late = arrivals(bench, "bad", known_at)
        before = callers.served(began_at, crashing_since)
        after = callers.served(known_at + STABLE_SECONDS - 2.0, clock.elapsed())
        assert len(late) <= MAX_LATE_ARRIVALS, (len(crashed), len(late), before, after)
        assert after >= before * MIN_SERVED_RATIO, (len(crashed), before, after)


async def make_traffic(bench, callers, *, seconds, parts, every=0.25):
    """Sends sound requests all the while, and such with crashing parts after a second."""
    sound = asyncio.create_task(callers.run(seconds=seconds, every=0.04))
    await asyncio.sleep(1.0)
    await asyncio.gather(
        *(callers.run(seconds=seconds - 1.0, every=every, crashing=part) for part in parts)
    )
    await sound
    await callers.finish()


def causes(bench):
    """Returns the traits that each node refuses."""
    return [
        {str(trait) for trait in kernel.find(names.CRASHES, crashes.CrashTracker).causes_by_trait}
        for kernel in bench.kernels
    ]


def prepare(bench, *parts, **options):
    for runner in bench.fleet.runners_by_id.values():
        runner.options = dataclasses.replace(
            runner.options,
            events=15,
            event_seconds=0.02,
            crash_parts=frozenset(parts),
            **options,
        )


async def test_several_parts_at_once_crash_runners():
    parts = ("bad1", "bad2", "bad3")
    async with pool_nodes.running(nodes=NODES, fabric_domains=4, vms=6) as bench:
        await bench.wait_for_groups(4, pool_fleet.LARGE)
        prepare(bench, *parts)
        callers = Callers(bench, seed=3)
        await make_traffic(bench, callers, seconds=20.0, parts=parts, every=0.6)
        assert causes(bench) == [{f"part {part}" for part in parts}] * NODES
        crashed = crash_times(bench)
        for part in parts:
            assert len(arrivals(bench, part, crashed[-1] + STABLE_SECONDS)) == 0
            known_at = crash_times(bench, part)[:KNOWN_AFTER_CRASHES][-1] + STABLE_SECONDS
            assert len(arrivals(bench, part, known_at)) <= MAX_LATE_ARRIVALS
        assert callers.served(crashed[-1] + STABLE_SECONDS, clock.elapsed()) > 0.9


@pytest.mark.parametrize("lost", ["fabric-0", "fabric-"])
async def test_a_mass_loss_is_blamed_on_requests(lost):
    """One fabric domain or all are lost at once, several times."""
    async with pool_nodes.running(nodes=NODES, fabric_domains=3, vms=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        prepare(bench, entry_seconds=0.5, down_seconds=1.0)
        callers = Callers(bench, seed=4)
        traffic = asyncio.create_task(make_traffic(bench, callers, seconds=9.0, parts=()))
        for _ in range(4):
            await asyncio.sleep(1.7)
            for runner in bench.fleet.runners_by_id.values():
                if runner.member is not None and runner.fabric_domain.startswith(lost):
                    runner.crash()
        await traffic
        assert len(crash_times(bench)) > 10
        assert causes(bench) == [set()] * NODES


async def test_a_node_that_starts_runs_requests_that_all_others_refuse():
    """The others are killed or stopped one after the other, the store is away meanwhile."""
    async with pool_nodes.running(nodes=2, fabric_domains=3, vms=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        prepare(bench, "bad")
        callers = Callers(bench, seed=5)
        await make_traffic(bench, callers, seconds=5.0, parts=["bad"])
        assert causes(bench) == [{"part bad"}] * 2
        await bench.fleet.store.stop()
        await asyncio.sleep(0.5)
        late = asyncio.create_task(bench.add("late"))
        await asyncio.sleep(1.0)
        await bench.kernels[0].stop()
        await bench.kernels[1].stop()
        await bench.fleet.store.start()
        await late
        await pool_fleet.until(lambda: bench.relays[-1].ready)
        crashed = len(crash_times(bench))
        callers.nodes = [len(bench.addresses) - 1]
        await callers.run(seconds=2.0, every=0.2, crashing="bad")
        await callers.finish()
        assert len(crash_times(bench)) == crashed
        assert outcomes(callers, "bad", clock.elapsed() - 2.5).keys() == {(503, "quarantined")}


async def test_a_refusal_for_a_crashing_part_keeps_callers_waiting():
    async with pool_nodes.running(nodes=2, fabric_domains=3, vms=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        prepare(bench, "bad")
        callers = Callers(bench, seed=6)
        await make_traffic(bench, callers, seconds=5.0, parts=["bad"])
        began_at = clock.elapsed()
        answers = [
            await bench.draft(node=number % 2, X_Prompt_Prefix=f"f0:40,bad:200,x{number}:9")
            for number in range(10)
        ]
        assert clock.elapsed() - began_at < 0.5
        assert {(a.code, pool_nodes.error_code(a)) for a in answers} == {(503, "quarantined")}
        assert not any("Retry-After" in answer.headers for answer in answers)
        assert {answer.headers["Basilpost-Outcome"] for answer in answers} == {"not-run"}
        assert not any(bench.fleet.runs_of(answer.attempt) for answer in answers)


async def test_a_cause_found_while_the_store_is_away_is_unknown_to_a_node_that_starts_after_it():
    async with pool_nodes.running(nodes=2, fabric_domains=3, vms=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        prepare(bench, "bad")
        await bench.fleet.store.stop()
        tracker = bench.kernels[0].find(names.CRASHES, crashes.CrashTracker)
        for number in range(3):
            lost = crash_evidence.LostRequest(fingerprint=f"f{number}", parts=("f0", "bad"))
            other = crash_evidence.LostRequest(fingerprint=f"s{number}", parts=("f0",))
            tracker.record_crash(f"target-{number}", [lost, other])
            tracker.record_answer([crash_evidence.Trait(kind="part", value="f0")])
            await asyncio.sleep(crash_evidence.SEPARATE_SECONDS * 1.1)
        await pool_fleet.until(lambda: causes(bench) == [{"part bad"}] * 2)
        late = asyncio.create_task(bench.add("late"))
        await asyncio.sleep(0.5)
        await bench.fleet.store.start()
        await late
        callers = Callers(bench, seed=7)
        callers.nodes = [len(bench.addresses) - 1]
        await callers.run(seconds=2.0, every=0.02, crashing="bad")
        await callers.finish()
        assert crash_times(bench) == []
        assert (503, "quarantined") in outcomes(callers, "bad", 0.0)
        async with asyncio.timeout(6.0):
            while not (await bench.fleet.store.store.list(crash_store.PREFIX)).objects:
                await asyncio.sleep(0.1)
