"""Measures what a pool node's logs cost: processor time and bytes a request, at each level.

One run: the same requests go through a node process at each level in turn, twice over, before the same
stand-ins. The levels differ in nothing else, so their ratio is the cost of the lines.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import sys
import tempfile
from collections.abc import AsyncIterator

import psutil
import tornado.httpclient

from basilpost.core import codec
from basilpost.emulator import pool_fleet
from basilpost.load import measuring
from basilpost.node import pool_demo
from basilpost.settings import pool_schema

_LEVELS = ("error", "info", "debug")
_ROUNDS = 2
_REQUESTS = 600
_REQUESTS_PER_SECOND = 100
_READY_SECONDS = 10.0
_VARIABLE = "BASILPOST_CONFIG"


def main() -> None:
    """Prints the figures."""
    asyncio.run(_measure())


async def _measure() -> None:
    fleet = pool_fleet.PoolFleet(vms=6, plain_instances=2)
    await fleet.start()
    spent: dict[str, float] = dict.fromkeys(_LEVELS, 0.0)
    written: dict[str, int] = dict.fromkeys(_LEVELS, 0)
    for level in itertools.chain.from_iterable([_LEVELS] * _ROUNDS):
        seconds, size = await _run(fleet, level)
        spent[level] += seconds
        written[level] += size
    await fleet.stop()
    requests = _ROUNDS * _REQUESTS
    for level in _LEVELS:
        measuring.figure(f"log bytes a request, {level}", written[level] / requests, "bytes")
        cost = spent[level] / requests * 1000
        measuring.figure(f"processor time a request, {level}", cost, "ms")
        ratio = spent[level] / spent["error"]
        measuring.figure(f"processor time, {level} / error", ratio, "ratio")


async def _run(fleet: pool_fleet.PoolFleet, level: str) -> tuple[float, int]:
    """Returns processor seconds and log bytes of a node for the requests at one level."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "node.jsonc"
        settings = dataclasses.replace(
            pool_demo.node_settings("node", fleet.store.address), log_level=level
        )
        path.write_bytes(codec.to_json(settings))
        async with _node(path) as (process, size):
            client = tornado.httpclient.AsyncHTTPClient(force_instance=True, max_clients=200)
            await _ready(client, settings)
            before, size_before = _seconds(process), size[0]
            await _ask(client, settings, level)
            await asyncio.sleep(0.2)
            return _seconds(process) - before, size[0] - size_before


@contextlib.asynccontextmanager
async def _node(path: pathlib.Path) -> AsyncIterator[tuple[psutil.Process, list[int]]]:
    """Runs a node; the list holds the number of bytes that it has logged."""
    child = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "basilpost.node.pool_process"),
        env={**os.environ, _VARIABLE: str(path)},
        stdout=asyncio.subprocess.PIPE,
    )
    size = [0]

    async def read() -> None:
        assert child.stdout is not None
        while data := await child.stdout.read(65_536):
            size[0] += len(data)

    reading = asyncio.create_task(read())
    try:
        yield psutil.Process(child.pid), size
    finally:
        child.kill()
        await child.wait()
        await reading


async def _ready(
    client: tornado.httpclient.AsyncHTTPClient, settings: pool_schema.PoolNodeSettings
) -> None:
    async with asyncio.timeout(_READY_SECONDS):
        while True:
            with contextlib.suppress(OSError, tornado.httpclient.HTTPError):
                await client.fetch(f"http://{settings.readiness}/api/ready")
                return
            await asyncio.sleep(0.05)


async def _ask(
    client: tornado.httpclient.AsyncHTTPClient,
    settings: pool_schema.PoolNodeSettings,
    level: str,
) -> None:
    """Sends the requests at a steady rate."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    running = []
    for number in range(_REQUESTS):
        await asyncio.sleep(begun + number / _REQUESTS_PER_SECOND - loop.time())
        request = tornado.httpclient.HTTPRequest(
            f"http://{settings.callers}/lookup/{number}",
            headers=pool_fleet.call_headers(f"{settings.node_id}-{level}-{number}"),
        )
        running.append(client.fetch(request, raise_error=False))
    codes = {answer.code for answer in await asyncio.gather(*running)}
    if codes != {200}:
        raise RuntimeError(f"not all requests were served: {json.dumps(sorted(codes))}")


def _seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


if __name__ == "__main__":
    main()
