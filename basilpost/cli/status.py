"""`basilpost status`: prints nodes, groups, failure domains and versions in force."""

import collections
import json
from typing import Any

import click

from basilpost.cli import client, table


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON, with each group and version.")
@client.options
def status(admin: client.Admin, as_json: bool) -> None:
    """Shows the state of the system as one node sees it.

    Example: basilpost status --admin http://10.0.0.1:7001
    """
    view = client.get(admin, client.path("status"))
    click.echo(json.dumps(view, indent=2) if as_json else describe(view))


def describe(view: dict[str, Any]) -> str:
    """Formats the state as tables for a terminal."""
    same = "all nodes have the same configuration in force"
    differs = "NOT all nodes have the same configuration in force"
    parts = [
        table.layout(("NODE", "SERVING", "STORE CONTACT", "CONFIG", "DETAIL"), _node_rows(view)),
        same if view["same_configuration"] else differs,
        table.layout(
            ("FAILURE DOMAIN", "REGION", "IN SERVICE", "GROUPS", "SERVING"), _domain_rows(view)
        ),
        table.layout(("SERVICE", "GROUPS", "STATES"), _service_rows(view)),
        f"{len(view['versions'])} configuration objects in force",
    ]
    return "\n\n".join(parts)


def _node_rows(view: dict[str, Any]) -> list[tuple[str, ...]]:
    return [
        (
            node["node_id"],
            _yes_or_no(node["serving"]) if node["reached"] else "no answer",
            _format_age(node["store_contact_age"]),
            str(node["config_version"]),
            node["detail"],
        )
        for node in view["nodes"]
    ]


def _domain_rows(view: dict[str, Any]) -> list[tuple[str, ...]]:
    return [
        (
            domain["name"],
            domain["region"],
            _yes_or_no(domain["in_service"]),
            str(domain["groups"]),
            str(domain["serving_groups"]),
        )
        for domain in view["failure_domains"]
    ]


def _service_rows(view: dict[str, Any]) -> list[tuple[str, ...]]:
    states_by_service: dict[str, collections.Counter[str]] = {}
    for group in view["groups"]:
        states = states_by_service.setdefault(group["service"], collections.Counter())
        states[group["state"]] += 1
    return [
        (
            service,
            str(states.total()),
            ", ".join(f"{count} {state}" for state, count in sorted(states.items())),
        )
        for service, states in sorted(states_by_service.items())
    ]


def _yes_or_no(value: bool) -> str:
    return "yes" if value else "no"


def _format_age(age: float | None) -> str:
    return "never" if age is None else f"{age:.1f} s ago"
