"""Emulates a runner of the users' platform: engine orders, event streams and plain answers.

It keeps a log of what it ran and in which group. Tests check the system's guarantees against it.
"""

import asyncio
import contextlib
import dataclasses
import json
import random
from collections.abc import Callable
from typing import Any

from tornado import iostream, web

from basilpost.core import clock
from basilpost.emulator import (
    invalid_answers,
    pool_store,
    second_answers,
    server,
    silent_connections,
    stream_endings,
    unframed_answers,
)

SIGNATURE = "X-Runner-Signature"
_ATTEMPT = "X-Attempt-Id"
_ENDLESS_CHUNK_BYTES = 262_144
_SILENT_POLL_SECONDS = 0.01
_CLOSING_POLL_SECONDS = 0.01
_QUEUE_POLL_SECONDS = 0.01
# Time without progress after which a group that lost a member cuts its streams.
_STALL_SECONDS = 0.5
_ENDLESS_HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Runner-Signature: s\r\n"
# What a runner sends first and what it repeats for ever.
_ENDLESS = {
    "status": (b"", b"x"),
    "head": (_ENDLESS_HEAD, b"X-Filler: y\r\n"),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "body": (_ENDLESS_HEAD + b"\r\n", b"z"),
    "chunks": (_ENDLESS_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"5\r\nabcde\r\n"),
    "event": (_ENDLESS_HEAD + b"Content-Type: text/event-stream\r\n\r\n", b"data: e "),
    "events": (_ENDLESS_HEAD + b"Content-Type: text/event-stream\r\n\r\n", b"data: e\n\n"),
}


