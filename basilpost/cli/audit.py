"""`basilpost audit`: prints the audit trail of the configuration."""

import json
from typing import Any

import click

from basilpost.cli import client


@click.command()
@click.option("--workspace", default="", help="Show only changes of this workspace.")
@click.option("--key", default="", help="Show only changes of this object.")
@click.option("--since", default="", help="Day or time in UTC, also reads the archives from then.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@client.options
def audit(admin: client.Admin, workspace: str, key: str, since: str, as_json: bool) -> None:
    """Shows accepted changes of the configuration, oldest first.

    Without --since, the latest changes of each object are shown.

    Example: basilpost audit --workspace branch-tellers --since 2026-01-31
    """
    trail = client.get(admin, client.path("audit", workspace=workspace, key=key, since=since))
    if as_json:
        click.echo(json.dumps(trail, indent=2))
        return
    for line in trail["lines"]:
        click.echo(describe(line))
    if not trail["complete"]:
        raise click.ClickException("not all archives could be read, or there were too many lines")


def describe(line: dict[str, Any]) -> str:
    """Formats an audit entry for a terminal: time, operator, reason and changed fields."""
    entry = line["entry"]
    before, after = _parse(entry["before"]), _parse(entry["after"])
    action = "changed" if before and after else "created" if after else "deleted"
    head = f"{entry['at']} {entry['actor']} {action} {line['key']} (through {entry['node_id']})"
    reason = [f"  reason: {entry['reason']}"] if entry["reason"] else []
    changed = sorted(field for field in after if before.get(field) != after[field])
    fields = [
        (
            f"  {field}: {json.dumps(before[field])} -> {json.dumps(after[field])}"
            if field in before
            else f"  {field}: {json.dumps(after[field])}"
        )
        for field in changed
    ]
    return "\n".join([head, *reason, *fields])


def _parse(text: str) -> dict[str, Any]:
    value: dict[str, Any] = json.loads(text) if text else {}
    return value
