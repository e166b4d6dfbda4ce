"""The grace in the settings of a node changes, and the node is stopped as planned; see claim.txt.

Three nodes and seven runners of one plain service, each a process of its own. The settings of the nodes
name a grace of 12 s. Those of one node are changed to 8 s, and it gets SIGHUP. Six seconds later it gets
SIGTERM, and SIGKILL after the grace that its settings file holds. Clients go on to send requests that may
run once, which take 0.9 s, on channels that they have open there. TROUBLE=0 leaves the change and SIGHUP
out, so that the grace is 12 s.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
ROOT = FOLDER.parent.parent
sys.path.insert(0, str(ROOT / "review" / "lib-3"))

import stand_ins  # noqa: E402

RUNNERS = 7
FIRST_GRACE_SECONDS = 12
CHANGED_GRACE_SECONDS = 8
WORK_MS = 900
BUDGET_MS = 1500
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    def __init__(self):
        self.lines = []
        self.began_at = time.monotonic()

    @property
    def now(self):
        return round(time.monotonic() - self.began_at, 3)

    def add(self, **fields):
        self.lines.append(json.dumps({"s": self.now, **fields}))

    def write(self):
        (FOLDER / "record.txt").write_text("\n".join(self.lines) + "\n")


async def client(node, number, record, results, stop):
    """Sends filings one after another on a kept channel, and opens a new one when it is closed."""
    turn, channel = 0, None
    while not stop.is_set():
        if channel is None:
            channel = stand_ins.Channel(host=node.host, port=node.port)
            try:
                await channel.open()
            except OSError:
                return
        attempt = f"filing-{number}-{turn}"
        sent_at = record.now
        record.add(sent=attempt)
        channel.send("POST", f"/filing/{number}?work={WORK_MS}", attempt, body=b"f", deadline_ms=BUDGET_MS)
        status, headers, body, whole = await channel.answer(seconds=BUDGET_MS / 1000 + 1)
        results[attempt] = (sent_at, record.now, status, whole)
        record.add(ended=attempt, status=status, whole=whole, bytes=len(body))
        turn += 1
        if not whole or headers.get("connection", "").lower() == "close":
            channel.close()
            channel = None
            await asyncio.sleep(0.05)
            if not whole:
                return


async def play(record, folder):
    store = stand_ins.Store()
    await store.start()
    store.put("config/main", stand_ins.configuration())
    processes, nodes = [], []
    try:
        for number in range(RUNNERS):
            with open(folder / f"runner-{number}.log", "wb") as log:
                processes.append(
                    await asyncio.create_subprocess_exec(
                        sys.executable, str(ROOT / "review" / "lib-3" / "runner.py"),
                        f"i-{number}", stand_ins.random_host(), store.address, stdout=log,
                    )  # fmt: skip
                )
        for name in ("node-1", "node-2", "node-3"):
            nodes.append(
                stand_ins.Node(
                    name=name, zone="a", store=store.address, folder=folder, root=ROOT,
                    grace_seconds=FIRST_GRACE_SECONDS,
                )  # fmt: skip
            )
            await nodes[-1].start()
        for node in nodes:
            if not await node.is_ready():
                record.add(problem=f"{node.name} is not ready")
                return COULD_NOT_RUN
        await asyncio.sleep(2.0)
        grace = FIRST_GRACE_SECONDS
        if TROUBLE:
            grace = CHANGED_GRACE_SECONDS
            nodes[0].write_settings(grace_seconds=grace)
            nodes[0].signal(signal.SIGHUP)
            record.add(changed="node-1", grace_seconds=grace, signal="SIGHUP")
        results, stop = {}, asyncio.Event()
        clients = []
        for number in range(8):
            clients.append(asyncio.ensure_future(client(nodes[0], number, record, results, stop)))
            await asyncio.sleep(0.4)
        await asyncio.sleep(2.8)
        stopped_at = record.now
        record.add(signal="SIGTERM", to="node-1")
        nodes[0].signal(signal.SIGTERM)
        await nodes[0].wait(seconds=grace)
        killed_at = record.now
        record.add(signal="SIGKILL", to="node-1", had_ended=nodes[0].has_ended)
        nodes[0].signal(signal.SIGKILL)
        await asyncio.sleep(1.0)
        stop.set()
        await asyncio.wait_for(asyncio.gather(*clients), 10)
        runs = [
            json.loads(line)["run"]
            for path in folder.glob("runner-*.log")
            for line in path.read_text().splitlines()
            if '"run"' in line
        ]
        lost = []
        for attempt, (sent_at, ended_at, status, whole) in results.items():
            # LOST: passed on, and the channel ends without a complete answer, until 1 s after the grace.
            # Excused: the time budget was reached, or at work in the last sixth of the grace on a request
            # that was sent no later than 3 s after SIGTERM.
            in_time = ended_at - sent_at < BUDGET_MS / 1000
            excused = sent_at - stopped_at <= 3.0 and killed_at - stopped_at >= grace * 5 / 6
            if attempt in runs and not whole and in_time and not excused and sent_at > stopped_at:
                lost.append(attempt)
                record.add(lost=attempt, sent_after_sigterm=round(sent_at - stopped_at, 3),
                           cut_after_sigterm=round(ended_at - stopped_at, 3))  # fmt: skip
        answered = sum(status == 200 and whole for _, _, status, whole in results.values())
        record.add(requests=len(results), answered=answered, runs=len(runs), lost=len(lost))
        if not answered or len(runs) != len(set(runs)):
            return COULD_NOT_RUN
        return BROKEN if lost else HELD
    finally:
        for node in nodes:
            await node.end()
        for process in processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        await store.stop()


def main():
    record = Record()
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(play(record, pathlib.Path(folder)))
        except Exception as error:
            record.add(problem=repr(error))
            code = COULD_NOT_RUN
    record.add(exit=code, trouble=TROUBLE)
    record.write()
    print(record.lines[-1])
    return code


if __name__ == "__main__":
    sys.exit(main())
