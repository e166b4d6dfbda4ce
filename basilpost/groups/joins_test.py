"""Tests of the condition on which a VM is sent a JOIN."""

import pytest

from basilpost.core import catalog
from basilpost.groups import joins, orders

VM = catalog.Vm(
    vm_id="vm",
    incarnation=5,
    service="s",
    address="",
    failure_domain="a",
    fabric_domain="f",
    slots=1,
    leaving=False,
    cold_seconds=0.0,
    staged=(),
    member=None,
)


def condition(group, *, begun=3, incarnation=5, left_group=""):
    order = orders.Order(
        kind=orders.Kind.JOIN,
        vm=VM,
        group="m--9",
        epoch=9,
        model="m",
        members=("vm",),
        left_group=left_group,
    )
    report = orders.Report(group=group, begun_orders=begun, incarnation=incarnation)
    return joins.condition(order, report)


@pytest.mark.parametrize("group", ["", "standby-m--7"])
def test_a_join_depends_on_the_orders_that_a_spare_has_begun(group):
    """Without it a late JOIN takes the VM out of a group that it has joined meanwhile."""
    assert condition(group) == 3


@pytest.mark.parametrize(
    ("group", "incarnation"), [("m--7", 5), ("", 6)], ids=["in-another-group", "started-again"]
)
def test_a_vm_that_is_no_spare_any_more_is_sent_no_join(group, incarnation):
    """The entry that the decision saw is older than the report."""
    assert isinstance(condition(group, incarnation=incarnation), orders.Unfit)


def test_a_vm_that_is_in_the_group_already_is_not_ordered_again():
    """Orders are priced, and the entry may be a moment older than the report."""
    assert isinstance(condition("m--9"), orders.Accepted)


def test_a_join_need_not_wait_for_a_report_that_shows_the_vms_last_leave():
    """Reports lag behind entries by 0.2 s, by which each group would be formed later."""
    assert condition("m--7", left_group="m--7") == 4


def test_a_runner_that_counts_no_orders_is_sent_joins_without_a_condition():
    """Earlier runners have no such count; their groups must form as before."""
    assert condition("", begun=None, incarnation=None) is None
    assert condition("m--7", begun=None, left_group="m--7") is None
