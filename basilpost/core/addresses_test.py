"""Tests of the check of addresses that other programs wrote."""

import pytest

from basilpost.core import addresses


@pytest.mark.parametrize(
    "address", ["10.3.64.35:8309", "vm-1.rack_2.example:1", "[::1]:65535", "fe80::1:80"]
)
def test_a_usable_address_is_refused(address):
    assert addresses.is_valid(address)


@pytest.mark.parametrize(
    ("address", "is_number"),
    [
        ("10.3.64.35:8309", True),
        ("10.3.64.35:0", False),
        ("10.3.64:8309", False),
        ("010.3.64.35:8309", False),
        ("vm-1.rack_2.example:1", False),
        ("[::1]:65535", False),
        ("10.3.64.35", False),
    ],
)
def test_a_name_is_taken_for_an_ipv4_address(address, is_number):
    assert addresses.is_ipv4(address) == is_number


@pytest.mark.parametrize(
    "address",
    [
        "",
        ":80",
        "host",
        "host:",
        "host:0",
        "host:-1",
        "host:+1",
        "host:65536",
        "host:000080",
        "host:8 0",
        "host:80\n",
        "host:\u0668\u0660",
        "host:" + "9" * 6000,
        "ho st:80",
        "host\r\nX: y:80",
        "host/path:80",
        "user@host:80",
        "\ud800:80",
        "hos\u0442:80",
    ],
)
def test_an_address_that_no_socket_takes_is_used(address):
    assert not addresses.is_valid(address)
