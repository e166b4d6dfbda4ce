"""`basilpost demo`: runs the system with emulated back ends in one process."""

import asyncio
import sys

import click

from basilpost.core import log
from basilpost.node import demo, pool_demo

_EXIT_FAILED = 1


@click.command()
@click.option("--serve", is_flag=True, help="Keep running for requests of your own.")
@click.option(
    "--port", default=0, show_default=True, help="Callers' port of node-1; 0: a free one."
)
@click.option(
    "--platform",
    is_flag=True,
    help="Show nodes that serve a pool of VMs of the users' platform instead.",
)
@click.option("--verbose", is_flag=True, help="Show the nodes' logs.")
def command(serve: bool, port: int, platform: bool, verbose: bool) -> None:
    """Runs the system in one process, sends requests through it and shows what it does.

    Example: basilpost demo --serve --port 8080
    """
    log.configure(json_lines=False, level="info" if verbose else "error")
    try:
        asyncio.run(_run_platform() if platform else _run(serve=serve, port=port))
    except (AssertionError, TimeoutError) as error:
        click.echo(f"The demo failed: {error!r}", err=True)
        sys.exit(_EXIT_FAILED)
    except KeyboardInterrupt:
        click.echo("Stopped.")


async def _run(*, serve: bool, port: int) -> None:
    system = demo.Demo(port=port)
    click.echo("Starting platform, back ends and two nodes in one process ...")
    try:
        await system.start()
        if not serve:
            await demo.run_steps(system, click.echo)
            return
        click.echo(_usage_hint(system))
        await asyncio.Event().wait()
    finally:
        await system.stop()


async def _run_platform() -> None:
    system = pool_demo.PoolDemo()
    click.echo("Starting the platform's store, a pool of VMs and two nodes in one process ...")
    try:
        await system.start()
        await pool_demo.run_steps(system, click.echo)
    finally:
        await system.stop()


def _usage_hint(system: demo.Demo) -> str:
    return (
        f"API key: {demo.API_KEY}\n\n"
        f"curl -N {system.gateway_url(0)}/v1/chat/completions"
        f" -H 'Authorization: Bearer {demo.API_KEY}' -H 'Content-Type: application/json'"
        ' -d \'{"model": "clearance", "stream": true, "max_tokens": 20,'
        ' "messages": [{"role": "user", "content": "Who holds the rights of reel 7?"}]}\''
        f"\n\nFor operators:\n\nexport BASILPOST_ADMIN={system.admin_url()} BASILPOST_TOKEN={demo.ADMIN_TOKEN}\n"
        "basilpost status\n\nCtrl-C stops it."
    )
