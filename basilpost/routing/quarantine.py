"""Refuses requests that crash the targets that run them, on all nodes.

A request is quarantined after two crashes, the second in a lone run (see `suspects`). Its
fingerprint is sent to the peers at once and written to the store, where it stays until an operator
releases it.
"""

import asyncio
import collections
import dataclasses
import uuid
from typing import Any

import prometheus_client

from basilpost.core import clock, codec, data, failure, hashing, kernel, names, tasks
from basilpost.members import peers, replica
from basilpost.routing import interfaces, suspects
from basilpost.store import objects

# Messages that are remembered, so that repeats of them are recognised.
MAX_KNOWN_EVENTS = 8192
# Time between two attempts to store a quarantine.
STORE_BACKOFF_SECONDS = 1.0
# Attempts to store a release before it is reported as unconfirmed.
RELEASE_ATTEMPTS = 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """A quarantined request, as stored and as sent to peers.

    Attributes:
        fingerprint: Digest of workspace and body.
        workspace: Workspace that sent it.
        service: Service whose targets it crashed.
        group_ids: Targets that were lost while they ran it.
        at: Time of the quarantine, ISO 8601 in UTC.
        node_id: Node that quarantined it.
        attempt_id: Unique id of this quarantine.
        released: The operator's release, None while the quarantine is in force.
    """

    fingerprint: str
    workspace: str
    service: str
    group_ids: tuple[str, ...]
    at: str
    node_id: str
    attempt_id: str
    released: data.AuditEntry | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotQuarantined(failure.Failure):
    """No quarantine of this request is in force."""


