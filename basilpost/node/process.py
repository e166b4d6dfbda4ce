"""Runs a node from its settings until a planned stop."""

import asyncio
import contextlib

from basilpost.core import kernel as kernel_
from basilpost.core import names
from basilpost.gateway import server
from basilpost.node import assembly, signals
from basilpost.settings import schema


async def run(settings: schema.NodeSettings) -> None:
    """Serves until SIGTERM or SIGINT, then drains requests in flight and stops.

    The process ignores both signals from then on.
    """
    kernel = assembly.build(settings, platform=assembly.http_platform(settings))
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in signals.STOP:
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
    signals.ignore(signals.STOP)


async def shut_down(kernel: kernel_.Kernel) -> None:
    """Performs a planned stop: drains the gateway, then stops all services in reverse order."""
    kernel.log.info("node_stopping")
    await kernel.find(names.GATEWAY, server.Gateway).drain()
    await kernel.stop()
    kernel.log.info("node_stopped")
