"""Assembles a node that serves a pool of VMs on the users' platform.

Only this module knows both the node's services and the adapter in `basilpost.platform`.
"""

import uuid

from basilpost.core import kernel as kernel_
from basilpost.core import names
from basilpost.gateway import load_control, relay
from basilpost.groups import pool_controller, reported_groups
from basilpost.members import (
    feed,
    knowledge,
    loads,
    node_registry,
    node_table,
    reachability,
    store_news,
    streams,
)
from basilpost.node import metrics
from basilpost.platform import contracts, headers, runner_client
from basilpost.platform import decoder as platform_decoder
from basilpost.platform import store as platform_store
from basilpost.routing import crash_store, crashes, departures, named_limits, pauses, targets
from basilpost.settings import pool_schema, schema

# Callers arrive 12 s after the first start; for this time the rate of weight loads is not limited.
UNLIMITED_LOAD_SECONDS = 11.0
# Nodes of each failure domain that watch the store in a large fleet. Each call is charged, so there
# is only one more than may be lost at once without a gap.
MIN_WATCHERS = 2
# Streams that a node of a large fleet opens: to a watcher and two other nodes of its failure domain,
# and one to another domain in case that these fail. Bytes between domains are charged.
NEIGHBOURS = 4
FAR_NEIGHBOURS = 1
# Nodes whose counts of requests one watcher sums up.
NODES_PER_WATCHER = 20


def build(settings: pool_schema.PoolNodeSettings) -> kernel_.Kernel:
    """Returns the kernel of a node, with all services registered and none started."""
    kernel = kernel_.Kernel(node_id=settings.node_id)
    controls_load = contracts.ask_for_load_control(settings.contracts)
    incarnation = uuid.uuid4().hex
    kernel.register(names.SETTINGS, _peer_settings(settings))
    kernel.register(
        names.OBJECTS,
        platform_store.PlatformStore(
            address=settings.store, log=kernel.log, registry=kernel.registry
        ),
    )
    kernel.register(names.HEADER_DIALECT, headers.PlatformDialect())
    kernel.register(names.POOL_RUNNER_CLIENT, runner_client.PlatformRunnerClient())
    table = node_table.NodeTable()
    kernel.register(names.NODE_TABLE, table)
    kernel.register(names.PEERS, streams.Streams(kernel=kernel, table=table))
    kernel.register(names.FEED, feed.Feed(kernel=kernel, table=table))
    kernel.register(
        names.KNOWLEDGE,
        knowledge.Knowledge(kernel=kernel, decoder=platform_decoder.PlatformDecoder()),
    )
    kernel.register(names.TARGETS, targets.Targets(kernel=kernel))
    kernel.register("news", store_news.News(kernel=kernel))
    kernel.register(names.LOADS, loads.Loads(kernel=kernel))
    node_reachability = reachability.Reachability(kernel=kernel)
    kernel.register(names.REACHABILITY, node_reachability)
    kernel.register(
        "registry",
        node_registry.Registry(kernel=kernel, record=_node_record(settings, incarnation)),
    )
    controller = pool_controller.Controller(
        kernel=kernel,
        incarnation=incarnation,
        unlimited_load_seconds=UNLIMITED_LOAD_SECONDS if settings.first_start else 0.0,
        plans_for_load=controls_load,
    )
    kernel.register(names.CONTROLLER, controller)
    kernel.register(names.LIMITS, named_limits.NamedLimits(kernel=kernel))
    runner_pauses = pauses.RunnerPauses(kernel=kernel)
    kernel.register(names.PAUSES, runner_pauses)
    node_reachability.may_ask = lambda vm: not runner_pauses.is_paused(
        reported_groups.lifetime_id(vm)
    )
    controller.may_probe = lambda vm: runner_pauses.may_send(reported_groups.lifetime_id(vm))
    kernel.register(names.DEPARTURES, departures.Departures(kernel=kernel))
    kernel.register(names.CRASHES, crashes.CrashTracker(kernel=kernel))
    kernel.register(names.CRASH_STORE, crash_store.CrashStore(kernel=kernel))
    kernel.register(
        names.LOAD_CONTROL, load_control.LoadControl(kernel=kernel, enabled=controls_load)
    )
    kernel.register(names.RELAY, relay.Relay(kernel=kernel, settings=settings))
    kernel.register(
        "metrics",
        metrics.MetricsServer(kernel=kernel, host=settings.host, port=settings.metrics_port),
    )
    return kernel


def _peer_settings(settings: pool_schema.PoolNodeSettings) -> schema.NodeSettings:
    """Returns the settings in the form that the peer streams read."""
    return schema.NodeSettings(
        node_id=settings.node_id,
        failure_domain=settings.failure_domain,
        region=settings.region,
        platform=schema.Platform(object_api=f"http://{settings.store}", vm_list=""),
        peers=schema.PeerStreams(
            listen=schema.Listen(host=settings.host, port=settings.peer_port),
            neighbours=NEIGHBOURS,
            far_neighbours=FAR_NEIGHBOURS,
            min_watchers=MIN_WATCHERS,
            nodes_per_watcher=NODES_PER_WATCHER,
        ),
    )


def _node_record(settings: pool_schema.PoolNodeSettings, incarnation: str) -> node_table.NodeRecord:
    return node_table.NodeRecord(
        node_id=settings.node_id,
        peer_address=f"{settings.host}:{settings.peer_port}",
        gateway_address=settings.callers,
        failure_domain=settings.failure_domain,
        # Peer streams and watchers are chosen by region. On this platform failure domains fail
        # independently, so each one counts as a region.
        region=f"{settings.region}/{settings.failure_domain}",
        incarnation=incarnation,
        lease_seconds=node_registry.LEASE_SECONDS,
    )
