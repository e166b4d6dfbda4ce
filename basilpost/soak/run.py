"""Runs the soak test for one seed: node processes, callers, overlapping faults and the checks."""

import asyncio
import collections
import contextlib
import dataclasses
import functools
import itertools
import pathlib
import random
from collections.abc import Awaitable, Collection, Iterable, Mapping

from basilpost.core import clock, codec
from basilpost.emulator import pool_fleet
from basilpost.groups import lease, pool_controller
from basilpost.node import pool_demo
from basilpost.soak import (
    answer_checks,
    balancer,
    callers,
    checks,
    faults,
    loss_checks,
    odd_work,
    operator_work,
    processes,
    proxies,
    repeat_checks,
    runner_work,
    scenarios,
    version_work,
)
from basilpost.store import objects

START_TIMEOUT_SECONDS = 20.0
# Time after the last fault within which every node must serve every kind of request again. It
# covers a lease of the controller, the loads of a group and the return of the runners.
RECOVERY_TIMEOUT_SECONDS = 12.0
PROBE_INTERVAL_SECONDS = 0.2
# Time after the last fault in which callers that fill all groups go on; then each node must serve.
CALM_SECONDS = 2.0
# Consecutive answers that one instance of the plain service loses.
LOST_ANSWERS_PER_FAULT = 3
SLOW_STORE_DELAY_SECONDS = 0.3
LEASE_READ_SECONDS = 1.0
REPEAT_BOUNDS = repeat_checks.RepeatBounds(
    share=pool_demo.RETRY_SHARE,
    slack=pool_demo.RETRY_RESERVE,
    max_attempts_by_path={
        "lookup": 2,
        "filing": 1,
        "draft": 2,
        "draft-once": 1,
        "draft-whole": 1,
    },
)
# A copy of the store is this many times as old as the fault is long.
COPY_AGE_FACTOR = 2.0
# Shares of a fault's length in which the store is away, and then all is written to it again.
AWAY_SHARE = 0.2
REWRITE_SHARE = 0.4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """The result of a run.

    Attributes:
        seed: Seed of the run.
        faults: Number of faults.
        calls: Number of requests.
        served: Number of requests with status 200 and a complete answer.
        stops: Number of planned stops of nodes.
        lost: Number of requests that planned work left without a complete answer.
        crossed: Number of other requests without a complete answer. With planned work only, these met the
            close of their connection before a node had read them.
        broken: A line for each broken guarantee.
        excused: Number of accepted requests without a complete answer, by the fault that ended them, where
            losses are counted.
    """

    seed: int
    faults: int
    calls: int
    served: int
    stops: int
    lost: int
    crossed: int
    broken: tuple[str, ...]
    excused: Mapping[str, int] = dataclasses.field(default_factory=dict)


