"""The targets of a service in tiers of equal distance from one failure domain."""

import bisect
import dataclasses
import functools
from collections.abc import Iterator

import xxhash

from basilpost.core import data

# Points that each target has on the hash ring.
POINTS_PER_GROUP = 16


@dataclasses.dataclass(kw_only=True, eq=False)
class Tier:
    """Targets at the same distance, with a consistent hash ring over them.

    A ring finds a prefix's target in logarithmic time; a rendezvous hash would look at every
    target for each request.
    """

    groups: tuple[data.Group, ...]

    @functools.cached_property
    def _ring(self) -> tuple[list[int], list[data.Group]]:
        points = sorted(
            (point, index)
            for index, group in enumerate(self.groups)
            for point in _points(group.group_id)
        )
        return [point for point, _ in points], [self.groups[index] for _, index in points]

    def walk(self, affinity: str) -> Iterator[data.Group]:
        """Iterates over the targets in ring order, from the position of a hash key, each once."""
        points, owners = self._ring
        first = bisect.bisect_left(points, xxhash.xxh3_64_intdigest(affinity.encode()))
        seen: set[str] = set()
        for step in range(len(owners)):
            group = owners[(first + step) % len(owners)]
            if group.group_id not in seen:
                seen.add(group.group_id)
                yield group


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tiers:
    """All targets of a service that may be chosen.

    Attributes:
        groups: The targets in no particular order.
        by_distance: The same targets in tiers, the nearest tier first.
    """

    groups: tuple[data.Group, ...]
    by_distance: tuple[Tier, ...]

    @functools.cached_property
    def groups_by_id(self) -> dict[str, data.Group]:
        """Returns the targets by group id."""
        return {group.group_id: group for group in self.groups}


def build(
    service: data.Service,
    groups: tuple[data.Group, ...],
    config: data.Config,
    failure_domain: str,
) -> Tiers:
    """Builds the tiers of the complete, serving targets whose failure domain is in service.

    Args:
        service: Configuration of the service that the targets serve.
        groups: All its groups.
        config: The configuration in force.
        failure_domain: Where distances are measured from.
    """
    eligible = tuple(
        group
        for group in groups
        if group.serving
        and len(group.members) == service.vms_per_group
        and config.in_service(group.failure_domain)
    )
    distances = [_distance(group, config, failure_domain) for group in eligible]
    by_distance = tuple(
        Tier(
            groups=tuple(
                group for group, at in zip(eligible, distances, strict=True) if at == distance
            )
        )
        for distance in sorted(set(distances))
    )
    return Tiers(groups=eligible, by_distance=by_distance)


def _distance(group: data.Group, config: data.Config, failure_domain: str) -> int:
    """Returns 0 for the same failure domain, 1 for the same region, 2 for any other."""
    if group.failure_domain == failure_domain:
        return 0
    return 1 if _region(group.failure_domain, config) == _region(failure_domain, config) else 2


def _region(failure_domain: str, config: data.Config) -> str:
    configured = config.failure_domains_by_name.get(failure_domain)
    return configured.region if configured else ""


@functools.lru_cache(maxsize=8192)
def _points(group_id: str) -> tuple[int, ...]:
    return tuple(
        xxhash.xxh3_64_intdigest(f"{group_id}\0{number}".encode())
        for number in range(POINTS_PER_GROUP)
    )
