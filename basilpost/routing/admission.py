"""Admits requests, keeps them waiting fairly, and gives each its target and slot.

The slot is given in one step with the last checks (the node's standing, the failure domain, the
quarantine), so that nothing that changed while a request waited can slip between.
"""

import asyncio
import random

import prometheus_client

from basilpost.core import clock, data, failure, kernel, names
from basilpost.groups import slots
from basilpost.members import directory, standing
from basilpost.routing import (
    interfaces,
    limits,
    lone,
    quarantine,
    queue,
    refusals,
    retry,
    selection,
)
from basilpost.settings import schema

POLL_SECONDS = 0.05
POLL_SECONDS_PER_TARGET = 0.0002
NO_TARGET_SECONDS = 1.0


class QueuedAdmission(interfaces.Admission, kernel.Service):
    """Limits, fair queues by service, and selection."""

    def __init__(
        self, *, kernel: kernel.Kernel, random_source: random.Random | None = None
    ) -> None:
        settings = kernel.find(names.SETTINGS, schema.NodeSettings)
        self._random = random_source or random.Random()
        self._directory = kernel.find(names.DIRECTORY, directory.Directory)
        self._standing = kernel.find(names.STANDING, standing.Standing)
        self._quarantine = kernel.find(names.QUARANTINE, quarantine.CrashQuarantine)
        self._max_queued = settings.gateway.max_queued
        self._queued = 0
        self._queues_by_service: dict[str, queue.FairQueue] = {}
        self._poll: asyncio.TimerHandle | None = None
        self._budget = retry.RetryBudget()
        self._metrics = _Metrics(registry=kernel.registry)
        self.limits = limits.Limits(max_buffered_bytes=settings.gateway.max_buffered_bytes)
        self.selector = selection.Selector(
            directory=self._directory,
            slots=kernel.find(names.SLOTS, slots.Slots),
            health=kernel.find(names.HEALTH, slots.Health),
            failure_domain=settings.failure_domain,
            random_source=self._random,
            released=self._released,
            count=self._metrics.count_choice,
        )
        self._lone_runs = lone.LoneRuns(
            selector=self.selector, owner=self._quarantine, refusal_now=self._refusal_now
        )
        self._directory.subscribe(self._directory_changed)

    async def stop(self) -> None:
        """Refuses all that wait."""
        if self._poll is not None:
            self._poll.cancel()
        for service in list(self._queues_by_service):
            self._refuse_all(service, refusals.stopping())

    def admit(self, request: interfaces.Request) -> interfaces.Ticket | failure.Refusal:
        """Checks rate, concurrency and quarantine at once, without waiting."""
        workspace = self._directory.config().workspaces_by_name.get(request.workspace)
        if workspace is None:
            return refusals.unknown_workspace(request)
        quarantined = self._quarantine.check(request)
        if quarantined is not None:
            return self._refused(quarantined)
        ticket = self.limits.reserve(workspace, request.size)
        if isinstance(ticket, failure.Refusal):
            return self._refused(ticket)
        self._budget.deposit()
        return ticket

    def may_retry(self, request: interfaces.Request) -> bool:
        """Spends one unit of the retry budget; returns False if there is none left."""
        allowed = self._budget.spend()
        self._metrics.retries.labels(allowed=str(allowed).lower()).inc()
        return allowed

    async def choose(
        self, request: interfaces.Request, *, exclude: frozenset[str] = frozenset()
    ) -> interfaces.Choice | failure.Refusal:
        """Waits in the fair queue for a slot on a complete, healthy target."""
        refusal = self._refusal_now(request)
        if refusal is not None:
            return self._refused(refusal)
        suspect = self._quarantine.suspected(request)
        if suspect is not None:
            return self._counted(await self._lone_runs.choose(request, suspect, exclude))
        found: interfaces.Choice | failure.Failure | None = None
        if not self._queue(request.service):
            found = self._pick(request, exclude)
            if isinstance(found, interfaces.Choice):
                return found
        return await self._wait(request, exclude, no_target=isinstance(found, selection.NoTarget))

    def queued(self, service: str) -> int:
        """Returns the number of requests that wait for a service's slots."""
        return len(self._queue(service))

    async def _wait(
        self, request: interfaces.Request, exclude: frozenset[str], *, no_target: bool
    ) -> interfaces.Choice | failure.Refusal:
        if no_target and exclude:
            return self._refused(refusals.no_healthy_group(request))
        waiter = self._waiter(request, exclude)
        refusal = self._no_room(waiter) or self._too_late(waiter)
        if refusal is not None:
            return self._refused(refusal)
        latest = clock.monotonic() + NO_TARGET_SECONDS if no_target else request.deadline
        self._enqueue(waiter, min(latest, request.deadline))
        try:
            result = await waiter.result
        except asyncio.CancelledError:
            self._cancelled(waiter)
            raise
        self._metrics.waits.observe(clock.monotonic() - waiter.enqueued_at)
        return self._counted(result)

    def _waiter(self, request: interfaces.Request, exclude: frozenset[str]) -> queue.Waiter:
        workspace = self._directory.config().workspaces_by_name.get(request.workspace)
        weight = queue.effective_weight(workspace.weight, workspace.priority) if workspace else 1.0
        return queue.Waiter(
            request=request,
            exclude=exclude,
            weight=weight,
            result=asyncio.get_running_loop().create_future(),
            enqueued_at=clock.monotonic(),
        )

    def _enqueue(self, waiter: queue.Waiter, give_up_at: float) -> None:
        loop = asyncio.get_running_loop()
        waiter.timer = loop.call_at(give_up_at, self._give_up, waiter)
        self._queue(waiter.request.service).push(waiter)
        self._queued += 1
        self._metrics.queued.set(self._queued)
        self._poll_later()

    def _no_room(self, waiter: queue.Waiter) -> failure.Refusal | None:
        """Makes room in a full queue at the cost of the longest line, or refuses."""
        request = waiter.request
        line = self._queue(request.service)
        if len(line) < self._max_queued:
            return None
        share = line.fair_share(request.workspace, waiter.weight, len(line))
        longest = line.longest_line()
        if longest is None or line.backlog(request.workspace) + 1 > share:
            return refusals.queue_full(request, self._queue_seconds(request.service))
        evicted = longest.waiters[-1]
        self._drop(evicted)
        evicted.resolve(refusals.queue_full(evicted.request, self._queue_seconds(request.service)))
        return None

    def _too_late(self, waiter: queue.Waiter) -> failure.Refusal | None:
        """Refuses a request that cannot make its deadline behind those that wait before it."""
        request = waiter.request
        pace = self.selector.pace_of(request.service)
        if not pace.known:
            return None
        line = self._queue(request.service)
        wait = line.wait_for(request.workspace, waiter.weight, pace.rate)
        late = clock.monotonic() + wait + pace.expected - request.deadline
        if late <= 0:
            return None
        return refusals.too_late(request, late * self._random.uniform(1.0, 1.5))

    def _refusal_now(self, request: interfaces.Request) -> failure.Refusal | None:
        verdict = self._standing.check()
        if isinstance(verdict, standing.NotServing):
            return refusals.not_serving(verdict)
        if request.service not in self._directory.config().services_by_name:
            return refusals.unknown_service(request)
        if clock.monotonic() >= request.deadline:
            return refusals.deadline_passed(request)
        return self._quarantine.check(request)

    def _pick(
        self, request: interfaces.Request, exclude: frozenset[str]
    ) -> interfaces.Choice | selection.NoTarget | selection.AllFull:
        """Takes a slot, away from the targets on which suspects run if there are enough others."""
        occupied = self._quarantine.suspects.occupied()
        count = len(self.selector.tiers_of(request.service).groups)
        avoided = occupied if 2 * len(occupied) < count else frozenset()
        return self.selector.pick(request, exclude | avoided if avoided else exclude)

    def _released(self, group: data.Group) -> None:
        if self._queued:
            self._pump(group.service, freed=group)

    def _directory_changed(self) -> None:
        self.selector.directory_changed()
        self._pump_all()

    def _pump_all(self) -> None:
        for service in list(self._queues_by_service):
            self._pump(service)

    def _pump(self, service: str, *, freed: data.Group | None = None) -> None:
        """Gives slots to waiting requests in their order, as far as there are slots."""
        line = self._queue(service)
        while True:
            waiter = line.head()
            if waiter is None:
                return
            refusal = self._refusal_now(waiter.request) or self._hopeless(waiter)
            result = refusal or self._place(waiter, freed)
            if isinstance(result, selection.NoTarget) and waiter.exclude:
                result = refusals.no_healthy_group(waiter.request)
            if isinstance(result, selection.NoTarget | selection.AllFull):
                return
            line.serve()
            self._left()
            waiter.resolve(result)

    def _place(
        self, waiter: queue.Waiter, freed: data.Group | None
    ) -> interfaces.Choice | selection.NoTarget | selection.AllFull:
        """Tries only the target that has just got a free slot, if it is known.

        A look at all targets after each release would cost more with each target; the next poll
        finds what a release leaves out.
        """
        if freed is None:
            return self._pick(waiter.request, waiter.exclude)
        in_force = self.selector.current(freed)
        if in_force is not None:
            avoided = waiter.exclude | self._quarantine.suspects.occupied()
            choice = self.selector.take(in_force, avoided)
            if choice is not None:
                return choice
        return selection.AllFull(reason=f"{freed.group_id} has no slot for the next request")

    def _hopeless(self, waiter: queue.Waiter) -> failure.Refusal | None:
        """Refuses a request that would end after its deadline, so that it wastes no slot."""
        pace = self.selector.pace_of(waiter.request.service)
        late = clock.monotonic() + pace.expected - waiter.request.deadline
        if late <= 0 or not pace.known:
            return None
        return refusals.too_late(waiter.request, self._queue_seconds(waiter.request.service))

    def _queue_seconds(self, service: str) -> float:
        """Returns how long the present queue takes, with jitter so that callers spread."""
        pace = self.selector.pace_of(service)
        seconds = (len(self._queue(service)) + 1) / pace.rate if pace.known else 1.0
        return seconds * self._random.uniform(1.0, 1.5)

    def _give_up(self, waiter: queue.Waiter) -> None:
        if self._drop(waiter):
            late = clock.monotonic() >= waiter.request.deadline
            make = refusals.deadline_passed if late else refusals.no_healthy_group
            waiter.resolve(make(waiter.request))

    def _cancelled(self, waiter: queue.Waiter) -> None:
        """Removes a caller that went away, and gives back a slot that crossed with it."""
        self._drop(waiter)
        if waiter.timer is not None:
            waiter.timer.cancel()
        if waiter.result.cancelled() or not waiter.result.done():
            return
        result = waiter.result.result()
        if isinstance(result, interfaces.Choice):
            self.selector.give_back(result)

    def _drop(self, waiter: queue.Waiter) -> bool:
        removed = self._queue(waiter.request.service).remove(waiter)
        if removed:
            self._left()
        return removed

    def _left(self) -> None:
        self._queued -= 1
        self._metrics.queued.set(self._queued)

    def _refuse_all(self, service: str, refusal: failure.Refusal) -> None:
        for waiter in self._queue(service).waiters():
            self._drop(waiter)
            waiter.resolve(refusal)

    def _queue(self, service: str) -> queue.FairQueue:
        found = self._queues_by_service.get(service)
        if found is None:
            found = self._queues_by_service[service] = queue.FairQueue()
        return found

    def _poll_later(self) -> None:
        """Looks again soon: slots can become free without a release, by new credits."""
        if self._poll is None:
            targets = sum(self.selector.targets(one) for one in self._queues_by_service)
            seconds = max(POLL_SECONDS, POLL_SECONDS_PER_TARGET * targets)
            self._poll = asyncio.get_running_loop().call_later(seconds, self._polled)

    def _polled(self) -> None:
        self._poll = None
        self._pump_all()
        if self._queued:
            self._poll_later()

    def _counted(
        self, result: interfaces.Choice | failure.Refusal
    ) -> interfaces.Choice | failure.Refusal:
        return self._refused(result) if isinstance(result, failure.Refusal) else result

    def _refused(self, refusal: failure.Refusal) -> failure.Refusal:
        self._metrics.refusals.labels(code=refusal.code).inc()
        return refusal


class _Metrics:
    """Queue length, waits, refusals and retries."""

    def __init__(self, *, registry: prometheus_client.CollectorRegistry) -> None:
        self.queued = prometheus_client.Gauge(
            "basilpost_queued_requests", "Requests that wait for a slot.", registry=registry
        )
        self.waits = prometheus_client.Histogram(
            "basilpost_queue_wait_seconds", "Time spent in the fair queue.", registry=registry
        )
        self.refusals = prometheus_client.Counter(
            "basilpost_refusals_total", "Refused requests by code.", ["code"], registry=registry
        )
        self.retries = prometheus_client.Counter(
            "basilpost_retries_total", "Retries asked for.", ["allowed"], registry=registry
        )
        self._choices = prometheus_client.Counter(
            "basilpost_choices_total",
            "Targets chosen, by distance and by prefix.",
            ["kind"],
            registry=registry,
        )
        self._choices_by_kind: dict[str, prometheus_client.Counter] = {}

    def count_choice(self, kind: str) -> None:
        """Counts a choice; keeps the labelled counter at hand, because this is the busy path."""
        counter = self._choices_by_kind.get(kind)
        if counter is None:
            counter = self._choices_by_kind[kind] = self._choices.labels(kind=kind)
        counter.inc()
