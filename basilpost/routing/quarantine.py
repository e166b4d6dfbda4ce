"""Refuses requests that crash the targets that run them, on all nodes.

A request blamed for two crashes, the second while it ran alone, is quarantined: its fingerprint
goes to the peers at once and to the store, where it stays until an operator releases it.
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

SEEN_EVENTS = 8192
STORE_BACKOFF_SECONDS = 1.0
RELEASE_ATTEMPTS = 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """A quarantined request, as stored and as sent to peers.

    Attributes:
        fingerprint: Digest of workspace and body.
        workspace: Workspace that sent it.
        service: Service that it crashed.
        group_ids: Targets it is blamed for.
        at: Time of the quarantine, ISO 8601 in UTC.
        node_id: Node that decided it.
        attempt_id: Unique id of this quarantine.
        released: The operator's release, None while it is in force.
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
    """There is no such quarantine in force."""


class CrashQuarantine(interfaces.Quarantine, kernel.Service):
    """The quarantine of one node, kept equal to its peers' and the store's."""

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
        self._lone: set[tuple[str, str]] = set()
        self._seen: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._crashes = prometheus_client.Counter(
            "basilpost_quarantine_events_total",
            "Suspects, cleared suspects and quarantined requests.",
            ["event"],
            registry=kernel.registry,
        )
        for kind in (suspects.Blame, suspects.Cleared, suspects.LoneRun, Entry):
            self._peers.handle(kind, self._heard)
        self._peers.handle(suspects.AskLoneRun, self._arbitrate, reply=suspects.LoneRunReply)
        self._replica.subscribe(names.QUARANTINE_PREFIX, self._changed)

    async def start(self) -> None:
        """Takes in what the replica knows already."""
        for stored in self._replica.items(names.QUARANTINE_PREFIX):
            self._take_in(codec.from_json(stored.value, Entry))

    async def stop(self) -> None:
        """Ends the writes in the background."""
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
        """Notes that a request is in flight on a group."""
        if self.suspects.running_on(request.fingerprint) == group.group_id:
            self._lone.add((request.request_id, group.group_id))

    def record_end(
        self, request: interfaces.Request, group: data.Group, *, crashed: bool, ran: bool = True
    ) -> None:
        """Notes the end of a dispatch: blames or clears the request."""
        lone = (request.request_id, group.group_id) in self._lone
        self._lone.discard((request.request_id, group.group_id))
        if not request.fingerprint:
            return
        if crashed:
            self._blame(request, group, lone=lone)
        elif ran and lone:
            self._clear(request.fingerprint)

    def suspected(self, request: interfaces.Request) -> suspects.Suspect | None:
        """Returns the suspect that a request is, None for an unsuspected one."""
        return self.suspects.find(request.fingerprint) if request.fingerprint else None

    async def begin_lone_run(self, service: str, fingerprint: str, group_id: str) -> bool:
        """Reserves a target for a suspect, here and at the peers; returns False if it is taken.

        One node arbitrates the lone runs of a service, so that two nodes cannot put two suspects
        on a target, or one suspect on two. If it does not answer, what is known here decides.
        """
        ask = suspects.AskLoneRun(fingerprint=fingerprint, group_id=group_id)
        arbiter = hashing.rendezvous_choice(service, self._peers.live_nodes())
        reply = await self._arbitrate(self._node_id, ask)
        if reply.granted and arbiter not in (None, self._node_id):
            answer = await self._peers.request(arbiter, ask)
            reply = reply if isinstance(answer, peers.PeerUnavailable) else answer
            if not reply.granted:
                self.suspects.note_run(fingerprint, "")
        if reply.granted:
            self._tell(
                suspects.LoneRun(event_id=_new_id(), fingerprint=fingerprint, group_id=group_id)
            )
        return reply.granted

    def end_lone_run(self, fingerprint: str) -> None:
        """Gives the reserved target back."""
        self.suspects.note_run(fingerprint, "")
        self._tell(suspects.LoneRun(event_id=_new_id(), fingerprint=fingerprint, group_id=""))

    def entries(self) -> tuple[Entry, ...]:
        """Returns all quarantines in force, for operators."""
        found = self._entries_by_fingerprint.values()
        return tuple(sorted(found, key=lambda entry: entry.at))

    async def release(
        self, fingerprint: str, *, actor: str, reason: str
    ) -> Entry | NotQuarantined | objects.Unknown:
        """Lets a request run again; the release stays in the store as an audit entry."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None:
            return NotQuarantined(reason=f"{fingerprint} is not quarantined")
        released = dataclasses.replace(entry, released=self._audit(entry, actor, reason))
        for _ in range(RELEASE_ATTEMPTS):
            if await self._write(released):
                self._take_in(released)
                self._tell(released)
                return released
        return objects.Unknown(reason=f"the release of {fingerprint} was not confirmed: look again")

    async def _arbitrate(self, node_id: str, message: suspects.AskLoneRun) -> suspects.LoneRunReply:
        """Grants a lone run unless the suspect runs already or the target has another one."""
        free = not self.suspects.running_on(message.fingerprint)
        free = free and message.group_id not in self.suspects.occupied()
        granted = free and message.fingerprint not in self._entries_by_fingerprint
        if granted:
            self.suspects.note_run(message.fingerprint, message.group_id)
        return suspects.LoneRunReply(granted=granted)

    def _blame(self, request: interfaces.Request, group: data.Group, *, lone: bool) -> None:
        blame = suspects.Blame(
            event_id=_new_id(),
            fingerprint=request.fingerprint,
            group_id=group.group_id,
            fabric_domain=group.fabric_domain,
        )
        suspect = self.suspects.blame(blame)
        self._crashes.labels(event="suspect").inc()
        self._tell(blame)
        if lone and not self.suspects.storm(suspect):
            self._quarantine(request, suspect)

    def _clear(self, fingerprint: str) -> None:
        if self.suspects.clear(fingerprint):
            self._crashes.labels(event="cleared").inc()
            self._tell(suspects.Cleared(event_id=_new_id(), fingerprint=fingerprint))

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
        self._crashes.labels(event="quarantined").inc()
        self._take_in(entry)
        self._tell(entry)
        self._tasks.spawn(self._keep_writing(entry), name="store quarantine")

    def _take_in(self, entry: Entry) -> bool:
        """Takes a quarantine or a release in; returns False if it is out of date."""
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

    async def _heard(self, node_id: str, message: Any) -> None:
        """Takes a peer's message in once and passes it on to the peers beyond it."""
        event_id = _event_id(message)
        if event_id in self._seen:
            return
        if isinstance(message, suspects.Blame):
            self.suspects.blame(message)
        elif isinstance(message, suspects.Cleared):
            self.suspects.clear(message.fingerprint)
        elif isinstance(message, suspects.LoneRun):
            self.suspects.note_run(message.fingerprint, message.group_id)
        else:
            self._take_in(message)
        self._tell(message)

    def _changed(self, change: objects.Change) -> None:
        if change.stored is not None:
            self._take_in(codec.from_json(change.stored.value, Entry))
            return
        fingerprint = change.key.removeprefix(names.QUARANTINE_PREFIX)
        self._entries_by_fingerprint.pop(fingerprint, None)

    def _tell(self, message: Any) -> None:
        self._seen[_event_id(message)] = None
        if len(self._seen) > SEEN_EVENTS:
            self._seen.popitem(last=False)
        self._peers.broadcast(message)

    async def _keep_writing(self, entry: Entry) -> None:
        while entry.attempt_id not in self._released_attempts:
            if await self._write(entry):
                return
            await asyncio.sleep(STORE_BACKOFF_SECONDS)

    async def _write(self, entry: Entry) -> bool:
        """Writes an entry over what is stored; returns True once the store has it."""
        key = f"{names.QUARANTINE_PREFIX}{entry.fingerprint}"
        raw = codec.to_json(entry)
        found = await self._store.get(key)
        if isinstance(found, objects.Unavailable):
            return False
        if isinstance(found, objects.Stored):
            if found.value == raw:
                return True
            written = await self._store.update(key, raw, version=found.version)
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
    """Returns the id by which a message is recognised."""
    if isinstance(message, Entry):
        return f"{message.attempt_id}/{'released' if message.released else 'in force'}"
    event_id: str = message.event_id
    return event_id


def _new_id() -> str:
    return uuid.uuid4().hex
