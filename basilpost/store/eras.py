"""Versions of stored objects that stay in order when the store is restored from a copy.

A restored store gives revisions out again for other contents, so a revision alone orders nothing
across a restore. The store counts its restores; the time between two of them is an era. A version
holds the era in its high bits and the store's revision in the low ones. A store that does not tell
its era has era 0, in which a version is the plain revision.
"""

REVISION_BITS = 44
# Versions have to fit into 63 bits, as peers exchange them as signed integers.
MAX_ERA = 2 ** (63 - REVISION_BITS) - 1


def version(*, era: int, revision: int) -> int:
    """Returns the version of a revision in an era."""
    return era << REVISION_BITS | revision


def era_of(version: int) -> int:
    """Returns the era of a version."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Returns the store's revision in a version."""
    return version & ((1 << REVISION_BITS) - 1)
