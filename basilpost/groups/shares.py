"""Divides a target's limit among nodes by rules that give the same result on every node."""

from basilpost.core import hashing


def static_share(group_id: str, node_id: str, live: tuple[str, ...], limit: int) -> int:
    """Returns a node's fixed share of a limit; the shares of all live nodes never exceed the limit.

    With more nodes than slots, a subset of the nodes, chosen by hash, gets one slot each.
    """
    if node_id not in live:
        return 0
    each, remainder = divmod(limit, len(live))
    if each > 0:
        return each
    return int(node_id in hashing.rendezvous_order(group_id, live)[:remainder])


def base_limit(max_in_flight: int) -> int:
    """Returns the part of a warm target's limit that nodes may use without credits."""
    return max_in_flight // 2


def base_total(live_count: int, limit: int) -> int:
    """Returns the sum of all live nodes' static shares of a limit."""
    return limit - limit % live_count if 0 < live_count <= limit else limit


def fair_share(
    group_id: str, node_id: str, wanted_by_node: dict[str, int], limit: int, epoch: int
) -> int:
    """Returns a node's share of a limit, in proportion to what the nodes want.

    If the limit covers all wants, that is what the node wants. Slots that remain after division go
    to nodes chosen by a hash that changes with each epoch, so that every node is served in turn
    when there are more nodes than slots.
    """
    total = sum(wanted_by_node.values())
    if total <= limit:
        return wanted_by_node[node_id]
    floors = {node: limit * wanted // total for node, wanted in wanted_by_node.items()}
    remainder = limit - sum(floors.values())
    favoured = hashing.rendezvous_order(f"{group_id} {epoch}", wanted_by_node)[:remainder]
    return floors[node_id] + int(node_id in favoured)
