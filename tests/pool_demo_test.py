"""The steps of the pool demo run to their end and print the expected outcome."""

from basilpost.node import pool_demo


async def test_the_tour_prints_the_expected_outcome():
    demo, lines = pool_demo.PoolDemo(), []
    try:
        await demo.start()
        await pool_demo.run_steps(demo, lines.append)
    finally:
        await demo.stop()
    assert len(lines) == 5
    assert "outcome unknown, 1 run" in lines[-1]
