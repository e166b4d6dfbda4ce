"""`basilpost key`: creates API keys for workspaces."""

import click

from basilpost.cli import client


@click.group()
def key() -> None:
    """Creates API keys."""


@key.command()
@click.argument("workspace")
@click.option("--reason", default="", help="Why, for the audit trail.")
@client.options
def create(admin: client.Admin, workspace: str, reason: str) -> None:
    """Creates an API key for WORKSPACE and prints it; it cannot be shown again.

    Example: basilpost key create branch-tellers --reason "new branch"
    """
    new_key = client.change(
        admin,
        "POST",
        client.path("keys"),
        body={"workspace": workspace, "reason": reason},
        repeatable=False,
    )
    click.echo(new_key["api_key"])
