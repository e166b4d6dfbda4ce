"""The emulated platform of the users in one process: store, model runners and a plain service."""

import asyncio
import functools
import itertools
from collections.abc import Callable
from typing import Any

from basilpost.emulator import pool_runner, pool_store

HOST = "archive.example"
KEY = "key-one"
OTHER_KEY = "key-two"
WORKSPACE = "studio"
MODEL_SERVICE = "clearance"
PLAIN_SERVICE = "desk"
LARGE = "large"
SMALL = "small"


def configuration(
    version: int = 1,
    *,
    keys: tuple[str, ...] = (KEY, OTHER_KEY),
    stream_timeout_ms: int = 5000,
    event_seconds: float = 0.0,
    events: int = 0,
    draft_kinds: bool = False,
    large_share: float = 0.8,
    further_route: bool = False,
) -> dict[str, Any]:
    """Returns a configuration in the format of the users' platform.

    Its routes are `draft`, which streams from the model service, and `filing` and `lookup`, a call that
    may run only once and an idempotent one to the plain service.

    Args:
        version: Version of the configuration.
        keys: API keys of the workspace.
        stream_timeout_ms: Longest time of a stream.
        event_seconds: Time between events, from which the engine's figures follow; 0 for none.
        events: Usual number of events of a stream.
        draft_kinds: True for further routes to the model service: `draft-once`, whose streams may be resumed
            but have one attempt, and `draft-whole`, whose streams may not be resumed.
        large_share: The large model's share of the work.
        further_route: True for one more route, which nobody uses.
    """
    engine = _engine(large_share) | (_figures(event_seconds, events) if event_seconds else {})
    drafts = [_route("draft", "streaming", MODEL_SERVICE, attempts=2, sticky=True)]
    if draft_kinds:
        drafts += [
            _route("draft-once", "streaming", MODEL_SERVICE, attempts=1, sticky=True),
            _route("draft-whole", "streaming", MODEL_SERVICE, attempts=1, sticky=True)
            | {"resumable": False},
        ]
    further = [_route("further", "idempotent", PLAIN_SERVICE, attempts=2)] if further_route else []
    return {
        "version": version,
        "routes": [
            *(draft | {"timeoutMs": stream_timeout_ms} for draft in drafts),
            _route("filing", "non_idempotent", PLAIN_SERVICE, attempts=1),
            _route("lookup", "idempotent", PLAIN_SERVICE, attempts=2),
            *further,
        ],
        "services": [
            {"name": MODEL_SERVICE, "coldPerS": 36.0, "engine": engine},
            {"name": PLAIN_SERVICE, "coldPerS": 0.0, "healthPath": "/health"},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": WORKSPACE, "apiKeys": list(keys), "priority": 1}],
    }


def call_headers(
    request_id: str, *, model: str = "", key: str = KEY, budget_ms: int = 0
) -> dict[str, str]:
    """Returns the headers of a caller's request; a budget of 0 sends no deadline."""
    headers = {"Host": HOST, "X-Attempt-Id": request_id, "X-Credential": key}
    headers |= {"X-Deadline-Ms": str(budget_ms)} if budget_ms else {}
    return headers | ({"X-Model": model, "X-Token-Usage": "10,6"} if model else {})


def _route(
    name: str, kind: str, service: str, *, attempts: int, sticky: bool = False
) -> dict[str, Any]:
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "anonymous": False,
        "stickySessions": sticky,
        "resumable": sticky,
        "gapAimMs": 250,
    }


def _figures(event_seconds: float, events: int) -> dict[str, Any]:
    """Returns the figures of an engine whose steps take the same time whatever its load."""
    return {
        "step_ms": event_seconds * 1000.0,
        "per_seq_ms": 0.0,
        "context_per_k": 0.0,
        "read_per_s": 1e6,
        "pairs_per_m": 0.0,
        "stride": 1,
        "kvCapacityTokens": 100_000,
        "usual": {"prompt": 10, "answer": events},
    }


