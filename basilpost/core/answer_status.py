"""Which statuses the answers of an HTTP server may have (RFC 9110, section 15).

Servers in trouble send others, such as 000. Such an answer is no answer in the protocol, so it is not
passed on, and its connection is closed: what follows its head is unknown.
"""

# Answers a request for another protocol, which no node sends.
_SWITCHING_PROTOCOLS = 101


def is_interim(status: int) -> bool:
    """Returns True if the answer to the same request is still to come."""
    return 100 <= status < 200 and status != _SWITCHING_PROTOCOLS


def is_final(status: int) -> bool:
    """Returns True if the status is that of an answer."""
    return 200 <= status < 600
