"""Calculates the load of storms, events that hit many parts of a fleet at once."""

from collections.abc import Mapping

from basilpost.load import capacity_control, capacity_targets, fit
from basilpost.load import capacity_model as model
from basilpost.load.capacity_page import number
from basilpost.settings import schema

# A row of the page: the event, what changes at once, the cost, and the mechanism that bounds it.
Storm = tuple[str, str, str, str]
Fits = Mapping[str, fit.Fit | fit.TooFewSizes]

_TABLE_WRITES_TO_MARK_BROKEN = 1
_STARTUP_CALLS_PER_NODE = 9
_TABLE_SPREAD_SECONDS = 19.0


def all_storms(
    fleet: model.Fleet, timing: schema.Timing, limits: model.Limits, fits: Fits
) -> list[Storm]:
    """Returns the rows of all storms."""
    return [
        _failure_domain_lost(fleet, limits, fits),
        _store_silent(fleet, timing, limits, fits),
        _store_recovers(fleet, timing, limits),
        _region_cut_off(fleet, timing),
        _rack_lost(fleet, limits),
    ]


def _failure_domain_lost(fleet: model.Fleet, limits: model.Limits, fits: Fits) -> Storm:
    domains = fleet.fabric_domains / fleet.failure_domains
    nodes = fleet.nodes / fleet.failure_domains
    streams = fleet.requests_per_second * fleet.stream_seconds / fleet.failure_domains
    writes = domains * (_TABLE_WRITES_TO_MARK_BROKEN + 1)
    remaining_nodes = fleet.nodes - nodes
    changed_bytes = domains * _value_at(
        fits, "state.table_bytes_by_groups", fleet.targets / fleet.fabric_domains
    )
    network_kb = 2 * (2 * fleet.neighbours - 1) * changed_bytes / _TABLE_SPREAD_SECONDS / 1000
    tokens = fleet.tokens_per_second / remaining_nodes
    return (
        f"one of {fleet.failure_domains} failure domains is lost",
        f"{fleet.runners // fleet.failure_domains} runners, "
        f"{fleet.groups // fleet.failure_domains} groups, {nodes:.0f} nodes, "
        f"{domains:.0f} controllers, about {streams:,.0f} streams",
        f"{writes:.0f} writes ({writes / limits.store_writes:.2f} s of the API's rate): a takeover "
        f"and a table for each domain; tables spread at {number(network_kb)} KB/s a node over "
        f"{_TABLE_SPREAD_SECONDS:.0f} s; {tokens:,.0f} tokens/s on each node left; "
        f"the streams resume within the retry budget, the others end with an error event",
        "one write covers all groups of a domain; other nodes hold its controllers by hash",
    )


def _store_silent(
    fleet: model.Fleet, timing: schema.Timing, limits: model.Limits, fits: Fits
) -> Storm:
    answers = 2 * 2 * fleet.neighbours / timing.heartbeat
    network_kb = answers * _value_at(fits, "peers.told_bytes", fleet.nodes) / 1000
    verdict = "carried" if network_kb <= limits.network else "**not carried**"
    return (
        "the store is silent",
        f"no lease is renewed; each of {fleet.nodes} nodes tells its neighbours whom it reaches",
        f"{number(network_kb)} KB/s a node for that against {number(limits.network)}: {verdict}",
        "nodes count a majority of the last known table by what neighbours reach; groups serve on, "
        "filings are refused as not run",
    )


def _store_recovers(fleet: model.Fleet, timing: schema.Timing, limits: model.Limits) -> Storm:
    platform = schema.Platform(object_api="", vm_list="")
    calls = fleet.nodes * _STARTUP_CALLS_PER_NODE
    seconds = calls / (limits.store_reads + limits.store_writes)
    allowed = fleet.nodes * platform.calls_per_second
    api = limits.store_reads + limits.store_writes
    burst = fleet.nodes * platform.calls_burst
    verdict = "carried" if allowed <= api else "**not carried by the budget alone**"
    return (
        "the store answers again after an outage, all nodes return",
        f"{fleet.nodes} nodes make about {_STARTUP_CALLS_PER_NODE} calls each: "
        "leases, listings, watches",
        f"{calls:,} calls, {seconds:.1f} s of the API's rate; the nodes' budgets let {allowed:,.0f} "
        f"calls/s through, {burst:,.0f} at once, against {api:,.0f}: {verdict}",
        "retries with jitter, safety calls first; beyond "
        f"{int(api / platform.calls_per_second)} nodes `platform.calls_per_second` must be set to "
        f"{api / fleet.nodes:.1f}",
    )


def _region_cut_off(fleet: model.Fleet, timing: schema.Timing) -> Storm:
    nodes = fleet.nodes / fleet.regions
    majority = fleet.nodes // 2 + 1
    domains = fleet.fabric_domains / fleet.regions
    renewals = capacity_control.renewals_per_second(fleet, timing)
    return (
        f"one of {fleet.regions} regions is cut off for minutes",
        f"{nodes:.0f} nodes lose the store and the others; {fleet.nodes - nodes:.0f} of "
        f"{fleet.nodes} remain, a majority is {majority}",
        f"the {nodes:.0f} nodes stop taking work within {timing.isolation:g} s; the rest takes over "
        f"{domains:.0f} fabric domains that it cannot reach, with {domains:.0f} writes; their "
        f"{fleet.groups // fleet.regions} groups serve nobody meanwhile; on return "
        f"{nodes:.0f} leases are written at {renewals:.0f}/s, {nodes / renewals:.1f} s",
        "strict majority of the node table; a fenced takeover changes nothing on targets that "
        "nobody reaches",
    )


def _rack_lost(fleet: model.Fleet, limits: model.Limits) -> Storm:
    groups = fleet.vms_per_fabric_domain // fleet.vms_per_group
    streams = fleet.requests_per_second * fleet.stream_seconds * groups / fleet.groups
    writes = capacity_targets.table_writes_per_second(fleet)
    return (
        f"a rack of {groups} groups of {fleet.vms_per_group} VMs is gone",
        f"{fleet.vms_per_fabric_domain} VMs, one fabric domain, about {streams:,.0f} streams",
        f"one table write, against {number(writes)} writes/s of an ordinary day; "
        f"{groups / fleet.groups:.1%} of capacity; {streams:,.0f} resumed streams are "
        f"{streams / fleet.requests_per_second:.1%} of one second's requests",
        "all groups of the domain break in one update; no spare outside the fabric domain is taken",
    )


def _value_at(fits: Fits, slope: str, size: float) -> float:
    line = fits.get(slope)
    return line.at(size) if isinstance(line, fit.Fit) else 0.0
