"""A runner is killed while it sends answers that have no length; see claim.txt.

Two nodes, seven runners of one plain service, each a process of its own, and clients.
The runners' answers have no length and end with their channel. Each answer is eight lines, so a client
knows the whole body that the runner would send. One runner (one of seven) is killed with SIGKILL in the
middle of its answers. TROUBLE=0 leaves the kill out.
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
ROUNDS = 6
KINDS = ("lookup", "filing", "draft")
# The kill comes this long after the clients' requests of the second round.
KILL_AFTER_SECONDS = 0.45
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    def __init__(self):
        self.lines = []
        self.began_at = time.monotonic()

    def add(self, **fields):
        self.lines.append(json.dumps({"s": round(time.monotonic() - self.began_at, 3), **fields}))

    def write(self):
        (FOLDER / "record.txt").write_text("\n".join(self.lines) + "\n")


async def client(node, number, record, results, round_began):
    """Sends one request of its kind in each round, each on a new channel."""
    kind = KINDS[number % len(KINDS)]
    for turn in range(ROUNDS):
        await round_began[turn].wait()
        attempt = f"{kind}-{number}-{turn}"
        method, body = ("GET", None) if kind == "lookup" else ("POST", b"body")
        channel = stand_ins.Channel(host=node.host, port=node.port)
        await channel.open()
        record.add(sent=attempt, node=node.name)
        channel.send(method, f"/{kind}/{number}", attempt, body=body)
        status, headers, answer, whole = await channel.answer(seconds=8)
        channel.close()
        expected = stand_ins.whole_body(kind, attempt)
        results[attempt] = (kind, status, whole, answer == expected, answer)
        record.add(
            answered=attempt, status=status, signature=headers.get("x-runner-signature", ""),
            framing=headers.get("content-length") or headers.get("transfer-encoding", ""),
            looks_complete=whole, bytes=len(answer), whole_body=len(expected),
        )  # fmt: skip


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
        for name in ("node-1", "node-2"):
            nodes.append(
                stand_ins.Node(name=name, zone="a", store=store.address, folder=folder, root=ROOT)
            )
            await nodes[-1].start()
        for node in nodes:
            if not await node.is_ready():
                record.add(problem=f"{node.name} is not ready")
                return COULD_NOT_RUN
        await asyncio.sleep(2.0)
        results, round_began = {}, [asyncio.Event() for _ in range(ROUNDS)]
        clients = [
            asyncio.ensure_future(client(nodes[n % 2], n, record, results, round_began))
            for n in range(24)
        ]
        for turn, event in enumerate(round_began):
            event.set()
            if turn == 1 and TROUBLE:
                await asyncio.sleep(KILL_AFTER_SECONDS)
                record.add(killed="i-0", signal="SIGKILL")
                processes[0].send_signal(signal.SIGKILL)
                await asyncio.sleep(2.6 - KILL_AFTER_SECONDS)
            else:
                await asyncio.sleep(2.6)
        await asyncio.wait_for(asyncio.gather(*clients), 20)
        successes = [a for a, r in results.items() if 200 <= r[1] < 300]
        bad = [a for a in successes if results[a][2] and not results[a][3]]
        for attempt in bad:
            record.add(broken=attempt, kind=results[attempt][0], body=results[attempt][4].decode())
        ran = sum(p.read_text().count('"run"') for p in folder.glob("runner-*.log"))
        record.add(requests=len(results), successes=len(successes), runs=ran, cut_but_look_complete=len(bad))
        for path in sorted(folder.glob("runner-*.log")):
            record.lines += path.read_text().splitlines()
        if len(successes) < len(results) * 0.8:
            record.add(problem="too few successes")
            return COULD_NOT_RUN
        return BROKEN if bad else HELD
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
