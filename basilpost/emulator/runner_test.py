"""Tests of the emulated runner: refusals, crashes, faults and its log."""

import asyncio
import contextlib
import dataclasses
import json

from tornado import httpclient

from basilpost.core import names
from basilpost.emulator import answers, records, runner
from basilpost.groups import runner_api

FAST = records.RunnerOptions(
    token_interval=0.002, prefill_seconds=0, load_seconds=0, warm_seconds=600, warm_requests=2
)
BODY = {"model": "m", "messages": [{"role": "user", "content": "who holds the clip?"}]}


@contextlib.asynccontextmanager
async def running_group(size=2, options=FAST):
    """Yields runners that are members of group g, generation 1, by rank."""
    runners = [runner.Runner(vm_id=f"vm-{rank}", options=options) for rank in range(size)]
    addresses = tuple([await emulated.start() for emulated in runners])
    for rank, emulated in enumerate(runners):
        order = runner_api.Order(kind=runner_api.OrderKind.LOAD, fence=1, group_id="g",
                                 generation=1, rank=rank, members=addresses, model="m",
                                 model_version="1")  # fmt: skip
        await emulated.handle_order(order)
    await until(lambda: runners[0].refusal_code("g", 1) is None)
    try:
        yield runners
    finally:
        for emulated in runners:
            await emulated.stop()


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def complete(
    emulated, *, body=BODY, request_id="r1", generation=1, resume=None, on_chunk=None
):
    headers = {
        names.REQUEST_ID_HEADER: request_id,
        names.GROUP_HEADER: "g",
        names.GENERATION_HEADER: str(generation),
    } | ({names.RESUME_HEADER: str(resume)} if resume is not None else {})
    try:
        return await httpclient.AsyncHTTPClient().fetch(
            f"http://{emulated.address}/v1/chat/completions", method="POST", body=json.dumps(body),
        headers=headers, raise_error=False, streaming_callback=on_chunk, request_timeout=5,
        )  # fmt: skip
    except httpclient.HTTPError as error:
        return error


def raw_request(body, *, version="1.1"):
    text = json.dumps(body)
    head = (f"POST /v1/chat/completions HTTP/{version}", "Host: x", "Basilpost-Group: g",
            "Basilpost-Generation: 1", f"Content-Length: {len(text)}", "", text)  # fmt: skip
    return "\r\n".join(head).encode()


def streamed_tokens(text):
    events = [line[6:] for line in text.splitlines() if line.startswith("data: {")]
    return [json.loads(event)["choices"][0]["delta"]["content"] for event in events]


async def test_a_complete_group_answers_plain_and_streamed_requests():
    async with running_group() as runners:
        plain = await complete(runners[0])
        assert json.loads(plain.body)["choices"][0]["message"]["content"] == answers.text_for(BODY)
        assert plain.headers["Basilpost-Cold"] == "1"
        streamed = await complete(runners[0], body=BODY | {"stream": True}, request_id="r2")
        text = streamed.body.decode()
        assert streamed_tokens(text) == answers.tokens_for(BODY)
        assert text.endswith("data: [DONE]\n\n")
        assert [run.request_id for run in runners[0].runs] == ["r1", "r2"]
        assert runners[0].status().state is runner_api.RunnerState.READY


async def test_a_stream_resumes_from_a_token():
    async with running_group() as runners:
        body = BODY | {"stream": True, "max_tokens": 9}
        text = (await complete(runners[0], body=body, resume=6)).body.decode()
        assert streamed_tokens(text) == answers.tokens_for(body)[6:]


async def test_a_stream_over_http_1_0_has_no_chunks():
    async with running_group() as runners:
        reader, writer = await asyncio.open_connection(*runners[0].address.split(":"))
        writer.write(raw_request(BODY | {"stream": True}, version="1.0"))
        head, _, text = (await reader.read()).decode().partition("\r\n\r\n")
        writer.close()
        assert "chunked" not in head
        assert text.startswith("data: {") and text.endswith("data: [DONE]\n\n")
        assert streamed_tokens(text) == answers.tokens_for(BODY)


async def test_wrong_rank_generation_or_an_incomplete_group_is_refused_as_not_run():
    async with running_group() as runners:
        for misdirected in (complete(runners[1]), complete(runners[0], generation=2)):
            refused = await misdirected
            assert (refused.code, refused.headers[names.OUTCOME_HEADER]) == (409, "not-run")
        await runners[1].stop()
        await until(lambda: runners[0].refusal_code("g", 1) is not None)
        assert (await complete(runners[0])).code == 409


