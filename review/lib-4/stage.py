"""Shared parts of the scripts: node processes, a plain HTTP/1.1 client and the record of a run."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
# The fields of a small deployment, by their names in deploy/node.jsonc.
_SMALL = {
    "region": "kz-south",
    "bootstrap": True,
    "contracts": [
        "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
        "places", "platform", "gangs",
    ],
    "bounds.graceS": 8,
    "bounds.retryBudgetRatio": 0.2,
    "bounds.budgetSlack": 136,
}


def free_ports(hosts, count):
    """Returns ports that are free on all hosts, each one followed by another free one."""
    rng = random.SystemRandom()
    while True:
        first = rng.randrange(10_000, 28_000)
        if all(_is_free(host, port) for host in hosts for port in range(first, first + count)):
            return list(range(first, first + count))


def _is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Record:
    """The lines of record.txt."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def line(self, text):
        self._file.write(f"{time.monotonic() - self._began_at:8.3f} s  {text}\n")
        self._file.flush()


class Node:
    """One node: its settings file and, while it runs, its process."""

    def __init__(self, nodes, name, host, zone):
        self.name, self.host, self.zone = name, host, zone
        self._nodes = nodes
        self.callers = f"{host}:{nodes.ports[0]}"
        self.readiness = f"{host}:{nodes.ports[1]}"
        self.settings = nodes.folder / f"{name}.jsonc"
        self.log = nodes.folder / f"{name}.log"
        self.child = None
        self._starts = 0

    async def start(self, **changed):
        values = {
            **_SMALL,
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self.host,
            "listen.front": self.callers,
            "listen.readiness": self.readiness,
            "internalPorts.0": self._nodes.ports[2],
            "internalPorts.1": self._nodes.ports[4],
            "platform.address": self._nodes.store_of(self),
            "bootstrap": self._starts == 0,
            **changed,
        }
        self._starts += 1
        text = (ROOT / "deploy" / "node.jsonc").read_text(encoding="utf-8")
        for name, value in values.items():
            text = text.replace("{{" + name + "|json}}", json.dumps(value))
            text = text.replace("{{" + name + "}}", str(value))
        text = text.rstrip()[:-1] + "".join(
            f",\n  {json.dumps(name)}: {json.dumps(value)}" for name, value in self._nodes.more_of(self)
        ) + "\n}\n"
        self.settings.write_text(text, encoding="utf-8")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {
            "PYTHONPATH": str(pathlib.Path(__file__).resolve().parents[2] / "target" / "deps"),
            "BASILPOST_CONFIG": str(self.settings),
            "BASILPOST_MEMORY_MB": "300",
            "BASILPOST_MAX_DESCRIPTORS": "4100",
        }
        with self.log.open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                "python3", "-m", "basilpost.node.pool_process",
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )

    def send(self, number):
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)

    async def kill(self):
        if self.child is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.child.wait()

    async def wait_ready(self, seconds=20.0):
        async with asyncio.timeout(seconds):
            while True:
                with contextlib.suppress(OSError, Cut, TimeoutError):
                    answer = await call(self.readiness, "GET", "/api/ready", {}, seconds=1.0)
                    if answer.status == 200:
                        return
                await asyncio.sleep(0.05)


class Nodes:
    """The node processes of one run, each at a loopback address of its own."""

    def __init__(self, *, zones, store_of, more_of=lambda node: ()):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="basilpost-review-"))
        self.store_of = store_of
        # Settings that a node takes and the template leaves out.
        self.more_of = more_of
        network = random.SystemRandom().randrange(1, 250)
        hosts = [f"127.7.{network}.{number + 1}" for number in range(len(zones))]
        self.ports = free_ports(hosts, 6)
        self.all = [
            Node(self, f"front-{zone}-{number}", host, zone)
            for number, (zone, host) in enumerate(zip(zones, hosts, strict=True))
        ]

    async def start(self):
        for node in self.all:
            await node.start()
        for node in self.all:
            await node.wait_ready()

    async def stop(self, keep_logs_in=None):
        for node in self.all:
            await node.kill()
        if keep_logs_in:
            for node in self.all:
                if node.log.exists():
                    shutil.copy(node.log, keep_logs_in)
        shutil.rmtree(self.folder, ignore_errors=True)


