"""Tells all nodes of targets whose entry is gone from the store while requests are in flight there.

A runner that stops as planned may be removed from the store while it works on. The other reports name
targets by a hash of an id that only the entry shows, so a node that never saw the entry could not tell
that its group is at work. These names travel among the short ids of `LoadReport.writing`, as the entries
of `path_states` do: nodes of earlier builds pass them on and do not use them.
"""

from collections.abc import Iterable

# First character of a name in a report; no short id begins with it.
PREFIX = ","
# Names in a report. The entries of a few heads are missing at a time, unless a part of the fleet has
# lost the store.
MAX_NAMES = 64


def encode(target_ids: Iterable[str]) -> tuple[str, ...]:
    """Returns the items of a report that name targets, no more than `MAX_NAMES`."""
    return tuple(PREFIX + target_id for target_id in sorted(target_ids)[:MAX_NAMES])


def decode(items: Iterable[str]) -> frozenset[str]:
    """Returns the ids of the targets that the items of a report name; other items are left out."""
    return frozenset(item.removeprefix(PREFIX) for item in items if item[:1] == PREFIX)
