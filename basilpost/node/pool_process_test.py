"""Tests of the entry point of a pool's node."""

import asyncio
import sys

PROGRAM = """
import atexit, sys
from basilpost.node import pool_main, pool_process

def main():
    print("error", file=sys.stderr)
    print("output")
    return 2

pool_main.main = main
atexit.register(print, "teardown")
pool_process.run()
"""


async def test_the_teardown_of_the_interpreter_takes_a_part_of_the_grace():
    """A node that had logged its end was gone only 0.6 s after the grace."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        PROGRAM,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await child.communicate()
    assert (child.returncode, out, err) == (2, b"output\n", b"error\n")
