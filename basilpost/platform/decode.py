"""Decodes the JSON of the platform's objects into the records of `core.catalog`.

Only this module knows the field names of these objects. An object that cannot be decoded yields a
`Malformed` with the reason; it adds no VM and changes no configuration.
"""

import dataclasses
import math
from typing import Any

from basilpost.core import addresses, catalog, failure, texts, tolerant_json
from basilpost.groups import orders

CONFIG_KEY = "config/main"
CONFIG_PREFIX = "config/"
VM_PREFIX = "servers/"
EVACUATION_PREFIX = "evacuations/"

_MS_PER_SECOND = 1000.0
# Integers beyond this are not exact in all JSON readers.
_MAX_INTEGER = 2**53
_MAX_REASON_LENGTH = 300
# What decoding raises for an object with missing, unusable or too large parts.
_DECODE_ERRORS = (ValueError, TypeError, KeyError, AttributeError, ArithmeticError, RecursionError)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Malformed(failure.Failure):
    """An object whose content could not be decoded."""


def vm(vm_id: str, raw: bytes) -> catalog.Vm | Malformed:
    """Decodes the entry that the platform keeps for one server (a runner on a VM)."""
    try:
        return _vm(vm_id, tolerant_json.loads(raw))
    except _DECODE_ERRORS as error:
        return _malformed(f"entry {vm_id}", error)


def report(raw: bytes) -> orders.Report | Malformed:
    """Decodes what a runner says of itself."""
    try:
        return _report(tolerant_json.loads(raw))
    except _DECODE_ERRORS as error:
        return _malformed("report", error)


def configuration(raw: bytes) -> catalog.Configuration | Malformed:
    """Decodes the configuration that the operators wrote."""
    try:
        return _configuration(tolerant_json.loads(raw))
    except _DECODE_ERRORS as error:
        return _malformed("configuration", error)


def _malformed(name: str, error: Exception) -> Malformed:
    return Malformed(reason=f"{name}: {type(error).__name__} {error}"[:_MAX_REASON_LENGTH])


