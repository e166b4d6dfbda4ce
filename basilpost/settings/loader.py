"""Reads files of JSON with comments into records, and reports all errors of a file at once."""

import dataclasses
import enum
import functools
import math
import pathlib
import typing
from collections.abc import Callable
from typing import Any, TypeVar

import cattrs
import cattrs.cols
import cattrs.errors
import cattrs.gen
import pyjson5

from basilpost.core import failure
from basilpost.settings import schema

T = TypeVar("T")

_MAX_FOUND_CHARACTERS = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettingError(failure.Failure):
    """One error of a settings file.

    Attributes:
        file: The file.
        path: Key path, such as `gateway.listen.port`; empty for the whole file.
        found: The value found at the path.
        allowed: Which values are allowed at the path.
    """

    file: str
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Returns the error as one line."""
        place = f"{self.file}: {self.path}" if self.path else self.file
        return f"{place}: found {self.found}, allowed: {self.allowed}"


class SettingsError(Exception):
    """A settings file is invalid; `errors` holds all errors found."""

    def __init__(self, errors: tuple[SettingError, ...]) -> None:
        super().__init__("\n".join(str(error) for error in errors))
        self.errors = errors


def setting_error(file: str, path: str, found: str, allowed: str) -> SettingError:
    """Returns an error; `found` is cut to `_MAX_FOUND_CHARACTERS`."""
    if len(found) > _MAX_FOUND_CHARACTERS:
        found = found[:_MAX_FOUND_CHARACTERS] + "..."
    reason = f"{path or file}: found {found}"
    return SettingError(reason=reason, file=file, path=path, found=found, allowed=allowed)


def load_node_settings(path: str) -> schema.NodeSettings:
    """Reads and checks the settings file of a node.

    Raises:
        SettingsError: With all errors of the file.
    """
    settings = load(path, schema.NodeSettings)
    errors = tuple(check_node_settings(settings, file=path))
    if errors:
        raise SettingsError(errors)
    return settings


def load(path: str, kind: type[T]) -> T:
    """Reads a file of JSON with comments into a record; unknown keys are errors.

    Raises:
        SettingsError: With all errors of the file.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            (setting_error(path, "", str(error), "a readable UTF-8 file"),)
        ) from error
    return parse(text, kind, file=path)


def parse(text: str, kind: type[T], *, file: str) -> T:
    """Parses JSON with comments into a record; unknown keys are errors.

    Raises:
        SettingsError: With all errors of the text.
    """
    try:
        raw = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        raise SettingsError((setting_error(file, "", str(error), "JSON with comments"),)) from error
    return structure(raw, kind, file=file)


def structure(raw: Any, kind: type[T], *, file: str) -> T:
    """Converts a decoded JSON value to a record; unknown keys are errors.

    Raises:
        SettingsError: With all errors of the value.
    """
    try:
        return _converter().structure(raw, kind)
    except (cattrs.BaseValidationError, TypeError) as error:
        raise SettingsError(tuple(_flatten(error, file=file, path="", raw=raw))) from error


def check_node_settings(settings: schema.NodeSettings, *, file: str) -> list[SettingError]:
    """Returns errors that types cannot express: ranges and relations between values."""
    timing = settings.timing
    checks: list[tuple[bool, str, Any, str]] = [
        (bool(settings.node_id), "node_id", settings.node_id, "a non-empty name"),
        (bool(settings.failure_domain), "failure_domain", settings.failure_domain, "a name"),
        (settings.log.format in ("json", "console"), "log.format", settings.log.format,
         "json or console"),
        (settings.log.level in ("debug", "info", "warning", "error"), "log.level",
         settings.log.level, "debug, info, warning or error"),
        (timing.lease_renewal * 2 <= timing.lease, "timing.lease_renewal", timing.lease_renewal,
         f"at most half of timing.lease ({timing.lease})"),
        (timing.heartbeat * 2 <= timing.peer_silence, "timing.heartbeat", timing.heartbeat,
         f"at most half of timing.peer_silence ({timing.peer_silence})"),
        (timing.isolation > timing.store_silence, "timing.isolation", timing.isolation,
         f"more than timing.store_silence ({timing.store_silence})"),
        (0 <= (settings.peers.far_neighbours or 0) <= settings.peers.neighbours,
         "peers.far_neighbours", settings.peers.far_neighbours,
         f"from 0 to peers.neighbours ({settings.peers.neighbours})"),
    ]  # fmt: skip
    checks += [
        (0 <= listen.port <= 65535, path, listen.port, "a port from 0 to 65535")
        for path, listen in (
            ("gateway.listen.port", settings.gateway.listen),
            ("admin.port", settings.admin),
            ("peers.listen.port", settings.peers.listen),
        )
    ]
    checks += [
        (getattr(timing, field.name) > 0, f"timing.{field.name}", getattr(timing, field.name),
         "more than 0 seconds")
        for field in dataclasses.fields(timing)
    ]  # fmt: skip
    checks += [
        (url.startswith(("http://", "https://")), path, url, "an http:// or https:// URL")
        for path, url in (
            ("platform.object_api", settings.platform.object_api),
            ("platform.vm_list", settings.platform.vm_list),
        )
    ]
    positive = (
        ("gateway.max_body_bytes", settings.gateway.max_body_bytes),
        ("gateway.max_queued", settings.gateway.max_queued),
        ("platform.calls_per_second", settings.platform.calls_per_second),
        ("weight_store.loads_per_second", settings.weight_store.loads_per_second),
    )
    checks += [(value > 0, path, value, "more than 0") for path, value in positive]
    return [
        setting_error(file, path, repr(found), allowed)
        for passed, path, found, allowed in checks
        if not passed
    ]


