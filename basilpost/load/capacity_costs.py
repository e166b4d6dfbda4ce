"""Collects the costs of all roles of a node at a fleet's size."""

from basilpost.load import capacity_control, capacity_targets
from basilpost.load import capacity_model as model
from basilpost.settings import schema

Resource = model.Resource

_STORE_CALLS_PER_FILING = 2


def all_costs(fleet: model.Fleet, timing: schema.Timing) -> list[model.Cost]:
    """Returns the costs of all roles."""
    return [
        *_gateway_costs(fleet),
        *capacity_control.peer_fabric_costs(fleet, timing),
        *capacity_targets.controller_costs(fleet, timing),
        *capacity_targets.credit_costs(fleet, timing),
        *_ledger_costs(fleet),
        *capacity_targets.probing_costs(fleet, timing),
        *_administration_costs(fleet),
        *capacity_control.configuration_costs(fleet, timing),
    ]


def _gateway_costs(fleet: model.Fleet) -> list[model.Cost]:
    tokens = fleet.tokens_per_second / fleet.nodes
    requests = fleet.requests_per_second / fleet.nodes
    streams = requests * fleet.stream_seconds
    return [
        model.Cost(
            role="gateway",
            resource=Resource.CPU,
            work="tokens relayed",
            amount=tokens,
            amount_text=f"{tokens:,.0f} tokens/s",
            slope="gateway.cpu_by_tokens",
            scale=model.CPU_SCALE,
            mechanism="events pass as bytes, cut at their ends only",
        ),
        model.Cost(
            role="gateway",
            resource=Resource.CPU,
            work="requests",
            amount=requests,
            amount_text=f"{requests:.1f} requests/s",
            slope="gateway.cpu_by_requests",
            scale=model.CPU_SCALE,
            mechanism="a connection for each request",
        ),
        model.Cost(
            role="gateway",
            resource=Resource.MEMORY,
            work="streams in flight",
            amount=streams,
            amount_text=f"{streams:.0f} streams of {fleet.stream_seconds:.0f} s",
            slope="gateway.memory_by_streams",
            scale=model.MEGA,
            mechanism="nothing is kept of what has been sent",
        ),
    ]


def _ledger_costs(fleet: model.Fleet) -> list[model.Cost]:
    filings = fleet.requests_per_second * fleet.filing_share
    writes = filings * _STORE_CALLS_PER_FILING
    return [
        model.Cost(
            role="ledger",
            resource=Resource.WRITES,
            work="claims and answers",
            amount=writes,
            amount_text=f"{filings:.0f} filings/s ({fleet.filing_share:.0%} of requests) x 2",
            mechanism="hashed buckets; changes of a bucket share a write",
        ),
        model.Cost(
            role="ledger",
            resource=Resource.READS,
            work="buckets that the node has not cached",
            amount=filings,
            amount_text=f"{filings:.0f} filings/s",
            mechanism="a read before the first write of a bucket",
        ),
        model.Cost(
            role="ledger",
            resource=Resource.CPU,
            work="store calls of a node",
            amount=(writes + filings) / fleet.nodes,
            amount_text=f"{(writes + filings) / fleet.nodes:.2f} calls/s",
            slope="store.cpu_by_writes",
            scale=model.CPU_SCALE,
            mechanism="a connection for each call",
        ),
    ]


def _administration_costs(fleet: model.Fleet) -> list[model.Cost]:
    changes = fleet.changes_per_day / model.DAY_SECONDS
    text = f"{fleet.changes_per_day:,.0f} changes/day"
    return [
        model.Cost(
            role="administration",
            resource=resource,
            work="changes of configuration",
            amount=changes,
            amount_text=text,
            mechanism="the audit entry is part of the same write",
        )
        for resource in (Resource.WRITES, Resource.READS)
    ]
