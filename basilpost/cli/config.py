"""`basilpost config`: checks, shows, compares, applies and generates configuration."""

import json
import pathlib
from typing import Any

import click
import pyjson5

from basilpost.cli import client, waiting
from basilpost.settings import bundle, configuration, generation, loader, questionnaire

_WAIT_SECONDS = 30.0


@click.group()
def config() -> None:
    """Checks, compares, applies and generates configuration."""


@config.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Checks FILE and reports all its errors.

    FILE is a node's settings or a bundle of configuration objects; a file with the key "node_id"
    or "platform" is taken for a node's settings.

    Example: basilpost config check node-1.jsonc
    """
    try:
        kind = _check_file(file)
    except loader.SettingsError as error:
        raise client.BadSettings(error) from error
    click.echo(f"{file}: {kind}, no errors")


@config.command()
@click.argument("kind", type=click.Choice(list(configuration.KINDS_BY_PATH)), required=False)
@click.argument("name", required=False)
@client.options
def show(admin: client.Admin, kind: str | None, name: str | None) -> None:
    """Shows the configuration in force, as a bundle that can be applied again.

    Example: basilpost config show services clearance
    """
    if kind and name:
        stored_object = client.get(admin, client.path(kind, name))
        shown: Any = {configuration.KINDS_BY_PATH[kind].name: {name: stored_object["value"]}}
    else:
        in_force = read_in_force(admin)
        names = [configuration.KINDS_BY_PATH[kind].name] if kind else list(in_force)
        shown = {
            kind_name: {key: stored.value for key, stored in in_force.get(kind_name, {}).items()}
            for kind_name in names
        }
    click.echo(bundle.render(shown), nl=False)


@config.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--prune", is_flag=True, help="Also delete objects that FILE does not name.")
@click.option("--json", "as_json", is_flag=True, help="Print the steps as JSON.")
@client.options
def diff(admin: client.Admin, file: str, prune: bool, as_json: bool) -> None:
    """Shows what applying FILE would change.

    Example: basilpost config diff arkhiv.jsonc
    """
    steps = _plan(admin, file, prune)
    if as_json:
        click.echo(json.dumps([_step_view(step) for step in steps], indent=2))
        return
    for step in steps:
        click.echo(describe_step(step))
    if not steps:
        click.echo("nothing to change")


@config.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--prune", is_flag=True, help="Also delete objects that FILE does not name.")
@click.option("--reason", default="", help="Why, for the audit trail.")
@click.option("--wait", is_flag=True, help="Wait until all changes are in force on every node.")
@click.option(
    "--wait-seconds", default=_WAIT_SECONDS, show_default=True, help="Longest time to wait."
)
@client.options
def apply(
    admin: client.Admin, file: str, prune: bool, reason: str, wait: bool, wait_seconds: float
) -> None:
    """Makes the configuration in force as FILE says, object by object.

    Each change is accepted only if its object is still as it was read; the first refusal ends the
    command, and what was accepted before stays.

    Example: basilpost config apply arkhiv.jsonc --reason "new season" --wait
    """
    accepted = []
    for step in _plan(admin, file, prune):
        result = _apply_step(admin, step, reason)
        click.echo(f"{step.action} {result['key']}: accepted as version {result['version']}")
        accepted.append(waiting.Target(key=result["key"], version=result["version"]))
    if not accepted:
        click.echo("nothing to change")
    if wait:
        waiting.wait_for(admin, accepted, seconds=wait_seconds)


@config.command()
@click.argument("answers", type=click.Path(dir_okay=False))
@click.option("--node", default="", help="Make the settings file of this node instead.")
@click.option("-o", "--output", type=click.File("w"), default="-", help="Where to write it.")
def generate(answers: str, node: str, output: Any) -> None:
    """Makes the configuration from a file of ANSWERS to the questionnaire.

    The same answers give the same text; a comment beside each value names its answer.

    Example: basilpost config generate answers.jsonc -o arkhiv.jsonc
    """
    try:
        output.write(_generate(answers, node))
    except loader.SettingsError as error:
        raise client.BadSettings(error) from error


def read_in_force(admin: client.Admin) -> dict[str, dict[str, bundle.InForce]]:
    """Returns all objects in force, by kind and name."""
    objects_by_kind = client.get(admin, client.path("config"))
    return {
        kind: {
            stored["name"]: bundle.InForce(version=stored["version"], value=stored["value"])
            for stored in listed
        }
        for kind, listed in objects_by_kind.items()
    }


def describe_step(step: bundle.Step) -> str:
    """Formats a step for a terminal: its action and object, then each changed field."""
    before, after = step.before or {}, step.after or {}
    fields = sorted(before.keys() | after.keys()) if step.after is not None else []
    lines = [f"{step.action} {step.kind.key(step.name)}"]
    for field in fields:
        old, new = before.get(field), after.get(field)
        if step.before is None:
            lines.append(f"  {field}: {json.dumps(new)}")
        elif old != new:
            lines.append(f"  {field}: {json.dumps(old)} -> {json.dumps(new)}")
    return "\n".join(lines)


def _generate(answers: str, node: str) -> str:
    given = questionnaire.load(answers)
    if not node:
        tree = generation.build_configuration(given)
        _raise_if_any(generation.check_configuration(tree, file=answers))
        return generation.render(tree, title=f"Configuration of {given.team}.")
    try:
        tree = generation.build_node_settings(given, node)
    except LookupError as error:
        known = (
            ", ".join(node_answers.name for node_answers in given.nodes)
            or "nothing, for there are no nodes"
        )
        missing = loader.setting_error(answers, "nodes", repr(node), known)
        raise loader.SettingsError((missing,)) from error
    _raise_if_any(generation.check_node_settings(tree, file=answers))
    return generation.render(tree, title=f"Settings of {node}, a node of {given.team}.")


def _apply_step(admin: client.Admin, step: bundle.Step, reason: str) -> Any:
    condition = {"If-None-Match": "*"} if step.version is None else {"If-Match": str(step.version)}
    return client.change(
        admin,
        "DELETE" if step.after is None else "PUT",
        client.path(step.kind.path, step.name, reason=reason),
        body=step.after,
        headers=condition,
    )


def _plan(admin: client.Admin, file: str, prune: bool) -> tuple[bundle.Step, ...]:
    """Reads and checks a bundle before the first request, then returns the steps to apply it."""
    try:
        wanted = bundle.load(file)
        _raise_if_any(bundle.check(wanted, file=file))
    except loader.SettingsError as error:
        raise client.BadSettings(error) from error
    return bundle.plan(wanted, read_in_force(admin), prune=prune)


def _check_file(file: str) -> str:
    """Checks a file and returns a phrase for its type."""
    if _is_node_settings(file):
        loader.load_node_settings(file)
        return "node settings"
    _raise_if_any(bundle.check(bundle.load(file), file=file))
    return "configuration"


def _is_node_settings(file: str) -> bool:
    try:
        raw = pyjson5.decode(pathlib.Path(file).read_text(encoding="utf-8"))
    except (OSError, ValueError, pyjson5.Json5Exception):
        return True
    return isinstance(raw, dict) and bool({"node_id", "platform"} & raw.keys())


def _raise_if_any(errors: tuple[loader.SettingError, ...]) -> None:
    if errors:
        raise loader.SettingsError(errors)


def _step_view(step: bundle.Step) -> dict[str, Any]:
    return {
        "action": step.action,
        "key": step.kind.key(step.name),
        "version": step.version,
        "before": step.before,
        "after": step.after,
    }
