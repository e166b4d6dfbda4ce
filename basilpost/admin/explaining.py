"""Explains the outcome of a request from the logs of nodes.

Logs may be large, so they are read line by line, twice. The first pass keeps the lines of the
request; the second keeps state changes of its targets, its VMs and the nodes that handled it.
"""

import dataclasses
import datetime
import json
from collections.abc import Callable, Iterable, Iterator
from typing import Any

# State changes from this long before the first line of a request may explain its outcome.
SHOWN_BEFORE_SECONDS = 10.0
SHOWN_AFTER_SECONDS = 1.0

_NODE_EVENTS = frozenset(
    {
        "configuration_in_force",
        "failure_domain_out",
        "failure_domain_in",
        "store_regained",
        "store_restored",
        "node_started",
        "node_stopping",
        "runner_path_lost",
        "runner_path_back",
        "service_path_lost",
        "service_path_back",
        "log_lines_dropped",
    }
)

_TARGET_EVENTS = frozenset({"target_crashed", "target_paused", "target_resumed", "target_leaving"})

_CAUSE_EVENTS = frozenset({"crash_cause_found", "crash_cause_learned"})

_DESCRIPTIONS_BY_OUTCOME = {
    "answered": "it was answered",
    "streamed": "its stream was passed on whole",
    "caller_left": "the caller disconnected before the answer was complete",
    "internal_error": "the node failed because of a bug",
    "incomplete": "its connection ended before all of it had arrived",
    "cut_by_stop": "the node was asked to stop and ended before the answer was complete",
    "broken_off": "its stream started but could not be completed",
    "no_target": "no group or instance could accept it",
    "quarantined": "requests like it crashed the targets that ran them",
    "busy": "all groups or instances were full",
    "no_path": "the node reached no runner, and no other node could send it",
    "leaving": "all groups or instances had said that they leave",
    "paused": "all groups or instances had asked the node for a pause",
    "limited": "all groups or instances were at the limit that they name",
    "target_lost": "the target went away under it",
    "deadline": "its deadline passed",
    "no_route": "no route matches its host and path",
    "unknown_key": "its API key is unknown",
    "keys_not_fresh": "the node had lost the store and could not check keys",
    "starting": "the node had not received a configuration yet",
    "stopping": "the node was stopping",
    "no_service": "the route's service is not configured",
}

