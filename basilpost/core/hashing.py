"""Hashes that give the same result on every node.

With rendezvous hashing, nodes agree on the owner of a key without exchanging messages.
"""

import base64
import functools
import hashlib
from collections.abc import Iterable

import xxhash

# Bytes of a short id: with a thousand targets, two of them share one once in two million fleets.
SHORT_ID_BYTES = 5


def rendezvous_order(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates in the order of preference for a key, the most preferred first."""
    return sorted(candidates, key=lambda name: (-_weight(key, name), name))


def rendezvous_choice(key: str, candidates: Iterable[str]) -> str | None:
    """Returns the preferred candidate for a key, or None when there is none."""
    return min(candidates, key=lambda name: (-_weight(key, name), name), default=None)


def bucket_of(key: str, buckets: int) -> int:
    """Maps a key to a bucket number from 0 to `buckets` - 1."""
    return xxhash.xxh3_64_intdigest(key.encode()) % buckets


@functools.lru_cache(maxsize=4096)
def short_id(name: str) -> str:
    """Returns the hash that stands for a target or a node in reports."""
    digest = xxhash.xxh3_64_digest(name.encode())[:SHORT_ID_BYTES]
    return base64.b85encode(digest).decode()


def body_digest(body: bytes) -> str:
    """Returns a collision-resistant digest of a request body, as hexadecimal text."""
    return hashlib.sha256(body).hexdigest()


def key_digest(secret: str) -> str:
    """Returns the digest under which an API key or admin token is stored."""
    return hashlib.sha256(secret.encode()).hexdigest()


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
