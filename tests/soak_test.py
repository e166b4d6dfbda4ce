"""A short seeded soak in each run of the tests, and every seed that ever failed."""

import pytest

from basilpost.soak import run

SECONDS = 8.0
# Seed, and why it is here.
SEEDS = (
    (4, "faults of all kinds that overlap"),
    (5, "planned changes only, which may cut nothing"),
    (16, "requests to a paused node that ran once their key was back, which they may"),
    (20, "a node that was told to reload while it started was ended by the signal"),
    (24, "as 16, for a failure domain"),
    (47, "one runner taken away twice at once, which ended the run itself"),
    (29, "a model lost its only group, and its VMs went to one that nobody asked for"),
    (7, "a node that was asked to stop while it started ended by the signal, which it may"),
)


@pytest.mark.processes
@pytest.mark.parametrize("seed", [seed for seed, _ in SEEDS])
async def test_nothing_is_broken(seed, tmp_path):
    report = await run.Soak(seed=seed, folder=tmp_path).run(seconds=SECONDS)
    assert report.broken == ()
    assert report.served > report.calls / 4
