"""Decodes the platform's objects into the product's records, each outside name once.

An object that cannot be decoded gives a `Malformed` with the reason: it names no VM and changes no
configuration.
"""

import dataclasses
import json
from typing import Any

from basilpost.core import catalog, failure

CONFIG_KEY = "config/main"
CONFIG_KIND = "config/"
VM_KIND = "servers/"
EVACUATION_KIND = "evacuations/"

_MS = 1000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Malformed(failure.Failure):
    """An object whose content cannot be used."""


def vm(vm_id: str, raw: bytes) -> catalog.Vm | Malformed:
    """Decodes an entry of the list of servers."""
    try:
        return _vm(vm_id, json.loads(raw))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return Malformed(reason=f"entry {vm_id}: {type(error).__name__} {error}")


def configuration(raw: bytes) -> catalog.Configuration | Malformed:
    """Decodes the operators' configuration."""
    try:
        return _configuration(json.loads(raw))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return Malformed(reason=f"configuration: {type(error).__name__} {error}")


def _vm(vm_id: str, raw: dict[str, Any]) -> catalog.Vm:
    state = raw["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"state {state!r}")
    host, _, port = _text(raw, "address").rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"address {raw['address']!r}")
    return catalog.Vm(
        vm_id=vm_id,
        # `born` is missing in the examples of the pages, though its text promises it.
        incarnation=_whole(raw, "born") if "born" in raw else 0,
        service=_text(raw, "service"),
        address=raw["address"],
        failure_domain=_text(raw, "zone"),
        # `domain` is the fabric domain, not the failure domain.
        fabric_domain=_text(raw, "domain") if raw.get("domain") else "",
        slots=_whole(raw, "slots"),
        leaving=state == "draining",
        cold_seconds=_number(raw, "coldRemainingMs") / _MS,
        staged=tuple(_text({"name": one}, "name") for one in raw.get("staged") or ()),
        member=_membership(raw.get("group")),
    )


def _membership(raw: dict[str, Any] | None) -> catalog.Membership | None:
    if not raw or not raw.get("name"):
        return None
    return catalog.Membership(
        group=_text(raw, "name"),
        epoch=_whole(raw, "epoch"),
        rank=_whole(raw, "rank"),
        state=catalog.MemberState(raw["state"]),
    )


def _configuration(raw: dict[str, Any]) -> catalog.Configuration:
    services = tuple(_service(one) for one in raw["services"])
    return catalog.Configuration(
        version=_whole(raw, "version"),
        routes=tuple(_route(one) for one in raw["routes"]),
        services_by_name={one.name: one for one in services},
        workspaces_by_key={
            key: catalog.Workspace(name=_text(one, "name"), priority=one.get("priority"))
            for one in raw.get("tenants") or ()
            for key in one["apiKeys"]
        },
        limits=_limits(raw["limits"]),
    )


def _route(raw: dict[str, Any]) -> catalog.Route:
    kind = raw["kind"]
    streaming = kind == "streaming"
    # A stream that cannot be resumed must not run twice.
    repeatable = kind == "idempotent" or (streaming and bool(raw.get("resumable")))
    split = raw.get("trafficSplit") or [{"service": raw["service"], "weight": 1}]
    return catalog.Route(
        name=_text(raw, "name"),
        host=_text(raw, "hostname").lower(),
        prefix=_text(raw, "pathPrefix"),
        shares=tuple(
            catalog.Share(service=_text(one, "service"), weight=_number(one, "weight"))
            for one in split
        ),
        streaming=streaming,
        repeat=catalog.Repeat.IDEMPOTENT if repeatable else catalog.Repeat.ONCE,
        max_attempts=max(1, int(raw.get("maxAttempts", 1))),
        timeout=_number(raw, "timeoutMs") / _MS,
        objective=_number(raw, "targetLatencyMs") / _MS,
        max_gap=float(raw.get("gapAimMs") or 0) / _MS,
        priority=int(raw.get("priority") or 0),
        anonymous=bool(raw.get("anonymous")),
    )


def _service(raw: dict[str, Any]) -> catalog.Service:
    engine = raw.get("engine")
    return catalog.Service(
        name=_text(raw, "name"),
        cold_per_second=float(raw.get("coldPerS") or 0),
        engine=_engine(engine) if engine and engine.get("models") else None,
    )


def _engine(raw: dict[str, Any]) -> catalog.Engine:
    return catalog.Engine(
        slots=_whole(raw, "slots"),
        loads_per_second=_number(raw, "loadsPerS"),
        open_seconds=_number(raw, "formMs") / _MS,
        models=tuple(
            catalog.Model(
                name=_text(one, "name"),
                # `size` counts VMs, not bytes or parameters.
                vms=_whole(one, "size"),
                pace=_number(one, "pace"),
                work_share=_number(one, "share"),
                load_seconds=_number(one, "loadS"),
                warm_seconds=_number(one, "warmS"),
            )
            for one in raw["models"]
        ),
    )


def _limits(raw: dict[str, Any]) -> catalog.Limits:
    return catalog.Limits(
        max_header_bytes=_whole(raw, "maxHeaderBytes"),
        max_body_bytes=_whole(raw, "maxBodyBytes"),
        header_seconds=_number(raw, "headerTimeoutMs") / _MS,
        idle_seconds=_number(raw, "idleTimeoutMs") / _MS,
    )


def _text(raw: dict[str, Any], name: str) -> str:
    value = raw[name]
    if not isinstance(value, str) or not value:
        raise TypeError(f"{name} is {value!r}, not text")
    return value


def _whole(raw: dict[str, Any], name: str) -> int:
    value = raw[name]
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{name} is {value!r}, not a whole number")
    return value


def _number(raw: dict[str, Any], name: str) -> float:
    value = raw[name]
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{name} is {value!r}, not a number")
    return float(value)
