"""Waits until changes are in force on every node, and shows the progress node by node."""

import asyncio
import dataclasses
import time

import click

from basilpost.cli import client

_POLL_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """A version of an object that has to come into force."""

    key: str
    version: int


class NotInForce(click.ClickException):
    """The changes are accepted, but were not in force everywhere in time."""

    exit_code = 1


def wait_for(admin: client.Admin, targets: list[Target], *, seconds: float) -> None:
    """Waits until all targets are in force everywhere; raises `NotInForce` after `seconds`."""
    asyncio.run(_wait_for_all(admin, targets, seconds))


async def _wait_for_all(admin: client.Admin, targets: list[Target], seconds: float) -> None:
    deadline = time.monotonic() + seconds
    for target in targets:
        await _wait_for_one(admin, target, deadline)


async def _wait_for_one(admin: client.Admin, target: Target, deadline: float) -> None:
    shown: set[str] = set()
    query = client.path("in-force", key=target.key, version=str(target.version))
    while True:
        view = await client.request(admin, "GET", query)
        done = {node["node_id"] for node in view["nodes"] if node["in_force"]}
        for node_id in sorted(done - shown):
            click.echo(f"{target.key} version {target.version}: in force on {node_id}")
        shown |= done
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
