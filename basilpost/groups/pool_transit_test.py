"""State machine of orders in transit: lost, late, repeated and reordered, from several controllers.

Runners behave as the platform says. Controllers decide on views that are older than the runners'
reports, are replaced at any step, and may go on after another one has taken the lease.
"""

import collections
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from basilpost.core import catalog
from basilpost.groups import given_up, joins, orders, pool, pool_state, reported_groups

MODEL = catalog.Model(name="m", vms=2, pace=1.0, work_share=1.0, load_seconds=4.0, warm_seconds=0.5)
# No group of it can be formed.
OTHER_MODEL = dataclasses.replace(MODEL, name="other", vms=9)
VM_IDS = ("a", "b", "c", "d", "e")
EPOCHS_PER_FENCE = 1000
OPENED = (catalog.MemberState.OPEN, catalog.MemberState.CLOSING)
STEPS_SECONDS = (0.05, 0.3, 1.1)
FATES = ("now", "now", "late", "lost")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """What a runner reports of itself at one moment."""

    vm: catalog.Vm
    begun_orders: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Transit:
    """An order that a runner may still carry out."""

    order: orders.Order
    fence: int
    expected: int | None


class Runner:
    """A runner that carries out orders as the platform's pages say."""

    def __init__(self, vm_id):
        self.born = 0
        self.vm_id = vm_id
        self.snapshots = []
        self.ready_groups = set()
        self.has_requests = False
        self.restart()

    def restart(self):
        self.born += 1
        self.fence = self.epoch = self.begun_orders = 0
        self.member = None
        self.member_ids = ()
        self.leaving = False
        self.snapshots.clear()
        self.report()

    def report(self):
        vm = catalog.Vm(
            vm_id=self.vm_id,
            incarnation=self.born,
            service="s",
            address="",
            failure_domain="z",
            fabric_domain="f",
            slots=4,
            leaving=self.leaving,
            cold_seconds=0.0,
            staged=("m",),
            member=self.member,
        )
        self.snapshots.append(Snapshot(vm=vm, begun_orders=self.begun_orders))

    @property
    def group(self):
        return self.member.group if self.member else ""

    @property
    def state(self):
        return self.member.state if self.member else None

    def accepts(self, transit):
        """Returns True if an order may begin something now; records its fencing number and epoch."""
        if transit.fence < self.fence:
            return False
        self.fence = transit.fence
        if transit.expected not in (None, self.begun_orders):
            return False
        order = transit.order
        match order.kind:
            case orders.Kind.JOIN:
                if order.epoch < self.epoch or order.group == self.group:
                    return False
                self.epoch = order.epoch
                return True
            case orders.Kind.OPEN:
                return order.group == self.group and self.state is catalog.MemberState.READY
            case orders.Kind.CLOSE:
                return order.group == self.group and self.state is catalog.MemberState.OPEN
            case orders.Kind.LEAVE:
                return order.group == self.group
        return False

    def begin(self, order):
        """Carries out an order that was accepted; loads and openings take no time here."""
        self.begun_orders += 1
        match order.kind:
            case orders.Kind.JOIN:
                self.member_ids = order.members
                self.member = catalog.Membership(
                    group=order.group,
                    epoch=order.epoch,
                    rank=order.members.index(self.vm_id),
                    state=catalog.MemberState.READY,
                )
                self.ready_groups.add(order.group)
            case orders.Kind.LEAVE:
                self.member, self.member_ids = None, ()
            case orders.Kind.OPEN:
                self.member = dataclasses.replace(self.member, state=catalog.MemberState.OPEN)
            case orders.Kind.CLOSE:
                state = (
                    catalog.MemberState.CLOSING if self.has_requests else catalog.MemberState.READY
                )
                self.member = dataclasses.replace(self.member, state=state)
        self.report()


class Controller:
    """A node that holds, or believes that it holds, the lease."""

    def __init__(self, fence, runners):
        self.fence = fence
        self.state = pool_state.State()
        self.epochs_used = 0
        self.seen_by_id = {runner.vm_id: runner.snapshots[-1].vm for runner in runners}
        self.hidden_ids = set()
        self.models = (MODEL,)
        self.working = self.stalled = frozenset()

    def decide(self, now):
        view = pool_state.View(
            now=now,
            vms=tuple(vm for vm_id, vm in self.seen_by_id.items() if vm_id not in self.hidden_ids),
            models=self.models,
            slots_per_group=4,
            slots_wanted={},
            first_epoch=self.fence * EPOCHS_PER_FENCE,
            next_epoch=self.fence * EPOCHS_PER_FENCE + self.epochs_used,
            loads_left=100,
            working=self.working,
            stalled=self.stalled,
        )
        decision = pool.decide(view, self.state)
        self.state = decision.state
        self.epochs_used += decision.epochs_used
        return decision.orders


