"""The events that a pool's node logs, as one table for the tests and the operators' page."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """A kind of log line.

    Attributes:
        meaning: What has happened or was decided.
        fields: Names of the fields, besides event, level, timestamp and node.
        is_trace: True if the line tells what became of a request or of the process; it is kept longer
            than others when lines are dropped.
    """

    meaning: str
    fields: tuple[str, ...] = ()
    is_trace: bool = False


_REQUEST_FIELDS = ("request", "target")
# What the connection had carried: earlier requests, the same id, bytes that nobody asked for.
_REUSE_FIELDS = ("requests", "carried", "unread")
_REQUEST_ENDED_FIELDS = (
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
    "after_stop_ms",
    "cause",
    "detour_node",
    "first_event_ms",
    "after_send_ms",
    "predicted_ms",
    "written",
    "closed_by",
    "close_error",
    "events",
    "last_event",
    "answer_end",
    "repeats",
    "denied",
    "last_failure",
)

EVENTS: dict[str, Event] = {
    "request_placed": Event(
        meaning="a target was chosen and the request is sent to it",
        fields=(
            *_REQUEST_FIELDS,
            "vm",
            "in_flight",
            "slots",
            "suspects",
            "sends",
            "last_event",
            "left_ms",
            *_REUSE_FIELDS,
        ),
        is_trace=True,
    ),
    "attempt_failed": Event(
        meaning="a target gave no usable answer; result says whether the request may have run",
        fields=(
            *_REQUEST_FIELDS,
            "result",
            "reason",
            "again",
            "fingerprint",
            "parts",
            "detour_node",
            "writing_ms",
            "abandoned",
            "stale",
            "unattributed",
            "closing",
            "attempts_left",
            "retries_left",
        ),
        is_trace=True,
    ),
    "retry_decided": Event(
        meaning="whether a request that failed, stalled or has to move is sent once more, why, and what "
        "is left of this node's budget for its service",
        fields=(
            *_REQUEST_FIELDS,
            "service",
            "cause",
            "allowed",
            "denied_by",
            "budget_left",
            "budget_max",
            "sends",
            "rejections",
            "detour_node",
        ),
        is_trace=True,
    ),
    "attempt_cancelled": Event(
        meaning="a request that was sent ended before its answer: its caller left, its deadline passed "
        "or the node stopped",
        fields=(*_REQUEST_FIELDS, "fingerprint", "parts", "after_send_ms"),
        is_trace=True,
    ),
    "request_detoured": Event(
        meaning="another node sends the request, as this one has no path to the runners",
        fields=("request", "detour_node", "sends", "last_event", "left_ms", *_REUSE_FIELDS),
        is_trace=True,
    ),
    "detour_served": Event(
        meaning="the end of a request that this node has sent for another one",
        fields=("request", "result", "code", "target", "ms"),
        is_trace=True,
    ),
    "runner_path_checked": Event(
        meaning="requests were in flight and the runners of a service silent, so these VMs were asked",
        fields=("reason", "contact", "in_flight", "silent_ms", "ms", "vms"),
    ),
    "runner_path_lost": Event(
        meaning="none of these VMs answered a status request; other nodes send this node's requests",
        fields=("reason", "vms"),
    ),
    "runner_path_back": Event(
        meaning="a VM answered again, after these seconds", fields=("seconds",)
    ),
    "change_not_applied": Event(
        meaning="a change of an object raised an error, which is logged with it, and is ignored",
        fields=("key", "revision"),
    ),
    "service_path_lost": Event(
        meaning="none of these VMs of the service answered a status request, but VMs of others did; "
        "other nodes send the requests to it",
        fields=("service", "contact", "vms"),
    ),
    "service_path_back": Event(
        meaning="a VM of the service answered again, after these seconds",
        fields=("service", "seconds"),
    ),
    "target_silent": Event(
        meaning="a target with requests of this node does not answer a status request, and is avoided",
        fields=("target", "contact"),
    ),
    "target_answers": Event(
        meaning="the target answers status requests again, after these seconds",
        fields=("target", "seconds"),
    ),
    "target_probed": Event(
        meaning="the watch of a target after requests ended there without an answer is over; down: it "
        "refused or closed connections; crashed: this counts against the requests",
        fields=("target", "down", "crashed", "requests"),
    ),
    "target_crashed": Event(
        meaning="a target crashed with these requests in flight, here or at another node",
        fields=("target", "requests", "parts"),
    ),
    "crash_cause_found": Event(
        meaning="requests with this trait crash targets and are refused from now on",
        fields=("trait", "cause", "crashes", "targets", "requests"),
    ),
    "crash_cause_learned": Event(
        meaning="the same, found by another node; source is that peer or the store",
        fields=("trait", "cause", "source"),
    ),
    "crash_cause_released": Event(
        meaning="an operator lets requests with this trait run again",
        fields=("trait", "cause", "reason"),
    ),
    "crash_cause_expired": Event(
        meaning="requests with this trait run again, as its time is over",
        fields=("trait", "cause"),
    ),
    "crash_cause_not_written": Event(
        meaning="the store does not have this cause of crashes yet", fields=("cause", "reason")
    ),
    "target_limit": Event(
        meaning="a target names another limit on the requests per second of all nodes, null for none",
        fields=("target", "per_second"),
    ),
    "target_paused": Event(
        meaning="a runner rejected a request and wants no others from this node for some seconds",
        fields=("target", "seconds"),
    ),
    "target_pause_long": Event(
        meaning="a runner asks for so long a pause that it may be an error; restarting it ends the pause",
        fields=("target", "seconds"),
    ),
    "target_resumed": Event(
        meaning="that runner has accepted a request again", fields=("target", "seconds")
    ),
    "target_pause_ignored": Event(
        meaning="a runner names a pause that is no valid time; logged once for each",
        fields=("target", "value"),
    ),
    "target_leaving": Event(
        meaning="a runner says in its answers that it will stop, here or at another node",
        fields=("target",),
    ),
    "stray_answer": Event(
        meaning="an answer arrived that names another request and is skipped, or that names none and ends the attempt",
        fields=(*_REQUEST_FIELDS, "named", "answer_status", *_REUSE_FIELDS),
    ),
    "connections_dropped": Event(
        meaning="connections of callers were closed, those first that had moved fewest bytes for what "
        "they held, because all of them held too many bytes; once a second at most",
        fields=("count", "bytes", "held"),
    ),
    "connection_unread": Event(
        meaning="an idle connection is closed because bytes have arrived on it that no request asked for",
        fields=("address", "lifetime", "requests"),
    ),
    "target_closing": Event(
        meaning="a group is closed because a member leaves, while it answers these streams of this node",
        fields=("target", "requests"),
        is_trace=True,
    ),
    "stream_moved": Event(
        meaning="a stream goes on at another target, `to`, because its target sends nothing or its group "
        "is closed as planned; without `to` it is resumed by way of another node, or by the one that asked",
        fields=(*_REQUEST_FIELDS, "to"),
        is_trace=True,
    ),
    "stream_kept": Event(
        meaning="a stream stays at a target that sends nothing or whose group is closed as planned, because "
        "the next one, `to`, has not taken it or the target sends again",
        fields=(*_REQUEST_FIELDS, "to", "result", "reason"),
    ),
    "request_ended": Event(
        meaning="the caller has its answer, has left, or its connection was closed",
        fields=_REQUEST_ENDED_FIELDS,
        is_trace=True,
    ),
    "requests_in_flight": Event(
        meaning="these requests have been in flight for a second; written each 2 s while there are any",
        fields=("count", "requests"),
        is_trace=True,
    ),
    "configuration_in_force": Event(
        meaning="a newer configuration is in force from now on",
        fields=("version", "revision", "routes", "keys"),
    ),
    "configuration_older": Event(
        meaning="an older configuration was read and ignored", fields=("version", "revision")
    ),
    "configuration_removed": Event(
        meaning="the configuration was deleted from the store; the last one stays in force",
        fields=("revision",),
    ),
    "malformed_object": Event(
        meaning="an object of the store cannot be decoded and is not used",
        fields=("key", "revision", "reason"),
    ),
    "vm_changed": Event(
        meaning="a runner appeared, or changed its group, state or weights; in large fleets only on watchers",
        fields=("vm", "revision", "new", "leaving", "group", "state"),
    ),
    "vm_gone": Event(meaning="a runner's entry was removed", fields=("vm", "revision")),
    "failure_domain_out": Event(
        meaning="a failure domain gets no new work", fields=("failure_domain", "revision")
    ),
    "failure_domain_in": Event(
        meaning="a failure domain gets work again", fields=("failure_domain", "revision")
    ),
    "store_lost": Event(
        meaning="a call for a kind of objects failed, the first one after a success",
        fields=("kind", "reason"),
    ),
    "store_back": Event(
        meaning="a call for a kind of objects succeeds again",
        fields=("kind", "failed_calls"),
    ),
    "store_regained": Event(
        meaning="the store answers again; missing entries do not count as removed for a while",
        fields=("away_ms",),
    ),
    "store_restored": Event(
        meaning="the store was restored from an older copy; what nodes wrote since is lost",
        fields=("era", "before"),
    ),
    "store_era_malformed": Event(
        meaning="the store's count of its restores is no number; the last one stays in use",
        fields=("value",),
    ),
    "objects_listed_again": Event(
        meaning="the store was restored, as it or a peer tells; nothing known of it is taken for current",
        fields=("era",),
    ),
    "older_contents_applied": Event(
        meaning="objects that a restored store showed as older, and nobody has written again, are believed",
        fields=("objects",),
    ),
    "rank_cut": Event(
        meaning="callers want more of a model than there is; a share of a rank is refused from now on",
        fields=("model", "rank", "share", "wanted", "capacity"),
    ),
    "rank_admitted": Event(
        meaning="all new requests of a rank are admitted again",
        fields=("model", "rank", "share", "wanted", "capacity"),
    ),
    "load_hub_silent": Event(
        meaning="the node that sums up the requests in flight is silent; another one is chosen",
        fields=("hub",),
    ),
    "node_record_not_written": Event(
        meaning="other nodes cannot find this one yet", fields=("reason",)
    ),
    "node_record_removed": Event(
        meaning="the record of a node that has been silent for long was removed from the store",
        fields=("peer",),
    ),
    "node_record_lost": Event(
        meaning="another node has removed this one's record, which is written again"
    ),
    "pool_control_gained": Event(meaning="this node forms groups from now on", fields=("fence",)),
    "pool_control_overtaken": Event(
        meaning="a runner has accepted orders from a later controller; this one stops at once",
        fields=("fence", "vm"),
    ),
    "pool_control_lost": Event(meaning="this node no longer forms groups", fields=("fence",)),
    "pool_control_released": Event(
        meaning="control was given up, in a planned stop or because this node reaches no runner"
    ),
    "pool_order": Event(
        meaning="an order was sent to a runner",
        fields=("order", "vm", "group", "model", "fence", "cause", "result", "reason"),
    ),
    "still_group_probed": Event(
        meaning="the members of a group without progress were asked for their status",
        fields=("group", "members", "silent"),
    ),
    "peer_secret_is_empty": Event(meaning="peer streams are not authenticated"),
    "peer_refused": Event(meaning="a peer stream could not be opened", fields=("cause", "reason")),
    "peer_stream_ended": Event(meaning="a peer stream was lost", fields=("peer", "cause")),
    "connections_closed": Event(
        meaning="connections to this listener were closed by a limit in the last second: `head` was not "
        "complete in time, `idle` had no request, `answer` had none in time, `replaced` was closed for a "
        "new one, `refused` found no room",
        fields=("listener", "cause", "count"),
    ),
    "node_restarted": Event(
        meaning="another node, or this one, has started again without a planned stop, as the node records "
        "show; incarnation is of the new process",
        fields=("peer", "incarnation"),
        is_trace=True,
    ),
    "relay_listening": Event(meaning="callers can connect", fields=("address",)),
    "relay_drained": Event(
        meaning="a planned stop has waited for the requests in flight",
        fields=("cut", "ms", "idle", "busy"),
        is_trace=True,
    ),
    "relay_stopping": Event(
        meaning="the relay stops; connections of callers that are still open",
        fields=("idle", "busy"),
    ),
    "node_starting": Event(
        meaning="the process begins",
        fields=("failure_domain", "pid", "version", "memory_mb"),
        is_trace=True,
    ),
    "node_started": Event(meaning="all services have started", is_trace=True),
    "node_stopping": Event(meaning="a planned stop begins", is_trace=True),
    "node_stopped": Event(meaning="a planned stop is over", is_trace=True),
    "node_ended": Event(
        meaning="the process ends; cause is stop, a signal or the type of an exception, and requests are "
        "those in flight. SIGKILL and a power failure leave no such line",
        fields=("cause", "exit_code", "requests", "pid", "exception"),
        is_trace=True,
    ),
    "settings_fields_ignored": Event(
        meaning="the settings file has unknown fields", fields=("fields",)
    ),
    "settings_reloaded": Event(
        meaning="changed settings of the file take effect from now on", fields=("applied",)
    ),
    "settings_reload_ignored": Event(
        meaning="settings of the file have changed that cannot change while the process runs, or SIGHUP "
        "was received without a change",
        fields=("fields", "reason"),
    ),
    "settings_reload_refused": Event(
        meaning="the settings file cannot be read again; the settings stay as they are",
        fields=("reason",),
    ),
    "task_failed": Event(
        meaning="a background task failed because of a bug", fields=("task", "exception")
    ),
    "library_message": Event(
        meaning="a warning or an error of a library, such as one on a callback that has failed",
        fields=("library", "message", "exception"),
    ),
    "service_stop_failed": Event(
        meaning="a service could not be stopped because of a bug", fields=("service", "exception")
    ),
    "log_lines_dropped": Event(
        meaning="lines beyond the budget, by event, since the last such line", fields=("dropped",)
    ),
}

TRACES = frozenset(name for name, event in EVENTS.items() if event.is_trace)


def as_table() -> str:
    """Returns the events as a Markdown table."""
    rows = [
        f"| `{name}` | {event.meaning} | {', '.join(event.fields) or '-'} |"
        for name, event in EVENTS.items()
    ]
    return "\n".join(["| event | meaning | fields |", "|---|---|---|", *rows])
