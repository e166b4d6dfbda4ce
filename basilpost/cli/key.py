"""`basilpost key`: makes API keys for workspaces."""

import click

from basilpost.cli import client


@click.group()
def key() -> None:
    """Makes API keys."""


@key.command()
@click.argument("workspace")
@click.option("--reason", default="", help="Why, for the audit trail.")
@client.options
def create(admin: client.Admin, workspace: str, reason: str) -> None:
    """Makes an API key for WORKSPACE and prints it; it cannot be shown again.

    Example: basilpost key create branch-tellers --reason "new branch"
    """
    found = client.change(
        admin,
        "POST",
        client.path("keys"),
        body={"workspace": workspace, "reason": reason},
        repeatable=False,
    )
    click.echo(found["api_key"])
