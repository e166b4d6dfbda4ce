"""`basilpost crash-causes`: lists and releases what nodes before a pool refuse after crashes."""

import asyncio
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import click
import structlog

from basilpost.cli import table
from basilpost.core import failure
from basilpost.platform import store as platform_store
from basilpost.routing import crash_evidence, crash_store
from basilpost.store import objects

_EXIT_FAILED = 1
_SHORT_ID_LENGTH = 8

_store_option = click.option(
    "--store", required=True, help="Address of the platform's store, host:port."
)


@click.group("crash-causes")
def crash_causes() -> None:
    """Shows and releases traits of requests that crashed targets of a pool."""


@crash_causes.command("list")
@_store_option
def list_all(store: str) -> None:
    """Lists the causes with their evidence.

    Example: basilpost crash-causes list --store 10.0.0.9:7000
    """
    found = crash_store.list_causes(_call(store, lambda client: client.list(crash_store.PREFIX)))
    rows = [
        (
            cause.trait.kind,
            cause.trait.value,
            cause.cause_id[:_SHORT_ID_LENGTH],
            cause.found_at,
            cause.node_id,
            str(cause.crashes),
            " ".join(cause.targets),
            " ".join(cause.requests),
            f"released: {cause.released}" if cause.released else "refused",
        )
        for _, cause in found
    ]
    header = ("KIND", "VALUE", "CAUSE", "FOUND", "BY", "CRASHES", "TARGETS", "REQUESTS", "STATE")
    click.echo(table.layout(header, rows))


@crash_causes.command()
@click.argument("kind", type=click.Choice(crash_evidence.KINDS))
@click.argument("value")
@click.option("--reason", required=True, help="Why such requests may run again.")
@_store_option
def release(kind: str, value: str, reason: str, store: str) -> None:
    """Lets requests with a trait run again on all nodes.

    Example: basilpost crash-causes release part 5c1e07a2 --reason "engine mended" --store 10.0.0.9:7000
    """
    trait = crash_evidence.Trait(kind=kind, value=value)
    key = crash_store.key_of(trait)
    stored = _call(store, lambda client: client.get(key))
    cause = crash_store.decode(stored)
    if cause is None:
        _fail(f"{key} is not a cause of crashes")
        return
    value_released = crash_store.release_cause(cause, reason)
    _call(store, lambda client: client.update(key, value_released, version=stored.version))
    click.echo(f"{trait} is released")


def _call(address: str, call: Callable[[objects.ObjectStore], Coroutine[Any, Any, Any]]) -> Any:
    """Makes one call to the store; ends the command if it fails."""

    async def make() -> Any:
        client = platform_store.PlatformStore(address=address, log=structlog.get_logger())
        try:
            return await call(client)
        finally:
            client.close()

    result = asyncio.run(make())
    if isinstance(result, failure.Failure):
        _fail(result.reason)
    return result


def _fail(reason: str) -> None:
    click.echo(reason, err=True)
    sys.exit(_EXIT_FAILED)