Source = Callable[[], Iterable[str]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Line:
    """A decoded log line; `fields` holds the keys other than time, node and event."""

    at: datetime.datetime
    node: str
    event: str
    fields: dict[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Explanation:
    """The result of searching logs for a request.

    Attributes:
        lines: Its lines and the state changes around them, of all nodes, in order of time.
        verdict: How it ended and the likely cause, in one sentence.
        malformed: Number of lines that could not be decoded.
    """

    lines: tuple[Line, ...]
    verdict: str
    malformed: int


def explain(request_id: str, sources: Iterable[Source]) -> Explanation:
    """Explains a request from logs; each source is called twice and must return the same lines."""
    sources = list(sources)
    request_lines: list[Line] = []
    malformed = 0
    for source in sources:
        for line in _decoded(source()):
            if line is None:
                malformed += 1
            elif line.fields.get("request") == request_id:
                request_lines.append(line)
    if not request_lines:
        return Explanation(
            lines=(), verdict=f"no line of request {request_id}", malformed=malformed
        )
    request_lines.sort(key=lambda line: line.at)
    related = _related_changes(request_lines, sources)
    lines = sorted([*request_lines, *related], key=lambda line: line.at)
    return Explanation(
        lines=tuple(lines), verdict=_verdict(request_lines, related), malformed=malformed
    )


def render(line: Line) -> str:
    """Formats a line for a terminal, without empty fields."""
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items() if value != "")
    return f"{line.at:%H:%M:%S.%f} {line.node} {line.event} {fields}"


def _decoded(texts: Iterable[str]) -> Iterator[Line | None]:
    """Yields a decoded line or None for each text that is not blank.

    Text before the JSON object, such as the prefix of a log collector, is ignored.
    """
    for text in texts:
        if not text.strip():
            continue
        try:
            raw = json.loads(text[text.index("{") :])
            yield Line(
                at=datetime.datetime.fromisoformat(raw.pop("timestamp")),
                node=str(raw.pop("node", "")),
                event=str(raw.pop("event")),
                fields=raw,
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            yield None


def _related_changes(request_lines: list[Line], sources: list[Source]) -> list[Line]:
    """Returns state changes close in time that concern the targets, VMs or nodes of a request."""
    groups = {
        _group_of(line.fields["target"]) for line in request_lines if line.fields.get("target")
    }
    targets = {line.fields["target"] for line in request_lines if line.fields.get("target")}
    vms = {line.fields["vm"] for line in request_lines if line.fields.get("vm")}
    nodes = {line.node for line in request_lines}
    begin = request_lines[0].at - datetime.timedelta(seconds=SHOWN_BEFORE_SECONDS)
    end = request_lines[-1].at + datetime.timedelta(seconds=SHOWN_AFTER_SECONDS)

    outcomes = {line.fields.get("outcome") for line in request_lines}
    causes = {line.fields["cause"] for line in request_lines if line.fields.get("cause")}

    def is_related(line: Line) -> bool:
        if line.event in _CAUSE_EVENTS and line.fields.get("cause") in causes:
            # A cause may have been found long before the request.
            return line.at <= end
        if not begin <= line.at <= end or "request" in line.fields:
            return False
        if line.event in _NODE_EVENTS:
            return line.node in nodes
        if line.event in _TARGET_EVENTS:
            # A request that is refused for all targets names none.
            is_refused_for_all = line.node in nodes and not outcomes.isdisjoint(
                {"paused", "leaving"}
            )
            return is_refused_for_all or line.fields.get("target") in targets
        return line.fields.get("group") in groups or line.fields.get("vm") in vms

    related = [
        line
        for source in sources
        for line in _decoded(source())
        if line is not None and is_related(line)
    ]
    # Every node logs the same change; only the earliest line of each is kept.
    first_by_content: dict[tuple[str, ...], Line] = {}
    for line in sorted(related, key=lambda line: line.at):
        key = (line.event, *(f"{name}={value}" for name, value in line.fields.items()))
        first_by_content.setdefault(key, line)
    return list(first_by_content.values())


def _group_of(target: str) -> str:
    return target.rpartition("@")[0]


def _verdict(request_lines: list[Line], related: list[Line]) -> str:
    ends = [line for line in request_lines if line.event == "request_ended"]
    if not ends:
        return (
            f"{request_lines[-1].node} has no line of its end: "
            "the process died, or the line was dropped"
        )
    end = ends[-1]
    outcome = str(end.fields.get("outcome", ""))
    parts = [f"{end.node}: {_DESCRIPTIONS_BY_OUTCOME.get(outcome, outcome)}"]
    if end.fields.get("reason"):
        parts.append(f"({end.fields['reason']})")
    parts.append(f"with status {end.fields.get('status')} after {end.fields.get('ms')} ms")
    if outcome not in ("answered", "streamed"):
        parts += _describe_cause(request_lines, related)
    return " ".join(parts)


def _describe_cause(request_lines: list[Line], related: list[Line]) -> list[str]:
    """Returns the likely cause of a failure, and whether the request may have run."""
    parts = []
    silent = [line for line in related if line.fields.get("silent")]
    gone = [line for line in related if line.event == "vm_gone"]
    failed = [line for line in request_lines if line.event == "attempt_failed"]
    found = [line for line in related if line.event == "crash_cause_found"]
    if found:
        targets = ", ".join(found[0].fields.get("targets") or ())
        parts.append(f"; {found[0].node} found the cause at {found[0].at:%H:%M:%S}: {targets}")
    elif silent:
        vms = ", ".join(silent[0].fields["silent"])
        parts.append(f"; {vms} of its group did not answer")
    elif gone:
        parts.append(f"; {gone[0].fields.get('vm')} was gone")
    elif failed:
        parts.append(f"; its last attempt: {failed[-1].fields.get('reason')}")
    sends = max((int(line.fields.get("sends") or 0) for line in request_lines), default=0)
    parts.append("; it has not run" if sends == 0 else f"; it may have run {sends} times")
    return parts
