"""Emulates a model engine's runner on one VM.

It follows the rules that the system relies on: only rank 0 of a complete group answers, loading a
model takes time, and a runner in a cold start crashes when it gets more requests than its limit.
"""

import asyncio
import dataclasses
from typing import Any

from tornado import httpclient

from basilpost.core import clock, tasks
from basilpost.emulator import (
    answers,
    batch,
    member_watch,
    prefix_cache,
    records,
    runner_http,
    server,
)
from basilpost.groups import runner_api

_LOAD_TIMEOUT_SECONDS = 3600.0
_LOAD_RETRY_SECONDS = 0.2

_LOADED_STATES = frozenset({runner_api.RunnerState.COLD, runner_api.RunnerState.READY})


class Runner(server.EmulatedServer):
    """The emulated runner of one VM.

    Attributes:
        vm_id: Id of the VM.
        options: How the runner behaves.
        faults: What it is made to do wrong.
        crash_count: Number of crashes so far.
        runs: Log of the requests that it ran.
        memberships: Log of the groups that it was a loaded member of.
        refused_requests: Request id and code of each request that it refused.
        unfrozen: Set unless the fault `freeze` is in force.
        changed: Set and replaced when the runner leaves its group.
        batch: The requests that it runs.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        options: records.RunnerOptions | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        super().__init__(host=host, port=port)
        self.vm_id = vm_id
        self.options = options or records.RunnerOptions()
        self.faults = records.RunnerFaults()
        self.crash_count = 0
        self.runs: list[records.Run] = []
        self.memberships: list[records.Membership] = []
        self.refused_requests: list[tuple[str, str]] = []
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()
        self.changed = asyncio.Event()
        self.batch = batch.Batch(interval=self.options.token_interval)
        self._cache = prefix_cache.PrefixCache(blocks=self.options.cache_blocks)
        self._status = runner_api.RunnerStatus(vm_id=vm_id)
        self._order: runner_api.Order | None = None
        self._member_watch: member_watch.MemberWatch | None = None
        self._tasks = tasks.TaskSet()
        self._load: asyncio.Task[None] | None = None
        self._cold_since = 0.0
        self._served = 0
        self._load_report = (-1.0, 0)
        self._last_answer: tuple[str, list[str]] = ("none", ["[crossed]"])

    def routes(self) -> server.Routes:
        """Returns the handlers of a runner."""
        return runner_http.routes(self)

    async def stop(self) -> None:
        """Stops as a killed process does: connections break, the model and the fence are lost."""
        await self._leave()
        await self._tasks.close()
        self._load = None
        self._status = runner_api.RunnerStatus(vm_id=self.vm_id)
        await super().stop()

    def status(self) -> runner_api.RunnerStatus:
        """Returns the status report; its `in_flight` is up to `load_report_lag` seconds old."""
        self._end_cold_start_if_due()
        now = clock.monotonic()
        if now - self._load_report[0] >= self.options.load_report_lag:
            self._load_report = (now, len(self.batch))
        return dataclasses.replace(self._status, in_flight=self._load_report[1])

    async def handle_order(
        self, order: runner_api.Order
    ) -> runner_api.Accepted | runner_api.StaleFence:
        """Carries an order out unless its fencing token is old and this runner checks tokens.

        An order that repeats the last one but for the fencing token changes nothing else.
        """
        if self.options.checks_fence and order.fence < self._status.fence:
            return runner_api.StaleFence(
                reason=f"{self.vm_id} has accepted fence {self._status.fence}"
            )
        fence = max(self._status.fence, order.fence)
        self._status = dataclasses.replace(self._status, fence=fence)
        if order.kind is runner_api.OrderKind.UNLOAD:
            await self._leave()
            self._reset()
        elif not self._has_accepted(order):
            await self._leave()
            await self._join(order)
        return runner_api.Accepted()

    def is_member(self, group_id: str, generation: int) -> bool:
        """Returns True if this runner is a loaded member of that group and generation."""
        status = self._status
        return (status.group_id, status.generation) == (group_id, generation) and (
            status.state in _LOADED_STATES
        )

    def refusal_code(self, group_id: str, generation: int) -> str | None:
        """Returns the error code with which a request is refused, None if it is accepted."""
        self._end_cold_start_if_due()
        serves = self.is_member(group_id, generation) and self._order is not None
        if not serves or self._order.rank != 0 or not self._is_complete():  # type: ignore[union-attr]
            return "wrong_group"
        if self._status.state is runner_api.RunnerState.READY:
            return "full" if len(self.batch) >= self.options.max_in_flight else None
        return None

    def is_overloaded_when_cold(self) -> bool:
        """Returns True if the runner is in a cold start and one more request makes it crash."""
        return self.cold and len(self.batch) >= self.options.cold_limit

    @property
    def cold(self) -> bool:
        """Returns True while the runner is in a cold start."""
        return self._status.state is runner_api.RunnerState.COLD

    def log_start(self, request_id: str) -> int:
        """Logs the start of a request and returns the index of its entry in `runs`."""
        run = records.Run(
            request_id=request_id,
            vm_id=self.vm_id,
            group_id=self._status.group_id,
            generation=self._status.generation,
            started=clock.monotonic(),
            in_flight=len(self.batch) + 1,
            cold=self.cold,
            cold_limit=self.options.cold_limit,
        )
        self.runs.append(run)
        return len(self.runs) - 1

    def log_end(self, number: int, outcome: str) -> None:
        """Logs the end of the request whose entry has this index."""
        self.runs[number] = dataclasses.replace(
            self.runs[number], finished=clock.monotonic(), outcome=outcome
        )
        self._served += outcome == "finished"

    def answer_for(self, request_id: str, body: dict[str, Any]) -> tuple[str, list[str]]:
        """Returns the request id and the tokens to answer with.

        With the fault `cross_answers` they are those of the request before.
        """
        answer = (request_id, answers.tokens_for(body))
        crossed, self._last_answer = self._last_answer, answer
        return crossed if self.consume_fault("cross_answers") else answer

    def consume_fault(self, fault: str) -> bool:
        """Decrements the counter of a fault and returns True, or returns False if it is 0."""
        remaining = getattr(self.faults, fault)
        if remaining <= 0:
            return False
        self.faults = dataclasses.replace(self.faults, **{fault: remaining - 1})
        return True

    def first_token_after(self, body: dict[str, Any]) -> float:
        """Returns the seconds until the first token, and adds the prompt to the prefix cache."""
        prompt = "".join(str(message.get("content")) for message in body.get("messages", ()))
        missing = self._cache.add(prompt)
        prefill = self.options.prefill_seconds + missing * self.options.block_seconds
        return prefill * self.faults.slow + self.faults.late

    def set_faults(self, faults: records.RunnerFaults) -> None:
        """Replaces the faults that are in force."""
        self.faults = faults
        self.batch.interval = self.options.token_interval * faults.slow
        self.batch.paused = faults.freeze
        if faults.freeze:
            self.unfrozen.clear()
        else:
            self.unfrozen.set()

    def return_to_cold_start(self) -> None:
        """Puts a loaded runner back into a cold start, as an engine may do without notice."""
        if self._status.state in _LOADED_STATES:
            self._start_cold()
            self._cache.clear()

    async def crash(self) -> None:
        """Breaks all requests in flight and restarts without model or group."""
        self.crash_count += 1
        await self._leave()
        self._reset()

    def _is_complete(self) -> bool:
        return self._member_watch is not None and self._member_watch.is_complete

    def _has_accepted(self, order: runner_api.Order) -> bool:
        return self._order is not None and order == dataclasses.replace(
            self._order, fence=order.fence
        )

    async def _join(self, order: runner_api.Order) -> None:
        same_model = (order.model, order.model_version) == (
            self._status.model,
            self._status.model_version,
        )
        self._order = order
        self._status = dataclasses.replace(
            self._status,
            group_id=order.group_id,
            generation=order.generation,
            model=order.model,
            model_version=order.model_version,
        )
        if order.rank == 0:
            self._member_watch = member_watch.MemberWatch(
                members=tuple(address for address in order.members if address != self.address),
                group_id=order.group_id,
                generation=order.generation,
                on_lost=self.batch.break_all,
            )
            self._member_watch.start()
        if same_model and self._status.state in _LOADED_STATES:
            self._start_membership()
        elif not same_model or self._load is None:
            self._start_load()

    def _start_load(self) -> None:
        self._stop_load()
        self._status = dataclasses.replace(self._status, state=runner_api.RunnerState.LOADING)
        self._load = self._tasks.spawn(self._load_weights(), name=f"load-{self.vm_id}")

    async def _load_weights(self) -> None:
        status = self._status
        if self.options.weight_store:
            await _fetch_weights(self.options.weight_store, status.model, status.model_version)
        else:
            await asyncio.sleep(self.options.load_seconds)
        await self.unfrozen.wait()
        self._load = None
        self._start_membership()

    def _start_membership(self) -> None:
        order = self._order
        assert order is not None
        if order.rank == 0:
            self._start_cold()
        else:
            self._status = dataclasses.replace(self._status, state=runner_api.RunnerState.READY)
        self.memberships.append(
            records.Membership(
                vm_id=self.vm_id,
                group_id=order.group_id,
                generation=order.generation,
                members=order.members,
                began=clock.monotonic(),
            )
        )

    def _start_cold(self) -> None:
        self._status = dataclasses.replace(self._status, state=runner_api.RunnerState.COLD)
        self._cold_since = clock.monotonic()
        self._served = 0

    def _end_cold_start_if_due(self) -> None:
        if not self.cold:
            return
        timed_out = clock.monotonic() - self._cold_since >= self.options.warm_seconds
        if timed_out or self._served >= self.options.warm_requests:
            self._status = dataclasses.replace(self._status, state=runner_api.RunnerState.READY)

    async def _leave(self) -> None:
        """Ends the membership and breaks running requests; rank 0 learns it from its open poll."""
        self._order = None
        self._status = dataclasses.replace(self._status, group_id="", generation=0)
        if self.memberships and self.memberships[-1].ended is None:
            self.memberships[-1] = dataclasses.replace(
                self.memberships[-1], ended=clock.monotonic()
            )
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        self.batch.break_all()
        watch, self._member_watch = self._member_watch, None
        if watch is not None:
            await watch.close()

    def _reset(self) -> None:
        self._stop_load()
        self._cache.clear()
        self._status = runner_api.RunnerStatus(vm_id=self.vm_id, fence=self._status.fence)

    def _stop_load(self) -> None:
        if self._load is not None:
            self._load.cancel()
            self._load = None


async def _fetch_weights(base_url: str, model: str, version: str) -> None:
    """Requests the weights from the weight store, repeatedly until a request succeeds."""
    client = httpclient.AsyncHTTPClient()
    url = f"{base_url.rstrip('/')}/v1/weights/{model}/{version}"
    while True:
        try:
            await client.fetch(url, request_timeout=_LOAD_TIMEOUT_SECONDS)
            return
        except (OSError, httpclient.HTTPError):
            await asyncio.sleep(_LOAD_RETRY_SECONDS)
