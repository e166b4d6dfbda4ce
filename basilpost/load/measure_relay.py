"""Measures the latency that a node adds to a request, and its cost of requests and tokens.

All figures are of one run: two runners and a quick one, one node that relays to them, and a client
with little overhead. Cores are the node's own processor time, which other work on the machine
disturbs less than rates.
"""

import asyncio
import contextlib
import itertools
import json
import time
from collections.abc import Iterator, Sequence

import psutil
from tornado import httpclient

from basilpost.load import measuring, relay_client, relay_node, report, stand_in_process

_RUNNERS = 2
_TOKENS_PER_SECOND = 50
_QUICK_TOKEN_INTERVAL_SECONDS = 0.0002
_STREAM_COUNTS = (60, 120, 240, 400)
_REQUEST_RATES = (50, 150, 300)
_FIFTH_OF_TARGET_STREAMS = 120
_SATURATING_STREAMS = 800
_SETTLE_SECONDS = 2.0
_MEASURING_SECONDS = 5.0
_LATENCY_PAIRS = 400
_REQUEST_GAP_SECONDS = 0.01
_CLOSED_LOOP_CALLERS = 32
_LONG_ANSWER_TOKENS = 2_000
_READY_SECONDS = 10.0

_numbers = itertools.count()


def main() -> None:
    """Prints the samples and figures."""
    with contextlib.ExitStack() as stack:
        intervals = [_QUICK_TOKEN_INTERVAL_SECONDS, *[1 / _TOKENS_PER_SECOND] * _RUNNERS]
        addresses = [stack.enter_context(_runner(interval)) for interval in intervals]
        node, pid = stack.enter_context(
            stand_in_process.started(*addresses, module="basilpost.load.relay_node")
        )
        asyncio.run(_measure(node, addresses, psutil.Process(pid)))


@contextlib.contextmanager
def _runner(token_interval: float) -> Iterator[str]:
    timing = ("--token-interval", str(token_interval), "--prefill-seconds", "0")
    limits = ("--max-in-flight", "5000", "--warm-seconds", "0")
    with stand_in_process.started("emulate", "runner", *timing, *limits) as (address, _):
        yield address


async def _measure(address: str, runner_addresses: list[str], process: psutil.Process) -> None:
    node = relay_client.Endpoint(address=address)
    quick_node = relay_client.Endpoint(address=address, model=relay_node.QUICK_MODEL)
    quick, *runners = [
        relay_client.Endpoint(address=runner_address, group_id=f"relay-{number}")
        for number, runner_address in enumerate(runner_addresses)
    ]
    for endpoint in (quick, *runners):
        await _load_runner(endpoint)
    await _added_latency(quick_node, quick, streams=0, name="idle")
    async with _streams(node, _FIFTH_OF_TARGET_STREAMS):
        await _added_latency(quick_node, quick, streams=_FIFTH_OF_TARGET_STREAMS, name="fifth")
    for rate in _REQUEST_RATES:
        await _request_cost(quick_node, process, rate)
    await _closed_loop_rates(quick_node, quick)
    for count in _STREAM_COUNTS:
        await _token_cost(node, process, count)
    await _saturated_token_rates(node, runners, process)


async def _load_runner(endpoint: relay_client.Endpoint) -> None:
    """Orders a runner to load its group's model and waits until it serves requests."""
    order = {
        "kind": "load",
        "fence": 1,
        "group_id": endpoint.group_id,
        "generation": 1,
        "members": [endpoint.address],
        "model": relay_node.MODEL,
        "model_version": "1",
    }
    client = httpclient.AsyncHTTPClient()
    await client.fetch(f"http://{endpoint.address}/orders", method="POST", body=json.dumps(order))
    async with asyncio.timeout(_READY_SECONDS):
        while True:
            with contextlib.suppress(RuntimeError):
                await relay_client.request_seconds(endpoint, "warm-up")
                return
            await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def _streams(endpoint: relay_client.Endpoint, count: int):  # type: ignore[no-untyped-def]
    """Keeps streams running at an endpoint; yields their calls."""
    calls = []
    for _ in range(count):
        calls.append(
            await relay_client.start_call(
                endpoint, _next_id(), tokens=_LONG_ANSWER_TOKENS, stream=True
            )
        )
        # Streams that start together would send all their tokens at the same times.
        await asyncio.sleep(1 / _TOKENS_PER_SECOND / 10)
    await asyncio.sleep(_SETTLE_SECONDS)
    try:
        yield calls
    finally:
        for call in calls:
            call.close()
        await asyncio.sleep(_SETTLE_SECONDS / 2)