class CrashQuarantine(interfaces.Quarantine, kernel.Service):
    """The quarantined requests that a node knows, updated by its peers and by the store."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self.suspects = suspects.Suspects()
        self._node_id = kernel.node_id
        self._log = kernel.log
        self._store = kernel.find(names.OBJECTS, objects.ObjectStore)
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._replica = kernel.find(names.REPLICA, replica.Replica)
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._entries_by_fingerprint: dict[str, Entry] = {}
        self._released_attempts: set[str] = set()
        self._lone_dispatches: set[tuple[str, str]] = set()
        self._known_events: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._events_total = prometheus_client.Counter(
            "basilpost_quarantine_events_total",
            "Suspects, cleared suspects and quarantined requests.",
            ["event"],
            registry=kernel.registry,
        )
        for kind in (suspects.SuspectReport, suspects.SuspectCleared, suspects.LoneRun, Entry):
            self._peers.handle(kind, self._on_message)
        self._peers.handle(suspects.LoneRunRequest, self._arbitrate, reply=suspects.LoneRunReply)
        self._replica.subscribe(names.QUARANTINE_PREFIX, self._on_stored)

    async def start(self) -> None:
        """Applies the entries that the replica of the store has."""
        for stored in self._replica.items(names.QUARANTINE_PREFIX):
            self._apply(codec.from_json(stored.value, Entry))

    async def stop(self) -> None:
        """Cancels the writes in the background."""
        await self._tasks.close()

    def check(self, request: interfaces.Request) -> failure.Refusal | None:
        """Returns the final refusal of a quarantined request, None for any other."""
        entry = self._entries_by_fingerprint.get(request.fingerprint)
        if entry is None or not request.fingerprint:
            return None
        return failure.Refusal(
            reason=f"requests with this body are refused: they crashed {len(entry.group_ids)} "
            f"targets of {entry.service}",
            code="quarantined",
            status=422,
        )

    def record_start(self, request: interfaces.Request, group: data.Group) -> None:
        """Records that a request is sent to a group, and whether that is its lone run."""
        if self.suspects.running_on(request.fingerprint) == group.group_id:
            self._lone_dispatches.add((request.request_id, group.group_id))

    def record_end(
        self, request: interfaces.Request, group: data.Group, *, crashed: bool, ran: bool = True
    ) -> None:
        """Records the end of a dispatch: makes the request a suspect after a crash, or clears it.

        Only a lone run clears a suspect, and only a crash in one leads to quarantine.
        """
        lone = (request.request_id, group.group_id) in self._lone_dispatches
        self._lone_dispatches.discard((request.request_id, group.group_id))
        if not request.fingerprint:
            return
        if crashed:
            self._report_suspect(request, group, lone=lone)
        elif ran and lone:
            self._clear(request.fingerprint)

    def find_suspect(self, request: interfaces.Request) -> suspects.Suspect | None:
        """Returns what a request is suspected of, None for an unsuspected one."""
        return self.suspects.find(request.fingerprint) if request.fingerprint else None

    async def begin_lone_run(self, service: str, fingerprint: str, group_id: str) -> bool:
        """Reserves a target for a suspect, here and at the peers; returns False if that is denied.

        One node arbitrates the lone runs of a service, so that two nodes cannot start two suspects
        on a target, or one suspect on two. If it does not answer, this node decides by itself.
        """
        lone_run_request = suspects.LoneRunRequest(fingerprint=fingerprint, group_id=group_id)
        arbiter = hashing.rendezvous_choice(service, self._peers.live_nodes())
        reply = await self._arbitrate(self._node_id, lone_run_request)
        if reply.granted and arbiter not in (None, self._node_id):
            answer = await self._peers.request(arbiter, lone_run_request)
            reply = reply if isinstance(answer, peers.PeerUnavailable) else answer
            if not reply.granted:
                self.suspects.record_run(fingerprint, "")
        if reply.granted:
            self._broadcast(
                suspects.LoneRun(event_id=_new_id(), fingerprint=fingerprint, group_id=group_id)
            )
        return reply.granted

    def end_lone_run(self, fingerprint: str) -> None:
        """Ends a suspect's lone run, here and at the peers."""
        self.suspects.record_run(fingerprint, "")
        self._broadcast(suspects.LoneRun(event_id=_new_id(), fingerprint=fingerprint, group_id=""))

    def entries(self) -> tuple[Entry, ...]:
        """Returns the entries of all quarantined requests, the oldest first."""
        in_force = self._entries_by_fingerprint.values()
        return tuple(sorted(in_force, key=lambda entry: entry.at))

    async def release(
        self, fingerprint: str, *, actor: str, reason: str
    ) -> Entry | NotQuarantined | objects.Unknown:
        """Lets a request run again on all nodes, once the store has the release.

        Args:
            fingerprint: The quarantined request.
            actor: Operator who releases it.
            reason: Why, for the audit entry that stays in the store.

        Returns:
            The released entry, or Unknown if the store may or may not have it.
        """
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None:
            return NotQuarantined(reason=f"{fingerprint} is not quarantined")
        released = dataclasses.replace(entry, released=self._audit(entry, actor, reason))
        for _ in range(RELEASE_ATTEMPTS):
            if await self._write(released):
                self._apply(released)
                self._broadcast(released)
                return released
        return objects.Unknown(reason=f"the release of {fingerprint} was not confirmed: look again")

    async def _arbitrate(
        self, node_id: str, message: suspects.LoneRunRequest
    ) -> suspects.LoneRunReply:
        """Grants a lone run unless the suspect runs already or the target has another suspect."""
        free = not self.suspects.running_on(message.fingerprint)
        free = free and message.group_id not in self.suspects.occupied_targets()
        granted = free and message.fingerprint not in self._entries_by_fingerprint
        if granted:
            self.suspects.record_run(message.fingerprint, message.group_id)
        return suspects.LoneRunReply(granted=granted)

    def _report_suspect(
        self, request: interfaces.Request, group: data.Group, *, lone: bool
    ) -> None:
        report = suspects.SuspectReport(
            event_id=_new_id(),
            fingerprint=request.fingerprint,
            group_id=group.group_id,
            fabric_domain=group.fabric_domain,
        )
        suspect = self.suspects.record_suspect(report)
        self._events_total.labels(event="suspect").inc()
        self._broadcast(report)
        if lone and not self.suspects.is_mass_failure(suspect):
            self._quarantine(request, suspect)

    def _clear(self, fingerprint: str) -> None:
        if self.suspects.clear(fingerprint):
            self._events_total.labels(event="cleared").inc()
            self._broadcast(suspects.SuspectCleared(event_id=_new_id(), fingerprint=fingerprint))

    def _quarantine(self, request: interfaces.Request, suspect: suspects.Suspect) -> None:
        entry = Entry(
            fingerprint=request.fingerprint,
            workspace=request.workspace,
            service=request.service,
            group_ids=tuple(sorted(suspect.group_ids)),
            at=clock.utc_now(),
            node_id=self._node_id,
            attempt_id=_new_id(),
        )
        self._log.warning(
            "request_quarantined", request=request.request_id, fingerprint=entry.fingerprint
        )
        self._events_total.labels(event="quarantined").inc()
        self._apply(entry)
        self._broadcast(entry)
        self._tasks.spawn(self._write_until_stored(entry), name="store quarantine")

    def _apply(self, entry: Entry) -> bool:
        """Applies a quarantine or its release; returns False for a quarantine already released."""
        known = self._entries_by_fingerprint.get(entry.fingerprint)
        if entry.released is not None:
            self._released_attempts.add(entry.attempt_id)
            if known is not None and known.attempt_id == entry.attempt_id:
                del self._entries_by_fingerprint[entry.fingerprint]
                self.suspects.clear(entry.fingerprint)
            return True
        if entry.attempt_id in self._released_attempts:
            return False
        self._entries_by_fingerprint[entry.fingerprint] = entry
        return True

    async def _on_message(self, node_id: str, message: Any) -> None:
        """Applies a peer's message unless it is known, and passes it on to the other peers."""
        event_id = _event_id(message)
        if event_id in self._known_events:
            return
        if isinstance(message, suspects.SuspectReport):
            self.suspects.record_suspect(message)
        elif isinstance(message, suspects.SuspectCleared):
            self.suspects.clear(message.fingerprint)
        elif isinstance(message, suspects.LoneRun):
            self.suspects.record_run(message.fingerprint, message.group_id)
        else:
            self._apply(message)
        self._broadcast(message)

    def _on_stored(self, change: objects.Change) -> None:
        if change.stored is not None:
            self._apply(codec.from_json(change.stored.value, Entry))
            return
        fingerprint = change.key.removeprefix(names.QUARANTINE_PREFIX)
        self._entries_by_fingerprint.pop(fingerprint, None)

    def _broadcast(self, message: Any) -> None:
        self._known_events[_event_id(message)] = None
        if len(self._known_events) > MAX_KNOWN_EVENTS:
            self._known_events.popitem(last=False)
        self._peers.broadcast(message)

    async def _write_until_stored(self, entry: Entry) -> None:
        while entry.attempt_id not in self._released_attempts:
            if await self._write(entry):
                return
            await asyncio.sleep(STORE_BACKOFF_SECONDS)

    async def _write(self, entry: Entry) -> bool:
        """Makes one attempt to write an entry; returns True if the store is known to have it."""
        key = f"{names.QUARANTINE_PREFIX}{entry.fingerprint}"
        raw = codec.to_json(entry)
        current = await self._store.get(key)
        if isinstance(current, objects.Unavailable):
            return False
        if isinstance(current, objects.Stored):
            if current.value == raw:
                return True
            written = await self._store.update(key, raw, version=current.version)
        else:
            written = await self._store.create(key, raw)
        if not isinstance(written, objects.Written):
            return False
        stored = objects.Stored(key=key, value=raw, version=written.version)
        self._replica.offer(objects.Change(key=key, version=written.version, stored=stored))
        return True

    def _audit(self, entry: Entry, actor: str, reason: str) -> data.AuditEntry:
        return data.AuditEntry(
            at=clock.utc_now(),
            actor=actor,
            node_id=self._node_id,
            reason=reason,
            before="quarantined",
            after="released",
            attempt_id=entry.attempt_id,
        )


def _event_id(message: Any) -> str:
    """Returns the id by which repeats of a message are recognised."""
    if isinstance(message, Entry):
        return f"{message.attempt_id}/{'released' if message.released else 'in force'}"
    event_id: str = message.event_id
    return event_id


def _new_id() -> str:
    return uuid.uuid4().hex
