"""The answers of the emulated engine: a pure function of the request.

A history check computes the same function and so tells a whole answer of the right request from
a truncated, crossed or invented one.
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
    asked = body.get("max_tokens") or body.get("max_completion_tokens")
    count = asked if isinstance(asked, int) and asked > 0 else _DEFAULT_TOKENS
    messages = json.dumps(body.get("messages"), sort_keys=True, separators=(",", ":"))
    digest = hashlib.sha256(f"{count}\0{messages}".encode()).hexdigest()
    words = random.Random(digest).choices(_WORDS, k=count)
    # The first token names the request, so that even a short answer fits no other one.
    return [f"[{digest[:12]}]", *(f" {word}" for word in words[1:])]


def text_for(body: dict[str, Any]) -> str:
    """Returns the whole answer as one text."""
    return "".join(tokens_for(body))
