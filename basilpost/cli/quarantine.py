"""`basilpost quarantine`: lists and releases requests that crash their targets."""

import click

from basilpost.cli import client, table


@click.group()
def quarantine() -> None:
    """Shows and releases requests that are refused because they crash targets."""


@quarantine.command("list")
@client.options
def list_all(admin: client.Admin) -> None:
    """Lists all quarantined requests.

    Example: basilpost quarantine list
    """
    entries = client.get(admin, client.path("quarantine"))["quarantined"]
    rows = [
        (entry["fingerprint"], entry["workspace"], entry["since"], entry["detail"])
        for entry in entries
    ]
    click.echo(table.layout(("FINGERPRINT", "WORKSPACE", "SINCE", "DETAIL"), rows))


@quarantine.command()
@click.argument("fingerprint")
@click.option("--reason", required=True, help="Why it may run again.")
@client.options
def release(admin: client.Admin, fingerprint: str, reason: str) -> None:
    """Lets the request with FINGERPRINT run again on all nodes.

    Example: basilpost quarantine release 3f1c... --reason "fixed in engine version 8"
    """
    client.change(
        admin,
        "POST",
        client.path("quarantine", fingerprint, "release"),
        body={"reason": reason},
        repeatable=False,
    )
    click.echo(f"{fingerprint} is released")
