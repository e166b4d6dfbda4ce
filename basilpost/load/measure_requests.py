"""Measures request handling on simulated targets; prints one JSON line for each figure.

Everything runs in one process with fixed seeds. Figures of queues and limits are of simulated time
and do not depend on the machine; processor times do.
"""

import asyncio
import collections
import contextlib
import dataclasses
import gc
import itertools
import json
import random
import sys
import time
import tracemalloc
from collections.abc import Coroutine, Iterable
from typing import Any

import looptime

from basilpost.core import clock, data, failure, kernel, names
from basilpost.groups import fakes as group_fakes
from basilpost.members import fakes
from basilpost.routing import admission, interfaces, limits, quarantine, tiers
from basilpost.runs import buckets, ledger, store_ledger
from basilpost.settings import schema
from basilpost.store import memory

SEED = 20
STORE_DELAY_SECONDS = 0.005
SUCCESS = data.Observation(reached=True, latency=0.01)
ANSWER = ledger.Answer(status=201, headers=(("Content-Type", "application/json"),), body=b"x" * 300)


@dataclasses.dataclass(kw_only=True)
class Bench:
    """A node whose targets, store and peers are fakes."""

    kernel: kernel.Kernel
    store: memory.MemoryStore
    slots: group_fakes.FakeSlots
    directory: fakes.FakeDirectory
    admission: admission.QueuedAdmission

    def request(
        self, number: int, workspace: str, *, seconds: float = 10.0, affinity: str = ""
    ) -> interfaces.Request:
        """Returns a request whose deadline is `seconds` from now."""
        return interfaces.Request(
            request_id=f"r{number}",
            workspace=workspace,
            service="chat",
            idempotent=True,
            deadline=clock.monotonic() + seconds,
            affinity=affinity,
            fingerprint=f"fingerprint-{number}",
        )


def make_bench(
    *,
    groups: int,
    slots_per_group: int = 16,
    workspaces: Iterable[data.Workspace] = (data.Workspace(name="w", rate=1e9, burst=1e9),),
    max_queued: int = 2000,
) -> Bench:
    """Returns a node whose targets are all in its own failure domain."""
    node, store = kernel.Kernel(node_id="n"), memory.MemoryStore()
    slots = group_fakes.FakeSlots(limit=slots_per_group)
    service = data.Service(name="chat", kind=data.ServiceKind.MODEL, pool="p")
    workspace_config = {workspace.name: workspace for workspace in workspaces}
    config = data.Config(services_by_name={"chat": service}, workspaces_by_name=workspace_config)
    directory = fakes.FakeDirectory(config=config, groups=tuple(map(_group, range(groups))))
    services: dict[str, object] = {
        names.SETTINGS: _settings(max_queued),
        names.OBJECTS: store,
        names.PEERS: fakes.FakePeers(node_id="n", hub=fakes.PeerHub()),
        names.REPLICA: fakes.FakeReplica(),
        names.STANDING: fakes.FakeStanding(),
        names.DIRECTORY: directory,
        names.SLOTS: slots,
        names.HEALTH: group_fakes.FakeHealth(),
    }
    for name, fake in services.items():
        node.register(name, fake)
    node.register(names.QUARANTINE, quarantine.CrashQuarantine(kernel=node))
    queued_admission = admission.QueuedAdmission(kernel=node, random_source=random.Random(SEED))
    return Bench(
        kernel=node, store=store, slots=slots, directory=directory, admission=queued_admission
    )


