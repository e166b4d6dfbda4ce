"""Figures and choices for a service that depend on its groups in all fabric domains.

Every controller computes them from its own replica of all tables, which may lag. That is safe,
since they only decide which of several safe changes comes first.
"""

import itertools
from collections.abc import Iterable, Mapping

from basilpost.core import data
from basilpost.groups import lifecycle

_STATES_BEST_FIRST = (
    data.GroupState.READY,
    data.GroupState.COLD,
    data.GroupState.LOADING,
    data.GroupState.FORMING,
    data.GroupState.DRAINING,
    data.GroupState.BROKEN,
)
_CHANGING_STATES = frozenset(
    {data.GroupState.FORMING, data.GroupState.LOADING, data.GroupState.DRAINING}
)


def groups_by_service(tables: Iterable[data.FabricTable]) -> dict[str, list[data.Group]]:
    """Returns all groups by service, the most useful state first, then by fabric domain and id."""
    groups = sorted(
        itertools.chain.from_iterable(table.groups for table in tables),
        key=lambda group: (
            group.service,
            _STATES_BEST_FIRST.index(group.state),
            group.fabric_domain,
            group.group_id,
        ),
    )
    return {
        service: list(found)
        for service, found in itertools.groupby(groups, key=lambda group: group.service)
    }


def unserved_shares(
    by_service: Mapping[str, list[data.Group]], services: Iterable[data.Service]
) -> dict[str, float]:
    """Returns the share of each service's groups that does not serve; 1.0 without groups."""
    return {
        service.name: _unserved_share(service, by_service.get(service.name, []))
        for service in services
    }


def _unserved_share(service: data.Service, groups: list[data.Group]) -> float:
    wanted = max(len(groups), service.max_groups)
    serving = sum(group.serving for group in groups)
    return 1.0 - serving / wanted if wanted else 1.0


def surplus_ids(
    by_service: Mapping[str, list[data.Group]], services: Iterable[data.Service]
) -> frozenset[str]:
    """Returns the ids of the groups above their service's limit, the least useful ones."""
    return frozenset(
        group.group_id
        for service in services
        if service.max_groups
        for group in by_service.get(service.name, [])[service.max_groups :]
    )


def rolling_update_ids(
    by_service: Mapping[str, list[data.Group]], services: Mapping[str, data.Service]
) -> frozenset[str]:
    """Returns the ids of the groups that may be taken down now for a new model version.

    At most one group of a service is taken down at a time, over all fabric domains.
    """
    chosen = (
        _next_to_update(services[name], groups)
        for name, groups in by_service.items()
        if name in services
    )
    return frozenset(group.group_id for group in chosen if group is not None)


def _next_to_update(service: data.Service, groups: list[data.Group]) -> data.Group | None:
    serving = [group for group in groups if group.serving]
    old = [group for group in serving if lifecycle.is_outdated(service, group)]
    if not old or any(group.state in _CHANGING_STATES for group in groups):
        return None
    cold = [group for group in serving if group.state is data.GroupState.COLD]
    if any(group not in old for group in cold):
        return None
    return min(old, key=lambda group: (group not in cold, group.fabric_domain, group.group_id))
