"""Measures what a node adds to a request, and what requests and tokens cost it.

All of one run: two runners, one node before them, and a light client. Cores are the node's own
processor time, so that other work on the machine blurs them less than it would blur rates.
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
_QUICK_INTERVAL_SECONDS = 0.0002
_STREAM_COUNTS = (60, 120, 240, 400)
_REQUEST_RATES = (50, 150, 300)
_FIFTH_OF_TARGET_STREAMS = 120
_SATURATING_STREAMS = 800
_SETTLE_SECONDS = 2.0
_WINDOW_SECONDS = 5.0
_PAIRS = 400
_PAIR_GAP_SECONDS = 0.01
_CLOSED_LOOP_CALLERS = 32
_LONG_ANSWER_TOKENS = 2_000
_READY_SECONDS = 10.0

_numbers = itertools.count()


def main() -> None:
    """Prints the samples and figures."""
    with contextlib.ExitStack() as stack:
        intervals = [_QUICK_INTERVAL_SECONDS, *[1 / _TOKENS_PER_SECOND] * _RUNNERS]
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
    node = relay_client.Place(address=address)
    quick_node = relay_client.Place(address=address, model=relay_node.QUICK_MODEL)
    quick, *runners = [
        relay_client.Place(address=one, group_id=f"relay-{number}")
        for number, one in enumerate(runner_addresses)
    ]
    for place in (quick, *runners):
        await _load(place)
    await _added_latency(quick_node, quick, streams=0, name="idle")
    async with _streams(node, _FIFTH_OF_TARGET_STREAMS):
        await _added_latency(quick_node, quick, streams=_FIFTH_OF_TARGET_STREAMS, name="fifth")
    for rate in _REQUEST_RATES:
        await _request_cost(quick_node, process, rate)
    await _closed_loops(quick_node, quick)
    for count in _STREAM_COUNTS:
        await _token_cost(node, process, count)
    await _saturation(node, runners, process)


async def _load(place: relay_client.Place) -> None:
    """Orders a runner into its group and waits until it answers."""
    order = {
        "kind": "load",
        "fence": 1,
        "group_id": place.group_id,
        "generation": 1,
        "members": [place.address],
        "model": relay_node.MODEL,
        "model_version": "1",
    }
    client = httpclient.AsyncHTTPClient()
    await client.fetch(f"http://{place.address}/orders", method="POST", body=json.dumps(order))
    async with asyncio.timeout(_READY_SECONDS):
        while True:
            with contextlib.suppress(RuntimeError):
                await relay_client.timed(place, "warm-up")
                return
            await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def _streams(place: relay_client.Place, count: int):  # type: ignore[no-untyped-def]
    """Keeps streams running through a place."""
    calls = []
    for _ in range(count):
        calls.append(
            await relay_client.call(place, _next_id(), tokens=_LONG_ANSWER_TOKENS, stream=True)
        )
        # Streams that begin together would send all their tokens at the same instants.
        await asyncio.sleep(1 / _TOKENS_PER_SECOND / 10)
    await asyncio.sleep(_SETTLE_SECONDS)
    try:
        yield calls
    finally:
        for one in calls:
            one.close()
        await asyncio.sleep(_SETTLE_SECONDS / 2)


async def _added_latency(
    node: relay_client.Place, runner: relay_client.Place, *, streams: int, name: str
) -> None:
    """Compares requests through the node with requests to a runner, in turns."""
    direct, relayed = [], []
    for _ in range(_PAIRS):
        direct.append(await relay_client.timed(runner, _next_id()))
        await asyncio.sleep(_PAIR_GAP_SECONDS)
        relayed.append(await relay_client.timed(node, _next_id()))
        await asyncio.sleep(_PAIR_GAP_SECONDS)
    without, with_node = report.latency(direct), report.latency(relayed)
    for percentile in ("p50", "p95"):
        before, after = getattr(without, percentile), getattr(with_node, percentile)
        measuring.figure(f"direct {percentile}, {name}", before, "ms")
        measuring.figure(f"through the node {percentile}, {name}", after, "ms")
        measuring.figure(f"added {percentile}, {name}", after - before, "ms")
    measuring.figure(f"tokens a second meanwhile, {name}", streams * _TOKENS_PER_SECOND, "tokens/s")


async def _request_cost(node: relay_client.Place, process: psutil.Process, rate: int) -> None:
    """Measures the node's cores at a fixed rate of short requests."""
    loop = asyncio.get_running_loop()
    begun, spent = loop.time(), _cores_spent(process)
    running = []
    for number in range(int(rate * _WINDOW_SECONDS)):
        await asyncio.sleep(begun + number / rate - loop.time())
        running.append(asyncio.create_task(relay_client.timed(node, _next_id())))
    await asyncio.gather(*running)
    seconds = loop.time() - begun
    used = (_cores_spent(process) - spent) / seconds
    measuring.sample("gateway.cpu_by_requests", len(running) / seconds, "requests/s", used, "cores")


