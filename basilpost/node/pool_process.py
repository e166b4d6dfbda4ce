"""Entry point of a pool's node: `python -m basilpost.node.pool_process`."""

import contextlib
import os
import signal
import sys
from typing import NoReturn


def main() -> int:
    """Runs the node; returns the exit code."""
    # SIGHUP may ask for a reload during the imports below; by default it would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from basilpost.node import pool_main

    return pool_main.main()


def run() -> NoReturn:
    """Runs the node and ends the process without the teardown of the interpreter.

    All is stopped and written by then. The teardown would take 0.3 s of the grace, and 1 s beside load.
    """
    code = main()
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError, ValueError):
            stream.flush()
    os._exit(code)


if __name__ == "__main__":
    run()