async def _added_latency(
    node: relay_client.Endpoint, runner: relay_client.Endpoint, *, streams: int, name: str
) -> None:
    """Prints the latencies of alternating requests to a runner and through the node."""
    direct_seconds, relayed_seconds = [], []
    for _ in range(_LATENCY_PAIRS):
        direct_seconds.append(await relay_client.request_seconds(runner, _next_id()))
        await asyncio.sleep(_REQUEST_GAP_SECONDS)
        relayed_seconds.append(await relay_client.request_seconds(node, _next_id()))
        await asyncio.sleep(_REQUEST_GAP_SECONDS)
    direct, relayed = report.latency(direct_seconds), report.latency(relayed_seconds)
    for percentile in ("p50", "p95"):
        direct_ms, relayed_ms = getattr(direct, percentile), getattr(relayed, percentile)
        measuring.figure(f"direct {percentile}, {name}", direct_ms, "ms")
        measuring.figure(f"through the node {percentile}, {name}", relayed_ms, "ms")
        measuring.figure(f"added {percentile}, {name}", relayed_ms - direct_ms, "ms")
    measuring.figure(f"tokens a second meanwhile, {name}", streams * _TOKENS_PER_SECOND, "tokens/s")


async def _request_cost(node: relay_client.Endpoint, process: psutil.Process, rate: int) -> None:
    """Measures the cores that the node uses at a fixed rate of short requests."""
    loop = asyncio.get_running_loop()
    started_at, cpu_before = loop.time(), _cpu_seconds(process)
    running = []
    for number in range(int(rate * _MEASURING_SECONDS)):
        await asyncio.sleep(started_at + number / rate - loop.time())
        running.append(asyncio.create_task(relay_client.request_seconds(node, _next_id())))
    await asyncio.gather(*running)
    seconds = loop.time() - started_at
    used = (_cpu_seconds(process) - cpu_before) / seconds
    measuring.sample("gateway.cpu_by_requests", len(running) / seconds, "requests/s", used, "cores")


async def _token_cost(node: relay_client.Endpoint, process: psutil.Process, count: int) -> None:
    """Measures the cores and memory that the node uses with `count` running streams."""
    async with _streams(node, count) as calls:
        tokens, used = await _token_rate_and_cores(calls, process)
        memory = process.memory_info().rss
        measuring.sample("gateway.cpu_by_tokens", tokens, "tokens/s", used, "cores")
        measuring.sample("gateway.memory_by_streams", count, "streams", memory, "bytes")


async def _token_rate_and_cores(
    calls: Sequence[relay_client.Call], process: psutil.Process
) -> tuple[float, float]:
    """Returns the tokens a second of calls and the cores of the node while they run."""
    started_at, cpu_before = time.monotonic(), _cpu_seconds(process)
    events_before = sum(call.events for call in calls)
    await asyncio.sleep(_MEASURING_SECONDS)
    seconds = time.monotonic() - started_at
    tokens = (sum(call.events for call in calls) - events_before) / seconds
    return tokens, (_cpu_seconds(process) - cpu_before) / seconds


async def _closed_loop_rates(node: relay_client.Endpoint, runner: relay_client.Endpoint) -> None:
    """Prints the rates of short requests of closed-loop callers with and without the node."""
    direct = await _closed_loop_rate(runner)
    relayed = await _closed_loop_rate(node)
    measuring.figure("requests a second to a runner", direct, "requests/s")
    measuring.figure("requests a second through the node", relayed, "requests/s")
    measuring.figure("requests through the node / to a runner", relayed / direct, "ratio")


async def _closed_loop_rate(endpoint: relay_client.Endpoint) -> float:
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    counts = [0] * _CLOSED_LOOP_CALLERS

    async def send_requests(caller: int) -> None:
        while loop.time() < started_at + _MEASURING_SECONDS:
            await relay_client.request_seconds(endpoint, _next_id())
            counts[caller] += 1

    await asyncio.gather(*(send_requests(caller) for caller in range(_CLOSED_LOOP_CALLERS)))
    return sum(counts) / (loop.time() - started_at)


async def _saturated_token_rates(
    node: relay_client.Endpoint, runners: Sequence[relay_client.Endpoint], process: psutil.Process
) -> None:
    """Prints the rates of tokens, direct and relayed, of more streams than one core can relay."""
    async with contextlib.AsyncExitStack() as stack:
        calls_by_runner = [
            await stack.enter_async_context(_streams(runner, _SATURATING_STREAMS // _RUNNERS))
            for runner in runners
        ]
        direct, _ = await _token_rate_and_cores(
            [call for runner_calls in calls_by_runner for call in runner_calls], process
        )
    async with _streams(node, _SATURATING_STREAMS) as calls:
        relayed, used = await _token_rate_and_cores(calls, process)
    measuring.figure("tokens a second of the runners", direct, "tokens/s")
    measuring.figure("tokens a second through the node", relayed, "tokens/s")
    measuring.figure("tokens through the node / of the runners", relayed / direct, "ratio")
    measuring.figure("tokens a second for a core", relayed / used, "tokens/s")


def _cpu_seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _next_id() -> str:
    return f"relay-{next(_numbers)}"


if __name__ == "__main__":
    main()
