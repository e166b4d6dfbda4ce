"""The limited prompt cache of an emulated engine."""

import collections

import xxhash

_BLOCK_CHARACTERS = 64


class PrefixCache:
    """Remembers the blocks of prompts; the block used longest ago goes first."""

    def __init__(self, *, blocks: int) -> None:
        self._limit = blocks
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()

    def add(self, prompt: str) -> int:
        """Caches a prompt and returns how many of its blocks were missing."""
        missing = 0
        prefix_hash = 0
        for start in range(0, len(prompt), _BLOCK_CHARACTERS):
            block = prompt[start : start + _BLOCK_CHARACTERS]
            # A block is known only with all that stands before it, as attention depends on that.
            prefix_hash = xxhash.xxh3_64_intdigest(block.encode(), seed=prefix_hash)
            missing += prefix_hash not in self._blocks
            self._blocks[prefix_hash] = None
            self._blocks.move_to_end(prefix_hash)
        while len(self._blocks) > self._limit:
            self._blocks.popitem(last=False)
        return missing

    def clear(self) -> None:
        """Forgets everything, as an engine that restarts does."""
        self._blocks.clear()