class OrdersInTransit(stateful.RuleBasedStateMachine):
    """No JOIN takes a VM out of a serving group, and no group is opened that may lose a member."""

    def __init__(self):
        super().__init__()
        self.runners_by_id = {vm_id: Runner(vm_id) for vm_id in VM_IDS}
        self.now = 100.0
        self.fence = 0
        self.controllers = []
        self.in_transit = []
        self.add_controller()

    def add_controller(self):
        self.fence += 1
        self.controllers.append(Controller(self.fence, self.runners_by_id.values()))

    @stateful.rule()
    @stateful.precondition(lambda self: len(self.controllers) < 3)
    def another_controller_takes_the_lease(self):
        self.add_controller()

    @stateful.rule()
    @stateful.precondition(lambda self: len(self.controllers) > 1)
    def the_oldest_controller_dies(self):
        self.controllers.pop(0)

    @stateful.rule(data=st.data())
    def a_controller_decides(self, data):
        controller = data.draw(st.sampled_from(self.controllers))
        self.now += data.draw(st.sampled_from(STEPS_SECONDS))
        sees_all = data.draw(st.booleans())
        for vm_id, runner in self.runners_by_id.items():
            if sees_all or data.draw(st.booleans()):
                controller.seen_by_id[vm_id] = runner.snapshots[-1].vm
        decided = controller.decide(self.now)
        self.check_decided(controller, decided)
        for order in decided:
            # The LEAVE would be carried out while the group serves, also one of an earlier controller:
            # a member learns of the later fencing number only from an order.
            assert order.kind is not orders.Kind.OPEN or not any(
                one.order.kind is orders.Kind.LEAVE
                and one.order.group == order.group
                and self.runners_by_id[one.order.vm.vm_id].fence <= one.fence <= controller.fence
                for one in self.in_transit
            )
        for order in decided:
            transit = self.sent(order, controller.fence, data)
            fate = data.draw(st.sampled_from(FATES))
            if transit is None or fate == "lost":
                continue
            if fate == "now":
                self.carry_out(transit)
            else:
                self.in_transit.append(transit)

    def check_decided(self, controller, decided):
        """Checks orders beyond what holds for all of them."""

    def sent(self, order, fence, data):
        """Returns an order as it is sent to the runner, None if it is not.

        The condition of a JOIN comes from a report that may be older than the controller's view.
        """
        if order.kind is not orders.Kind.JOIN:
            return Transit(order=order, fence=fence, expected=None)
        snapshots = self.runners_by_id[order.vm.vm_id].snapshots
        shown = data.draw(st.sampled_from(snapshots[-3:]))
        condition = joins.condition(
            order,
            orders.Report(
                group=shown.vm.member.group if shown.vm.member else "",
                begun_orders=shown.begun_orders,
                incarnation=shown.vm.incarnation,
            ),
        )
        if isinstance(condition, orders.Result):
            return None
        return Transit(order=order, fence=fence, expected=condition)

    @stateful.rule(data=st.data(), repeats=st.booleans())
    @stateful.precondition(lambda self: self.in_transit)
    def a_late_order_is_carried_out(self, data, repeats):
        transit = data.draw(st.sampled_from(self.in_transit))
        if not repeats:
            self.in_transit.remove(transit)
        self.carry_out(transit)

    @stateful.rule(vm_id=st.sampled_from(VM_IDS))
    def a_runner_restarts(self, vm_id):
        self.in_transit = [one for one in self.in_transit if one.order.vm.vm_id != vm_id]
        self.runners_by_id[vm_id].restart()

    @stateful.rule(vm_id=st.sampled_from(VM_IDS))
    def a_runner_drains(self, vm_id):
        self.runners_by_id[vm_id].leaving = True
        self.runners_by_id[vm_id].report()

    @stateful.rule(data=st.data(), vm_id=st.sampled_from(VM_IDS))
    def an_entry_expires_or_is_back(self, data, vm_id):
        controller = data.draw(st.sampled_from(self.controllers))
        controller.hidden_ids ^= {vm_id}

    def carry_out(self, transit):
        order, runner = transit.order, self.runners_by_id[transit.order.vm.vm_id]
        if not runner.accepts(transit):
            return
        if order.kind is orders.Kind.JOIN and not reported_groups.is_spare(runner.snapshots[-1].vm):
            head = self.runners_by_id[runner.member_ids[0]]
            opened = head.group == runner.group and head.state in OPENED
            raise AssertionError(
                f"{runner.vm_id} leaves {runner.group} for {order.group}, opened: {opened}"
            )
        if order.kind is orders.Kind.OPEN:
            members = [self.runners_by_id[vm_id] for vm_id in runner.member_ids]
            assert len(members) == MODEL.vms
            assert all(order.group in one.ready_groups for one in members)
        runner.begin(order)


