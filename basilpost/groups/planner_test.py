"""Tests of the planner: invariants of every plan on random fleets, and the outcome of single events."""

import collections
import dataclasses
import itertools

import hypothesis
import pytest
from hypothesis import strategies as st

from basilpost.core import data
from basilpost.groups import forming, planner, runner_api
from basilpost.groups import view as views

MODEL = data.Service(
    name="chat", kind=data.ServiceKind.MODEL, pool="gpu", model="m", model_version="1"
)
SUSPICION_SECONDS = 4.0
RunnerState = runner_api.RunnerState


class Fleet:
    """Runners in memory that carry out orders at once; a load takes `load_steps` steps."""

    def __init__(self, vm_records, services, load_steps=2):
        self.vms_by_id = {vm.vm_id: vm for vm in vm_records}
        self.services_by_name = {service.name: service for service in services}
        self.table = data.FabricTable(
            fabric_domain="fab-1", holder=data.Holder(node_id="n0", fence=1)
        )
        self.status_by_id = {
            vm_id: runner_api.RunnerStatus(vm_id=vm_id) for vm_id in self.vms_by_id
        }
        self.asked_at_by_id = dict.fromkeys(self.vms_by_id, 0.0)
        self.loading_by_id = {}
        self.silent, self.slow, self.unstable = set(), set(), set()
        self.in_force_everywhere = True
        self.now = 0.0
        self.load_steps = load_steps
        self.rolling_update_ids = frozenset()
        self.since_by_condition = {}
        self.ids = itertools.count()
        self.orders = []

    def view(self):
        for vm_id in self.vms_by_id.keys() - self.silent:
            self.asked_at_by_id[vm_id] = self.now
        return views.View(
            table=self.table,
            now=self.now,
            vms_by_id=dict(self.vms_by_id),
            probes_by_id={
                vm_id: views.ProbeResult(
                    status=status,
                    asked_at=self.asked_at_by_id[vm_id],
                    silent=vm_id in self.silent,
                    silent_seconds=self.now - self.asked_at_by_id[vm_id],
                    stable=vm_id not in self.unstable,
                    slow=vm_id in self.slow,
                )
                for vm_id, status in self.status_by_id.items()
            },
            services_by_name=self.services_by_name,
            in_force_everywhere=self.in_force_everywhere,
            suspicion_seconds=SUSPICION_SECONDS,
            since_by_condition=self.since_by_condition,
            rolling_update_ids=self.rolling_update_ids,
            new_id=lambda service: f"{service}-{next(self.ids):04}",
        )

    def step(self, seconds=1.0):
        self.now += seconds
        for vm_id in [vm_id for vm_id, left in self.loading_by_id.items() if left <= 0]:
            del self.loading_by_id[vm_id]
            self._change_status(vm_id, state=RunnerState.READY)
        self.loading_by_id = {vm_id: left - 1 for vm_id, left in self.loading_by_id.items()}
        view = self.view()
        plan = planner.plan(view)
        check_plan(view, plan)
        self.table = plan.table
        for planned in plan.orders:
            if planned.vm_id not in self.silent:
                self._execute(planned.vm_id, planned.order)
        self._update_conditions()
        return plan

    def restart(self, vm_id):
        self.loading_by_id.pop(vm_id, None)
        self.status_by_id[vm_id] = runner_api.RunnerStatus(vm_id=vm_id)

    def serving_groups(self):
        return [group for group in self.table.groups if group.serving]

    def _update_conditions(self):
        draining = {
            views.Condition(kind=views.ConditionKind.DRAINING, subject=group.group_id)
            for group in self.table.groups
            if group.state is data.GroupState.DRAINING
        }
        leaving = {
            views.Condition(kind=views.ConditionKind.LEAVING, subject=vm.vm_id)
            for vm in self.vms_by_id.values()
            if vm.leaving
        }
        self.since_by_condition = {
            condition: self.since_by_condition.get(condition, self.now)
            for condition in draining | leaving
        }

    def _execute(self, vm_id, order):
        self.orders.append((vm_id, order))
        status = self.status_by_id[vm_id]
        held = views.holds_weights(status, order.model, order.model_version)
        if not held:
            self.loading_by_id[vm_id] = self.load_steps
        self._change_status(
            vm_id,
            group_id=order.group_id,
            generation=order.generation,
            model=order.model,
            model_version=order.model_version,
            state=status.state if held else RunnerState.LOADING,
        )

    def _change_status(self, vm_id, **changes):
        self.status_by_id[vm_id] = dataclasses.replace(self.status_by_id[vm_id], **changes)


