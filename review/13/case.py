"""Streams whose answers have no length, at runners that stop listening while they finish their work."""

import asyncio
import itertools
import pathlib
import random
import signal
import sys

import stage
from tornado import iostream

from basilpost.emulator import pool_fleet, pool_runner, silent_connections, stream_endings

FOLDER = pathlib.Path(__file__).resolve().parent
EVENTS = 100
SECONDS = 80.0
CALLERS = 72
SLOTS = 13
CYCLE_SECONDS = 16.0
REPLACED_PER_CYCLE = 4
REPLACE_GAP_SECONDS = 1.0
GRACE_SECONDS = 8.0
# A runner serves on for drainMs after its report and a little longer.
DRAIN_SECONDS = 2.3


class Handler(pool_runner._WorkHandler):
    """Answers streams without a length: the end of the connection is the end of the answer."""

    async def _answer_stream(self):
        connection = silent_connections.stream_of(self.request)
        self._finished = True
        attempt = self.request.headers.get("X-Attempt-Id", "")
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Runner-Signature: s\r\n"
            "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        )
        await connection.write(head.encode())
        await asyncio.sleep(random.uniform(0.05, 0.2))
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(self._options.event_seconds)
            if connection.closed():
                raise iostream.StreamClosedError
            await connection.write(self._event(number))
        self.ended_by = stream_endings.EndedBy.COMPLETE
        self.owner.finished.add(attempt)
        connection.close()


class Runner(pool_runner.PoolRunner):
    def __init__(self, **options):
        super().__init__(**options)
        self.finished = set()

    def routes(self):
        routes = super().routes()
        return [*routes[:-1], (routes[-1][0], Handler, routes[-1][2])]

    def stop_listening(self):
        """Takes no new connections; those that are open go on."""
        self._server.stop()


class Fleet(pool_fleet.PoolFleet):
    def add(self, vm_id, service, *, fabric_domain=""):
        runner = Runner(vm_id=vm_id, service=service, store=self.store, fabric_domain=fabric_domain)
        runner.options.event_seconds = 0.06
        runner.options.load_seconds = 1.0
        self.runners_by_id[vm_id] = runner
        return runner


async def main(record):
    spec = pool_fleet.configuration(stream_timeout_ms=8000, draft_kinds=True)
    spec["services"][0]["engine"]["slots"] = SLOTS
    fleet = Fleet(fabric_domains=3, vms=11, plain_instances=1, spec=spec)
    await fleet.start()
    nodes = stage.Nodes(zones=["a", "b", "c"], store_of=lambda node: fleet.store.address)
    numbers, fresh = itertools.count(), itertools.count()
    loop = asyncio.get_running_loop()
    stopped_at = {}
    complete, cut, broken = [], [], []
    try:
        await nodes.start()
        await pool_fleet.until(lambda: len(fleet.open_groups(pool_fleet.LARGE)) >= 6, seconds=20.0)
        await asyncio.sleep(1.5)
        until = loop.time() + SECONDS

        async def caller(node):
            while loop.time() < until - 7.0:
                if node in stopped_at:
                    # The balancer sends nothing new to a node that is not ready.
                    await asyncio.sleep(0.1)
                    continue
                attempt = f"attempt-{next(numbers)}"
                headers = pool_fleet.call_headers(
                    attempt, model=pool_fleet.LARGE, budget_ms=8000
                ) | {"X-Token-Usage": f"100,{EVENTS}"}
                try:
                    answer = await stage.call(
                        node.callers, "POST", "/draft-whole/one", headers, b"x", seconds=9.0
                    )
                except (stage.Cut, OSError, TimeoutError) as error:
                    judge_cut(node, attempt, error)
                    await asyncio.sleep(0.2)
                    continue
                if answer.status == 200:
                    complete.append(attempt)
                else:
                    record.line(f"{attempt} at {node.name}: status {answer.status}")
                    await asyncio.sleep(0.3)

        def judge_cut(node, attempt, error):
            cut.append(attempt)
            events = len(stage.event_ids(getattr(error, "body", b"")))
            finished = any(attempt in runner.finished for runner in fleet.runners_by_id.values())
            at = stopped_at.get(node)
            since = "no SIGTERM" if at is None else f"{loop.time() - at:.2f} s after its SIGTERM"
            record.line(
                f"{attempt} at {node.name}: {error}, after {events} of {EVENTS} events, {since},"
                f" its runner {'had sent all of it' if finished else 'had not finished'}"
            )
            # The rule excuses runners that are still at work in the last sixth of the grace.
            if at is not None and finished and loop.time() - at < GRACE_SECONDS * 5 / 6:
                broken.append(attempt)
                record.line(f"BROKEN LOST: {attempt}")

        async def replace_runner():
            heads = [
                runner for runner in fleet.runners_by_id.values()
                if runner.member and runner.member["state"] == "open"
                and runner.member["name"].startswith(pool_fleet.LARGE)
                and runner.member["rank"] == 0 and runner.stream_count > 2
                and all(fleet.runners_by_id[one].state == "ready" for one in runner.members)
            ]
            if not heads:
                return
            head = max(heads, key=lambda one: one.stream_count)
            new = fleet.add(
                f"vm-new-{next(fresh)}", pool_fleet.MODEL_SERVICE, fabric_domain=head.fabric_domain
            )
            await new.start()
            head.state = "draining"
            record.line(f"{head.vm_id} reports draining, {head.stream_count} streams run there")
            await head.report()
            await asyncio.sleep(DRAIN_SECONDS)
            head.stop_listening()
            record.line(f"{head.vm_id} stops listening, {head.stream_count} streams run there")
            while head.is_working:
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.2)
            record.line(f"{head.vm_id} has finished its work and exits")
            await head.vanish()

        async def release():
            replacing = []
            for _ in range(REPLACED_PER_CYCLE):
                replacing.append(asyncio.ensure_future(replace_runner()))
                await asyncio.sleep(REPLACE_GAP_SECONDS)
            await asyncio.gather(*replacing)

        async def restart(node):
            stopped_at[node] = loop.time()
            record.line(f"SIGTERM to {node.name}")
            node.send(signal.SIGTERM)
            await asyncio.wait_for(node.child.wait(), GRACE_SECONDS + 1.0)
            record.line(f"{node.name} has ended with {node.child.returncode}")
            await node.start()
            await node.wait_ready()
            await asyncio.sleep(1.0)
            del stopped_at[node]

        async def maintenance():
            await asyncio.sleep(4.0)
            for number in itertools.count():
                began_at = loop.time()
                if began_at > until - 18.0:
                    return
                releasing = asyncio.ensure_future(release())
                await asyncio.sleep(2.0)
                await asyncio.gather(restart(nodes.all[number % 3]), releasing)
                await asyncio.sleep(max(0.0, began_at + CYCLE_SECONDS - loop.time()))

        tasks = [caller(nodes.all[number % 3]) for number in range(CALLERS)]
        if stage.TROUBLE:
            tasks.append(maintenance())
        await asyncio.gather(*tasks)
    finally:
        await nodes.stop(keep_logs_in=sys.argv[1] if len(sys.argv) > 1 else None)
        await fleet.stop()
    summary = (
        f"complete {len(complete)}, cut {len(cut)}, of them after the SIGTERM of their node"
        f" and though their runner had sent all {len(broken)}"
    )
    record.line(summary)
    print(summary)
    if len(complete) < 100:
        return stage.COULD_NOT_RUN
    return stage.BROKEN if broken else stage.HELD


if __name__ == "__main__":
    sys.exit(stage.run(main, FOLDER))
