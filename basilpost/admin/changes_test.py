"""Tests of changes: concurrent operators, unconfirmed writes, store outages."""

import asyncio
import functools
import itertools
import json

import pytest

from basilpost.admin import audit, audit_reader, changes, fakes, proposals
from basilpost.core import codec, data
from basilpost.members import fakes as member_fakes
from basilpost.settings import configuration
from basilpost.store import memory, objects

DOMAINS = configuration.FAILURE_DOMAINS


class LateStore(memory.MemoryStore):
    """Applies the next `late_writes` updates `lag` seconds after reporting them as timed out."""

    def __init__(self):
        super().__init__()
        self.late_writes = 0
        self.lag = 0.02
        self._tasks = []

    async def update(self, key, value, *, version, timeout=2.0, urgency=objects.Urgency.NORMAL):
        if not self.late_writes:
            return await super().update(key, value, version=version)
        self.late_writes -= 1
        self._tasks.append(asyncio.create_task(self._write_late(key, value, version)))
        return objects.Unknown(reason="timed out")

    async def _write_late(self, key, value, version):
        await asyncio.sleep(self.lag)
        await super().update(key, value, version=version)


def make_nodes(*, store=None, count=2):
    store = store or memory.MemoryStore()
    hub = member_fakes.PeerHub()
    return [fakes.FakeNode(node_id=f"node-{index}", store=store, hub=hub) for index in range(count)]


@functools.cache
def changes_of(node, bootstrap_digest="0" * 64):
    return changes.Changes(kernel=node.kernel, bootstrap_digest=bootstrap_digest)


def propose(raw=None, *, name="kz-a", expected=None, attempt="t1", actor="ana", kind=DOMAINS):
    return proposals.Proposal(
        kind=kind,
        name=name,
        raw=raw,
        expected=expected,
        actor=actor,
        reason="test",
        attempt_id=attempt,
    )


def region(text, **kwargs):
    return propose({"region": text}, **kwargs)


def workspace(raw):
    return propose(raw, name="w", kind=configuration.WORKSPACES)


def service(raw, **kwargs):
    return propose(raw, name="s", kind=configuration.SERVICES, **kwargs)


async def stored_object(store, key):
    found = await store.get(key)
    return codec.from_json(found.value, data.ConfigObject)


async def attempts_of(store, key):
    return [entry.attempt_id for entry in (await stored_object(store, key)).audit]


async def test_a_confirmed_change_is_in_force_at_once_with_its_audit_entry():
    (node,) = make_nodes(count=1)
    result = await changes_of(node).accept(region("kz"))
    assert isinstance(result, proposals.Accepted)
    assert node.replica.get("config/failure_domains/kz-a").version == result.version
    stored = await stored_object(node.store, result.key)
    assert json.loads(stored.value) == {"name": "kz-a", "region": "kz", "in_service": True}
    (entry,) = stored.audit
    assert (entry.actor, entry.before, entry.after) == ("ana", "", stored.value)


@pytest.mark.looptime
@pytest.mark.parametrize("operators", [2, 9])
async def test_of_racing_operators_one_wins_and_the_others_learn_the_version(operators):
    nodes = make_nodes(count=3)
    store = nodes[0].store
    first = await changes_of(nodes[0]).accept(region("kz"))
    # All read the object before any of them writes.
    store.faults.delay = 0.05
    results = await asyncio.gather(
        *(
            changes_of(nodes[number % 3]).accept(
                region(
                    f"r{number}", expected=first.version, attempt=f"a{number}", actor=f"a{number}"
                )
            )
            for number in range(operators)
        )
    )
    (won,) = [one for one in results if isinstance(one, proposals.Accepted)]
    lost = [one for one in results if isinstance(one, proposals.Lost)]
    assert len(lost) == operators - 1
    assert {one.current_version for one in lost} == {won.version}
    assert {one.changed_by for one in lost} == {won.attempt_id}
    assert await attempts_of(store, won.key) == ["t1", won.attempt_id]


@pytest.mark.looptime
@pytest.mark.parametrize("lost", [1, 2, 3])
async def test_lost_answers_are_settled_before_the_operator_is_told(lost):
    (node,) = make_nodes(count=1)
    accept = changes_of(node).accept
    first = await accept(region("kz"))
    node.store.faults.lose_answers = lost
    second = await accept(region("south", expected=first.version, attempt="t2"))
    assert isinstance(second, proposals.Accepted)
    assert (await node.store.get(second.key)).version == second.version
    assert node.replica.get(second.key).version == second.version
    assert await attempts_of(node.store, second.key) == ["t1", "t2"]


