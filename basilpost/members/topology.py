"""Which nodes connect to each other and which ones watch the store, computed alike on every node.

A full mesh costs each node one stream for each other node, so that it ends at a set size. Beyond
it each node opens a fixed number of streams: half inside its region, where changes are cheapest to
spread, the rest anywhere, which keeps the whole graph connected with a diameter of a few hops.
"""

import itertools
from collections.abc import Iterable, Mapping

from basilpost.core import hashing
from basilpost.settings import schema


def neighbours(
    node_id: str, regions_by_id: Mapping[str, str], settings: schema.PeerStreams
) -> frozenset[str]:
    """Returns the nodes that this one opens lasting streams to."""
    others = [other for other in regions_by_id if other != node_id]
    if len(others) < settings.full_mesh_nodes:
        return frozenset(others)
    region = regions_by_id.get(node_id, "")
    watching = watchers(regions_by_id, settings)
    count = settings.neighbours
    ordered = hashing.rendezvous_order(node_id, others)
    near = [other for other in ordered if regions_by_id[other] == region]
    source = [other for other in near if other in watching]
    chosen = dict.fromkeys(itertools.chain(source[:1], near[: count // 2], ordered))
    return frozenset(itertools.islice(chosen, count))


def watchers(regions_by_id: Mapping[str, str], settings: schema.PeerStreams) -> frozenset[str]:
    """Returns the nodes that hold watches on the store; the others learn from their peers."""
    if len(regions_by_id) <= settings.full_mesh_nodes:
        return frozenset(regions_by_id)
    return frozenset(
        itertools.chain.from_iterable(
            _region_watchers(
                region, (one for one in regions_by_id if regions_by_id[one] == region), settings
            )
            for region in set(regions_by_id.values())
        )
    )


def _region_watchers(
    region: str, node_ids: Iterable[str], settings: schema.PeerStreams
) -> list[str]:
    candidates = list(node_ids)
    count = max(settings.min_watchers, len(candidates) // settings.nodes_per_watcher)
    return hashing.rendezvous_order(f"watch/{region}", candidates)[:count]
