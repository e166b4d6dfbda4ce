"""Reads workspace, ids, deadline, idempotency key, model and route from callers' requests."""

import dataclasses
import json
import math
import re
import uuid
from typing import Any

import tornado.httputil

from basilpost.core import clock, data, failure, hashing, names
from basilpost.gateway import refusals

_REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
_IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,256}")
_AFFINITY_CHARACTERS = 1024
_MAX_DEADLINE_SECONDS = 3600.0


class KeyIndex:
    """Finds the workspace of an API key; rebuilds its index when the configuration changes."""

    def __init__(self) -> None:
        self._config: data.Config | None = None
        self._workspaces_by_digest: dict[str, data.Workspace] = {}

    def find_workspace(
        self, config: data.Config, headers: tornado.httputil.HTTPHeaders
    ) -> data.Workspace | failure.Refusal:
        """Returns the workspace whose API key the request carries, or a refusal."""
        if config is not self._config:
            self._config = config
            self._workspaces_by_digest = {
                digest: workspace
                for workspace in config.workspaces_by_name.values()
                for digest in workspace.key_digests
            }
        scheme, _, key = headers.get("Authorization", "").partition(" ")
        caller_workspace = self._workspaces_by_digest.get(hashing.key_digest(key.strip()))
        if scheme.lower() != "bearer" or caller_workspace is None:
            return refusals.missing_key()
        return caller_workspace


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelCall:
    """A valid chat completion request.

    Attributes:
        service: The service that serves the model.
        stream: True if the caller wants the answer as events.
        affinity: Hash of the beginning of the conversation, which engines cache.
    """

    service: data.Service
    stream: bool
    affinity: str


def request_ids(headers: tornado.httputil.HTTPHeaders) -> tuple[str, str]:
    """Returns the request id that the caller sees, and a unique one that targets see.

    The first is the caller's own id if it sent a valid one.
    """
    sent_id = headers.get(names.REQUEST_ID_HEADER, "")
    caller_request_id = sent_id if _REQUEST_ID_PATTERN.fullmatch(sent_id) else uuid.uuid4().hex
    return caller_request_id, f"{caller_request_id}.{uuid.uuid4().hex[:8]}"


def deadline(
    headers: tornado.httputil.HTTPHeaders, service: data.Service
) -> float | failure.Refusal:
    """Returns the event loop's time by which the caller wants the whole answer, or a refusal."""
    text = headers.get(names.DEADLINE_HEADER)
    if text is None:
        return clock.monotonic() + service.default_deadline_seconds
    allowed = f"milliseconds from 1 to {_MAX_DEADLINE_SECONDS * 1000:.0f}"
    try:
        seconds = float(text) / 1000
    except ValueError:
        return refusals.bad_header(names.DEADLINE_HEADER, allowed)
    if not math.isfinite(seconds) or not 0.001 <= seconds <= _MAX_DEADLINE_SECONDS:
        return refusals.bad_header(names.DEADLINE_HEADER, allowed)
    return clock.monotonic() + seconds


def idempotency_key(headers: tornado.httputil.HTTPHeaders) -> str | failure.Refusal:
    """Returns the idempotency key, empty if the caller sent none, or a refusal."""
    key = headers.get(names.IDEMPOTENCY_HEADER, "")
    if key and not _IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        return refusals.bad_header(names.IDEMPOTENCY_HEADER, "1 to 256 visible ASCII characters")
    return key


def parse_model_call(config: data.Config, body: bytes) -> ModelCall | failure.Refusal:
    """Returns the chat completion that a body asks for, or a refusal if it is not valid."""
    try:
        parsed = json.loads(body)
    except (ValueError, RecursionError) as error:
        return refusals.bad_json(str(error))
    if not isinstance(parsed, dict):
        return refusals.bad_json("expected an object")
    messages = parsed.get("messages")
    if not isinstance(messages, list) or not messages:
        return refusals.bad_json("'messages' must be a non-empty list")
    if not isinstance(parsed.get("model"), str):
        return refusals.bad_json("'model' must be a string")
    if not isinstance(parsed.get("stream", False), bool):
        return refusals.bad_json("'stream' must be true or false")
    service = find_model(config, parsed["model"])
    if service is None:
        return refusals.unknown_model(parsed["model"])
    return ModelCall(
        service=service, stream=parsed.get("stream", False), affinity=_affinity_key(messages)
    )


def find_model(config: data.Config, name: str) -> data.Service | None:
    """Returns the service with this name or whose model has this name, None if there is none."""
    service = config.services_by_name.get(name)
    if service is not None and service.kind is data.ServiceKind.MODEL:
        return service
    return next((other for other in _model_services(config) if other.model == name), None)


def model_names(config: data.Config, workspace: data.Workspace) -> list[str]:
    """Returns the names of the models that a workspace may call."""
    return [service.name for service in _model_services(config) if may_call(workspace, service)]


def may_call(workspace: data.Workspace, service: data.Service) -> bool:
    """Returns True if the workspace may call the service."""
    return not workspace.services or service.name in workspace.services


def find_route(service: data.Service, method: str, path: str) -> data.Route:
    """Returns the matching route with the longest prefix.

    Without a match the route is a default one, which is not idempotent.
    """
    matching = (
        route
        for route in service.routes
        if route.method in ("*", method) and path.startswith(route.path_prefix)
    )
    return max(matching, key=lambda route: len(route.path_prefix), default=data.Route())


def _model_services(config: data.Config) -> list[data.Service]:
    services = (
        service
        for service in config.services_by_name.values()
        if service.kind is data.ServiceKind.MODEL
    )
    return sorted(services, key=lambda service: service.name)


def _affinity_key(messages: list[Any]) -> str:
    """Returns a hash of the beginning of the conversation, which engines cache."""
    text = json.dumps(messages[:2], separators=(",", ":"))[:_AFFINITY_CHARACTERS]
    return hashing.body_digest(text.encode())[:32]
