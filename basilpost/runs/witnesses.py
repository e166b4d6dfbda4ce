"""Remembers on other nodes which idempotency keys may have run, for outages of the ledger.

A caller relies on a refusal that says "not run": it may file the request in another way. A node that
cannot read the ledger does not know whether an earlier attempt with the same key was dispatched by
another node. Therefore a node that is about to dispatch a request tells a few witnesses, chosen by a
hash of the key, and a node that refuses a request without the ledger asks them. Witnesses never
decide whether a request runs; only claims do.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from basilpost.core import clock, failure, hashing
from basilpost.members import peers
from basilpost.runs import ledger

# Number of witnesses that are notified of a dispatch, and of those that are asked about a key.
_WITNESSES_TOLD = 2
_WITNESSES_ASKED = 3
# Timeout of a question to a witness.
_ASK_SECONDS = 0.5
# For how long, and how many, keys are remembered.
_KEPT_SECONDS = 3600.0
_MAX_KEPT_KEYS = 200_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class MayHaveRun:
    """Tells a witness that a request with this key is about to be dispatched."""

    key_hash: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class MayHaveRunQuery:
    """Asks a witness whether a request with this key may have run."""

    WIRE_NAME = "WasSeen"

    key_hash: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class MayHaveRunReply:
    """A witness's answer: True if a request with the key may have run."""

    WIRE_NAME = "Seen"

    seen: bool


class Witnesses:
    """The keys that this node remembers, as dispatcher or as witness, and its questions to others.

    `only_node` returns True while no other node is known at all, in which case this node's own
    memory is complete. That differs from other nodes that cannot be reached.
    """

    def __init__(
        self, *, network: peers.PeerNetwork, only_node: Callable[[], bool] = lambda: False
    ) -> None:
        self._network = network
        self._only_node = only_node
        self._seen_at_by_hash: collections.OrderedDict[str, float] = collections.OrderedDict()
        network.handle(MayHaveRun, self._on_may_have_run)
        network.handle(MayHaveRunQuery, self._on_may_have_run_query, reply=MayHaveRunReply)

    def record_dispatch(self, call: ledger.Call) -> None:
        """Remembers a request right before its first byte may leave.

        This node remembers it, and so do its witnesses: the nodes that the hash of its key selects.
        """
        key_hash = _hash_of(call)
        self._remember(key_hash)
        for node_id in self._choose_witnesses(key_hash, _WITNESSES_TOLD):
            self._network.send(node_id, MayHaveRun(key_hash=key_hash))

    async def correct_outcome(self, call: ledger.Call, refusal: failure.Refusal) -> failure.Refusal:
        """Returns a refusal with the outcome for the key, not only for this attempt.

        Another attempt with the same key may have run where this one did not. Therefore a refusal
        that says "not run" is changed to "unknown" if the key may have run, or if no
        witness answers.
        """
        if refusal.outcome is not failure.Outcome.NOT_RUN:
            return refusal
        key_hash = _hash_of(call)
        if key_hash in self._seen_at_by_hash:
            return dataclasses.replace(refusal, outcome=failure.Outcome.UNKNOWN)
        if self._only_node():
            return refusal
        asked = self._choose_witnesses(key_hash, _WITNESSES_ASKED)
        question = MayHaveRunQuery(key_hash=key_hash)
        answers = await asyncio.gather(
            *(self._network.request(node_id, question, timeout=_ASK_SECONDS) for node_id in asked)
        )
        answered = [answer.seen for answer in answers if isinstance(answer, MayHaveRunReply)]
        if answered and not any(answered):
            return refusal
        return dataclasses.replace(refusal, outcome=failure.Outcome.UNKNOWN)

    def _choose_witnesses(self, key_hash: str, count: int) -> list[str]:
        live = set(self._network.live_nodes()) - {self._network.node_id}
        return hashing.rendezvous_order(key_hash, live)[:count]

    def _remember(self, key_hash: str) -> None:
        now = clock.monotonic()
        self._seen_at_by_hash[key_hash] = now
        self._seen_at_by_hash.move_to_end(key_hash)
        while self._seen_at_by_hash:
            seen_at = next(iter(self._seen_at_by_hash.values()))
            if len(self._seen_at_by_hash) <= _MAX_KEPT_KEYS and now - seen_at < _KEPT_SECONDS:
                return
            self._seen_at_by_hash.popitem(last=False)

    async def _on_may_have_run(self, sender: str, message: MayHaveRun) -> None:
        self._remember(message.key_hash)

    async def _on_may_have_run_query(
        self, sender: str, message: MayHaveRunQuery
    ) -> MayHaveRunReply:
        return MayHaveRunReply(seen=message.key_hash in self._seen_at_by_hash)


def _hash_of(call: ledger.Call) -> str:
    return hashing.body_digest(f"{call.workspace}\0{call.service}\0{call.key}".encode())[:32]
