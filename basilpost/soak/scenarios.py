"""The scenarios of the soak test: their sizes, their callers and what happens to the nodes."""

import abc
import contextlib
import dataclasses

from basilpost.emulator import pool_fleet, pool_runner
from basilpost.node import pool_demo
from basilpost.soak import balancer, callers, faults

# Users' time between SIGTERM and SIGKILL.
GRACE_SECONDS = 8.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario(abc.ABC):
    """What a run consists of.

    Attributes:
        nodes: Number of node processes.
        caller_count: Number of concurrent callers.
        vms: Number of VMs with a model engine's runner.
        busy_processes: Number of processes that compete with the nodes for the processors.
        grace_seconds: Grace time in the nodes' settings.
        stop_seconds: Time after SIGTERM at which a process that still runs is killed.
        stream_timeout_ms: Longest time of a stream by its route.
        runner_options: How the runners behave.
        planned_every: Each seed divisible by this has planned work only, which may cut no request.
        contracts: Parts of the platform's terms that are in force.
        plain_instances: Number of runners of the plain service.
        draft_kinds: True for further routes that stream; see `pool_fleet.configuration`.
        members_matter: True if the streams of a group stall once a member has left it.
        counts_losses: True if each accepted request must get its complete answer, unless a fault of its
            own node, runner or link ended it; see `loss_checks`.
        fills_groups: True if callers may want all slots, so that they have to stop before it can be seen
            whether all nodes serve again.
    """

    nodes: int = 3
    caller_count: int = 8
    vms: int = 7
    busy_processes: int = 0
    grace_seconds: float = pool_demo.GRACE_SECONDS
    stop_seconds: float = pool_demo.GRACE_SECONDS + 3.0
    stream_timeout_ms: int = 5000
    runner_options: pool_runner.Options = dataclasses.field(default_factory=pool_runner.Options)
    planned_every: int = faults.PLANNED_EVERY
    contracts: tuple[str, ...] = ()
    plain_instances: int = 4
    draft_kinds: bool = False
    members_matter: bool = False
    counts_losses: bool = False
    fills_groups: bool = False

    def for_seed(self, seed: int) -> "Scenario":
        """Returns the scenario with the sizes that a seed draws; a subclass may draw some."""
        return self

    def extend_fleet(self, fleet: pool_fleet.PoolFleet) -> None:  # noqa: B027
        """Adds further runners to a fleet that has not started; a subclass may add some."""

    async def prepare(  # noqa: B027
        self, fleet: pool_fleet.PoolFleet, stack: contextlib.AsyncExitStack, *, seed: int
    ) -> None:
        """Prepares a fleet that has started, before the nodes start; the stack ends what needs an end."""

    def options_of(self, runner: pool_runner.PoolRunner, *, seed: int) -> pool_runner.Options:
        """Returns how a runner behaves; a subclass may draw it from the seed."""
        return dataclasses.replace(self.runner_options)

    @abc.abstractmethod
    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns the faults of a seed, which begin within `seconds`."""

    @abc.abstractmethod
    def caller(self, *, name: str, seed: str, load_balancer: balancer.Balancer) -> callers.Caller:
        """Returns a new caller."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class AllFaults(Scenario):
    """Faults of all kinds, and callers that send as fast as they can to random nodes."""

    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns the faults of a seed, which begin within `seconds`."""
        return faults.draw(seed, seconds=seconds)

    def caller(self, *, name: str, seed: str, load_balancer: balancer.Balancer) -> callers.Caller:
        """Returns a new caller."""
        return callers.RandomCaller(name=name, addresses=load_balancer.addresses, seed=seed)


def _varied_work() -> pool_runner.Options:
    """Returns streams of 0.05 to 3 s, and plain calls well within their budget of 1.5 s."""
    return pool_runner.Options(
        events=20, event_seconds=0.0025, slowest_event_seconds=0.15, slowest_work_seconds=1.0
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlannedStops(Scenario):
    """Series of planned stops under the users' grace time, budgets, balancer and idle connections."""

    nodes: int = 6
    caller_count: int = 300
    vms: int = 16
    grace_seconds: float = GRACE_SECONDS
    stop_seconds: float = GRACE_SECONDS
    stream_timeout_ms: int = 8000
    runner_options: pool_runner.Options = dataclasses.field(default_factory=_varied_work)
    planned_every: int = 1

    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns the faults of a seed, which begin within `seconds`."""
        return faults.draw_stops(seed, seconds=seconds)

    def caller(self, *, name: str, seed: str, load_balancer: balancer.Balancer) -> callers.Caller:
        """Returns a new caller."""
        return callers.BalancedCaller(name=name, load_balancer=load_balancer, seed=seed)


CRASHING_PARTS = ("bad0", "bad1")
# Of so many callers one sends requests with a crashing part.
CRASHING_CALLER_EVERY = 6
SOUND_PARTS = 5


def _crashing_work() -> pool_runner.Options:
    return pool_runner.Options(
        events=10, event_seconds=0.02, crash_parts=frozenset(CRASHING_PARTS), down_seconds=1.5
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashingParts(Scenario):
    """Two parts of prompts crash runners while nodes stop, are killed and start with the store away."""

    nodes: int = 4
    caller_count: int = 18
    vms: int = 24
    runner_options: pool_runner.Options = dataclasses.field(default_factory=_crashing_work)
    planned_every: int = 1_000_000

    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns the faults of a seed, which begin within `seconds`."""
        return faults.draw_of(faults.CRASHING_KINDS, seed, seconds=seconds)

    def caller(self, *, name: str, seed: str, load_balancer: balancer.Balancer) -> callers.Caller:
        """Returns a new caller; some send requests that crash runners."""
        number = int(name.removeprefix("c"))
        crashing = number % CRASHING_CALLER_EVERY == 0
        part = (
            CRASHING_PARTS[number // CRASHING_CALLER_EVERY % len(CRASHING_PARTS)]
            if crashing
            else f"sound{number % SOUND_PARTS}"
        )
        return callers.PromptCaller(
            name=name,
            addresses=load_balancer.addresses,
            seed=seed,
            part=part,
            crashing=crashing,
        )


# One for each caller whose requests crash runners: requests of several callers differ in their paths.
CRASHING_BODIES = tuple(f"crash-{number}".encode() for number in range(64))


def _work_until_crash() -> pool_runner.Options:
    """Returns streams of 0.2 s, and runners that end 0.12 s after a crashing request began."""
    return pool_runner.Options(
        events=10,
        event_seconds=0.02,
        crash_bodies=frozenset(CRASHING_BODIES),
        crash_seconds=0.12,
        crash_events=60,
        down_seconds=1.5,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnwaitedCrashes(CrashingParts):
    """Three requests crash runners after most of their callers have left, among the same faults."""

    runner_options: pool_runner.Options = dataclasses.field(default_factory=_work_until_crash)

    def caller(self, *, name: str, seed: str, load_balancer: balancer.Balancer) -> callers.Caller:
        """Returns a new caller; some send requests that crash runners."""
        number = int(name.removeprefix("c"))
        crashing = number % CRASHING_CALLER_EVERY == 0
        return callers.ImpatientCaller(
            name=name,
            addresses=load_balancer.addresses,
            seed=seed,
            crashing_body=(
                CRASHING_BODIES[number // CRASHING_CALLER_EVERY % len(CRASHING_BODIES)]
                if crashing
                else b""
            ),
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class LostPaths(Scenario):
    """Nodes lose their paths to all runners, among other faults of nodes and runners."""

    nodes: int = 5
    caller_count: int = 25
    vms: int = 18
    planned_every: int = 1_000_000

    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns the faults of a seed, which begin within `seconds`."""
        return faults.draw_of(faults.PATH_KINDS, seed, seconds=seconds)

    def caller(self, *, name: str, seed: str, load_balancer: balancer.Balancer) -> callers.Caller:
        """Returns a new caller."""
        return callers.RandomCaller(name=name, addresses=load_balancer.addresses, seed=seed)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SilentPaths(LostPaths):
    """Nodes' links to all or half of the runners open and pass nothing, among other faults."""

    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns the faults of a seed, which begin within `seconds`."""
        return faults.draw_of(faults.SILENT_PATH_KINDS, seed, seconds=seconds)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LargeFleet(LostPaths):
    """Most nodes of a fleet beyond the full mesh lose their paths at once, among other faults.

    The few that are left carry the requests of all, so there are few callers.
    """

    nodes: int = 24
    caller_count: int = 10

    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns the faults of a seed, which begin within `seconds`."""
        return faults.draw_of(faults.LARGE_FLEET_KINDS, seed, seconds=seconds)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RestoredStore(AllFaults):
    """The store comes back from older copies, among other faults of nodes, runners and the store."""

    nodes: int = 5
    caller_count: int = 15
    vms: int = 12
    planned_every: int = 1_000_000

    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns the faults of a seed, which begin within `seconds`."""
        return faults.draw_of(faults.RESTORE_KINDS, seed, seconds=seconds)


# Nodes that hold the lease come and go while groups lose members or have to be closed.
LATE_ORDER_KINDS = (
    *(faults.Kind.RUNNER_GONE,) * 3,
    *(faults.Kind.KILL,) * 3,
    faults.Kind.STOP,
    faults.Kind.PAUSE,
    faults.Kind.STORE_AWAY,
    faults.Kind.STORE_SILENT,
)


def _late_orders() -> pool_runner.Options:
    """Returns runners that leave half of all orders unanswered and carry them out 2 to 12 s later."""
    return pool_runner.Options(late_order_share=0.5)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LateOrders(AllFaults):
    """Orders are carried out late, several at once, while nodes and runners come and go."""

    nodes: int = 4
    vms: int = 16
    runner_options: pool_runner.Options = dataclasses.field(default_factory=_late_orders)
    planned_every: int = 1_000_000

    def draw(self, seed: int, *, seconds: float) -> tuple[faults.Fault, ...]:
        """Returns the faults of a seed, which begin within `seconds`."""
        return faults.draw_of(LATE_ORDER_KINDS, seed, seconds=seconds)


def _slow_streams() -> pool_runner.Options:
    """Returns streams of 0.3 s, so that a group of four slots ends 13 of them in a second."""
    return pool_runner.Options(events=20, event_seconds=0.015)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Overload(AllFaults):
    """Callers want more than all groups can process, with load control, among faults of all kinds."""

    nodes: int = 4
    caller_count: int = 40
    vms: int = 8
    contracts: tuple[str, ...] = ("base", "pressure")
    runner_options: pool_runner.Options = dataclasses.field(default_factory=_slow_streams)