@dataclasses.dataclass(kw_only=True)
class Options:
    """How a runner behaves; a test may change it while the runner runs.

    Attributes:
        load_seconds: Time to load weights from the weight store.
        warm_seconds: Time to load weights that are staged on the host.
        open_seconds: Time to open a group.
        events: Number of events of a stream.
        event_seconds: Time between events.
        work_seconds: Time that a request to a plain service takes.
        padding_bytes: Length of a field of no meaning in the answers of a plain service.
        slowest_event_seconds: If set, the time between events is drawn for each stream, between
            `event_seconds` and this.
        slowest_work_seconds: If set, the same for requests to a plain service.
        running: Streams that run at once; further ones wait for one to end. 0 for no limit.
        waiting: Streams that may wait; those beyond are rejected with 503.
        full: True to reject requests with 503 before running them.
        fail: True to run requests and answer them with a signed 500.
        lose_answers: Number of coming requests that run but whose connection is closed unanswered.
        stray_answers: Number of coming requests to a plain service on whose connection an answer to
            another request, a stray answer, is sent first.
        unnamed_stray_answers: True to leave the request id out of stray answers.
        refuses_as_stray: True to send refusals that say "not run" as stray answers.
        answers_twice: How requests are answered twice, None for once.
        invalid_statuses: Which requests are answered with an invalid status, None for none.
        copied_streams: How copies of whole streams follow these on their connections, None for none.
        unframed: Which successes have no length, None for none; those that answer twice have one.
        resumed_answer: What is sent on the connection of a stream that is resumed, in place of its
            answer; empty to resume it.
        order_delay: Seconds by which coming orders are delayed; those get no answer. 0 for none.
        late_order_share: Share of the orders that get no answer and are carried out some seconds
            later.
        late_order_seconds: Range of the time by which these are late.
        cut_streams: Number of coming streams that are cut off in the middle of an event.
        cut_after_events: Whole events that such a stream sends first.
        names_runs: True to name in each event the runner, and the event after which the run began.
        stalled: True to send no events, as a group does that lost a member.
        silent: True to neither answer nor send anything until it is False again.
        endless: Part of the answer whose bytes never end, empty for none; a key of `_ENDLESS`.
        limit_per_second: Limit that answers name, None for none.
        retry_after: Text of the pause that rejections with 503 ask for, empty for none.
        leaving: True to say in all answers that the runner leaves, though its entry does not.
        crash_parts: Parts of prompts that crash the runner when it begins to write an answer.
        crash_bodies: Bodies of requests that crash the runner.
        crash_seconds: Time from the begin of such a request to the crash, unless it is answered before;
            whether its caller still waits or not. None to crash when the answer would begin.
        crash_events: Number of events of its stream, 0 for as many as others have.
        down_seconds: Time from a crash to the runner's next start.
        entry_seconds: Time from a crash until its entry is removed from the store, unless it has started
            again by then.
    """

    load_seconds: float = 0.2
    warm_seconds: float = 0.02
    open_seconds: float = 0.02
    events: int = 6
    event_seconds: float = 0.01
    work_seconds: float = 0.005
    padding_bytes: int = 0
    slowest_event_seconds: float = 0.0
    slowest_work_seconds: float = 0.0
    running: int = 0
    waiting: int = 0
    full: bool = False
    fail: bool = False
    lose_answers: int = 0
    stray_answers: int = 0
    unnamed_stray_answers: bool = False
    refuses_as_stray: bool = False
    answers_twice: second_answers.SecondAnswers | None = None
    copied_streams: second_answers.StreamCopies | None = None
    invalid_statuses: invalid_answers.InvalidAnswers | None = None
    unframed: unframed_answers.UnframedAnswers | None = None
    resumed_answer: bytes = b""
    order_delay: float = 0.0
    late_order_share: float = 0.0
    late_order_seconds: tuple[float, float] = (2.0, 12.0)
    cut_streams: int = 0
    cut_after_events: int = 2
    names_runs: bool = False
    stalled: bool = False
    silent: bool = False
    endless: str = ""
    limit_per_second: float | None = None
    retry_after: str = ""
    leaving: bool = False
    crash_parts: frozenset[str] = frozenset()
    crash_bodies: frozenset[bytes] = frozenset()
    crash_seconds: float | None = None
    crash_events: int = 0
    down_seconds: float = 2.0
    entry_seconds: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """A request that a runner began to run.

    Attributes:
        attempt: Id of the request.
        workspace: Workspace that the node named, empty for none.
        path: Path and query of the request.
        body: Body of the request.
        group: Group that ran it, empty for plain services.
        epoch: Epoch of the group, 0 for plain services.
        after: Id of the event after which a resumed stream continues, empty for a new one.
        credential_forwarded: True if the node passed the caller's API key on.
        at: When it began, in seconds of `clock.elapsed`.
        parts: Ids of the parts of its prompt.
    """

    attempt: str
    workspace: str
    path: str
    body: bytes
    group: str
    epoch: int
    after: str
    credential_forwarded: bool
    at: float = 0.0
    parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """A runner's own, first answer to a request.

    Attributes:
        attempt: Id of the request.
        status: Status of the answer.
        body: Body of the answer, empty for a stream.
        at: When it was sent, in seconds of `clock.elapsed`.
    """

    attempt: str
    status: int
    body: bytes
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crash:
    """A crash of a runner.

    Attributes:
        at: When it crashed, in seconds of `clock.elapsed`.
        parts: Ids of the parts of the prompt that caused it.
        body: Body of the request that caused it.
    """

    at: float
    parts: tuple[str, ...]
    body: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached a runner.

    Attributes:
        attempt: Id of the request.
        at: When the runner read it, in seconds of `clock.elapsed`.
        deadline_ms: Time that the node named for it, None if it named none.
        lifetime: Number of the runner's start.
        ran: False if the runner rejected it.
    """

    attempt: str
    at: float
    deadline_ms: int | None
    lifetime: int = 1
    ran: bool = True


class PoolRunner(server.EmulatedServer):
    """The emulated runner of one VM; it registers in the store as the platform's runners do.

    Attributes:
        vm_id: Id of the VM.
        service: Service that the runner works for.
        failure_domain: Failure domain of the VM.
        fabric_domain: Fabric domain of the VM, empty for a plain service.
        options: How the runner behaves.
        runs: Log of the requests that it began to run.
        joins: Log of the joins: the group, and the group that the runner was in before if any.
        orders: All orders that it received.
        member: Its membership in a group as written to the store, None if it is in no group.
        members: Ids of the VMs of its group, by rank.
        staged: Models whose weights are on the VM's host, ready to be loaded quickly.
        state: State of the runner as written to the store.
        highest_fence: Highest fencing token that it has accepted.
        refused_orders: The orders that it answered with 412.
        late_orders: Number of the orders that it left unanswered to carry them out later.
        highest_epoch: Highest epoch of the groups that it was ordered to join.
        begun_orders: Number of the orders that began something since its present start. An order
            that expects another number is refused.
        born: Number of its present start.
        crashes: Its crashes.
        announced_address: Address that its entry names, its own one if empty; such as a proxy's.
        on_down: Called with True when it listens no more, with False when it does so again after a crash.
        arrivals: When each request arrived, also of those that it rejected and of status requests.
        arrival_log: The requests that arrived, also those that it rejected, without status requests.
        ended_at: When it crashed or vanished.
        status_requests: When each status request arrived.
        rejections: When it rejected a request as full.
        cut_off: Ids of the requests that it cut off as ordered.
        answers: Its own, first answers to requests, in the order of the answers; the bodies of streams
            are left out.
        endings: How its streams ended.
        is_listed: False once it leaves without a report; its entry is not written any more.
        has_lost_member: Tells whether a member of its group has left, joined another one or ended. Its
            streams move no further then, and are cut after a while; the group is broken then.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        service: str,
        store: pool_store.PoolStore,
        failure_domain: str = "a",
        fabric_domain: str = "",
        options: Options | None = None,
    ) -> None:
        super().__init__()
        self.vm_id = vm_id
        self.service = service
        self.failure_domain = failure_domain
        self.fabric_domain = fabric_domain
        self.options = options or Options()
        self.runs: list[Run] = []
        self.joins: list[tuple[str, str | None]] = []
        self.orders: list[dict[str, Any]] = []
        self.member: dict[str, Any] | None = None
        self.members: list[str] = []
        self.staged: list[str] = []
        self.state = "ready"
        self.highest_fence = 0
        self.refused_orders: list[dict[str, Any]] = []
        self.highest_epoch = 0
        self.begun_orders = 0
        self.late_orders = 0
        self.born = 1
        self.crashes: list[Crash] = []
        self.announced_address = ""
        self.on_down: Callable[[bool], None] = lambda down: None
        self.arrivals: list[float] = []
        self.arrival_log: list[Arrival] = []
        self.ended_at: list[float] = []
        self.status_requests: list[float] = []
        self.rejections: list[float] = []
        self.cut_off: list[str] = []
        self.answers: list[Answer] = []
        self.endings: list[stream_endings.Ending] = []
        self.is_listed = True
        self.has_lost_member: Callable[[], bool] = lambda: False
        self._working: dict[_WorkHandler, str] = {}
        self._last_model = ""
        self._check_ins = 0
        self._order_random = random.Random(vm_id)
        self._store = store
        self._tasks: set[asyncio.Task[None]] = set()
        self._returns: set[asyncio.Task[None]] = set()

    @property
    def first_statuses(self) -> list[tuple[str, int]]:
        """Returns the id of each request of `answers` with the status of the answer."""
        return [(answer.attempt, answer.status) for answer in self.answers]

    @property
    def is_working(self) -> bool:
        """Returns True if a stream is at work."""
        return bool(self._working)

    @property
    def stream_count(self) -> int:
        """Returns the number of streams that run or wait."""
        return len(self._working)

    def position_of(self, handler: "_WorkHandler") -> int:
        """Returns how many streams came before the one of a handler and have not ended."""
        return list(self._working).index(handler)

    def routes(self) -> server.Routes:
        """Returns the handlers of the runner."""
        owner = {"owner": self}
        return [
            (r"/api/order", _OrderHandler, owner),
            (r"/api/report|/health", _StatusHandler, owner),
            (r"/.*", _WorkHandler, owner),
        ]

    async def start(self) -> str:
        """Starts listening, registers in the store and returns the address."""
        address = await super().start()
        await self.report()
        return address

    async def leave_list(self) -> None:
        """Removes its entry from the store without a report before; it serves on meanwhile."""
        self.is_listed = False
        await self._store.remove(f"servers/{self.vm_id}")

    async def vanish(self) -> None:
        """Stops without notice and removes its entry from the store."""
        self.ended_at.append(clock.elapsed())
        self.on_down(True)
        await self.stop()
        await self._store.remove(f"servers/{self.vm_id}")

    def stop_listening(self) -> None:
        """Takes no new connections; requests on those that are open go on."""
        self.on_down(True)
        if self._server is not None:
            self._server.stop()

    def crash_after(
        self, seconds: float, parts: tuple[str, ...], body: bytes
    ) -> asyncio.Task[None]:
        """Crashes after some time, unless the runner ends before or the returned task is cancelled."""

        async def crash() -> None:
            await asyncio.sleep(seconds)
            self.crash(parts, body)

        return self._run_in_background(crash())

    def crash(self, parts: tuple[str, ...] = (), body: bytes = b"") -> None:
        """Ends at once and starts again after some time, as another process without a group."""
        self.crashes.append(Crash(at=clock.elapsed(), parts=parts, body=body))
        self.ended_at.append(self.crashes[-1].at)
        self.on_down(True)
        task = asyncio.get_running_loop().create_task(self._crash_and_return())
        self._returns.add(task)
        task.add_done_callback(self._returns.discard)

    async def _crash_and_return(self) -> None:
        options = self.options
        self.member, self.members, self._last_model = None, [], ""
        self.highest_fence = self.highest_epoch = 0
        self.begun_orders = self._check_ins = 0
        self.born += 1
        self.state = "ready"
        for task in list(self._tasks):
            task.cancel()
        await super().stop()
        if options.entry_seconds < options.down_seconds:
            await asyncio.sleep(options.entry_seconds)
            await self._store.remove(f"servers/{self.vm_id}")
            await asyncio.sleep(options.down_seconds - options.entry_seconds)
        else:
            # Its entry has not expired when it reports again.
            await asyncio.sleep(options.down_seconds)
        self.on_down(False)
        await self.start()

    async def stop(self) -> None:
        """Stops listening and cancels loads and other orders that are being carried out."""
        for task in [*self._tasks, *self._returns]:
            task.cancel()
        await super().stop()

    async def report(self) -> None:
        """Writes the runner's entry to the store."""
        if not self.is_listed:
            return
        self._check_ins += 1
        entry = {
            "service": self.service,
            "address": self.announced_address or self.address,
            "zone": self.failure_domain,
            "version": "v1",
            "slots": 4,
            "state": self.state,
            "coldRemainingMs": 0,
            "born": self.born,
            # In an entry this counts check-ins; orders are counted in the runner's own report.
            "sequence": self._check_ins,
        }
        if self.fabric_domain:
            entry |= {"domain": self.fabric_domain, "staged": self.staged, "group": self.member}
        await self._store.put(f"servers/{self.vm_id}", entry)

    async def handle_order(self, order: dict[str, Any]) -> int:
        """Carries an order out, possibly in the background, and returns the HTTP status."""
        status = await self._execute_order(order)
        if status == 412:
            self.refused_orders.append(order)
        return status

    async def _execute_order(self, order: dict[str, Any]) -> int:
        if order.get("fence", 0) < self.highest_fence:
            return 412
        self.highest_fence = order.get("fence", 0)
        if order.get("expected", self.begun_orders) != self.begun_orders:
            return 409
        match order["operation"]:
            case "join":
                return await self._join(order)
            case "open":
                return await self._open(order)
            case "close":
                return await self._close(order)
            case "leave":
                return await self._leave(order)
            case "stage":
                self.begun_orders += 1
                self._run_in_background(self._stage(order["model"]))
                return 202
        return 400

    @property
    def is_broken(self) -> bool:
        """Returns True if its group has stalled after the loss of a member."""
        return self.member is not None and self.member["state"] == "broken"

    async def break_group(self) -> None:
        """Reports its open group as broken; streams that have begun are cut."""
        if self.member is not None and self.member["state"] == "open":
            self.member = {**self.member, "state": "broken"}
            await self.report()

    async def _join(self, order: dict[str, Any]) -> int:
        if order["epoch"] < self.highest_epoch:
            return 412
        self.highest_epoch = order["epoch"]
        if self._is_in(order):
            return 200 if self.members == order["members"] else 412
        self.begun_orders += 1
        before = self.member["name"] if self.member else None
        self.joins.append((order["group"], before))
        self.members = order["members"]
        self.member = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": self.members.index(self.vm_id),
            "state": "joining",
        }
        await self.report()
        self._run_in_background(self._load(order))
        return 202

    async def _load(self, order: dict[str, Any]) -> None:
        model = order["model"]
        if model != self._last_model:
            is_staged = model in self.staged
            await asyncio.sleep(
                self.options.warm_seconds if is_staged else self.options.load_seconds
            )
        if self._is_in(order) and self.member is not None:
            self._last_model, self.staged = model, [model]
            self.member = {**self.member, "state": "ready"}
            await self.report()

    async def _open(self, order: dict[str, Any]) -> int:
        if not self._is_in(order) or self.member is None or self.member["state"] != "ready":
            return 409
        self.begun_orders += 1
        self._run_in_background(self._finish_open(order))
        return 202

    async def _finish_open(self, order: dict[str, Any]) -> None:
        await asyncio.sleep(self.options.open_seconds)
        await self._set_state(order, "open")

    async def _close(self, order: dict[str, Any]) -> int:
        """Ends the group's service; it is ready again when no request is at work any more."""
        status = await self._set_state(order, "closing")
        if status == 200:
            self.begun_orders += 1
            if order.get("closeMode") == "cutoff":
                self._cut_off_requests()
            self._run_in_background(self._finish_close(order))
        return status

    def _cut_off_requests(self) -> None:
        for handler, attempt in self._working.items():
            self.cut_off.append(attempt)
            handler.cut_connection()
            handler.ended_by = stream_endings.EndedBy.ORDER
        self._working.clear()

    async def _finish_close(self, order: dict[str, Any]) -> None:
        while self._working:
            await asyncio.sleep(_CLOSING_POLL_SECONDS)
        await self._set_state(order, "ready")

    async def _set_state(self, order: dict[str, Any], state: str) -> int:
        if not self._is_in(order) or self.member is None:
            return 409
        self.member = {**self.member, "state": state}
        await self.report()
        return 200

    async def _leave(self, order: dict[str, Any]) -> int:
        if self._is_in(order):
            self.begun_orders += 1
            self.member, self.members = None, []
            # An order to leave takes effect at once, so a head finishes nothing.
            self._cut_off_requests()
            await self.report()
        return 200

    async def _stage(self, model: str) -> None:
        await asyncio.sleep(self.options.load_seconds)
        self.staged = [model]
        await self.report()

    def _is_in(self, order: dict[str, Any]) -> bool:
        if self.member is None:
            return False
        return (self.member["name"], self.member["epoch"]) == (order["group"], order["epoch"])

    def _run_in_background(self, coroutine: Any) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


