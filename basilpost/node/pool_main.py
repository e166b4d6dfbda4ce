"""Runs a node that serves a pool of VMs of the users' platform, until it is asked to stop.

The environment variable BASILPOST_CONFIG names the settings file; BASILPOST_MEMORY_MB and
BASILPOST_MAX_DESCRIPTORS, if they are set, have precedence over the file's `memory_mb` and
`max_descriptors`. Only what a node needs is imported, to keep restarts short: a node does not serve
while it restarts.
"""

import asyncio
import logging
import os
import signal
import sys

import prometheus_client

import basilpost
from basilpost.core import kernel as kernel_
from basilpost.core import log, log_writer, names, tasks
from basilpost.gateway import relay
from basilpost.groups import pool_controller
from basilpost.node import pool_assembly, process_end, settings_file, signals
from basilpost.settings import loader, pool_loader

SETTINGS_VARIABLE = "BASILPOST_CONFIG"
MEMORY_VARIABLE = "BASILPOST_MEMORY_MB"
DESCRIPTORS_VARIABLE = "BASILPOST_MAX_DESCRIPTORS"
# Interval at which dropped lines are reported and waiting ones are tried once more.
LOG_TEND_SECONDS = 1.0
_EXIT_BAD_SETTINGS = 2


async def run(
    source: settings_file.SettingsFile,
    writer: log_writer.LineWriter,
    ending: process_end.ProcessEnd,
) -> None:
    """Serves until SIGTERM or SIGINT, then drains requests in flight and stops.

    Args:
        source: The settings.
        writer: Writes the log.
        ending: Logs the end of the process.
    """
    writer.attach(asyncio.get_running_loop())
    background = tasks.TaskSet()
    background.keep_running(lambda: _tend_log(writer), name="log")
    try:
        await _serve(source, writer, ending)
    finally:
        await background.close()
        writer.detach()


async def _tend_log(writer: log_writer.LineWriter) -> None:
    """Reports dropped lines and tries to write waiting ones, also if nothing else is logged."""
    while True:
        await asyncio.sleep(LOG_TEND_SECONDS)
        writer.report_dropped()
        writer.flush()


async def _serve(
    source: settings_file.SettingsFile,
    writer: log_writer.LineWriter,
    ending: process_end.ProcessEnd,
) -> None:
    settings = source.loaded.settings
    kernel = ending.kernel = pool_assembly.build(settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in signals.STOP:
        loop.add_signal_handler(signal_number, stop.set)
    node_relay = kernel.find(names.RELAY, relay.Relay)

    def reload() -> None:
        source.reload(node_relay, kernel.log)

    loop.add_signal_handler(signal.SIGHUP, reload)
    logging.getLogger().addHandler(log.LibraryMessages(log=kernel.log))
    _add_metrics(kernel, writer)
    kernel.log.info(
        "node_starting",
        failure_domain=settings.failure_domain,
        pid=os.getpid(),
        version=basilpost.__version__,
        memory_mb=settings.memory_mb,
    )
    if source.loaded.ignored:
        kernel.log.warning("settings_fields_ignored", fields=list(source.loaded.ignored))
    await kernel.start()
    kernel.log.info("node_started")
    await stop.wait()
    kernel.log.info("node_stopping")
    # The file may have changed without SIGHUP.
    source.reload(node_relay, kernel.log, is_asked=False)
    drain = asyncio.create_task(node_relay.drain())
    await kernel.find(names.CONTROLLER, pool_controller.Controller).stop()
    await drain
    await kernel.stop()
    signals.ignore((*signals.STOP, signal.SIGHUP))
    kernel.log.info("node_stopped")


def _add_metrics(kernel: kernel_.Kernel, writer: log_writer.LineWriter) -> None:
    """Registers the metrics of the process, such as its start time, memory and descriptors."""
    prometheus_client.ProcessCollector(registry=kernel.registry)
    dropped = prometheus_client.Gauge(
        "basilpost_log_lines_dropped", "Log lines dropped since the start", registry=kernel.registry
    )
    dropped.set_function(lambda: writer.dropped_total)
    buffered = prometheus_client.Gauge(
        "basilpost_log_buffered_bytes",
        "Bytes of log lines that the reader of the log has not taken yet",
        registry=kernel.registry,
    )
    buffered.set_function(lambda: writer.buffered_bytes)


def main() -> int:
    """Reads the settings and runs the node; returns the exit code."""
    try:
        source = settings_file.SettingsFile(load=_load_settings)
    except loader.SettingsError as error:
        print(error, file=sys.stderr)
        return _EXIT_BAD_SETTINGS
    writer = log.configure_bounded(
        descriptor=sys.stdout.fileno(), level=source.loaded.settings.log_level
    )
    ending = process_end.ProcessEnd(writer=writer)
    ending.watch_signals()
    try:
        with asyncio.Runner() as runner:
            try:
                runner.run(run(source, writer, ending))
            except BaseException:
                # When the runner closes, it cancels them.
                ending.capture_requests()
                raise
    except BaseException as error:
        ending.log_error(error)
        raise
    ending.log_stop()
    return 0


def _load_settings() -> pool_loader.Loaded:
    """Returns the settings of the file and the environment.

    Raises:
        loader.SettingsError: With all errors.
    """
    loaded = pool_loader.with_memory(
        pool_loader.load(os.environ.get(SETTINGS_VARIABLE, "")),
        os.environ.get(MEMORY_VARIABLE, ""),
        variable=MEMORY_VARIABLE,
    )
    return pool_loader.with_descriptors(
        loaded, os.environ.get(DESCRIPTORS_VARIABLE, ""), variable=DESCRIPTORS_VARIABLE
    )
