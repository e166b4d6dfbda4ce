"""Computes the answers of the emulated engine, a pure function of the request.

History checks compute the same function to detect answers that are truncated, invented or those
of another request.
"""

import hashlib
import json
import random
from typing import Any

_DEFAULT_TOKENS = 24
_WORDS = (
    "the clip is cleared for broadcast under licence from estate archive title chain holds "
    "since rights were assigned in writing and no claim remains open term deposit matures "
    "renewal offer rate balance stands account history shows interest paid"
).split()


def tokens_for(body: dict[str, Any]) -> list[str]:
    """Returns the tokens of the whole answer to a completion request."""
    limit = body.get("max_tokens") or body.get("max_completion_tokens")
    count = limit if isinstance(limit, int) and limit > 0 else _DEFAULT_TOKENS
    messages = json.dumps(body.get("messages"), sort_keys=True, separators=(",", ":"))
    digest = hashlib.sha256(f"{count}\0{messages}".encode()).hexdigest()
    words = random.Random(digest).choices(_WORDS, k=count)
    # The first token identifies the request, so that even one-token answers of different requests
    # differ.
    return [f"[{digest[:12]}]", *(f" {word}" for word in words[1:])]


def text_for(body: dict[str, Any]) -> str:
    """Returns the whole answer to a completion request as one text."""
    return "".join(tokens_for(body))
