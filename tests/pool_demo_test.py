"""The steps of the pool demo have the results that they should have."""

from basilpost.node import pool_demo


async def test_the_tour_comes_out_as_it_should():
    shown, said = pool_demo.PoolDemo(), []
    try:
        await shown.start()
        await pool_demo.run_steps(shown, said.append)
    finally:
        await shown.stop()
    assert len(said) == 5
    assert "outcome unknown, 1 run" in said[-1]
