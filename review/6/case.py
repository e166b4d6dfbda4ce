"""The node that gives the orders is stopped as planned while the head of a group leaves; see claim.txt.

Four VMs of one fabric domain, a model of three VMs, three nodes. Eight callers read streams of about 2.4 s,
which may not be resumed, on kept connections at the two nodes that do not give the orders. In their midst
the entry of the group's head is removed, as that of a runner that never reports `draining`; the head goes on
to serve to the end of the run. 0.2 s later the node that gives the orders gets SIGTERM; TROUBLE=0 leaves that
out. Nothing else happens: no node, link, store or other runner fails.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import bench  # noqa: E402
from basilpost.emulator import pool_runner, pool_store, silent_connections  # noqa: E402

SERVICE, MODEL, KEY = "clearance", "large", "key-one"
EVENTS, EVENT_SECONDS = 80, 0.03
JOIN_SECONDS, WARM_SECONDS, LOAD_SECONDS, FORM_SECONDS = 0.2, 1.1, 2.0, 0.3
CALLERS = 8
# Bound of the sheet: stallMs.
STALL_SECONDS = 6.0
# From the removal of the entry to SIGTERM.
STOP_AFTER_SECONDS = 0.2
# The rule allows three at a machine.
ALLOWED = 3
EVENTS_OF_CONTROL = ("pool_control_", "pool_order")


def configuration():
    engine = {
        "slots": 13, "loadsPerS": 5.5, "loads_at_once": 8, "formMs": FORM_SECONDS * 1000,
        "models": [{"name": MODEL, "size": 3, "share": 1.0, "pace": 1.0,
                    "loadS": LOAD_SECONDS, "warmS": WARM_SECONDS}],
    }  # fmt: skip
    route = {
        "name": "draft", "hostname": "archive.example", "pathPrefix": "/draft/", "kind": "streaming",
        "timeoutMs": 8000, "targetLatencyMs": 400, "priority": 1, "service": SERVICE,
        "maxAttempts": 1, "anonymous": False, "stickySessions": True, "resumable": False,
        "gapAimMs": 250,
    }  # fmt: skip
    return {
        "version": 3,
        "routes": [route],
        "services": [{"name": SERVICE, "healthPath": "/health", "coldPerS": 36.0, "engine": engine}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "studio", "apiKeys": [KEY], "priority": 1}],
    }  # fmt: skip


class Runner(pool_runner.PoolRunner):
    """The project's stand-in; `close` with `cutoff` cuts the running streams, `queue` lets them end."""

    record = None

    def __init__(self, **options):
        super().__init__(**options)
        self.working = {}
        self.is_delisted = False

    def routes(self):
        return [*super().routes()[:-1], (r"/.*", _WorkHandler, {"owner": self})]

    async def _load(self, order):
        if order["model"] == self._last_model:
            await asyncio.sleep(JOIN_SECONDS)
        else:
            await asyncio.sleep(WARM_SECONDS if order["model"] in self.staged else LOAD_SECONDS)
        if self._is_in(order) and self.member is not None:
            self._last_model, self.staged = order["model"], [order["model"]]
            self.member = {**self.member, "state": "ready"}
            await self.report()

    async def report(self):
        if not self.is_delisted:
            await super().report()

    async def handle_order(self, order):
        status = await super().handle_order(order)
        self.record.write(f"order at {self.vm_id}: {order} -> {status}")
        return status

    async def watch_members(self, runners_by_id):
        """Lets the streams stand still while a member is not in the group, and cuts them after a while."""
        still_since = None
        while True:
            await asyncio.sleep(0.01)
            is_whole = self.member is None or all(
                runners_by_id[vm_id].member is not None
                and runners_by_id[vm_id].member["name"] == self.member["name"]
                for vm_id in self.members
            )
            if is_whole or not self.working:
                self.options.stalled, still_since = False, None
                continue
            now = asyncio.get_running_loop().time()
            if still_since is None:
                still_since = now
                self.record.write(f"{self.vm_id} stands still with {len(self.working)} streams")
            self.options.stalled = True
            if now - still_since > STALL_SECONDS:
                self.cut_off("it is broken")

    def cut_off(self, why):
        for attempt, request in list(self.working.items()):
            self.record.write(f"{self.vm_id} cuts off {attempt}: {why}")
            silent_connections.stream_of(request).close()
        self.working.clear()


class _WorkHandler(pool_runner._WorkHandler):
    async def _work(self):
        attempt = self.request.headers.get("X-Attempt-Id", "")
        self.owner.working[attempt] = self.request
        try:
            await super()._work()
        finally:
            self.owner.working.pop(attempt, None)

    get = post = _work


