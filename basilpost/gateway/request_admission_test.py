"""Tests of what a node does with bodies before it knows the operators' configuration."""

import random
import types

import pytest
import tornado.httputil

from basilpost.gateway import body_memory, request_admission

BODY_BYTES = 2 * request_admission.UNKNOWN_MAX_BODY_BYTES


def make_admission():
    return request_admission.RequestAdmission(
        knowledge=types.SimpleNamespace(configuration=None),
        # Only a body that waits for room has its headers read.
        dialect=None,
        rng=random.Random(1),
    )


@pytest.mark.parametrize("length", [BODY_BYTES, 0])
async def test_a_node_without_a_configuration_refuses_an_allowed_body_for_good(length):
    """No caller comes again after 413, so that a request to a node that starts would be lost."""
    request = types.SimpleNamespace(headers=tornado.httputil.HTTPHeaders(), path="/filing/a")
    memory = body_memory.BodyMemory(max_bytes=10 * BODY_BYTES)
    body = make_admission().make_body(request, memory)
    body.begin(length)
    body.add(b"x" * BODY_BYTES)
    assert (body.refusal.status, body.refusal.code) == (503, "starting")
    assert body.refusal.retry_after is not None
    assert memory.held == 0
