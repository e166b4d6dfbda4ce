"""`basilpost explain`: explains the outcome of a request from the logs of nodes."""

import functools
import sys
from collections.abc import Iterator

import click

from basilpost.admin import explaining

_EXIT_NOT_FOUND = 1


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
def command(request_id: str, files: tuple[str, ...]) -> None:
    """Explains request REQUEST_ID from the logs in FILES, of one or several nodes.

    Example: basilpost explain 9c41d07be2a35f68 front-*.log
    """
    explanation = explaining.explain(
        request_id, [functools.partial(_read_lines, path) for path in files]
    )
    for line in explanation.lines:
        click.echo(explaining.render(line))
    if explanation.malformed:
        click.echo(f"{explanation.malformed} lines could not be read", err=True)
    click.echo(explanation.verdict)
    if not explanation.lines:
        sys.exit(_EXIT_NOT_FOUND)


def _read_lines(path: str) -> Iterator[str]:
    with open(path, encoding="utf-8", errors="replace") as file:
        yield from file
