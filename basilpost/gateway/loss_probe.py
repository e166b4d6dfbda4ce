"""Tells crashed targets from lost answers.

An answer may be lost for many reasons. A target whose connection has broken and that refuses a new
one has crashed, and with it all requests that were in flight there; unless this node can connect to
no target of the service.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from basilpost.core import channels, tasks
from basilpost.routing import crash_evidence

# Longest time for opening the connection that shows whether a target lives.
PROBE_SECONDS = 0.25
# Time in which a new connection is aborted if nothing listens behind it, as by a proxy whose server
# is gone.
ABORT_SECONDS = 0.05
# Pause before the probe, in which the other requests at the target are lost too.
GATHER_SECONDS = 0.01

OnCrash = Callable[[str, Iterable[crash_evidence.LostRequest]], None]
# Takes the target's service; returns True if other targets can be reached.
FindPath = Callable[[str], Awaitable[bool]]
Connect = Callable[[str, float], Awaitable[channels.Channel | channels.ConnectFailed]]


class LossProbe:
    """Probes targets that have lost requests, each once for all requests that are lost together."""

    def __init__(
        self,
        *,
        connect: Connect,
        has_path: FindPath,
        on_down: Callable[[str], None],
        on_crash: OnCrash,
        log: Any,
    ) -> None:
        self._connect = connect
        self._has_path = has_path
        self._on_down = on_down
        self._on_crash = on_crash
        self._log = log
        self._tasks = tasks.TaskSet(log=log)
        self._lost_by_target: dict[str, list[crash_evidence.LostRequest]] = {}

    def report_loss(
        self, target_id: str, address: str, lost: crash_evidence.LostRequest, *, service: str
    ) -> None:
        """Adds a lost request; the target is probed unless a probe of it is on its way."""
        waiting = self._lost_by_target.get(target_id)
        if waiting is not None:
            waiting.append(lost)
            return
        self._lost_by_target[target_id] = [lost]
        self._tasks.spawn(self._probe(target_id, address, service), name="loss-probe")

    async def close(self) -> None:
        """Cancels the probes."""
        await self._tasks.close()

    async def _probe(self, target_id: str, address: str, service: str) -> None:
        lost: list[crash_evidence.LostRequest] = []
        down = crashed = False
        try:
            await asyncio.sleep(GATHER_SECONDS)
            down = await self._is_down(address)
            if down:
                # Sound requests must not wait for the check whether this node is to blame.
                self._on_down(target_id)
                crashed = await self._has_path(service)
        finally:
            lost = self._lost_by_target.pop(target_id)
        self._log.info(
            "target_probed",
            target=target_id,
            down=down,
            crashed=crashed,
            requests=[request.fingerprint for request in lost],
        )
        if crashed:
            self._on_crash(target_id, lost)

    async def _is_down(self, address: str) -> bool:
        """Returns True if a target refuses a new connection, or aborts it."""
        channel = await self._connect(address, PROBE_SECONDS)
        if isinstance(channel, channels.ConnectFailed):
            return True
        try:
            return await channel.closes_within(ABORT_SECONDS)
        finally:
            channel.close()
