"""The kinds of configuration objects, and the checks of their values.

`basilpost config check` runs the same checks as the node that accepts a change, so a file that
passes there is not refused later for another reason.
"""

import dataclasses
import json
import re
from collections.abc import Iterable, Iterator
from typing import Any

from basilpost.core import data, failure, names
from basilpost.settings import loader

Record = data.Service | data.Workspace | data.FailureDomain | data.Operator

ROLES = ("read", "operate", "administer")
MAX_NUMBER = 1_000_000_000
MAX_TEXT_CHARACTERS = 1_000
MAX_ITEMS = 1_000

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_NAME_RULE = "1 to 63 letters, digits, dots, dashes or underscores, a letter or digit first"
_DIGEST = re.compile(r"[0-9a-f]{64}")
_DIGEST_RULE = "64 hexadecimal digits (SHA-256)"
_METHODS = ("*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
_MAX_SECONDS = 86_400.0
_MAX_PRIORITY = 9


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """A kind of configuration object.

    Attributes:
        name: Plural name, as in files and in store keys.
        prefix: Prefix of the store keys of its objects.
        record: Record type that a value is decoded to.
        preserved_fields: Fields that keep the value in force when a file does not name them,
            because separate commands change them.
    """

    name: str
    prefix: str
    record: type
    preserved_fields: tuple[str, ...] = ()

    @property
    def path(self) -> str:
        """Returns the name as used in URLs of the administration API."""
        return self.name.replace("_", "-")

    def key(self, name: str) -> str:
        """Returns the store key of one object."""
        return self.prefix + name


@dataclasses.dataclass(frozen=True, kw_only=True)
class Problems(failure.Failure):
    """A rejected value of a configuration object, with all its errors."""

    errors: tuple[loader.SettingError, ...]


SERVICES = Kind(name="services", prefix=names.SERVICE_PREFIX, record=data.Service)
WORKSPACES = Kind(
    name="workspaces",
    prefix=names.WORKSPACE_PREFIX,
    record=data.Workspace,
    preserved_fields=("key_digests",),
)
FAILURE_DOMAINS = Kind(
    name="failure_domains",
    prefix=names.FAILURE_DOMAIN_PREFIX,
    record=data.FailureDomain,
    preserved_fields=("in_service",),
)
OPERATORS = Kind(name="operators", prefix=names.OPERATOR_PREFIX, record=data.Operator)

# Ordered so that objects come before those that refer to them.
KINDS = (FAILURE_DOMAINS, SERVICES, WORKSPACES, OPERATORS)
KINDS_BY_NAME = {kind.name: kind for kind in KINDS}
KINDS_BY_PATH = {kind.path: kind for kind in KINDS}


def is_valid_name(name: str) -> bool:
    """Returns True if `name` is allowed as the name of a configuration object."""
    return _NAME.fullmatch(name) is not None


def decode(kind: Kind, name: str, raw: Any) -> Record | Problems:
    """Converts a decoded JSON value to the record of an object, or returns all its errors.

    `name` is the part of the store key after the prefix of the kind. A value without a `name` field
    gets this name.
    """
    key = kind.key(name)
    if isinstance(raw, dict):
        raw = {"name": name} | raw
    try:
        record: Record = loader.structure(raw, kind.record, file=key)
    except loader.SettingsError as error:
        return Problems(reason=f"{key} is not valid", errors=error.errors)
    errors = tuple(_check(record, name, key))
    return Problems(reason=f"{key} is not valid", errors=errors) if errors else record


def decode_text(kind: Kind, name: str, text: str) -> Record | Problems:
    """Decodes the value of a stored object, which is JSON text."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        parse_error = loader.setting_error(kind.key(name), "", str(error), "JSON")
        return Problems(reason=f"{kind.key(name)} is not JSON", errors=(parse_error,))
    return decode(kind, name, raw)


def _check(record: Record, name: str, key: str) -> Iterator[loader.SettingError]:
    checks = [
        (is_valid_name(name) and record.name == name, "name", record.name, f"{name}: {_NAME_RULE}"),
        *_check_fields(record, ""),
        *_CHECKS_BY_RECORD[type(record)](record),
    ]
    return (
        loader.setting_error(key, path, repr(found), allowed)
        for passed, path, found, allowed in checks
        if not passed
    )


# Results of checks: whether the check passed, the path of the field, its value as shown in the error,
# and a text that says which values are allowed.
_Checks = Iterable[tuple[bool, str, Any, str]]


def _check_fields(record: Any, path: str) -> Iterator[tuple[bool, str, Any, str]]:
    """Checks the generic bounds of every number, text and list in a record; yields as `_Checks`."""
    for field in dataclasses.fields(record):
        field_path = f"{path}{field.name}"
        value = getattr(record, field.name)
        if isinstance(value, tuple):
            yield len(value) <= MAX_ITEMS, field_path, f"{len(value)} items", f"at most {MAX_ITEMS}"
            for index, item in enumerate(value):
                if dataclasses.is_dataclass(item):
                    yield from _check_fields(item, f"{field_path}.{index}.")
                else:
                    yield _check_scalar(item, f"{field_path}.{index}")
        else:
            yield _check_scalar(value, field_path)


def _check_scalar(value: Any, path: str) -> tuple[bool, str, Any, str]:
    """Checks the bounds of a number or text.

    Returns:
        Whether it passed, its path, its value and the text of the rule, which is empty for a value
        without bounds.
    """
    if isinstance(value, str):
        passed = len(value) <= MAX_TEXT_CHARACTERS and value.isprintable()
        return passed, path, value, f"at most {MAX_TEXT_CHARACTERS} printable characters"
    if isinstance(value, int | float) and not isinstance(value, bool):
        return 0 <= value <= MAX_NUMBER, path, value, f"a number from 0 to {MAX_NUMBER}"
    return True, path, value, ""


def _check_service(service: data.Service) -> _Checks:
    yield is_valid_name(service.pool), "pool", service.pool, _NAME_RULE
    yield from _check_limits(service)
    if service.kind is data.ServiceKind.MODEL:
        yield bool(service.model), "model", service.model, "the model to load"
        yield bool(service.model_version), "model_version", service.model_version, "a version"
        yield service.vms_per_group >= 1, "vms_per_group", service.vms_per_group, "at least 1"
    else:
        yield not service.model, "model", service.model, "nothing for a plain service"
        yield (service.vms_per_group == 1, "vms_per_group", service.vms_per_group,
               "1 for a plain service")  # fmt: skip
    yield from _check_routes(service.routes)


def _check_limits(service: data.Service) -> _Checks:
    cold, warm = service.cold_max_in_flight, service.max_in_flight
    yield warm >= 1, "max_in_flight", warm, "at least 1"
    yield 1 <= cold <= warm, "cold_max_in_flight", cold, f"1 to max_in_flight ({warm})"
    seconds = f"more than 0, at most {_MAX_SECONDS:.0f} seconds"
    for name in ("default_deadline_seconds", "stream_silence_seconds"):
        value = getattr(service, name)
        yield 0 < value <= _MAX_SECONDS, name, value, seconds


def _check_routes(routes: tuple[data.Route, ...]) -> _Checks:
    seen: set[tuple[str, str]] = set()
    for index, route in enumerate(routes):
        route_path = f"routes.{index}"
        yield route.method in _METHODS, f"{route_path}.method", route.method, ", ".join(_METHODS)
        yield (route.path_prefix.startswith("/"), f"{route_path}.path_prefix", route.path_prefix,
               "a path that begins with /")  # fmt: skip
        yield (_is_valid_outcome_path(route.outcome_path), f"{route_path}.outcome_path",
               route.outcome_path, "empty, or a path that begins with / and has {key} in it")  # fmt: skip
        yield (not (route.idempotent and route.outcome_path), f"{route_path}.outcome_path",
               route.outcome_path, "empty for an idempotent route")  # fmt: skip
        rule = (route.method, route.path_prefix)
        yield rule not in seen, route_path, " ".join(rule), "one rule for each method and prefix"
        seen.add(rule)


def _is_valid_outcome_path(path: str) -> bool:
    return not path or (path.startswith("/") and "{key}" in path)


def _check_workspace(workspace: data.Workspace) -> _Checks:
    yield workspace.weight > 0, "weight", workspace.weight, "more than 0"
    yield (workspace.max_concurrency >= 1, "max_concurrency", workspace.max_concurrency,
           "at least 1")  # fmt: skip
    yield workspace.rate > 0, "rate", workspace.rate, "more than 0 requests a second"
    yield workspace.burst >= 1, "burst", workspace.burst, "at least 1 request"
    yield (workspace.priority <= _MAX_PRIORITY, "priority", workspace.priority,
           f"0 to {_MAX_PRIORITY}")  # fmt: skip
    for name in ("key_digests", "services"):
        values = getattr(workspace, name)
        yield len(set(values)) == len(values), name, list(values), "each value once"
    for index, digest in enumerate(workspace.key_digests):
        yield is_valid_digest(digest), f"key_digests.{index}", digest, _DIGEST_RULE
    for index, service in enumerate(workspace.services):
        yield is_valid_name(service), f"services.{index}", service, _NAME_RULE


def _check_failure_domain(domain: data.FailureDomain) -> _Checks:
    yield not domain.region or is_valid_name(domain.region), "region", domain.region, _NAME_RULE


def _check_operator(operator: data.Operator) -> _Checks:
    yield operator.role in ROLES, "role", operator.role, " or ".join(ROLES)
    yield is_valid_digest(
        operator.token_digest
    ), "token_digest", operator.token_digest, _DIGEST_RULE


def is_valid_digest(text: str) -> bool:
    """Returns True if `text` is a SHA-256 digest in lower-case hexadecimal."""
    return _DIGEST.fullmatch(text) is not None


_CHECKS_BY_RECORD: dict[type, Any] = {
    data.Service: _check_service,
    data.Workspace: _check_workspace,
    data.FailureDomain: _check_failure_domain,
    data.Operator: _check_operator,
}


def too_large_error(key: str, size: int, limit: int) -> loader.SettingError:
    """Returns the error of a value of `size` bytes, above `limit`."""
    return loader.setting_error(key, "", f"{size} bytes", f"at most {limit} bytes")
