"""Generates configuration objects and node settings from the answers of the questionnaire.

The same answers give the same text each time. Every generated value carries the path of the answer
that gave it, which ends up as a comment beside the value.
"""

import dataclasses
import itertools
import json
from collections.abc import Iterable, Iterator
from typing import Any

from basilpost.settings import answers, bundle, configuration, loader, questions, schema

_FIRST_INDENT = 2
_ANY_ADDRESS = "0.0.0.0"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sourced:
    """A generated value and the comment that tells which answer gave it."""

    value: Any
    source: str


Tree = dict[str, Any]


def configuration_of(given: answers.Answers) -> Tree:
    """Returns the configuration objects of a team as a tree with `Sourced` leaves."""
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


def node_settings_of(given: answers.Answers, name: str) -> Tree:
    """Returns the settings of one node as a tree with `Sourced` leaves.

    Raises:
        LookupError: If no answers are about that node.
    """
    index = next((i for i, node in enumerate(given.nodes) if node.name == name), None)
    if index is None or not given.platform:
        raise LookupError(name)
    node, place = given.nodes[index], f"nodes.{index}"
    platform = given.platform[0]
    return {
        "node_id": _from(node, place, "name"),
        "failure_domain": _from(node, place, "failure_domain"),
        "region": _from(given, "", "region"),
        "platform": {
            "object_api": _from(platform, "platform.0", "object_api"),
            "vm_list": _from(platform, "platform.0", "vm_list"),
        },
        "gateway": {"listen": _listen(node, place, "gateway_port")},
        "admin": _listen(node, place, "admin_port"),
        "admin_token_digest": _from(platform, "platform.0", "admin_token_digest"),
        "peers": _peers(given, index),
    }


def render(tree: Tree, *, title: str) -> str:
    """Returns a tree as JSON with a comment beside each value."""
    lines = [f"// {title}", "{", *_render_items(tree, _FIRST_INDENT), "}"]
    return "\n".join(lines) + "\n"


def plain(tree: Any) -> Any:
    """Returns a tree without its sources."""
    if isinstance(tree, Sourced):
        return tree.value
    if isinstance(tree, dict):
        return {key: plain(value) for key, value in tree.items()}
    if isinstance(tree, list):
        return [plain(value) for value in tree]
    return tree


def check_configuration(tree: Tree, *, file: str) -> tuple[loader.SettingError, ...]:
    """Checks generated objects as any other bundle, naming the answers file in the errors."""
    return bundle.check(loader.structure(plain(tree), bundle.Bundle, file=file), file=file)


def check_node_settings(tree: Tree, *, file: str) -> tuple[loader.SettingError, ...]:
    """Checks generated node settings as any others."""
    settings = loader.structure(plain(tree), schema.NodeSettings, file=file)
    return tuple(loader.check_node_settings(settings, file=file))


def _failure_domain(given: answers.Answers, index: int) -> Tree:
    return {
        "name": _from(given.failure_domains[index], f"failure_domains.{index}", "name"),
        "region": _from(given, "", "region"),
    }


def _service(service: answers.Service, place: str) -> Tree:
    fields = _PLAIN_FIELDS if service.kind == answers.PLAIN else _MODEL_FIELDS
    tree = _fields(service, place, fields)
    if service.kind == answers.PLAIN:
        tree["routes"] = [
            _fields(call, f"{place}.calls.{index}", _ROUTE_FIELDS)
            for index, call in enumerate(service.calls)
        ]
    return tree


def _workspace(workspace: answers.Workspace, place: str) -> Tree:
    return _fields(workspace, place, _WORKSPACE_FIELDS)


def _peers(given: answers.Answers, index: int) -> Tree:
    node, place = given.nodes[index], f"nodes.{index}"
    advertised = f"{node.address}:{node.peer_port}"
    return {
        "listen": _listen(node, place, "peer_port"),
        "advertise": Sourced(value=advertised, source=f"{place}.address, {place}.peer_port"),
        "secret": _from(given.platform[0], "platform.0", "peer_secret"),
        "seeds": [
            {
                "node_id": _from(other, f"nodes.{number}", "name"),
                "address": Sourced(
                    value=f"{other.address}:{other.peer_port}",
                    source=f"nodes.{number}.address, nodes.{number}.peer_port",
                ),
            }
            for number, other in enumerate(given.nodes)
            if number != index
        ],
    }


def _listen(node: answers.Node, place: str, port: str) -> Tree:
    return {
        "host": Sourced(value=_ANY_ADDRESS, source="all addresses of the VM"),
        "port": _from(node, place, port),
    }


def _fields(record: Any, place: str, names: Iterable[tuple[str, str]]) -> Tree:
    return {name: _from(record, place, answer) for name, answer in names}


def _from(record: Any, place: str, name: str) -> Sourced:
    """Returns the value of an answer with its path, marked if it is the question's default."""
    field = next(field for field in dataclasses.fields(record) if field.name == name)
    value = getattr(record, name)
    path = f"{place}.{name}" if place else name
    is_default = questions.question_of(field) is not None and value == field.default
    source = f"{path} (default)" if is_default else path
    return Sourced(value=list(value) if isinstance(value, tuple) else value, source=source)


def _render_items(tree: Tree, indent: int) -> Iterator[str]:
    last = len(tree) - 1
    rendered = (
        _render(f"{json.dumps(key)}: ", value, indent, "," if index < last else "")
        for index, (key, value) in enumerate(tree.items())
    )
    return itertools.chain.from_iterable(rendered)


def _render(prefix: str, value: Any, indent: int, comma: str) -> Iterator[str]:
    margin = " " * indent
    if isinstance(value, Sourced):
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
