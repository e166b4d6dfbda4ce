"""Starts a pool's node as a process: `python -m basilpost.node.pool_process`."""

import signal
import sys


def main() -> int:
    """Runs the node; returns the exit code."""
    # A reload may be asked for while the process still imports, and would end it by default.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from basilpost.node import pool_main

    return pool_main.main()


if __name__ == "__main__":
    sys.exit(main())
