"""Nodes against the emulated platform: groups form and requests are served by their runners."""

import asyncio

import pytest
import tornado.simple_httpclient

from basilpost.core import channels
from basilpost.emulator import pool_fleet, pool_runner
from basilpost.routing import cold, crash_evidence, placement, retry, targets
from tests import pool_nodes

ALL_EVENT_IDS = [1, 2, 3, 4, 5, 6]
# Longer than the interval at which a node reads the store.
STORE_READ_SECONDS = 0.8


def head_runners(bench, model=pool_fleet.LARGE):
    """Returns the runners that show an open group of a model."""
    return [
        runner
        for runner in bench.fleet.runners_by_id.values()
        if runner.member is not None
        and runner.member["state"] == "open"
        and runner.member["name"].startswith(model)
    ]


def _failure_domain_of(knowledge, vm_id):
    return knowledge.vms_by_id[vm_id].vm.failure_domain


async def test_a_stream_is_served_whole_by_a_complete_group():
    async with pool_nodes.running(vms=6) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        answer = await bench.draft()
        assert answer.code == 200
        assert pool_nodes.event_ids(answer.body) == ALL_EVENT_IDS
        assert answer.headers[pool_runner.SIGNATURE] == "s"
        (ran,) = bench.fleet.runs_of(answer.attempt)
        members = [
            runner.member["rank"]
            for runner in bench.fleet.runners_by_id.values()
            if runner.member is not None and runner.member["name"] == ran.group
        ]
        assert sorted(members) == [0, 1, 2]


async def test_a_request_reaches_the_runner_unchanged_but_for_the_key():
    async with pool_nodes.running(vms=0) as bench:
        answer = await bench.call("/filing/a%20b/c?d=e&f=%2F", body=b"\x00\xffbody", X_Own="kept")
        assert answer.code == 200
        (ran,) = bench.fleet.runs_of(answer.attempt)
        assert (ran.path, ran.body) == ("/filing/a%20b/c?d=e&f=%2F", b"\x00\xffbody")
        assert ran.workspace == pool_fleet.WORKSPACE
        assert not ran.credential_forwarded


async def test_callers_cannot_name_their_workspace():
    async with pool_nodes.running(vms=0) as bench:
        answer = await bench.call("/filing/a", X_Tenant="someone-else")
        assert bench.fleet.runs_of(answer.attempt)[0].workspace == pool_fleet.WORKSPACE


async def test_unknown_routes_and_keys_are_refused_and_not_run():
    async with pool_nodes.running(vms=0) as bench:
        assert (await bench.call("/nothing/")).code == 404
        refused = await bench.call("/filing/a", X_Credential="stolen")
        assert refused.code == 401
        assert not bench.fleet.runs_of(refused.attempt)


async def test_a_configuration_without_workspaces_refuses_every_request():
    """Keys are checked only where a configuration names workspaces; an empty list allows no key."""
    async with pool_nodes.running(vms=0) as bench:
        open_to_all = pool_fleet.configuration(2)
        del open_to_all["tenants"]
        await bench.fleet.configure(open_to_all)
        await bench.wait_for_knowledge(lambda knowledge: knowledge.configuration.version == 2)
        answer = await bench.call("/filing/a", X_Credential="")
        assert answer.code == 200
        assert bench.fleet.runs_of(answer.attempt)[0].workspace == ""
        await bench.fleet.configure(pool_fleet.configuration(3) | {"tenants": []})
        await bench.wait_for_knowledge(lambda knowledge: knowledge.configuration.version == 3)
        assert (await bench.call("/filing/a")).code == 401


async def test_a_key_that_was_taken_away_is_refused():
    async with pool_nodes.running(vms=0) as bench:
        assert (await bench.call("/filing/a", X_Credential=pool_fleet.OTHER_KEY)).code == 200
        await bench.fleet.configure(pool_fleet.configuration(2, keys=(pool_fleet.KEY,)))
        await bench.wait_for_knowledge(lambda knowledge: knowledge.configuration.version == 2)
        refused = await bench.call("/filing/a", X_Credential=pool_fleet.OTHER_KEY)
        assert refused.code == 401
        assert (await bench.call("/filing/a")).code == 200


async def test_a_broken_configuration_leaves_the_last_good_one_in_force():
    async with pool_nodes.running(vms=0) as bench:
        await bench.fleet.configure({"version": 9, "routes": "none"})
        await asyncio.sleep(STORE_READ_SECONDS)
        assert (await bench.call("/filing/a")).code == 200


