"""What a node knows of configuration, VMs and failure domains, and how current that is.

Within a process an older version never replaces a newer one, even after a stale read (see `feed`). A
store that was restored from a copy shows older contents under newer versions until the operator and
the runners have written theirs again. For that time what is known stays in force.
"""

import asyncio
import dataclasses
import functools
from collections.abc import Callable

import prometheus_client

from basilpost.core import catalog, clock, failure, kernel, names, tasks
from basilpost.members import decoding, feed, peers, restored_contents, store_news
from basilpost.store import eras, objects

# Waits of a watch call. Its answer shows the state as of when the call was sent, so twice the wait
# plus the gap has to stay below the bounds on the age of the configuration, API keys and leaving
# VMs.
CONFIG_WATCH_SECONDS = 1.3
VM_WATCH_SECONDS = 1.3
# A failure domain has to be out of service at all nodes within 5 s.
FAILURE_DOMAIN_WATCH_SECONDS = 2.5
# VMs' entries that expired during an outage of the store are back about two seconds after its end.
RETURN_GRACE_SECONDS = 2.3
# The entry of a VM that was removed within this time may return with a copy of the store.
REMOVED_MEMORY_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SeenVm:
    """A VM, and times from its last entry on this node's clock.

    Attributes:
        vm: The VM.
        cold_until: Time until which it is cold, on `clock.elapsed`.
        seen_at: When this version of its entry was received, on `clock.elapsed`.
    """

    vm: catalog.Vm
    cold_until: float
    seen_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RemovedVm:
    """A VM as its last entry showed it, and when that entry was removed, on `clock.elapsed`."""

    vm: catalog.Vm
    removed_at: float


