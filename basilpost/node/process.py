"""Runs a node from its settings until a planned stop."""

import asyncio
import contextlib
import signal

from basilpost.core import kernel as kernel_
from basilpost.core import names
from basilpost.gateway import server
from basilpost.node import assembly
from basilpost.settings import schema

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def run(settings: schema.NodeSettings) -> None:
    """Serves until SIGTERM or SIGINT, then drains requests in flight and stops.

    The process ignores both signals from then on.
    """
    kernel = assembly.build(settings, platform=assembly.http_platform(settings))
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in _STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop.set)
    starting = asyncio.create_task(kernel.start())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait({starting, stopping}, return_when=asyncio.FIRST_COMPLETED)
    if not starting.done():
        starting.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await starting
    await stopping
    await shut_down(kernel)
    _ignore_stop_signals(loop)


async def shut_down(kernel: kernel_.Kernel) -> None:
    """Performs a planned stop: drains the gateway, then stops all services in reverse order."""
    kernel.log.info("node_stopping")
    await kernel.find(names.GATEWAY, server.Gateway).drain()
    await kernel.stop()
    kernel.log.info("node_stopped")


def _ignore_stop_signals(loop: asyncio.AbstractEventLoop) -> None:
    # A loop that closes removes its handlers, and the default action would end the process as failed.
    # The signals are blocked first, because removing a handler restores the default action.
    signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)
    for signal_number in _STOP_SIGNALS:
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_IGN)