async def test_a_killed_member_breaks_running_answers():
    async with running_group() as runners:
        body = BODY | {"stream": True, "max_tokens": 100_000}
        running = asyncio.create_task(complete(runners[0], body=body))
        await until(lambda: runners[0].batch)
        await runners[1].stop()
        assert (await running).code == 599
        assert runners[0].runs[0].outcome == "broken"


async def test_too_many_requests_in_a_cold_start_crash_the_runner():
    async with running_group() as runners:
        body = BODY | {"max_tokens": 100_000}
        running = [asyncio.create_task(complete(runners[0], body=body, request_id=str(number)))
                   for number in range(3)]  # fmt: skip
        assert {(await request).code for request in running} == {599}
        assert runners[0].crash_count == 1
        assert runners[0].status().state is runner_api.RunnerState.EMPTY
        worst = max(runners[0].runs, key=lambda run: run.in_flight)
        assert worst.cold and worst.in_flight > worst.cold_limit


async def test_a_request_whose_client_disconnects_is_cancelled():
    async with running_group() as runners:
        reader, writer = await asyncio.open_connection(*runners[0].address.split(":"))
        body = json.dumps(BODY | {"max_tokens": 100_000}).encode()
        writer.write(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nBasilpost-Group: g\r\n"
                     b"Basilpost-Generation: 1\r\nContent-Length: %d\r\n\r\n%b"
                     % (len(body), body))  # fmt: skip
        await until(lambda: runners[0].batch)
        writer.close()
        await until(lambda: not runners[0].batch)
        assert runners[0].runs[0].outcome == "cancelled"


async def test_an_old_fencing_token_is_refused_only_by_runners_that_check_it():
    for checks, kind in ((True, runner_api.StaleFence), (False, runner_api.Accepted)):
        async with running_group(1, dataclasses.replace(FAST, checks_fence=checks)) as runners:
            order = runner_api.Order(kind=runner_api.OrderKind.UNLOAD, fence=0)
            assert isinstance(await runners[0].handle_order(order), kind)


async def test_faults_cross_truncate_and_break_answers():
    async with running_group(1, dataclasses.replace(FAST, warm_seconds=0)) as runners:
        emulated = runners[0]
        await complete(emulated)
        emulated.set_faults(records.RunnerFaults(cross_answers=1))
        crossed = await complete(emulated, body=BODY | {"max_tokens": 5}, request_id="r2")
        assert crossed.headers[names.REQUEST_ID_HEADER] == "r1"
        emulated.set_faults(records.RunnerFaults(truncate=2))
        cut = (await complete(emulated, body=BODY | {"stream": True})).body.decode()
        assert 0 < len(streamed_tokens(cut)) < len(answers.tokens_for(BODY))
        assert "[DONE]" not in cut
        assert (await complete(emulated)).code == 599
        emulated.set_faults(records.RunnerFaults(crash_on="poison"))
        assert (await complete(emulated, body=BODY | {"user": "poison"})).code == 599
        assert emulated.crash_count == 1


async def test_connections_go_silent_while_new_ones_work():
    async with running_group(1, dataclasses.replace(FAST, warm_seconds=0)) as runners:
        body = BODY | {"stream": True, "max_tokens": 400}
        chunks = []
        running = asyncio.create_task(complete(runners[0], body=body, on_chunk=chunks.append))
        await until(lambda: chunks)
        await httpclient.AsyncHTTPClient().fetch(
            f"http://{runners[0].address}/faults", method="POST", body='{"silent": true}'
        )
        assert (await complete(runners[0], request_id="r2")).code == 200
        await until(lambda: not runners[0].batch)
        assert not running.done()
        running.cancel()


async def test_the_first_token_comes_sooner_for_a_cached_prefix():
    emulated = runner.Runner(vm_id="vm", options=records.RunnerOptions(cache_blocks=64))
    body = {"messages": [{"content": "x" * 640}]}
    missed = emulated.first_token_after(body)
    assert emulated.first_token_after(body) < missed
    emulated.first_token_after({"messages": [{"content": "y" * 64 * 64}]})
    assert emulated.first_token_after(body) == missed
