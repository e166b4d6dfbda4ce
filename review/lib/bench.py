"""Shared parts of the cases: node processes, callers, and the record of what happened.

Nodes are started as `deploy/system.toml` says. The store and the runners are the project's own
stand-ins, in the process of the case. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import logging
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMAND = ("python3", "-m", "basilpost.node.pool_process")
# As the sheet of akl-clearance has them.
CONTRACTS = (
    "base", "drain", "config", "cost", "retry", "recover",
    "engine", "stream", "tenants", "places", "platform", "gangs",
)  # fmt: skip
GRACE_SECONDS = 8
START_SECONDS = 20.0
# A case runs for 120 s at most.
CASE_SECONDS = 95.0

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case did not come to the point that it judges."""


@contextlib.contextmanager
def work_folder():
    """A temporary folder; kept for reading if KEEP names one."""
    if os.environ.get("KEEP"):
        yield os.environ["KEEP"]
        return
    with tempfile.TemporaryDirectory() as folder:
        yield folder


def has_trouble():
    """Returns False if the case is to be run without its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")  # noqa: SIM115
        self._began_at = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self._began_at:8.3f} {text}"
        print(line, file=self._file, flush=True)

    def close(self):
        self._file.close()


def _template_text(fields):
    """Fills in deploy/node.jsonc as the platform does; only the forms that it uses are known."""
    text = (ROOT / "deploy/node.jsonc").read_text()

    def value(match):
        found = fields
        for part in match[1].split("."):
            found = found[int(part)] if part.isdigit() else found[part]
        return json.dumps(found)

    return re.sub(r"\{\{([\w.]+)(?:\|json)?\}\}", value, text)


def _free_host():
    """Returns a loopback host on which the ports of a node are free."""
    for _ in range(100):
        host = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}.{random.randrange(2, 250)}"
        with contextlib.ExitStack() as stack:
            try:
                for port in (8227, 8220, 7340, 7341, 7355):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((host, port))
            except OSError:
                continue
            return host
    raise CouldNotRun("no free loopback host")


class Node:
    """One node process."""

    def __init__(self, name, store, folder, record, *, zone="zone-a", contracts=CONTRACTS):
        self.name = name
        self.host = _free_host()
        self.callers = f"{self.host}:8227"
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self._settings_path = pathlib.Path(folder) / f"{name}.jsonc"
        self._record = record
        self._child = None
        self._fields = {
            "nodeName": name,
            "zone": zone,
            "region": "region-one",
            "ip": self.host,
            "listen": {"front": self.callers, "readiness": f"{self.host}:8220"},
            "internalPorts": [7340, 7355],
            "platform": {"address": store},
            "bootstrap": True,
            "contracts": list(contracts),
            "bounds": {"graceS": GRACE_SECONDS, "retryBudgetRatio": 0.2, "budgetSlack": 136},
        }

    async def start(self):
        """Starts the process with the command of the deploy file."""
        self._settings_path.write_text(_template_text(self._fields))
        self._fields["bootstrap"] = False
        path = os.pathsep.join([str(ROOT / "target/deps")])
        env = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        } | {
            "PYTHONPATH": path,
            "BASILPOST_CONFIG": str(self._settings_path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self._child = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._record.write(f"node {self.name} started at {self.callers}")

    def is_later_start(self):
        """Makes the settings say that the system has started before."""
        self._fields["bootstrap"] = False

    @property
    def pid(self):
        return self._child.pid

    def send(self, number):
        """Sends a signal to the process."""
        if self._child is not None and self._child.returncode is None:
            self._child.send_signal(number)
            self._record.write(f"node {self.name}: {signal.Signals(number).name}")

    async def wait_ended(self, seconds):
        async with asyncio.timeout(seconds):
            code = await self._child.wait()
        self._record.write(f"node {self.name} ended with {code}")
        return code

    @property
    def ended(self):
        return self._child is None or self._child.returncode is not None

    async def close(self):
        if not self.ended:
            self._child.send_signal(signal.SIGCONT)
            self._child.kill()
            await self._child.wait()

    def logged(self, text):
        """Returns True if the log holds a text."""
        return self.log_path.exists() and text.encode() in self.log_path.read_bytes()

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError, TimeoutError):
            answer = await call(f"{self.host}:8220", "GET", "/api/ready", {}, timeout=1.0)
            return answer.status == 200
        return False

    async def wait_ready(self):
        await until(self.is_ready, START_SECONDS, f"{self.name} is not ready")


class Answer:
    """What a caller got: status 0 for no whole answer."""

    def __init__(self, status, headers, body, error=""):
        self.status, self.headers, self.body, self.error = status, headers, body, error


async def call(address, method, path, headers, body=b"", *, timeout=10.0):
    """Sends one request on a new connection; returns the answer, or why there is none."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                await send(writer, method, path, headers, body)
                return await receive(reader)
            finally:
                writer.close()
    except TimeoutError:
        return Answer(0, {}, b"", "no answer in time")
    except Incomplete as error:
        return Answer(0, {}, error.body, "closed within the answer")
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(0, {}, b"", f"closed: {error!r}")


async def send(writer, method, path, headers, body=b""):
    """Writes one request."""
    lines = [f"{method} {path} HTTP/1.1"]
    fields = dict(headers)
    fields.setdefault("Host", "archive.example")
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
    await writer.drain()


class Incomplete(Exception):
    """The channel ended before the answer was complete."""

    def __init__(self, body):
        super().__init__(f"{len(body)} bytes of the body had come")
        self.body = body


async def receive(reader):
    """Reads one answer with a length or in chunks; raises Incomplete if it breaks off in its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *rest = head.strip().split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    status = int(first.split()[1])
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        try:
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        except (OSError, asyncio.IncompleteReadError) as error:
            raise Incomplete(body) from error
        return Answer(status, headers, body)
    return Answer(status, headers, await reader.readexactly(int(headers.get("content-length", 0))))


async def until(condition, seconds, why):
    """Waits for a condition, a function or a coroutine function."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return
        await asyncio.sleep(0.01)
    raise CouldNotRun(why)


async def _run(case, record):
    """Runs a case within its time; at SIGTERM it ends its processes as at its end."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(CASE_SECONDS):
        return await case(record)


def main(case, folder):
    """Runs a case, a coroutine function that returns True if the rule held; ends the process."""
    # The stand-ins close connections on purpose.
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    record = Record(folder)
    try:
        held = asyncio.run(_run(case, record))
    except (CouldNotRun, TimeoutError, asyncio.CancelledError) as error:
        record.write(f"RESULT: could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    except Exception as error:
        record.write(f"RESULT: could not run: {error!r}")
        raise SystemExit(COULD_NOT_RUN) from error
    record.write("RESULT: the rule held" if held else "RESULT: the rule was broken")
    print("held" if held else "broken")
    sys.exit(HELD if held else BROKEN)
