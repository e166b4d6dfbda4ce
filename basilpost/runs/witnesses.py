"""Remembers on other nodes which idempotency keys may have run, for when the ledger cannot be read.

A refusal that says "not run" is acted upon: its caller may file by another way. A node that cannot
read the ledger does not know whether an earlier attempt with the same key has run through another
node. So a node that is about to dispatch tells a few witnesses, chosen by hashing the key, and a node
that refuses without the ledger asks them. Nothing here decides whether a request runs: only claims do.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from basilpost.core import clock, failure, hashing
from basilpost.members import peers
from basilpost.runs import ledger

_TOLD = 2
_ASKED = 3
_ASK_SECONDS = 0.5
_KEPT_SECONDS = 3600.0
_MAX_KEPT = 200_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class MayHaveRun:
    """Tells a witness that a request with this key is about to be dispatched."""

    key_hash: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class WasSeen:
    """Asks a witness whether a request with this key may have run."""

    key_hash: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Seen:
    """A witness's answer."""

    seen: bool


class Witnesses:
    """A node's memory of keys, and its questions to the others.

    `only_node` returns True while no other node is known at all, which is not the same as hearing none:
    then this node's own memory is all there is.
    """

    def __init__(
        self, *, network: peers.PeerNetwork, only_node: Callable[[], bool] = lambda: False
    ) -> None:
        self._network = network
        self._only_node = only_node
        self._seen_at_by_hash: collections.OrderedDict[str, float] = collections.OrderedDict()
        network.handle(MayHaveRun, self._on_may_have_run)
        network.handle(WasSeen, self._on_was_seen, reply=Seen)

    def record_dispatch(self, call: ledger.Call) -> None:
        """Notes a request right before its first byte may leave."""
        key_hash = _hash_of(call)
        self._remember(key_hash)
        for node_id in self._others(key_hash, _TOLD):
            self._network.send(node_id, MayHaveRun(key_hash=key_hash))

    async def correct_outcome(self, call: ledger.Call, refusal: failure.Refusal) -> failure.Refusal:
        """Returns the refusal with an outcome that is true for the key, not for this attempt alone.

        Without a witness that answers, nobody knows.
        """
        if refusal.outcome is not failure.Outcome.NOT_RUN:
            return refusal
        key_hash = _hash_of(call)
        if key_hash in self._seen_at_by_hash:
            return dataclasses.replace(refusal, outcome=failure.Outcome.UNKNOWN)
        if self._only_node():
            return refusal
        asked = self._others(key_hash, _ASKED)
        question = WasSeen(key_hash=key_hash)
        answers = await asyncio.gather(
            *(self._network.request(one, question, timeout=_ASK_SECONDS) for one in asked)
        )
        heard = [answer.seen for answer in answers if isinstance(answer, Seen)]
        if heard and not any(heard):
            return refusal
        return dataclasses.replace(refusal, outcome=failure.Outcome.UNKNOWN)

    def _others(self, key_hash: str, count: int) -> list[str]:
        live = set(self._network.live_nodes()) - {self._network.node_id}
        return hashing.rendezvous_order(key_hash, live)[:count]

    def _remember(self, key_hash: str) -> None:
        now = clock.monotonic()
        self._seen_at_by_hash[key_hash] = now
        self._seen_at_by_hash.move_to_end(key_hash)
        while self._seen_at_by_hash:
            seen_at = next(iter(self._seen_at_by_hash.values()))
            if len(self._seen_at_by_hash) <= _MAX_KEPT and now - seen_at < _KEPT_SECONDS:
                return
            self._seen_at_by_hash.popitem(last=False)

    async def _on_may_have_run(self, sender: str, message: MayHaveRun) -> None:
        self._remember(message.key_hash)

    async def _on_was_seen(self, sender: str, message: WasSeen) -> Seen:
        return Seen(seen=message.key_hash in self._seen_at_by_hash)


def _hash_of(call: ledger.Call) -> str:
    return hashing.body_digest(f"{call.workspace}\0{call.service}\0{call.key}".encode())[:32]
