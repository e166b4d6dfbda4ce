"""Streams whose answers have no length, while the runners are replaced one after the other."""

import asyncio
import itertools
import pathlib
import random
import socket
import struct
import sys

import stage
from tornado import iostream

from basilpost.emulator import pool_fleet, pool_runner, silent_connections, stream_endings

FOLDER = pathlib.Path(__file__).resolve().parent
EVENTS = 30
SECONDS = 85.0
CALLERS = 80
SLOTS = 13
DRAIN_EVERY_SECONDS = 1.2
DRAIN_SECONDS = 4.0


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
        first = int(self.request.headers.get("Last-Event-Id") or 0) + 1
        pause = self._draw_seconds(
            self._options.event_seconds, self._options.slowest_event_seconds
        )
        # The prompt is read first.
        await asyncio.sleep(random.uniform(0.05, 0.3))
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(pause)
            if connection.closed():
                raise iostream.StreamClosedError
            await connection.write(self._event(number))
        self.ended_by = stream_endings.EndedBy.COMPLETE
        connection.close()


class Runner(pool_runner.PoolRunner):
    def routes(self):
        routes = super().routes()
        return [*routes[:-1], (routes[-1][0], Handler, routes[-1][2])]

    def _cut_off_requests(self):
        """Resets the connections of answers that it does not finish, so that they do not look whole."""
        for handler in self._working:
            connection = silent_connections.stream_of(handler.request)
            if not connection.closed():
                linger = struct.pack("ii", 1, 0)
                connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        super()._cut_off_requests()


class Fleet(pool_fleet.PoolFleet):
    def add(self, vm_id, service, *, fabric_domain=""):
        runner = Runner(vm_id=vm_id, service=service, store=self.store, fabric_domain=fabric_domain)
        runner.options.event_seconds, runner.options.slowest_event_seconds = 0.03, 0.06
        runner.options.load_seconds = 1.0
        self.runners_by_id[vm_id] = runner
        return runner


async def main(record):
    spec = pool_fleet.configuration(stream_timeout_ms=8000)
    spec["services"][0]["engine"]["slots"] = SLOTS
    fleet = Fleet(fabric_domains=3, vms=11, plain_instances=1, spec=spec)
    await fleet.start()
    nodes = stage.Nodes(zones=["a", "b", "c"], store_of=lambda node: fleet.store.address)
    results = {"complete": 0, "cut": 0, "refused": 0, "short": []}
    numbers = itertools.count()
    until = None
    try:
        await nodes.start()
        await pool_fleet.until(lambda: len(fleet.open_groups(pool_fleet.LARGE)) >= 6, seconds=20.0)
        await asyncio.sleep(1.5)
        until = asyncio.get_running_loop().time() + SECONDS

        async def caller(node):
            while asyncio.get_running_loop().time() < until - 3.0:
                attempt = f"attempt-{next(numbers)}"
                headers = pool_fleet.call_headers(
                    attempt, model=pool_fleet.LARGE, budget_ms=8000
                ) | {"X-Token-Usage": f"100,{EVENTS}"}
                try:
                    answer = await stage.call(
                        node.callers, "POST", "/draft/one", headers, b"x", seconds=9.0
                    )
                except (stage.Cut, OSError, TimeoutError) as error:
                    results["cut"] += 1
                    record.line(f"{attempt} at {node.name}: {type(error).__name__} {error}")
                    await asyncio.sleep(0.1)
                    continue
                if answer.status != 200:
                    results["refused"] += 1
                    record.line(f"{attempt} at {node.name}: status {answer.status}")
                    await asyncio.sleep(0.3)
                    continue
                ids = stage.event_ids(answer.body)
                runs = [(run.group, run.after) for run in fleet.runs_of(attempt)]
                record.line(f"{attempt} at {node.name}: complete, events {len(ids)}, runs {runs}")
                if ids == list(range(1, EVENTS + 1)):
                    results["complete"] += 1
                else:
                    results["short"].append(attempt)
                    record.line(
                        f"BROKEN ORDER: {attempt} ended as complete with events"
                        f" {ids[0] if ids else '-'} to {ids[-1] if ids else '-'} of {EVENTS}"
                    )

        async def drain():
            fresh = itertools.count()
            while asyncio.get_running_loop().time() < until - 6.0:
                await asyncio.sleep(DRAIN_EVERY_SECONDS)
                heads = [
                    runner for runner in fleet.runners_by_id.values()
                    if runner.member and runner.member["state"] == "open"
                    and runner.member["name"].startswith(pool_fleet.LARGE)
                    and all(fleet.runners_by_id[one].state == "ready" for one in runner.members)
                ]
                if len(heads) < 4:
                    continue
                # The new runner starts first, then the old one drains.
                head = random.choice(heads)
                leaving = fleet.runners_by_id[random.choice(head.members)]
                new = fleet.add(
                    f"vm-new-{next(fresh)}", pool_fleet.MODEL_SERVICE,
                    fabric_domain=leaving.fabric_domain,
                )
                await new.start()
                leaving.state = "draining"
                record.line(f"{leaving.vm_id} of {head.member['name']} reports draining")
                await leaving.report()
                asyncio.get_running_loop().call_later(
                    DRAIN_SECONDS, lambda one=leaving: ended.append(asyncio.ensure_future(end(one)))
                )

        ended = []

        async def end(runner):
            # A member that drains remains while the head of its group has work, for 10 s at most.
            give_up_at = asyncio.get_running_loop().time() + 10.0
            while asyncio.get_running_loop().time() < give_up_at:
                head = fleet.runners_by_id[runner.members[0]] if runner.members else runner
                if not runner.is_working and not head.is_working:
                    break
                await asyncio.sleep(0.05)
            await runner.vanish()

        tasks = [caller(nodes.all[number % 3]) for number in range(CALLERS)]
        if stage.TROUBLE:
            tasks.append(drain())
        await asyncio.gather(*tasks)
    finally:
        await nodes.stop(keep_logs_in=sys.argv[1] if len(sys.argv) > 1 else None)
        await fleet.stop()
    summary = (
        f"complete {results['complete']}, cut {results['cut']}, refused {results['refused']},"
        f" ended early as complete {len(results['short'])}"
    )
    record.line(summary)
    print(summary)
    if results["complete"] < 200:
        return stage.COULD_NOT_RUN
    return stage.BROKEN if results["short"] else stage.HELD


if __name__ == "__main__":
    sys.exit(stage.run(main, FOLDER))
