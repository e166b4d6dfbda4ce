"""Files of configuration objects: reading, checking, and the steps from what is in force to a file.

A bundle is JSON with comments: kinds, in them names, in them values. It says what should be, not
how to get there; objects that it does not name stay as they are unless the operator asks to prune.
"""

import dataclasses
import itertools
import json
from collections.abc import Iterator
from typing import Any

from basilpost.core import codec, data
from basilpost.settings import configuration, loader, references

Objects = dict[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bundle:
    """Configuration objects as a file gives them: values by name for each kind."""

    failure_domains: Objects = dataclasses.field(default_factory=dict)
    services: Objects = dataclasses.field(default_factory=dict)
    workspaces: Objects = dataclasses.field(default_factory=dict)
    operators: Objects = dataclasses.field(default_factory=dict)

    def values_by_name(self, kind: configuration.Kind) -> Objects:
        """Returns the values of a kind by name."""
        found: Objects = getattr(self, kind.name)
        return found


@dataclasses.dataclass(frozen=True, kw_only=True)
class InForce:
    """An object in force: its version and its value."""

    version: int
    value: Objects


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """One change on the way to a bundle; `before` or `after` is None if there is no object then."""

    kind: configuration.Kind
    name: str
    version: int | None
    before: Objects | None
    after: Objects | None

    @property
    def action(self) -> str:
        """Returns what the step does: create, update or delete."""
        if self.after is None:
            return "delete"
        return "create" if self.before is None else "update"


def load(path: str) -> Bundle:
    """Reads a bundle file.

    Raises:
        loader.SettingsError: If it is not a bundle.
    """
    return loader.load(path, Bundle)


def check(bundle: Bundle, *, file: str) -> tuple[loader.SettingError, ...]:
    """Checks all objects of a bundle, and the references between them if it has services."""
    decoded = [
        configuration.decode(kind, name, raw)
        for kind in configuration.KINDS
        for name, raw in bundle.values_by_name(kind).items()
    ]
    problems = [one for one in decoded if isinstance(one, configuration.Problems)]
    records = [one for one in decoded if not isinstance(one, configuration.Problems)]
    config = config_of(records)
    dangling = itertools.chain.from_iterable(
        references.check_references(record, config) for record in records
    )
    found = [*itertools.chain.from_iterable(one.errors for one in problems)]
    if bundle.services:
        found += dangling
    return tuple(_in_file(error, file) for error in found)


def config_of(records: list[configuration.Record]) -> data.Config:
    """Returns the configuration that records make together."""
    return data.Config(
        services_by_name={one.name: one for one in records if isinstance(one, data.Service)},
        workspaces_by_name={one.name: one for one in records if isinstance(one, data.Workspace)},
        failure_domains_by_name={
            one.name: one for one in records if isinstance(one, data.FailureDomain)
        },
        operators_by_name={one.name: one for one in records if isinstance(one, data.Operator)},
    )


def plan(
    bundle: Bundle, in_force: dict[str, dict[str, InForce]], *, prune: bool = False
) -> tuple[Step, ...]:
    """Returns the steps to a bundle that has passed its check.

    What others refer to is created first and deleted last.

    Args:
        bundle: What should be.
        in_force: What is, by kind and name.
        prune: True to delete objects of the bundle's kinds that it does not name.
    """
    changed = (
        step
        for kind in configuration.KINDS
        for step in _plan_kind(kind, bundle, in_force.get(kind.name, {}))
    )
    pruned = (
        Step(kind=kind, name=name, version=found.version, before=found.value, after=None)
        for kind in reversed(configuration.KINDS)
        for name, found in sorted(in_force.get(kind.name, {}).items())
        if prune and bundle.values_by_name(kind) and name not in bundle.values_by_name(kind)
    )
    return (*changed, *pruned)


def plain(record: configuration.Record) -> Objects:
    """Returns a record as a plain JSON value with all its fields."""
    found: Objects = codec.json_converter().unstructure(record)
    return found


def render(bundle: Objects) -> str:
    """Returns plain configuration objects as the text of a bundle file."""
    return json.dumps(bundle, indent=2, ensure_ascii=False) + "\n"


def _plan_kind(
    kind: configuration.Kind, bundle: Bundle, found_by_name: dict[str, InForce]
) -> Iterator[Step]:
    for name, raw in sorted(bundle.values_by_name(kind).items()):
        found = found_by_name.get(name)
        wanted = raw if found is None else _keep(kind, found.value, raw)
        record = configuration.decode(kind, name, wanted)
        if isinstance(record, configuration.Problems):
            raise loader.SettingsError(record.errors)
        after = plain(record)
        if found is None:
            yield Step(kind=kind, name=name, version=None, before=None, after=after)
        elif after != found.value:
            yield Step(kind=kind, name=name, version=found.version, before=found.value, after=after)


def _keep(kind: configuration.Kind, in_force: Objects, raw: Objects) -> Objects:
    """Keeps what commands of their own change, unless the file names it."""
    return {name: in_force[name] for name in kind.kept if name in in_force} | raw


def _in_file(error: loader.SettingError, file: str) -> loader.SettingError:
    """Names the file and, in it, the place of an object's error."""
    place = error.file.removeprefix("config/").replace("/", ".", 1)
    path = f"{place}.{error.path}" if error.path else place
    return loader.setting_error(file, path, error.found, error.allowed)