@functools.cache
def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    for kind in (str, int, float, bool):
        converter.register_structure_hook(kind, _strict_scalar(kind))
    converter.register_structure_hook_factory(dataclasses.is_dataclass, _strict_record)
    converter.register_structure_hook_factory(_is_tuple, _strict_tuple)
    converter.register_structure_hook_factory(_is_enum, _strict_enum)
    return converter


def _strict_record(kind: Any, converter: cattrs.Converter) -> Callable[[Any, Any], Any]:
    """Makes a hook that requires an object before cattrs looks up its keys."""
    structure_fields = cattrs.gen.make_dict_structure_fn(kind, converter)

    def structure(value: Any, _: Any) -> Any:
        if not isinstance(value, dict):
            raise TypeError("object")
        return structure_fields(value, kind)

    return structure


def _is_enum(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, enum.Enum)


def _strict_enum(kind: type[enum.Enum]) -> Callable[[Any, Any], Any]:
    """Makes a hook whose error lists the allowed values."""
    members_by_value = {member.value: member for member in kind}

    def structure(value: Any, _: Any) -> Any:
        if not isinstance(value, str) or value not in members_by_value:
            raise TypeError(" or ".join(members_by_value))
        return members_by_value[value]

    return structure


def _is_tuple(kind: Any) -> bool:
    return typing.get_origin(kind) is tuple


def _strict_tuple(kind: Any, converter: cattrs.Converter) -> Callable[[Any, Any], Any]:
    """Makes a hook that requires a list; cattrs would accept any iterable, such as a string."""
    list_of: Any = list
    item = typing.get_args(kind)[0]
    structure_items = cattrs.cols.list_structure_factory(list_of[item], converter)

    def structure(value: Any, _: Any) -> Any:
        if not isinstance(value, list):
            raise TypeError("list")
        return tuple(structure_items(value, None))

    return structure


def _strict_scalar(kind: type) -> Callable[[Any, Any], Any]:
    """Makes a hook that requires the JSON type of `kind` instead of converting to it."""

    def structure(value: Any, _: Any) -> Any:
        if kind is float and isinstance(value, int) and not isinstance(value, bool):
            return float(value)
        if type(value) is not kind or (isinstance(value, float) and not math.isfinite(value)):
            raise TypeError(kind.__name__)
        return value

    return structure


_DESCRIPTIONS_BY_TYPE = {
    "str": "a string",
    "int": "a whole number",
    "float": "a number",
    "bool": "true or false",
    "list": "a list",
    "object": "an object",
}


def _flatten(error: BaseException, *, file: str, path: str, raw: Any) -> list[SettingError]:
    """Returns a tree of cattrs errors as a flat list of errors with key paths."""
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        allowed = ", ".join(field.name for field in dataclasses.fields(error.cl))
        return [
            setting_error(file, _join_path(path, key), "an unknown key", f"one of {allowed}")
            for key in sorted(error.extra_fields)
        ]
    if isinstance(
        error, cattrs.errors.IterableValidationError | cattrs.errors.ClassValidationError
    ):
        return [
            flat
            for inner in error.exceptions
            for flat in _flatten(
                inner,
                file=file,
                path=_join_path(path, _key_of(inner)),
                raw=_child_value(raw, inner),
            )
        ]
    if isinstance(error, KeyError):
        return [
            setting_error(
                file, _join_path(path, str(error.args[0])), "nothing", "this key is required"
            )
        ]
    return [setting_error(file, path, repr(raw), _DESCRIPTIONS_BY_TYPE.get(str(error), str(error)))]


def _key_of(error: BaseException) -> str:
    """Returns the field name or index in the notes that cattrs adds to a nested error."""
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, cattrs.AttributeValidationNote):
            return "" if isinstance(error, KeyError) else note.name
        if isinstance(note, cattrs.IterableValidationNote):
            return str(note.index)
    return ""


def _child_value(raw: Any, error: BaseException) -> Any:
    name = _key_of(error)
    if isinstance(raw, dict) and name in raw:
        return raw[name]
    if isinstance(raw, list) and name.isdigit() and int(name) < len(raw):
        return raw[int(name)]
    return raw


def _join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path and name else path or name
