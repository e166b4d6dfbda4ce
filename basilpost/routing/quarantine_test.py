"""Tests of the quarantine of requests that crash the targets that run them."""

import asyncio

import pytest

from basilpost.core import codec, data, failure
from basilpost.routing import interfaces, suspects

pytestmark = pytest.mark.looptime


class Targets:
    """Runs requests through nodes as the gateway does; some fingerprints crash their target.

    Attributes:
        crashing: Fingerprints of the requests that crash their target.
        crashed: Ids of the crashed targets, one for each crash.
    """

    def __init__(self, *, crashing):
        self.crashing = crashing
        self.crashed = []
        self._crashed_by_id = {}

    async def run(self, node, fingerprint, *, seconds=1.0):
        """Runs a request and retries it at other targets; returns "ran" or the refusal."""
        request = node.request(fingerprint=fingerprint, seconds=60.0)
        ticket = node.admission.admit(request)
        if isinstance(ticket, failure.Refusal):
            return ticket
        exclude = frozenset()
        try:
            while True:
                choice = await node.admission.choose(request, exclude=exclude)
                if isinstance(choice, failure.Refusal):
                    return choice
                if await self._dispatch(node, request, choice, seconds):
                    return "ran"
                exclude |= {choice.group.group_id}
        finally:
            ticket.close()

    async def _dispatch(self, node, request, choice, seconds):
        group = choice.group
        crashed = self._crashed_by_id.setdefault(group.group_id, asyncio.Event())
        node.quarantine.record_start(request, group)
        if request.fingerprint in self.crashing:
            await asyncio.sleep(0.3)
            self.crashed.append(group.group_id)
            del self._crashed_by_id[group.group_id]
            crashed.set()
        else:
            waited = asyncio.create_task(crashed.wait())
            await asyncio.wait([waited], timeout=seconds)
            waited.cancel()
        node.quarantine.record_end(request, group, crashed=crashed.is_set())
        choice.slot.release(data.Observation(reached=not crashed.is_set()))
        return not crashed.is_set()


@pytest.fixture
def nodes(bench):
    bench.directory.set(groups=tuple(bench.group(number) for number in range(8)))
    bench.slots.limit = 8
    return [bench.node(f"n{number}") for number in range(3)]


async def test_a_crashing_request_repeated_ten_times_crashes_two_targets_at_most(bench, nodes):
    targets = Targets(crashing={"bad"})
    for number in range(10):
        refusal = await targets.run(nodes[number % 3], "bad")
        assert (refusal.code, refusal.retry_after) == ("quarantined", None)
    assert len(targets.crashed) == 2
    assert bench.store.calls_by_kind["create"] == 1


async def test_a_crashing_request_re_sent_to_other_nodes_fells_two_targets_at_most(nodes):
    targets = Targets(crashing={"bad"})

    async def once(node):
        request = node.request(fingerprint="bad")
        choice = await node.admission.choose(request)
        if isinstance(choice, interfaces.Choice):
            await targets._dispatch(node, request, choice, 1.0)

    for number in range(10):
        await once(nodes[number % 3])
        await asyncio.sleep(0.1)
    assert len(targets.crashed) == 2


async def test_innocent_neighbours_run_and_clear_themselves(nodes):
    targets = Targets(crashing={"bad"})
    innocent = [f"good-{number}" for number in range(60)]
    calls = [
        targets.run(nodes[number % 3], fingerprint, seconds=0.5 + number % 7 / 4)
        for number, fingerprint in enumerate([*innocent[:30], "bad", *innocent[30:]])
    ]
    results = await asyncio.gather(*calls)
    assert results.count("ran") == 60
    assert results[30].code == "quarantined"
    assert len(targets.crashed) == 2
    await asyncio.sleep(0.1)
    for node in nodes:
        assert [entry.fingerprint for entry in node.quarantine.entries()] == ["bad"]
        request = node.request(fingerprint="good-1")
        assert node.quarantine.find_suspect(request) is None


