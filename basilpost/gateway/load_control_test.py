"""Tests of admission by rank and of waiting in order, with fakes and on a clock that tests advance."""

import asyncio
import itertools
import types

import pytest

from basilpost.core import catalog, clock, failure, kernel, names
from basilpost.gateway import attempts, load_control, request_admission
from basilpost.members import loads as loads_
from basilpost.members import rank_demand
from basilpost.routing import header_dialect

FIGURES = catalog.EngineFigures(
    step_seconds=0.006,
    request_step_seconds=0.0005,
    context_step_seconds=0.0,
    read_tokens_per_second=46_000.0,
    pair_seconds=0.0,
    steps_per_pass=5,
    memory_tokens=700_000,
    usual_answer_tokens=100.0,
)
MODEL = catalog.Model(
    name="m", vms=4, pace=1.0, work_share=1.0, load_seconds=12.0, warm_seconds=1.0
)
# A request takes 0.11 s of a target's work, so two targets end 18 requests a second.
ENGINE = catalog.Engine(
    slots=10, loads_per_second=1.0, open_seconds=0.3, models=(MODEL,), figures=FIGURES
)
SERVICE = catalog.Service(name="s", cold_per_second=0.0, engine=ENGINE)
BUDGET_SECONDS = 6.0


class FakeLoads(loads_.Loads):
    """Loads of one node that knows no others."""

    def __init__(self):
        self.rank_demand_meter = rank_demand.RankDemandMeter()
        self.listeners = []

    def subscribe(self, listener):
        self.listeners.append(listener)

    def rank_demand_by_key(self):
        return rank_demand.by_key(self.rank_demand_meter.read())

    def node_count(self):
        return 1

    def free_room(self):
        for listener in self.listeners:
            listener()


@pytest.fixture(autouse=True)
def loop_clock(monkeypatch):
    """The clock of the event loop, which looptime advances, serves as the clock of the node too."""
    monkeypatch.setattr(clock, "elapsed", lambda: asyncio.get_running_loop().time())
    monkeypatch.setattr(clock, "wall_seconds", lambda: 1000.0)


def make_control(*, targets=2, enabled=True):
    node = kernel.Kernel(node_id="n")
    fake = FakeLoads()
    node.register(names.LOADS, fake)
    control = load_control.LoadControl(kernel=node, enabled=enabled)
    set_targets(control, targets)
    return control, fake


def set_targets(control, targets, *, in_flight=0):
    """Without requests in flight, predicted work is not corrected."""
    control.find_usable = lambda service, model: load_control.Usable(
        targets=targets, in_flight=in_flight
    )


_fingerprints = map(str, itertools.count())


def request(*, rank=0, workspace="w", budget=BUDGET_SECONDS, objective=0.4, fingerprint=""):
    route = catalog.Route(
        name=f"r{rank}",
        host="h",
        prefix="/",
        shares=(),
        streaming=True,
        repeat=catalog.Repeat.IDEMPOTENT,
        max_attempts=2,
        timeout=BUDGET_SECONDS,
        objective=objective,
        max_gap=0.2,
        priority=rank,
        anonymous=False,
    )
    call = header_dialect.RequestInfo(
        request_id="i",
        key="",
        budget_seconds=budget,
        model="m",
        prompt_tokens=46,
        max_answer_tokens=0,
        last_event_id="",
    )
    admitted = request_admission.AdmittedRequest(
        call=call,
        route=route,
        service=SERVICE,
        workspace=workspace,
        priority=rank,
        deadline=clock.elapsed() + budget,
        configuration=1,
    )
    return attempts.Progress(admitted=admitted, fingerprint=fingerprint or next(_fingerprints))


async def offer(control, *, per_second, seconds, **options):
    """Lets requests arrive evenly; returns the refusals and the number of requests."""
    results = []
    for _ in range(int(per_second * seconds)):
        results.append(control.admit(request(**options)))
        await asyncio.sleep(1.0 / per_second)
    return [result for result in results if result is not None], len(results)


