"""Reads JSON that other programs wrote, so that one odd value in it does not spoil the rest.

An answer of the platform's store holds the entries of many writers. `json.loads` gives up the whole
text for a number of thousands of digits, and raises RecursionError for deep nesting.
"""

import itertools
import json
import math
import re
from typing import Any

# Values nested deeper than this are read as null.
MAX_DEPTH = 64
# Integers of more digits are read as infinity, which no field takes.
MAX_DIGITS = 19

_STRING_OR_BRACKET = re.compile(r'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)


def loads(raw: bytes | str) -> Any:
    """Decodes JSON; too large integers become infinity, and too deep values null.

    Raises:
        ValueError: If the text is not JSON.
    """
    # A byte that is not UTF-8 becomes a surrogate, which no field takes.
    text = raw if isinstance(raw, str) else raw.decode(errors="surrogateescape")
    try:
        return json.loads(text, parse_int=_bounded_integer)
    except RecursionError:
        return json.loads(_without_deep_values(text), parse_int=_bounded_integer)


def _bounded_integer(digits: str) -> int | float:
    if len(digits) <= MAX_DIGITS:
        return int(digits)
    return -math.inf if digits.startswith("-") else math.inf


def _without_deep_values(text: str) -> str:
    """Returns the text with null in place of each array or object below `MAX_DEPTH`."""
    cuts: list[tuple[int, int]] = []
    depth = begin = 0
    for match in _STRING_OR_BRACKET.finditer(text):
        if match[0] in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                begin = match.start()
        elif match[0] in "]}":
            if depth == MAX_DEPTH + 1:
                cuts.append((begin, match.end()))
            depth -= 1
    if depth:
        raise ValueError("brackets are not balanced")
    ends = [0, *(end for _, end in cuts)]
    begins = [*(begin for begin, _ in cuts), len(text)]
    kept = [text[end:begin] for end, begin in zip(ends, begins, strict=True)]
    return "".join(
        itertools.chain.from_iterable(zip(kept, ["null"] * len(cuts) + [""], strict=True))
    )
