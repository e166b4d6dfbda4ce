"""Tests of the emulated plain service."""

import contextlib
import json

from tornado import httpclient

from basilpost.core import names
from basilpost.emulator import records, service


@contextlib.asynccontextmanager
async def serving():
    instance = service.PlainService(instance="licences-1", run_seconds=0)
    await instance.start()
    try:
        yield instance
    finally:
        await instance.stop()


async def post_filing(instance, key, request_id="r1"):
    headers = {names.REQUEST_ID_HEADER: request_id, names.IDEMPOTENCY_HEADER: key}
    url = f"http://{instance.address}/licences/7"
    try:
        return await httpclient.AsyncHTTPClient().fetch(
            url, method="POST", body="{}", headers=headers
        )
    except httpclient.HTTPError as error:
        return error


async def look_up(instance, path):
    found = await httpclient.AsyncHTTPClient().fetch(f"http://{instance.address}{path}")
    return json.loads(found.body)


async def test_a_repeated_key_is_logged_as_a_second_run():
    async with serving() as instance:
        receipt = await post_filing(instance, "k1")
        assert (receipt.code, receipt.headers[names.REQUEST_ID_HEADER]) == (201, "r1")
        assert json.loads(receipt.body)["receipt"] == "licences-1-1"
        await post_filing(instance, "k1")
        log = await look_up(instance, "/log")
        assert [filing["key"] for filing in log["filings"]] == ["k1", "k1"]


async def test_a_dropped_call_may_have_run():
    async with serving() as instance:
        instance.set_faults(records.ServiceFaults(drop_after=1))
        assert (await post_filing(instance, "k1")).code == 599
        instance.set_faults(records.ServiceFaults(drop_before=1))
        assert (await post_filing(instance, "k2")).code == 599
        assert (await look_up(instance, "/outcomes/k1"))["ran"]
        assert not (await look_up(instance, "/outcomes/k2"))["ran"]


async def test_look_ups_and_crossed_answers():
    async with serving() as instance:
        assert (await look_up(instance, "/catalogue/clip-7"))["id"] == "clip-7"
        await post_filing(instance, "k1", "r1")
        instance.set_faults(records.ServiceFaults(cross_answers=1))
        assert (await post_filing(instance, "k2", "r2")).headers[names.REQUEST_ID_HEADER] == "r1"
