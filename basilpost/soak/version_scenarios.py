"""A scenario of versions of the configuration in series, beside kills of the fleet and resets."""

import asyncio
import dataclasses
import random

import tornado.httputil

from basilpost.core import channels
from basilpost.emulator import pool_fleet, pool_runner
from basilpost.soak import balancer, callers, checks, faults, scenarios, version_work

# Streams of all kinds: resumable with two attempts, with one, or not at all; some plain calls beside.
_REQUEST_KINDS = (*("draft", "draft-once", "draft-whole") * 2, "lookup", "filing")
_BUDGET_MS = 8000
# Shares of the bodies that are sent in chunks, and of the connections that are closed after an answer.
_CHUNKED_SHARE = 0.5
_CLOSED_SHARE = 0.5
_CHUNK_BYTES = 3
_KINDS = (
    *(faults.Kind.ROUTES_CHANGE,) * 4,
    *(faults.Kind.ROUTES_ADDED,) * 2,
    *(faults.Kind.RUNNER_DRAINS,) * 4,
    *(faults.Kind.EVACUATED,) * 2,
    faults.Kind.RUNNER_RESET,
    faults.Kind.RUNNERS_RESET,
    faults.Kind.STORE_RESET,
    faults.Kind.STORES_RESET,
    faults.Kind.STORE_SLOW,
    faults.Kind.STORE_ONE_WAY,
    faults.Kind.RUNNER_GONE,
    faults.Kind.RUNNER_CRASHES,
)
# Factor on the number of faults that other plans draw for the same time.
_DENSITY = 2.0
# Number of times that the whole fleet is killed in a run; a seed has one of them.
_FLEET_KILLS = (0, 1, 1, 2)


class VersionCaller(callers.RandomCaller):
    """A client that mostly asks for streams, with bodies in chunks and connections kept by chance."""

    async def run(self) -> None:
        """Sends requests with short pauses until `stop` is called."""
        while not self._stopping.is_set():
            await self.send_request(
                self._random.choice(self._addresses),
                self._random.choice(_REQUEST_KINDS),
                self._random.choice(checks.api_keys()),
                budget_ms=_BUDGET_MS,
            )
            if self._random.random() < _CLOSED_SHARE:
                self._channels.close()
            await self._pause(callers.PAUSE_SECONDS)

    def _send(
        self,
        channel: channels.Channel,
        method: str,
        path: str,
        headers: tornado.httputil.HTTPHeaders,
        body: bytes,
    ) -> None:
        if not body or self._random.random() >= _CHUNKED_SHARE:
            super()._send(channel, method, path, headers, body)
            return
        headers["Transfer-Encoding"] = "chunked"
        lines = [f"{method} {path} HTTP/1.1", *map(": ".join, headers.get_all()), "", ""]
        pieces = [body[at : at + _CHUNK_BYTES] for at in range(0, len(body), _CHUNK_BYTES)]
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
        channel.requests += 1
        writing = channel.stream.write("\r\n".join(lines).encode() + chunks + b"0\r\n\r\n")
        writing.add_done_callback(asyncio.Future.exception)


def _streams_in_slots() -> pool_runner.Options:
    """Returns streams of 0.6 to 2.4 s, at heads that reject what exceeds their slots and queue."""
    return pool_runner.Options(
        events=20, event_seconds=0.03, slowest_event_seconds=0.12, running=4, waiting=2
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Versions(scenarios.Scenario):
    """Series of versions overlap with kills of the whole fleet, resets, drains and lost runners.

    Attributes:
        caller_count: Largest number of callers; each seed draws a number of up to it.
    """

    nodes: int = 4
    caller_count: int = 36
    vms: int = 18
    grace_seconds: float = scenarios.GRACE_SECONDS
    stop_seconds: float = scenarios.GRACE_SECONDS
    stream_timeout_ms: int = 8000
    runner_options: pool_runner.Options = dataclasses.field(default_factory=_streams_in_slots)
    planned_every: int = 1_000_000
    draft_kinds: bool = True
    members_matter: bool = True
    counts_losses: bool = True
    fills_groups: bool = True

    def for_seed(self, seed: int) -> "Versions":
        """Returns the scenario with the number of callers that a seed draws."""
        rng = random.Random(f"callers/{seed}")
        return dataclasses.replace(
            self, caller_count=rng.randint(max(1, self.caller_count // 3), self.caller_count)
        )

    def extend_fleet(self, fleet: pool_fleet.PoolFleet) -> None:
        """Adds the services that routes are moved to."""
        version_work.add_services(fleet)

    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns the versions and faults of a seed, which begin within `seconds`."""
        rng = random.Random(f"versions/{seed}")
        kills = [
            faults.Fault(
                kind=faults.Kind.FLEET_KILLED,
                at=rng.uniform(1.0, seconds),
                seconds=0.0,
                target_index=rng.randrange(1_000),
            )
            for _ in range(rng.choice(_FLEET_KILLS))
        ]
        beside = [
            dataclasses.replace(fault, at=fault.at / _DENSITY)
            for fault in faults.draw_of(_KINDS, seed, seconds=seconds * _DENSITY)
        ]
        return tuple(sorted([*kills, *beside], key=lambda fault: fault.at))

    def caller(self, *, name: str, seed: str, load_balancer: balancer.Balancer) -> callers.Caller:
        """Returns a new caller."""
        return VersionCaller(name=name, addresses=load_balancer.addresses, seed=seed)
