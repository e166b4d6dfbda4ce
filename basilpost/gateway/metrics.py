"""The gateway's metrics."""

import prometheus_client

_FIRST_BYTE_BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
)


class Metrics:
    """The gateway's counters, gauges and histogram on a node's registry."""

    def __init__(self, *, registry: prometheus_client.CollectorRegistry) -> None:
        self.answers = prometheus_client.Counter(
            "basilpost_answers",
            "Answers to callers by service, status and outcome.",
            ("service", "status", "outcome"),
            registry=registry,
        )
        self.first_byte = prometheus_client.Histogram(
            "basilpost_first_byte_seconds",
            "Time from a request's arrival to the first byte of its answer.",
            ("service",),
            buckets=_FIRST_BYTE_BUCKETS_SECONDS,
            registry=registry,
        )
        self.events = prometheus_client.Counter(
            "basilpost_relayed_events", "Events relayed to callers.", registry=registry
        )
        self.dispatches = prometheus_client.Counter(
            "basilpost_dispatches",
            "Dispatches to targets by result.",
            ("service", "result"),
            registry=registry,
        )
        self.in_flight = prometheus_client.Gauge(
            "basilpost_requests_in_flight", "Requests held by this node.", registry=registry
        )
        self.body_bytes = prometheus_client.Gauge(
            "basilpost_body_bytes", "Bytes of request bodies held by this node.", registry=registry
        )
