"""Divides a target's limit among nodes, by arithmetic that every node computes alike."""

from basilpost.core import hashing


def static_share(group_id: str, node_id: str, live: tuple[str, ...], limit: int) -> int:
    """Returns a node's fixed part of a limit; all live nodes' parts together never exceed it.

    With more nodes than slots, a subset chosen by hash gets one slot each.
    """
    if node_id not in live:
        return 0
    each, rest = divmod(limit, len(live))
    if each > 0:
        return each
    return int(node_id in hashing.rendezvous_order(group_id, live)[:rest])


def base_limit(max_in_flight: int) -> int:
    """Returns the part of a warm target's limit that nodes use without credits."""
    return max_in_flight // 2


def base_total(live: int, limit: int) -> int:
    """Returns the sum of all live nodes' static shares of a limit."""
    return limit - limit % live if 0 < live <= limit else limit


def fair_share(
    group_id: str, node_id: str, wanted_by_node: dict[str, int], limit: int, epoch: int
) -> int:
    """Returns a node's part of a limit that is less than all nodes want together.

    Parts follow the wants. What division leaves over goes to nodes chosen by a hash that changes with
    each epoch, so that every node gets its turn when there are more nodes than slots.
    """
    total = sum(wanted_by_node.values())
    if total <= limit:
        return wanted_by_node[node_id]
    floors = {node: limit * wanted // total for node, wanted in wanted_by_node.items()}
    rest = limit - sum(floors.values())
    turn = hashing.rendezvous_order(f"{group_id} {epoch}", wanted_by_node)[:rest]
    return floors[node_id] + int(node_id in turn)
