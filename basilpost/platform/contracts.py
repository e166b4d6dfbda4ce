"""Tells which features of a node the platform's terms ask for."""

from collections.abc import Iterable

# In deployments with this term callers may want more than there is, and may read slowly.
_PRESSURE = "pressure"


def ask_for_load_control(contracts: Iterable[str]) -> bool:
    """Returns True if a deployment's terms ask for admission by rank and waiting in order."""
    return _PRESSURE in contracts