class Cut(Exception):
    """The connection ended before the answer was complete."""

    def __init__(self, reason, status=0, headers=None, body=b""):
        super().__init__(reason)
        self.status, self.headers, self.body = status, headers or {}, body


class Answer:
    """A complete answer."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def call(address, method, path, headers, body=b"", *, seconds=30.0, host="", gap=None):
    """Sends one request on a new connection and returns the complete answer, or raises `Cut`.

    With `gap`, the caller leaves, with TimeoutError, after so many seconds without a byte of the answer.
    """
    host_name, _, port = address.rpartition(":")
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host_name, int(port)), 1.0)
    try:
        async with asyncio.timeout(seconds):
            writer.write(request_bytes(method, path, {"Host": host or address, **headers}, body))
            await writer.drain()
            return await read_answer(_Patient(reader, gap) if gap else reader, method)
    except ConnectionError as error:
        raise Cut(f"{type(error).__name__}") from error
    finally:
        writer.close()


class _Patient:
    """A reader that waits for each part of the answer for a limited time."""

    def __init__(self, reader, seconds):
        self._reader, self._seconds = reader, seconds

    async def readuntil(self, separator):
        return await asyncio.wait_for(self._reader.readuntil(separator), self._seconds)

    async def readexactly(self, count):
        return await asyncio.wait_for(self._reader.readexactly(count), self._seconds)

    async def read(self, count):
        return await asyncio.wait_for(self._reader.read(count), self._seconds)


def request_bytes(method, path, headers, body):
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader, method="GET"):
    """Reads one answer; raises `Cut` with what has arrived if it ends early."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise Cut("no answer", body=error.partial) from error
    first, *rest = head.decode("latin1").split("\r\n")
    status = int(first.split(" ")[1])
    headers = {}
    for line in rest:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    if 100 <= status < 200:
        return await read_answer(reader, method)
    body = b""
    try:
        if method == "HEAD" or status in (204, 304):
            pass
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if not size:
                    await reader.readuntil(b"\r\n")
                    break
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Cut("the answer ends early", status, headers, body) from error
    return Answer(status, headers, body)


class Link:
    """A proxy before a server that can hold back all bytes in both directions, as a silent cut does.

    What one end has sent, and the end of its connection, arrive after the cut.
    """

    def __init__(self, target):
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self._tasks = set()
        self.address = ""

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def cut(self):
        self._open.clear()

    def heal(self):
        self._open.set()

    async def stop(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            await self._open.wait()
            host, _, port = self._target().rpartition(":")
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            # Nothing listens there.
            writer.transport.abort()
            return
        finally:
            self._tasks.discard(asyncio.current_task())
        await asyncio.gather(self._pump(reader, back), self._pump(there, writer))

    async def _pump(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
            await self._open.wait()
            writer.close()
        except ConnectionError:
            await self._open.wait()
            writer.transport.abort()
        finally:
            self._tasks.discard(asyncio.current_task())


def event_ids(body):
    return [int(line[4:]) for line in body.decode().splitlines() if line.startswith("id: ")]


def run(main, folder):
    """Runs a script's main coroutine within its time; returns the exit code."""
    record = Record(folder)

    async def guarded():
        # The script ends its processes also if it is ended itself.
        running = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, running.cancel)
        return await asyncio.wait_for(main(record), 115.0)

    try:
        code = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError) as error:
        record.line(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}", file=sys.stderr)
        return COULD_NOT_RUN
    print({BROKEN: "the rule was broken", HELD: "the rule held"}.get(code, "could not run"))
    return code
