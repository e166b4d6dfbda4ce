"""Checks of addresses that other programs wrote, before a connection is opened to them."""

import ipaddress
import re

MAX_PORT = 65_535
_PORT = re.compile(r"[0-9]{1,5}")
# Names, IPv4 and IPv6 addresses. No character of them has a meaning in a header or a URL.
_HOST = re.compile(r"[0-9A-Za-z._-]+|\[?[0-9A-Fa-f:.]+\]?")


def is_valid(address: str) -> bool:
    """Returns True if an address is `host:port` with a port that can be connected to."""
    host, _, port = address.rpartition(":")
    return bool(_HOST.fullmatch(host) and _PORT.fullmatch(port) and 0 < int(port) <= MAX_PORT)


def is_ipv4(address: str) -> bool:
    """Returns True if an address is valid and its host an IPv4 address.

    A name would be looked up by the system as a connection is opened, on the event loop.
    """
    host = address.rpartition(":")[0]
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return is_valid(address)
