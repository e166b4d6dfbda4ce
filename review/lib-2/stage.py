"""A stage for the scripts of the second review: node processes, an emulated platform, and clients.

The nodes are the project's own program, started as the deploy file says. The store and the runners are
the project's emulators, in the process of the script. Everything listens on loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
import traceback

from basilpost.emulator import pool_fleet

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The command of deploy/system.toml.
COMMAND = (sys.executable, "-m", "basilpost.node.pool_process")
CALLERS_PORT, READINESS_PORT, PEER_PORT, METRICS_PORT = 8001, 8002, 8003, 8005
START_SECONDS = 20.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be set up, which says nothing about the rule."""


class Record:
    """The file `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._began_at = time.monotonic()

    def write(self, text):
        seconds = time.monotonic() - self._began_at
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


def random_host():
    generator = random.SystemRandom()
    return ".".join(["127", *(str(generator.randrange(1, 255)) for _ in range(3))])


class Node:
    """One node process."""

    def __init__(self, *, node_id, zone, store, folder, grace_seconds=8, retry_reserve=132):
        self.node_id = node_id
        self.host = random_host()
        self.callers = (self.host, CALLERS_PORT)
        self._folder = pathlib.Path(folder)
        self.process = None
        self._settings = {
            "node_id": node_id,
            "failure_domain": zone,
            "region": "r",
            "host": self.host,
            "callers": f"{self.host}:{CALLERS_PORT}",
            "readiness": f"{self.host}:{READINESS_PORT}",
            "peer_port": PEER_PORT,
            "metrics_port": METRICS_PORT,
            "store": store,
            "first_start": True,
            "contracts": [
                "base", "drain", "config", "cost", "retry", "recover",
                "engine", "stream", "tenants", "places", "platform", "gangs",
            ],
            "bounds": {
                "grace_seconds": grace_seconds,
                "retry_share": 0.2,
                "retry_reserve": retry_reserve,
            },
        }  # fmt: skip

    async def start(self):
        path = self._folder / f"{self.node_id}.jsonc"
        path.write_text(json.dumps(self._settings))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": os.environ.get("PYTHONPATH", ""),
            "BASILPOST_CONFIG": str(path),
            "BASILPOST_MEMORY_MB": "300",
            "BASILPOST_MAX_DESCRIPTORS": "4200",
        }
        with (self._folder / f"{self.node_id}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._settings["first_start"] = False

    @property
    def runs(self):
        return self.process is not None and self.process.returncode is None

    def log_text(self):
        return (self._folder / f"{self.node_id}.log").read_text(errors="replace")

    def send_signal(self, number):
        if self.runs:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def kill(self):
        """Ends the process without notice, as a machine that is lost does."""
        if self.process is not None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self):
        answer = await request((self.host, READINESS_PORT), "GET", "/api/ready", {}, timeout=1.0)
        return answer is not None and answer.status == 200


class Answer:
    """An answer as a client sees it; `complete` is False if it broke off."""

    def __init__(self, *, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


async def request(address, method, target, headers, body=b"", *, timeout=10.0):
    """Sends a request on a new connection; returns the answer, None without a head of one."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
            if isinstance(target, str):
                target = target.encode()
            lines = [method.encode() + b" " + target + b" HTTP/1.1"]
            fields = {"Host": "stage.example"} | headers
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}".encode() for name, value in fields.items()]
            writer.write(b"\r\n".join([*lines, b"", b""]) + body)
            return await read_answer(reader, method)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader, method):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body, complete = b"", True
    try:
        if method == "HEAD" or status in (204, 304):
            pass
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if not size:
                    break
                body += piece[:-2]
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.read()
    except asyncio.IncompleteReadError as error:
        body, complete = body + error.partial, False
    except OSError:
        complete = False
    return Answer(status=status, headers=headers, body=body, complete=complete)


class Stage:
    """The platform, its runners and the nodes of one case."""

    def __init__(self, *, fleet, folder):
        self.fleet = fleet
        self.record = Record(folder)
        self.nodes = []
        self._temporary = tempfile.TemporaryDirectory(prefix="basilpost-review-")

    async def __aenter__(self):
        await self.fleet.start()
        return self

    async def __aexit__(self, *exc):
        for node in self.nodes:
            await node.kill()
        await self.fleet.stop()
        self.record.close()
        self._temporary.cleanup()

    async def add_node(self, node_id, *, zone="a", **options):
        node = Node(
            node_id=node_id,
            zone=zone,
            store=self.fleet.store.address,
            folder=self._temporary.name,
            **options,
        )
        self.nodes.append(node)
        await node.start()
        self.record.write(f"node {node_id} started at {node.host}")
        return node

    async def until(self, condition, *, seconds=START_SECONDS, what=""):
        """Waits for a condition, which may be a coroutine function."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.02)
        raise CannotRunError(f"not in time: {what}")

    async def until_ready(self, nodes=None):
        for node in nodes or self.nodes:
            await self.until(node.is_ready, what=f"{node.node_id} is ready")


def _stop(number, frame):
    """Ends the case, with its processes, when it is asked to stop."""
    sys.exit(NOT_RUN)


def run(main):
    """Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, _stop)
    try:
        broken = asyncio.run(main(trouble))
    except CannotRunError as error:
        print(f"cannot run: {error}")
        sys.exit(NOT_RUN)
    except Exception:
        traceback.print_exc()
        sys.exit(NOT_RUN)
    sys.exit(BROKEN if broken else HELD)


call_headers = pool_fleet.call_headers
