"""Tells crashed targets from lost answers.

An answer may be lost for many reasons, and a request may end before its answer because its caller
leaves, its deadline passes or this node gives it up; its target may work on. In each case the target
is watched for a while by a connection on which nothing is sent. A target that refuses a new
connection, or closes it again, has crashed, and with it all requests that ended there lately without
an answer. If this node can connect to no target of the service, its links may be to blame: then the
target has crashed if the platform lists its runner's process no more.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from basilpost.core import channels, clock, tasks
from basilpost.routing import crash_evidence

# Time for which a target is watched after a request ended there without an answer. Runners stop work
# on a cancelled request within half a second; a crash long after that has another cause.
WATCH_SECONDS = 1.0
# Longest time for which one connection is held without a request. Servers close such connections after
# some seconds, which is no crash.
HOLD_SECONDS = 1.0
# Longest time for opening the connection that shows whether a target lives.
PROBE_SECONDS = 0.25
# Time in which a new connection is aborted if nothing listens behind it, as by a proxy whose server
# is gone. One that is closed later may have been reset on its way, so a second one is opened.
ABORT_SECONDS = 0.05
# Pause before the probe, in which the other requests at the target are lost too.
GATHER_SECONDS = 0.01
# Time for which a target counts as perhaps crashed while its service cannot be reached. It covers the
# return of a runner, and the removal of its entry after three intervals of silence.
CONFIRM_SECONDS = 6.0
CONFIRM_POLL_SECONDS = 0.1
# Bound on the requests that are remembered for a watched target.
MAX_REQUESTS = 64

# Takes the target, the requests that crashed with it, and the seconds since then.
OnCrash = Callable[[str, Iterable[crash_evidence.LostRequest], float], None]
# Takes the target's service; returns True if other targets can be reached.
FindPath = Callable[[str], Awaitable[bool]]
# Takes the id of a run of a runner process; returns True if the platform lists it no more.
HasEnded = Callable[[str], bool]
Connect = Callable[[str, float], Awaitable[channels.Channel | channels.ConnectFailed]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Ended:
    """A request that ended at a target without an answer, and when, on `clock.elapsed`."""

    request: crash_evidence.LostRequest
    at: float


class _Watch:
    """A watched target and the requests that ended there without an answer.

    Attributes:
        connection_lost: True if a connection to the target broke under one of the requests.
    """

    def __init__(self, *, target_id: str, address: str, service: str, lifetime: str) -> None:
        self.target_id = target_id
        self.address = address
        self.service = service
        self.lifetime = lifetime
        self.connection_lost = False
        self._ended: collections.deque[_Ended] = collections.deque(maxlen=MAX_REQUESTS)

    def add(self, request: crash_evidence.LostRequest) -> None:
        """Adds a request that ended just now."""
        self._ended.append(_Ended(request=request, at=clock.elapsed()))

    @property
    def seconds_left(self) -> float:
        """Returns how much longer the target has to be watched."""
        return self._ended[-1].at + WATCH_SECONDS - clock.elapsed()

    def requests_since(self, at: float) -> list[crash_evidence.LostRequest]:
        """Returns the requests that ended at or after a time."""
        return [ended.request for ended in self._ended if ended.at >= at]


class LossProbe:
    """Watches targets at which requests ended without an answer, each once for all of them."""

    def __init__(
        self,
        *,
        connect: Connect,
        has_path: FindPath,
        has_ended: HasEnded,
        on_down: Callable[[str], None],
        on_crash: OnCrash,
        log: Any,
    ) -> None:
        self._connect = connect
        self._has_path = has_path
        self._has_ended = has_ended
        self._on_down = on_down
        self._on_crash = on_crash
        self._log = log
        self._tasks = tasks.TaskSet(log=log)
        self._watches_by_target: dict[str, _Watch] = {}

    def report_loss(
        self,
        target_id: str,
        address: str,
        request: crash_evidence.LostRequest,
        *,
        service: str,
        lifetime: str = "",
    ) -> None:
        """Adds a request whose connection broke or carried no valid answer.

        Args:
            target_id: The target that it was sent to.
            address: `host:port` of the target.
            request: The request.
            service: Name of the target's service.
            lifetime: Run of the runner process.
        """
        watch = self._watch(target_id, address, service, lifetime)
        watch.add(request)
        watch.connection_lost = True

    def report_cancelled(
        self,
        target_id: str,
        address: str,
        request: crash_evidence.LostRequest,
        *,
        service: str,
        lifetime: str = "",
    ) -> None:
        """Adds a request whose connection this node closed before the answer was complete.

        The arguments are those of `report_loss`.
        """
        self._watch(target_id, address, service, lifetime).add(request)

    async def close(self) -> None:
        """Ends all watches."""
        await self._tasks.close()

    def _watch(self, target_id: str, address: str, service: str, lifetime: str) -> _Watch:
        """Returns the watch of a target, which begins if there is none."""
        watch = self._watches_by_target.get(target_id)
        if watch is None:
            watch = _Watch(target_id=target_id, address=address, service=service, lifetime=lifetime)
            self._watches_by_target[target_id] = watch
            self._tasks.spawn(self._run(watch), name="loss-probe")
        return watch

    async def _run(self, watch: _Watch) -> None:
        crashed = False
        try:
            await asyncio.sleep(GATHER_SECONDS)
            down = await self._goes_down(watch)
            down_at = clock.elapsed()
            if down:
                # Sound requests must not wait for the check whether this node is to blame.
                self._on_down(watch.target_id)
                crashed = await self._has_path(watch.service)
        finally:
            del self._watches_by_target[watch.target_id]
        lost = watch.requests_since(down_at - WATCH_SECONDS)
        if down and not crashed:
            crashed = await self._ends(watch.lifetime)
        self._log.info(
            "target_probed",
            target=watch.target_id,
            down=down,
            crashed=crashed,
            requests=[request.fingerprint for request in lost],
        )
        if crashed:
            self._on_crash(watch.target_id, lost, clock.elapsed() - down_at)

    async def _ends(self, lifetime: str) -> bool:
        """Returns True once the platform lists a runner's process no more, False if it goes on."""
        until = clock.elapsed() + CONFIRM_SECONDS
        while lifetime and clock.elapsed() < until:
            if self._has_ended(lifetime):
                return True
            await asyncio.sleep(CONFIRM_POLL_SECONDS)
        return False

    async def _goes_down(self, watch: _Watch) -> bool:
        """Returns True once the target refuses or closes connections, False at the end of the watch."""
        was_closed = False
        while watch.seconds_left > 0:
            channel = await self._connect(watch.address, PROBE_SECONDS)
            if isinstance(channel, channels.ConnectFailed):
                # A link on which nothing passes times out too, though its target lives.
                if watch.connection_lost or not channel.timed_out:
                    return True
                continue
            opened_at = clock.elapsed()
            try:
                closes = await channel.closes_within(
                    max(ABORT_SECONDS, min(watch.seconds_left, HOLD_SECONDS))
                )
            finally:
                channel.close()
            if closes and (was_closed or clock.elapsed() - opened_at < ABORT_SECONDS):
                return True
            was_closed = closes
        return False