def check_plan(view, plan):
    """Checks the invariants of every plan."""
    before = {group.group_id: group for group in view.table.groups}
    counts = collections.Counter(views.member_ids(plan.table.groups))
    assert not counts or max(counts.values()) == 1, "a VM is in two groups"
    group_by_vm = {
        member.vm_id: group.group_id for group in before.values() for member in group.members
    }
    for group in plan.table.groups:
        service = view.services_by_name.get(group.service)
        if service and service.vms_per_group == len(before.get(group.group_id, group).members):
            assert len(group.members) == service.vms_per_group
        assert [member.rank for member in group.members] == list(range(len(group.members)))
        if group.serving:
            assert all(reports_group(view, member, group) for member in group.members)
        check_members(view, before.get(group.group_id), group, group_by_vm)


def reports_group(view, member, group):
    """Returns True if a member answers and reports exactly this group, with its weights loaded."""
    probe = view.probes_by_id[member.vm_id]
    status = probe.status
    expected = (group.group_id, group.generation, group.model, group.model_version)
    found = (status.group_id, status.generation, status.model, status.model_version)
    return (
        not probe.silent
        and found == expected
        and status.state in (RunnerState.COLD, RunnerState.READY)
    )


def check_members(view, before, after, group_by_vm):
    """Checks the rules for members that join or leave a group in a plan."""
    old = {member.vm_id for member in before.members} if before else set()
    new = {member.vm_id for member in after.members}
    for vm_id in new - old:
        assert view.in_force_everywhere, "a VM joins a group while an older table may be in force"
        assert vm_id not in group_by_vm, "a VM moves from one group to another within one plan"
        vm = view.vms_by_id[vm_id]
        assert (vm.failure_domain, vm.fabric_domain) == (after.failure_domain, after.fabric_domain)
        assert not vm.leaving
    if before:
        assert after.generation > before.generation or new == old
        for vm_id in old - new:
            gone = views.is_lost(view, vm_id) or views.is_leaving(view, vm_id)
            assert gone or views.is_slow(
                view, vm_id
            ), "a member was dropped that is neither lost, leaving nor slow"


def vm(index, failure_domain="fd-1", pool="gpu"):
    return data.Vm(
        vm_id=f"vm-{index:02}",
        address=f"vm-{index:02}:80",
        pool=pool,
        fabric_domain="fab-1",
        failure_domain=failure_domain,
    )


EVENTS = st.sampled_from(
    [
        "step",
        "step",
        "step",
        "silent",
        "answers_again",
        "restart",
        "announce_leaving",
        "removed",
        "slow",
        "toggle_in_force",
        "add",
        "resize",
    ]
)


@st.composite
def random_fleets(draw):
    sizes = draw(st.lists(st.integers(1, 4), min_size=1, max_size=3))
    services = [
        dataclasses.replace(MODEL, name=f"s{index}", model=f"m{index}", vms_per_group=size)
        for index, size in enumerate(sizes)
    ]
    count = draw(st.integers(1, 14))
    domains = draw(st.lists(st.sampled_from(["fd-1", "fd-2"]), min_size=count, max_size=count))
    return Fleet([vm(index, domain) for index, domain in enumerate(domains)], services)