@pytest.mark.looptime
async def test_nobody_is_refused_while_there_is_room():
    control, _ = make_control()
    refused, _ = await offer(control, per_second=12.0, seconds=5.0)
    assert not refused


@pytest.mark.looptime
async def test_what_cannot_be_served_is_refused_at_once_and_told_when_to_return():
    control, _ = make_control()
    refused, count = await offer(control, per_second=36.0, seconds=6.0)
    # Half of the demand can be served. The first second is needed to know it.
    assert 0.4 <= len(refused) / count <= 0.6
    for refusal in refused:
        assert (refusal.code, refusal.status) == ("overloaded", 503)
        assert refusal.outcome is failure.Outcome.NOT_RUN
        assert 0.5 <= refusal.retry_after <= BUDGET_SECONDS / 3


@pytest.mark.looptime
async def test_a_burst_of_a_less_urgent_rank_costs_the_more_urgent_one_nothing():
    control, _ = make_control()
    urgent, burst = await asyncio.gather(
        offer(control, per_second=8.0, seconds=6.0, rank=0),
        offer(control, per_second=30.0, seconds=6.0, rank=2),
    )
    assert not urgent[0]
    assert len(burst[0]) / burst[1] > 0.5
    assert len(burst[0]) < burst[1]


@pytest.mark.looptime
async def test_room_that_comes_back_is_used_within_a_second():
    control, _ = make_control(targets=1)
    refused, _ = await offer(control, per_second=15.0, seconds=4.0)
    assert refused
    set_targets(control, 4)
    await asyncio.sleep(load_control.SHARES_SECONDS * 2)
    refused, _ = await offer(control, per_second=15.0, seconds=2.0)
    assert not refused


@pytest.mark.looptime
async def test_nobody_is_refused_beside_free_slots_where_the_prediction_is_wrong():
    """Estimates of answers that are too high made nodes refuse callers while half of the slots were free."""
    control, _ = make_control(targets=2)
    set_targets(control, 2, in_flight=8)
    await offer(control, per_second=30.0, seconds=4.0)
    refused, _ = await offer(control, per_second=30.0, seconds=4.0)
    assert not refused


@pytest.mark.looptime
async def test_callers_that_return_when_told_are_served_before_new_ones():
    control, _ = make_control()
    new, returning = await asyncio.gather(
        offer(control, per_second=18.0, seconds=6.0),
        offer(control, per_second=2.0, seconds=6.0, budget=BUDGET_SECONDS * 0.75),
    )
    assert len(returning[0]) / returning[1] < len(new[0]) / new[1]


@pytest.mark.looptime
async def test_demand_is_known_although_the_time_budgets_of_callers_differ():
    """Requests whose budget is smaller than the largest one were not counted, and nothing was cut."""
    control, _ = make_control()
    refused = [
        control.admit(request(budget=BUDGET_SECONDS * (0.85 + 0.15 * (number % 7) / 6)))
        for number in range(216)
        if await asyncio.sleep(1.0 / 36.0, True)
    ]
    assert 0.4 <= sum(refusal is not None for refusal in refused) / len(refused) <= 0.6


@pytest.mark.looptime
async def test_callers_that_repeat_at_once_gain_nothing():
    control, _ = make_control()
    await offer(control, per_second=36.0, seconds=3.0)
    first = {name for name in map(str, range(100)) if control.admit(request(fingerprint=name))}
    assert first
    for name in first:
        for _ in range(3):
            assert control.admit(request(fingerprint=name, budget=BUDGET_SECONDS * 0.98))


@pytest.mark.looptime
async def test_without_the_feature_nobody_is_refused_and_nothing_is_counted():
    control, fake = make_control(enabled=False)
    refused, _ = await offer(control, per_second=100.0, seconds=1.0)
    assert not refused
    assert not fake.rank_demand_by_key()
    assert not fake.listeners


