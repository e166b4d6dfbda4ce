"""The events that a pool's node logs: one table for the code, the tests and the operators' page."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """A kind of log line.

    Attributes:
        meaning: What has happened or was decided.
        fields: Fields beside event, level, timestamp and node.
    """

    meaning: str
    fields: tuple[str, ...] = ()


_REQUEST = ("request", "target")
_ENDED = (
    "request",
    "outcome",
    "status",
    "reason",
    "ms",
    "route",
    "workspace",
    "model",
    "configuration",
    "target",
    "sends",
    "rejections",
    "path",
    "configuration_age_ms",
    "vms_age_ms",
)

EVENTS: dict[str, Event] = {
    "request_placed": Event(
        meaning="a target was chosen and the request is sent to it",
        fields=(
            *_REQUEST,
            "vm",
            "in_flight",
            "slots",
            "suspects",
            "sends",
            "last_event",
            "left_ms",
        ),
    ),
    "attempt_failed": Event(
        meaning="a target gave no answer to pass on; result says whether it may have run",
        fields=(*_REQUEST, "result", "reason", "again"),
    ),
    "stray_answer": Event(
        meaning="an answer that is not to this request came on its connection and was left out",
        fields=(*_REQUEST, "named", "answer_status", "requests"),
    ),
    "stream_moved": Event(
        meaning="a stream leaves a target that stands still, to go on elsewhere", fields=_REQUEST
    ),
    "request_ended": Event(
        meaning="the caller has its answer, has left, or its connection was closed", fields=_ENDED
    ),
    "configuration_in_force": Event(
        meaning="a newer configuration decides from now on",
        fields=("version", "revision", "routes", "keys"),
    ),
    "configuration_older": Event(
        meaning="an older configuration was read and left out", fields=("version", "revision")
    ),
    "configuration_removed": Event(
        meaning="the configuration is gone from the store; the last one stays in force",
        fields=("revision",),
    ),
    "malformed_object": Event(
        meaning="an object of the store cannot be decoded and names nothing",
        fields=("key", "revision", "reason"),
    ),
    "vm_changed": Event(
        meaning="a runner came, or changed its group, state or weights",
        fields=("vm", "revision", "new", "leaving", "group", "state"),
    ),
    "vm_gone": Event(meaning="a runner's entry is gone", fields=("vm", "revision")),
    "failure_domain_out": Event(
        meaning="a failure domain gets no new work", fields=("failure_domain", "revision")
    ),
    "failure_domain_in": Event(
        meaning="a failure domain gets work again", fields=("failure_domain", "revision")
    ),
    "store_lost": Event(
        meaning="a call for a kind of objects failed, the first after one that did not",
        fields=("kind", "reason"),
    ),
    "store_back": Event(
        meaning="a call for a kind of objects succeeds again",
        fields=("kind", "failed_calls"),
    ),
    "store_regained": Event(
        meaning="the store answers again; missing entries do not count for a while",
        fields=("away_ms",),
    ),
    "load_hub_silent": Event(
        meaning="the node that adds up what is in flight says nothing; another one is chosen",
        fields=("hub",),
    ),
    "node_record_not_written": Event(
        meaning="other nodes cannot find this one yet", fields=("reason",)
    ),
    "pool_control_gained": Event(meaning="this node forms groups from now on", fields=("fence",)),
    "pool_control_overtaken": Event(
        meaning="a runner has taken orders from a later controller; this one stops at once",
        fields=("fence", "vm"),
    ),
    "pool_control_lost": Event(meaning="this node forms groups no more", fields=("fence",)),
    "pool_control_released": Event(meaning="control was given up in a planned stop"),
    "pool_order": Event(
        meaning="an order was given to a runner",
        fields=("order", "vm", "group", "model", "fence", "result", "reason"),
    ),
    "still_group_probed": Event(
        meaning="the members of a group that stands still were asked whether they are there",
        fields=("group", "members", "silent"),
    ),
    "peer_secret_is_empty": Event(meaning="peer streams are not authenticated"),
    "peer_refused": Event(meaning="a peer stream could not be opened", fields=("cause", "reason")),
    "peer_stream_ended": Event(meaning="a peer stream was lost", fields=("peer", "cause")),
    "relay_listening": Event(meaning="callers can connect", fields=("address",)),
    "relay_drained": Event(meaning="a planned stop has waited for its requests", fields=("cut",)),
    "node_starting": Event(meaning="the process begins", fields=("failure_domain",)),
    "node_started": Event(meaning="all services have started"),
    "node_stopping": Event(meaning="a planned stop begins"),
    "node_stopped": Event(meaning="the process ends"),
    "settings_fields_ignored": Event(
        meaning="the settings file has unknown fields", fields=("fields",)
    ),
    "settings_reload_ignored": Event(
        meaning="SIGHUP came; settings hold for the life of a process", fields=("reason",)
    ),
    "task_failed": Event(meaning="a fault of the program", fields=("task", "exception")),
    "service_stop_failed": Event(
        meaning="a fault of the program in a stop", fields=("service", "exception")
    ),
    "log_lines_dropped": Event(
        meaning="lines beyond the budget, by event, since the last such line", fields=("dropped",)
    ),
}


def as_table() -> str:
    """Returns the events as a Markdown table."""
    rows = [
        f"| `{name}` | {event.meaning} | {', '.join(event.fields) or '-'} |"
        for name, event in EVENTS.items()
    ]
    return "\n".join(["| event | meaning | fields |", "|---|---|---|", *rows])
