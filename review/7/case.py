"""One entry of another writer in the list of runners keeps all groups from ever being formed again."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import stage  # noqa: E402

from basilpost.emulator import pool_fleet  # noqa: E402

ZONES = ("a", "b", "c")
MODELS = (pool_fleet.LARGE, pool_fleet.SMALL)
# `recoveryS` of the small deployments, and the time in which requests are counted after it.
RECOVERY_SECONDS = 12.0
COUNTED_SECONDS = 6.0
# Time for which all processes of the system are down after the final fault (`kill_all`).
DOWN_SECONDS = 1.0
# Time for which the runners are down (`cold_return`, 4.5 s at most).
RUNNERS_DOWN_SECONDS = 2.0
# An entry of a service that the configuration does not name. Its epoch is the largest integer that is
# exact in JSON.
ODD_ENTRY = {
    "service": "other",
    "address": "127.0.0.9:9",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "born": 1,
    "sequence": 1,
    "group": {"name": "g1", "epoch": 2**53 - 1, "rank": 0, "state": "ready"},
}


class Caller:
    """Sends streams of both models to all nodes in turn."""

    def __init__(self, on_stage):
        self._stage = on_stage
        self._number = 0

    async def send(self, node, model):
        """Sends one stream; returns True if it was served whole."""
        self._number += 1
        name = f"r{self._number}"
        headers = stage.call_headers(name, model=model, budget_ms=3000)
        self._stage.record.write(f"sent {name} model {model} to {node.node_id}")
        answer = await stage.request(
            node.callers, "POST", "/draft/x", headers, b"text", timeout=4.0
        )
        status = "nothing" if answer is None else answer.status
        self._stage.record.write(f"answered {name} {status}")
        return answer is not None and answer.status == 200 and answer.complete

    async def send_to_all(self):
        """Returns how many of one stream of each model to each node were served, and their number."""
        served = [await self.send(node, model) for node in self._stage.nodes for model in MODELS]
        return sum(served), len(served)


async def main(trouble):
    fleet = pool_fleet.PoolFleet(vms=6, plain_instances=2)
    async with stage.Stage(fleet=fleet, folder=FOLDER) as on_stage:
        for zone in ZONES:
            await on_stage.add_node(f"front-{zone}-1", zone=zone)
        await on_stage.until_ready()
        caller = Caller(on_stage)
        for model in MODELS:
            await on_stage.until(
                lambda model=model: caller.send(on_stage.nodes[0], model), what=f"{model} is served"
            )
        if trouble:
            await fleet.store.put("servers/i-other", ODD_ENTRY)
            on_stage.record.write("another writer's entry is in the list of runners")
        await asyncio.sleep(3.0)
        served_before, asked_before = await caller.send_to_all()
        on_stage.record.write(f"before the final fault: {served_before} of {asked_before} served")
        if served_before * 4 < asked_before:
            raise stage.CannotRunError("less than a quarter is served before the final fault")

        for runner in fleet.runners_of(pool_fleet.MODEL_SERVICE):
            runner.options.down_seconds = RUNNERS_DOWN_SECONDS
            runner.crash()
        for node in on_stage.nodes:
            await node.kill()
        on_stage.record.write("all nodes are killed; the runners of the zone go down as well")
        await asyncio.sleep(DOWN_SECONDS)
        for node in on_stage.nodes:
            await node.start()
        await asyncio.sleep(max(0.0, RUNNERS_DOWN_SECONDS - DOWN_SECONDS))
        back_at = time.monotonic()
        on_stage.record.write("all machines and runners are back")

        await asyncio.sleep(RECOVERY_SECONDS)
        served = asked = 0
        while time.monotonic() < back_at + RECOVERY_SECONDS + COUNTED_SECONDS:
            more_served, more_asked = await caller.send_to_all()
            served, asked = served + more_served, asked + more_asked
            await asyncio.sleep(0.3)
        for runner in fleet.runners_of(pool_fleet.MODEL_SERVICE):
            on_stage.record.write(f"{runner.vm_id} ran {[run.attempt for run in runner.runs]}")
            on_stage.record.write(f"{runner.vm_id} is in {runner.member}")
        on_stage.record.write(f"later than recoveryS: {served} of {asked} served")
        print(
            f"served {served} of {asked} after the recovery, {served_before} of {asked_before} before"
        )
        return served * 4 < asked


stage.run(main)