def _vm(vm_id: str, raw: dict[str, Any]) -> catalog.Vm:
    state = raw["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"unknown state {state!r}")
    address = _text(raw, "address")
    if not addresses.is_ipv4(address):
        raise ValueError(f"address is not IPv4 address:port: {address!r}")
    if not (vm_id.isascii() and vm_id.isprintable()):
        raise ValueError(f"name is no header value: {vm_id!r}")
    # Every runner writes these two, which are not used; an entry with others has another writer.
    _text(raw, "version")
    _integer(raw, "sequence")
    return catalog.Vm(
        vm_id=vm_id,
        # The platform's documentation promises `born`, but its examples leave it out.
        incarnation=_integer(raw, "born") if "born" in raw else 0,
        service=_text(raw, "service"),
        address=address,
        failure_domain=_text(raw, "zone"),
        # `domain` is the fabric domain, not the failure domain.
        fabric_domain="" if _is_empty(raw.get("domain"), "") else _text(raw, "domain"),
        slots=_integer(raw, "slots"),
        leaving=state == "draining",
        cold_seconds=_number(raw, "coldRemainingMs") / _MS_PER_SECOND,
        staged=_staged(raw.get("staged")),
        member=_membership(raw.get("group")),
    )


def _report(raw: dict[str, Any]) -> orders.Report:
    member = _membership(raw.get("group"))
    return orders.Report(
        group="" if member is None else member.group,
        # In a report this counts orders; in an entry of the store it counts check-ins.
        begun_orders=_integer(raw, "sequence") if "sequence" in raw else None,
        incarnation=_integer(raw, "born") if "born" in raw else None,
    )


def _staged(raw: Any) -> tuple[str, ...]:
    if _is_empty(raw, []):
        return ()
    if not isinstance(raw, list):
        raise TypeError(f"staged is {raw!r}, expected a list")
    return tuple(_text({"name": model}, "name") for model in raw)


def _membership(raw: dict[str, Any] | None) -> catalog.Membership | None:
    if raw is None or _is_empty(raw, {}) or _is_empty(raw.get("name"), ""):
        return None
    return catalog.Membership(
        group=_text(raw, "name"),
        epoch=_integer(raw, "epoch"),
        rank=_integer(raw, "rank"),
        state=catalog.MemberState(raw["state"]),
    )


def _configuration(raw: dict[str, Any]) -> catalog.Configuration:
    services = tuple(_service(entry) for entry in raw["services"])
    return catalog.Configuration(
        version=_integer(raw, "version"),
        routes=tuple(_route(entry) for entry in raw["routes"]),
        services_by_name={service.name: service for service in services},
        workspaces_by_key={
            key: catalog.Workspace(name=_text(tenant, "name"), priority=tenant.get("priority"))
            for tenant in raw.get("tenants") or ()
            for key in tenant["apiKeys"]
        },
        limits=_limits(raw["limits"]),
        checks_keys=raw.get("tenants") is not None,
    )


def _route(raw: dict[str, Any]) -> catalog.Route:
    kind = raw["kind"]
    streaming = kind == "streaming"
    # A stream that cannot be resumed must not run a second time.
    may_repeat = kind == "idempotent" or (streaming and bool(raw.get("resumable")))
    split = raw.get("trafficSplit") or [{"service": raw["service"], "weight": 1}]
    return catalog.Route(
        name=_text(raw, "name"),
        host=_text(raw, "hostname").lower(),
        prefix=_text(raw, "pathPrefix"),
        shares=tuple(
            catalog.Share(service=_text(part, "service"), weight=_number(part, "weight"))
            for part in split
        ),
        streaming=streaming,
        repeat=catalog.Repeat.IDEMPOTENT if may_repeat else catalog.Repeat.ONCE,
        max_attempts=max(1, int(_finite(raw.get("maxAttempts", 1)))),
        timeout=_number(raw, "timeoutMs") / _MS_PER_SECOND,
        objective=_number(raw, "targetLatencyMs") / _MS_PER_SECOND,
        max_gap=_finite(raw.get("gapAimMs") or 0) / _MS_PER_SECOND,
        priority=int(_finite(raw.get("priority") or 0)),
        anonymous=bool(raw.get("anonymous")),
    )


def _service(raw: dict[str, Any]) -> catalog.Service:
    engine = raw.get("engine")
    return catalog.Service(
        name=_text(raw, "name"),
        cold_per_second=_finite(raw.get("coldPerS") or 0),
        engine=_engine(engine) if engine and engine.get("models") else None,
        health_path=_path(raw.get("healthPath")),
    )


def _path(value: Any) -> str:
    """Returns a path without a space or control character; empty for any other value."""
    is_path = isinstance(value, str) and value.startswith("/") and value.isascii()
    return value if is_path and value.isprintable() and " " not in value else ""


def _engine(raw: dict[str, Any]) -> catalog.Engine:
    return catalog.Engine(
        slots=_integer(raw, "slots"),
        loads_per_second=_number(raw, "loadsPerS"),
        loads_at_once=_integer(raw, "loads_at_once") if raw.get("loads_at_once") else None,
        open_seconds=_number(raw, "formMs") / _MS_PER_SECOND,
        figures=_engine_figures(raw),
        models=tuple(
            catalog.Model(
                name=_text(model, "name"),
                # `size` counts VMs, not bytes or parameters.
                vms=_integer(model, "size"),
                pace=_number(model, "pace"),
                work_share=_number(model, "share"),
                load_seconds=_number(model, "loadS"),
                warm_seconds=_number(model, "warmS"),
            )
            for model in raw["models"]
        ),
    )


def _engine_figures(raw: dict[str, Any]) -> catalog.EngineFigures | None:
    """Decodes what an engine's work takes; None if a figure is missing or has no use."""
    try:
        figures = catalog.EngineFigures(
            step_seconds=_number(raw, "step_ms") / _MS_PER_SECOND,
            request_step_seconds=_number(raw, "per_seq_ms") / _MS_PER_SECOND,
            context_step_seconds=_number(raw, "context_per_k") / _MS_PER_SECOND,
            read_tokens_per_second=_number(raw, "read_per_s"),
            pair_seconds=_number(raw, "pairs_per_m") / _MS_PER_SECOND,
            steps_per_pass=_integer(raw, "stride"),
            memory_tokens=_integer(raw, "kvCapacityTokens"),
            usual_answer_tokens=_number(raw["usual"], "answer"),
        )
    except (KeyError, TypeError, ValueError):
        return None
    positive = (
        figures.step_seconds,
        figures.read_tokens_per_second,
        figures.steps_per_pass,
        figures.memory_tokens,
        figures.usual_answer_tokens,
    )
    return figures if all(value > 0 for value in positive) else None


def _limits(raw: dict[str, Any]) -> catalog.Limits:
    return catalog.Limits(
        max_header_bytes=_integer(raw, "maxHeaderBytes"),
        max_body_bytes=_integer(raw, "maxBodyBytes"),
        header_seconds=_number(raw, "headerTimeoutMs") / _MS_PER_SECOND,
        idle_seconds=_number(raw, "idleTimeoutMs") / _MS_PER_SECOND,
    )


def _is_empty(value: Any, empty: str | list[Any] | dict[str, Any]) -> bool:
    """Returns True if an optional value is missing, null, or the empty one of its type."""
    return value is None or (type(value) is type(empty) and not value)


def _text(raw: dict[str, Any], name: str) -> str:
    value = raw[name]
    if not isinstance(value, str) or not value:
        raise TypeError(f"{name} is {value!r}, expected a non-empty string")
    if not texts.is_plain(value):
        raise ValueError(f"{name} is {value!r}, expected text without control characters")
    return value


def _integer(raw: dict[str, Any], name: str) -> int:
    value = raw[name]
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{name} is {value!r}, expected an integer")
    if not 0 <= value <= _MAX_INTEGER:
        raise ValueError(f"{name} is {value!r}, expected 0 to {_MAX_INTEGER}")
    return value


def _number(raw: dict[str, Any], name: str) -> float:
    value = raw[name]
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{name} is {value!r}, expected a number")
    return _finite(value)


def _finite(value: Any) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value!r} is no finite number")
    return number
