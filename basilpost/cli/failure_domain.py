"""`basilpost failure-domain`: takes failure domains out of service and back."""

import click

from basilpost.cli import client, waiting

_WAIT_SECONDS = 30.0


@click.group("failure-domain")
def failure_domain() -> None:
    """Takes a failure domain out of service, or puts it back."""


@failure_domain.command()
@click.argument("name")
@click.option("--reason", required=True, help="Why, for the audit trail.")
@click.option("--wait/--no-wait", default=True, help="Wait until it is in force on every node.")
@client.options
def out(admin: client.Admin, name: str, reason: str, wait: bool) -> None:
    """Takes NAME out: within seconds it receives no new work; requests in flight finish.

    Example: basilpost failure-domain out kz-south-b --reason "power works"
    """
    _set_in_service(admin, name, "out", reason, wait)


@failure_domain.command("in")
@click.argument("name")
@click.option("--reason", required=True, help="Why, for the audit trail.")
@click.option("--wait/--no-wait", default=True, help="Wait until it is in force on every node.")
@client.options
def put_in(admin: client.Admin, name: str, reason: str, wait: bool) -> None:
    """Puts NAME back in service; its targets take work as they warm up.

    Example: basilpost failure-domain in kz-south-b --reason "power is back"
    """
    _set_in_service(admin, name, "in", reason, wait)


def _set_in_service(
    admin: client.Admin, name: str, direction: str, reason: str, wait: bool
) -> None:
    result = client.change(
        admin,
        "POST",
        client.path("failure-domains", name, direction),
        body={"reason": reason},
    )
    state = "out of service" if direction == "out" else "in service"
    acceptance = "accepted" if result["changed"] else "it was so already,"
    click.echo(f"{name} {state}: {acceptance} as version {result['version']}")
    if wait:
        target = waiting.Target(key=result["key"], version=result["version"])
        waiting.wait_for(admin, [target], seconds=_WAIT_SECONDS)
