"""Recognises messages that reach a node over several ways.

Nodes pass news on to their peers. Without an id, two reports that contradict each other would replace each
other at node after node and be passed on for ever.
"""

import collections

MAX_IDS = 4_096


class RecentIds:
    """The ids of the messages that were handled last."""

    def __init__(self, *, max_ids: int = MAX_IDS) -> None:
        self._max_ids = max_ids
        self._ids: collections.OrderedDict[str, None] = collections.OrderedDict()

    def add(self, message_id: str) -> bool:
        """Adds an id; returns False if it was there already."""
        if message_id in self._ids:
            return False
        self._ids[message_id] = None
        if len(self._ids) > self._max_ids:
            self._ids.popitem(last=False)
        return True