class Caller:
    """Sends streams one after another on one kept connection."""

    def __init__(self, number, node, record):
        self.number, self.node, self.record = number, node, record
        self.lost = []

    async def run(self, streams):
        host, _, port = self.node.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for count in range(streams):
            attempt = f"attempt-{self.number}-{count}"
            headers = {"X-Attempt-Id": attempt, "X-Credential": KEY, "X-Model": MODEL,
                       "X-Token-Usage": "10,80", "X-Deadline-Ms": "8000"}  # fmt: skip
            await bench.send(writer, "POST", "/draft/x", headers, b"x")
            self.record.write(f"sent {attempt}")
            try:
                answer = await bench.receive(reader)
            except (OSError, asyncio.IncompleteReadError, bench.Incomplete) as error:
                got = getattr(error, "body", b"").count(b"id: ")
                self.record.write(f"{attempt}: channel closed after {got} of {EVENTS} events")
                self.lost.append(attempt)
                return
            whole = answer.status == 200 and answer.body.count(b"id: ") == EVENTS
            self.record.write(f"{attempt}: {answer.status}, {'whole' if whole else answer.body[:120]}")
        writer.close()


async def case(record):
    Runner.record = record
    with bench.work_folder() as folder:
        store = pool_store.PoolStore()
        await store.start()
        await store.put("config/main", configuration())
        runners = [
            Runner(
                vm_id=f"vm-{number}", service=SERVICE, store=store, failure_domain="zone-a",
                fabric_domain="fabric-1",
                options=pool_runner.Options(
                    open_seconds=FORM_SECONDS, events=EVENTS, event_seconds=EVENT_SECONDS
                ),
            )
            for number in range(4)
        ]  # fmt: skip
        for runner in runners:
            await runner.start()
        by_id = {runner.vm_id: runner for runner in runners}
        watches = [asyncio.create_task(runner.watch_members(by_id)) for runner in runners]
        nodes = [bench.Node(f"front-{n}", store.address, folder, record) for n in range(3)]
        try:
            for node in nodes:
                await node.start()
            return await play(record, store, runners, nodes)
        finally:
            for watch in watches:
                watch.cancel()
            for node in nodes:
                await node.close()
            for runner in runners:
                await runner.stop()
            await store.stop()


async def play(record, store, runners, nodes):
    for node in nodes:
        await node.wait_ready()

    def head():
        return next((r for r in runners if r.member and r.member["state"] == "open"), None)

    def spares():
        return [r for r in runners if head() and r.vm_id not in head().members]

    await bench.until(lambda: head() is not None, 30, "no group was opened")
    await bench.until(
        lambda: all(r.member and r.member["state"] == "ready" for r in spares()), 30, "no spare"
    )
    await asyncio.sleep(4.0)
    serving = head()
    ordering = next(node for node in nodes if gives_orders(node))
    others = [node for node in nodes if node is not ordering]
    record.write(f"{ordering.name} gives the orders")
    callers = [Caller(number, others[number % 2], record) for number in range(CALLERS)]
    calls = asyncio.gather(*(caller.run(2) for caller in callers))
    # Each channel has brought one whole answer, and its second stream is under way.
    second = [f"attempt-{number}-1" for number in range(CALLERS)]
    await bench.until(lambda: serving.working.keys() >= set(second), 20, "streams did not begin")
    await asyncio.sleep(0.5)
    serving.is_delisted = True
    await store.remove(f"servers/{serving.vm_id}")
    record.write(f"the entry of {serving.vm_id}, head of {serving.member['name']}, is removed")
    if bench.has_trouble():
        await asyncio.sleep(STOP_AFTER_SECONDS)
        ordering.send(signal.SIGTERM)
    await calls
    lost_by_node = {
        node.name: sum(len(caller.lost) for caller in callers if caller.node is node)
        for node in others
    }
    record.write(f"streams lost of four at each node: {lost_by_node}; the rule allows {ALLOWED}")
    for node in nodes:
        for line in node.log_path.read_text().splitlines():
            if any(event in line for event in EVENTS_OF_CONTROL):
                record.write(f"log of {node.name}: {line}")
    return max(lost_by_node.values()) <= ALLOWED


def gives_orders(node):
    """Returns True if a node's log says that it has control of the pool."""
    text = node.log_path.read_text()
    return text.count("pool_control_gained") > text.count("pool_control_lost")


bench.main(case, FOLDER)