class _OrderHandler(server.JsonHandler):
    def initialize(self, owner: PoolRunner) -> None:
        self.owner = owner

    async def post(self) -> None:
        order = self.body_json()
        self.owner.orders.append(order)
        if self.owner.options.order_delay:
            self.owner._run_in_background(
                self._handle_delayed(order, self.owner.options.order_delay)
            )
            self.drop_connection()
            return
        if self.request.headers.get("X-Expect-Runner") != self.owner.vm_id:
            self.answer({}, status=421)
            return
        if self._draws_late():
            self.owner.late_orders += 1
            delay = self.owner._order_random.uniform(*self.owner.options.late_order_seconds)
            self.owner._run_in_background(self._handle_delayed(order, delay))
            # The connection stays open without an answer until the sender gives it up.
            await asyncio.sleep(delay)
            self.drop_connection()
            return
        self.answer({}, status=await self.owner.handle_order(order))

    def _draws_late(self) -> bool:
        return self.owner._order_random.random() < self.owner.options.late_order_share

    async def _handle_delayed(self, order: dict[str, Any], delay: float) -> None:
        await asyncio.sleep(delay)
        await self.owner.handle_order(order)


class _StatusHandler(server.JsonHandler):
    def initialize(self, owner: PoolRunner) -> None:
        self.owner = owner

    async def get(self) -> None:
        await self.owner.silent_connections.block_if_silent(self.request)
        while self.owner.options.silent:
            await asyncio.sleep(_SILENT_POLL_SECONDS)
        now = clock.elapsed()
        self.owner.arrivals.append(now)
        self.owner.status_requests.append(now)
        self.answer(
            {
                "sequence": self.owner.begun_orders,
                "born": self.owner.born,
                "group": self.owner.member,
                "staged": self.owner.staged,
            }
        )