class Knowledge(kernel.Service):
    """The decoded objects of the platform's store.

    Attributes:
        configuration: The newest valid configuration, None before the first.
        vms_by_id: All VMs with a runner that is alive.
        removed_by_lifetime: VMs whose entries were removed less than `REMOVED_MEMORY_SECONDS` before
            the last removal, by VM id and incarnation.
        out_of_service: Failure domains that operators have taken out of service.
    """

    def __init__(self, *, kernel: kernel.Kernel, decoder: decoding.Decoder) -> None:
        self.configuration: catalog.Configuration | None = None
        self.vms_by_id: dict[str, SeenVm] = {}
        self.out_of_service: frozenset[str] = frozenset()
        self._log = kernel.log
        self._decoder = decoder
        self._feed = kernel.find(names.FEED, feed.Feed)
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        # The object that holds the configuration in force.
        self._in_force: objects.Change | None = None
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._grace_until = 0.0
        self._missing_ids: set[str] = set()
        self._restored = restored_contents.RestoredContents(
            source=self._feed, log=kernel.log, apply=self._apply_held
        )
        self.removed_by_lifetime: dict[tuple[str, int], RemovedVm] = {}
        # The objects that put failure domains out of service.
        self._out_of_service_by_key: dict[str, objects.Change] = {}
        layout = decoder.layout
        self._feed.follow(
            layout.configuration_prefix,
            wait=CONFIG_WATCH_SECONDS,
            on_change=self._apply_configuration,
            takes_lost=True,
        )
        self._feed.follow(layout.vm_prefix, wait=VM_WATCH_SECONDS, on_change=self._apply_vm)
        self._feed.follow(
            layout.out_of_service_prefix,
            wait=FAILURE_DOMAIN_WATCH_SECONDS,
            on_change=self._apply_out_of_service,
            takes_lost=True,
        )
        self._feed.subscribe_store_recovery(self._start_return_grace)
        self._feed.subscribe_restore(self._restored.begin)
        self._feed.peer_versions.subscribe(self._send_lost)
        self._malformed = prometheus_client.Counter(
            "basilpost_malformed_objects_total",
            "Objects of the platform's store that could not be decoded",
            ["kind"],
            registry=kernel.registry,
        )
        age = prometheus_client.Gauge(
            "basilpost_knowledge_age_seconds",
            "Seconds since which changes of a kind may be missing",
            ["kind"],
            registry=kernel.registry,
        )
        for prefix in (layout.configuration_prefix, layout.vm_prefix, layout.out_of_service_prefix):
            age.labels(prefix.rstrip("/")).set_function(functools.partial(self._feed.age, prefix))

    async def stop(self) -> None:
        """Stops waiting for missing entries; known objects stay readable."""
        await self._tasks.close()
        await self._restored.close()

    @property
    def is_settled(self) -> bool:
        """Returns False after a restore of the store, until all is written to it again."""
        return self._restored.is_settled

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener after each change of a followed object."""
        self._feed.subscribe(listener)

    def configuration_age(self) -> float:
        """Returns the age of the configuration in seconds, infinite before the first one."""
        return self._feed.age(self._decoder.layout.configuration_prefix)

    def vms_age(self) -> float:
        """Returns the age of the VMs in seconds: changes made since may be missing."""
        return self._feed.age(self._decoder.layout.vm_prefix)

    def out_of_service_age(self) -> float:
        """Returns the age of `out_of_service` in seconds: changes made since may be missing."""
        return self._feed.age(self._decoder.layout.out_of_service_prefix)

    def _start_return_grace(self) -> None:
        """Starts a period after an outage in which VMs with missing entries are kept."""
        if self.vms_by_id:
            self._grace_until = clock.elapsed() + RETURN_GRACE_SECONDS
            self._tasks.spawn(self._drop_missing(), name="drop-missing")

    async def _drop_missing(self) -> None:
        """Drops the VMs whose entries are still missing at the end of that period."""
        await asyncio.sleep(RETURN_GRACE_SECONDS)
        missing, self._missing_ids = self._missing_ids, set()
        for vm_id in missing:
            self._drop_vm(vm_id, revision=None)
        self._feed.notify_listeners()

    # A restored store shows older contents until the operator and the runners have written again.

    def _send_lost(self, node_id: str) -> None:
        """Sends a peer what is in force here and a restored store has lost.

        A node that starts before the operator has written it again knows only the copy.
        """
        in_force = [self._in_force] if self._in_force is not None else []
        lost = [
            change
            for change in (*in_force, *self._out_of_service_by_key.values())
            if eras.era_of(change.version) < self._feed.era
        ]
        if lost:
            self._peers.send(node_id, store_news.StoreChanges(changes=tuple(lost)))

    def _apply_held(self, change: objects.Change) -> None:
        is_vm = change.key.startswith(self._decoder.layout.vm_prefix)
        (self._apply_vm if is_vm else self._apply_out_of_service)(change)

    def _repeats_known(self, vm_id: str, vm: catalog.Vm | None) -> bool:
        """Returns True for a VM's entry that a restored store shows as it is known.

        Its remaining cold time counts from when it was first seen.
        """
        known = self.vms_by_id.get(vm_id)
        return not self.is_settled and known is not None and known.vm == vm

    def _may_be_older(self, vm_id: str, vm: catalog.Vm | None) -> bool:
        """Returns True if a VM's entry, None for a missing one, may be from before what is known."""
        known = self.vms_by_id.get(vm_id)
        if vm is None:
            return known is not None
        if known is None:
            return (vm_id, vm.incarnation) in self.removed_by_lifetime
        return vm.incarnation <= known.vm.incarnation and not (
            vm.leaving and not known.vm.leaving and vm.incarnation == known.vm.incarnation
        )

    def _drop_vm(self, vm_id: str, *, revision: int | None) -> None:
        dropped = self.vms_by_id.pop(vm_id, None)
        if dropped is None:
            return
        self._remember_removed(dropped.vm)
        self._log.info("vm_gone", vm=vm_id, revision=revision)

    def _remember_removed(self, vm: catalog.Vm) -> None:
        now = clock.elapsed()
        self.removed_by_lifetime = {
            lifetime: removed
            for lifetime, removed in self.removed_by_lifetime.items()
            if now - removed.removed_at < REMOVED_MEMORY_SECONDS
        }
        self.removed_by_lifetime[vm.vm_id, vm.incarnation] = RemovedVm(vm=vm, removed_at=now)

    def _apply_configuration(self, change: objects.Change) -> None:
        if change.key != self._decoder.layout.configuration_key:
            return
        if change.stored is None:
            self._log.error("configuration_removed", revision=eras.revision_of(change.version))
            return
        if self._is_known_configuration(change):
            return
        configuration = self._decoder.configuration(change.stored.value)
        if isinstance(configuration, failure.Failure):
            self._count_malformed("configuration", change, configuration)
            return
        if self._is_lost_and_not_newer(change, configuration):
            return
        if self.configuration is not None and configuration.version < self.configuration.version:
            self._log.error(
                "configuration_older",
                version=configuration.version,
                revision=eras.revision_of(change.version),
            )
            return
        self.configuration = configuration
        self._in_force = change
        self._log.info(
            "configuration_in_force",
            version=configuration.version,
            revision=eras.revision_of(change.version),
            routes=len(configuration.routes),
            keys=len(configuration.workspaces_by_key),
        )

    def _is_known_configuration(self, change: objects.Change) -> bool:
        """Returns True for a change that is not newer than the one in force, in the same era.

        Versions of different eras do not tell which configuration is newer.
        """
        if self._in_force is None or change.version > self._in_force.version:
            return False
        return eras.era_of(change.version) == eras.era_of(self._in_force.version)

    def _is_lost_and_not_newer(
        self, change: objects.Change, configuration: catalog.Configuration
    ) -> bool:
        """Returns True for a configuration from before a restore that is in force or older."""
        if self._in_force is None or self.configuration is None:
            return False
        is_lost = change.version < self._in_force.version
        return is_lost and configuration.version <= self.configuration.version

    def _apply_vm(self, change: objects.Change) -> None:
        vm_id = change.key.removeprefix(self._decoder.layout.vm_prefix)
        before = self.vms_by_id.get(vm_id)
        vm = None if change.stored is None else self._decoder.vm(vm_id, change.stored.value)
        if change.stored is not None:
            self._missing_ids.discard(vm_id)
        if not isinstance(vm, failure.Failure) and self._repeats_known(vm_id, vm):
            self._restored.holds_back(change, is_older=False)
            return
        if not isinstance(vm, failure.Failure) and self._restored.holds_back(
            change, is_older=self._may_be_older(vm_id, vm)
        ):
            return
        if vm is None:
            if clock.elapsed() < self._grace_until:
                self._missing_ids.add(vm_id)
            else:
                self._drop_vm(vm_id, revision=eras.revision_of(change.version))
            return
        if isinstance(vm, failure.Failure):
            if self.vms_by_id.pop(vm_id, None) is not None and before is not None:
                self._remember_removed(before.vm)
            self._count_malformed("vm", change, vm)
            return
        now = clock.elapsed()
        if before is not None and before.vm.incarnation != vm.incarnation:
            self._remember_removed(before.vm)
        self.vms_by_id[vm_id] = SeenVm(vm=vm, cold_until=now + vm.cold_seconds, seen_at=now)
        # In a large fleet only the watchers log this: a line on each node for each change would cost
        # nodes times VMs.
        if self._feed.is_watcher and (
            before is None or _logged_state(before.vm) != _logged_state(vm)
        ):
            self._log.info(
                "vm_changed",
                vm=vm_id,
                revision=eras.revision_of(change.version),
                new=before is None,
                leaving=vm.leaving,
                group=vm.member.group if vm.member else "",
                state=vm.member.state.value if vm.member else "",
            )

    def _apply_out_of_service(self, change: objects.Change) -> None:
        out = change.stored is not None
        if eras.era_of(change.version) < self._feed.era:
            self._keep_lost_withdrawal(change)
            return
        if self._restored.holds_back(change, is_older=not out):
            return
        self._set_out_of_service(change)

    def _keep_lost_withdrawal(self, change: objects.Change) -> None:
        """Takes a failure domain out that was out before a restore, unless nobody writes it again."""
        if change.stored is None or change.key in self._out_of_service_by_key:
            return
        version = eras.version(era=self._feed.era, revision=0)
        self._restored.hold(objects.Change(key=change.key, version=version, stored=None))
        self._set_out_of_service(change)

    def _set_out_of_service(self, change: objects.Change) -> None:
        failure_domain = change.key.removeprefix(self._decoder.layout.out_of_service_prefix)
        out = change.stored is not None
        if out:
            self._out_of_service_by_key[change.key] = change
        else:
            self._out_of_service_by_key.pop(change.key, None)
        self.out_of_service = (
            self.out_of_service | {failure_domain}
            if out
            else self.out_of_service - {failure_domain}
        )
        self._log.info(
            "failure_domain_out" if out else "failure_domain_in",
            failure_domain=failure_domain,
            revision=eras.revision_of(change.version),
        )

    def _count_malformed(self, kind: str, change: objects.Change, failed: failure.Failure) -> None:
        self._malformed.labels(kind).inc()
        self._log.warning(
            "malformed_object",
            key=change.key,
            revision=eras.revision_of(change.version),
            reason=failed.reason,
        )


def _logged_state(vm: catalog.Vm) -> tuple[object, ...]:
    return vm.incarnation, vm.leaving, vm.member, vm.staged
