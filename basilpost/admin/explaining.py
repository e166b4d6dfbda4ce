"""Explains from nodes' logs what became of a request.

Logs are read line by line and may be large: only lines of the request are kept, and, in a second
reading, those of the groups and runners that it met, and of what its nodes knew.
"""

import dataclasses
import datetime
import json
from collections.abc import Callable, Iterable, Iterator
from typing import Any

# Changes this long before the request's first line may have decided it.
BEFORE_SECONDS = 10.0
AFTER_SECONDS = 1.0

_NODE_EVENTS = frozenset(
    {
        "configuration_in_force",
        "failure_domain_out",
        "failure_domain_in",
        "store_regained",
        "node_started",
        "node_stopping",
        "log_lines_dropped",
    }
)

_CAUSES = {
    "answered": "it was answered",
    "streamed": "its stream was passed on whole",
    "caller_left": "the caller left before its answer was whole",
    "broken_off": "its stream began and could not be completed",
    "no_target": "no group or instance could take it",
    "quarantined": "it has felled each runner that ran it",
    "busy": "all groups or instances were full",
    "target_lost": "the target went away under it",
    "deadline": "its time was over",
    "no_route": "no route matches its host and path",
    "unknown_key": "its API key is unknown",
    "keys_not_fresh": "the node had lost the store and could not check keys",
    "starting": "the node knew no configuration yet",
    "stopping": "the node was stopping",
    "no_service": "the route's service is not configured",
}

Source = Callable[[], Iterable[str]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Line:
    """A decoded log line."""

    at: datetime.datetime
    node: str
    event: str
    fields: dict[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Explanation:
    """What the logs say of a request.

    Attributes:
        lines: Its lines and those that decided it, over all nodes, by time.
        verdict: What ended it, in one sentence.
        malformed: Lines that could not be read.
    """

    lines: tuple[Line, ...]
    verdict: str
    malformed: int


def explain(request_id: str, sources: Iterable[Source]) -> Explanation:
    """Explains a request from logs; each source can be read twice."""
    sources = list(sources)
    own: list[Line] = []
    malformed = 0
    for source in sources:
        for line in _decoded(source()):
            if line is None:
                malformed += 1
            elif line.fields.get("request") == request_id:
                own.append(line)
    if not own:
        return Explanation(
            lines=(), verdict=f"no line of request {request_id}", malformed=malformed
        )
    own.sort(key=lambda line: line.at)
    around = _around(own, sources)
    lines = sorted([*own, *around], key=lambda line: line.at)
    return Explanation(lines=tuple(lines), verdict=_verdict(own, around), malformed=malformed)


def render(line: Line) -> str:
    """Returns a line for people."""
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items() if value != "")
    return f"{line.at:%H:%M:%S.%f} {line.node} {line.event} {fields}"


def _decoded(texts: Iterable[str]) -> Iterator[Line | None]:
    """Decodes lines; whatever stands before the JSON object, as a collector's prefix, is left out."""
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


def _around(own: list[Line], sources: list[Source]) -> list[Line]:
    """Returns the state changes that may have decided a request."""
    groups = {_group_of(line.fields["target"]) for line in own if line.fields.get("target")}
    vms = {line.fields["vm"] for line in own if line.fields.get("vm")}
    nodes = {line.node for line in own}
    begin = own[0].at - datetime.timedelta(seconds=BEFORE_SECONDS)
    end = own[-1].at + datetime.timedelta(seconds=AFTER_SECONDS)

    def decides(line: Line) -> bool:
        if not begin <= line.at <= end or "request" in line.fields:
            return False
        if line.event in _NODE_EVENTS:
            return line.node in nodes
        return line.fields.get("group") in groups or line.fields.get("vm") in vms

    found = [
        line
        for source in sources
        for line in _decoded(source())
        if line is not None and decides(line)
    ]
    # Every node tells of the same change; the first to see it is enough.
    first: dict[tuple[str, ...], Line] = {}
    for line in sorted(found, key=lambda one: one.at):
        key = (line.event, *(f"{name}={value}" for name, value in line.fields.items()))
        first.setdefault(key, line)
    return list(first.values())


def _group_of(target: str) -> str:
    return target.rpartition("@")[0]


def _verdict(own: list[Line], around: list[Line]) -> str:
    ends = [line for line in own if line.event == "request_ended"]
    if not ends:
        return f"{own[-1].node} has no line of its end: the process died, or the line was dropped"
    end = ends[-1]
    outcome = str(end.fields.get("outcome", ""))
    parts = [f"{end.node}: {_CAUSES.get(outcome, outcome)}"]
    if end.fields.get("reason"):
        parts.append(f"({end.fields['reason']})")
    parts.append(f"with status {end.fields.get('status')} after {end.fields.get('ms')} ms")
    if outcome not in ("answered", "streamed"):
        parts += _blame(own, around)
    return " ".join(parts)


def _blame(own: list[Line], around: list[Line]) -> list[str]:
    """Names what had happened to the targets, and whether the request may have run."""
    parts = []
    silent = [line for line in around if line.fields.get("silent")]
    gone = [line for line in around if line.event == "vm_gone"]
    failed = [line for line in own if line.event == "attempt_failed"]
    if silent:
        vms = ", ".join(silent[0].fields["silent"])
        parts.append(f"; {vms} of its group did not answer")
    elif gone:
        parts.append(f"; {gone[0].fields.get('vm')} was gone")
    elif failed:
        parts.append(f"; its last try: {failed[-1].fields.get('reason')}")
    sends = max((int(line.fields.get("sends") or 0) for line in own), default=0)
    parts.append("; it has not run" if sends == 0 else f"; it may have run {sends} times")
    return parts