class _WorkHandler(web.RequestHandler):
    def initialize(self, owner: PoolRunner) -> None:
        self.owner = owner
        self._options = owner.options
        self._coming_crash: asyncio.Task[None] | None = None
        # Bytes that are written behind the whole answer, and how many seconds later.
        self._behind_answer: tuple[bytes, float] | None = None
        self._is_unframed = False
        # What ends the stream if this end does; None for the other end.
        self.ended_by: stream_endings.EndedBy | None = None

    async def get(self) -> None:
        await self._work()

    post = put = delete = patch = get

    async def _work(self) -> None:
        await self.owner.silent_connections.block_if_silent(self.request)
        while self._options.silent:
            await asyncio.sleep(_SILENT_POLL_SECONDS)
        headers = self.request.headers
        self.owner.arrivals.append(clock.elapsed())
        self.set_header(_ATTEMPT, headers.get(_ATTEMPT, ""))
        if self._options.limit_per_second is not None:
            self.set_header("Server-Limit", f"{self._options.limit_per_second:.2f}")
        if self._options.leaving:
            self.set_header("Server-Leaving", "1")
        if headers.get("X-Expect-Runner") != self.owner.vm_id or not self._serves():
            self._log_arrival(ran=False)
            self._reject(421)
            return
        if self._options.full or self._has_no_room() or self.owner.is_broken:
            self.owner.rejections.append(clock.elapsed())
            self._log_arrival(ran=False)
            self._reject(503)
            return
        self._log_run()
        if self._crashes_runner() and self._options.crash_seconds is not None:
            self._coming_crash = self.owner.crash_after(
                self._options.crash_seconds, self._prompt_parts(), self.request.body
            )
        if self._options.endless:
            await self._send_endless(*_ENDLESS[self._options.endless])
        elif (status := self._draw_invalid_status()) is not None:
            self._send_invalid(status)
        elif self._options.lose_answers > 0:
            self._options.lose_answers -= 1
            self._drop()
        elif self._options.fail:
            self.set_status(500)
            self.set_header(SIGNATURE, "s")
            self._log_answer(b"failed")
            self.finish(b"failed")
        elif self.owner.fabric_domain:
            self.owner._working[self] = headers.get(_ATTEMPT, "")
            born, members = self.owner.born, tuple(self.owner.members)
            try:
                await self._wait_for_slot()
                await self._answer_stream()
            except iostream.StreamClosedError:
                # The caller has left, or the group was closed by cutting its requests off.
                self._finished = True
            finally:
                self.owner._working.pop(self, None)
                self._log_ending(born, members)
        else:
            await self._answer_plain()

    def _serves(self) -> bool:
        if not self.owner.fabric_domain:
            return True
        return self.owner.member is not None and self.owner.member["state"] in ("open", "broken")

    def _has_no_room(self) -> bool:
        room = self._options.running + self._options.waiting
        return bool(self._options.running) and self.owner.stream_count >= room

    async def _wait_for_slot(self) -> None:
        while self._options.running:
            if silent_connections.stream_of(self.request).closed():
                raise iostream.StreamClosedError
            if self.owner.position_of(self) < self._options.running:
                return
            await asyncio.sleep(_QUEUE_POLL_SECONDS)

    def _reject(self, status: int) -> None:
        self.set_status(status)
        self.set_header("X-Not-Executed", "1")
        if status == 503 and self._options.retry_after:
            self.set_header("Retry-After", self._options.retry_after)
        self.finish()

    def _log_arrival(self, *, ran: bool) -> None:
        deadline = self.request.headers.get("X-Deadline-Ms", "")
        self.owner.arrival_log.append(
            Arrival(
                attempt=self.request.headers.get(_ATTEMPT, ""),
                at=clock.elapsed(),
                deadline_ms=int(deadline) if deadline.isdecimal() else None,
                lifetime=self.owner.born,
                ran=ran,
            )
        )

    def _log_run(self) -> None:
        self._log_arrival(ran=True)
        headers, member = self.request.headers, self.owner.member or {}
        self.owner.runs.append(
            Run(
                attempt=headers.get(_ATTEMPT, ""),
                workspace=headers.get("X-Tenant", ""),
                path=self.request.uri or "",
                body=self.request.body,
                group=member.get("name", ""),
                epoch=member.get("epoch", 0),
                after=headers.get("Last-Event-Id", ""),
                credential_forwarded="X-Credential" in headers,
                at=clock.elapsed(),
                parts=self._prompt_parts(),
            )
        )

    def _log_ending(self, born: int, members: tuple[str, ...]) -> None:
        ended_by = self.ended_by
        if ended_by is None:
            has_ended = self.owner.born != born or not self.owner.is_serving
            ended_by = stream_endings.EndedBy.RUNNER if has_ended else stream_endings.EndedBy.NODE
        self.owner.endings.append(
            stream_endings.Ending(
                attempt=self.request.headers.get(_ATTEMPT, ""),
                at=clock.elapsed(),
                by=ended_by,
                members=members,
            )
        )

    async def _answer_plain(self) -> None:
        await asyncio.sleep(
            self._draw_seconds(self._options.work_seconds, self._options.slowest_work_seconds)
        )
        if self._crashes_at_answer():
            self._drop()
            self.owner.crash(body=self.request.body)
            return
        answer: dict[str, Any] = {"attempt": self.request.headers.get(_ATTEMPT)}
        if self._options.answers_twice is not None:
            # Tells the answers to repeats under one id apart.
            answer["run"] = f"{self.owner.vm_id}/{len(self.owner.runs)}"
        if self._options.padding_bytes:
            answer["padding"] = "x" * self._options.padding_bytes
        body = json.dumps(answer).encode()
        if self._options.stray_answers > 0:
            self._options.stray_answers -= 1
            name = b"" if self._options.unnamed_stray_answers else b"X-Attempt-Id: stray\r\n"
            if self._options.refuses_as_stray:
                refusal = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
                self._write_raw(refusal + name + b"\r\n")
            else:
                stray = b"HTTP/1.1 200 OK\r\n" + name + b"Content-Length: 5\r\n"
                self._write_raw(stray + b"X-Runner-Signature: s\r\n\r\nstray")
        if self._options.answers_twice is not None:
            body = self._prepare_second_answer(self._options.answers_twice, body)
        self._log_answer(body)
        if not self._says_not_run():
            self.set_header(SIGNATURE, "s")
        try:
            await self._begin_unframed()
            if self._is_unframed:
                await self._write_halves(body)
        except iostream.StreamClosedError:
            # The caller has left, or the runner has ended.
            return
        self._end(body)

    async def _begin_unframed(self) -> None:
        """Draws whether the answer has a length, and sends its head if it has none."""
        plan = self._options.unframed
        if plan is None or self._behind_answer is not None or self.get_status() != 200:
            return
        attempt = self.request.headers.get(_ATTEMPT, "")
        self._is_unframed = plan.draw(random.Random(f"unframed {attempt} {self.owner.vm_id}"))
        if self._is_unframed:
            self._finished = True
            await self._write_part(unframed_answers.encode_head(self._headers))

    async def _write_halves(self, body: bytes) -> None:
        assert self._options.unframed is not None
        middle = len(body) // 2
        await self._write_part(body[:middle])
        await asyncio.sleep(self._options.unframed.pause_seconds)
        await self._write_part(body[middle:])

    async def _write_part(self, data: bytes) -> None:
        if self._is_unframed:
            await silent_connections.stream_of(self.request).write(data)
        else:
            self.write(data)
            await self.flush()

    def _log_answer(self, body: bytes) -> None:
        self.owner.answers.append(
            Answer(
                attempt=self.request.headers.get(_ATTEMPT, ""),
                status=self.get_status(),
                body=body,
                at=clock.elapsed(),
            )
        )

    def _prepare_second_answer(self, plan: second_answers.SecondAnswers, body: bytes) -> bytes:
        """Has a second answer written behind the first one; returns the body of the first one."""
        attempt = self.request.headers.get(_ATTEMPT, "")
        delay = plan.draw_delay(random.Random(f"{attempt} {self.owner.vm_id}"))
        if delay is None:
            return body
        is_stream = bool(self.owner.fabric_domain)
        second_body = second_answers.SECOND_EVENT if is_stream else second_answers.SECOND_BODY
        self._behind_answer = (plan.encode_second(attempt, second_body), delay)
        if self.request.method != "GET" and not is_stream:
            return body
        if not plan.first_named:
            self.clear_header(_ATTEMPT)
        self.set_status(plan.first_status)
        if plan.first_status == second_answers.NOT_RUN_STATUS:
            self.set_header("X-Not-Executed", "1")
            self._mark_not_run(attempt)
        return body if plan.first_status == 200 else b"failed"

    def _mark_not_run(self, attempt: str) -> None:
        """Logs the last arrival of a request as rejected, as its first answer says."""
        log = self.owner.arrival_log
        index = max(number for number, arrival in enumerate(log) if arrival.attempt == attempt)
        log[index] = dataclasses.replace(log[index], ran=False)

    def _says_not_run(self) -> bool:
        return "X-Not-Executed" in self._headers

    async def _answer_stream(self) -> None:
        if self._options.resumed_answer and self.request.headers.get("Last-Event-Id"):
            name = self.request.headers.get(_ATTEMPT, "").encode()
            self._write_raw(self._options.resumed_answer.replace(b"@", name))
            self._drop()
            return
        body = b""
        if self._options.answers_twice is not None:
            body = self._prepare_second_answer(self._options.answers_twice, b"")
        self._log_answer(body)
        if body:
            if not self._says_not_run():
                self.set_header(SIGNATURE, "s")
            self._end(body)
            return
        self.set_header(SIGNATURE, "s")
        self.set_header("Content-Type", "text/event-stream")
        await self._begin_unframed()
        is_cut = self._options.cut_streams > 0
        self._options.cut_streams -= is_cut
        first = int(self.request.headers.get("Last-Event-Id") or 0) + 1
        pause = self._draw_seconds(self._options.event_seconds, self._options.slowest_event_seconds)
        crashes = self._crashes_at_answer()
        events = self._options.crash_events if self._crashes_runner() else 0
        for number in range(first, (events or self._options.events) + 1):
            await asyncio.sleep(pause)
            if crashes:
                self._drop(by_crash=True)
                self.owner.crash(self._prompt_parts(), self.request.body)
                return
            while self._options.stalled or self._options.silent:
                await asyncio.sleep(self._options.event_seconds)
            if self.owner.has_lost_member():
                await asyncio.sleep(_STALL_SECONDS)
                await self.owner.break_group()
                self._end_in_broken_group()
                return
            if is_cut and number > self._options.cut_after_events:
                await self._write_part(b"id: ")
                self._drop()
                return
            await self._write_part(self._event(number))
        if self._options.copied_streams is not None:
            self._prepare_copy(self._options.copied_streams)
        self._end()

    def _end_in_broken_group(self) -> None:
        """Cuts the stream, or rejects its request if it has no event yet and so has not run."""
        if self._headers_written or self._is_unframed:
            self._drop()
            return
        attempt = self.request.headers.get(_ATTEMPT, "")
        self.owner.runs.remove(
            next(run for run in reversed(self.owner.runs) if run.attempt == attempt)
        )
        self._mark_not_run(attempt)
        self.clear_header(SIGNATURE)
        self.ended_by = stream_endings.EndedBy.RUNNER
        self._reject(503)

    def _event(self, number: int) -> bytes:
        attempt = self.request.headers.get(_ATTEMPT)
        run = ""
        if self._options.names_runs:
            run = f" {self.owner.vm_id} {self.request.headers.get('Last-Event-Id') or 0}"
        return f"id: {number}\ndata: {attempt} {number}{run}\n\n".encode()

    def _prepare_copy(self, plan: second_answers.StreamCopies) -> None:
        """Has a copy of the whole stream written behind it."""
        attempt = self.request.headers.get(_ATTEMPT, "")
        delay = plan.draw_delay(random.Random(f"{attempt} {self.owner.vm_id}"))
        if delay is None:
            return
        body = b"".join(self._event(number) for number in range(1, self._options.events + 1))
        self._behind_answer = (plan.encode_copy(attempt, body), delay)

    def _end(self, body: bytes = b"") -> None:
        """Completes the answer, after which the request does not crash the runner any more."""
        self.ended_by = stream_endings.EndedBy.COMPLETE
        if self._coming_crash is not None:
            self._coming_crash.cancel()
        if self._behind_answer is not None:
            data, delay = self._behind_answer
            stream = silent_connections.stream_of(self.request)
            self.owner._run_in_background(second_answers.write_late(stream, data, delay=delay))
        if self._is_unframed:
            silent_connections.stream_of(self.request).close()
        else:
            self.finish(body)

    def _crashes_runner(self) -> bool:
        return self.request.body in self._options.crash_bodies or not (
            self._options.crash_parts.isdisjoint(self._prompt_parts())
        )

    def _crashes_at_answer(self) -> bool:
        return self._options.crash_seconds is None and self._crashes_runner()

    def _prompt_parts(self) -> tuple[str, ...]:
        text = self.request.headers.get("X-Prompt-Prefix", "")
        return tuple(part.partition(":")[0] for part in text.split(",") if part)

    def _draw_seconds(self, shortest: float, longest: float) -> float:
        """Returns a time that depends on the request's id alone; short times are more frequent."""
        if not longest:
            return shortest
        share = random.Random(self.request.headers.get(_ATTEMPT)).random()
        return float(shortest * (longest / shortest) ** share)

    def _draw_invalid_status(self) -> int | None:
        plan = self._options.invalid_statuses
        if plan is None:
            return None
        attempt = self.request.headers.get(_ATTEMPT, "")
        return plan.draw_status(random.Random(f"invalid {attempt} {self.owner.vm_id}"))

    def _send_invalid(self, status: int) -> None:
        """Writes an answer with an invalid status, and leaves the connection open."""
        attempt = self.request.headers.get(_ATTEMPT, "")
        self._finished = True
        self.set_status(status, "Odd")
        self._log_answer(b"")
        rng = random.Random(f"framing {attempt} {self.owner.vm_id}")
        with contextlib.suppress(iostream.StreamClosedError):
            self._write_raw(invalid_answers.encode(attempt, status=status, rng=rng))

    async def _send_endless(self, begin: bytes, repeated: bytes) -> None:
        """Sends bytes as fast as they are read, until the caller closes the connection."""
        stream = silent_connections.stream_of(self.request)
        self._finished = True
        attempt = self.request.headers.get(_ATTEMPT, "").encode()
        with contextlib.suppress(iostream.StreamClosedError):
            await stream.write(begin % attempt if begin else b"")
            repeated *= max(1, _ENDLESS_CHUNK_BYTES // len(repeated))
            while True:
                await stream.write(repeated)
                await asyncio.sleep(0)

    def _write_raw(self, data: bytes) -> None:
        silent_connections.stream_of(self.request).write(data)

    def _drop(self, *, by_crash: bool = False) -> None:
        self._finished = True
        self.ended_by = stream_endings.EndedBy.RUNNER
        self.cut_connection(by_crash=by_crash)

    def cut_connection(self, *, by_crash: bool = False) -> None:
        """Ends the connection before the answer is complete."""
        stream = silent_connections.stream_of(self.request)
        if self._is_unframed and not by_crash:
            # An orderly end would complete it. That of a crashed process is orderly all the same.
            unframed_answers.reset(stream)
        else:
            stream.close()
