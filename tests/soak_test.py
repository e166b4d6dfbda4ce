"""A short soak test with fixed seeds: one of each kind, and each seed that has ever failed."""

import pytest

from basilpost.soak import run

SECONDS = 8.0
# Each seed with the case that it covers.
SEEDS = (
    (4, "overlapping faults of all kinds"),
    (5, "planned changes only, which must not cut any request"),
    (16, "a paused node runs requests after their withdrawn key is back, which is allowed"),
    (20, "SIGHUP killed a node that was still starting"),
    (24, "like 16, for a failure domain"),
    (47, "two overlapping losses of one runner made the soak run itself fail"),
    (29, "a model lost its only group, and the VMs went to a model without demand"),
    (7, "SIGTERM kills a node that is still starting, which is allowed"),
)


@pytest.mark.processes
@pytest.mark.parametrize("seed", [seed for seed, _ in SEEDS])
async def test_nothing_is_broken(seed, tmp_path):
    report = await run.Soak(seed=seed, folder=tmp_path).run(seconds=SECONDS)
    assert report.broken == ()
    assert report.served > report.calls / 4
