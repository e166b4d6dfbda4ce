"""Checks the audit trail of concurrent operators on a store that fails in every permitted way."""

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
MAX_LAG_SECONDS = 40.0


class FaultyStore(memory.MemoryStore):
    """Loses calls and answers, applies writes late, and answers reads with old versions."""

    def __init__(self, *, rng):
        super().__init__()
        self.faulty = True
        self._rng = rng
        self._old_by_key = {}
        self._late_writes = set()

    async def get(self, key, *, timeout=2.0, urgency=objects.Urgency.NORMAL):
        await asyncio.sleep(self._rng.uniform(0, 0.2))
        draw = self._rng.random() if self.faulty else 1.0
        if draw < 0.15:
            return objects.Unavailable(reason="no answer")
        if draw < 0.3 and key in self._old_by_key:
            return self._old_by_key[key]
        found = await super().get(key)
        if isinstance(found, objects.Stored) and self._rng.random() < 0.3:
            self._old_by_key[key] = found
        return found

    async def _write(self, kind, key, value, version, timeout):
        await asyncio.sleep(self._rng.uniform(0, 0.2))
        draw = self._rng.random() if self.faulty else 1.0
        if draw < 0.1:
            return objects.Unavailable(reason="not taken")
        if draw < 0.2:
            return objects.Unknown(reason="lost on the way")
        if draw < 0.4:
            task = asyncio.create_task(self._write_late(kind, key, value, version, timeout))
            self._late_writes.add(task)
            return objects.Unknown(reason="timed out")
        answer = await super()._write(kind, key, value, version, timeout)
        return objects.Unknown(reason="answer lost") if draw < 0.55 else answer

    async def _write_late(self, kind, key, value, version, timeout):
        await asyncio.sleep(self._rng.choice((0.1, 1.0, self._rng.uniform(0, MAX_LAG_SECONDS))))
        await super()._write(kind, key, value, version, timeout)


async def operate(number, change_services, rng, result_by_attempt):
    """Changes an object `TURNS` times, repeats unknown outcomes, and records each result."""
    for turn in range(TURNS):
        current = await change_services[0].read(DOMAINS, "kz-a")
        if isinstance(current, proposals.NotWritten):
            continue
        attempt = f"{number}-{turn}"
        proposal = proposals.Proposal(
            kind=DOMAINS,
            name="kz-a",
            raw=None if rng.random() < 0.1 else {"region": attempt},
            expected=current.shown_version,
            actor=f"operator-{number}",
            reason="",
            attempt_id=attempt,
        )
        result = await rng.choice(change_services).accept(proposal)
        while isinstance(result, proposals.Unsettled) and rng.random() < 0.7:
            result = combine_results(await rng.choice(change_services).accept(proposal), result)
        result_by_attempt[attempt] = result


def combine_results(repeated, unsettled):
    """Returns the result of both tries; a repeat that was not written decides nothing."""
    certain = proposals.Accepted | proposals.Lost | proposals.Absent
    return repeated if isinstance(repeated, certain) else unsettled


def check_history(result_by_attempt, entries):
    """Returns every difference between the audit entries and the results given to operators."""
    attempts = [entry.attempt_id for entry in entries]
    accepted = {attempt for attempt, result in result_by_attempt.items() if _accepted(result)}
    unknown = {
        attempt
        for attempt, result in result_by_attempt.items()
        if isinstance(result, proposals.Unsettled)
    }
    found = [
        f"{attempt} has two entries" for attempt in set(attempts) if attempts.count(attempt) > 1
    ]
    found += [f"{attempt} was accepted but has no entry" for attempt in accepted - set(attempts)]
    found += [
        f"{attempt} was refused but has an entry" for attempt in set(attempts) - accepted - unknown
    ]
    befores = [entry.before for entry in entries[1:]]
    afters = [entry.after for entry in entries[:-1]]
    return found + [f"{b} follows {a}" for a, b in zip(afters, befores, strict=True) if a != b]


def _accepted(result):
    return isinstance(result, proposals.Accepted) and result.changed


@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(SEEDS))
async def test_the_audit_trail_matches_the_results_of_operators(seed):
    rng = random.Random(seed)
    store, hub = FaultyStore(rng=rng), member_fakes.PeerHub()
    nodes = [fakes.FakeNode(node_id=f"node-{n}", store=store, hub=hub) for n in range(3)]
    change_services = [changes.Changes(kernel=node.kernel, bootstrap_digest="0") for node in nodes]
    result_by_attempt = {}
    await asyncio.gather(
        *(
            operate(
                number,
                change_services[number % 3 :] + change_services[: number % 3],
                rng,
                result_by_attempt,
            )
            for number in range(OPERATORS)
        )
    )
    await asyncio.sleep(MAX_LAG_SECONDS)
    store.faulty = False
    await nodes[0].catch_up()
    kept = proposals.decode_current(nodes[0].replica.get(DOMAINS.key("kz-a"))).stored.audit
    trail = await audit_reader.AuditReader(kernel=nodes[0].kernel).read(
        audit_reader.Query(since=kept[0].at[:10])
    )
    assert trail.complete
    chain = order_entries([line.entry for line in trail.lines], kept)
    assert check_history(result_by_attempt, chain) == []
    assert sum(_accepted(result) for result in result_by_attempt.values()) >= 3


def order_entries(entries, kept):
    """Puts the entries stored in the object last; times of several nodes may be equal."""
    return [*(entry for entry in entries if entry not in kept), *kept]


def test_check_history_finds_each_violation():
    one = audit_entry("1", "", "a")
    two = audit_entry("2", "a", "b")
    accepted = proposals.Accepted(key="k", version=1, attempt_id="")
    lost = proposals.Lost(reason="", current_version=1)
    result_by_attempt = {"1": accepted, "2": accepted}
    assert check_history(result_by_attempt, [one, two]) == []
    assert check_history(result_by_attempt, [one]) == ["2 was accepted but has no entry"]
    assert "2 was refused but has an entry" in check_history(
        result_by_attempt | {"2": lost}, [one, two]
    )
    assert "1 has two entries" in check_history(result_by_attempt, [one, two, one])
    assert check_history(result_by_attempt, [one, audit_entry("2", "x", "b")]) == ["x follows a"]


def audit_entry(attempt, before, after):
    return audit_reader.audit.data.AuditEntry(
        at="2026-01-31", actor="", node_id="", reason="", before=before, after=after,
        attempt_id=attempt,
    )  # fmt: skip
