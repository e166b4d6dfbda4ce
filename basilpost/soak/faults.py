"""Draws the faults and planned changes of a soak run from its seed."""

import dataclasses
import enum
import random
from collections.abc import Sequence


class Kind(enum.Enum):
    """A kind of fault or planned change.

    KILL, STOP, PAUSE and RELOAD send a signal to a node; STOP_AGAIN sends a further SIGTERM to a node
    that is stopping already. STORE_* and RUNNER_* disturb the connections
    to the store or to a runner; RUNNER_GONE stops a runner, and STORE_AWAY cuts all nodes off from the
    store. ANSWERS_LOST makes a plain service close connections unanswered. KEY_TAKEN withdraws an API
    key and DOMAIN_OUT a failure domain for a time. PATH_* cut a node off from all runners: its connections
    are reset, or new ones are refused while open ones live on, or all open and pass nothing, to all runners
    or to half of them. RUNNER_PAUSES makes a runner reject
    requests and ask for a pause, RUNNER_LEAVES say in its answers that it leaves until it is replaced.
    STORE_RESTORED brings the store back from a copy that is some seconds old. MOST_PATHS cuts all nodes but
    one to three off from all runners, and MOST_SERVICE_PATHS from those of the plain service.
    RUNNER_DRAINS makes the head of a group, or another member, report that it drains and later that it is
    ready again; RUNNER_RETIRES ends it after its drain for good, and RUNNER_UNLISTED removes its entry without
    such a report while it serves on until its group has no work. CONFIGURED writes a configuration with the
    same content, with another route, timeout or share. ROUTES_CHANGE writes a series of versions that move,
    split, drop, time out and re-key routes; ROUTES_ADDED one with some hundred routes more, removed again
    later. FLEET_KILLED kills all nodes soon after a configuration was confirmed, and starts them again.
    RUNNERS_RESET and STORES_RESET reset all nodes' connections to runners, or to the store, at once.
    RUNNER_CRASHES ends a runner, which is back without a group. EVACUATED takes a failure domain out for a
    shorter time than DOMAIN_OUT. ODD_ENTRY leaves an odd entry of another writer among those of the runners.
    RUNNER_REPLACED makes a runner drain, stop listening, end its work and start again as another run.
    RUNNER_REBORN cuts a runner off silently, behind which it crashes and may be back.
    """

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    RELOAD = "reload"
    STORE_SILENT = "store_silent"
    STORE_ONE_WAY = "store_one_way"
    STORE_SLOW = "store_slow"
    STORE_RESET = "store_reset"
    STORE_REFUSES = "store_refuses"
    STORE_AWAY = "store_away"
    RUNNER_SILENT = "runner_silent"
    RUNNER_ONE_WAY = "runner_one_way"
    RUNNER_RESET = "runner_reset"
    RUNNER_GONE = "runner_gone"
    ANSWERS_LOST = "answers_lost"
    KEY_TAKEN = "key_taken"
    DOMAIN_OUT = "domain_out"
    STOP_AGAIN = "stop_again"
    PATH_RESET = "path_reset"
    PATH_REFUSED = "path_refused"
    RUNNER_PAUSES = "runner_pauses"
    RUNNER_LEAVES = "runner_leaves"
    STORE_RESTORED = "store_restored"
    MOST_PATHS = "most_paths"
    MOST_SERVICE_PATHS = "most_service_paths"
    PATH_SILENT = "path_silent"
    HALF_PATH_SILENT = "half_path_silent"
    RUNNER_DRAINS = "runner_drains"
    RUNNER_RETIRES = "runner_retires"
    RUNNER_UNLISTED = "runner_unlisted"
    CONFIGURED = "configured"
    ROUTES_CHANGE = "routes_change"
    ROUTES_ADDED = "routes_added"
    FLEET_KILLED = "fleet_killed"
    RUNNERS_RESET = "runners_reset"
    STORES_RESET = "stores_reset"
    RUNNER_CRASHES = "runner_crashes"
    EVACUATED = "evacuated"
    ODD_ENTRY = "odd_entry"
    RUNNER_REPLACED = "runner_replaced"
    RUNNER_REBORN = "runner_reborn"


