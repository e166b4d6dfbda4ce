"""The `basilpost` command; each subcommand is a thin module of its own."""

import click

import basilpost
from basilpost.cli import config, emulate, load


@click.group()
@click.version_option(basilpost.__version__)
def main() -> None:
    """Serves models that span several VMs, and the plain services beside them."""


main.add_command(config.config)
main.add_command(emulate.command)
main.add_command(load.command)
