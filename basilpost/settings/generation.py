"""Generates configuration objects and node settings from the answers of the questionnaire.

Generation is deterministic. Every generated value carries the path of its answer, which is written
as a comment beside the value.
"""

import dataclasses
import itertools
import json
from collections.abc import Iterable, Iterator
from typing import Any

from basilpost.settings import answers, bundle, configuration, loader, questions, schema

_INDENT_SPACES = 2
_ANY_ADDRESS = "0.0.0.0"


@dataclasses.dataclass(frozen=True, kw_only=True)
class SourcedValue:
    """A generated value and the path of its answer, for the comment."""

    value: Any
    source: str


Tree = dict[str, Any]


def build_configuration(given: answers.Answers) -> Tree:
    """Returns the configuration objects of a team as a tree with `SourcedValue` leaves."""
    return {
        configuration.FAILURE_DOMAINS.name: {
            domain.name: _failure_domain(given, index)
            for index, domain in enumerate(given.failure_domains)
        },
        configuration.SERVICES.name: {
            service.name: _service(service, f"services.{index}")
            for index, service in enumerate(given.services)
        },
        configuration.WORKSPACES.name: {
            workspace.name: _workspace(workspace, f"workspaces.{index}")
            for index, workspace in enumerate(given.workspaces)
        },
    }


def build_node_settings(given: answers.Answers, name: str) -> Tree:
    """Returns the settings of one node as a tree with `SourcedValue` leaves.

    Raises:
        LookupError: If the answers do not contain that node.
    """
    index = next((i for i, node in enumerate(given.nodes) if node.name == name), None)
    if index is None or not given.platform:
        raise LookupError(name)
    node, parent_path = given.nodes[index], f"nodes.{index}"
    platform = given.platform[0]
    return {
        "node_id": _sourced_value(node, parent_path, "name"),
        "failure_domain": _sourced_value(node, parent_path, "failure_domain"),
        "region": _sourced_value(given, "", "region"),
        "platform": {
            "object_api": _sourced_value(platform, "platform.0", "object_api"),
            "vm_list": _sourced_value(platform, "platform.0", "vm_list"),
        },
        "gateway": {"listen": _listen(node, parent_path, "gateway_port")},
        "admin": _listen(node, parent_path, "admin_port"),
        "admin_token_digest": _sourced_value(platform, "platform.0", "admin_token_digest"),
        "peers": _peers(given, index),
    }


def render(tree: Tree, *, title: str) -> str:
    """Returns a tree as JSON with comments: the title first, then a source beside each value."""
    lines = [f"// {title}", "{", *_render_items(tree, _INDENT_SPACES), "}"]
    return "\n".join(lines) + "\n"


def strip_sources(tree: Any) -> Any:
    """Returns a tree with plain values as leaves."""
    if isinstance(tree, SourcedValue):
        return tree.value
    if isinstance(tree, dict):
        return {key: strip_sources(value) for key, value in tree.items()}
    if isinstance(tree, list):
        return [strip_sources(value) for value in tree]
    return tree


def check_configuration(tree: Tree, *, file: str) -> tuple[loader.SettingError, ...]:
    """Returns the errors of generated objects, with the answers file as their file."""
    return bundle.check(loader.structure(strip_sources(tree), bundle.Bundle, file=file), file=file)


def check_node_settings(tree: Tree, *, file: str) -> tuple[loader.SettingError, ...]:
    """Returns the errors of generated node settings, with the answers file as their file."""
    settings = loader.structure(strip_sources(tree), schema.NodeSettings, file=file)
    return tuple(loader.check_node_settings(settings, file=file))


def _failure_domain(given: answers.Answers, index: int) -> Tree:
    return {
        "name": _sourced_value(given.failure_domains[index], f"failure_domains.{index}", "name"),
        "region": _sourced_value(given, "", "region"),
    }


def _service(service: answers.Service, parent_path: str) -> Tree:
    fields = _PLAIN_FIELDS if service.kind == answers.PLAIN else _MODEL_FIELDS
    tree = _fields(service, parent_path, fields)
    if service.kind == answers.PLAIN:
        tree["routes"] = [
            _fields(call, f"{parent_path}.calls.{index}", _ROUTE_FIELDS)
            for index, call in enumerate(service.calls)
        ]
    return tree


