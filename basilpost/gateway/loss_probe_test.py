"""Tests of the probe that tells crashed targets from lost answers."""

import asyncio

import pytest

from basilpost.core import channels
from basilpost.gateway import loss_probe
from basilpost.routing import crash_evidence

WAIT_SECONDS = loss_probe.GATHER_SECONDS * 4


class FakeChannel:
    closed = False

    def close(self):
        self.closed = True


@pytest.fixture
def crashes():
    return []


def make_probe(crashes, result, connects):
    async def connect(address, timeout):
        connects.append(address)
        return result

    def on_crash(target_id, lost):
        crashes.append((target_id, [request.fingerprint for request in lost]))

    return loss_probe.LossProbe(connect=connect, on_crash=on_crash, log=None)


def lost(fingerprint):
    return crash_evidence.LostRequest(fingerprint=fingerprint, parts=())


async def test_a_target_that_refuses_connections_has_crashed_with_all_its_requests(crashes):
    connects = []
    probe = make_probe(crashes, channels.ConnectFailed(reason="refused"), connects)
    for name in "abc":
        probe.report_loss("t", "h:1", lost(name))
    await asyncio.sleep(WAIT_SECONDS)
    assert crashes == [("t", ["a", "b", "c"])]
    assert connects == ["h:1"]


async def test_a_target_that_accepts_connections_has_not_crashed(crashes):
    channel = FakeChannel()
    probe = make_probe(crashes, channel, [])
    probe.report_loss("t", "h:1", lost("a"))
    await asyncio.sleep(WAIT_SECONDS)
    assert crashes == []
    assert channel.closed
