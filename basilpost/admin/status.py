"""Asks the live nodes what they know, within bounds, and puts the state of the system together."""

import asyncio
import dataclasses
import math
from collections.abc import Iterable
from typing import Any

from basilpost.core import clock, data, hashing, kernel, names
from basilpost.members import directory, peers, replica, standing

_ASKED_AT_ONCE = 64
_ANSWER_SECONDS = 1.0
_ROUND_SECONDS = 4.0


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
        node_id: The node.
        reached: False if it did not answer.
        serving: True if it takes new work.
        detail: Why it does not take new work, or did not answer.
        store_contact_age: Seconds since the store last answered it, None if never.
        config_digest: Digest of all configuration versions; equal on nodes with the same ones.
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
    """A group in short."""

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
    """A failure domain and the groups in it."""

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
        nodes: All live nodes, and those that have left their record behind.
        same_configuration: True if all live nodes answered and have the same versions in force.
        failure_domains: All known failure domains.
        groups: All known groups.
        versions: Versions in force on the node that answers, by key.
    """

    node_id: str
    nodes: tuple[NodeView, ...]
    same_configuration: bool
    failure_domains: tuple[FailureDomainView, ...]
    groups: tuple[GroupView, ...]
    versions: dict[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeVersion:
    """What one node said of an object; version None if it did not answer."""

    node_id: str
    version: int | None
    in_force: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class InForceView:
    """Where a version of an object, or a later one, is in force.

    Attributes:
        key: The object.
        version: The version asked for.
        everywhere: True if no node can still act on an older version.
        nodes: What each live node said.
    """

    key: str
    version: int
    everywhere: bool
    nodes: tuple[NodeVersion, ...]


class StatusService(kernel.Service):
    """Answers other nodes' questions and asks them in turn."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._node_id = kernel.node_id
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._replica = kernel.find(names.REPLICA, replica.Replica)
        self._standing = kernel.find(names.STANDING, standing.Standing)
        self._directory = kernel.find(names.DIRECTORY, directory.Directory)
        self._peers.handle(VersionQuery, self._on_version_query, reply=VersionAnswer)
        self._peers.handle(StatusQuery, self._on_status_query, reply=NodeView)

    async def in_force(self, key: str, version: int) -> InForceView:
        """Asks each live node for its version of an object."""
        answers_by_node = await self._ask_all(VersionQuery(key=key))
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
        """Asks each live node for its state and adds what this node knows."""
        answers_by_node = await self._ask_all(StatusQuery())
        live = [
            answer if isinstance(answer, NodeView) else _silent(node_id, answer)
            for node_id, answer in answers_by_node.items()
        ]
        lost = [_silent(node_id, _NOT_CONNECTED) for node_id in self._lost_nodes(answers_by_node)]
        config = self._directory.config()
        groups = [group for table in self._directory.tables().values() for group in table.groups]
        return StatusView(
            node_id=self._node_id,
            nodes=tuple(sorted([*live, *lost], key=lambda node: node.node_id)),
            same_configuration=len({(node.reached, node.config_digest) for node in live}) == 1,
            failure_domains=_domains(config, groups),
            groups=tuple(_group(group) for group in sorted(groups, key=lambda one: one.group_id)),
            versions=config.versions_by_key,
        )

    def _lost_nodes(self, live: Iterable[str]) -> set[str]:
        """Returns the nodes that have a record in the store but are not connected."""
        records = self._replica.items(names.NODE_PREFIX)
        return {one.key.removeprefix(names.NODE_PREFIX) for one in records} - set(live)

    async def _on_version_query(self, sender: str, query: VersionQuery) -> VersionAnswer:
        return VersionAnswer(version=self._version_of(query.key))

    async def _on_status_query(self, sender: str, query: StatusQuery) -> NodeView:
        return self._own_view()

    def _version_of(self, key: str) -> int:
        stored = self._replica.get(key)
        return stored.version if stored is not None else 0

    def _own_view(self) -> NodeView:
        verdict = self._standing.check()
        age = self._replica.store_contact_age()
        versions = self._directory.config().versions_by_key
        listed = "\n".join(f"{key} {version}" for key, version in sorted(versions.items()))
        return NodeView(
            node_id=self._node_id,
            serving=isinstance(verdict, standing.InStanding),
            detail=verdict.reason if isinstance(verdict, standing.NotServing) else "",
            store_contact_age=round(age, 3) if math.isfinite(age) else None,
            config_digest=hashing.body_digest(listed.encode()),
            config_version=max(versions.values(), default=0),
        )

    async def _ask_all(self, message: Any) -> dict[str, Any]:
        """Asks all live nodes, a bounded number at once, for a bounded time in all."""
        deadline = clock.monotonic() + _ROUND_SECONDS
        at_once = asyncio.Semaphore(_ASKED_AT_ONCE)

        async def ask(node_id: str) -> Any:
            async with at_once:
                left = min(_ANSWER_SECONDS, deadline - clock.monotonic())
                if left <= 0:
                    return peers.PeerUnavailable(reason="there was no time left to ask")
                return await self._peers.request(node_id, message, timeout=left)

        live = self._peers.live_nodes()
        found = await asyncio.gather(*(ask(node_id) for node_id in live))
        return dict(zip(live, found, strict=True))


_NOT_CONNECTED = peers.PeerUnavailable(reason="not connected, but its record is still there")


def _node_version(node_id: str, answer: Any, wanted: int) -> NodeVersion:
    if not isinstance(answer, VersionAnswer):
        return NodeVersion(node_id=node_id, version=None, in_force=False)
    return NodeVersion(node_id=node_id, version=answer.version, in_force=answer.version >= wanted)


def _silent(node_id: str, answer: Any) -> NodeView:
    detail = answer.reason if isinstance(answer, peers.PeerUnavailable) else "an unknown answer"
    return NodeView(node_id=node_id, reached=False, detail=detail)


def _group(group: data.Group) -> GroupView:
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


def _domains(config: data.Config, groups: list[data.Group]) -> tuple[FailureDomainView, ...]:
    known = config.failure_domains_by_name.keys() | {group.failure_domain for group in groups}
    return tuple(_domain(name, config, groups) for name in sorted(known))


def _domain(name: str, config: data.Config, groups: list[data.Group]) -> FailureDomainView:
    configured = config.failure_domains_by_name.get(name)
    inside = [group for group in groups if group.failure_domain == name]
    return FailureDomainView(
        name=name,
        region=configured.region if configured is not None else "",
        in_service=config.in_service(name),
        groups=len(inside),
        serving_groups=sum(group.serving for group in inside),
    )
