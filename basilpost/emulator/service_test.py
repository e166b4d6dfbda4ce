"""Tests of the emulated plain service."""

import contextlib
import json

from tornado import httpclient

from basilpost.core import names
from basilpost.emulator import records, service


@contextlib.asynccontextmanager
async def serving():
    one = service.PlainService(instance="licences-1", run_seconds=0)
    await one.start()
    try:
        yield one
    finally:
        await one.stop()


async def file(one, key, request_id="r1"):
    headers = {names.REQUEST_ID_HEADER: request_id, names.IDEMPOTENCY_HEADER: key}
    url = f"http://{one.address}/licences/7"
    try:
        return await httpclient.AsyncHTTPClient().fetch(
            url, method="POST", body="{}", headers=headers
        )
    except httpclient.HTTPError as error:
        return error


async def look_up(one, path):
    found = await httpclient.AsyncHTTPClient().fetch(f"http://{one.address}{path}")
    return json.loads(found.body)


async def test_a_repeated_key_shows_as_a_second_run():
    async with serving() as one:
        receipt = await file(one, "k1")
        assert (receipt.code, receipt.headers[names.REQUEST_ID_HEADER]) == (201, "r1")
        assert json.loads(receipt.body)["receipt"] == "licences-1-1"
        await file(one, "k1")
        log = await look_up(one, "/log")
        assert [filing["key"] for filing in log["filings"]] == ["k1", "k1"]


async def test_a_dropped_call_may_have_run():
    async with serving() as one:
        one.set_faults(records.ServiceFaults(drop_after=1))
        assert (await file(one, "k1")).code == 599
        one.set_faults(records.ServiceFaults(drop_before=1))
        assert (await file(one, "k2")).code == 599
        assert (await look_up(one, "/outcomes/k1"))["ran"]
        assert not (await look_up(one, "/outcomes/k2"))["ran"]


async def test_look_ups_and_crossed_answers():
    async with serving() as one:
        assert (await look_up(one, "/catalogue/clip-7"))["id"] == "clip-7"
        await file(one, "k1", "r1")
        one.set_faults(records.ServiceFaults(cross_answers=1))
        assert (await file(one, "k2", "r2")).headers[names.REQUEST_ID_HEADER] == "r1"