async def filings(*, concurrency: int, bucket_count: int, share_writes: bool) -> dict[str, Any]:
    """Measures the store calls and the added time of a filing at a concurrency."""
    bench = make_bench(groups=1)
    bench.store.faults.delay = STORE_DELAY_SECONDS
    filing_ledger = store_ledger.StoreLedger(
        kernel=bench.kernel,
        random_source=random.Random(SEED),
        bucket_count=bucket_count,
        share_writes=share_writes,
    )
    count = max(200, 4 * concurrency)
    waits: list[float] = []
    numbers = itertools.count()

    async def caller() -> None:
        while (number := next(numbers)) < count:
            call = ledger.Call(
                workspace="w", service="s", key=f"k{number}", digest="d" * 64, request_id="r" * 32
            )
            started_at = clock.monotonic()
            claim = await filing_ledger.claim(call, timeout=30.0)
            waits.append(clock.monotonic() - started_at)
            if isinstance(claim, ledger.Claim):
                await filing_ledger.finish(claim, ANSWER)

    await asyncio.gather(*(caller() for _ in range(concurrency)))
    await asyncio.sleep(2.0)
    calls = bench.store.calls_by_kind
    await filing_ledger.stop()
    return {
        "figure": "filing",
        "concurrency": concurrency,
        "buckets": bucket_count,
        "shared_writes": share_writes,
        "writes_per_filing": round((calls["create"] + calls["update"]) / count, 3),
        "reads_per_filing": round(calls["get"] / count, 3),
        "added_ms_p50": round(_quantile(waits, 0.5) * 1000, 1),
        "added_ms_p95": round(_quantile(waits, 0.95) * 1000, 1),
    }


async def admission_cpu(*, groups: int, affinity: bool, load: float) -> dict[str, Any]:
    """Measures the processor time to admit, choose and release, for a number of groups."""
    bench = make_bench(groups=groups)
    for group in bench.directory.groups_for("chat"):
        bench.slots.in_use_by_id[group.group_id] = int(load * bench.slots.limit)
    count = 5000
    requests = [
        bench.request(number, "w", seconds=1e6, affinity=f"p{number % 97}" if affinity else "")
        for number in range(count)
    ]
    bench.admission.selector.tiers_of("chat")
    await _admit_and_release(bench, requests[0])
    started = time.process_time()
    for request in requests:
        await _admit_and_release(bench, request)
    micros = (time.process_time() - started) / count * 1e6
    return {
        "figure": "admit_choose_release_cpu",
        "groups": groups,
        "affinity": affinity,
        "load": load,
        "us_per_request": round(micros, 1),
    }


async def saturated_cpu(*, groups: int) -> dict[str, Any]:
    """Measures the processor time of a release that serves the queue's head on a full fleet."""
    bench = make_bench(groups=groups, slots_per_group=1)
    numbers = itertools.count()

    def submit() -> asyncio.Future[Any]:
        request = bench.request(next(numbers), "w", seconds=1e6)
        return asyncio.ensure_future(bench.admission.choose(request))

    running = collections.deque(await asyncio.gather(*(submit() for _ in range(groups))))
    waiting = collections.deque(submit() for _ in range(100))
    await asyncio.sleep(0)
    count = 2000
    started = time.process_time()
    for _ in range(count):
        waiting.append(submit())
        await asyncio.sleep(0)
        running.popleft().slot.release(SUCCESS)
        running.append(await waiting.popleft())
    micros = (time.process_time() - started) / count * 1e6
    for task in waiting:
        task.cancel()
    return {"figure": "saturated_cpu", "groups": groups, "us_per_request": round(micros, 1)}


async def _admit_and_release(bench: Bench, request: interfaces.Request) -> None:
    ticket = bench.admission.admit(request)
    choice = await bench.admission.choose(request)
    if isinstance(choice, interfaces.Choice):
        choice.slot.release(SUCCESS)
    if isinstance(ticket, limits.Reservation):
        ticket.close()


async def rebuild_cpu(*, groups: int) -> dict[str, Any]:
    """Measures the processor time of the first choice by prefix after a change of the directory."""
    bench = make_bench(groups=groups)
    rounds = 20
    started = time.process_time()
    for number in range(rounds):
        bench.directory.set()
        await _admit_and_release(bench, bench.request(number, "w", affinity="p"))
    seconds = (time.process_time() - started) / rounds
    return {
        "figure": "directory_change_cpu",
        "groups": groups,
        "points_per_group": tiers.POINTS_PER_GROUP,
        "ms": round(seconds * 1000, 3),
    }


