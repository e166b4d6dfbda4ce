"""`basilpost node`: runs one node of the system."""

import asyncio
import sys

import click

from basilpost.core import log
from basilpost.node import process
from basilpost.settings import loader

_EXIT_BAD_SETTINGS = 2


@click.command()
@click.argument("settings_file", type=click.Path())
def command(settings_file: str) -> None:
    """Runs a node with the settings of SETTINGS_FILE until SIGTERM.

    Example: basilpost node /etc/basilpost/node.jsonc
    """
    try:
        settings = loader.load_node_settings(settings_file)
    except loader.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(_EXIT_BAD_SETTINGS)
    log.configure(json_lines=settings.log.format == "json", level=settings.log.level)
    asyncio.run(process.run(settings))
