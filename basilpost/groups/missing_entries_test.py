"""Tests of what is known of groups whose members have no entry any more."""

import dataclasses

from basilpost.core import catalog
from basilpost.groups import missing_entries, reported_groups
from basilpost.members import knowledge

MODEL = catalog.Model(
    name="large", vms=3, pace=1.0, work_share=1.0, load_seconds=16.0, warm_seconds=1.6
)


def vm(rank, *, group="large--7", incarnation=5):
    return catalog.Vm(
        vm_id=f"vm-{rank}",
        incarnation=incarnation,
        service="s",
        address="",
        failure_domain="a",
        fabric_domain="d",
        slots=4,
        leaving=False,
        cold_seconds=0.0,
        staged=("large",),
        member=catalog.Membership(group=group, epoch=7, rank=rank, state=catalog.MemberState.OPEN),
    )


def groups_of(*vms):
    return reported_groups.from_vms(vms, {"large": MODEL})


def removed(one, at=10.0):
    return knowledge.RemovedVm(vm=one, removed_at=at)


def test_the_target_of_a_group_is_unknown_once_the_entry_of_its_head_is_removed():
    headless = groups_of(vm(1), vm(2))
    assert missing_entries.target_ids(headless, [removed(vm(0))]) == {"large--7": "large--7@5"}
    assert missing_entries.target_ids(headless, [], told=["large--7@5"]) == {
        "large--7": "large--7@5"
    }


def test_a_removed_member_or_standby_group_is_taken_for_the_head():
    spare = dataclasses.replace(vm(0, group="standby-large--8"), vm_id="spare")
    known = missing_entries.target_ids(groups_of(vm(1), vm(2)), [removed(vm(2)), removed(spare)])
    assert known == {"large--7": ""}


def test_the_loss_of_a_member_is_dated_by_another_lifetime_or_group():
    whole, open_group = groups_of(vm(0), vm(1), vm(2)), groups_of(vm(0))
    lost = [
        removed(vm(1), at=12.0),
        removed(vm(2), at=11.0),
        removed(vm(0, incarnation=4), at=3.0),
        removed(dataclasses.replace(vm(1, group="large--6"), vm_id="other"), at=2.0),
    ]
    assert missing_entries.missing_since(open_group, lost) == {"large--7": 11.0}
    assert missing_entries.missing_since(whole, lost) == {}


def test_a_head_that_is_listed_again_is_named_by_its_removed_entry():
    whole = groups_of(vm(0, incarnation=6), vm(1), vm(2))
    assert missing_entries.target_ids(whole, [removed(vm(0))]) == {"large--7": "large--7@6"}
