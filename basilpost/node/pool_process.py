"""Entry point of a pool's node: `python -m basilpost.node.pool_process`."""

import signal
import sys


def main() -> int:
    """Runs the node; returns the exit code."""
    # SIGHUP may ask for a reload during the imports below; by default it would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from basilpost.node import pool_main

    return pool_main.main()


if __name__ == "__main__":
    sys.exit(main())
