"""Waits until changes are in force on every node, and prints each node that has them."""

import asyncio
import dataclasses
import time

import click

from basilpost.cli import client

_POLL_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """The version of an object to wait for."""

    key: str
    version: int


class NotInForce(click.ClickException):
    """A change is accepted, but was not in force on every node before the deadline."""

    exit_code = 1


def wait_for(admin: client.Admin, targets: list[Target], *, seconds: float) -> None:
    """Waits until all targets are in force everywhere; raises `NotInForce` after `seconds`."""
    asyncio.run(_wait_for_all(admin, targets, seconds))


async def _wait_for_all(admin: client.Admin, targets: list[Target], seconds: float) -> None:
    deadline = time.monotonic() + seconds
    for target in targets:
        await _wait_for_one(admin, target, deadline)


async def _wait_for_one(admin: client.Admin, target: Target, deadline: float) -> None:
    printed: set[str] = set()
    query = client.path("in-force", key=target.key, version=str(target.version))
    while True:
        view = await client.request(admin, "GET", query)
        done = {node["node_id"] for node in view["nodes"] if node["in_force"]}
        for node_id in sorted(done - printed):
            click.echo(f"{target.key} version {target.version}: in force on {node_id}")
        printed |= done
        if view["everywhere"]:
            click.echo(f"{target.key} version {target.version}: in force everywhere")
            return
        if time.monotonic() >= deadline:
            missing = [node["node_id"] for node in view["nodes"] if not node["in_force"]]
            rest = ", ".join(missing) or "nodes that cannot be asked"
            raise NotInForce(
                f"{target.key} version {target.version} is accepted, "
                f"but not yet known to be in force on {rest}"
            )
        await asyncio.sleep(_POLL_SECONDS)
