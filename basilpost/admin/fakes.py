"""A node with fake services in memory, for tests of administration."""

import dataclasses

from basilpost.admin import proposals
from basilpost.core import hashing, kernel, names
from basilpost.members import fakes
from basilpost.settings import bundle, configuration, schema
from basilpost.store import memory, objects

ADMIN_TOKEN = "test-token"


class ReplicaDirectory(fakes.FakeDirectory):
    """Decodes the configuration from each change of a replica."""

    def __init__(self, *, replica: fakes.FakeReplica) -> None:
        super().__init__()
        self._records_by_key: dict[str, configuration.Record] = {}
        self._versions_by_key: dict[str, int] = {}
        replica.subscribe(names.CONFIG_PREFIX, self._changed)

    def _changed(self, change: objects.Change) -> None:
        kind = next(kind for kind in configuration.KINDS if change.key.startswith(kind.prefix))
        name = change.key.removeprefix(kind.prefix)
        current = proposals.decode_current(change.stored)
        record = configuration.decode_text(kind, name, current.stored.value)
        self._records_by_key.pop(change.key, None)
        if not isinstance(record, configuration.Problems):
            self._records_by_key[change.key] = record
        self._versions_by_key[change.key] = change.version
        config = bundle.config_of(list(self._records_by_key.values()))
        self.set(config=dataclasses.replace(config, versions_by_key=dict(self._versions_by_key)))


class FakeNode:
    """A kernel with fake member services over a shared store."""

    def __init__(self, *, node_id: str, store: memory.MemoryStore, hub: fakes.PeerHub) -> None:
        self.kernel = kernel.Kernel(node_id=node_id)
        self.store = store
        self.replica = fakes.FakeReplica()
        self.directory = ReplicaDirectory(replica=self.replica)
        self.standing = fakes.FakeStanding()
        self.peers = fakes.FakePeers(node_id=node_id, hub=hub)
        self.settings = schema.NodeSettings(
            node_id=node_id,
            failure_domain="a",
            platform=schema.Platform(object_api="http://127.0.0.1:1", vm_list="http://127.0.0.1:1"),
            admin_token_digest=hashing.key_digest(ADMIN_TOKEN),
        )
        self.kernel.register(names.SETTINGS, self.settings)
        self.kernel.register(names.OBJECTS, store)
        self.kernel.register(names.PEERS, self.peers)
        self.kernel.register(names.REPLICA, self.replica)
        self.kernel.register(names.STANDING, self.standing)
        self.kernel.register(names.DIRECTORY, self.directory)

    async def catch_up(self) -> None:
        """Applies the configuration in the store to the replica, as the watch does."""
        listing = await self.store.list(names.CONFIG_PREFIX)
        assert isinstance(listing, objects.Listing)
        for stored in listing.objects:
            change = objects.Change(key=stored.key, version=stored.version, stored=stored)
            self.replica.offer(change)