def apply_event(fleet, event, number):
    ids = sorted(fleet.vms_by_id)
    vm_id = ids[number % len(ids)] if ids else None
    if event == "add" or vm_id is None:
        index = 50 + len(fleet.status_by_id)
        added = vm(index)
        fleet.vms_by_id[added.vm_id] = added
        fleet.status_by_id[added.vm_id] = runner_api.RunnerStatus(vm_id=added.vm_id)
        fleet.asked_at_by_id[added.vm_id] = fleet.now
    elif event == "silent":
        fleet.silent.add(vm_id)
    elif event == "answers_again":
        fleet.silent.discard(vm_id)
    elif event == "restart":
        fleet.restart(vm_id)
    elif event == "announce_leaving":
        fleet.vms_by_id[vm_id] = dataclasses.replace(fleet.vms_by_id[vm_id], leaving=True)
    elif event == "removed":
        del fleet.vms_by_id[vm_id]
        fleet.silent.add(vm_id)
    elif event == "slow":
        fleet.slow ^= {vm_id}
    elif event == "resize":
        name = sorted(fleet.services_by_name)[number % len(fleet.services_by_name)]
        changed = dataclasses.replace(fleet.services_by_name[name], vms_per_group=1 + number % 3)
        fleet.services_by_name[name] = changed
    elif event == "toggle_in_force":
        fleet.in_force_everywhere = not fleet.in_force_everywhere
    fleet.step()


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(random_fleets(), st.lists(st.tuples(EVENTS, st.integers(0, 50)), max_size=60))
def test_every_plan_is_safe_and_no_alive_vm_stays_stranded_for_good(fleet, events):
    for event, number in events:
        apply_event(fleet, event, number)
    fleet.in_force_everywhere = True
    fleet.slow.clear()
    for _ in range(40):
        fleet.step(seconds=2.0)
    assert all(group.serving or waits_for_replacement(fleet, group) for group in fleet.table.groups)
    free = collections.Counter(
        record.failure_domain
        for vm_id, record in fleet.vms_by_id.items()
        if vm_id not in set(views.member_ids(fleet.table.groups))
        and vm_id not in fleet.silent
        and not record.leaving
    )
    smallest = min(service.vms_per_group for service in fleet.services_by_name.values())
    assert all(count < smallest for count in free.values())


def test_a_group_that_no_longer_has_to_drain_waits_for_a_member_that_restarted_meanwhile():
    """While a group drains, its service is resized and back again, and a member restarts."""
    fleet = Fleet([vm(0)], [model_of_size(1)])
    fleet.step()
    fleet.step()
    for event, number in (("toggle_in_force", 0), ("resize", 1), ("restart", 0), ("resize", 0)):
        apply_event(fleet, event, number)
    fleet.in_force_everywhere = True
    for _ in range(12):
        fleet.step(seconds=2.0)
    assert [group.serving for group in fleet.table.groups] == [True]


def waits_for_replacement(fleet, group):
    """Returns True if a group is broken and has a member that is silent or leaving."""
    out = [
        member
        for member in group.members
        if member.vm_id in fleet.silent or views.is_leaving(fleet.view(), member.vm_id)
    ]
    return group.state is data.GroupState.BROKEN and bool(out)


def test_the_best_counts_leave_the_fewest_vms_over():
    assert forming.best_counts(15, (8, 5), (9, 9)) == (0, 3)
    assert forming.best_counts(13, (8, 5), (9, 9)) == (1, 1)
    assert forming.best_counts(16, (8, 4), (9, 9)) == (2, 0)
    assert forming.best_counts(16, (8, 4), (1, 9)) == (1, 2)


def run_steps(fleet, steps=8):
    for _ in range(steps):
        fleet.step()


def model_of_size(size):
    return dataclasses.replace(MODEL, vms_per_group=size)


def test_survivors_of_the_cheapest_broken_group_complete_another():
    fleet = Fleet([vm(index) for index in range(8)], [model_of_size(4)])
    run_steps(fleet)
    first, second = fleet.serving_groups()
    fleet.silent |= {first.members[0].vm_id, second.members[0].vm_id, second.members[1].vm_id}
    fleet.vms_by_id = {k: v for k, v in fleet.vms_by_id.items() if k not in fleet.silent}
    fleet.orders.clear()
    run_steps(fleet)
    (left,) = fleet.serving_groups()
    assert left.group_id == first.group_id
    assert not any(order.group_id == second.group_id for _, order in fleet.orders)


def test_no_group_is_dissolved_while_its_members_come_back():
    fleet = Fleet([vm(index) for index in range(8)], [model_of_size(4)])
    run_steps(fleet)
    before = fleet.table.groups
    fleet.silent |= set(fleet.vms_by_id)
    run_steps(fleet)
    back = {group.members[0].vm_id for group in before}
    fleet.unstable = set(fleet.vms_by_id) - back
    fleet.silent = set(back)
    fleet.step()
    fleet.silent.clear()
    run_steps(fleet)
    assert fleet.serving_groups() == list(before)


