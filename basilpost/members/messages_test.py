"""Tests of how changes of objects are sent between nodes."""

import random

import pytest

from basilpost.members import messages
from basilpost.store import objects

# `valueBytes` of the users' platform.
LARGEST_VALUE_BYTES = 1_048_576


@pytest.mark.parametrize("size", [0, 999_999, 1_000_000, 1_000_001, LARGEST_VALUE_BYTES])
@pytest.mark.parametrize("is_dense", [False, True])
def test_a_value_that_the_store_takes_ends_the_streams_between_nodes(size, is_dense):
    """Another writer's object of more than 1,000,000 bytes was refused, and the stream closed."""
    value = random.Random(1).randbytes(size) if is_dense else bytes(size)
    change = objects.Change(
        key="k", version=1, stored=objects.Stored(key="k", value=value, version=1)
    )
    assert messages.from_wire(messages.to_wire(change)) == change
