"""Stand-ins for a small deployment: the platform's store, clients, and the nodes as processes.

They use the standard library only and do what the users' pages say of the store and of consumers.
"""

import asyncio
import contextlib
import http.client
import itertools
import json
import os
import random
import signal
import time
import urllib.parse

HOST = "desk.example"
KEY = "key-one"
TENANT = "studio"
# Ports are the same on all machines; each machine has a loopback address of its own.
FRONT_PORT, READINESS_PORT, INTERNAL_PORTS, RUNNER_PORT, STORE_PORT = 8227, 8220, (7340, 7355), 8080, 8223
PARTS = 8
# A runner checks in each 1.2 s, and its entry is removed after three intervals of silence.
HEARTBEAT_SECONDS = 1.2
EXPIRY_SECONDS = 3 * HEARTBEAT_SECONDS
CONTRACTS = [
    "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places",
    "platform", "gangs",
]  # fmt: skip


def parts_of(kind, attempt):
    """Returns the pieces of the answer to a request."""
    if kind == "draft":
        return [f"id: {n}\ndata: {attempt} {n} of {PARTS}\n\n".encode() for n in range(1, PARTS + 1)]
    return [f"{attempt} {n} of {PARTS}\n".encode() for n in range(1, PARTS + 1)]


def whole_body(kind, attempt):
    """Returns the whole body of the answer to a request."""
    return b"".join(parts_of(kind, attempt))


def random_host():
    """Returns a loopback address of its own, so that no port on it is taken."""
    return "127.{}.{}.{}".format(*(random.SystemRandom().randrange(2, 250) for _ in range(3)))


