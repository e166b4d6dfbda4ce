"""Tests of the schedule, requests, records and report of the load tool."""

import collections
import contextlib
import dataclasses
import io
import json

import pytest
from tornado import httpserver, netutil, web

from basilpost.emulator import answers, service
from basilpost.load import caller, generator, logs, records, report, schedule

PLAN = schedule.Plan(
    gateways=("http://a", "http://b"), rate=100.0, seconds=5.0, repeat_share=0.5,
    callers=(schedule.Caller(workspace="w", api_key="key"),),
)  # fmt: skip


def test_a_schedule_depends_only_on_its_plan_and_seed():
    arrivals = schedule.arrivals(PLAN)
    assert arrivals == schedule.arrivals(PLAN)
    assert arrivals != schedule.arrivals(dataclasses.replace(PLAN, seed=2))
    assert len({arrival.request_id for arrival in arrivals}) == len(arrivals)
    assert arrivals == sorted(arrivals, key=lambda arrival: arrival.at)


def test_repeats_go_through_another_gateway_with_the_same_body():
    by_key = collections.defaultdict(list)
    for arrival in schedule.arrivals(PLAN):
        by_key[arrival.key].append(arrival)
    del by_key[""]
    repeated = [arrivals for arrivals in by_key.values() if len(arrivals) > 1]
    assert repeated and len(repeated) < len(by_key)
    for first, second in repeated:
        assert (first.body, first.path) == (second.body, second.path)
        assert first.gateway != second.gateway


def arrival_of(kind):
    return next(arrival for arrival in schedule.arrivals(PLAN) if arrival.kind is kind)


def events_of(arrival, tokens):
    chunks = ({"id": "r", "choices": [{"delta": {"content": token}}]} for token in tokens)
    return b"".join(b"data: %b\n\n" % json.dumps(chunk).encode() for chunk in chunks)


def test_a_stream_without_its_end_mark_is_incomplete():
    arrival = arrival_of(records.Kind.STREAM)
    tokens = answers.tokens_for(json.loads(arrival.body))
    whole = events_of(arrival, tokens)
    content = caller.read(arrival, 200, whole + b"data: [DONE]\n\n")
    assert content.complete and content.text == caller.expected_text(arrival)
    assert not caller.read(arrival, 200, whole).complete
    broken = whole + b'event: error\ndata: {"error": {"code": "target_lost"}}\n\n'
    assert caller.read(arrival, 200, broken).error == "target_lost"


def test_records_survive_writing_and_reading():
    record = records.Record(
        request_id="r", kind=records.Kind.STREAM, workspace="w", gateway="g", scheduled=0.0,
        sent=0.5, finished=2.0, status=200, answered_ids=("r",), complete=True,
    )  # fmt: skip
    file = io.StringIO()
    records.write_lines([record], file)
    file.seek(0)
    assert records.read_lines(file) == [record]


def test_the_report_counts_latency_from_the_schedule():
    record = records.Record(
        request_id="r", kind=records.Kind.STREAM, workspace="w", gateway="g", scheduled=0.0,
        sent=5.0, finished=6.0, status=200,
    )  # fmt: skip
    refused = dataclasses.replace(record, status=503, outcome="not-run", error="full")
    row = report.rows([record, refused])[-1]
    assert (row.requests, row.answered, row.not_run, row.failed) == (2, 1, 1, 0)
    assert row.latency.p50 == pytest.approx(6000, rel=0.01)


class Relay(web.RequestHandler):
    """Stands in for a node: calls the service and returns its receipt."""

    def initialize(self, target):
        self.target = target

    async def post(self, path):
        body = self.request.body
        key = self.request.headers["Idempotency-Key"]
        request_id = self.request.headers["X-Request-Id"]
        filing = self.target.run(request_id=request_id + ".1-1", key=key, path=path, body=body)
        self.set_header("X-Request-Id", request_id)
        self.finish({"key": key, "digest": filing.digest})


@contextlib.asynccontextmanager
async def relay_to(target):
    sockets = netutil.bind_sockets(0, address="127.0.0.1")
    server = httpserver.HTTPServer(web.Application([(r"/(.*)", Relay, {"target": target})]))
    server.add_sockets(sockets)
    yield f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
    server.stop()
    await server.close_all_connections()


async def test_keys_that_ran_twice_are_violations():
    target = service.PlainService(instance="i1")
    address = await target.start()
    async with relay_to(target) as first, relay_to(target) as second:
        plan = dataclasses.replace(
            PLAN, gateways=(first, second), seconds=0.5, weights_by_kind={records.Kind.FILING: 1.0}
        )
        result = await generator.run(plan)
    assert all(record.succeeded and record.complete for record in result.records)
    violations = logs.check(result.records, await logs.collect([address]))
    repeated = len(result.records) - len({record.key for record in result.records})
    assert len(violations) == repeated > 0
    assert {violation.rule for violation in violations} == {"at-most-once"}
    assert "requests/s" in report.table(result)
    await target.stop()
