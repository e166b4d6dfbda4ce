"""Runners that write the refusal of an earlier request once more on a kept connection."""

import pytest

from basilpost.core import channels
from tests import pool_nodes


@pytest.mark.parametrize("named", [False, True])
async def test_a_request_that_ran_is_refused_as_not_run_for_an_earlier_refusal(named, monkeypatch):
    """A filing has a connection of its own, on which only a refusal with another id can be a foreign one."""
    # A sound answer has to leave a kept connection behind, also after one that names no request.
    monkeypatch.setattr(channels, "SINGLE_USE_SECONDS", 0.0)
    async with pool_nodes.running(vms=0, plain_instances=1) as bench:
        runner = bench.fleet.runners_by_id["desk-0"]
        assert (await bench.call("/lookup/a", method="GET")).code == 200
        runner.options.refuses_as_stray = True
        runner.options.unnamed_stray_answers = not named
        for path in ("/lookup/a", "/filing/a" if named else "/lookup/b") * 4:
            runner.options.stray_answers = 1
            result = await bench.call(path)
            runs = len(bench.fleet.runs_of(result.attempt))
            outcome = result.headers.get("Basilpost-Outcome")
            assert runs <= 1 or path.startswith("/lookup")
            assert not runs or (result.code not in (429, 503) and outcome != "not-run")
            runner.options.stray_answers = 0
            # A sound answer leaves a kept connection behind.
            assert (await bench.call("/lookup/a", method="GET")).code == 200
