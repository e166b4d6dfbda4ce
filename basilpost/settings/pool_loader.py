"""Reads the settings of a pool node; reports all errors at once and ignores unknown fields."""

import dataclasses
import pathlib
from typing import Any

import pyjson5

from basilpost.settings import loader, pool_schema

MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loaded:
    """Valid settings, and the paths of unknown fields that were ignored."""

    settings: pool_schema.PoolNodeSettings
    ignored: tuple[str, ...]


def load(path: str) -> Loaded:
    """Reads and checks a settings file.

    Raises:
        loader.SettingsError: With all errors of the file.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        read_error = loader.setting_error(path, "", str(error), "a readable UTF-8 file")
        raise loader.SettingsError((read_error,)) from error
    return parse(text, file=path)


def with_memory(loaded: Loaded, memory_mb: str, *, variable: str) -> Loaded:
    """Returns settings with the memory that an environment variable names, if it is not empty.

    Raises:
        loader.SettingsError: If it is not a positive whole number.
    """
    return _with_number(loaded, "memory_mb", memory_mb, variable=variable)


def with_descriptors(loaded: Loaded, max_descriptors: str, *, variable: str) -> Loaded:
    """Returns settings with the descriptors that an environment variable names, if it is not empty.

    Raises:
        loader.SettingsError: If it is not a positive whole number.
    """
    return _with_number(loaded, "max_descriptors", max_descriptors, variable=variable)


def _with_number(loaded: Loaded, field: str, text: str, *, variable: str) -> Loaded:
    if not text:
        return loaded
    if not (text.isascii() and text.isdigit() and int(text) > 0):
        error = loader.setting_error(variable, "", repr(text), "a positive whole number")
        raise loader.SettingsError((error,))
    changes: dict[str, Any] = {field: int(text)}
    return dataclasses.replace(loaded, settings=dataclasses.replace(loaded.settings, **changes))


def parse(text: str, *, file: str) -> Loaded:
    """Parses and checks the text of a settings file.

    Raises:
        loader.SettingsError: With all errors of the text.
    """
    try:
        raw = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        parse_error = loader.setting_error(file, "", str(error), "JSON with comments")
        raise loader.SettingsError((parse_error,)) from error
    known, ignored = _drop_unknown_fields(raw, pool_schema.PoolNodeSettings, "")
    settings = loader.structure(known, pool_schema.PoolNodeSettings, file=file)
    errors = tuple(_check(settings, file))
    if errors:
        raise loader.SettingsError(errors)
    return Loaded(settings=settings, ignored=tuple(ignored))


def _drop_unknown_fields(raw: Any, kind: Any, path: str) -> tuple[Any, list[str]]:
    """Returns a value without fields that the record type lacks, and the paths of those fields."""
    if not dataclasses.is_dataclass(kind) or not isinstance(raw, dict):
        return raw, []
    kinds_by_name = {field.name: field.type for field in dataclasses.fields(kind)}
    ignored = [f"{path}{name}" for name in raw if name not in kinds_by_name]
    known = {}
    for name in raw.keys() & kinds_by_name.keys():
        known[name], ignored_below = _drop_unknown_fields(
            raw[name], kinds_by_name[name], f"{path}{name}."
        )
        ignored += ignored_below
    return known, sorted(ignored)


def _check(settings: pool_schema.PoolNodeSettings, file: str) -> list[loader.SettingError]:
    checks = [
        *(
            (_is_address(getattr(settings, name)), name, getattr(settings, name), "host:port")
            for name in ("callers", "readiness", "store")
        ),
        *(
            (0 < getattr(settings, name) <= MAX_PORT, name, getattr(settings, name), "1 to 65535")
            for name in ("peer_port", "metrics_port")
        ),
        *(
            (value > 0, f"bounds.{name}", value, "a positive number")
            for name, value in dataclasses.asdict(settings.bounds).items()
        ),
        (
            settings.detour_port <= MAX_PORT,
            "peer_port",
            settings.peer_port,
            f"below {MAX_PORT}, as the next port is used too",
        ),
        (
            settings.detour_port != settings.metrics_port,
            "metrics_port",
            settings.metrics_port,
            "another port than the one after peer_port, which is used too",
        ),
        (settings.memory_mb > 0, "memory_mb", settings.memory_mb, "a positive number"),
        (
            settings.max_descriptors is None or settings.max_descriptors > 0,
            "max_descriptors",
            settings.max_descriptors,
            "a positive number or null",
        ),
        (bool(settings.node_id), "node_id", settings.node_id, "a name"),
        (
            settings.log_level in ("debug", "info", "warning", "error"),
            "log_level",
            settings.log_level,
            "debug, info, warning or error",
        ),
    ]
    return [
        loader.setting_error(file, path, repr(found), allowed)
        for passed, path, found, allowed in checks
        if not passed
    ]


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) <= MAX_PORT
