"""Runs the emulators and nodes of a test as real processes on free ports."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys

import tornado.httpclient

from basilpost.core import codec, data, hashing, names
from basilpost.store import http_objects

START_TIMEOUT_SECONDS = 20.0
# Below the ephemeral range of outgoing connections. Each pytest-xdist worker has its own part of
# it; otherwise another worker's node could bind a free port before this worker's node does.
PORT_RANGE = (10_000, 30_000)
MAX_WORKERS = 20
API_KEY = "test-key"


_issued_ports = set()


def free_port():
    """Returns a port that could be bound just now and that this process has not returned before."""
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % MAX_WORKERS
    ports_per_worker = (PORT_RANGE[1] - PORT_RANGE[0]) // MAX_WORKERS
    first = PORT_RANGE[0] + worker * ports_per_worker
    while True:
        port = random.SystemRandom().randrange(first, first + ports_per_worker)
        if port in _issued_ports:
            continue
        _issued_ports.add(port)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


class Process:
    """A child process of the test."""

    def __init__(self, *, child, address=""):
        self.child = child
        self.address = address

    def send(self, signal_number):
        """Sends a signal, unless the process has ended."""
        if self.child.returncode is None:
            self.child.send_signal(signal_number)

    async def stop(self, signal_number=signal.SIGKILL):
        """Resumes the process if it is paused, ends it with a signal and returns its exit code."""
        self.send(signal.SIGCONT)
        self.send(signal_number)
        return await asyncio.wait_for(self.child.wait(), START_TIMEOUT_SECONDS)


class Bench:
    """The platform, back ends and nodes of one test, each as a process of its own."""

    def __init__(self, *, folder):
        self.folder = pathlib.Path(folder)
        self.processes = []
        self.vms_by_id = {}
        self.runners_by_vm_id = {}
        self.nodes_by_id = {}
        self.gateways_by_id = {}
        self.admins_by_id = {}
        self.client = tornado.httpclient.AsyncHTTPClient(force_instance=True, max_clients=200)

    async def start_emulator(self, *arguments):
        """Starts `basilpost emulate ...`; returns its process once it has printed its address."""
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "basilpost", "emulate", *arguments,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        line = await asyncio.wait_for(child.stdout.readline(), START_TIMEOUT_SECONDS)
        process = Process(child=child, address=json.loads(line)["address"])
        self.processes.append(process)
        return process

    async def start_platform(self, *, loads_per_second=40.0, load_seconds=0.2):
        """Starts the object API, the VM list and the weight store."""
        self.objects, self.vm_list, self.weights = await asyncio.gather(
            self.start_emulator("object-api"),
            self.start_emulator("vm-list"),
            self.start_emulator(
                "weight-store", "--loads-per-second", str(loads_per_second),
                "--load-seconds", str(load_seconds),
            ),
        )  # fmt: skip
        self.store = http_objects.HttpObjectStore(base_url=f"http://{self.objects.address}")

    async def start_runners(self, failure_domain, count, *options):
        """Starts the runners of one fabric domain and lists their VMs."""
        vm_ids = [f"vm-{failure_domain}-{number}" for number in range(count)]
        weights = f"http://{self.weights.address}"
        started = await asyncio.gather(
            *(
                self.start_emulator("runner", "--vm-id", vm_id, "--weight-store", weights, *options)
                for vm_id in vm_ids
            )
        )
        for vm_id, process in zip(vm_ids, started, strict=True):
            self.runners_by_vm_id[vm_id] = process
            await self.list_vm(vm_id, process.address, "gpu", failure_domain)

    async def start_instances(self, failure_domains):
        """Starts one instance of the plain service in each failure domain."""
        for domain in failure_domains:
            process = await self.start_emulator("service", "--instance", f"licences-{domain}")
            self.runners_by_vm_id[f"app-{domain}"] = process
            await self.list_vm(f"app-{domain}", process.address, "app", domain)

    async def list_vm(self, vm_id, address, pool, failure_domain, *, leaving=False):
        """Puts a VM on the platform's list."""
        vm = data.Vm(
            vm_id=vm_id, address=address, pool=pool, fabric_domain=f"fabric-{failure_domain}",
            failure_domain=failure_domain, accelerators=4, leaving=leaving,
        )  # fmt: skip
        self.vms_by_id[vm_id] = vm
        url = f"http://{self.vm_list.address}/v1/vms/{vm_id}"
        await self.client.fetch(url, method="PUT", body=codec.to_json(vm))

    async def configure(self, *records):
        """Creates configuration objects in the object API, without going through a node."""
        prefix_by_kind = {
            data.Service: names.SERVICE_PREFIX,
            data.Workspace: names.WORKSPACE_PREFIX,
            data.FailureDomain: names.FAILURE_DOMAIN_PREFIX,
            data.Operator: names.OPERATOR_PREFIX,
        }
        for record in records:
            stored = data.ConfigObject(value=codec.to_json(record).decode())
            key = prefix_by_kind[type(record)] + record.name
            await self.store.create(key, codec.to_json(stored))

    async def start_nodes(self, failure_domain_by_node, **overrides):
        """Starts nodes with each other as seeds and waits until all are ready."""
        ports = {node: [free_port() for _ in range(3)] for node in failure_domain_by_node}
        seeds = [{"node_id": node, "address": f"127.0.0.1:{ports[node][2]}"} for node in ports]
        for node, failure_domain in failure_domain_by_node.items():
            await self.start_node(node, failure_domain, ports[node], seeds, overrides)
        await asyncio.gather(*(self.wait_until_ready(node) for node in failure_domain_by_node))

    async def start_node(self, node, failure_domain, ports, seeds, overrides):
        """Writes a node's settings and starts it."""
        settings = {
            "node_id": node,
            "failure_domain": failure_domain,
            "platform": {
                "object_api": f"http://{self.objects.address}",
                "vm_list": f"http://{self.vm_list.address}",
            },
            "gateway": {"listen": {"port": ports[0]}, "drain_grace_seconds": 0.5},
            "admin": {"port": ports[1]},
            "peers": {
                "listen": {"port": ports[2]},
                "secret": "shared",
                "seeds": [seed for seed in seeds if seed["node_id"] != node],
            },
            **overrides,
        }
        path = self.folder / f"{node}.jsonc"
        path.write_text("// Settings of one node.\n" + json.dumps(settings))
        self.gateways_by_id[node] = f"127.0.0.1:{ports[0]}"
        self.admins_by_id[node] = f"127.0.0.1:{ports[1]}"
        await self.restart_node(node)

    async def restart_node(self, node):
        """Starts a node with the settings file that `start_node` wrote."""
        path = self.folder / f"{node}.jsonc"
        with (self.folder / f"{node}.log").open("ab") as log:  # noqa: ASYNC230
            child = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "basilpost", "node", str(path),
                stdout=log, stderr=log, env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )  # fmt: skip
        process = Process(child=child)
        self.processes.append(process)
        self.nodes_by_id[node] = process

    async def wait_until_ready(self, node):
        """Waits until a node answers its readiness check with 200."""

        async def is_ready():
            return (await self.call(node, "/readyz", method="GET")).code == 200

        await eventually(is_ready)

    async def call(self, node, path, *, method="POST", body=None, timeout=20.0, **headers):
        """Sends a request to a node's gateway and returns the answer, whatever its status."""
        raw = None if body is None else json.dumps(body).encode()
        extra_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        return await self.client.fetch(
            f"http://{self.gateways_by_id[node]}{path}",
            method=method,
            body=raw if method != "GET" else None,
            allow_nonstandard_methods=True,
            headers={"Authorization": f"Bearer {API_KEY}", **extra_headers},
            raise_error=False,
            request_timeout=timeout,
        )

    async def fetch_log(self, vm_id):
        """Returns the log that a back end keeps of its own work."""
        address = self.runners_by_vm_id[vm_id].address
        return json.loads((await self.client.fetch(f"http://{address}/log")).body)

    async def stop(self):
        """Kills all processes."""
        for process in self.processes:
            await process.stop()
        self.client.close()


def workspace(name="editors", key=API_KEY, **limits):
    """Returns a workspace whose API key is `key`."""
    return data.Workspace(name=name, key_digests=(hashing.key_digest(key),), **limits)


async def eventually(check, *, seconds=START_TIMEOUT_SECONDS):
    """Waits until an asynchronous check returns true; connection errors count as false."""
    deadline = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < deadline:
        try:
            if await check():
                return
        except (OSError, tornado.httpclient.HTTPError):
            pass
        await asyncio.sleep(0.1)
    raise AssertionError(f"{check.__name__} did not hold within {seconds} s")
