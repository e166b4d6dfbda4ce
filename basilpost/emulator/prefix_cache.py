"""The bounded prefix cache of an emulated engine."""

import collections

import xxhash

_BLOCK_CHARACTERS = 64


class PrefixCache:
    """An LRU cache of prompt blocks, each identified by a hash of the prompt up to its end."""

    def __init__(self, *, blocks: int) -> None:
        self._max_blocks = blocks
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()

    def add(self, prompt: str) -> int:
        """Caches a prompt and returns how many of its blocks were missing."""
        missing = 0
        prefix_hash = 0
        for start in range(0, len(prompt), _BLOCK_CHARACTERS):
            block = prompt[start : start + _BLOCK_CHARACTERS]
            # The hash covers the whole prompt before the block as well, because a block's attention
            # state depends on it.
            prefix_hash = xxhash.xxh3_64_intdigest(block.encode(), seed=prefix_hash)
            missing += prefix_hash not in self._blocks
            self._blocks[prefix_hash] = None
            self._blocks.move_to_end(prefix_hash)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)
        return missing

    def clear(self) -> None:
        """Empties the cache, as a restart of the engine does."""
        self._blocks.clear()
