"""Costs of the traffic between nodes, and between nodes and the store.

Where a package computes an interval or a number of nodes from the size of the fleet, its own
function is called, so that the amounts follow the protocols as implemented.
"""

from basilpost.load import capacity_model as model
from basilpost.members import lease, store_follower, store_replica, topology
from basilpost.settings import schema

Resource = model.Resource

_WATCHED_PREFIXES = 4


def renewals_per_second(fleet: model.Fleet, timing: schema.Timing) -> float:
    """Returns the lease renewals a second of all nodes together."""
    return fleet.nodes / lease.renewal_seconds(timing, nodes=fleet.nodes)


def watching_nodes(fleet: model.Fleet) -> int:
    """Returns the number of nodes that hold watches on the store."""
    region_names = (f"region-{number % fleet.regions}" for number in range(fleet.nodes))
    regions_by_id = {f"node-{number}": region for number, region in enumerate(region_names)}
    full_mesh_nodes = schema.PeerStreams().full_mesh_nodes
    return len(
        topology.watchers(regions_by_id, schema.PeerStreams(full_mesh_nodes=full_mesh_nodes))
    )


def peer_fabric_costs(fleet: model.Fleet, timing: schema.Timing) -> list[model.Cost]:
    """Returns the costs of heartbeats, freshness messages and leases."""
    streams = 2 * fleet.neighbours
    heartbeats = streams / timing.heartbeat
    renewals = renewals_per_second(fleet, timing)
    return [
        model.Cost(
            role="peer fabric",
            resource=Resource.CPU,
            work="heartbeats, questions and answers",
            amount=heartbeats,
            amount_text=f"{streams} streams / {timing.heartbeat:g} s",
            slope="peers.heartbeat_cpu",
            scale=model.CPU_SCALE,
            mechanism="a fixed number of neighbours",
        ),
        model.Cost(
            role="peer fabric",
            resource=Resource.NETWORK,
            work="heartbeats, questions and answers",
            amount=2 * heartbeats,
            amount_text=f"both ways on {streams} streams / {timing.heartbeat:g} s",
            slope="peers.heartbeat_bytes",
            scale=model.KILO,
            mechanism="a fixed number of neighbours",
        ),
        model.Cost(
            role="peer fabric",
            resource=Resource.NETWORK,
            work="renewed leases, seen by watches",
            amount=1.0,
            unit_size=renewals,
            amount_text=f"{renewals:.0f} renewals/s",
            slope="state.watched_record_bytes",
            scale=model.KILO,
            node_share=watching_nodes(fleet) / fleet.nodes,
            mechanism="not spread between nodes; a few nodes of each region watch",
        ),
        model.Cost(
            role="peer fabric",
            resource=Resource.WRITES,
            work="renewed leases",
            amount=renewals,
            amount_text=f"{fleet.nodes} nodes / {fleet.nodes / renewals:.1f} s",
            mechanism="the interval grows with the fleet, so that the rate does not",
        ),
    ]


def configuration_costs(fleet: model.Fleet, timing: schema.Timing) -> list[model.Cost]:
    """Returns the costs of watching, polling, spreading and keeping the configuration."""
    watching_count = watching_nodes(fleet)
    watch_seconds = min(
        timing.watch_wait, timing.store_silence * store_replica.WATCH_SHARE_OF_SILENCE
    )
    idle_watch_calls = (_WATCHED_PREFIXES - 1) / (watch_seconds + store_follower.MIN_GAP_SECONDS)
    lease_watch_calls = 1 / (
        store_follower.MIN_GAP_SECONDS + 1 / renewals_per_second(fleet, timing)
    )
    polls = (fleet.nodes - watching_count) * _WATCHED_PREFIXES / store_replica.POLL_SECONDS
    changes = fleet.changes_per_day / model.DAY_SECONDS
    transfers = 2 * changes * (2 * fleet.neighbours - 1)
    return [
        model.Cost(
            role="configuration",
            resource=Resource.READS,
            work="watches",
            amount=watching_count * (idle_watch_calls + lease_watch_calls),
            amount_text=(
                f"{watching_count} nodes x "
                f"({idle_watch_calls:.1f} + {lease_watch_calls:.1f} for leases)/s"
            ),
            mechanism="a few nodes of each region watch, the others learn from peers",
        ),
        model.Cost(
            role="configuration",
            resource=Resource.READS,
            work="polls of the other nodes",
            amount=polls,
            amount_text=(
                f"{fleet.nodes - watching_count} nodes x {_WATCHED_PREFIXES} prefixes / "
                f"{store_replica.POLL_SECONDS:.0f} s"
            ),
            mechanism="a check on what peers tell",
        ),
        model.Cost(
            role="configuration",
            resource=Resource.CPU,
            work="store calls of a watching node",
            amount=idle_watch_calls + lease_watch_calls,
            amount_text=f"{idle_watch_calls + lease_watch_calls:.1f} calls/s",
            slope="store.cpu_by_reads",
            scale=model.CPU_SCALE,
            node_share=watching_count / fleet.nodes,
            mechanism="connections of reads are kept",
        ),
        model.Cost(
            role="configuration",
            resource=Resource.NETWORK,
            work="changes, sent and received",
            amount=transfers,
            amount_text=f"{changes:.3f}/s x {2 * fleet.neighbours - 1} streams x 2",
            slope="",
            scale=fleet.object_bytes * model.KILO,
            mechanism="each node passes a change on once",
        ),
        model.Cost(
            role="configuration",
            resource=Resource.MEMORY,
            work="objects, raw and decoded",
            amount=fleet.config_objects,
            amount_text=f"{fleet.config_objects:,} objects",
            slope="state.memory_by_objects",
            scale=model.MEGA,
            mechanism="every node holds all of it",
        ),
    ]
