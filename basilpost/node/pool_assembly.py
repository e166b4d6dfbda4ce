"""Puts a node together that serves a pool of VMs on the users' platform.

The only module that knows both the product's services and the platform's adapter.
"""

import uuid

from basilpost.core import kernel as kernel_
from basilpost.core import names
from basilpost.gateway import relay
from basilpost.groups import pool_controller
from basilpost.members import feed, knowledge, loads, node_registry, node_table, store_news, streams
from basilpost.node import metrics
from basilpost.platform import engines, headers
from basilpost.platform import schema as platform_schema
from basilpost.platform import store as platform_store
from basilpost.routing import targets
from basilpost.settings import pool_schema, schema

# Callers come 12 s after the first start; until then loads are not limited.
LEAD_SECONDS = 11.0
# Nodes of each failure domain that watch the store in a large fleet: one more than may be lost at once
# without a gap, as each call is priced. A watcher also adds up the counts of this many nodes.
MIN_WATCHERS = 2
NODES_PER_WATCHER = 20


def build(settings: pool_schema.PoolNodeSettings) -> kernel_.Kernel:
    """Returns the kernel of a node with all its services registered and none started."""
    kernel = kernel_.Kernel(node_id=settings.node_id)
    incarnation = uuid.uuid4().hex
    kernel.register(names.SETTINGS, _peer_settings(settings))
    kernel.register(
        names.OBJECTS,
        platform_store.PlatformStore(
            address=settings.store, log=kernel.log, registry=kernel.registry
        ),
    )
    kernel.register(names.DIALECT, headers.PlatformDialect())
    kernel.register(names.POOL_ENGINES, engines.PlatformEngines())
    table = node_table.NodeTable()
    kernel.register(names.NODE_TABLE, table)
    kernel.register(names.PEERS, streams.Streams(kernel=kernel, table=table))
    kernel.register(names.FEED, feed.Feed(kernel=kernel, table=table))
    kernel.register(
        names.KNOWLEDGE,
        knowledge.Knowledge(kernel=kernel, decoder=platform_schema.PlatformDecoder()),
    )
    kernel.register(names.TARGETS, targets.Targets(kernel=kernel))
    kernel.register("news", store_news.News(kernel=kernel))
    kernel.register(names.LOADS, loads.Loads(kernel=kernel))
    kernel.register(
        "registry",
        node_registry.Registry(kernel=kernel, record=_record(settings, incarnation)),
    )
    kernel.register(
        names.CONTROLLER,
        pool_controller.Controller(
            kernel=kernel,
            incarnation=incarnation,
            unlimited_load_seconds=LEAD_SECONDS if settings.first_start else 0.0,
        ),
    )
    kernel.register(names.RELAY, relay.Relay(kernel=kernel, settings=settings))
    kernel.register(
        "metrics",
        metrics.MetricsServer(kernel=kernel, host=settings.host, port=settings.metrics_port),
    )
    return kernel


def _peer_settings(settings: pool_schema.PoolNodeSettings) -> schema.NodeSettings:
    """Returns the settings that the peer streams read."""
    return schema.NodeSettings(
        node_id=settings.node_id,
        failure_domain=settings.failure_domain,
        region=settings.region,
        platform=schema.Platform(object_api=f"http://{settings.store}", vm_list=""),
        peers=schema.PeerStreams(
            listen=schema.Listen(host=settings.host, port=settings.peer_port),
            min_watchers=MIN_WATCHERS,
            nodes_per_watcher=NODES_PER_WATCHER,
        ),
    )


def _record(settings: pool_schema.PoolNodeSettings, incarnation: str) -> node_table.NodeRecord:
    return node_table.NodeRecord(
        node_id=settings.node_id,
        peer_address=f"{settings.host}:{settings.peer_port}",
        gateway_address=settings.callers,
        failure_domain=settings.failure_domain,
        # Peer streams and watchers are chosen by region; here failure domains are what may fail apart.
        region=f"{settings.region}/{settings.failure_domain}",
        incarnation=incarnation,
        lease_seconds=node_registry.LEASE_SECONDS,
    )
