"""The metrics of load control."""

import prometheus_client


class LoadMetrics:
    """What operators see of waiting and admission."""

    def __init__(self, *, registry: prometheus_client.CollectorRegistry) -> None:
        self.arrivals = prometheus_client.Counter(
            "basilpost_rank_arrivals_total",
            "Requests by model, rank, how often their callers had asked, and decision",
            ["model", "rank", "arrival", "decision"],
            registry=registry,
        )
        self.waiting = prometheus_client.Gauge(
            "basilpost_requests_waiting",
            "Requests that wait for room at this node",
            ["service", "model"],
            registry=registry,
        )
        self._wanted = prometheus_client.Gauge(
            "basilpost_rank_wanted_work",
            "Work that callers of all nodes want, in targets, by model and rank",
            ["model", "rank"],
            registry=registry,
        )
        self._admitted = prometheus_client.Gauge(
            "basilpost_rank_admitted_share",
            "Share of the new requests that is admitted, by model and rank",
            ["model", "rank"],
            registry=registry,
        )
        self._capacity = prometheus_client.Gauge(
            "basilpost_model_targets",
            "Targets that process requests, by model",
            ["model"],
            registry=registry,
        )

    def show(
        self,
        model: str,
        wanted_by_rank: dict[int, float],
        share_by_rank: dict[int, float],
        capacity: float,
    ) -> None:
        """Shows the demand, the room and the admitted shares of a model."""
        self._capacity.labels(model).set(capacity)
        for rank, wanted in wanted_by_rank.items():
            self._wanted.labels(model, str(rank)).set(wanted)
            self._admitted.labels(model, str(rank)).set(share_by_rank.get(rank, 1.0))
