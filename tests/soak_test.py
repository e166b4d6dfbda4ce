"""Short soak runs with every seed that has ever failed."""

import pytest

from basilpost.soak import run

SECONDS = 8.0
# Each seed with the reason why it is listed.
SEEDS = (
    (4, "faults of all kinds overlap"),
    (5, "planned changes only, which may cut no request"),
    (16, "a paused node ran requests after their key was restored, which is allowed"),
    (20, "the reload signal ended a node that was still starting"),
    (24, "as 16, with a failure domain instead of a key"),
    (47, "one runner was removed twice at once, which ended the soak run itself"),
    (29, "a model lost its only group, and its VMs went to a model without demand"),
    (7, "the stop signal ended a node that was still starting, which is allowed"),
)


@pytest.mark.processes
@pytest.mark.parametrize("seed", [seed for seed, _ in SEEDS])
async def test_nothing_is_broken(seed, tmp_path):
    report = await run.Soak(seed=seed, folder=tmp_path).run(seconds=SECONDS)
    assert report.broken == ()
    assert report.served > report.calls / 4