async def test_malformed_entries_are_ignored_and_the_others_stay_in_use():
    async with pool_nodes.running(vms=0, plain_instances=1) as bench:
        for number, entry in enumerate(
            (
                None,
                "text",
                {"service": pool_fleet.PLAIN_SERVICE},
                {"service": pool_fleet.PLAIN_SERVICE, "address": "127.0.0.1:1", "state": "odd"},
            )
        ):
            await bench.fleet.store.put(f"servers/broken-{number}", entry)
        await asyncio.sleep(STORE_READ_SECONDS)
        answers = [await bench.call("/filing/a") for _ in range(6)]
        assert {answer.code for answer in answers} == {200}


async def test_a_filing_whose_answer_is_lost_runs_once_and_its_outcome_is_unknown():
    async with pool_nodes.running(vms=0) as bench:
        for runner in bench.fleet.runners_by_id.values():
            runner.options.lose_answers = 1
        answer = await bench.call("/filing/a")
        assert answer.code == 502
        assert answer.headers["Basilpost-Outcome"] == "unknown"
        assert "Retry-After" not in answer.headers
        assert len(bench.fleet.runs_of(answer.attempt)) == 1


async def test_a_refusal_for_want_of_room_says_not_run_and_when_to_come_back():
    async with pool_nodes.running(vms=0) as bench:
        for runner in bench.fleet.runners_by_id.values():
            runner.options.full = True
        answer = await bench.call("/filing/a")
        assert answer.code == 503
        assert answer.headers["Basilpost-Outcome"] == "not-run"
        assert 0 < float(answer.headers["Retry-After"]) < 2
        assert not bench.fleet.runs_of(answer.attempt)


async def test_a_lookup_whose_answer_is_lost_is_retried_at_another_runner():
    async with pool_nodes.running(vms=0) as bench:
        for runner in bench.fleet.runners_by_id.values():
            runner.options.lose_answers = 1
        first = await bench.call("/lookup/a", method="GET")
        assert first.code == 502
        assert len(bench.fleet.runs_of(first.attempt)) == 2
        second = await bench.call("/lookup/a", method="GET")
        assert second.code == 200


async def test_the_error_of_a_runner_is_passed_on_with_its_signature():
    async with pool_nodes.running(vms=0) as bench:
        for runner in bench.fleet.runners_by_id.values():
            runner.options.fail = True
        answer = await bench.call("/filing/a")
        assert (answer.code, answer.body) == (500, b"failed")
        assert answer.headers[pool_runner.SIGNATURE] == "s"


async def test_an_answer_to_another_request_is_skipped():
    async with pool_nodes.running(vms=0) as bench:
        for runner in bench.fleet.runners_by_id.values():
            runner.options.stray_answers = 1
        answers = [await bench.call("/filing/a") for _ in range(4)]
        for answer in answers:
            assert answer.attempt.encode() in answer.body


async def test_a_nameless_answer_on_a_kept_connection_is_not_taken_for_the_next_request(
    monkeypatch,
):
    """A second answer to an earlier request may come without the id of its request."""
    # Each turn needs a kept connection, also after such an answer.
    monkeypatch.setattr(channels, "SINGLE_USE_SECONDS", 0.0)
    async with pool_nodes.running(vms=0, plain_instances=1) as bench:
        runner = bench.fleet.runners_by_id["desk-0"]
        assert (await bench.call("/lookup/a", method="GET")).code == 200
        runner.options.unnamed_stray_answers = True
        for _ in range(3):
            runner.options.stray_answers = 1
            answer = await bench.call("/lookup/a", method="GET")
            assert answer.code == 200
            assert answer.attempt.encode() in answer.body


async def test_a_stream_that_is_cut_within_an_event_goes_on_at_another_group():
    async with pool_nodes.running(fabric_domains=3, vms=3) as bench:
        await bench.wait_for_groups(2, pool_fleet.LARGE)
        shared = pool_runner.Options(cut_streams=1)
        for runner in bench.fleet.runners_by_id.values():
            runner.options = shared
        answer = await bench.draft()
        assert pool_nodes.event_ids(answer.body) == ALL_EVENT_IDS
        first, second = sorted(bench.fleet.runs_of(answer.attempt), key=lambda ran: ran.after)
        assert first.group != second.group
        assert (first.after, second.after) == ("", "2")