async def read_head(reader):
    """Returns the first line and the headers, by their names in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader, headers):
    """Returns the body of a request."""
    length = int(headers.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


def configuration(version=1):
    """Returns the operator's configuration: one plain service with three routes."""

    def route(name, kind, attempts, *, resumable=False):
        return {
            "name": name, "hostname": HOST, "pathPrefix": f"/{name}/", "kind": kind,
            "timeoutMs": 6000, "targetLatencyMs": 400, "priority": 1, "service": "desk",
            "maxAttempts": attempts, "anonymous": False, "stickySessions": False,
            "resumable": resumable, "gapAimMs": 250,
        }  # fmt: skip

    return {
        "version": version,
        "routes": [
            route("lookup", "idempotent", 2),
            route("filing", "non_idempotent", 1),
            route("draft", "streaming", 2, resumable=True),
        ],
        "services": [
            {"name": "desk", "healthPath": "/health", "coldStartS": 0.0, "coldPerS": 0.0}
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }  # fmt: skip


async def keep_checked_in(runner_id, host, store, *, slots=6):
    """Writes a runner's entry to the store each heartbeat."""
    born = int(time.time() * 1000)
    store_host, _, store_port = store.partition(":")

    def check_in(sequence):
        entry = {
            "service": "desk", "address": f"{host}:{RUNNER_PORT}", "zone": "a", "version": "v1",
            "slots": slots, "state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": born,
        }  # fmt: skip
        connection = http.client.HTTPConnection(store_host, int(store_port), timeout=2)
        with contextlib.suppress(OSError):
            connection.request("PUT", f"/api/check-in/{runner_id}", json.dumps(entry))
            connection.getresponse().read()
        connection.close()

    for sequence in itertools.count(1):
        await asyncio.to_thread(check_in, sequence)
        await asyncio.sleep(HEARTBEAT_SECONDS)


class Store:
    """The platform's store of objects."""

    def __init__(self):
        self._objects = {}
        self._revision = 1
        self._history = []
        self._changed = asyncio.Event()
        self._checked_in_at = {}
        self._tasks = set()
        self.address = ""

    async def start(self):
        self._server = await asyncio.start_server(self._accept, random_host(), STORE_PORT)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]
        self._expiry = asyncio.ensure_future(self._expire())

    async def stop(self):
        self._server.close()
        self._expiry.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(self._expiry, *self._tasks, return_exceptions=True)

    def put(self, key, spec):
        """Creates an object or replaces its spec; returns the object."""
        known = self._objects.get(key)
        if known is not None and known["spec"] == spec:
            return known
        self._revision += 1
        created = known["metadata"]["createRevision"] if known else self._revision
        metadata = {
            "name": key.partition("/")[2], "revision": self._revision, "createRevision": created,
            "finalizers": [], "deleting": False,
        }  # fmt: skip
        self._objects[key] = {"metadata": metadata, "spec": spec, "status": None}
        self._record(key, self._objects[key], removed=False)
        return self._objects[key]

    def delete(self, key):
        """Removes an object; returns it as it was."""
        known = self._objects.pop(key, None)
        if known is not None:
            self._revision += 1
            metadata = {**known["metadata"], "revision": self._revision}
            self._record(key, {**known, "metadata": metadata}, removed=True)
        return known

    def _record(self, key, stored, *, removed):
        event = {"removed": removed, "object": stored}
        self._history.append((self._revision, key.partition("/")[0], event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.2)
            for key, at in list(self._checked_in_at.items()):
                if time.monotonic() - at > EXPIRY_SECONDS:
                    del self._checked_in_at[key]
                    self.delete(key)

    def _accept(self, reader, writer):
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            closes = False
            while not closes:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                status, answer = await self._answer(method, target, body)
                closes = headers.get("connection", "").lower() == "close"
                data = json.dumps(answer).encode()
                end = "Connection: close\r\n\r\n" if closes else "\r\n"
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n{end}".encode() + data)
                await writer.drain()
        writer.close()

    async def _answer(self, method, target, body):
        path, _, query = target.partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        _, _, call, kind, *rest = (urllib.parse.unquote(part) for part in path.split("/"))
        sent = json.loads(body) if body else {}
        if call == "check-in":
            # Between the stand-ins only: a runner's check-in.
            self._checked_in_at[f"servers/{kind}"] = time.monotonic()
            return 200, self.put(f"servers/{kind}", sent)
        key = f"{kind}/{rest[0]}" if rest else ""
        if method == "GET" and not rest:
            return 200, await self._read_kind(kind, options)
        if method == "POST":
            key = f"{kind}/{sent['metadata']['name']}"
            if key in self._objects:
                return 409, self._objects[key]
            return 201, self.put(key, sent.get("spec"))
        known = self._objects.get(key)
        if known is None:
            return 404, {}
        if method == "GET":
            return 200, known
        expected = sent.get("metadata", {}).get("revision") or int(options.get("revision", 0))
        if expected and expected != known["metadata"]["revision"]:
            return 409, known
        return 200, self.put(key, sent.get("spec")) if method == "PUT" else self.delete(key)

    async def _read_kind(self, kind, options):
        if "watch" not in options:
            after = options.get("sinceRevision", "")
            names = sorted(key.partition("/")[2] for key in self._objects if key.startswith(f"{kind}/"))
            later = [name for name in names if name > after]
            items = [self._objects[f"{kind}/{name}"] for name in later[:500]]
            return {"items": items, "hasMore": len(later) > 500, "at": self._revision}
        since = int(options["watch"])
        until = time.monotonic() + int(options.get("waitMs", 0)) / 1000
        while True:
            events = [event for at, of, event in self._history if at > since and of == kind]
            seconds = until - time.monotonic()
            if events or seconds <= 0:
                return {"events": events, "at": self._revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._changed.wait()


class Node:
    """A node as a process, started as the deploy file says."""

    def __init__(self, *, name, zone, store, folder, root):
        self.name = name
        self.host = random_host()
        self.port = FRONT_PORT
        self._folder = folder
        self._root = root
        self._process = None
        self._settings = {
            "node_id": name, "failure_domain": zone, "region": "r", "host": self.host,
            "callers": f"{self.host}:{self.port}",
            "readiness": f"{self.host}:{READINESS_PORT}",
            "peer_port": INTERNAL_PORTS[0], "metrics_port": INTERNAL_PORTS[1], "store": store,
            "first_start": True, "contracts": CONTRACTS,
            "bounds": {"grace_seconds": 8, "retry_share": 0.2, "retry_reserve": 136},
        }  # fmt: skip

    async def start(self):
        path = self._folder / f"{self.name}.jsonc"
        path.write_text(json.dumps(self._settings))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = kept | {
            "PYTHONPATH": str(self._root / "target" / "deps"), "BASILPOST_CONFIG": str(path),
            "BASILPOST_MEMORY_MB": "300", "BASILPOST_MAX_DESCRIPTORS": "4100",
        }  # fmt: skip
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3", "-m", "basilpost.node.pool_process",
                cwd=self._root, env=environment, stdout=log, stderr=log,
            )  # fmt: skip

    async def is_ready(self, *, seconds=20.0):
        """Returns True once the node says that it is ready, False if it doesn't in time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(self.host, READINESS_PORT)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                async with asyncio.timeout(2):
                    line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return True
            await asyncio.sleep(0.1)
        return False

    async def end(self):
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()


class Channel:
    """A client's channel to a node."""

    def __init__(self, *, host, port):
        self._address = host, port

    async def open(self):
        self._reader, self._writer = await asyncio.open_connection(*self._address)

    def send(self, method, path, attempt, *, body=None, deadline_ms=6000):
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nX-Credential: {KEY}\r\n"
        )
        length = "" if body is None else f"Content-Length: {len(body)}\r\n"
        self._writer.write(f"{head}{length}\r\n".encode() + (body or b""))

    async def answer(self, *, seconds):
        """Returns status, headers, body, and whether the answer is complete in the protocol."""
        status, headers, body = 0, {}, b""
        try:
            async with asyncio.timeout(seconds):
                line, headers = await read_head(self._reader)
                status = int(line.split(" ")[1])
                if headers.get("transfer-encoding", "") != "chunked":
                    length = int(headers["content-length"])
                    return status, headers, await self._reader.readexactly(length), True
                while size := int((await self._reader.readuntil(b"\r\n")).strip(), 16):
                    body += await self._reader.readexactly(size)
                    await self._reader.readexactly(2)
                await self._reader.readexactly(2)
                return status, headers, body, True
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            return status, headers, body, False

    def close(self):
        self._writer.close()
