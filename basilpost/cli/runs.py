"""`basilpost runs`: shows and settles non-idempotent requests."""

import json

import click

from basilpost.cli import client, table

_RAN = "ran"


@click.group()
def runs() -> None:
    """Shows and settles non-idempotent requests."""


@runs.command("list")
@client.options
def list_open(admin: client.Admin) -> None:
    """Lists all requests whose outcome is not final, running ones included.

    Example: basilpost runs list
    """
    open_runs = client.get(admin, client.path("runs"))["runs"]
    header = ("WORKSPACE", "SERVICE", "KEY", "STATE", "NODE", "SINCE", "DETAIL")
    fields = ("workspace", "service", "key", "state", "node_id", "changed_at", "detail")
    click.echo(table.layout(header, [tuple(run[field] for field in fields) for run in open_runs]))


@runs.command()
@click.argument("workspace")
@click.argument("service")
@click.argument("key")
@client.options
def show(admin: client.Admin, workspace: str, service: str, key: str) -> None:
    """Shows the record of the request with idempotency KEY.

    Example: basilpost runs show licensing licences filing-2026-0417
    """
    run = client.get(admin, client.path("runs", workspace, service, key))
    click.echo(json.dumps(run, indent=2))


@runs.command()
@click.argument("workspace")
@click.argument("service")
@click.argument("key")
@click.option(
    "--outcome",
    type=click.Choice((_RAN, "not-run")),
    required=True,
    help="What became of the request.",
)
@click.option("--reason", required=True, help="How you know.")
@client.options
def settle(
    admin: client.Admin, workspace: str, service: str, key: str, outcome: str, reason: str
) -> None:
    """Records the outcome of a request whose outcome is unknown.

    A request settled as not run may be sent again, so check the back end first.

    Example: basilpost runs settle licensing licences filing-2026-0417 --outcome ran --reason "in its log"
    """
    run = client.change(
        admin,
        "POST",
        client.path("runs", workspace, service, key),
        body={"ran": outcome == _RAN, "reason": reason},
        repeatable=False,
    )
    click.echo(f"{workspace} {service} {key}: {run['state']}")
