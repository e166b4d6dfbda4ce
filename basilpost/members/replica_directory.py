"""The decoded configuration and groups of the replica.

Only changed objects are decoded again, and look-ups for routing, made on each request, read a
dictionary. An object that cannot be decoded is counted and logged, and its last valid version stays
in force. The kernel that the directory is given holds the node's components by name, with its
metrics registry and logger.
"""

import dataclasses
from collections.abc import Callable
from typing import Any

import prometheus_client

from basilpost.core import codec, data, kernel, names
from basilpost.members import directory, replica
from basilpost.store import objects

# Prefix, field of `data.Config` and type of each kind of configuration object.
_CONFIG_KINDS: tuple[tuple[str, str, type], ...] = (
    (names.SERVICE_PREFIX, "services_by_name", data.Service),
    (names.WORKSPACE_PREFIX, "workspaces_by_name", data.Workspace),
    (names.FAILURE_DOMAIN_PREFIX, "failure_domains_by_name", data.FailureDomain),
    (names.OPERATOR_PREFIX, "operators_by_name", data.Operator),
)

# Stands for a deleted object where None stands for a malformed one.
_DELETED: Any = object()


class ReplicaDirectory(directory.Directory):
    """A directory that the changes of the replica keep current."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._log = kernel.log
        self._config = data.Config()
        self._tables_by_domain: dict[str, data.FabricTable] = {}
        self._groups_by_id: dict[str, data.Group] = {}
        self._groups_by_service: dict[str, tuple[data.Group, ...]] = {}
        self._listeners: list[Callable[[], None]] = []
        self._malformed = prometheus_client.Counter(
            "basilpost_broken_objects_total",
            "Versions of objects that could not be decoded",
            registry=kernel.registry,
        )
        source = kernel.find(names.REPLICA, replica.Replica)
        source.subscribe(names.CONFIG_PREFIX, self._apply_config_change)
        source.subscribe(names.FABRIC_PREFIX, self._apply_table)

    def config(self) -> data.Config:
        """Returns the configuration in force."""
        return self._config

    def groups_for(self, service: str) -> tuple[data.Group, ...]:
        """Returns all groups of a service."""
        return self._groups_by_service.get(service, ())

    def group(self, group_id: str) -> data.Group | None:
        """Returns a group by its id."""
        return self._groups_by_id.get(group_id)

    def tables(self) -> dict[str, data.FabricTable]:
        """Returns the known group tables by fabric domain."""
        return dict(self._tables_by_domain)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener after each change of configuration or groups."""
        self._listeners.append(listener)

    def _apply_config_change(self, change: objects.Change) -> None:
        for prefix, field, kind in _CONFIG_KINDS:
            if change.key.startswith(prefix):
                self._apply_record(change, field, change.key.removeprefix(prefix), kind)

    def _apply_record(self, change: objects.Change, field: str, name: str, kind: type) -> None:
        """Replaces one named record of the configuration."""
        records_by_name = dict(getattr(self._config, field))
        record = _DELETED
        if change.stored is not None:
            record = self._decode(change.stored, lambda raw: _decode_config(raw, kind))
        if record is None:
            return
        records_by_name.pop(name, None)
        if record is not _DELETED:
            records_by_name[name] = record
        versions_by_key = self._config.versions_by_key | {change.key: change.version}
        changed: dict[str, Any] = {field: records_by_name, "versions_by_key": versions_by_key}
        self._config = dataclasses.replace(self._config, **changed)
        self._notify()

    def _apply_table(self, change: objects.Change) -> None:
        domain = change.key.removeprefix(names.FABRIC_PREFIX)
        table = data.FabricTable(fabric_domain=domain)
        if change.stored is not None:
            decoded = self._decode(
                change.stored, lambda raw: codec.from_json(raw, data.FabricTable)
            )
            if decoded is None:
                return
            table = decoded
        before = self._tables_by_domain.get(domain, data.FabricTable(fabric_domain=domain))
        if change.stored is None:
            self._tables_by_domain.pop(domain, None)
        else:
            self._tables_by_domain[domain] = table
        self._replace_groups(before.groups, table.groups)
        self._notify()

    def _replace_groups(
        self, before: tuple[data.Group, ...], after: tuple[data.Group, ...]
    ) -> None:
        """Updates the indexes of groups after one table has changed."""
        for group in before:
            self._groups_by_id.pop(group.group_id, None)
        self._groups_by_id.update((group.group_id, group) for group in after)
        gone = {group.group_id for group in before}
        for service in {group.service for group in (*before, *after)}:
            kept = [group for group in self.groups_for(service) if group.group_id not in gone]
            added = [group for group in after if group.service == service]
            self._groups_by_service[service] = (*kept, *added)

    def _decode(self, stored: objects.Stored, decode: Callable[[bytes], Any]) -> Any:
        """Returns the decoded object, None for a malformed one, which is counted and logged."""
        try:
            return decode(stored.value)
        except (ValueError, RecursionError) as error:
            self._malformed.inc()
            self._log.error(
                "broken_object", key=stored.key, version=stored.version, error=str(error)
            )
            return None

    def _notify(self) -> None:
        for listener in self._listeners:
            try:
                listener()
            except Exception:
                self._log.exception("directory_listener_failed")


def _decode_config(raw: bytes, kind: type) -> Any:
    """Decodes a configuration object, whose value is inside an envelope with audit entries."""
    envelope = codec.from_json(raw, data.ConfigObject)
    return _DELETED if envelope.deleted else codec.from_json(envelope.value.encode(), kind)
