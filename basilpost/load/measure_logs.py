"""Measures the cost of a pool node's logs per request: processor time and bytes at each level.

The same requests go through a node process at each level in turn, twice, with the same emulated
targets. Only the level differs, so the ratio of the times is the cost of the log lines.
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
_REPETITIONS = 2
_REQUESTS = 600
_REQUESTS_PER_SECOND = 100
_READY_SECONDS = 10.0
_CONFIG_VARIABLE = "BASILPOST_CONFIG"


def main() -> None:
    """Prints the figures."""
    asyncio.run(_measure())


async def _measure() -> None:
    fleet = pool_fleet.PoolFleet(vms=6, plain_instances=2)
    await fleet.start()
    cpu_seconds_by_level: dict[str, float] = dict.fromkeys(_LEVELS, 0.0)
    log_bytes_by_level: dict[str, int] = dict.fromkeys(_LEVELS, 0)
    for level in itertools.chain.from_iterable([_LEVELS] * _REPETITIONS):
        seconds, size = await _measure_level(fleet, level)
        cpu_seconds_by_level[level] += seconds
        log_bytes_by_level[level] += size
    await fleet.stop()
    requests = _REPETITIONS * _REQUESTS
    for level in _LEVELS:
        measuring.figure(
            f"log bytes a request, {level}", log_bytes_by_level[level] / requests, "bytes"
        )
        cost = cpu_seconds_by_level[level] / requests * 1000
        measuring.figure(f"processor time a request, {level}", cost, "ms")
        ratio = cpu_seconds_by_level[level] / cpu_seconds_by_level["error"]
        measuring.figure(f"processor time, {level} / error", ratio, "ratio")


async def _measure_level(fleet: pool_fleet.PoolFleet, level: str) -> tuple[float, int]:
    """Returns the processor seconds and log bytes of a node that serves all requests at a level."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "node.jsonc"
        settings = dataclasses.replace(
            pool_demo.node_settings("node", fleet.store.address), log_level=level
        )
        path.write_bytes(codec.to_json(settings))
        async with _node_process(path) as (process, log_bytes):
            client = tornado.httpclient.AsyncHTTPClient(force_instance=True, max_clients=200)
            await _wait_until_ready(client, settings)
            seconds_before, bytes_before = _cpu_seconds(process), log_bytes[0]
            await _send_requests(client, settings, level)
            await asyncio.sleep(0.2)
            return _cpu_seconds(process) - seconds_before, log_bytes[0] - bytes_before


@contextlib.asynccontextmanager
async def _node_process(path: pathlib.Path) -> AsyncIterator[tuple[psutil.Process, list[int]]]:
    """Runs a node; yields its process and a list with the number of bytes logged so far."""
    child = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "basilpost.node.pool_process"),
        env={**os.environ, _CONFIG_VARIABLE: str(path)},
        stdout=asyncio.subprocess.PIPE,
    )
    log_bytes = [0]

    async def count_output() -> None:
        assert child.stdout is not None
        while data := await child.stdout.read(65_536):
            log_bytes[0] += len(data)

    counting = asyncio.create_task(count_output())
    try:
        yield psutil.Process(child.pid), log_bytes
    finally:
        child.kill()
        await child.wait()
        await counting


async def _wait_until_ready(
    client: tornado.httpclient.AsyncHTTPClient, settings: pool_schema.PoolNodeSettings
) -> None:
    async with asyncio.timeout(_READY_SECONDS):
        while True:
            with contextlib.suppress(OSError, tornado.httpclient.HTTPError):
                await client.fetch(f"http://{settings.readiness}/api/ready")
                return
            await asyncio.sleep(0.05)


async def _send_requests(
    client: tornado.httpclient.AsyncHTTPClient,
    settings: pool_schema.PoolNodeSettings,
    level: str,
) -> None:
    """Sends the requests at a steady rate; raises RuntimeError unless all are served."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    running = []
    for number in range(_REQUESTS):
        await asyncio.sleep(started_at + number / _REQUESTS_PER_SECOND - loop.time())
        request = tornado.httpclient.HTTPRequest(
            f"http://{settings.callers}/lookup/{number}",
            headers=pool_fleet.call_headers(f"{settings.node_id}-{level}-{number}"),
        )
        running.append(client.fetch(request, raise_error=False))
    codes = {answer.code for answer in await asyncio.gather(*running)}
    if codes != {200}:
        raise RuntimeError(f"not all requests were served; statuses: {json.dumps(sorted(codes))}")


def _cpu_seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


if __name__ == "__main__":
    main()