# The kinds that `draw` picks from; their number and order decide what a seed draws.
KINDS = tuple(kind for kind in Kind)[: list(Kind).index(Kind.STOP_AGAIN)]
PLANNED = (Kind.STOP, Kind.RELOAD, Kind.KEY_TAKEN, Kind.DOMAIN_OUT)
# Kinds that disturb one node, which may lag behind the others then.
NODE_KINDS = frozenset(
    {
        Kind.KILL,
        Kind.STOP,
        Kind.PAUSE,
        Kind.STORE_SILENT,
        Kind.STORE_ONE_WAY,
        Kind.STORE_SLOW,
        Kind.STORE_RESET,
        Kind.STORE_REFUSES,
    }
)
# Kinds that disturb the connections of one runner.
RUNNER_CONNECTION_KINDS = frozenset({Kind.RUNNER_SILENT, Kind.RUNNER_ONE_WAY, Kind.RUNNER_RESET})
# Nodes are cut off from the runners, also several at once, while others stop, die or freeze and runners
# ask for pauses, leave or are gone.
PATH_KINDS = (
    *(Kind.PATH_RESET, Kind.PATH_REFUSED) * 3,
    Kind.RUNNER_PAUSES,
    Kind.RUNNER_LEAVES,
    Kind.RUNNER_GONE,
    Kind.KILL,
    Kind.STOP,
    Kind.PAUSE,
    Kind.STORE_SILENT,
)
# The same, mostly with links that open and pass nothing.
SILENT_PATH_KINDS = (
    *(Kind.PATH_SILENT,) * 4,
    *(Kind.HALF_PATH_SILENT,) * 3,
    *PATH_KINDS[2:],
)
# Most nodes of a large fleet are cut off at once, again and again, beside single ones, while nodes stop,
# die or freeze.
LARGE_FLEET_KINDS = (
    *(Kind.MOST_PATHS, Kind.MOST_SERVICE_PATHS) * 3,
    Kind.PATH_RESET,
    Kind.PATH_REFUSED,
    Kind.RUNNER_GONE,
    Kind.KILL,
    Kind.STOP,
    Kind.PAUSE,
    Kind.STORE_SILENT,
)
# Range of the number of nodes that a cut of most of them leaves.
NODES_LEFT = (1, 3)
# The store is restored, also several times in a row, while keys and failure domains are withdrawn and
# nodes and runners come and go.
RESTORE_KINDS = (
    *(Kind.STORE_RESTORED,) * 4,
    Kind.KEY_TAKEN,
    Kind.DOMAIN_OUT,
    Kind.KILL,
    Kind.STOP,
    Kind.PAUSE,
    Kind.STORE_SILENT,
    Kind.STORE_AWAY,
    Kind.RUNNER_GONE,
)
# Faults of all kinds beside runners that answer twice; cuts make requests go through other nodes.
SECOND_ANSWER_KINDS = (
    *PLANNED,
    Kind.CONFIGURED,
    Kind.KILL,
    Kind.PAUSE,
    Kind.PATH_RESET,
    Kind.PATH_REFUSED,
    Kind.HALF_PATH_SILENT,
    Kind.RUNNER_RESET,
    Kind.RUNNER_ONE_WAY,
    Kind.RUNNER_GONE,
    Kind.ANSWERS_LOST,
    Kind.STORE_SILENT,
)
# Odd entries come and go while nodes start anew, one by one and all at once, and groups lose members.
ODD_KINDS = (
    *(Kind.ODD_ENTRY,) * 6,
    Kind.FLEET_KILLED,
    Kind.KILL,
    Kind.STOP,
    Kind.PAUSE,
    Kind.RUNNER_GONE,
    Kind.RUNNER_CRASHES,
    Kind.STORE_AWAY,
    Kind.STORE_RESET,
)
# Beside runners whose answers have no length: they are replaced as planned, crash, are cut off and reset,
# while nodes stop and freeze and streams move.
PLANNED_UNFRAMED_KINDS = (
    *(Kind.RUNNER_REPLACED,) * 5,
    *(Kind.RUNNER_DRAINS,) * 2,
    *(Kind.STOP,) * 2,
    Kind.CONFIGURED,
    Kind.RELOAD,
)
UNFRAMED_KINDS = (
    *PLANNED_UNFRAMED_KINDS,
    *(Kind.RUNNER_REBORN,) * 4,
    *(Kind.RUNNER_CRASHES,) * 3,
    *(Kind.PAUSE,) * 2,
    Kind.KILL,
    Kind.RUNNER_SILENT,
    Kind.RUNNER_RESET,
    Kind.PATH_RESET,
)
# Time from the begin of a cut to the crash behind it.
CRASH_DELAY_SECONDS = 0.1
# Beside runners that drain one after another, in seeds with planned work only and in others.
PLANNED_BESIDE_DRAINS = (*(Kind.CONFIGURED,) * 3, *PLANNED)
UNPLANNED_BESIDE_DRAINS = (
    Kind.KILL,
    Kind.PAUSE,
    Kind.RUNNER_GONE,
    Kind.RUNNER_RESET,
    Kind.STORE_SILENT,
    Kind.PATH_RESET,
)
# Seconds from one drain to the next; a seed has one of them. Each drain takes 2.5 s.
DRAIN_GAPS_SECONDS = (0.5, 0.6, 1.0, 2.0)
DRAIN_SECONDS = 2.5
# How runners leave; most are back after their drain.
DRAIN_KINDS = (*(Kind.RUNNER_DRAINS,) * 6, Kind.RUNNER_RETIRES, Kind.RUNNER_UNLISTED)
# Time from a head whose entry is removed to the loss of the controller: before nodes have told of their
# requests, or while the controller waits for these to end.
TAKEOVER_DELAY_SECONDS = (0.0, 0.8)
TAKEOVER_GAP_SECONDS = (1.0, 3.0)
# A frozen controller stays so for longer than its lease.
FREEZE_SECONDS = 4.0
# Factor on the duration of a cut: the users' bounds hold from 3 s after its beginning.
PATH_LENGTH_FACTOR = 2.0
# Faults beside requests that crash runners: nodes come and go, also with the store away.
CRASHING_KINDS = (
    Kind.KILL,
    Kind.STOP,
    Kind.STOP,
    Kind.PAUSE,
    Kind.RELOAD,
    Kind.STORE_AWAY,
    Kind.STORE_SILENT,
    Kind.RUNNER_GONE,
)
# Mean time between the beginnings of faults. It is shorter than the mean length, so faults overlap.
MEAN_GAP_SECONDS = 1.0
# Range of the duration of a fault.
LENGTH_SECONDS = (0.2, 4.0)
# Each seed divisible by this has planned changes only, during which every request that ran must get
# its complete answer.
PLANNED_EVERY = 5