async def queued_memory() -> dict[str, Any]:
    """Measures the memory of a queued request, its task included."""
    count = 2000
    bench = make_bench(groups=1, slots_per_group=1, max_queued=2 * count)
    first_choice = await bench.admission.choose(bench.request(0, "w"))
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    waiting = [
        asyncio.ensure_future(bench.admission.choose(bench.request(number, "w", seconds=1e4)))
        for number in range(count)
    ]
    await asyncio.sleep(0)
    traced_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)
    return {
        "figure": "queued_memory",
        "requests": count,
        "slot_held": isinstance(first_choice, interfaces.Choice),
        "bytes_per_request": round(traced_bytes / count),
    }


async def fairness(*, fair: bool) -> dict[str, Any]:
    """Measures two small workspaces while a third one sends four times the capacity.

    The baseline without fair queueing sends all requests as one workspace, in one queue.
    """
    spaces = tuple(
        data.Workspace(name=name, rate=1e6, burst=1e6, max_concurrency=100_000)
        for name in ("large", "small-1", "small-2", "all")
    )
    bench = make_bench(groups=4, slots_per_group=4, workspaces=spaces)
    capacity = 16 / 0.5
    source = random.Random(SEED)
    latencies_by_name: dict[str, list[float]] = collections.defaultdict(list)
    refused: collections.Counter[str] = collections.Counter()

    async def send(number: int, name: str) -> None:
        latency = await _run_request(bench, number, name if fair else "all", 0.5, 20.0)
        if latency is None:
            refused[name] += 1
        else:
            latencies_by_name[name].append(latency)

    arrivals = {"large": 4.0 * capacity, "small-1": 0.1 * capacity, "small-2": 0.1 * capacity}
    await _open_loop(source, arrivals, 60.0, send)
    small = latencies_by_name["small-1"] + latencies_by_name["small-2"]
    return {
        "figure": "small_workspaces_beside_a_flood",
        "fair": fair,
        "small_p95_s": round(_quantile(small, 0.95), 2),
        "small_refused": refused["small-1"] + refused["small-2"],
        "small_answered": len(small),
        "large_answered": len(latencies_by_name["large"]),
    }


async def goodput(*, offered: float, refuse_late: bool) -> dict[str, Any]:
    """Measures the answers within the deadline at a multiple of the capacity.

    The baseline does not refuse requests that would be late: each waits in the queue until served.
    """
    bench = make_bench(groups=4, slots_per_group=4)
    capacity = 16 / 1.0
    deadline = 4.0
    sent_deadline = deadline if refuse_late else 1e6
    good = late = refused = 0

    async def send(number: int, name: str) -> None:
        nonlocal good, late, refused
        hold = random.Random(number).uniform(0.5, 1.5)
        latency = await _run_request(bench, number, name, hold, sent_deadline)
        refused += latency is None
        good += latency is not None and latency <= deadline
        late += latency is not None and latency > deadline

    await _open_loop(random.Random(SEED), {"w": offered * capacity}, 120.0, send)
    return {
        "figure": "goodput",
        "offered": offered,
        "refuse_late": refuse_late,
        "good_per_s": round(good / 120.0, 2),
        "late": late,
        "refused": refused,
    }


async def retry_amplification(*, budget: bool) -> dict[str, Any]:
    """Measures the dispatches per request while all targets fail half of their requests.

    The baseline retries on every target that has not failed the request yet.
    """
    bench = make_bench(groups=8, slots_per_group=64)
    source = random.Random(SEED)
    dispatches = requests = 0

    async def send(number: int, name: str) -> None:
        nonlocal dispatches, requests
        requests += 1
        request = bench.request(number, name, seconds=10.0)
        ticket = bench.admission.admit(request)
        if isinstance(ticket, failure.Refusal):
            return
        exclude: frozenset[str] = frozenset()
        while True:
            choice = await bench.admission.choose(request, exclude=exclude)
            if isinstance(choice, failure.Refusal):
                break
            dispatches += 1
            await asyncio.sleep(0.2)
            fails = source.random() < 0.5
            choice.slot.release(data.Observation(reached=True, failed=fails))
            exclude |= {choice.group.group_id}
            if not fails or (budget and not bench.admission.may_retry(request)):
                break
        ticket.close()

    await _open_loop(random.Random(SEED), {"w": 100.0}, 60.0, send)
    return {
        "figure": "retry_amplification",
        "budget": budget,
        "dispatches_per_request": round(dispatches / requests, 3),
    }


