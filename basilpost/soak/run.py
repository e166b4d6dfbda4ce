"""Runs the soak for one seed: nodes as processes, callers, faults that overlap, and the checks."""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
from collections.abc import Awaitable

from basilpost.core import clock
from basilpost.emulator import pool_fleet
from basilpost.soak import callers as callers_
from basilpost.soak import checks, faults, processes, proxies

NODES = 3
CALLERS = 8
VMS = 7
READY_SECONDS = 20.0
# After the last fault every node serves every kind of request again within this time: a lease of
# the controller, the loads of a group, and the runners' own return.
RECOVERY_SECONDS = 12.0
ASK_AGAIN_SECONDS = 0.2
# Answers of a plain runner that are lost at once.
LOST_ANSWERS = 3
SLOW_SECONDS = 0.3
DOMAINS = ("a", "b")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """What a run showed.

    Attributes:
        seed: Its seed.
        faults: Number of faults.
        calls: Number of requests.
        served: Those with a complete success.
        broken: What was broken, a line each.
    """

    seed: int
    faults: int
    calls: int
    served: int
    broken: tuple[str, ...]


class Soak:
    """The system of one run."""

    def __init__(self, *, seed: int, folder: pathlib.Path) -> None:
        self._seed = seed
        self._fleet = pool_fleet.PoolFleet(vms=VMS, plain=len(DOMAINS) * 2)
        for number, runner in enumerate(self._fleet.runners_by_id.values()):
            runner.failure_domain = DOMAINS[number % len(DOMAINS)]
        self._folder = folder
        self._nodes: list[processes.NodeProcess] = []
        self._ways_by_vm: dict[str, proxies.Proxy] = {}
        self._losing_by_vm: dict[str, asyncio.Lock] = collections.defaultdict(asyncio.Lock)
        self._callers: list[callers_.Caller] = []
        self._keys: list[checks.Withdrawal] = []
        self._domains: list[checks.Withdrawal] = []
        self._version = 1
        self._configuring = asyncio.Lock()
        self._broken: list[str] = []

    async def run(self, *, seconds: float) -> Report:
        """Lets faults happen for some seconds, then checks everything."""
        drawn = faults.draw(self._seed, seconds=seconds)
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            addresses = tuple(node.settings.callers for node in self._nodes)
            self._callers = [
                callers_.Caller(
                    name=f"c{number}", addresses=addresses, seed=f"{self._seed}/{number}"
                )
                for number in range(CALLERS)
            ]
            await self._serve_everywhere("at the start", READY_SECONDS)
            asking = [asyncio.create_task(one.run()) for one in self._callers[:CALLERS]]
            await asyncio.gather(*(self._happen(one) for one in drawn))
            await self._serve_everywhere("after the last fault", RECOVERY_SECONDS)
            for caller in self._callers:
                caller.end()
            await asyncio.gather(*asking)
        return self._report(drawn)

    async def _start(self, stack: contextlib.AsyncExitStack) -> None:
        stack.push_async_callback(self._fleet.stop)
        await self._fleet.start()
        for runner in self._fleet.runners_by_id.values():
            way = proxies.Proxy(target=runner.address)
            await way.start()
            stack.push_async_callback(way.stop)
            self._ways_by_vm[runner.vm_id] = way
            runner.address = way.address
            await runner.report()
        for number in range(NODES):
            node = processes.NodeProcess(
                node_id=f"node-{number}", store=self._fleet.store.address, folder=self._folder
            )
            stack.push_async_callback(node.end)
            await node.start()
            self._nodes.append(node)

    async def _serve_everywhere(self, when: str, seconds: float) -> None:
        """Waits until each node serves each kind of request."""
        probe = callers_.Caller(name=f"probe-{len(self._callers)}", addresses=(), seed="")
        self._callers.append(probe)
        until = clock.elapsed() + seconds
        for node in self._nodes:
            for path in callers_.PATHS:
                while True:
                    call = await probe.ask(node.settings.callers, path, pool_fleet.KEY)
                    if call is not None and call.status == 200 and call.complete:
                        break
                    if clock.elapsed() > until:
                        status = "no connection" if call is None else call.status
                        name = node.settings.node_id
                        self._broken.append(f"{name} serves no {path} {when}: {status}")
                        break
                    await asyncio.sleep(ASK_AGAIN_SECONDS)

    def _report(self, drawn: tuple[faults.Fault, ...]) -> Report:
        calls = [call for caller in self._callers for call in caller.calls]
        self._broken += [
            f"{node.settings.node_id} ended with {code} when asked to stop"
            for node in self._nodes
            for code in node.wrong_ends
        ]
        self._broken += checks.check(
            calls,
            self._fleet.runners_by_id.values(),
            keys=self._keys,
            failure_domains=self._domains,
            planned=faults.is_planned(self._seed),
        )
        return Report(
            seed=self._seed,
            faults=len(drawn),
            calls=len(calls),
            served=sum(call.complete and call.status == 200 for call in calls),
            broken=tuple(self._broken),
        )

    # Faults.

    async def _happen(self, fault: faults.Fault) -> None:
        await asyncio.sleep(fault.at)
        await self._do(fault)

    def _do(self, fault: faults.Fault) -> Awaitable[None]:
        node = self._nodes[fault.which % len(self._nodes)]
        ids = sorted(self._ways_by_vm)
        vm_id = ids[fault.which % len(ids)]
        way = self._ways_by_vm[vm_id]
        both = {proxies.Direction.UP, proxies.Direction.DOWN}
        one_way = {list(proxies.Direction)[fault.which % 2]}
        match fault.kind:
            case faults.Kind.KILL:
                return node.kill(seconds=fault.seconds)
            case faults.Kind.STOP:
                return node.stop()
            case faults.Kind.PAUSE:
                return node.pause(seconds=fault.seconds)
            case faults.Kind.RELOAD:
                return self._reload(node)
            case faults.Kind.STORE_SILENT:
                return self._disturb(fault, [node.way], silent=both)
            case faults.Kind.STORE_ONE_WAY:
                return self._disturb(fault, [node.way], silent=one_way)
            case faults.Kind.STORE_SLOW:
                return self._disturb(fault, [node.way], delay=SLOW_SECONDS)
            case faults.Kind.STORE_RESET:
                return self._reset([node.way])
            case faults.Kind.STORE_REFUSES:
                return self._disturb(fault, [node.way], refuses=True)
            case faults.Kind.STORE_AWAY:
                return self._disturb(fault, [one.way for one in self._nodes], refuses=True)
            case faults.Kind.RUNNER_SILENT:
                return self._disturb(fault, [way], silent=both)
            case faults.Kind.RUNNER_ONE_WAY:
                return self._disturb(fault, [way], silent=one_way)
            case faults.Kind.RUNNER_RESET:
                return self._reset([way])
            case faults.Kind.RUNNER_GONE:
                return self._lose(fault, vm_id)
            case faults.Kind.ANSWERS_LOST:
                return self._lose_answers(fault)
            case faults.Kind.KEY_TAKEN:
                return self._take_key(fault)
            case _:
                return self._take_domain_out(fault)

    async def _reload(self, node: processes.NodeProcess) -> None:
        node.reload()

    async def _reset(self, ways: list[proxies.Proxy]) -> None:
        for way in ways:
            way.reset()

    async def _disturb(
        self,
        fault: faults.Fault,
        ways: list[proxies.Proxy],
        *,
        silent: set[proxies.Direction] | None = None,
        delay: float = 0.0,
        refuses: bool = False,
    ) -> None:
        for way in ways:
            way.silent |= silent or set()
            way.delay = max(way.delay, delay)
            way.refuses = way.refuses or refuses
            if refuses:
                way.reset()
        await asyncio.sleep(fault.seconds)
        for way in ways:
            way.heal()

    async def _lose(self, fault: faults.Fault, vm_id: str) -> None:
        """Takes a runner away without a word, and brings it back empty; each runner once at a time."""
        runner = self._fleet.runners_by_id[vm_id]
        async with self._losing_by_vm[vm_id]:
            await runner.vanish()
            await asyncio.sleep(fault.seconds)
            runner.member, runner.members, runner.staged = None, [], []
            runner.release_port()
            way = self._ways_by_vm[vm_id]
            way.target = await runner.start()
            runner.address = way.address
            await runner.report()

    async def _lose_answers(self, fault: faults.Fault) -> None:
        plain = [one for one in self._fleet.runners_by_id.values() if not one.fabric_domain]
        plain[fault.which % len(plain)].options.lose_answers = LOST_ANSWERS

    async def _take_key(self, fault: faults.Fault) -> None:
        """Takes a key away for as long as a use of it after its time would show."""
        async with self._configuring:
            self._version += 1
            await self._fleet.configure(
                pool_fleet.configuration(self._version, keys=(pool_fleet.KEY,))
            )
            at = clock.elapsed()
            await asyncio.sleep(checks.WITHDRAWAL_SECONDS + fault.seconds)
            self._keys.append(
                checks.Withdrawal(name=pool_fleet.OTHER_KEY, at=at, until=clock.elapsed())
            )
            self._version += 1
            await self._fleet.configure(pool_fleet.configuration(self._version))

    async def _take_domain_out(self, fault: faults.Fault) -> None:
        async with self._configuring:
            name = DOMAINS[-1]
            await self._fleet.store.put(f"evacuations/{name}", {})
            at = clock.elapsed()
            await asyncio.sleep(checks.WITHDRAWAL_SECONDS + fault.seconds)
            self._domains.append(checks.Withdrawal(name=name, at=at, until=clock.elapsed()))
            await self._fleet.store.remove(f"evacuations/{name}")