def test_a_leaving_member_is_replaced_by_a_spare_that_has_loaded_before():
    fleet = Fleet([vm(index) for index in range(5)], [model_of_size(4)])
    run_steps(fleet)
    group = fleet.serving_groups()[0]
    leaver = group.members[2].vm_id
    fleet.vms_by_id[leaver] = dataclasses.replace(fleet.vms_by_id[leaver], leaving=True)
    fleet.load_steps = 0
    plan = fleet.step(seconds=0.5)
    assert fleet.serving_groups(), "the group serves while its spare loads"
    assert [(planned.order.group_id, planned.order.rank) for planned in plan.orders] == [("", 2)]
    run_steps(fleet)
    assert leaver not in set(views.member_ids(fleet.serving_groups()))
    assert len(fleet.serving_groups()) == 1


@pytest.mark.parametrize("rank", range(4))
def test_a_leaving_member_ends_new_work_within_seconds_without_a_loaded_spare(rank):
    fleet = Fleet([vm(index) for index in range(5)], [model_of_size(4)], load_steps=30)
    run_steps(fleet, steps=34)
    leaver = fleet.serving_groups()[0].members[rank].vm_id
    fleet.vms_by_id[leaver] = dataclasses.replace(fleet.vms_by_id[leaver], leaving=True)
    run_steps(fleet, steps=4)
    assert not fleet.serving_groups()


def test_survivors_form_groups_of_other_sizes_once_the_lost_vm_is_gone():
    services = [
        dataclasses.replace(model_of_size(size), name=f"s{size}", model=f"m{size}")
        for size in (5, 2)
    ]
    fleet = Fleet([vm(index) for index in range(5)], services)
    run_steps(fleet)
    (whole,) = fleet.serving_groups()
    fleet.silent.add(whole.members[0].vm_id)
    run_steps(fleet)
    assert not fleet.serving_groups()
    del fleet.vms_by_id[whole.members[0].vm_id]
    run_steps(fleet)
    assert [len(group.members) for group in fleet.serving_groups()] == [2, 2]


def test_a_straggler_is_moved_out_only_for_a_loaded_spare():
    fleet = Fleet([vm(index) for index in range(4)], [model_of_size(4)])
    run_steps(fleet)
    slow = fleet.serving_groups()[0].members[1].vm_id
    fleet.slow.add(slow)
    run_steps(fleet)
    assert slow in set(views.member_ids(fleet.serving_groups()))
    apply_event(fleet, "add", 0)
    run_steps(fleet)
    assert slow not in set(views.member_ids(fleet.serving_groups()))


def test_loads_for_the_service_that_serves_least_come_first():
    services = [dataclasses.replace(model_of_size(2), name=name, pool=name) for name in ("a", "b")]
    fleet = Fleet([vm(index, pool="ab"[index % 2]) for index in range(4)], services)
    view = dataclasses.replace(fleet.view(), unserved_share_by_service={"a": 0.1, "b": 0.9})
    fleet.table = planner.plan(view).table
    view = dataclasses.replace(view, table=fleet.table)
    assert [planned.service for planned in planner.plan(view).orders] == ["b", "b", "a", "a"]


def test_a_new_version_takes_down_only_the_group_that_may_be_updated():
    fleet = Fleet([vm(index) for index in range(4)], [model_of_size(2)])
    run_steps(fleet)
    first, second = fleet.serving_groups()
    fleet.services_by_name["chat"] = dataclasses.replace(model_of_size(2), model_version="2")
    run_steps(fleet)
    assert {group.model_version for group in fleet.serving_groups()} == {"1"}
    fleet.rolling_update_ids = frozenset({first.group_id})
    run_steps(fleet)
    assert sorted(group.model_version for group in fleet.serving_groups()) == ["1", "2"]


def test_limits_are_divided_among_failure_domains():
    service = dataclasses.replace(model_of_size(2), max_groups=3)
    fleet = [vm(index, f"fd-{index % 2}") for index in range(8)]
    cells = forming.quotas([service], fleet, fabric_domain="fab-1")["chat"]
    assert sorted(cells.values()) == [1, 2]
