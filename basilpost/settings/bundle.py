"""Bundles: files with the desired configuration objects; checks them and plans changes.

A bundle is JSON with comments that maps kinds to names to values. It declares the desired state.
Objects that it does not name are left unchanged unless the operator asks to prune.
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
    """The contents of a bundle file: for each kind of object, the values by the name of the object."""

    failure_domains: Objects = dataclasses.field(default_factory=dict)
    services: Objects = dataclasses.field(default_factory=dict)
    workspaces: Objects = dataclasses.field(default_factory=dict)
    operators: Objects = dataclasses.field(default_factory=dict)

    def values_by_name(self, kind: configuration.Kind) -> Objects:
        """Returns the values of a kind by name."""
        values: Objects = getattr(self, kind.name)
        return values


@dataclasses.dataclass(frozen=True, kw_only=True)
class InForce:
    """An object in force: its version and its value."""

    version: int
    value: Objects


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """One change towards a bundle; `before` is None to create an object, `after` to delete it."""

    kind: configuration.Kind
    name: str
    version: int | None
    before: Objects | None
    after: Objects | None

    @property
    def action(self) -> str:
        """Returns create, update or delete."""
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
    """Returns the errors of all objects, and of references between them if there are services."""
    decoded = [
        configuration.decode(kind, name, raw)
        for kind in configuration.KINDS
        for name, raw in bundle.values_by_name(kind).items()
    ]
    problems = [result for result in decoded if isinstance(result, configuration.Problems)]
    records = [result for result in decoded if not isinstance(result, configuration.Problems)]
    config = config_of(records)
    dangling = itertools.chain.from_iterable(
        references.check_references(record, config) for record in records
    )
    errors = [*itertools.chain.from_iterable(problem.errors for problem in problems)]
    if bundle.services:
        errors += dangling
    return tuple(_locate_in_file(error, file) for error in errors)


def config_of(records: list[configuration.Record]) -> data.Config:
    """Returns the configuration that consists of `records`."""
    return data.Config(
        services_by_name={
            record.name: record for record in records if isinstance(record, data.Service)
        },
        workspaces_by_name={
            record.name: record for record in records if isinstance(record, data.Workspace)
        },
        failure_domains_by_name={
            record.name: record for record in records if isinstance(record, data.FailureDomain)
        },
        operators_by_name={
            record.name: record for record in records if isinstance(record, data.Operator)
        },
    )


def plan(
    bundle: Bundle, in_force: dict[str, dict[str, InForce]], *, prune: bool = False
) -> tuple[Step, ...]:
    """Returns the steps from the objects in force to a bundle that has passed its check.

    Objects that others refer to are created first and deleted last.

    Args:
        bundle: Desired objects.
        in_force: Objects in force, by kind and name.
        prune: True to delete objects of the bundle's kinds that it does not name.
    """
    changed = (
        step
        for kind in configuration.KINDS
        for step in _plan_kind(kind, bundle, in_force.get(kind.name, {}))
    )
    pruned = (
        Step(kind=kind, name=name, version=current.version, before=current.value, after=None)
        for kind in reversed(configuration.KINDS)
        for name, current in sorted(in_force.get(kind.name, {}).items())
        if prune and bundle.values_by_name(kind) and name not in bundle.values_by_name(kind)
    )
    return (*changed, *pruned)


def unstructure(record: configuration.Record) -> Objects:
    """Returns a record as a JSON value with all its fields, defaults included."""
    value: Objects = codec.json_converter().unstructure(record)
    return value


def render(bundle: Objects) -> str:
    """Returns configuration objects, as JSON values, as the text of a bundle file."""
    return json.dumps(bundle, indent=2, ensure_ascii=False) + "\n"


def _plan_kind(
    kind: configuration.Kind, bundle: Bundle, in_force_by_name: dict[str, InForce]
) -> Iterator[Step]:
    for name, raw in sorted(bundle.values_by_name(kind).items()):
        current = in_force_by_name.get(name)
        desired = raw if current is None else _with_preserved_fields(kind, current.value, raw)
        record = configuration.decode(kind, name, desired)
        if isinstance(record, configuration.Problems):
            raise loader.SettingsError(record.errors)
        after = unstructure(record)
        if current is None:
            yield Step(kind=kind, name=name, version=None, before=None, after=after)
        elif after != current.value:
            yield Step(
                kind=kind, name=name, version=current.version, before=current.value, after=after
            )


def _with_preserved_fields(kind: configuration.Kind, in_force: Objects, raw: Objects) -> Objects:
    """Adds the preserved fields in force to a value that does not name them."""
    return {name: in_force[name] for name in kind.preserved_fields if name in in_force} | raw


def _locate_in_file(error: loader.SettingError, file: str) -> loader.SettingError:
    """Returns an error of an object with the file and the key path in the bundle."""
    place = error.file.removeprefix("config/").replace("/", ".", 1)
    path = f"{place}.{error.path}" if error.path else place
    return loader.setting_error(file, path, error.found, error.allowed)
