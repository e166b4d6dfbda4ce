"""Admits requests, queues them fairly, and assigns each a target with a reserved slot.

The node's standing, the failure domain and the quarantine are checked again in the same step that
assigns the slot, so that a change during the wait is never missed.
"""

import asyncio
import random

import prometheus_client

from basilpost.core import clock, data, failure, kernel, names
from basilpost.groups import slots
from basilpost.members import directory, standing
from basilpost.routing import (
    fair_queue,
    interfaces,
    limits,
    lone_runs,
    quarantine,
    refusals,
    retry,
    selection,
)
from basilpost.settings import schema

# Time between two looks at the queues; longer if there are many targets to look at.
POLL_SECONDS = 0.05
POLL_SECONDS_PER_TARGET = 0.0002
# Time for which a request waits for a healthy target before it is refused.
NO_TARGET_SECONDS = 1.0


class QueuedAdmission(interfaces.Admission, kernel.Service):
    """Admission of one node: limits, a fair queue for each service, and the selector."""

    def __init__(
        self, *, kernel: kernel.Kernel, random_source: random.Random | None = None
    ) -> None:
        settings = kernel.find(names.SETTINGS, schema.NodeSettings)
        self._random = random_source or random.Random()
        self._directory = kernel.find(names.DIRECTORY, directory.Directory)
        self._standing = kernel.find(names.STANDING, standing.Standing)
        self._quarantine = kernel.find(names.QUARANTINE, quarantine.CrashQuarantine)
        self._max_queued_per_service = settings.gateway.max_queued
        self._queued_total = 0
        self._queues_by_service: dict[str, fair_queue.FairQueue] = {}
        self._poll_timer: asyncio.TimerHandle | None = None
        self._budget = retry.RetryBudget()
        self._metrics = _Metrics(registry=kernel.registry)
        self.limits = limits.Limits(max_buffered_bytes=settings.gateway.max_buffered_bytes)
        self.selector = selection.Selector(
            directory=self._directory,
            slots=kernel.find(names.SLOTS, slots.Slots),
            health=kernel.find(names.HEALTH, slots.Health),
            failure_domain=settings.failure_domain,
            random_source=self._random,
            on_release=self._on_release,
            count_choice=self._metrics.count_choice,
        )
        self._lone_runs = lone_runs.LoneRuns(
            selector=self.selector, crash_quarantine=self._quarantine, check_now=self._check_now
        )
        self._directory.subscribe(self._on_directory_change)

    async def stop(self) -> None:
        """Refuses all waiting requests."""
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        for service in list(self._queues_by_service):
            self._refuse_all(service, refusals.stopping())

    def admit(self, request: interfaces.Request) -> interfaces.Ticket | failure.Refusal:
        """Checks rate, concurrency, memory and quarantine without waiting."""
        workspace = self._directory.config().workspaces_by_name.get(request.workspace)
        if workspace is None:
            return refusals.unknown_workspace(request)
        quarantined = self._quarantine.check(request)
        if quarantined is not None:
            return self._count_refusal(quarantined)
        ticket = self.limits.reserve(workspace, request.size)
        if isinstance(ticket, failure.Refusal):
            return self._count_refusal(ticket)
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
        refusal = self._check_now(request)
        if refusal is not None:
            return self._count_refusal(refusal)
        suspect = self._quarantine.find_suspect(request)
        if suspect is not None:
            return self._count_if_refused(await self._lone_runs.choose(request, suspect, exclude))
        result: interfaces.Choice | failure.Failure | None = None
        if not self._queue(request.service):
            result = self._acquire(request, exclude)
            if isinstance(result, interfaces.Choice):
                return result
        return await self._wait(request, exclude, no_target=isinstance(result, selection.NoTarget))

    def queued(self, service: str) -> int:
        """Returns the number of requests that wait for a slot of a service."""
        return len(self._queue(service))

    async def _wait(
        self, request: interfaces.Request, exclude: frozenset[str], *, no_target: bool
    ) -> interfaces.Choice | failure.Refusal:
        if no_target and exclude:
            return self._count_refusal(refusals.no_healthy_group(request))
        waiter = self._make_waiter(request, exclude)
        refusal = self._make_room(waiter) or self._check_deadline(waiter)
        if refusal is not None:
            return self._count_refusal(refusal)
        wait_until = clock.monotonic() + NO_TARGET_SECONDS if no_target else request.deadline
        self._enqueue(waiter, min(wait_until, request.deadline))
        try:
            result = await waiter.result
        except asyncio.CancelledError:
            self._on_cancelled(waiter)
            raise
        self._metrics.waits.observe(clock.monotonic() - waiter.enqueued_at)
        return self._count_if_refused(result)

    def _make_waiter(
        self, request: interfaces.Request, exclude: frozenset[str]
    ) -> fair_queue.Waiter:
        workspace = self._directory.config().workspaces_by_name.get(request.workspace)
        weight = (
            fair_queue.effective_weight(workspace.weight, workspace.priority) if workspace else 1.0
        )
        return fair_queue.Waiter(
            request=request,
            exclude=exclude,
            weight=weight,
            result=asyncio.get_running_loop().create_future(),
            enqueued_at=clock.monotonic(),
        )

    def _enqueue(self, waiter: fair_queue.Waiter, wait_until: float) -> None:
        loop = asyncio.get_running_loop()
        waiter.timer = loop.call_at(wait_until, self._on_timeout, waiter)
        self._queue(waiter.request.service).push(waiter)
        self._queued_total += 1
        self._metrics.queued.set(self._queued_total)
        self._schedule_poll()

    def _make_room(self, waiter: fair_queue.Waiter) -> failure.Refusal | None:
        """Refuses the last request of the longest flow if the queue is full.

        Returns:
            The refusal of the new request, if its workspace already uses its share of the queue.
        """
        request = waiter.request
        queue = self._queue(request.service)
        if len(queue) < self._max_queued_per_service:
            return None
        share = queue.fair_share(request.workspace, waiter.weight, len(queue))
        longest = queue.longest_flow()
        if longest is None or queue.backlog(request.workspace) + 1 > share:
            return refusals.queue_full(request, self._queue_seconds(request.service))
        evicted = longest.waiters[-1]
        self._remove(evicted)
        evicted.resolve(refusals.queue_full(evicted.request, self._queue_seconds(request.service)))
        return None

    def _check_deadline(self, waiter: fair_queue.Waiter) -> failure.Refusal | None:
        """Refuses a request that cannot meet its deadline behind the requests before it."""
        request = waiter.request
        throughput = self.selector.throughput_of(request.service)
        if not throughput.is_known:
            return None
        queue = self._queue(request.service)
        wait = queue.estimate_wait(request.workspace, waiter.weight, throughput.rate)
        late = clock.monotonic() + wait + throughput.expected_seconds - request.deadline
        if late <= 0:
            return None
        return refusals.deadline_unreachable(request, late * self._random.uniform(1.0, 1.5))

    def _check_now(self, request: interfaces.Request) -> failure.Refusal | None:
        """Returns the refusal of a request that must not get a slot now, None for any other."""
        checked = self._standing.check()
        if isinstance(checked, standing.NotServing):
            return refusals.not_serving(checked)
        if request.service not in self._directory.config().services_by_name:
            return refusals.unknown_service(request)
        if clock.monotonic() >= request.deadline:
            return refusals.deadline_passed(request)
        return self._quarantine.check(request)

    def _acquire(
        self, request: interfaces.Request, exclude: frozenset[str]
    ) -> interfaces.Choice | selection.NoTarget | selection.AllFull:
        """Acquires a slot; avoids targets on which suspects run if fewer than half have one."""
        occupied = self._quarantine.suspects.occupied_targets()
        count = len(self.selector.tiers_of(request.service).groups)
        avoided = occupied if 2 * len(occupied) < count else frozenset()
        return self.selector.acquire_best(request, exclude | avoided if avoided else exclude)

    def _on_release(self, group: data.Group) -> None:
        if self._queued_total:
            self._serve_queue(group.service, freed=group)

    def _on_directory_change(self) -> None:
        self.selector.directory_changed()
        self._serve_all_queues()

    def _serve_all_queues(self) -> None:
        for service in list(self._queues_by_service):
            self._serve_queue(service)

    def _serve_queue(self, service: str, *, freed: data.Group | None = None) -> None:
        """Assigns free slots to waiting requests in queue order, or refuses them.

        Args:
            service: Name of the service whose queue is served.
            freed: The target of which a slot was just released; only this one is tried.
        """
        queue = self._queue(service)
        while True:
            waiter = queue.head()
            if waiter is None:
                return
            refusal = self._check_now(waiter.request) or self._check_expected_end(waiter)
            result = refusal or self._acquire_for(waiter, freed)
            if isinstance(result, selection.NoTarget) and waiter.exclude:
                result = refusals.no_healthy_group(waiter.request)
            if isinstance(result, selection.NoTarget | selection.AllFull):
                return
            queue.pop_head()
            self._count_dequeued()
            waiter.resolve(result)

    def _acquire_for(
        self, waiter: fair_queue.Waiter, freed: data.Group | None
    ) -> interfaces.Choice | selection.NoTarget | selection.AllFull:
        """Acquires a slot for a waiting request; tries only the freed target if there is one.

        Trying all targets after each release would take time linear in their number. The next poll
        finds the slots that this leaves out.
        """
        if freed is None:
            return self._acquire(waiter.request, waiter.exclude)
        in_force = self.selector.current(freed)
        if in_force is not None:
            avoided = waiter.exclude | self._quarantine.suspects.occupied_targets()
            choice = self.selector.acquire(in_force, avoided)
            if choice is not None:
                return choice
        return selection.AllFull(reason=f"{freed.group_id} has no slot for the next request")

    def _check_expected_end(self, waiter: fair_queue.Waiter) -> failure.Refusal | None:
        """Refuses a request that would probably miss its deadline even if it were sent now."""
        throughput = self.selector.throughput_of(waiter.request.service)
        late = clock.monotonic() + throughput.expected_seconds - waiter.request.deadline
        if late <= 0 or not throughput.is_known:
            return None
        return refusals.deadline_unreachable(
            waiter.request, self._queue_seconds(waiter.request.service)
        )

    def _queue_seconds(self, service: str) -> float:
        """Returns how long the queue takes to empty, with jitter so that retries spread out."""
        throughput = self.selector.throughput_of(service)
        seconds = (len(self._queue(service)) + 1) / throughput.rate if throughput.is_known else 1.0
        return seconds * self._random.uniform(1.0, 1.5)

    def _on_timeout(self, waiter: fair_queue.Waiter) -> None:
        if self._remove(waiter):
            late = clock.monotonic() >= waiter.request.deadline
            refuse = refusals.deadline_passed if late else refusals.no_healthy_group
            waiter.resolve(refuse(waiter.request))

    def _on_cancelled(self, waiter: fair_queue.Waiter) -> None:
        """Removes the request of a cancelled caller; releases a slot that it has just been given."""
        self._remove(waiter)
        if waiter.timer is not None:
            waiter.timer.cancel()
        if waiter.result.cancelled() or not waiter.result.done():
            return
        result = waiter.result.result()
        if isinstance(result, interfaces.Choice):
            self.selector.release_unused(result)

    def _remove(self, waiter: fair_queue.Waiter) -> bool:
        removed = self._queue(waiter.request.service).remove(waiter)
        if removed:
            self._count_dequeued()
        return removed

    def _count_dequeued(self) -> None:
        self._queued_total -= 1
        self._metrics.queued.set(self._queued_total)

    def _refuse_all(self, service: str, refusal: failure.Refusal) -> None:
        for waiter in self._queue(service).waiters():
            self._remove(waiter)
            waiter.resolve(refusal)

    def _queue(self, service: str) -> fair_queue.FairQueue:
        queue = self._queues_by_service.get(service)
        if queue is None:
            queue = self._queues_by_service[service] = fair_queue.FairQueue()
        return queue

    def _schedule_poll(self) -> None:
        """Schedules a look at all queues: new credits free slots without a release."""
        if self._poll_timer is None:
            targets = sum(
                self.selector.target_count(service) for service in self._queues_by_service
            )
            seconds = max(POLL_SECONDS, POLL_SECONDS_PER_TARGET * targets)
            self._poll_timer = asyncio.get_running_loop().call_later(seconds, self._on_poll)

    def _on_poll(self) -> None:
        self._poll_timer = None
        self._serve_all_queues()
        if self._queued_total:
            self._schedule_poll()

    def _count_if_refused(
        self, result: interfaces.Choice | failure.Refusal
    ) -> interfaces.Choice | failure.Refusal:
        return self._count_refusal(result) if isinstance(result, failure.Refusal) else result

    def _count_refusal(self, refusal: failure.Refusal) -> failure.Refusal:
        self._metrics.refusals.labels(code=refusal.code).inc()
        return refusal


class _Metrics:
    """Metrics of queue length, waits, refusals, retries and choices."""

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
        """Counts a choice; caches the labelled counters, because this runs for each request."""
        counter = self._choices_by_kind.get(kind)
        if counter is None:
            counter = self._choices_by_kind[kind] = self._choices.labels(kind=kind)
        counter.inc()