async def test_a_stream_continues_at_another_group_when_its_group_stalls():
    async with pool_nodes.running(fabric_domains=3, vms=3) as bench:
        await bench.wait_for_groups(2, pool_fleet.LARGE)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.event_seconds = 0.05
        calls = [asyncio.create_task(bench.draft()) for _ in range(4)]
        await asyncio.sleep(0.12)
        head_runners(bench)[0].options.stalled = True
        answers = await asyncio.gather(*calls)
        assert [pool_nodes.event_ids(answer.body) for answer in answers] == [ALL_EVENT_IDS] * 4


async def test_a_stream_that_cannot_be_continued_is_not_ended_as_complete():
    async with pool_nodes.running(vms=3) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        head_runners(bench)[0].options.cut_streams = 1
        with pytest.raises(tornado.simple_httpclient.HTTPStreamClosedError):
            await bench.draft()


async def test_a_request_that_fells_its_runners_is_refused_at_all_nodes():
    """The caller retries at any node, with the same path and body."""
    async with pool_nodes.running(nodes=2, vms=0, plain_instances=5) as bench:
        await pool_fleet.until(
            lambda: all(peer_network.neighbours() for peer_network in bench.peers)
        )
        for runner in bench.fleet.runners_by_id.values():
            runner.options.crash_bodies = frozenset({b"bad"})
        answers = []
        for number in range(5):
            answers.append(await bench.call("/filing/a", node=number % 2, body=b"bad"))
            await asyncio.sleep(crash_evidence.SEPARATE_SECONDS * 1.2)
        assert [answer.code for answer in answers] == [502, 502, 502, 503, 503]
        assert "Retry-After" not in answers[-1].headers
        assert not bench.fleet.runs_of(answers[-1].attempt)
        assert (await bench.call("/filing/a", body=b"good")).code == 200


async def test_a_request_whose_answers_are_lost_is_not_taken_for_one_that_fells_runners():
    async with pool_nodes.running(nodes=2, vms=0, plain_instances=2) as bench:
        for runner in bench.fleet.runners_by_id.values():
            # Both are equally good, so all requests may go to the same one.
            runner.options.lose_answers = 6
        answers = [await bench.call("/filing/a", node=number % 2) for number in range(6)]
        assert {answer.code for answer in answers} == {502}
        for runner in bench.fleet.runners_by_id.values():
            runner.options.lose_answers = 0
        assert (await bench.call("/filing/a")).code == 200


async def test_work_stops_when_the_caller_leaves():
    async with pool_nodes.running(vms=3) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        head = head_runners(bench)[0]
        head.options.event_seconds = 0.2
        host, _, port = bench.addresses[0].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST /draft/a HTTP/1.1\r\nHost: {pool_fleet.HOST}\r\nX-Attempt-Id: left\r\n"
            f"X-Credential: {pool_fleet.KEY}\r\nX-Model: {pool_fleet.LARGE}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        await reader.readuntil(b"id: 1")
        writer.close()
        relay = bench.relays[0]
        await pool_fleet.until(lambda: relay.in_flight == 0, seconds=0.5)


async def test_a_failure_domain_that_is_out_gets_no_new_work():
    async with pool_nodes.running(vms=0) as bench:
        runner = bench.fleet.runners_by_id["desk-0"]
        runner.failure_domain = "b"
        await runner.report()
        await bench.fleet.store.put("evacuations/a", {})
        await bench.wait_for_knowledge(lambda knowledge: knowledge.out_of_service == {"a"})
        await bench.wait_for_knowledge(
            lambda knowledge: _failure_domain_of(knowledge, "desk-0") == "b"
        )
        answers = [await bench.call("/filing/a") for _ in range(5)]
        assert {answer.code for answer in answers} == {200}
        assert len(runner.runs) == 5
        await bench.fleet.store.put("evacuations/b", {})
        await bench.wait_for_knowledge(lambda knowledge: knowledge.out_of_service == {"a", "b"})
        assert (await bench.call("/filing/a")).code == 503


async def test_a_leaving_runner_gets_no_new_work():
    async with pool_nodes.running(vms=0) as bench:
        runner = bench.fleet.runners_by_id["desk-0"]
        runner.state = "draining"
        await runner.report()
        await bench.wait_for_knowledge(
            lambda knowledge: (
                "desk-0" in knowledge.vms_by_id and knowledge.vms_by_id["desk-0"].vm.leaving
            )
        )
        before = len(runner.runs)
        answers = [await bench.call("/filing/a") for _ in range(6)]
        assert {answer.code for answer in answers} == {200}
        assert len(runner.runs) == before


