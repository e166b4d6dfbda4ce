"""One entry with bytes that cannot be read hides all runners from all nodes."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import stage  # noqa: E402

from basilpost.emulator import pool_fleet, pool_store  # noqa: E402

ZONES = ("a", "b", "c")
# `recoveryS` of the small deployments, and the time in which requests are counted after it.
RECOVERY_SECONDS = 12.0
COUNTED_SECONDS = 6.0
# Time for which all processes of the system are down after the final fault (`kill_all`).
DOWN_SECONDS = 1.0
# What another writer has left as the content of its entry: a string whose bytes are not UTF-8.
MARKER = "unreadable"
UNREADABLE = b'"\xff\xfe\x80"'


def _answer(handler, body, *, status=200):
    """Answers as the emulated store does, with the bytes of the odd entry as they were written."""
    text = json.dumps(body, separators=(",", ":")).encode()
    handler.set_header("Store-Era", "1")
    handler.set_header("Content-Type", "application/json")
    handler.set_status(status)
    handler.finish(text.replace(json.dumps(MARKER).encode(), UNREADABLE))


pool_store._StoreHandler.answer = _answer


class Caller:
    """Sends lookups, filings and streams to all nodes in turn."""

    def __init__(self, on_stage):
        self._stage = on_stage
        self._number = 0

    async def send(self, node, method, path, model=""):
        """Sends one request; returns True if it was served whole."""
        self._number += 1
        name = f"r{self._number}"
        headers = stage.call_headers(name, model=model, budget_ms=3000)
        self._stage.record.write(f"sent {name} {method} {path} to {node.node_id}")
        body = b"" if method == "GET" else b"text"
        answer = await stage.request(node.callers, method, path, headers, body, timeout=4.0)
        status = "nothing" if answer is None else answer.status
        self._stage.record.write(f"answered {name} {status}")
        return answer is not None and answer.status == 200 and answer.complete

    async def send_to_all(self):
        """Returns how many requests of each kind to each node were served, and their number."""
        served = []
        for node in self._stage.nodes:
            served.append(await self.send(node, "GET", "/lookup/x"))
            served.append(await self.send(node, "POST", "/filing/x"))
            served.append(await self.send(node, "POST", "/draft/x", pool_fleet.LARGE))
        return sum(served), len(served)


async def main(trouble):
    fleet = pool_fleet.PoolFleet(vms=6, plain_instances=3)
    async with stage.Stage(fleet=fleet, folder=FOLDER) as on_stage:
        for zone in ZONES:
            await on_stage.add_node(f"front-{zone}-1", zone=zone)
        await on_stage.until_ready()
        caller = Caller(on_stage)
        for node in on_stage.nodes:
            await on_stage.until(
                lambda node=node: caller.send(node, "POST", "/draft/x", pool_fleet.LARGE),
                what=f"{node.node_id} serves",
            )
        if trouble:
            await fleet.store.put("servers/i-other", MARKER)
            on_stage.record.write("another writer's entry is in the list of runners")
        await asyncio.sleep(3.0)
        served_before, asked_before = await caller.send_to_all()
        on_stage.record.write(f"before the final fault: {served_before} of {asked_before} served")
        if served_before * 4 < asked_before:
            raise stage.CannotRunError("less than a quarter is served before the final fault")

        for node in on_stage.nodes:
            await node.kill()
        on_stage.record.write("all nodes are killed")
        await asyncio.sleep(DOWN_SECONDS)
        for node in on_stage.nodes:
            await node.start()
        back_at = time.monotonic()
        on_stage.record.write("all nodes are back")

        await asyncio.sleep(RECOVERY_SECONDS)
        served = asked = 0
        while time.monotonic() < back_at + RECOVERY_SECONDS + COUNTED_SECONDS:
            more_served, more_asked = await caller.send_to_all()
            served, asked = served + more_served, asked + more_asked
            await asyncio.sleep(0.3)
        for runner in fleet.runners_by_id.values():
            on_stage.record.write(f"{runner.vm_id} ran {[run.attempt for run in runner.runs]}")
        on_stage.record.write(f"later than recoveryS: {served} of {asked} served")
        print(
            f"served {served} of {asked} after the recovery, {served_before} of {asked_before} before"
        )
        return served * 4 < asked


stage.run(main)