async def test_suspects_of_one_crash_never_run_on_the_same_target_at_once(nodes):
    targets = Targets(crashing=set())
    node = nodes[0]
    group = node.directory.groups_for("chat")[0]
    requests = [node.request(fingerprint=f"s{number}", seconds=60) for number in range(12)]
    for request in requests:
        node.quarantine.record_start(request, group)
    for request in requests:
        node.quarantine.record_end(request, group, crashed=True)
    await asyncio.sleep(0.1)
    running = [
        asyncio.create_task(targets.run(nodes[number % 3], request.fingerprint))
        for number, request in enumerate(requests)
    ]
    await asyncio.sleep(0.5)
    assert all(count <= 1 for count in node.slots.in_use_by_id.values())
    assert await asyncio.gather(*running) == ["ran"] * 12


async def test_a_failure_of_many_targets_at_once_quarantines_no_request(nodes):
    node = nodes[0]
    groups = node.directory.groups_for("chat")
    request = node.request(fingerprint="unlucky", seconds=60)
    for number, group in enumerate(groups[:5]):
        other = node.request(fingerprint=f"other-{number}")
        node.quarantine.record_start(other, group)
        node.quarantine.record_end(other, group, crashed=True)
    node.quarantine.record_start(request, groups[0])
    node.quarantine.record_end(request, groups[0], crashed=True)
    choice = await node.admission.choose(request)
    node.quarantine.record_start(request, choice.group)
    node.quarantine.record_end(request, choice.group, crashed=True)
    choice.slot.release(data.Observation(reached=False))
    assert node.quarantine.check(request) is None


async def test_an_operators_release_holds_on_all_nodes_and_against_late_messages(bench, nodes):
    targets = Targets(crashing={"bad"})
    await targets.run(nodes[0], "bad")
    await asyncio.sleep(0.1)
    (entry,) = nodes[2].quarantine.entries()
    released = await nodes[1].quarantine.release("bad", actor="ana", reason="engine was mended")
    assert released.released.actor == "ana"
    await asyncio.sleep(0.1)
    await nodes[2].quarantine._on_message("n1", entry)
    targets.crashing = set()
    assert [await targets.run(node, "bad") for node in nodes] == ["ran"] * 3
    later = bench.node("n9")
    await later.quarantine._on_message("n1", released)
    await later.quarantine._on_message("n1", entry)
    assert later.quarantine.entries() == ()
    assert b"engine was mended" in (await bench.store.get("quarantine/bad")).value


async def test_a_quarantine_is_stored_after_a_store_outage_and_holds_on_a_new_node(bench, nodes):
    bench.store.faults.down = True
    targets = Targets(crashing={"bad"})
    await targets.run(nodes[0], "bad")
    await asyncio.sleep(30)
    bench.store.faults.down = False
    await asyncio.sleep(10)
    later = bench.node("n9")
    later.replica.offer(nodes[0].replica._changes_by_key["quarantine/bad"])
    assert (await targets.run(later, "bad")).code == "quarantined"
    assert len(targets.crashed) == 2


async def test_a_suspect_that_a_target_refused_is_not_cleared(nodes):
    node = nodes[0]
    group = node.directory.groups_for("chat")[0]
    request = node.request(fingerprint="s", seconds=60)
    node.quarantine.record_start(request, group)
    node.quarantine.record_end(request, group, crashed=True)
    choice = await node.admission.choose(request)
    node.quarantine.record_start(request, choice.group)
    node.quarantine.record_end(request, choice.group, crashed=False, ran=False)
    choice.slot.release(data.Observation(reached=True))
    assert node.quarantine.find_suspect(request) is not None


async def test_messages_are_unchanged_after_encoding_and_decoding(nodes):
    targets = Targets(crashing={"bad"})
    await targets.run(nodes[0], "bad")
    (entry,) = nodes[0].quarantine.entries()
    released = await nodes[0].quarantine.release("bad", actor="ana", reason="mended")
    for message in (
        entry,
        released,
        suspects.SuspectReport(event_id="e", fingerprint="f", group_id="g", fabric_domain="d"),
        suspects.SuspectCleared(event_id="e", fingerprint="f"),
        suspects.LoneRun(event_id="e", fingerprint="f", group_id=""),
        suspects.LoneRunRequest(fingerprint="f", group_id="g"),
        suspects.LoneRunReply(granted=True),
    ):
        assert codec.from_msgpack(codec.to_msgpack(message), type(message)) == message
