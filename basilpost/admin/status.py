"""Queries the live nodes and combines their answers into the state of the system."""

import asyncio
import dataclasses
import math
from collections.abc import Iterable
from typing import Any

from basilpost.core import clock, data, hashing, kernel, names
from basilpost.members import directory, peers, replica, standing

_MAX_CONCURRENT_QUERIES = 64
_QUERY_TIMEOUT_SECONDS = 1.0
# Time for the queries to all nodes together.
_QUERY_ROUND_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionQuery:
    """Asks a node which version of an object it has in force."""

    key: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionAnswer:
    """The version in force on a node, 0 if it knows none."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatusQuery:
    """Asks a node for its own state."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeView:
    """A node's own state.

    Attributes:
        node_id: Id of the node that is described.
        reached: False if it did not answer.
        serving: True if it accepts new requests.
        detail: Why it does not accept new requests, or did not answer.
        store_contact_age: Seconds since the store last answered this node, None if never.
        config_digest: Digest of the versions of all configuration objects in force.
        config_version: Highest configuration version in force.
    """

    node_id: str
    reached: bool = True
    serving: bool = False
    detail: str = ""
    store_contact_age: float | None = None
    config_digest: str = ""
    config_version: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupView:
    """Summary of a group."""

    group_id: str
    service: str
    state: str
    generation: int
    model_version: str
    fabric_domain: str
    failure_domain: str
    vms: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailureDomainView:
    """A failure domain and the number of groups in it."""

    name: str
    region: str
    in_service: bool
    groups: int
    serving_groups: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatusView:
    """The state of the system as seen from one node.

    Attributes:
        node_id: The node that answers.
        nodes: All live nodes, and disconnected nodes that still have a record in the store.
        same_configuration: True if all live nodes answered and have the same versions in force.
        failure_domains: All known failure domains.
        groups: All known groups.
        versions: Versions in force on the node that answers, by object key.
    """

    node_id: str
    nodes: tuple[NodeView, ...]
    same_configuration: bool
    failure_domains: tuple[FailureDomainView, ...]
    groups: tuple[GroupView, ...]
    versions: dict[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeVersion:
    """The version of an object in force on one node; None if it did not answer."""

    node_id: str
    version: int | None
    in_force: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class InForceView:
    """Where a version of an object, or a later one, is in force.

    Attributes:
        key: Key of the object.
        version: The version asked for.
        everywhere: True if no node can still act on an older version.
        nodes: The answer of each live node.
    """

    key: str
    version: int
    everywhere: bool
    nodes: tuple[NodeVersion, ...]


class StatusService(kernel.Service):
    """Answers version and status queries of other nodes, and sends such queries to them."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._node_id = kernel.node_id
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._replica = kernel.find(names.REPLICA, replica.Replica)
        self._standing = kernel.find(names.STANDING, standing.Standing)
        self._directory = kernel.find(names.DIRECTORY, directory.Directory)
        self._peers.handle(VersionQuery, self._on_version_query, reply=VersionAnswer)
        self._peers.handle(StatusQuery, self._on_status_query, reply=NodeView)

    async def in_force(self, key: str, version: int) -> InForceView:
        """Queries each live node for its version of an object."""
        answers_by_node = await self._query_all(VersionQuery(key=key))
        nodes = tuple(
            _node_version(node_id, answer, version)
            for node_id, answer in sorted(answers_by_node.items())
        )
        everywhere = all(node.in_force for node in nodes)
        acknowledged = self._standing.acknowledged_by_all(key, version)
        return InForceView(
            key=key, version=version, everywhere=everywhere and acknowledged, nodes=nodes
        )

    async def status(self) -> StatusView:
        """Queries each live node for its state and adds what this node knows of the groups."""
        answers_by_node = await self._query_all(StatusQuery())
        live = [
            answer if isinstance(answer, NodeView) else _unreachable_view(node_id, answer)
            for node_id, answer in answers_by_node.items()
        ]
        disconnected = [
            _unreachable_view(node_id, _NOT_CONNECTED)
            for node_id in self._disconnected_nodes(answers_by_node)
        ]
        config = self._directory.config()
        groups = [group for table in self._directory.tables().values() for group in table.groups]
        return StatusView(
            node_id=self._node_id,
            nodes=tuple(sorted([*live, *disconnected], key=lambda node: node.node_id)),
            same_configuration=len({(node.reached, node.config_digest) for node in live}) == 1,
            failure_domains=_domain_views(config, groups),
            groups=tuple(
                _group_view(group) for group in sorted(groups, key=lambda group: group.group_id)
            ),
            versions=config.versions_by_key,
        )

    def _disconnected_nodes(self, live: Iterable[str]) -> set[str]:
        """Returns the nodes that have a record in the store but are not connected."""
        records = self._replica.items(names.NODE_PREFIX)
        return {record.key.removeprefix(names.NODE_PREFIX) for record in records} - set(live)

    async def _on_version_query(self, sender: str, query: VersionQuery) -> VersionAnswer:
        return VersionAnswer(version=self._version_of(query.key))

    async def _on_status_query(self, sender: str, query: StatusQuery) -> NodeView:
        return self._own_view()

    def _version_of(self, key: str) -> int:
        stored = self._replica.get(key)
        return stored.version if stored is not None else 0

    def _own_view(self) -> NodeView:
        standing_check = self._standing.check()
        contact_age = self._replica.store_contact_age()
        versions = self._directory.config().versions_by_key
        listed = "\n".join(f"{key} {version}" for key, version in sorted(versions.items()))
        return NodeView(
            node_id=self._node_id,
            serving=isinstance(standing_check, standing.InStanding),
            detail=standing_check.reason if isinstance(standing_check, standing.NotServing) else "",
            store_contact_age=round(contact_age, 3) if math.isfinite(contact_age) else None,
            config_digest=hashing.body_digest(listed.encode()),
            config_version=max(versions.values(), default=0),
        )

    async def _query_all(self, message: Any) -> dict[str, Any]:
        """Returns the answer or failure of each live node, with bounded concurrency and time."""
        deadline = clock.monotonic() + _QUERY_ROUND_SECONDS
        slots = asyncio.Semaphore(_MAX_CONCURRENT_QUERIES)

        async def ask(node_id: str) -> Any:
            async with slots:
                timeout = min(_QUERY_TIMEOUT_SECONDS, deadline - clock.monotonic())
                if timeout <= 0:
                    return peers.PeerUnavailable(reason="there was no time left to ask")
                return await self._peers.request(node_id, message, timeout=timeout)

        live = self._peers.live_nodes()
        node_answers = await asyncio.gather(*(ask(node_id) for node_id in live))
        return dict(zip(live, node_answers, strict=True))


_NOT_CONNECTED = peers.PeerUnavailable(reason="not connected, but its record is still there")


def _node_version(node_id: str, answer: Any, min_version: int) -> NodeVersion:
    if not isinstance(answer, VersionAnswer):
        return NodeVersion(node_id=node_id, version=None, in_force=False)
    return NodeVersion(
        node_id=node_id, version=answer.version, in_force=answer.version >= min_version
    )


def _unreachable_view(node_id: str, answer: Any) -> NodeView:
    detail = answer.reason if isinstance(answer, peers.PeerUnavailable) else "an unknown answer"
    return NodeView(node_id=node_id, reached=False, detail=detail)


def _group_view(group: data.Group) -> GroupView:
    return GroupView(
        group_id=group.group_id,
        service=group.service,
        state=group.state.value,
        generation=group.generation,
        model_version=group.model_version,
        fabric_domain=group.fabric_domain,
        failure_domain=group.failure_domain,
        vms=tuple(member.vm_id for member in group.members),
    )


def _domain_views(config: data.Config, groups: list[data.Group]) -> tuple[FailureDomainView, ...]:
    known = config.failure_domains_by_name.keys() | {group.failure_domain for group in groups}
    return tuple(_domain_view(name, config, groups) for name in sorted(known))


def _domain_view(name: str, config: data.Config, groups: list[data.Group]) -> FailureDomainView:
    configured = config.failure_domains_by_name.get(name)
    domain_groups = [group for group in groups if group.failure_domain == name]
    return FailureDomainView(
        name=name,
        region=configured.region if configured is not None else "",
        in_service=config.in_service(name),
        groups=len(domain_groups),
        serving_groups=sum(group.serving for group in domain_groups),
    )