# Planned stops come in series. The first one leaves the callers time to open their connections.
FIRST_SERIES_SECONDS = (2.5, 4.0)
MEAN_SERIES_GAP_SECONDS = 5.0
STOPS_PER_SERIES = (1, 3)
STOP_GAP_SECONDS = (0.2, 1.5)
COMPANION_SECONDS = (2.0, 6.0)
# What may accompany a planned stop: its probability, and when it begins relative to the stop.
COMPANIONS = (
    (Kind.STOP_AGAIN, 0.4, (0.0, 5.0)),
    (Kind.RELOAD, 0.4, (0.0, 8.0)),
    (Kind.STOP, 0.2, (2.0, 8.0)),
    (Kind.STORE_SLOW, 0.2, (-1.0, 2.5)),
    (Kind.STORE_SILENT, 0.4, (0.5, 3.5)),
    (Kind.KEY_TAKEN, 0.1, (-2.0, 2.0)),
    (Kind.DOMAIN_OUT, 0.1, (-2.0, 2.0)),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault or planned change at a time.

    Attributes:
        kind: What happens.
        at: When it begins, in seconds after the start of the traffic.
        seconds: How long it lasts.
        target_index: Picks the node or runner, modulo their number.
        hits_controller: True to pick the node that holds control of the pool instead.
    """

    kind: Kind
    at: float
    seconds: float
    target_index: int
    hits_controller: bool = dataclasses.field(default=False, repr=False)


def has_planned_changes_only(seed: int) -> bool:
    """Returns True if the run of a seed has planned changes only."""
    return seed % PLANNED_EVERY == 0


def draw(seed: int, *, seconds: float) -> tuple[Fault, ...]:
    """Returns the faults of a run, in the order in which they begin.

    Args:
        seed: Seed of the random numbers; the same seed gives the same faults.
        seconds: Time during which faults begin.
    """
    return draw_of(PLANNED if has_planned_changes_only(seed) else KINDS, seed, seconds=seconds)


def draw_of(kinds: Sequence[Kind], seed: int, *, seconds: float) -> tuple[Fault, ...]:
    """Returns faults of some kinds, as `draw` does."""
    rng = random.Random(seed)
    faults = []
    at = rng.expovariate(1.0 / MEAN_GAP_SECONDS)
    while at < seconds:
        faults.append(
            Fault(
                kind=rng.choice(kinds),
                at=at,
                seconds=rng.uniform(*LENGTH_SECONDS),
                target_index=rng.randrange(1_000),
            )
        )
        at += rng.expovariate(1.0 / MEAN_GAP_SECONDS)
    return tuple(faults)


def draw_stops(seed: int, *, seconds: float) -> tuple[Fault, ...]:
    """Returns series of planned stops and what accompanies them, in the order in which they begin.

    Args:
        seed: Seed of the random numbers; the same seed gives the same faults.
        seconds: Time during which series begin.
    """
    rng = random.Random(f"stops/{seed}")
    faults = []
    series_at = rng.uniform(*FIRST_SERIES_SECONDS)
    while series_at < seconds:
        at = series_at
        first_target = rng.randrange(1_000)
        for number in range(rng.randint(*STOPS_PER_SERIES)):
            companions = [
                (kind, rng.uniform(*begins))
                for kind, probability, begins in COMPANIONS
                if rng.random() < probability
            ]
            faults += [
                Fault(
                    kind=kind,
                    at=at + offset,
                    seconds=rng.uniform(*COMPANION_SECONDS),
                    target_index=first_target + number,
                )
                for kind, offset in [(Kind.STOP, 0.0), *companions]
            ]
            at += rng.uniform(*STOP_GAP_SECONDS)
        series_at += rng.expovariate(1.0 / MEAN_SERIES_GAP_SECONDS)
    return tuple(sorted(faults, key=lambda fault: fault.at))


def draw_drains(seed: int, *, seconds: float, planned_only: bool) -> tuple[Fault, ...]:
    """Returns drains of one runner after another and what happens beside them.

    Args:
        seed: Seed of the random numbers; the same seed gives the same faults.
        seconds: Time during which faults begin.
        planned_only: True for planned work only.
    """
    rng = random.Random(f"drains/{seed}")
    gap = rng.choice(DRAIN_GAPS_SECONDS)
    drains = [
        Fault(
            kind=rng.choice(DRAIN_KINDS),
            at=number * gap,
            seconds=DRAIN_SECONDS,
            target_index=rng.randrange(1_000),
        )
        for number in range(1, round(seconds / gap))
    ]
    kinds = PLANNED_BESIDE_DRAINS + (() if planned_only else UNPLANNED_BESIDE_DRAINS)
    beside = draw_of(kinds, seed, seconds=seconds)
    # Withdrawals wait for each other and take 5 to 9 s each, so more of them only lengthen the run.
    withdrawals = [fault for fault in beside if fault.kind in (Kind.KEY_TAKEN, Kind.DOMAIN_OUT)]
    kept = [fault for fault in beside if fault not in withdrawals[1:]]
    return tuple(sorted([*drains, *kept], key=lambda fault: fault.at))


def draw_takeovers(seed: int, *, seconds: float, planned_only: bool) -> tuple[Fault, ...]:
    """Returns heads whose entries are removed while they work on, each followed by a new controller.

    Args:
        seed: Seed of the random numbers; the same seed gives the same faults.
        seconds: Time during which faults begin.
        planned_only: True to stop controllers as planned only, not to kill or freeze them.
    """
    rng = random.Random(f"takeovers/{seed}")
    ends = (Kind.STOP,) if planned_only else (Kind.STOP, Kind.KILL, Kind.PAUSE)
    drawn = []
    at = rng.uniform(*TAKEOVER_GAP_SECONDS)
    while at < seconds:
        kind = rng.choice((Kind.RUNNER_UNLISTED, Kind.RUNNER_UNLISTED, Kind.RUNNER_DRAINS))
        index = rng.randrange(1_000)
        drawn.append(Fault(kind=kind, at=at, seconds=DRAIN_SECONDS, target_index=index))
        drawn.append(
            Fault(
                kind=rng.choice(ends),
                at=at + rng.uniform(*TAKEOVER_DELAY_SECONDS),
                seconds=FREEZE_SECONDS,
                target_index=index,
                hits_controller=True,
            )
        )
        at += rng.uniform(*TAKEOVER_GAP_SECONDS)
    return tuple(sorted(drawn, key=lambda fault: fault.at))