def _engine(large_share: float) -> dict[str, Any]:
    small_share = round(1.0 - large_share, 3)
    return {
        "slots": 4,
        "loadsPerS": 50.0,
        "formMs": 20.0,
        "models": [
            {
                "name": LARGE,
                "size": 3,
                "share": large_share,
                "pace": 1.0,
                "loadS": 0.2,
                "warmS": 0.02,
            },
            {
                "name": SMALL,
                "size": 2,
                "share": small_share,
                "pace": 0.6,
                "loadS": 0.2,
                "warmS": 0.02,
            },
        ],
    }


class PoolFleet:
    """The platform's store, `vms` runners per fabric domain, and instances of a plain service.

    Attributes:
        store: The platform's store.
        runners_by_id: Runners by the id of their VM.
        members_matter: True if the streams of a group stall once a member has left it.

    Args:
        spec: The first configuration, that of `configuration` if None.
    """

    def __init__(
        self,
        *,
        fabric_domains: int = 1,
        vms: int = 6,
        plain_instances: int = 2,
        spec: dict[str, Any] | None = None,
    ) -> None:
        self._spec = configuration() if spec is None else spec
        self.store = pool_store.PoolStore()
        self.runners_by_id: dict[str, pool_runner.PoolRunner] = {}
        self.members_matter = False
        for domain, number in itertools.product(range(fabric_domains), range(vms)):
            self.add(f"vm-{domain}-{number}", MODEL_SERVICE, fabric_domain=f"fabric-{domain}")
        for number in range(plain_instances):
            self.add(f"desk-{number}", PLAIN_SERVICE)

    def add(self, vm_id: str, service: str, *, fabric_domain: str = "") -> pool_runner.PoolRunner:
        """Adds a runner without starting it, and returns it."""
        runner = pool_runner.PoolRunner(
            vm_id=vm_id, service=service, store=self.store, fabric_domain=fabric_domain
        )
        runner.has_lost_member = functools.partial(self._has_lost_member, runner)
        self.runners_by_id[vm_id] = runner
        return runner

    def _has_lost_member(self, head: pool_runner.PoolRunner) -> bool:
        """Returns True if a member of a head's group has ended or is not in the group any more."""
        if not self.members_matter or head.member is None:
            return False
        group = (head.member["name"], head.member["epoch"])
        members = [self.runners_by_id[vm_id] for vm_id in head.members]
        return any(
            not other.is_serving
            or other.member is None
            or (other.member["name"], other.member["epoch"]) != group
            for other in members
        )

    async def start(self) -> None:
        """Starts the store and the runners, and writes the first configuration."""
        await self.store.start()
        await self.configure(self._spec)
        for runner in self.runners_by_id.values():
            await runner.start()

    async def stop(self) -> None:
        """Stops the runners and the store."""
        for runner in self.runners_by_id.values():
            await runner.stop()
        await self.store.stop()

    async def configure(self, spec: dict[str, Any]) -> None:
        """Writes a configuration to the store, as the operator does."""
        await self.store.put("config/main", spec)

    def open_groups(self, model: str = "") -> list[str]:
        """Returns the sorted names of the open groups whose name begins with `model`."""
        members = (runner.member for runner in self.runners_by_id.values())
        return sorted(
            member["name"]
            for member in members
            if member is not None and member["state"] == "open" and member["name"].startswith(model)
        )

    def runners_of(self, service: str) -> list[pool_runner.PoolRunner]:
        """Returns the runners of a service."""
        return [runner for runner in self.runners_by_id.values() if runner.service == service]

    def runs_of(self, attempt: str) -> list[pool_runner.Run]:
        """Returns the runs of a request on all runners."""
        logs = (runner.runs for runner in self.runners_by_id.values())
        return [run for run in itertools.chain(*logs) if run.attempt == attempt]


async def until(condition: Callable[[], bool], *, seconds: float = 15.0) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: If it does not hold within `seconds`.
    """
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)
