"""Metrics of the peer streams."""

import prometheus_client


class Metrics:
    """Bytes sent and received, open streams, and closed streams by cause."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        bytes_total = prometheus_client.Counter(
            "basilpost_peer_bytes_total", "Bytes on peer streams", ["direction"], registry=registry
        )
        self.bytes_sent = bytes_total.labels("sent")
        self.bytes_received = bytes_total.labels("received")
        self.streams = prometheus_client.Gauge(
            "basilpost_peer_streams", "Open peer streams", registry=registry
        )
        self.closed = prometheus_client.Counter(
            "basilpost_peer_streams_closed_total",
            "Peer streams that ended or were refused",
            ["cause"],
            registry=registry,
        )
