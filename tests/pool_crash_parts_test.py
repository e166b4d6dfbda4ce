"""Requests with one part of a prompt that crashes each runner which begins to write an answer."""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import random

import pytest
import tornado.httpclient

from basilpost.core import clock
from basilpost.emulator import pool_fleet
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


def crash_times(bench):
    return sorted(at for runner in bench.fleet.runners_by_id.values() for at in runner.crashes)


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
        crashes = crash_times(bench)
        assert len(crashes) >= 2
        known_at = (crashes[:KNOWN_AFTER_CRASHES][-1]) + STABLE_SECONDS
        late = arrivals(bench, "bad", known_at)
        before = callers.served(began_at, crashing_since)
        after = callers.served(known_at + STABLE_SECONDS - 2.0, clock.elapsed())
        assert len(late) <= MAX_LATE_ARRIVALS, (len(crashes), len(late), before, after)
        assert after >= before * MIN_SERVED_RATIO, (len(crashes), before, after)