def _workspace(workspace: answers.Workspace, parent_path: str) -> Tree:
    return _fields(workspace, parent_path, _WORKSPACE_FIELDS)


def _peers(given: answers.Answers, index: int) -> Tree:
    node, parent_path = given.nodes[index], f"nodes.{index}"
    advertised = f"{node.address}:{node.peer_port}"
    return {
        "listen": _listen(node, parent_path, "peer_port"),
        "advertise": SourcedValue(
            value=advertised, source=f"{parent_path}.address, {parent_path}.peer_port"
        ),
        "secret": _sourced_value(given.platform[0], "platform.0", "peer_secret"),
        "seeds": [
            {
                "node_id": _sourced_value(other, f"nodes.{number}", "name"),
                "address": SourcedValue(
                    value=f"{other.address}:{other.peer_port}",
                    source=f"nodes.{number}.address, nodes.{number}.peer_port",
                ),
            }
            for number, other in enumerate(given.nodes)
            if number != index
        ],
    }


def _listen(node: answers.Node, parent_path: str, port: str) -> Tree:
    return {
        "host": SourcedValue(value=_ANY_ADDRESS, source="all addresses of the VM"),
        "port": _sourced_value(node, parent_path, port),
    }


def _fields(record: Any, parent_path: str, names: Iterable[tuple[str, str]]) -> Tree:
    return {name: _sourced_value(record, parent_path, answer) for name, answer in names}


def _sourced_value(record: Any, parent_path: str, name: str) -> SourcedValue:
    """Returns the value of an answer with its path, marked as default if it equals the default."""
    field = next(field for field in dataclasses.fields(record) if field.name == name)
    value = getattr(record, name)
    path = f"{parent_path}.{name}" if parent_path else name
    is_default = questions.question_of(field) is not None and value == field.default
    source = f"{path} (default)" if is_default else path
    return SourcedValue(value=list(value) if isinstance(value, tuple) else value, source=source)


def _render_items(tree: Tree, indent: int) -> Iterator[str]:
    last = len(tree) - 1
    rendered = (
        _render(f"{json.dumps(key)}: ", value, indent, "," if index < last else "")
        for index, (key, value) in enumerate(tree.items())
    )
    return itertools.chain.from_iterable(rendered)


def _render(prefix: str, value: Any, indent: int, comma: str) -> Iterator[str]:
    margin = " " * indent
    if isinstance(value, SourcedValue):
        text = json.dumps(value.value, ensure_ascii=False)
        yield f"{margin}{prefix}{text}{comma} // {value.source}"
    elif isinstance(value, list):
        yield f"{margin}{prefix}["
        for index, item in enumerate(value):
            yield from _render("", item, indent + 2, "," if index < len(value) - 1 else "")
        yield f"{margin}]{comma}"
    else:
        yield f"{margin}{prefix}{{"
        yield from _render_items(value, indent + 2)
        yield f"{margin}}}{comma}"


_PLAIN_FIELDS = (
    ("name", "name"),
    ("kind", "kind"),
    ("pool", "pool"),
    ("max_in_flight", "requests_at_once"),
    ("cold_max_in_flight", "cold_requests_at_once"),
    ("cold_seconds", "cold_seconds"),
    ("default_deadline_seconds", "answer_seconds"),
    ("stream_silence_seconds", "silence_seconds"),
)
_MODEL_FIELDS = (
    *_PLAIN_FIELDS,
    ("model", "model"),
    ("model_version", "model_version"),
    ("vms_per_group", "vms_per_group"),
    ("checks_fence", "checks_fence"),
)
_ROUTE_FIELDS = (
    ("method", "method"),
    ("path_prefix", "path"),
    ("idempotent", "may_repeat"),
    ("outcome_path", "outcome_path"),
)
_WORKSPACE_FIELDS = (
    ("name", "name"),
    ("services", "services"),
    ("weight", "share"),
    ("priority", "priority"),
    ("max_concurrency", "requests_at_once"),
    ("rate", "requests_per_second"),
    ("burst", "burst"),
)