class Room:
    """Targets with a number of free slots; requests that wait take them one by one."""

    def __init__(self, fake):
        self.free = 0
        self.taken_by = []
        self._fake = fake

    def chooser(self, name):
        def choose():
            if not self.free:
                return failure.Refusal(reason="full", code="busy", status=503)
            self.free -= 1
            self.taken_by.append(name)
            return types.SimpleNamespace(target_id=name)

        return choose

    def free_one(self):
        self.free += 1
        self._fake.free_room()


async def waiting(control, room, name, **options):
    """Starts a request that waits for room."""
    progress = request(**options)
    task = asyncio.create_task(control.wait(progress, room.chooser(name)))
    await asyncio.sleep(0)
    return task


@pytest.mark.looptime
async def test_freed_room_goes_to_the_most_urgent_rank_and_then_to_workspaces_in_turn():
    control, fake = make_control(targets=100)
    room = Room(fake)
    tasks = [
        await waiting(control, room, "late", rank=2),
        await waiting(control, room, "a1", rank=1, workspace="a"),
        await waiting(control, room, "a2", rank=1, workspace="a"),
        await waiting(control, room, "b1", rank=1, workspace="b"),
        await waiting(control, room, "urgent", rank=0),
    ]
    for _ in tasks:
        room.free_one()
        await asyncio.sleep(0.001)
    await asyncio.gather(*tasks)
    assert room.taken_by == ["urgent", "a1", "b1", "a2", "late"]
    assert not control.waiting()


@pytest.mark.looptime
async def test_a_request_does_not_pass_those_that_wait_unless_it_is_more_urgent():
    control, fake = make_control(targets=100)
    room = Room(fake)
    first = await waiting(control, room, "first", rank=1)
    room.free = 1
    second = await waiting(control, room, "second", rank=1)
    assert not room.taken_by
    urgent = await waiting(control, room, "urgent", rank=0)
    assert room.taken_by == ["urgent"]
    for _ in range(2):
        room.free_one()
        await asyncio.sleep(0.001)
    await asyncio.gather(first, second, urgent)
    assert room.taken_by == ["urgent", "first", "second"]


@pytest.mark.looptime
async def test_a_request_waits_no_longer_than_it_can_still_be_in_time():
    control, fake = make_control(targets=100)
    room = Room(fake)
    began_at = clock.elapsed()
    task = await waiting(control, room, "x", objective=0.4)
    result = await task
    assert isinstance(result, failure.Refusal)
    assert clock.elapsed() - began_at == pytest.approx(0.2, abs=0.01)


@pytest.mark.looptime
async def test_more_than_room_is_expected_for_are_refused_at_once_the_last_ranks_first():
    # One target ends 9 requests a second, so room for two is expected in the 0.2 s of the wait.
    control, fake = make_control(targets=1)
    room = Room(fake)
    began_at = clock.elapsed()
    tasks = [await waiting(control, room, f"late-{number}", rank=2) for number in range(6)]
    urgent = await waiting(control, room, "urgent", rank=0)
    done, _ = await asyncio.wait(tasks, timeout=0.01)
    assert len(done) >= 4
    assert clock.elapsed() - began_at < 0.05
    room.free_one()
    assert (await urgent).target_id == "urgent"
    await asyncio.gather(*tasks)


@pytest.mark.looptime
async def test_a_caller_that_leaves_keeps_nobody_waiting():
    control, fake = make_control(targets=100)
    room = Room(fake)
    leaving = await waiting(control, room, "leaving")
    staying = await waiting(control, room, "staying")
    leaving.cancel()
    await asyncio.sleep(0)
    room.free_one()
    assert (await staying).target_id == "staying"
    assert room.taken_by == ["staying"]


@pytest.mark.looptime
async def test_a_request_that_waited_while_the_machine_was_suspended_is_not_sent(monkeypatch):
    """The loop's clock stands still meanwhile, so the end of the wait is not noticed by it."""
    control, fake = make_control(targets=100)
    room = Room(fake)
    task = await waiting(control, room, "x")
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(clock, "elapsed", lambda: loop.time() + BUDGET_SECONDS + 1.0)
    room.free_one()
    result = await task
    assert isinstance(result, failure.Refusal)
    assert result.outcome is failure.Outcome.NOT_RUN