class PrefixCache:
    """A model of an engine's prefix cache with least-recently-used eviction."""

    def __init__(self, *, size: int) -> None:
        self._size = size
        self._prefixes: collections.OrderedDict[str, None] = collections.OrderedDict()

    def access(self, prefix: str) -> bool:
        """Caches a prefix; returns True if it was cached already."""
        cached = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > self._size:
            self._prefixes.popitem(last=False)
        return cached


async def prefix_hits(*, choice_by: str) -> dict[str, Any]:
    """Measures the hit rate of prefix caches and the time to the first token."""
    groups = 8
    bench = make_bench(groups=groups, slots_per_group=16)
    caches = {f"chat-{number}": PrefixCache(size=20) for number in range(groups)}
    source = random.Random(SEED)
    weights = [1 / rank for rank in range(1, 101)]
    prefixes = source.choices([f"p{number}" for number in range(100)], weights, k=12_000)
    hits = answered = 0
    waits: list[float] = []

    async def send(number: int, name: str) -> None:
        nonlocal hits, answered
        prefix = prefixes[number % len(prefixes)]
        affinity = prefix if choice_by == "affinity" else ""
        request = bench.request(number, name, seconds=60.0, affinity=affinity)
        started_at = clock.monotonic()
        exclude = _excluded_groups(bench, number, choice_by)
        choice = await bench.admission.choose(request, exclude=exclude)
        if isinstance(choice, failure.Refusal):
            return
        hit = caches[choice.group.group_id].access(prefix)
        hits, answered = hits + hit, answered + 1
        await asyncio.sleep(0.05 if hit else 0.4)
        waits.append(clock.monotonic() - started_at)
        await asyncio.sleep(0.8)
        choice.slot.release(SUCCESS)

    await _open_loop(source, {"w": 90.0}, 120.0, send)
    return {
        "figure": "prefix_hits",
        "choice_by": choice_by,
        "hit_rate": round(hits / answered, 3),
        "first_token_s_mean": round(sum(waits) / len(waits), 3),
        "first_token_s_p50": round(_quantile(waits, 0.5), 3),
        "first_token_s_p95": round(_quantile(waits, 0.95), 3),
        "answered": answered,
    }


def _excluded_groups(bench: Bench, number: int, choice_by: str) -> frozenset[str]:
    """Returns the groups to exclude so that only the choice of a baseline policy remains."""
    groups = bench.directory.groups_for("chat")
    ids = [group.group_id for group in groups if bench.slots.available(group) > 0]
    if choice_by == "random" and ids:
        return frozenset(ids) - {random.Random(number).choice(ids)}
    if choice_by == "least_loaded" and ids:
        least = min(groups, key=lambda group: (bench.slots.load(group), group.group_id))
        return frozenset(ids) - {least.group_id}
    return frozenset()


def bucket_bytes(*, records: int) -> dict[str, Any]:
    """Measures the size and coding time of a stored bucket with a number of short answers."""
    records_by_key = {
        f"k{number}": buckets.Record(
            workspace="workspace",
            service="licences",
            key=f"{number:032x}",
            digest="d" * 64,
            request_id="r" * 32,
            state=buckets.RunState.RAN,
            attempt_id="a" * 32,
            node_id="node-1",
            changed_at="2026-01-01T00:00:00.000+00:00",
            answer=buckets.to_kept_answer(ANSWER),
        )
        for number in range(records)
    }
    encoded = buckets.encode(records_by_key) or b""
    started = time.process_time()
    rounds = 20
    for _ in range(rounds):
        buckets.encode(buckets.decode(encoded))
    seconds = (time.process_time() - started) / rounds
    return {
        "figure": "ledger_bucket",
        "records": records,
        "answer_bytes": len(ANSWER.body),
        "bytes_per_record": round(len(encoded) / records),
        "decode_encode_ms": round(seconds * 1000, 2),
    }