async def _token_cost(node: relay_client.Place, process: psutil.Process, count: int) -> None:
    """Measures the node's cores and memory at a number of running streams."""
    async with _streams(node, count) as calls:
        tokens, used = await _window(calls, process)
        memory = process.memory_info().rss
        measuring.sample("gateway.cpu_by_tokens", tokens, "tokens/s", used, "cores")
        measuring.sample("gateway.memory_by_streams", count, "streams", memory, "bytes")


async def _window(
    calls: Sequence[relay_client.Call], process: psutil.Process
) -> tuple[float, float]:
    """Returns tokens a second and the node's cores over a while."""
    begun, spent = time.monotonic(), _cores_spent(process)
    events = sum(one.events for one in calls)
    await asyncio.sleep(_WINDOW_SECONDS)
    seconds = time.monotonic() - begun
    tokens = (sum(one.events for one in calls) - events) / seconds
    return tokens, (_cores_spent(process) - spent) / seconds


async def _closed_loops(node: relay_client.Place, runner: relay_client.Place) -> None:
    """Compares how many short requests a second go through, with and without the node."""
    direct = await _closed_loop(runner)
    relayed = await _closed_loop(node)
    measuring.figure("requests a second to a runner", direct, "requests/s")
    measuring.figure("requests a second through the node", relayed, "requests/s")
    measuring.figure("requests through the node / to a runner", relayed / direct, "ratio")


async def _closed_loop(place: relay_client.Place) -> float:
    loop = asyncio.get_running_loop()
    begun = loop.time()
    counts = [0] * _CLOSED_LOOP_CALLERS

    async def ask(caller: int) -> None:
        while loop.time() < begun + _WINDOW_SECONDS:
            await relay_client.timed(place, _next_id())
            counts[caller] += 1

    await asyncio.gather(*(ask(caller) for caller in range(_CLOSED_LOOP_CALLERS)))
    return sum(counts) / (loop.time() - begun)


async def _saturation(
    node: relay_client.Place, runners: Sequence[relay_client.Place], process: psutil.Process
) -> None:
    """Compares the tokens a second of more streams than one core can relay."""
    async with contextlib.AsyncExitStack() as stack:
        halves = [
            await stack.enter_async_context(_streams(one, _SATURATING_STREAMS // _RUNNERS))
            for one in runners
        ]
        direct, _ = await _window([one for half in halves for one in half], process)
    async with _streams(node, _SATURATING_STREAMS) as calls:
        relayed, used = await _window(calls, process)
    measuring.figure("tokens a second of the runners", direct, "tokens/s")
    measuring.figure("tokens a second through the node", relayed, "tokens/s")
    measuring.figure("tokens through the node / of the runners", relayed / direct, "ratio")
    measuring.figure("tokens a second for a core", relayed / used, "tokens/s")


def _cores_spent(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _next_id() -> str:
    return f"relay-{next(_numbers)}"


if __name__ == "__main__":
    main()