@pytest.mark.looptime
@pytest.mark.parametrize("lag", [0.02, 0.2, 3.0])
async def test_a_write_applied_after_its_timeout_is_applied_once(lag):
    store = LateStore()
    (node,) = make_nodes(store=store, count=1)
    accept = changes_of(node).accept
    first = await accept(region("kz"))
    store.late_writes, store.lag = 3, lag
    second = await accept(region("south", expected=first.version, attempt="t2"))
    assert isinstance(second, proposals.Accepted)
    await asyncio.sleep(10)
    assert await attempts_of(store, second.key) == ["t1", "t2"]
    assert (await store.get(second.key)).version == second.version


@pytest.mark.looptime
async def test_a_late_write_loses_against_a_newer_version():
    store = LateStore()
    nodes = make_nodes(store=store)
    first = await changes_of(nodes[0]).accept(region("kz"))
    store.late_writes, store.lag = 1, 60
    slow = asyncio.create_task(
        changes_of(nodes[0]).accept(region("south", expected=first.version, attempt="slow"))
    )
    await asyncio.sleep(0.01)
    fast = await changes_of(nodes[1]).accept(
        region("north", expected=first.version, attempt="fast", actor="ben")
    )
    lost = await slow
    assert isinstance(lost, proposals.Lost)
    assert (lost.current_version, lost.changed_by) == (fast.version, "ben")
    await asyncio.sleep(70)
    assert await attempts_of(store, fast.key) == ["t1", "fast"]


@pytest.mark.looptime
async def test_with_the_store_down_a_change_is_not_written():
    (node,) = make_nodes(count=1)
    accept = changes_of(node).accept
    first = await accept(region("kz"))
    node.store.faults.down = True
    result = await accept(region("south", expected=first.version, attempt="t2"))
    assert isinstance(result, proposals.NotWritten)
    node.store.faults.down = False
    assert await attempts_of(node.store, first.key) == ["t1"]
    assert node.replica.get(first.key).version == first.version


@pytest.mark.looptime
async def test_a_repeat_resolves_a_change_of_unknown_outcome():
    nodes = make_nodes()
    store = nodes[0].store
    first = await changes_of(nodes[0]).accept(region("kz"))
    proposal = region("south", expected=first.version, attempt="t2")
    store.faults.delay, store.faults.lose_answers = 0.5, 1
    asyncio.get_running_loop().call_later(1.2, setattr, store.faults, "down", True)
    result = await changes_of(nodes[0]).accept(proposal)
    assert isinstance(result, proposals.Unsettled)
    assert result.attempt_id == "t2"
    store.faults.down, store.faults.delay = False, 0.0
    repeated = await changes_of(nodes[1]).accept(proposal)
    assert isinstance(repeated, proposals.Accepted)
    assert await attempts_of(store, first.key) == ["t1", "t2"]


@pytest.mark.looptime
@pytest.mark.parametrize("later", [1, 5, 40])
async def test_a_repeat_after_many_other_changes_is_not_applied_again(later):
    nodes = make_nodes()
    accept, other = changes_of(nodes[0]).accept, changes_of(nodes[1])
    proposal = region("first")
    first = await accept(proposal)
    for number in range(later):
        current = await other.read(DOMAINS, "kz-a")
        await other.accept(
            region(f"r{number}", expected=current.shown_version, attempt=f"o{number}")
        )
    again = await accept(proposal)
    assert (type(again), again.key) == (proposals.Accepted, first.key)
    lost = await accept(region("new", attempt="t2"))
    assert isinstance(lost, proposals.Lost)
    nodes[0].store.list = _unavailable
    again = await accept(proposal)
    assert isinstance(
        again, proposals.Accepted if later < audit.MAX_KEPT_ENTRIES else proposals.Unsettled
    )


async def _unavailable(*_, **__):
    return objects.Unavailable(reason="down")


async def test_a_repeat_of_an_accepted_change_is_not_applied_again():
    nodes = make_nodes()
    proposal = region("kz")
    first = await changes_of(nodes[0]).accept(proposal)
    again = await changes_of(nodes[1]).accept(proposal)
    assert again.version == first.version
    other = await changes_of(nodes[1]).accept(region("other"))
    assert isinstance(other, proposals.AttemptReused)
    assert await attempts_of(nodes[0].store, first.key) == ["t1"]


async def test_deletion_keeps_the_audit_trail_and_frees_the_name():
    (node,) = make_nodes(count=1)
    accept = changes_of(node).accept
    first = await accept(region("kz"))
    gone = await accept(propose(None, expected=first.version, attempt="t2"))
    assert gone.version > first.version
    assert not proposals.decode_current(node.replica.get(first.key)).exists
    again = await accept(region("new", attempt="t3"))
    assert again.version > gone.version
    assert await attempts_of(node.store, first.key) == ["t1", "t2", "t3"]