class Soak:
    """The nodes, emulated back ends and callers of one run."""

    def __init__(
        self, *, seed: int, folder: pathlib.Path, scenario: scenarios.Scenario | None = None
    ) -> None:
        self._seed = seed
        self._scenario = (scenario or scenarios.AllFaults()).for_seed(seed)
        self._fleet = pool_fleet.PoolFleet(
            vms=self._scenario.vms, plain_instances=self._scenario.plain_instances
        )
        self._fleet.members_matter = self._scenario.members_matter
        self._scenario.extend_fleet(self._fleet)
        for number, runner in enumerate(self._fleet.runners_by_id.values()):
            runner.failure_domain = operator_work.FAILURE_DOMAINS[
                number % len(operator_work.FAILURE_DOMAINS)
            ]
            runner.options = self._scenario.options_of(runner, seed=seed)
        self._folder = folder
        self._nodes: list[processes.NodeProcess] = []
        self._proxies_by_vm: dict[str, proxies.Proxy] = {}
        self._restart_locks_by_vm: dict[str, asyncio.Lock] = collections.defaultdict(asyncio.Lock)
        self._callers: list[callers.Caller] = []
        self._operator = operator_work.OperatorWork(fleet=self._fleet, scenario=self._scenario)
        self._version_work = version_work.VersionWork(operator=self._operator, nodes=self._nodes)
        self._runner_work = runner_work.RunnerWork(fleet=self._fleet)
        self._violations: list[str] = []
        self._disturbances: list[checks.Disturbance] = []
        self._cuts: list[checks.Disturbance] = []
        self._runner_faults: list[repeat_checks.RunnerFault] = []

    async def run(self, *, seconds: float) -> Report:
        """Injects faults that begin within `seconds`, then checks all guarantees."""
        schedule = self._scenario.draw(self._seed, seconds=seconds)
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            await self._wait_until_all_serve("at the start", START_TIMEOUT_SECONDS)
            caller_tasks = self._start_callers(stack)
            await asyncio.gather(*(self._inject_when_due(fault) for fault in schedule))
            if self._scenario.fills_groups:
                await asyncio.sleep(CALM_SECONDS)
                await self._stop_callers(caller_tasks)
            await self._wait_until_all_serve("after the last fault", RECOVERY_TIMEOUT_SECONDS)
            await self._stop_callers(caller_tasks)
        return self._report(schedule)

    async def _start(self, stack: contextlib.AsyncExitStack) -> None:
        stack.push_async_callback(self._fleet.stop)
        await self._fleet.start()
        await self._operator.configure()
        await self._scenario.prepare(self._fleet, stack, seed=self._seed)
        for runner in self._fleet.runners_by_id.values():
            proxy = proxies.Proxy(target=runner.address)
            await proxy.start()
            stack.push_async_callback(proxy.stop)
            self._proxies_by_vm[runner.vm_id] = proxy
            runner.announced_address = proxy.address
            runner.on_down = functools.partial(_set_down, proxy)
            await runner.report()
        for number in range(self._scenario.nodes):
            node = processes.NodeProcess(
                node_id=f"node-{number}",
                store=self._fleet.store.address,
                folder=self._folder,
                grace_seconds=self._scenario.grace_seconds,
                stop_seconds=self._scenario.stop_seconds,
                contracts=self._scenario.contracts,
            )
            stack.push_async_callback(node.close)
            await node.start()
            self._nodes.append(node)
        await stack.enter_async_context(processes.busy(self._scenario.busy_processes))

    def _start_callers(self, stack: contextlib.AsyncExitStack) -> list[asyncio.Task[None]]:
        load_balancer = balancer.Balancer(
            readiness_by_address={
                node.settings.callers: node.settings.readiness for node in self._nodes
            }
        )
        stack.callback(asyncio.create_task(load_balancer.run()).cancel)
        started = [
            self._scenario.caller(
                name=f"c{number}", seed=f"{self._seed}/{number}", load_balancer=load_balancer
            )
            for number in range(self._scenario.caller_count)
        ]
        self._callers += started
        return [asyncio.create_task(caller.run()) for caller in started]

    async def _stop_callers(self, caller_tasks: list[asyncio.Task[None]]) -> None:
        for caller in self._callers:
            caller.stop()
        await asyncio.gather(*caller_tasks)

    async def _wait_until_all_serve(self, when: str, seconds: float) -> None:
        """Waits until each node serves each kind of request; what times out is a violation."""
        probe = callers.RandomCaller(name=f"probe-{len(self._callers)}", addresses=(), seed="")
        self._callers.append(probe)
        deadline = clock.elapsed() + seconds
        for node in self._nodes:
            for path in callers.REQUEST_KINDS:
                while True:
                    call = await probe.send_request(node.settings.callers, path, pool_fleet.KEY)
                    if call is not None and call.status == 200 and call.complete:
                        break
                    if clock.elapsed() > deadline:
                        status = "no connection" if call is None else call.status
                        name = node.settings.node_id
                        self._violations.append(f"{name} serves no {path} {when}: {status}")
                        break
                    await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    def _report(self, schedule: tuple[faults.Fault, ...]) -> Report:
        calls = [call for caller in self._callers for call in caller.calls]
        stops = [stop for node in self._nodes for stop in node.stops]
        logged_requests = frozenset(
            itertools.chain.from_iterable(node.logged_requests() for node in self._nodes)
        )
        for node in self._nodes:
            self._violations += node.own_ends
        losses = self._find_losses(calls, logged_requests)
        self._violations += losses.lines
        for stop in stops:
            self._violations += checks.check_stop(stop, seconds=self._scenario.stop_seconds)
        self._violations += checks.check(
            calls,
            self._fleet.runners_by_id.values(),
            withdrawn_keys=self._operator.withdrawn_keys,
            withdrawn_failure_domains=self._operator.withdrawn_failure_domains,
            planned_only=self._seed % self._scenario.planned_every == 0,
            stops=stops,
            logged_requests=logged_requests,
            events=self._scenario.runner_options.events,
        )
        for caller in self._callers:
            self._violations += [*caller.unread, *caller.invalid]
        self._violations += answer_checks.check_answers(calls, self._fleet.runners_by_id.values())
        self._violations += repeat_checks.check_repeats(
            calls,
            self._fleet.runners_by_id.values(),
            bounds=REPEAT_BOUNDS,
            disturbances=self._disturbances,
            runner_faults=self._runner_faults,
        )
        self._violations += checks.check_crashes(
            calls,
            self._fleet.runners_by_id.values(),
            parts=self._scenario.runner_options.crash_parts,
            bodies=self._scenario.runner_options.crash_bodies,
            disturbances=self._disturbances,
        )
        self._violations += checks.check_paths(
            calls, cuts=self._cuts, disturbances=self._disturbances
        )
        lost = sum(line.startswith(checks.CUT) for line in self._violations)
        return Report(
            seed=self._seed,
            faults=len(schedule),
            calls=len(calls),
            served=sum(call.complete and call.status == 200 for call in calls),
            stops=len(stops),
            lost=lost,
            crossed=sum(not call.complete for call in calls) - lost,
            broken=tuple(self._violations),
            excused=losses.excused,
        )

    def _find_losses(
        self, calls: list[checks.Call], logged_requests: frozenset[str]
    ) -> loss_checks.Losses:
        if not self._scenario.counts_losses:
            return loss_checks.Losses(lines=(), excused={})
        for node in self._nodes:
            self._violations += [
                f"{node.settings.node_id} wrote beside its log: {line}" for line in node.errors()
            ]
        return loss_checks.find_losses(
            calls,
            self._fleet.runners_by_id.values(),
            killed_at_by_address={
                node.settings.callers: tuple(node.killed_at) for node in self._nodes
            },
            runner_faults=self._runner_faults,
            logged_requests=logged_requests,
            shortest_timeout=version_work.SHORT_TIMEOUT_MS / 1000,
            lines_about=lambda request_id: [
                line for node in self._nodes for line in node.lines_about(request_id)
            ],
        )

    async def _inject_when_due(self, fault: faults.Fault) -> None:
        await asyncio.sleep(fault.at)
        began_at = clock.elapsed()
        node = await self._node_of(fault)
        await self._inject(fault, node)
        if fault.kind in faults.RUNNER_CONNECTION_KINDS:
            ids = sorted(self._proxies_by_vm)
            self._log_runner_faults([ids[fault.target_index % len(ids)]], began_at)
        if fault.kind is faults.Kind.RUNNERS_RESET:
            self._log_runner_faults(self._proxies_by_vm, began_at)
        if fault.kind in faults.NODE_KINDS:
            self._disturbances.append(
                checks.Disturbance(
                    address=node.settings.callers,
                    begin=began_at,
                    end=clock.elapsed() + checks.STABLE_SECONDS,
                )
            )

    def _log_runner_faults(self, vm_ids: Iterable[str], began_at: float) -> None:
        self._runner_faults += [
            repeat_checks.RunnerFault(vm_id=vm_id, begin=began_at, end=clock.elapsed())
            for vm_id in vm_ids
        ]

    async def _node_of(self, fault: faults.Fault) -> processes.NodeProcess:
        """Returns the node that a fault disturbs; any one if the controller is meant and there is none."""
        drawn = self._nodes[fault.target_index % len(self._nodes)]
        if not fault.hits_controller:
            return drawn
        found = await self._fleet.store.store.get(
            pool_controller.LEASE_KEY, timeout=LEASE_READ_SECONDS
        )
        if not isinstance(found, objects.Stored):
            return drawn
        holder = codec.from_json(found.value, lease.Record).holder
        return next((node for node in self._nodes if node.settings.node_id == holder), drawn)

    def _inject(self, fault: faults.Fault, node: processes.NodeProcess) -> Awaitable[None]:
        ids = sorted(self._proxies_by_vm)
        vm_id = ids[fault.target_index % len(ids)]
        proxy = self._proxies_by_vm[vm_id]
        both = {proxies.Direction.UP, proxies.Direction.DOWN}
        one_way = {list(proxies.Direction)[fault.target_index % 2]}
        match fault.kind:
            case faults.Kind.KILL:
                return node.kill(seconds=fault.seconds)
            case faults.Kind.STOP:
                return node.stop()
            case faults.Kind.STOP_AGAIN:
                return self._stop_again(node)
            case faults.Kind.PAUSE:
                return node.pause(seconds=fault.seconds)
            case faults.Kind.RELOAD:
                return self._reload(node)
            case faults.Kind.STORE_SILENT:
                return self._disturb(fault, [node.store_proxy], silent=both)
            case faults.Kind.STORE_ONE_WAY:
                return self._disturb(fault, [node.store_proxy], silent=one_way)
            case faults.Kind.STORE_SLOW:
                return self._disturb(fault, [node.store_proxy], delay=SLOW_STORE_DELAY_SECONDS)
            case faults.Kind.STORE_RESET:
                return self._reset([node.store_proxy])
            case faults.Kind.STORE_REFUSES:
                return self._disturb(fault, [node.store_proxy], refuses_connections=True)
            case faults.Kind.STORE_AWAY:
                return self._disturb(
                    fault, [node.store_proxy for node in self._nodes], refuses_connections=True
                )
            case faults.Kind.RUNNER_SILENT:
                return self._disturb(fault, [proxy], silent=both)
            case faults.Kind.RUNNER_ONE_WAY:
                return self._disturb(fault, [proxy], silent=one_way)
            case faults.Kind.RUNNER_RESET:
                return self._reset([proxy])
            case faults.Kind.RUNNER_GONE:
                return self._lose_runner(fault, vm_id)
            case faults.Kind.ANSWERS_LOST:
                return self._lose_answers(fault)
            case faults.Kind.PATH_RESET | faults.Kind.PATH_REFUSED | faults.Kind.PATH_SILENT:
                return self._cut_path(fault, node, tuple(self._proxies_by_vm.values()))
            case faults.Kind.HALF_PATH_SILENT:
                return self._cut_path(fault, node, [self._proxies_by_vm[one] for one in ids[::2]])
            case faults.Kind.MOST_PATHS | faults.Kind.MOST_SERVICE_PATHS:
                return self._cut_most_paths(fault)
            case faults.Kind.RUNNER_PAUSES:
                return self._ask_for_pause(fault, vm_id)
            case faults.Kind.RUNNER_LEAVES:
                return self._leave(fault, vm_id)
            case faults.Kind.STORE_RESTORED:
                return self._restore_store(fault)
            case faults.Kind.ROUTES_CHANGE:
                return self._version_work.change_routes(fault)
            case faults.Kind.ROUTES_ADDED:
                return self._version_work.add_routes(fault)
            case faults.Kind.FLEET_KILLED:
                return self._kill_fleet(fault)
            case faults.Kind.RUNNERS_RESET:
                return self._reset(list(self._proxies_by_vm.values()))
            case faults.Kind.STORES_RESET:
                return self._reset([node.store_proxy for node in self._nodes])
            case faults.Kind.RUNNER_CRASHES:
                return self._crash_runner(vm_id)
            case faults.Kind.RUNNER_REBORN:
                return self._crash_behind_cut(fault)
            case faults.Kind.RUNNER_REPLACED:
                return self._runner_work.replace(fault)
            case faults.Kind.ODD_ENTRY:
                return odd_work.leave_for_a_while(self._fleet, fault)
            case faults.Kind.EVACUATED:
                return self._operator.evacuate(fault)
            case faults.Kind.CONFIGURED:
                return self._operator.configure_anew(fault)
            case faults.Kind.RUNNER_DRAINS | faults.Kind.RUNNER_RETIRES:
                return self._runner_work.drain(fault)
            case faults.Kind.RUNNER_UNLISTED:
                return self._runner_work.leave_list(fault)
            case faults.Kind.KEY_TAKEN:
                return self._operator.withdraw_key(fault)
            case _:
                return self._operator.withdraw_failure_domain(fault)

    async def _stop_again(self, node: processes.NodeProcess) -> None:
        node.stop_again()

    async def _reload(self, node: processes.NodeProcess) -> None:
        node.reload()

    async def _reset(self, affected_proxies: list[proxies.Proxy]) -> None:
        for proxy in affected_proxies:
            proxy.reset()

    async def _disturb(
        self,
        fault: faults.Fault,
        affected_proxies: list[proxies.Proxy],
        *,
        silent: set[proxies.Direction] | None = None,
        delay: float = 0.0,
        refuses_connections: bool = False,
    ) -> None:
        for proxy in affected_proxies:
            proxy.silent |= silent or set()
            proxy.delay = max(proxy.delay, delay)
            proxy.refuses_connections = proxy.refuses_connections or refuses_connections
            if refuses_connections:
                proxy.reset()
        await asyncio.sleep(fault.seconds)
        for proxy in affected_proxies:
            proxy.heal()

    async def _lose_runner(self, fault: faults.Fault, vm_id: str) -> None:
        """Stops a runner without notice and restarts it without a group or staged models.

        Overlapping faults of the same runner happen one after the other.
        """
        runner = self._fleet.runners_by_id[vm_id]
        async with self._restart_locks_by_vm[vm_id]:
            await runner.vanish()
            await asyncio.sleep(fault.seconds)
            runner.member, runner.members, runner.staged = None, [], []
            runner.state = "ready"
            runner.born += 1
            runner.release_port()
            self._proxies_by_vm[vm_id].target = await runner.start()
            runner.on_down(False)

    async def _crash_runner(self, vm_id: str) -> None:
        runner = self._fleet.runners_by_id[vm_id]
        async with self._restart_locks_by_vm[vm_id]:
            if runner.is_serving:
                runner.crash()
                await asyncio.sleep(runner.options.down_seconds)

    async def _crash_behind_cut(self, fault: faults.Fault) -> None:
        """Cuts a runner that serves off silently, and has it crash and return meanwhile."""
        runner = self._runner_work.choose_serving(fault.target_index)
        if runner is None:
            return
        began_at = clock.elapsed()
        proxy = self._proxies_by_vm[runner.vm_id]
        cut = asyncio.create_task(
            self._disturb(fault, [proxy], silent={proxies.Direction.UP, proxies.Direction.DOWN})
        )
        await asyncio.sleep(faults.CRASH_DELAY_SECONDS)
        await self._crash_runner(runner.vm_id)
        await cut
        self._log_runner_faults([runner.vm_id], began_at)

    async def _kill_fleet(self, fault: faults.Fault) -> None:
        self._disturbances += await self._version_work.kill_fleet(fault)

    async def _cut_most_paths(self, fault: faults.Fault) -> None:
        """Cuts all nodes but a few off, from all runners or from those of the plain service."""
        rng = random.Random(fault.target_index)
        count = len(self._nodes) - rng.randint(*faults.NODES_LEFT)
        kind = rng.choice((faults.Kind.PATH_RESET, faults.Kind.PATH_REFUSED))
        cut = dataclasses.replace(fault, kind=kind)
        all_proxies = [
            proxy
            for vm_id, proxy in self._proxies_by_vm.items()
            if fault.kind is faults.Kind.MOST_PATHS
            or not self._fleet.runners_by_id[vm_id].fabric_domain
        ]
        nodes = rng.sample(self._nodes, count)
        await asyncio.gather(*(self._cut_path(cut, node, all_proxies) for node in nodes))

    async def _cut_path(
        self, fault: faults.Fault, node: processes.NodeProcess, cut: Collection[proxies.Proxy]
    ) -> None:
        """Cuts a node off from some runners; overlapping cuts of one node end with the first one."""
        host = node.settings.host
        began_at = clock.elapsed()
        silent = fault.kind in (faults.Kind.PATH_SILENT, faults.Kind.HALF_PATH_SILENT)
        for proxy in cut:
            (proxy.silent_hosts if silent else proxy.refused_hosts).add(host)
            if fault.kind is faults.Kind.PATH_RESET:
                proxy.reset(host=host)
        await asyncio.sleep(fault.seconds * faults.PATH_LENGTH_FACTOR)
        self._cuts.append(
            checks.Disturbance(address=node.settings.callers, begin=began_at, end=clock.elapsed())
        )
        self._log_runner_faults(
            [vm_id for vm_id, proxy in self._proxies_by_vm.items() if proxy in cut], began_at
        )
        for proxy in cut:
            (proxy.silent_hosts if silent else proxy.refused_hosts).discard(host)

    async def _ask_for_pause(self, fault: faults.Fault, vm_id: str) -> None:
        options = self._fleet.runners_by_id[vm_id].options
        options.full, options.retry_after = True, f"{fault.seconds:.2f}"
        await asyncio.sleep(fault.seconds)
        options.full, options.retry_after = False, ""

    async def _leave(self, fault: faults.Fault, vm_id: str) -> None:
        options = self._fleet.runners_by_id[vm_id].options
        options.leaving = True
        await asyncio.sleep(fault.seconds)
        await self._lose_runner(fault, vm_id)
        options.leaving = False

    async def _lose_answers(self, fault: faults.Fault) -> None:
        plain_runners = [
            runner for runner in self._fleet.runners_by_id.values() if not runner.fabric_domain
        ]
        plain_runners[fault.target_index % len(plain_runners)].options.lose_answers = (
            LOST_ANSWERS_PER_FAULT
        )

    async def _restore_store(self, fault: faults.Fault) -> None:
        store = self._fleet.store
        await store.restore(
            store.store.revision_before(fault.seconds * COPY_AGE_FACTOR),
            away_seconds=fault.seconds * AWAY_SHARE,
            rewrite_seconds=fault.seconds * REWRITE_SHARE,
        )


def _set_down(proxy: proxies.Proxy, down: bool) -> None:
    """Makes a proxy refuse connections while the runner behind it does.

    The ends of the runner's open connections pass through: the system ends those of a crashed process in
    order, and a cut holds them up.
    """
    proxy.set_listening(not down)
