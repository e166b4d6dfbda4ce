"""`basilpost emulate`: runs one emulated platform interface or back end as a process."""

import asyncio
import json
import signal
from collections.abc import Callable
from typing import Any, TextIO

import click

from basilpost.core import codec, data
from basilpost.emulator import (
    object_api,
    records,
    runner,
    server,
    service,
    vm_list,
    weight_store,
)


@click.group(name="emulate")
def command() -> None:
    """Runs a small emulation of a part outside the system.

    Each prints one line of JSON with its address when it is ready, and ends on SIGTERM:

    \b
        basilpost emulate object-api --port 0
        {"address": "127.0.0.1:40123"}
    """


_host = click.option("--host", default="127.0.0.1", show_default=True, help="Address to listen on.")
_port = click.option("--port", default=0, show_default=True, help="Port; 0 takes a free one.")


@command.command(name="object-api")
@_host
@_port
def _object_api(host: str, port: int) -> None:
    """Serves the object API from memory.

    Example: basilpost emulate object-api --port 8000
    """
    _run(lambda: object_api.ObjectApi(host=host, port=port))


@command.command(name="vm-list")
@_host
@_port
@click.option("--lag", default=0.0, show_default=True, help="Seconds until a change is shown.")
@click.option("--vms", type=click.File(), help="File with a JSON list of VMs to begin with.")
def _vm_list(host: str, port: int, lag: float, vms: TextIO | None) -> None:
    """Serves the list of VMs.

    Example: basilpost emulate vm-list --port 8001 --lag 2
    """
    raw = json.load(vms) if vms else []
    listed = codec.json_converter().structure(raw, tuple[data.Vm, ...])
    _run(lambda: vm_list.VmListServer(vms=listed, lag=lag, host=host, port=port))


@command.command(name="weight-store")
@_host
@_port
@click.option("--loads-per-second", default=4.0, show_default=True, help="Rate of loads.")
@click.option("--load-seconds", default=0.5, show_default=True, help="Length of one load.")
def _weight_store(host: str, port: int, loads_per_second: float, load_seconds: float) -> None:
    """Serves weights at a limited rate.

    Example: basilpost emulate weight-store --loads-per-second 4
    """
    _run(
        lambda: weight_store.WeightStore(
            loads_per_second=loads_per_second, load_seconds=load_seconds, host=host, port=port
        )
    )


@command.command(name="runner")
@_host
@_port
@click.option("--vm-id", default="vm", show_default=True, help="Platform's id of the VM.")
@click.option("--weight-store", default="", help="Base URL of the weight store; none by default.")
@click.option("--ignore-fence", is_flag=True, help="Accept orders with old fencing tokens as well.")
@click.option("--token-interval", default=0.02, show_default=True, help="Seconds between tokens.")
@click.option("--prefill-seconds", default=0.01, show_default=True, help="Until the first token.")
@click.option("--block-seconds", default=0.0005, show_default=True, help="For an uncached block.")
@click.option("--load-report-lag", default=0.0, show_default=True, help="Age of reported load.")
@click.option(
    "--max-in-flight", default=64, show_default=True, help="Concurrent requests when warm."
)
@click.option("--cold-limit", default=2, show_default=True, help="Concurrent requests when cold.")
@click.option("--warm-requests", default=8, show_default=True, help="Warm after as many requests.")
@click.option("--warm-seconds", default=5.0, show_default=True, help="Warm after as many seconds.")
@click.option("--load-seconds", default=0.2, show_default=True, help="Load without a weight store.")
@click.option("--cache-blocks", default=4096, show_default=True, help="Size of the prefix cache.")
def _runner(host: str, port: int, vm_id: str, ignore_fence: bool, **options: Any) -> None:
    """Runs a model engine's runner on one VM.

    Example: basilpost emulate runner --vm-id vm-1 --token-interval 0.02
    """
    settings = records.RunnerOptions(checks_fence=not ignore_fence, **options)
    _run(lambda: runner.Runner(vm_id=vm_id, options=settings, host=host, port=port))


@command.command(name="service")
@_host
@_port
@click.option("--instance", default="instance", show_default=True, help="Name in its receipts.")
@click.option("--run-seconds", default=0.005, show_default=True, help="Time that a call takes.")
def _service(host: str, port: int, instance: str, run_seconds: float) -> None:
    """Runs an instance of a plain service.

    Example: basilpost emulate service --instance licences-1
    """
    _run(
        lambda: service.PlainService(
            instance=instance, run_seconds=run_seconds, host=host, port=port
        )
    )


def _run(make: Callable[[], server.EmulatedServer]) -> None:
    asyncio.run(_serve(make))


async def _serve(make: Callable[[], server.EmulatedServer]) -> None:
    emulated = make()
    address = await emulated.start()
    click.echo(json.dumps({"address": address}))
    stopping = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopping.set)
    await stopping.wait()
    await emulated.stop()
