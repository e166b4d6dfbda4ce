"""Crowds of callers outside the limits: a node lives, stays within its memory and serves others.

The reference is a machine of 300 MB that 2,400 connections reach. Here the memory and the connections
are smaller by the same factor, less what a node needs by itself.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import resource
import sys

import pytest
import tornado.httpclient

from basilpost.core import codec
from basilpost.emulator import pool_fleet
from basilpost.node import pool_demo
from tests import crowds

MEMORY_MB = 120
BYTES_PER_MB = 1_000_000
CONNECTIONS = 700
# Descriptors that the machine allows the process, and those that it may use: its connections to the
# store, to peers and to runners need some as well.
ALLOWED_DESCRIPTORS = 1_024
MAX_DESCRIPTORS = 950
CROWD_SECONDS = 6.0
SAMPLE_SECONDS = 0.05
START_SECONDS = 20.0
BUDGET_MS = 3_000
TRIES = 6
# Pause before a try after one that was not answered at all.
UNANSWERED_PAUSE_SECONDS = 1.0
FILING_BYTES = 200_000
ANSWER_BYTES = 2_000_000
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": crowds.MAX_BODY_BYTES,
    "headerTimeoutMs": 2_000,
    "idleTimeoutMs": 4_000,
}

pytestmark = [pytest.mark.crowd, pytest.mark.processes, pytest.mark.timeout(150)]


@dataclasses.dataclass(kw_only=True)
class Result:
    """What a crowd did to a node.

    Attributes:
        lives: True if the process has not ended.
        peak_bytes: Most memory that the process had.
        peak_descriptors: Most descriptors that it had open.
        answered: Whether a look-up and a filing were served beside the crowd and after it.
    """

    lives: bool
    peak_bytes: int
    peak_descriptors: int
    answered: dict[str, bool]


class CrowdedNode:
    """A node process before an emulated platform, which a crowd of callers reaches."""

    def __init__(self, folder):
        spec = pool_fleet.configuration() | {"limits": LIMITS}
        self.fleet = pool_fleet.PoolFleet(vms=0, plain_instances=2, spec=spec)
        self._folder = folder
        self._peak_descriptors = 0
        self._numbers = iter(range(1_000))
        self._client = tornado.httpclient.AsyncHTTPClient(force_instance=True)

    async def start(self):
        await self.fleet.start()
        settings = pool_demo.node_settings("node-0", self.fleet.store.address)
        self.settings = dataclasses.replace(settings, memory_mb=MEMORY_MB)
        path = self._folder / "node.jsonc"
        path.write_bytes(codec.to_json(self.settings))
        with (self._folder / "node.log").open("wb") as log:  # noqa: ASYNC230
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "basilpost.node.pool_process",
                env={**os.environ, "BASILPOST_CONFIG": str(path)}, stdout=log, stderr=log,
                preexec_fn=lower_descriptor_limit,
            )  # fmt: skip
        async with asyncio.timeout(START_SECONDS):
            while pause := await self._try("lookup", b"x"):
                await asyncio.sleep(pause)

    async def close(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self.fleet.stop()

    async def meet(self, kind, *, connections=CONNECTIONS):
        """Lets a crowd come, stay and leave; returns what was seen."""
        sampling = asyncio.create_task(self._sample_descriptors())
        crowd = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests.crowds",
            kind.__name__, self.settings.callers, str(connections),
        )  # fmt: skip
        answered = {}
        try:
            await asyncio.sleep(CROWD_SECONDS)
            assert crowd.returncode is None, "the crowd did not arrive"
            answered |= await self._serve_others("beside")
        finally:
            with contextlib.suppress(ProcessLookupError):
                crowd.kill()
            await crowd.wait()
        answered |= await self._serve_others("after")
        sampling.cancel()
        return Result(
            lives=self.process.returncode is None,
            peak_bytes=self._peak_bytes(),
            peak_descriptors=self._peak_descriptors,
            answered=answered,
        )

    async def _serve_others(self, when):
        return {
            f"lookup {when}": await self._is_served("lookup", b"x"),
            f"filing {when}": await self._is_served("filing", bytes(FILING_BYTES)),
        }

    async def _is_served(self, path, body):
        """Sends a request as callers do, who come back when a refusal says so."""
        for _ in range(TRIES):
            retry_after = await self._try(path, body)
            if retry_after == 0.0:
                return True
            await asyncio.sleep(retry_after)
        return False

    async def _try(self, path, body):
        """Sends a request once; returns 0 if it was served, otherwise the pause before the next try."""
        headers = pool_fleet.call_headers(f"ordinary-{next(self._numbers)}", budget_ms=BUDGET_MS)
        request = tornado.httpclient.HTTPRequest(
            f"http://{self.settings.callers}/{path}/a",
            method="POST",
            headers=headers,
            body=body,
            request_timeout=BUDGET_MS / 1000 + 0.5,
        )
        try:
            answer = await self._client.fetch(request, raise_error=False)
        except (tornado.httpclient.HTTPError, OSError):
            return UNANSWERED_PAUSE_SECONDS
        if answer.code == 200:
            return 0.0
        return float(answer.headers.get("Retry-After", UNANSWERED_PAUSE_SECONDS))

    def _peak_bytes(self):
        try:
            lines = pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return 0
        return 1024 * sum(int(line.split()[1]) for line in lines if line.startswith("VmHWM"))

    async def _sample_descriptors(self):
        while True:
            try:
                count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            except OSError:
                count = 0
            self._peak_descriptors = max(self._peak_descriptors, count)
            await asyncio.sleep(SAMPLE_SECONDS)


def lower_descriptor_limit():
    resource.setrlimit(resource.RLIMIT_NOFILE, (ALLOWED_DESCRIPTORS, ALLOWED_DESCRIPTORS))


def check(result):
    print(result)
    assert result.lives, result
    assert result.peak_bytes < MEMORY_MB * BYTES_PER_MB, result
    assert result.peak_descriptors < MAX_DESCRIPTORS, result
    assert all(result.answered.values()), result


@pytest.fixture
async def node(tmp_path):
    node = CrowdedNode(tmp_path)
    try:
        await node.start()
        yield node
    finally:
        await node.close()


async def test_chunked_bodies_without_an_end_exceed_the_memory(node):
    # What connections have read and nobody has counted ends the process.
    check(await node.meet(crowds.chunks_without_end))


async def test_chunked_bodies_without_the_last_chunk_exceed_the_memory(node):
    # The same for bodies that wait for room.
    check(await node.meet(crowds.chunks_below_the_limit))


async def test_chunked_bodies_above_the_limit_exceed_the_memory(node):
    # The same for bodies that are refused and discarded.
    check(await node.meet(crowds.chunks_above_the_limit))


async def test_heads_without_an_end_take_the_memory_of_bodies(node):
    # Incomplete heads hold memory that nobody has counted.
    check(await node.meet(crowds.heads_without_end))


async def test_many_tiny_chunks_hold_up_the_event_loop(node):
    # Chunks of many connections are parsed in turns of seconds, in which nothing else runs.
    check(await node.meet(crowds.tiny_chunks, connections=120))


async def test_small_bodies_that_stop_keep_their_room(node):
    # Room is held as long as a caller likes.
    check(await node.meet(crowds.small_bodies_without_the_last_byte))


async def test_large_bodies_that_stop_keep_their_room(node):
    # The same for bodies that fill all room by themselves.
    check(await node.meet(crowds.large_bodies_without_the_last_byte, connections=100))


async def test_lengths_that_do_not_come_keep_their_room(node):
    # Room is taken for what is announced and does not come.
    check(await node.meet(crowds.lengths_with_few_bytes, connections=60))


async def test_lengths_far_above_the_limit_are_read(node):
    # Lengths that no limit allows cost a node what they announce.
    check(await node.meet(crowds.lengths_far_above_the_limit))


async def test_bodies_of_one_byte_at_a_time_hold_up_others(node):
    # Slow bodies keep others from being served.
    check(await node.meet(crowds.one_byte_at_a_time, connections=300))


async def test_connections_without_a_request_take_all_descriptors(node):
    # No descriptor is left for the store, peers and runners.
    check(await node.meet(crowds.nothing, connections=1_200))


async def test_refused_bodies_that_go_on_are_read_to_their_end(node):
    # A refused body is read for as long as it comes.
    check(await node.meet(crowds.refused_bodies_that_go_on))


async def test_answers_that_are_not_read_exceed_the_memory(node):
    # Answers pile up for callers that do not read them.
    for runner in node.fleet.runners_of(pool_fleet.PLAIN_SERVICE):
        runner.options.padding_bytes = ANSWER_BYTES
    check(await node.meet(crowds.unread_answers))
