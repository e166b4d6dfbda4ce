"""What the work between nodes, and between nodes and the store, costs.

The amounts follow the protocols as they are built: where a package computes an interval or a number
of nodes from the size of the fleet, its own function is asked.
"""

from basilpost.load import capacity_model as model
from basilpost.members import lease, store_follower, store_replica, topology
from basilpost.settings import schema

Resource = model.Resource

_PREFIXES = 4


def renewals_per_second(fleet: model.Fleet, timing: schema.Timing) -> float:
    """Returns the lease renewals of all nodes a second."""
    return fleet.nodes / lease.renewal_seconds(timing, nodes=fleet.nodes)


def watchers(fleet: model.Fleet) -> int:
    """Returns the nodes that hold watches on the store."""
    regions = (f"region-{number % fleet.regions}" for number in range(fleet.nodes))
    regions_by_id = {f"node-{number}": region for number, region in enumerate(regions)}
    limit = schema.PeerStreams().full_mesh_nodes
    return len(topology.watchers(regions_by_id, schema.PeerStreams(full_mesh_nodes=limit)))


def peer_fabric(fleet: model.Fleet, timing: schema.Timing) -> list[model.Cost]:
    """Returns the costs of the role."""
    streams = 2 * fleet.neighbours
    beats = streams / timing.heartbeat
    renewals = renewals_per_second(fleet, timing)
    return [
        model.Cost(
            role="peer fabric",
            resource=Resource.CPU,
            what="heartbeats, questions and answers",
            amount=beats,
            amount_text=f"{streams} streams / {timing.heartbeat:g} s",
            slope="peers.heartbeat_cpu",
            scale=model.CPU_SCALE,
            mechanism="a fixed number of neighbours",
        ),
        model.Cost(
            role="peer fabric",
            resource=Resource.NETWORK,
            what="heartbeats, questions and answers",
            amount=2 * beats,
            amount_text=f"both ways on {streams} streams / {timing.heartbeat:g} s",
            slope="peers.heartbeat_bytes",
            scale=model.KILO,
            mechanism="a fixed number of neighbours",
        ),
        model.Cost(
            role="peer fabric",
            resource=Resource.NETWORK,
            what="renewed leases, seen by watches",
            amount=1.0,
            each=renewals,
            amount_text=f"{renewals:.0f} renewals/s",
            slope="state.watched_record_bytes",
            scale=model.KILO,
            node_share=watchers(fleet) / fleet.nodes,
            mechanism="not spread between nodes; a few nodes of each region watch",
        ),
        model.Cost(
            role="peer fabric",
            resource=Resource.WRITES,
            what="renewed leases",
            amount=renewals,
            amount_text=f"{fleet.nodes} nodes / {fleet.nodes / renewals:.1f} s",
            mechanism="the interval grows with the fleet, so that the rate does not",
        ),
    ]


def configuration(fleet: model.Fleet, timing: schema.Timing) -> list[model.Cost]:
    """Returns the costs of the role."""
    watching = watchers(fleet)
    wait = min(timing.watch_wait, timing.store_silence * store_replica.WATCH_SHARE_OF_SILENCE)
    quiet = (_PREFIXES - 1) / (wait + store_follower.MIN_GAP_SECONDS)
    busy = 1 / (store_follower.MIN_GAP_SECONDS + 1 / renewals_per_second(fleet, timing))
    polls = (fleet.nodes - watching) * _PREFIXES / store_replica.POLL_SECONDS
    changes = fleet.changes_per_day / model.DAY_SECONDS
    copies = 2 * changes * (2 * fleet.neighbours - 1)
    return [
        model.Cost(
            role="configuration",
            resource=Resource.READS,
            what="watches",
            amount=watching * (quiet + busy),
            amount_text=f"{watching} nodes x ({quiet:.1f} + {busy:.1f} for leases)/s",
            mechanism="a few nodes of each region watch, the others learn from peers",
        ),
        model.Cost(
            role="configuration",
            resource=Resource.READS,
            what="polls of the other nodes",
            amount=polls,
            amount_text=(
                f"{fleet.nodes - watching} nodes x {_PREFIXES} prefixes / "
                f"{store_replica.POLL_SECONDS:.0f} s"
            ),
            mechanism="a check on what peers tell",
        ),
        model.Cost(
            role="configuration",
            resource=Resource.CPU,
            what="store calls of a watching node",
            amount=quiet + busy,
            amount_text=f"{quiet + busy:.1f} calls/s",
            slope="store.cpu_by_reads",
            scale=model.CPU_SCALE,
            node_share=watching / fleet.nodes,
            mechanism="connections of reads are kept",
        ),
        model.Cost(
            role="configuration",
            resource=Resource.NETWORK,
            what="changes, sent and received",
            amount=copies,
            amount_text=f"{changes:.3f}/s x {2 * fleet.neighbours - 1} streams x 2",
            slope="",
            scale=fleet.object_bytes * model.KILO,
            mechanism="each node passes a change on once",
        ),
        model.Cost(
            role="configuration",
            resource=Resource.MEMORY,
            what="objects, raw and decoded",
            amount=fleet.config_objects,
            amount_text=f"{fleet.config_objects:,} objects",
            slope="state.memory_by_objects",
            scale=model.MEGA,
            mechanism="every node holds all of it",
        ),
    ]
