"""`basilpost explain`: says from nodes' logs what became of a request."""

import functools
import sys
from collections.abc import Iterator

import click

from basilpost.admin import explaining

_NOT_FOUND = 1


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
def command(request_id: str, files: tuple[str, ...]) -> None:
    """Explains request REQUEST_ID from the logs in FILES, of one or several nodes.

    Example: basilpost explain 9c41d07be2a35f68 front-*.log
    """
    found = explaining.explain(request_id, [functools.partial(_lines, path) for path in files])
    for line in found.lines:
        click.echo(explaining.render(line))
    if found.malformed:
        click.echo(f"{found.malformed} lines could not be read", err=True)
    click.echo(found.verdict)
    if not found.lines:
        sys.exit(_NOT_FOUND)


def _lines(path: str) -> Iterator[str]:
    with open(path, encoding="utf-8", errors="replace") as file:
        yield from file
