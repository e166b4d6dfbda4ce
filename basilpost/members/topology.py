"""Choice of the nodes that connect to each other and of those that watch the store.

Every node computes the same choice. A full mesh costs each node one stream per other node, so it is
used up to a configured fleet size. Beyond it each node opens a fixed number of streams: most of
them inside its region, where sending changes is cheapest, the rest to any nodes, which keeps the
whole graph connected with a diameter of a few hops.
"""

import itertools
from collections.abc import Iterable, Mapping

from basilpost.core import hashing
from basilpost.settings import schema


def neighbours(
    node_id: str, regions_by_id: Mapping[str, str], settings: schema.PeerStreams
) -> frozenset[str]:
    """Returns the nodes to which this one opens lasting streams.

    Beyond the full mesh one of them is a watcher of the same region, if there is one.
    """
    others = [other for other in regions_by_id if other != node_id]
    if len(others) < settings.full_mesh_nodes:
        return frozenset(others)
    region = regions_by_id.get(node_id, "")
    watcher_ids = watchers(regions_by_id, settings)
    count = settings.neighbours
    ordered = hashing.rendezvous_order(node_id, others)
    nearby = [other for other in ordered if regions_by_id[other] == region]
    nearby_watchers = [other for other in nearby if other in watcher_ids]
    near_count = count - far_count(settings)
    near = dict.fromkeys(itertools.chain(nearby_watchers[:1], nearby))
    near_ids = list(itertools.islice(near, near_count))
    # Few other neighbours have to be of other regions; many are so anyway.
    far = [other for other in ordered if regions_by_id[other] != region]
    first = far if has_few_far_neighbours(settings) else ordered
    chosen = dict.fromkeys(itertools.chain(near_ids, first, ordered))
    return frozenset(itertools.islice(chosen, count))


def far_count(settings: schema.PeerStreams) -> int:
    """Returns how many of a node's neighbours may be of any region."""
    half = settings.neighbours - settings.neighbours // 2
    return half if settings.far_neighbours is None else settings.far_neighbours


def has_few_far_neighbours(settings: schema.PeerStreams) -> bool:
    """Returns True if most neighbours are of the node's own region."""
    return 2 * far_count(settings) < settings.neighbours


def watchers(regions_by_id: Mapping[str, str], settings: schema.PeerStreams) -> frozenset[str]:
    """Returns the nodes that watch the store; the others get changes from their peers."""
    if len(regions_by_id) <= settings.full_mesh_nodes:
        return frozenset(regions_by_id)
    return frozenset(
        itertools.chain.from_iterable(
            _region_watchers(
                region, (node for node in regions_by_id if regions_by_id[node] == region), settings
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