async def _run_request(
    bench: Bench, number: int, workspace: str, hold: float, seconds: float
) -> float | None:
    """Runs one request; returns its latency, or None if it was refused."""
    started_at = clock.monotonic()
    request = bench.request(number, workspace, seconds=seconds)
    ticket = bench.admission.admit(request)
    if isinstance(ticket, failure.Refusal):
        return None
    choice = await bench.admission.choose(request)
    if isinstance(choice, interfaces.Choice):
        await asyncio.sleep(hold)
        choice.slot.release(SUCCESS)
    ticket.close()
    return clock.monotonic() - started_at if isinstance(choice, interfaces.Choice) else None


async def _open_loop(
    source: random.Random, rates_by_name: dict[str, float], seconds: float, send: Any
) -> None:
    """Sends the requests of each workspace at Poisson arrivals, without waiting for answers."""
    arrivals: list[tuple[float, str]] = []
    for name, rate in rates_by_name.items():
        at = source.expovariate(rate)
        while at < seconds:
            arrivals.append((at, name))
            at += source.expovariate(rate)
    started_at, tasks = clock.monotonic(), []
    for number, (at, name) in enumerate(sorted(arrivals)):
        await asyncio.sleep(max(0.0, started_at + at - clock.monotonic()))
        tasks.append(asyncio.ensure_future(send(number, name)))
    await asyncio.gather(*tasks)


def _group(number: int) -> data.Group:
    group_id = f"chat-{number}"
    return data.Group(
        group_id=group_id,
        service="chat",
        generation=1,
        state=data.GroupState.READY,
        fabric_domain=f"fabric-{number // 8}",
        failure_domain="f",
        members=(data.Member(vm_id=group_id, address="127.0.0.1:1", rank=0),),
    )


def _settings(max_queued: int) -> schema.NodeSettings:
    return schema.NodeSettings(
        node_id="n",
        failure_domain="f",
        platform=schema.Platform(object_api="", vm_list=""),
        gateway=schema.Gateway(max_queued=max_queued),
    )


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def _simulate(coroutine: Coroutine[Any, Any, dict[str, Any]]) -> dict[str, Any]:
    """Runs a measurement on an event loop with simulated time."""
    with contextlib.closing(looptime.new_event_loop(_enabled=True)) as loop:
        result: dict[str, Any] = loop.run_until_complete(coroutine)
    return result


def _print_result(result: dict[str, Any]) -> None:
    sys.stdout.write(json.dumps(result) + "\n")
    sys.stdout.flush()


def main() -> None:
    """Runs all measurements."""
    for count, concurrency, shared in itertools.product(
        (buckets.BUCKET_COUNT, 16), (1, 16, 64), (True, False)
    ):
        _print_result(
            _simulate(filings(concurrency=concurrency, bucket_count=count, share_writes=shared))
        )
    for groups, affinity in itertools.product((10, 100, 1000), (False, True)):
        _print_result(asyncio.run(admission_cpu(groups=groups, affinity=affinity, load=0.25)))
    for groups in (10, 100, 1000):
        _print_result(asyncio.run(saturated_cpu(groups=groups)))
    for groups in (10, 100, 1000):
        _print_result(asyncio.run(rebuild_cpu(groups=groups)))
    _print_result(asyncio.run(queued_memory()))
    for fair in (True, False):
        _print_result(_simulate(fairness(fair=fair)))
    for offered, refuse_late in itertools.product((0.5, 1.0, 2.0, 4.0), (True, False)):
        _print_result(_simulate(goodput(offered=offered, refuse_late=refuse_late)))
    for budget in (True, False):
        _print_result(_simulate(retry_amplification(budget=budget)))
    for choice_by in ("affinity", "two_choices", "random", "least_loaded"):
        _print_result(_simulate(prefix_hits(choice_by=choice_by)))
    for records in (1, 10, 100, 1000):
        _print_result(bucket_bytes(records=records))


if __name__ == "__main__":
    main()