async def test_a_stale_read_does_not_undo_a_newer_version(monkeypatch):
    (node,) = make_nodes(count=1)
    accept = changes_of(node).accept
    first = await accept(region("kz"))
    stale = await node.store.get(first.key)
    second = await accept(region("south", expected=first.version, attempt="t2"))

    async def stale_get(key, **kwargs):
        return stale

    monkeypatch.setattr(node.store, "get", stale_get)
    lost = await accept(region("west", expected=first.version, attempt="t3"))
    assert isinstance(lost, proposals.Lost)
    assert lost.current_version == second.version


async def test_all_errors_of_a_value_are_reported_together_and_nothing_is_written():
    (node,) = make_nodes(count=1)
    accept = changes_of(node).accept
    result = await accept(workspace({"rate": 0, "priority": "high", "colour": "red"}))
    assert {error.path for error in result.errors} == {"priority", "colour"}
    result = await accept(workspace({"rate": 0, "burst": 0, "key_digests": ["x"]}))
    assert {error.path for error in result.errors} == {"rate", "burst", "key_digests.0"}
    result = await accept(workspace({"services": ["none", "nil"]}))
    assert {error.path for error in result.errors} == {"services.0", "services.1"}
    assert (await node.store.list("")).objects == ()


async def test_the_last_administrator_cannot_be_removed():
    (node,) = make_nodes(count=1)
    accept = changes_of(node, "").accept
    account = {"token_digest": "0" * 64, "role": "administer"}
    operator = functools.partial(propose, name="ana", kind=configuration.OPERATORS)
    made = await accept(operator(account))
    removed = await accept(operator(None, expected=made.version, attempt="t2"))
    assert removed.errors[0].allowed == "at least one operator who may administer"
    demoted = await accept(
        operator(account | {"role": "read"}, expected=made.version, attempt="t3")
    )
    assert isinstance(demoted, configuration.Problems)
    await accept(
        propose(account | {"token_digest": "1" * 64}, name="ben", kind=configuration.OPERATORS)
    )
    gone = await accept(operator(None, expected=made.version, attempt="t4"))
    assert isinstance(gone, proposals.Accepted)


async def test_a_service_in_use_cannot_be_deleted():
    (node,) = make_nodes(count=1)
    accept = changes_of(node).accept
    made = await accept(service({"kind": "plain", "pool": "p"}))
    await accept(workspace({"services": ["s"]}))
    result = await accept(service(None, expected=made.version, attempt="t2"))
    assert "workspace w still names it" in result.errors[0].found


@pytest.mark.looptime
async def test_many_concurrent_changes_leave_a_complete_audit_trail():
    nodes = make_nodes(count=3)
    store = nodes[0].store
    accepted: list[tuple[str, str]] = []

    async def operate(number):
        accept = changes_of(nodes[number % 3]).accept
        name = f"domain-{number % 4}"
        for turn in range(220):
            if turn % 20 == number:
                store.faults.lose_answers += 1
            current = await changes_of(nodes[number % 3]).read(DOMAINS, name)
            result = await accept(
                region(
                    f"r{number}.{turn}",
                    name=name,
                    expected=current.shown_version,
                    attempt=f"{number}-{turn}",
                )
            )
            assert isinstance(result, proposals.Accepted | proposals.Lost)
            if isinstance(result, proposals.Accepted):
                accepted.append((result.key, result.attempt_id))
            await asyncio.sleep(0.01 * (number + 1))

    await asyncio.gather(*(operate(number) for number in range(10)))
    for node in nodes:
        await node.catch_up()
    day = audit.day_of(nodes[0].directory and (await _first_entry(store)).at)
    trail = await audit_reader.AuditReader(kernel=nodes[1].kernel).read(
        audit_reader.Query(since=day)
    )
    assert trail.complete
    found = [(line.key, line.entry.attempt_id) for line in trail.lines]
    assert sorted(found) == sorted(accepted)
    assert len(accepted) > 10 * audit.MAX_KEPT_ENTRIES
    _assert_chained(trail.lines)


async def _first_entry(store):
    return (await stored_object(store, "config/failure_domains/domain-0")).audit[0]


def _assert_chained(lines):
    """Asserts that each entry starts from the value that the previous entry wrote."""
    by_key = itertools.groupby(sorted(lines, key=lambda line: line.key), key=lambda line: line.key)
    for _, found in by_key:
        entries = [line.entry for line in found]
        afters = {entry.after for entry in entries}
        assert sum(entry.before == "" for entry in entries) == 1
        assert all(entry.before in afters for entry in entries if entry.before)
