"""Tells all nodes of a fleet which of them reach the runners.

Beyond the full mesh a node has streams to a few others only, so what a node tells its neighbours does
not reach the fleet. These entries travel in the reports of loads, which hubs add up for all nodes. They
stand among the short ids of `LoadReport.writing`, under names that no target has: nodes of earlier
builds pass them on and do not use them. An entry holds for as long as its report does, so a node that
has died is no longer named as one with a path.
"""

import dataclasses
from collections.abc import Iterable

from basilpost.core import hashing
from basilpost.members import begun_loads, unlisted_targets

# First characters of entries; no short id contains them.
_WITH_PATH = "/"
_WITHOUT_PATH = ":"
# First characters of all that is no short id of a target.
_FIRST_CHARACTERS = frozenset(
    (_WITH_PATH, _WITHOUT_PATH, unlisted_targets.PREFIX, begun_loads.PREFIX)
)
# Nodes of each kind that a hub names to its nodes, of all those in a fleet. Each hub names other ones
# first, so that their requests are spread.
MAX_NAMED_NODES = 64
# Scope of an entry about all runners; others are names of services.
ALL_RUNNERS = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lost:
    """A node that reaches no runner of a scope, both by short id."""

    node: str
    scope: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PathStates:
    """Which nodes reach the runners, as told in reports.

    Attributes:
        with_path: Short ids of nodes that report, and reach some runner.
        lost: Nodes without a path.
    """

    with_path: frozenset[str]
    lost: frozenset[Lost]

    def confirms(self, node_id: str) -> bool:
        """Returns True if a node has told lately that it reaches some runner."""
        return hashing.short_id(node_id) in self.with_path

    def denies(self, node_id: str, service: str) -> bool:
        """Returns True if a node has told that it reaches no runner of a service, or none at all."""
        if not self.lost:
            return False
        node = hashing.short_id(node_id)
        return any(
            Lost(node=node, scope=scope) in self.lost for scope in (ALL_RUNNERS, scope_id(service))
        )


NOTHING_TOLD = PathStates(with_path=frozenset(), lost=frozenset())


@dataclasses.dataclass(frozen=True, kw_only=True)
class Split:
    """The parts of the `writing` of a report.

    Attributes:
        target_ids: Short ids of targets that have just sent a part of an answer.
        entries: Entries about nodes.
        unlisted: Items of `unlisted_targets`.
        loads: Names of `begun_loads`.
    """

    target_ids: frozenset[str]
    entries: frozenset[str]
    unlisted: frozenset[str] = frozenset()
    loads: frozenset[str] = frozenset()


def entries_of(node_id: str, *, lost_scopes: Iterable[str], has_path: bool) -> tuple[str, ...]:
    """Returns the entries by which a node tells of itself.

    Args:
        node_id: Id of the node.
        lost_scopes: Services of which it reaches no runner, and `ALL_RUNNERS` if it reaches none at all.
        has_path: True to tell that it reaches some runner.
    """
    node = hashing.short_id(node_id)
    lost = (f"{_WITHOUT_PATH}{node}{_WITHOUT_PATH}{scope_id(scope)}" for scope in lost_scopes)
    return (*sorted(lost), *([f"{_WITH_PATH}{node}"] if has_path else []))


def split(writing: Iterable[str]) -> Split:
    """Returns the parts of the `writing` of a report."""
    writing = frozenset(writing)
    others = frozenset(one for one in writing if one[:1] in _FIRST_CHARACTERS)
    if not others:
        return Split(target_ids=writing, entries=others)
    return Split(
        target_ids=writing - others,
        entries=frozenset(one for one in others if one[0] in (_WITH_PATH, _WITHOUT_PATH)),
        unlisted=frozenset(one for one in others if one[0] == unlisted_targets.PREFIX),
        loads=frozenset(one for one in others if one[0] == begun_loads.PREFIX),
    )


def read(entries: Iterable[str]) -> PathStates:
    """Returns what entries tell; those of unknown kinds are left out."""
    entries = tuple(entries)
    parts = [one[1:].split(_WITHOUT_PATH) for one in entries if one[:1] == _WITHOUT_PATH]
    return PathStates(
        with_path=frozenset(one[1:] for one in entries if one[:1] == _WITH_PATH),
        lost=frozenset(Lost(node=part[0], scope=part[1]) for part in parts if len(part) == 2),
    )


def for_fleet(writing: Iterable[str], *, hub: str) -> tuple[str, ...]:
    """Returns the `writing` of a sum over the fleet as a hub sends it to its nodes.

    Who has a path is told only while some node has none, and by a bounded number of entries.
    """
    told = split(writing)
    with_path = [one for one in told.entries if one[0] == _WITH_PATH]
    lost = [one for one in told.entries if one[0] == _WITHOUT_PATH]
    others = (
        *sorted(told.target_ids),
        *sorted(told.unlisted)[: unlisted_targets.MAX_NAMES],
        *sorted(told.loads)[: begun_loads.MAX_NAMES],
    )
    if not lost:
        return others
    named = (
        hashing.rendezvous_order(hub, entries)[:MAX_NAMED_NODES] for entries in (lost, with_path)
    )
    return (*others, *(one for entries in named for one in entries))


def scope_id(scope: str) -> str:
    """Returns what stands for a service in an entry; `ALL_RUNNERS` stands for itself."""
    return scope and hashing.short_id(scope)
