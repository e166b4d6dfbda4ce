"""Checks of text that other programs wrote, before it goes into headers, messages and logs."""

import re

# Control characters and lone surrogates.
_NOT_PLAIN = re.compile("[\x00-\x1f\x7f-\x9f\ud800-\udfff]")


def is_plain(text: str) -> bool:
    """Returns True if a text has no control character and can be encoded."""
    return _NOT_PLAIN.search(text) is None
