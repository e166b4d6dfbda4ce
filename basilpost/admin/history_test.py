"""Checks histories of operators who work at once, on a store that misbehaves in every way it may."""

import asyncio
import os
import random

import pytest

from basilpost.admin import audit_reader, changes, fakes, proposals
from basilpost.members import fakes as member_fakes
from basilpost.settings import configuration
from basilpost.store import memory, objects

DOMAINS = configuration.FAILURE_DOMAINS
OPERATORS = 4
TURNS = 12
SEEDS = int(os.environ.get("BASILPOST_SEEDS", "25"))
LONGEST_LAG_SECONDS = 40.0


class UnrulyStore(memory.MemoryStore):
    """Loses calls and answers, lets writes land late, and answers reads with old versions."""

    def __init__(self, *, dice):
        super().__init__()
        self.unruly = True
        self._dice = dice
        self._old_by_key = {}
        self._landing = set()

    async def get(self, key, *, timeout=2.0, urgency=objects.Urgency.NORMAL):
        await asyncio.sleep(self._dice.uniform(0, 0.2))
        throw = self._dice.random() if self.unruly else 1.0
        if throw < 0.15:
            return objects.Unavailable(reason="no answer")
        if throw < 0.3 and key in self._old_by_key:
            return self._old_by_key[key]
        found = await super().get(key)
        if isinstance(found, objects.Stored) and self._dice.random() < 0.3:
            self._old_by_key[key] = found
        return found

    async def _write(self, kind, key, value, version, timeout):
        await asyncio.sleep(self._dice.uniform(0, 0.2))
        throw = self._dice.random() if self.unruly else 1.0
        if throw < 0.1:
            return objects.Unavailable(reason="not taken")
        if throw < 0.2:
            return objects.Unknown(reason="lost on the way")
        if throw < 0.4:
            task = asyncio.create_task(self._land(kind, key, value, version, timeout))
            self._landing.add(task)
            return objects.Unknown(reason="timed out")
        answer = await super()._write(kind, key, value, version, timeout)
        return objects.Unknown(reason="answer lost") if throw < 0.55 else answer

    async def _land(self, kind, key, value, version, timeout):
        await asyncio.sleep(
            self._dice.choice((0.1, 1.0, self._dice.uniform(0, LONGEST_LAG_SECONDS)))
        )
        await super()._write(kind, key, value, version, timeout)


async def operate(number, accepting, dice, told):
    """Changes an object again and again, and repeats what stays unknown; notes what it was told."""
    for turn in range(TURNS):
        current = await accepting[0].read(DOMAINS, "kz-a")
        if isinstance(current, proposals.NotWritten):
            continue
        attempt = f"{number}-{turn}"
        proposal = proposals.Proposal(
            kind=DOMAINS,
            name="kz-a",
            raw=None if dice.random() < 0.1 else {"region": attempt},
            expected=current.shown_version,
            actor=f"operator-{number}",
            reason="",
            attempt_id=attempt,
        )
        result = await dice.choice(accepting).accept(proposal)
        while isinstance(result, proposals.Unsettled) and dice.random() < 0.7:
            result = settle_by(await dice.choice(accepting).accept(proposal), result)
        told[attempt] = result


def settle_by(repeated, unsettled):
    """Returns what a repeat tells of both tries; that it changed nothing says nothing of the first."""
    certain = proposals.Accepted | proposals.Lost | proposals.Absent
    return repeated if isinstance(repeated, certain) else unsettled


def check_history(told, entries):
    """Returns every way in which the trail differs from what operators were told."""
    attempts = [entry.attempt_id for entry in entries]
    accepted = {one for one, result in told.items() if _accepted(result)}
    unknown = {one for one, result in told.items() if isinstance(result, proposals.Unsettled)}
    found = [f"{one} has two entries" for one in set(attempts) if attempts.count(one) > 1]
    found += [f"{one} was accepted but has no entry" for one in accepted - set(attempts)]
    found += [f"{one} was refused but has an entry" for one in set(attempts) - accepted - unknown]
    befores = [entry.before for entry in entries[1:]]
    afters = [entry.after for entry in entries[:-1]]
    return found + [f"{b} follows {a}" for a, b in zip(afters, befores, strict=True) if a != b]


def _accepted(result):
    return isinstance(result, proposals.Accepted) and result.changed


@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(SEEDS))
async def test_the_trail_is_what_operators_were_told(seed):
    dice = random.Random(seed)
    store, hub = UnrulyStore(dice=dice), member_fakes.PeerHub()
    nodes = [fakes.FakeNode(node_id=f"node-{n}", store=store, hub=hub) for n in range(3)]
    accepting = [changes.Changes(kernel=node.kernel, bootstrap_digest="0") for node in nodes]
    told = {}
    await asyncio.gather(
        *(
            operate(number, accepting[number % 3 :] + accepting[: number % 3], dice, told)
            for number in range(OPERATORS)
        )
    )
    await asyncio.sleep(LONGEST_LAG_SECONDS)
    store.unruly = False
    await nodes[0].catch_up()
    kept = proposals.decode_current(nodes[0].replica.get(DOMAINS.key("kz-a"))).stored.audit
    trail = await audit_reader.AuditReader(kernel=nodes[0].kernel).read(
        audit_reader.Query(since=kept[0].at[:10])
    )
    assert trail.complete
    chain = in_order([line.entry for line in trail.lines], kept)
    assert check_history(told, chain) == []
    assert sum(_accepted(result) for result in told.values()) >= 3


def in_order(entries, kept):
    """Orders entries by what they started from; times of several nodes may be equal."""
    return [*(entry for entry in entries if entry not in kept), *kept]


def test_the_check_finds_each_violation():
    one = data_entry("1", "", "a")
    two = data_entry("2", "a", "b")
    accepted = proposals.Accepted(key="k", version=1, attempt_id="")
    lost = proposals.Lost(reason="", current_version=1)
    told = {"1": accepted, "2": accepted}
    assert check_history(told, [one, two]) == []
    assert check_history(told, [one]) == ["2 was accepted but has no entry"]
    assert "2 was refused but has an entry" in check_history(told | {"2": lost}, [one, two])
    assert "1 has two entries" in check_history(told, [one, two, one])
    assert check_history(told, [one, data_entry("2", "x", "b")]) == ["x follows a"]


def data_entry(attempt, before, after):
    return audit_reader.audit.data.AuditEntry(
        at="2026-01-31", actor="", node_id="", reason="", before=before, after=after,
        attempt_id=attempt,
    )  # fmt: skip