async def test_a_planned_stop_cuts_no_stream_and_takes_what_still_comes():
    async with pool_nodes.running(vms=3) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        head_runners(bench)[0].options.event_seconds = 0.1
        call = asyncio.create_task(bench.draft())
        await asyncio.sleep(0.15)
        drain = asyncio.create_task(bench.relays[0].drain())
        await asyncio.sleep(0.05)
        assert not bench.relays[0].ready
        # As long as the users' filings may take, which is within the grace.
        late = await bench.call("/filing/a", X_Deadline_Ms="1500")
        assert late.code == 200
        assert late.headers["Connection"] == "close"
        assert pool_nodes.event_ids((await call).body) == ALL_EVENT_IDS
        await drain


async def test_a_request_that_a_planned_stop_could_cut_is_refused_and_not_run():
    """Callers with open connections, and a balancer that has no other node, still send requests."""
    async with pool_nodes.running(vms=3) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        head_runners(bench)[0].options.event_seconds = 0.4
        drain = asyncio.create_task(bench.relays[0].drain())
        await asyncio.sleep(pool_nodes.GRACE_SECONDS * 0.4)
        refused = await bench.draft()
        assert refused.code == 503
        assert refused.headers["Basilpost-Outcome"] == "not-run"
        assert float(refused.headers["Retry-After"]) < 0.1
        assert not bench.fleet.runs_of(refused.attempt)
        # It may run only once, and its deadline is beyond the end of the drain.
        filing = await bench.call("/filing/a")
        assert (filing.code, pool_nodes.error_code(filing)) == (503, "stopping")
        assert filing.headers["Basilpost-Outcome"] == "not-run"
        assert not bench.fleet.runs_of(filing.attempt)
        short = await bench.call("/lookup/a", method="GET", X_Deadline_Ms="500")
        assert short.code == 200
        await drain


async def test_nodes_that_cannot_check_keys_refuse_them(monkeypatch):
    async with pool_nodes.running(vms=0) as bench:
        relay = bench.relays[0]
        monkeypatch.setattr(relay.knowledge, "configuration_age", lambda: 4.9)
        refused = await bench.call("/filing/a")
        assert refused.code == 503
        assert refused.headers["Basilpost-Outcome"] == "not-run"
        assert not relay.ready


async def test_a_burst_exceeds_the_room_of_targets_while_connections_open():
    async with pool_nodes.running(vms=0) as bench:
        for runner in bench.fleet.runners_by_id.values():
            runner.options.work_seconds = 0.5
        node_loads = bench.relays[0].forwarder._loads
        started, peaks = node_loads.request_started, {}

        def record(target_id):
            started(target_id)
            peaks[target_id] = max(peaks.get(target_id, 0), node_loads.own_in_flight(target_id))

        node_loads.request_started = record
        await asyncio.gather(*(bench.call("/filing/a") for _ in range(16)))
        slots = 4
        assert max(peaks.values()) <= slots * (1.0 + placement.QUEUE_SHARE) + 1, peaks


async def test_a_burst_exceeds_the_rate_of_cold_targets_while_connections_open(monkeypatch):
    async with pool_nodes.running(vms=0) as bench:
        monkeypatch.setattr(cold, "share", lambda target_id, **options: 2)
        monkeypatch.setattr(targets.Targets, "is_cold", lambda self, target: True)
        await asyncio.gather(*(bench.call("/filing/a") for _ in range(10)))
        runs = [len(runner.runs) for runner in bench.fleet.runners_by_id.values()]
        assert max(runs) <= 2, runs


async def test_a_silent_stream_is_cut_when_no_retry_is_left(monkeypatch):
    async with pool_nodes.running(fabric_domains=3, vms=3) as bench:
        await bench.wait_for_groups(2, pool_fleet.LARGE)
        monkeypatch.setattr(retry.RetryBudget, "spend", lambda self: False)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.events, runner.options.event_seconds = len(ALL_EVENT_IDS), 0.1
        calling = asyncio.create_task(bench.draft())
        runners = bench.fleet.runners_by_id.values()
        await pool_fleet.until(lambda: any(runner.runs for runner in runners))
        (ran_on,) = [runner for runner in runners if runner.runs]
        await asyncio.sleep(0.25)
        ran_on.options.stalled = True
        # Longer than the silence after which a stream is moved.
        await asyncio.sleep(1.2)
        ran_on.options.stalled = False
        answer = await calling
        assert answer.code == 200
        assert pool_nodes.event_ids(answer.body) == ALL_EVENT_IDS
