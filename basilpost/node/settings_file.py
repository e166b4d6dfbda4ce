"""Reads a node's settings file again while the node runs.

Most settings say where the node listens and what it is, and take effect when the process starts; what
operators change at run time is in the configuration in the store. The grace between SIGTERM and SIGKILL is
the platform's, which applies the one in force when it stops the process.
"""

import dataclasses
from collections.abc import Callable, Iterator
from typing import Any

from basilpost.gateway import relay
from basilpost.settings import loader, pool_loader

# Settings that take effect while a node runs.
APPLIED = frozenset({"bounds.grace_seconds"})


class SettingsFile:
    """The settings of a node process.

    Attributes:
        loaded: The settings that the process was started with.

    Args:
        load: Reads the settings.

    Raises:
        loader.SettingsError: With all errors of the settings.
    """

    def __init__(self, *, load: Callable[[], pool_loader.Loaded]) -> None:
        self._load = load
        self.loaded = load()
        self._in_force = _flat(self.loaded)

    def reload(self, node_relay: relay.Relay, log: Any, *, is_asked: bool = True) -> None:
        """Applies what may change while the node runs, and logs what may not.

        Args:
            node_relay: The relay of the node.
            log: Logger of the node.
            is_asked: False to log nothing if nothing has changed.
        """
        try:
            found = self._load()
        except loader.SettingsError as error:
            log.error("settings_reload_refused", reason=str(error))
            return
        values = _flat(found)
        changed = {name for name, value in values.items() if value != self._in_force[name]}
        applied, refused = sorted(changed & APPLIED), sorted(changed - APPLIED)
        if applied:
            node_relay.set_grace(found.settings.bounds.grace_seconds)
            self._in_force |= {name: values[name] for name in applied}
            log.info("settings_reloaded", applied=applied)
        reason = "these settings are read only when the process starts"
        if refused:
            log.error("settings_reload_ignored", fields=refused, reason=reason)
        elif is_asked and not applied:
            log.info("settings_reload_ignored", fields=[], reason="no setting has changed")


def _flat(loaded: pool_loader.Loaded) -> dict[str, Any]:
    """Returns all settings by their path in the file."""
    return dict(_items(dataclasses.asdict(loaded.settings), ""))


def _items(values: dict[str, Any], path: str) -> Iterator[tuple[str, Any]]:
    for name, value in values.items():
        if isinstance(value, dict):
            yield from _items(value, f"{path}{name}.")
        else:
            yield f"{path}{name}", value
