"""The signals that stop a node's process."""

import asyncio
import signal
from collections.abc import Collection

STOP = (signal.SIGTERM, signal.SIGINT)


def ignore(numbers: Collection[signal.Signals]) -> None:
    """Ignores signals that the running event loop handles, until the process has exited.

    The loop restores the default action of its signals when it closes. One that arrives while the
    interpreter exits would then end the process with the exit code of a failure.
    """
    loop = asyncio.get_running_loop()
    # Blocked meanwhile, because removing a handler of the loop restores the default action.
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    for number in numbers:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)
