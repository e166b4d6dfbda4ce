"""Tests of the demo's steps, and of the demo's nodes with an unmodified OpenAI client."""

import openai
import pytest

from basilpost.node import demo


@pytest.fixture
async def shown():
    shown = demo.Demo()
    await shown.start()
    yield shown
    await shown.stop()


async def test_the_tour_prints_that_a_repeated_filing_runs_once(shown):
    lines = []
    await demo.run_steps(shown, lines.append)
    assert any("the back ends' own logs show 1 run" in line for line in lines)


async def test_a_stock_client_lists_completes_and_streams(shown):
    client = openai.AsyncOpenAI(
        base_url=shown.gateway_url(0) + "/v1", api_key=demo.API_KEY, max_retries=0
    )
    async with client:
        models = await client.models.list()
        assert [model.id for model in models.data] == ["clearance"]
        whole = await client.chat.completions.create(
            model="clearance", messages=demo.QUESTION["messages"], max_tokens=8
        )
        stream = await client.chat.completions.create(
            model="clearance", messages=demo.QUESTION["messages"], max_tokens=8, stream=True
        )
        pieces = [chunk.choices[0].delta.content or "" async for chunk in stream]
        assert "".join(pieces) == whole.choices[0].message.content


async def test_a_stock_client_gets_typed_errors(shown):
    async with openai.AsyncOpenAI(
        base_url=shown.gateway_url(0) + "/v1", api_key="wrong", max_retries=0
    ) as client:
        with pytest.raises(openai.AuthenticationError) as caught:
            await client.models.list()
        assert caught.value.code == "invalid_api_key"
    async with openai.AsyncOpenAI(
        base_url=shown.gateway_url(0) + "/v1", api_key=demo.API_KEY, max_retries=0
    ) as client:
        with pytest.raises(openai.NotFoundError) as unknown:
            await client.chat.completions.create(model="none", messages=demo.QUESTION["messages"])
        assert unknown.value.code == "model_not_found"
