"""Tests of the emulated VM list and weight store."""

import asyncio

import pytest

from basilpost.core import data
from basilpost.emulator import vm_list, weight_store
from basilpost.store import http_vms, vms

VM = data.Vm(
    vm_id="vm-1", address="127.0.0.1:1", pool="gpu", fabric_domain="f1", failure_domain="a"
)


async def test_the_list_is_read_over_http():
    vm_server = vm_list.VmListServer(vms=(VM,))
    client = http_vms.HttpVmList(base_url=f"http://{await vm_server.start()}")
    listed_vms = await client.fetch()
    await vm_server.stop()
    assert listed_vms.vms_by_id == {"vm-1": VM}
    assert isinstance(await client.fetch(), vms.ListUnavailable)


@pytest.mark.looptime
async def test_a_change_shows_after_the_lag():
    vm_server = vm_list.VmListServer(vms=(VM,), lag=3)
    vm_server.remove("vm-1")
    await asyncio.sleep(2.9)
    assert vm_server.shown() == [VM]
    await asyncio.sleep(0.2)
    assert vm_server.shown() == []


@pytest.mark.looptime
async def test_loads_are_limited_to_the_rate():
    store = weight_store.WeightStore(loads_per_second=2, load_seconds=1)
    before = asyncio.get_running_loop().time()
    await asyncio.gather(*(store.load() for _ in range(5)))
    assert asyncio.get_running_loop().time() - before == pytest.approx(3, abs=0.01)


def test_an_unreadable_list_is_unavailable():
    for raw in (b"no json", b"{}", b'{"vms": [{"vm_id": 7}]}', b"[]"):
        assert isinstance(http_vms.decode(raw), vms.ListUnavailable)
