"""Tests of the room for uploads, with the clock of the event loop paused and advanced."""

import asyncio

import pytest

from basilpost.gateway import upload_memory

pytestmark = pytest.mark.looptime

MAX_HELD = 1000


class Bench:
    """Uploads, and the names of those that were given up."""

    def __init__(self):
        self.memory = upload_memory.UploadMemory()
        self.given_up = []
        self.uploads = {}

    def begin(self, name):
        self.uploads[name] = self.memory.begin(give_up=lambda: self.given_up.append(name))

    def add(self, name, size):
        return self.memory.add(self.uploads[name], b"x" * size, max_held=MAX_HELD)


async def test_the_upload_with_least_progress_for_its_room_is_given_up():
    bench = Bench()
    for name in ("stopped", "slow", "new"):
        bench.begin(name)
    bench.add("stopped", 600)
    for _ in range(4):
        bench.add("slow", 150)
        await asyncio.sleep(1.0)
    assert bench.add("new", 10)
    assert bench.given_up == ["stopped"]
    assert bench.memory.held == 610


async def test_a_trickle_is_no_progress():
    bench = Bench()
    for name in ("trickle", "slow", "new"):
        bench.begin(name)
    bench.add("trickle", 700)
    for _ in range(3):
        bench.add("slow", 100)
        may_go_on = bench.add("trickle", 1)
        await asyncio.sleep(1.0)
    assert not may_go_on
    assert bench.add("new", 10)
    assert bench.given_up == ["trickle"]


async def test_no_upload_is_given_up_at_once_or_after_it_has_arrived():
    bench = Bench()
    bench.begin("whole")
    bench.add("whole", 600)
    assert bench.memory.end(bench.uploads["whole"]) == b"x" * 600
    await asyncio.sleep(5.0)
    for name in ("fresh", "new"):
        bench.begin(name)
    bench.add("fresh", 600)
    assert not bench.add("new", 10)
    assert not bench.given_up
    bench.memory.release(bench.uploads["whole"])
    assert bench.add("new", 10)
    bench.memory.release(bench.uploads["whole"])
    assert bench.memory.held == 610


async def test_a_long_pause_leaves_no_progress():
    bench = Bench()
    for name in ("stopped", "new"):
        bench.begin(name)
    bench.add("stopped", 1001)
    await asyncio.sleep(1e6)
    assert bench.add("new", 1)
    assert bench.given_up == ["stopped"]
