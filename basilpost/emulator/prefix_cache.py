"""The limited prompt cache of an emulated engine."""

import collections

import xxhash

_BLOCK_CHARACTERS = 64


class PrefixCache:
    """Remembers the blocks of prompts; the block used longest ago goes first."""

    def __init__(self, *, blocks: int) -> None:
        self._limit = blocks
        self._used: collections.OrderedDict[int, None] = collections.OrderedDict()

    def take_in(self, prompt: str) -> int:
        """Caches a prompt and returns how many of its blocks were missing."""
        missing = 0
        chained = 0
        for start in range(0, len(prompt), _BLOCK_CHARACTERS):
            block = prompt[start : start + _BLOCK_CHARACTERS]
            # A block is known only with all that stands before it, as attention depends on that.
            chained = xxhash.xxh3_64_intdigest(block.encode(), seed=chained)
            missing += chained not in self._used
            self._used[chained] = None
            self._used.move_to_end(chained)
        while len(self._used) > self._limit:
            self._used.popitem(last=False)
        return missing

    def clear(self) -> None:
        """Forgets everything, as an engine that restarts does."""
        self._used.clear()
