"""Decides on arrival whether a request is served, and lets requests wait for room in their order.

It brings the decisions of `routing.rank_admission`, `routing.returns`, `routing.ranked_queue` and
`routing.workload` together with what the node knows. Where a deployment does not ask for it, nothing
here acts.
"""

import asyncio
import dataclasses
import functools
import random
from collections.abc import Callable, Iterable

from basilpost.core import catalog, clock, failure, kernel, names
from basilpost.gateway import attempts, load_metrics, request_admission
from basilpost.members import loads as loads_
from basilpost.members import rank_demand
from basilpost.routing import rank_admission, ranked_queue, returns, workload
from basilpost.routing import targets as targets_

# Shares are computed again after this time; the reports of other nodes change as often.
SHARES_SECONDS = 0.1
# Share of the latency objective for which a request may wait for room. The first event comes some
# tens of milliseconds after that, so it is still in time.
WAIT_SHARE = 0.5
# Requests that may wait at a node for one model beyond those that room is expected for in that time.
SPARE_PLACES = 1

Chosen = targets_.Target | failure.Refusal


@dataclasses.dataclass(kw_only=True, eq=False)
class Waiter:
    """A request that waits for room.

    Attributes:
        choose: Returns a target if there is room now, or why there is none.
        result: Completes with a target or with the refusal.
    """

    choose: Callable[[], Chosen]
    result: asyncio.Future[Chosen]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shares:
    """The admitted shares of one model's ranks.

    Attributes:
        at: When they were computed, on `clock.elapsed`.
        by_rank: Share of new requests to admit, by rank.
        returning_by_rank: Share of returning requests to admit, by rank.
    """

    at: float
    by_rank: dict[int, float]
    returning_by_rank: dict[int, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usable:
    """Targets that process requests, and the requests of all nodes that they have in flight."""

    targets: int
    in_flight: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrivals:
    """Requests that arrive per second, and when that was computed, on `clock.elapsed`."""

    at: float
    per_second: float


class LoadControl(kernel.Service):
    """Admission by rank over all nodes, and the waiting requests of this node.

    Attributes:
        enabled: False where the deployment does not ask for it.
        find_usable: Returns the targets of a service and model that process requests; set by the owner.
    """

    def __init__(self, *, kernel: kernel.Kernel, enabled: bool) -> None:
        self.enabled = enabled
        self.find_usable: Callable[[str, str], Usable] = lambda service, model: Usable(
            targets=0, in_flight=0
        )
        self._loads = kernel.find(names.LOADS, loads_.Loads)
        self._log = kernel.log
        self._rng = random.Random()
        self._budgets = returns.BudgetLearner()
        self._corrections_by_model: dict[tuple[str, str], workload.Correction] = {}
        self._shares_by_model: dict[tuple[str, str], Shares] = {}
        self._arrivals_by_model: dict[tuple[str, str], Arrivals] = {}
        self._queues_by_model: dict[tuple[str, str], ranked_queue.RankedQueue[Waiter]] = {}
        self._dispatch_scheduled = False
        self._metrics = load_metrics.LoadMetrics(registry=kernel.registry)
        if enabled:
            self._loads.subscribe(self._schedule_dispatch)

    def admit(self, progress: attempts.Progress) -> failure.Refusal | None:
        """Counts an arriving request; returns a refusal if its rank is not admitted now."""
        admitted = progress.admitted
        if not self.enabled:
            return None
        arrival = self._budgets.classify(admitted.route.name, admitted.call.budget_seconds)
        model = find_model(admitted)
        if model is None or admitted.service.engine is None:
            self._count_plain(admitted, arrival)
            return None
        key = rank_demand.RankKey(model=model.name, rank=admitted.priority)
        shares = self._shares(admitted, model)
        share = (
            shares.returning_by_rank if arrival is returns.Arrival.RETURNED else shares.by_rank
        ).get(key.rank, 1.0)
        period = returns.period_of(clock.wall_seconds())
        refused = not returns.is_admitted(progress.fingerprint, arrival, share, period=period)
        work = workload.work_seconds(admitted.call, admitted.service.engine, model)
        if arrival is returns.Arrival.FIRST:
            self._loads.rank_demand_meter.count_arrival(key, work, refused=refused)
        self._metrics.arrivals.labels(
            model.name, str(key.rank), arrival.value, "refused" if refused else "admitted"
        ).inc()
        if not refused:
            return None
        return failure.Refusal(
            reason=f"callers want more of {model.name} than there is; "
            f"{share:.0%} of rank {key.rank} is admitted now",
            code="overloaded",
            status=503,
            retry_after=returns.retry_after(request_admission.seconds_left(admitted), self._rng),
        )

    def arrivals_per_second(self, service: str, model: str) -> float:
        """Returns the requests that arrive per second at all nodes."""
        known = self._arrivals_by_model.get((service, model))
        now = clock.elapsed()
        if known is not None and now - known.at < SHARES_SECONDS:
            return known.per_second
        per_second = sum(
            demand.requests
            for key, demand in self._loads.rank_demand_by_key().items()
            if key.model == (model or service)
        )
        self._arrivals_by_model[service, model] = Arrivals(at=now, per_second=per_second)
        return per_second

    def _count_plain(
        self, admitted: request_admission.AdmittedRequest, arrival: returns.Arrival
    ) -> None:
        """Counts a request to a plain service, whose work is not known."""
        if arrival is returns.Arrival.FIRST and admitted.service.engine is None:
            key = rank_demand.RankKey(model=admitted.service.name, rank=admitted.priority)
            self._loads.rank_demand_meter.count_arrival(key, 0.0, refused=False)

    async def wait(self, progress: attempts.Progress, choose: Callable[[], Chosen]) -> Chosen:
        """Returns a target, or a refusal once no room can be expected in time.

        Args:
            progress: The attempts of the request.
            choose: Returns a target if there is room now, or why there is none.
        """
        admitted = progress.admitted
        queue = self._queue(admitted)
        head = queue.head()
        # A request does not pass those that wait, unless it is more urgent than all of them.
        if head is None or admitted.priority < head.rank:
            chosen = choose()
            if not _is_busy(chosen):
                return chosen
        waiter = Waiter(choose=choose, result=asyncio.get_running_loop().create_future())
        place = ranked_queue.Place(
            rank=admitted.priority, workspace=admitted.workspace, item=waiter
        )
        queue.push(place)
        self._drop_excess(queue, admitted)
        began_at = clock.elapsed()
        limit = min(admitted.route.objective * WAIT_SHARE, request_admission.seconds_left(admitted))
        try:
            async with asyncio.timeout(max(0.0, limit)):
                chosen = await waiter.result
        except TimeoutError:
            chosen = choose()
        finally:
            queue.remove(place)
            progress.waited_seconds += clock.elapsed() - began_at
            self._schedule_dispatch()
        # The loop's clock, which ends the wait, stands still while the machine is suspended.
        if request_admission.seconds_left(admitted) <= 0.0:
            return attempts.deadline_refusal(progress)
        return chosen

    def may_send(
        self, admitted: request_admission.AdmittedRequest, *, in_flight: int, slots: int
    ) -> bool:
        """Returns True if a target has memory for a request, and a slot that a request of its rank may use.

        Args:
            admitted: The request.
            in_flight: Requests that the target has.
            slots: Its slots.
        """
        engine = admitted.service.engine
        if not self.enabled or engine is None or engine.figures is None:
            return True
        shares = self._shares_by_model.get((admitted.service.name, admitted.call.model))
        if shares is not None and not rank_admission.may_use_slot(
            admitted.priority, shares.by_rank, in_flight=in_flight, slots=slots
        ):
            return False
        return workload.fits_memory(admitted.call, engine.figures, in_flight=in_flight)

    def waiting(self) -> int:
        """Returns the number of requests that wait for room."""
        return sum(map(len, self._queues_by_model.values()))

    def _queue(
        self, admitted: request_admission.AdmittedRequest
    ) -> ranked_queue.RankedQueue[Waiter]:
        key = (admitted.service.name, admitted.call.model)
        queue = self._queues_by_model.get(key)
        if queue is None:
            queue = self._queues_by_model[key] = ranked_queue.RankedQueue()
            self._metrics.waiting.labels(*key).set_function(functools.partial(len, queue))
        return queue

    def _drop_excess(
        self,
        queue: ranked_queue.RankedQueue[Waiter],
        admitted: request_admission.AdmittedRequest,
    ) -> None:
        """Refuses the last ones at once if room is expected for fewer than wait."""
        if len(queue) <= self._expected_room(admitted) + SPARE_PLACES:
            return
        place = queue.last()
        if place is not None:
            queue.remove(place)
            _resolve(place.item, place.item.choose())

    def _expected_room(self, admitted: request_admission.AdmittedRequest) -> float:
        """Returns for how many requests this node may expect room while a request waits."""
        model = find_model(admitted)
        if model is None or admitted.service.engine is None:
            return 0.0
        work = workload.work_seconds(admitted.call, admitted.service.engine, model)
        if not work:
            return 0.0
        work *= self._correction(admitted.service.name, model.name).factor
        targets = self.find_usable(admitted.service.name, model.name).targets
        ended_per_second = targets / work / self._loads.node_count()
        return ended_per_second * admitted.route.objective * WAIT_SHARE

    def _schedule_dispatch(self) -> None:
        if self._dispatch_scheduled or not any(map(len, self._queues_by_model.values())):
            return
        self._dispatch_scheduled = True
        asyncio.get_running_loop().call_soon(self._dispatch)

    def _dispatch(self) -> None:
        """Gives room to the first request of each queue.

        The next one is looked at in a later pass of the event loop: only when the first request was
        sent is its room counted as taken.
        """
        self._dispatch_scheduled = False
        for queue in self._queues_by_model.values():
            place = queue.head()
            if place is None:
                continue
            chosen = place.item.choose()
            if not _is_busy(chosen):
                queue.serve(place)
                _resolve(place.item, chosen)
                self._schedule_dispatch()

    def _shares(self, admitted: request_admission.AdmittedRequest, model: catalog.Model) -> Shares:
        key = (admitted.service.name, model.name)
        known = self._shares_by_model.get(key)
        now = clock.elapsed()
        if known is not None and now - known.at < SHARES_SECONDS:
            return known
        demand_by_rank = {
            rank_key.rank: demand
            for rank_key, demand in self._loads.rank_demand_by_key().items()
            if rank_key.model == model.name
        }
        usable = self.find_usable(*key)
        capacity = usable.targets
        correction = self._correction(*key)
        engine = admitted.service.engine
        if capacity and engine is not None:
            correction.record(
                predicted=sum(demand.work - demand.refused for demand in demand_by_rank.values()),
                observed=capacity
                * workload.utilization(engine, in_flight=usable.in_flight / capacity),
                seconds=now - known.at if known is not None else 0.0,
                saturated=usable.in_flight >= capacity * engine.slots * workload.SATURATED_SHARE,
            )
        wanted_by_rank = {
            rank: demand.work * correction.factor for rank, demand in demand_by_rank.items()
        }
        shares = Shares(
            at=now,
            by_rank=_shares_of(wanted_by_rank, capacity, rank_admission.ADMITTED_UTILIZATION),
            returning_by_rank=_shares_of(wanted_by_rank, capacity, 1.0),
        )
        self._shares_by_model[key] = shares
        self._metrics.show(model.name, wanted_by_rank, shares.by_rank, capacity)
        if known is not None:
            self._log_changes(model.name, known.by_rank, shares.by_rank, wanted_by_rank, capacity)
        return shares

    def _correction(self, service: str, model: str) -> workload.Correction:
        return self._corrections_by_model.setdefault((service, model), workload.Correction())

    def _log_changes(
        self,
        model: str,
        before: dict[int, float],
        after: dict[int, float],
        wanted_by_rank: dict[int, float],
        capacity: float,
    ) -> None:
        """Logs the ranks that are cut from now on, and those that no longer are."""
        for rank in sorted(before.keys() | after.keys()):
            was_cut, is_cut = before.get(rank, 1.0) < 1.0, after.get(rank, 1.0) < 1.0
            if was_cut is not is_cut:
                self._log.info(
                    "rank_cut" if is_cut else "rank_admitted",
                    model=model,
                    rank=rank,
                    share=round(after.get(rank, 1.0), 3),
                    wanted=round(wanted_by_rank.get(rank, 0.0), 2),
                    capacity=capacity,
                )


def find_model(admitted: request_admission.AdmittedRequest) -> catalog.Model | None:
    """Returns the model that a request asks for, None for plain services and unknown models."""
    engine = admitted.service.engine
    models: Iterable[catalog.Model] = engine.models if engine is not None else ()
    return next((model for model in models if model.name == admitted.call.model), None)


def _shares_of(
    wanted_by_rank: dict[int, float], capacity: float, utilization: float
) -> dict[int, float]:
    # Without a target no work is measured against it; the choice of a target refuses then.
    if not capacity:
        return {}
    return rank_admission.admitted_shares(
        wanted_by_rank, capacity=capacity, utilization=utilization
    )


def _is_busy(chosen: Chosen) -> bool:
    return isinstance(chosen, failure.Refusal) and chosen.code == "busy"


def _resolve(waiter: Waiter, chosen: Chosen) -> None:
    if not waiter.result.done():
        waiter.result.set_result(chosen)