class VersionsInTransit(OrdersInTransit):
    """The model is removed and comes back while heads have requests, which nodes may not know of.

    No head leaves with requests while the controller sees all members of its group.
    """

    def __init__(self):
        super().__init__()
        self.model_changed_at = self.now
        for rank, vm_id in enumerate(VM_IDS[: MODEL.vms]):
            runner = self.runners_by_id[vm_id]
            runner.member = catalog.Membership(
                group="m--1",
                epoch=1,
                rank=rank,
                state=catalog.MemberState.READY if rank else catalog.MemberState.OPEN,
            )
            runner.member_ids, runner.epoch = VM_IDS[: MODEL.vms], 1
            runner.ready_groups.add("m--1")
            runner.report()
            self.controllers[0].seen_by_id[vm_id] = runner.snapshots[-1].vm

    @stateful.rule(data=st.data(), works=st.booleans(), is_silent=st.booleans())
    def a_controller_learns_of_a_version(self, data, works, is_silent):
        controller = data.draw(st.sampled_from(self.controllers))
        self.show_work(controller, works=works, is_silent=is_silent)
        controller.models = (OTHER_MODEL if controller.models == (MODEL,) else MODEL,)
        self.model_changed_at = self.now

    @stateful.rule(vm_id=st.sampled_from(VM_IDS))
    def a_head_gets_requests(self, vm_id):
        runner = self.runners_by_id[vm_id]
        runner.has_requests = runner.state is catalog.MemberState.OPEN

    @stateful.rule(vm_id=st.sampled_from(VM_IDS))
    def the_requests_of_a_head_end(self, vm_id):
        runner = self.runners_by_id[vm_id]
        runner.has_requests = False
        if runner.state is catalog.MemberState.CLOSING:
            runner.member = dataclasses.replace(runner.member, state=catalog.MemberState.READY)
            runner.report()

    @stateful.rule(data=st.data(), works=st.booleans(), is_silent=st.booleans())
    def nodes_see_other_work(self, data, works, is_silent):
        controller = data.draw(st.sampled_from(self.controllers))
        self.show_work(controller, works=works, is_silent=is_silent)

    def show_work(self, controller, *, works, is_silent):
        names = frozenset(runner.group for runner in self.runners_by_id.values() if runner.group)
        controller.working = names if works else frozenset()
        controller.stalled = names if is_silent else frozenset()

    def check_decided(self, controller, decided):
        if self.now - self.model_changed_at >= given_up.IDLE_SECONDS:
            return
        shown = [
            vm for key, vm in controller.seen_by_id.items() if key not in controller.hidden_ids
        ]
        sizes = collections.Counter(vm.member.group for vm in shown if vm.member is not None)
        for order in decided:
            member = order.vm.member
            if order.kind is orders.Kind.LEAVE and member.state in OPENED:
                assert sizes[order.group] < MODEL.vms


TestVersionsInTransit = VersionsInTransit.TestCase
TestVersionsInTransit.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)

TestOrdersInTransit = OrdersInTransit.TestCase
TestOrdersInTransit.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)


def test_a_late_leave_of_an_earlier_controller_takes_a_member_out_of_an_open_group():
    """The first controller saw no entry of the head for a moment; the next one sees the whole group."""
    runners_by_id = {vm_id: Runner(vm_id) for vm_id in VM_IDS[: MODEL.vms]}

    def decide(controller, now):
        controller.seen_by_id = {
            vm_id: runner.snapshots[-1].vm for vm_id, runner in runners_by_id.items()
        }
        return [
            Transit(order=order, fence=controller.fence, expected=None)
            for order in controller.decide(now)
        ]

    def carry_out(transits):
        for transit in transits:
            runner = runners_by_id[transit.order.vm.vm_id]
            if runner.accepts(transit):
                runner.begin(transit.order)

    first = Controller(1, runners_by_id.values())
    decide(first, 100.0)
    carry_out(decide(first, 110.0))
    (head,) = (one for one in runners_by_id.values() if one.member.rank == 0)
    first.hidden_ids = {head.vm_id}
    late = decide(first, 110.1)
    assert {one.order.kind for one in late} == {orders.Kind.LEAVE}
    second = Controller(2, runners_by_id.values())
    for step in range(20):
        carry_out(decide(second, 111.0 + step))
        if head.state is catalog.MemberState.OPEN:
            break
    assert head.state is catalog.MemberState.OPEN
    carry_out(late)
    assert {one.group for one in runners_by_id.values()} == {head.group}
