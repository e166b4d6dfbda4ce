"""A node's routing over fakes."""

import itertools
import random

import pytest

from basilpost.core import clock, data, kernel, names
from basilpost.groups import fakes as group_fakes
from basilpost.members import fakes
from basilpost.routing import admission, interfaces, quarantine
from basilpost.settings import schema
from basilpost.store import memory


def group(number, *, failure_domain="f1", service="chat", state=data.GroupState.READY):
    group_id = f"{service}-{number}"
    member = data.Member(vm_id=group_id, address=f"127.0.0.1:{number}", rank=0)
    return data.Group(
        group_id=group_id,
        service=service,
        generation=1,
        state=state,
        fabric_domain=f"fabric-{number}",
        failure_domain=failure_domain,
        members=(member,),
    )


def config(*workspaces, services=("chat",), failure_domains=()):
    kind = data.ServiceKind.MODEL
    return data.Config(
        services_by_name={one: data.Service(name=one, kind=kind, pool="p") for one in services},
        workspaces_by_name={one.name: one for one in workspaces},
        failure_domains_by_name={one.name: one for one in failure_domains},
    )


class Node:
    """Admission and quarantine of one node; peers and store are shared by the nodes of a hub."""

    def __init__(self, node_id, *, hub, store, directory, slots, health, **gateway):
        self.kernel = kernel.Kernel(node_id=node_id)
        self.slots, self.directory, self.health = slots, directory, health
        self.standing, self.replica = fakes.FakeStanding(), fakes.FakeReplica()
        platform = schema.Platform(object_api="", vm_list="")
        settings = schema.NodeSettings(
            node_id=node_id,
            failure_domain="f1",
            platform=platform,
            gateway=schema.Gateway(**gateway),
        )
        for name, service in {
            names.SETTINGS: settings,
            names.OBJECTS: store,
            names.PEERS: fakes.FakePeers(node_id=node_id, hub=hub),
            names.REPLICA: self.replica,
            names.STANDING: self.standing,
            names.DIRECTORY: directory,
            names.SLOTS: slots,
            names.HEALTH: health,
        }.items():
            self.kernel.register(name, service)
        self.quarantine = quarantine.CrashQuarantine(kernel=self.kernel)
        self.kernel.register(names.QUARANTINE, self.quarantine)
        self.admission = admission.QueuedAdmission(
            kernel=self.kernel, random_source=random.Random(1)
        )
        self.kernel.register(names.ADMISSION, self.admission)
        self._ids = itertools.count()

    def request(self, workspace="w", *, seconds=10.0, service="chat", **fields):
        return interfaces.Request(
            request_id=f"r{next(self._ids)}",
            workspace=workspace,
            service=service,
            idempotent=True,
            deadline=clock.monotonic() + seconds,
            **fields,
        )

    async def choose(self, *args, exclude=frozenset(), **fields):
        return await self.admission.choose(self.request(*args, **fields), exclude=exclude)


OK = data.Observation(reached=True)
CRASH = data.Observation(reached=False)


class Bench:
    """Makes nodes that share targets, peers and store."""

    def __init__(self):
        self.hub, self.store = fakes.PeerHub(), memory.MemoryStore()
        workspaces = (data.Workspace(name="w"), data.Workspace(name="v"))
        self.directory = fakes.FakeDirectory(
            config=config(*workspaces), groups=tuple(group(number) for number in range(3))
        )
        self.slots, self.health = group_fakes.FakeSlots(limit=2), group_fakes.FakeHealth()

    def node(self, node_id="n1", **gateway):
        return Node(
            node_id,
            hub=self.hub,
            store=self.store,
            directory=self.directory,
            slots=self.slots,
            health=self.health,
            **gateway,
        )

    group, config = staticmethod(group), staticmethod(config)
    ok, crash = OK, CRASH


@pytest.fixture
def bench():
    return Bench()
