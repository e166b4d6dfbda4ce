"""Tests of the orders for a pool, each on a literal view of it."""

import dataclasses

from basilpost.core import catalog
from basilpost.groups import formation, orders, pool, pool_state, reported_groups

READY, OPEN = catalog.MemberState.READY, catalog.MemberState.OPEN
JOINING, CLOSING = catalog.MemberState.JOINING, catalog.MemberState.CLOSING
BROKEN = catalog.MemberState.BROKEN
PLENTY = 100
SLOTS = 4


def model(name, vms, *, pace=1.0, share=0.5):
    return catalog.Model(
        name=name, vms=vms, pace=pace, work_share=share, load_seconds=16.0, warm_seconds=1.6
    )


LARGE, SMALL = model("large", 3), model("small", 2)


def vm(vm_id, *, domain="d", staged=(), leaving=False, member=None):
    return catalog.Vm(
        vm_id=vm_id,
        incarnation=1,
        service="s",
        address="",
        failure_domain="a",
        fabric_domain=domain,
        slots=4,
        leaving=leaving,
        cold_seconds=0.0,
        staged=staged,
        member=member,
    )


def group(name, states, *, prefix="", model_name="large", domain="d"):
    """Returns the VMs of a group by rank; None for one that is gone."""
    return [
        vm(
            f"{prefix or name}-{rank}",
            domain=domain,
            staged=(model_name,),
            member=catalog.Membership(
                group=f"{model_name}--{name}", epoch=int(name), rank=rank, state=state
            ),
        )
        for rank, state in enumerate(states)
        if state is not None
    ]


def view(vms, *, now=100.0, models=(LARGE, SMALL), loads_left=PLENTY, work=None):
    return pool_state.View(
        now=now,
        vms=tuple(vms),
        models=models,
        slots_per_group=SLOTS,
        slots_wanted=work or {},
        next_epoch=1000,
        loads_left=loads_left,
    )


def free_for(vms, seconds, *, now=100.0):
    """Returns a memory in which VMs have been free for some seconds."""
    return pool_state.State(
        free_since_by_vm={reported_groups.lifetime_id(one): now - seconds for one in vms}
    )


def given(decision):
    """Returns the orders as short texts: kind, VM and group."""
    return sorted(f"{one.kind.value} {one.vm.vm_id} {one.group}".strip() for one in decision.orders)


def test_the_larger_model_is_formed_first():
    vms = [vm(str(number)) for number in range(3)]
    decision = pool.decide(view(vms), free_for(vms, formation.SETTLE_SECONDS))
    assert given(decision) == [f"join {number} large--1000" for number in range(3)]
    members = {one.members for one in decision.orders}
    assert len(members) == 1 and set(*members) == {"0", "1", "2"}


def test_no_group_is_formed_until_vms_that_start_together_have_reported():
    """Runners that start at once report over a second; the first ones must not go astray."""
    vms = [vm(str(number)) for number in range(5)]
    assert given(pool.decide(view(vms), pool_state.State())) == []
    decision = pool.decide(view(vms), free_for(vms, formation.SETTLE_SECONDS))
    assert {reported_groups.model_from_name(one.group) for one in decision.orders} == {
        "large",
        "small",
    }


def test_the_first_vms_that_have_settled_do_not_go_astray():
    """Runners report one after another; three settled ones must wait for those that just came."""
    vms = [vm(str(number)) for number in range(5)]
    memory = pool_state.State(
        free_since_by_vm={
            reported_groups.lifetime_id(one): 98.0 + 0.4 * number for number, one in enumerate(vms)
        }
    )
    assert [one for one in pool.decide(view(vms), memory).orders if one.group] == []
    later = pool.decide(view(vms, now=102.0), memory)
    assert reported_groups.group_name("large", 1000) in {one.group for one in later.orders}


def test_in_a_large_domain_both_models_get_groups():
    """27 VMs hold two groups of 12, or one and two of 6; work decides, not who came first."""
    models = (model("large", 12), model("small", 6, pace=0.6))
    vms = [
        vm(f"{domain}-{number:02}", domain=domain) for domain in "abcdef" for number in range(27)
    ]
    decision = pool.decide(view(vms, models=models, loads_left=1000), free_for(vms, 2.0))
    groups = {one.group for one in decision.orders if len(one.members) > 1}
    large = sum(name.startswith("large") for name in groups)
    small = sum(name.startswith("small") for name in groups)
    assert 0.7 <= (large * 12) / (small * 6) <= 1.4


def test_a_group_never_crosses_fabric_domains():
    vms = [vm("a", domain="x"), vm("b", domain="x"), vm("c", domain="y")]
    decision = pool.decide(view(vms), free_for(vms, 99))
    assert {one.vm.vm_id for one in decision.orders if one.group} == {"a", "b"}


def test_a_group_is_opened_when_every_member_is_ready():
    assert given(pool.decide(view(group("7", [READY] * 3)), pool_state.State())) == [
        "open 7-0 large--7"
    ]
    for states in ([READY, READY, JOINING], [JOINING, READY, READY]):
        assert given(pool.decide(view(group("7", states)), pool_state.State())) == []


def test_a_group_without_a_member_is_never_opened():
    assert given(pool.decide(view(group("7", [READY, READY, None])), pool_state.State())) == [
        "leave 7-0 large--7"
    ]


def test_an_open_group_is_left_alone():
    assert given(pool.decide(view(group("7", [OPEN, READY, READY])), pool_state.State())) == []


def test_of_a_group_that_lost_a_member_the_head_leaves_first():
    vms = group("7", [OPEN, READY, None])
    first = pool.decide(view(vms), pool_state.State())
    assert given(first) == ["leave 7-0 large--7"]
    vms[0] = dataclasses.replace(vms[0], member=None)
    second = pool.decide(view(vms, now=100.1), first.state)
    assert "leave 7-1 large--7" in given(second)


def test_the_members_of_a_lost_head_leave():
    decision = pool.decide(view(group("7", [None, READY, READY])), pool_state.State())
    assert given(decision) == ["leave 7-1 large--7", "leave 7-2 large--7"]


def test_survivors_are_joined_with_the_spare_that_has_the_weights():
    survivors = [vm("a", staged=("large",)), vm("b", staged=("large",))]
    spares = [vm("c", staged=("small",)), vm("d", staged=("large",))]
    decision = pool.decide(view(survivors + spares), pool_state.State())
    assert given(decision) == [f"join {one} large--1000" for one in "abd"]


def test_weights_are_not_thrown_away_while_a_partner_may_come():
    """Two survivors of three wait for a VM that starts, before they load the smaller model."""
    survivors = [vm("a", staged=("large",)), vm("b", staged=("large",))]
    assert len(survivors) == SMALL.vms
    soon = pool.decide(view(survivors), free_for(survivors, formation.PARTNER_WAIT_SECONDS - 0.1))
    assert [one for one in soon.orders if one.model != "large"] == []
    later = pool.decide(view(survivors), free_for(survivors, formation.PARTNER_WAIT_SECONDS))
    assert given(later) == ["join a small--1000", "join b small--1000"]


def test_no_member_takes_a_join_while_it_reports_a_group():
    vms = group("7", [BROKEN, READY, READY]) + [vm("spare", staged=("large",))]
    decision = pool.decide(view(vms), pool_state.State())
    assert {one.kind for one in decision.orders} == {orders.Kind.LEAVE}


def test_an_order_without_an_effect_is_repeated_after_a_while():
    vms = group("7", [READY] * 3)
    first = pool.decide(view(vms), pool_state.State())
    soon = pool.decide(view(vms, now=100.0 + pool.RESEND_SECONDS / 2), first.state)
    assert given(soon) == []
    later = pool.decide(view(vms, now=100.0 + pool.RESEND_SECONDS), first.state)
    assert given(later) == given(first)


def test_a_join_whose_effect_shows_is_not_repeated():
    vms = [vm(str(number)) for number in range(3)]
    first = pool.decide(view(vms), free_for(vms, 99))
    member = catalog.Membership(group="large--1000", epoch=1000, rank=0, state=JOINING)
    vms[0] = dataclasses.replace(vms[0], member=member)
    later = pool.decide(view(vms, now=102.0), first.state)
    assert {one.vm.vm_id for one in later.orders} == {"1", "2"}


def test_a_group_that_loses_a_member_while_it_forms_is_given_up():
    vms = [vm(str(number)) for number in range(3)]
    first = pool.decide(view(vms), free_for(vms, 99))
    member = catalog.Membership(group="large--1000", epoch=1000, rank=0, state=JOINING)
    left = [dataclasses.replace(vms[0], member=member), vms[1]]
    later = pool.decide(view(left, now=100.5), first.state)
    assert "leave 0 large--1000" in given(later)


def test_a_group_with_a_leaving_member_closes_only_if_there_is_a_replacement():
    vms = group("7", [OPEN, READY, READY])
    vms[2] = dataclasses.replace(vms[2], leaving=True)
    assert given(pool.decide(view(vms), pool_state.State())) == []
    spare = vm("spare", staged=("large",))
    assert given(pool.decide(view([*vms, spare]), pool_state.State())) == ["close 7-0 large--7"]


def test_a_closed_group_with_a_leaving_member_is_dissolved_head_first():
    vms = group("7", [READY, READY, READY])
    vms[2] = dataclasses.replace(vms[2], leaving=True)
    assert given(pool.decide(view(vms), pool_state.State())) == ["leave 7-0 large--7"]


def test_a_leaving_vm_joins_nothing():
    vms = [vm("a"), vm("b"), vm("c", leaving=True)]
    decision = pool.decide(view(vms), free_for(vms, 99))
    assert "c" not in {one.vm.vm_id for one in decision.orders}


def formed_beside(groups, work):
    """Returns the model that two more free VMs are joined for."""
    models = (model("large", 2), model("small", 2))
    vms = [*groups, vm("a"), vm("b")]
    decision = pool.decide(view(vms, models=models, work=work), free_for(vms, 99))
    (formed,) = {reported_groups.model_from_name(one.group) for one in decision.orders}
    return formed


def test_the_model_with_least_for_its_work_is_formed_first():
    one_each = group("7", [OPEN, READY]) + group("8", [OPEN, READY], model_name="small")
    assert formed_beside(one_each, {"large": 0.9, "small": 0.1}) == "large"
    assert formed_beside(one_each, {"large": 0.1, "small": 0.9}) == "small"


def test_a_model_without_a_group_is_formed_before_any_other():
    assert formed_beside(group("7", [OPEN, READY]), {"large": 0.9, "small": 0.1}) == "small"


def test_spares_load_the_models_whose_groups_lose_members_most():
    vms = group("7", [OPEN, READY, READY]) + [vm("spare")]
    decision = pool.decide(view(vms), free_for(vms, 99))
    (order,) = decision.orders
    assert (order.kind, order.vm.vm_id, order.model) == (orders.Kind.STAGE, "spare", "large")


def test_loads_stay_within_the_rate_of_the_weight_store():
    vms = [vm(f"{domain}-{number}", domain=domain) for domain in "xyz" for number in range(3)]
    decision = pool.decide(view(vms, loads_left=4), free_for(vms, 99))
    loads = [one for one in decision.orders if one.model not in one.vm.staged]
    assert len(loads) == decision.loads_used <= 4


def test_epochs_do_not_repeat():
    vms = [vm(f"{domain}-{number}", domain=domain) for domain in "xyz" for number in range(3)]
    decision = pool.decide(view(vms), free_for(vms, 99))
    epochs_by_group = {one.group: one.epoch for one in decision.orders if one.group}
    assert len(set(epochs_by_group.values())) == len(epochs_by_group) == 3
    assert max(epochs_by_group.values()) < 1000 + decision.epochs_used


def test_epochs_of_spares_that_stand_by_are_used_up_too():
    """A VM refuses a join with a lower epoch than it has seen, also that of its standby."""
    spares = [vm("a", staged=("large",), domain="x"), vm("b", staged=("large",), domain="y")]
    decision = pool.decide(view(spares), free_for(spares, 99))
    epochs = [one.epoch for one in decision.orders]
    assert len(set(epochs)) == 2
    assert max(epochs) < 1000 + decision.epochs_used


def test_a_spare_with_weights_on_its_host_takes_them_into_memory():
    vms = [*group("7", [OPEN, READY, READY]), vm("spare", staged=("large",))]
    (order,) = pool.decide(view(vms), free_for(vms, 99)).orders
    assert (order.kind, order.vm.vm_id, order.members) == (orders.Kind.JOIN, "spare", ("spare",))
    assert order.group.startswith("standby-large--")


def standby(vm_id, *, model_name="large", state=READY):
    member = catalog.Membership(group=f"standby-{model_name}--5", epoch=5, rank=0, state=state)
    return vm(vm_id, staged=(model_name,), member=member)


def test_a_spare_that_stands_by_gets_no_more_orders():
    vms = [*group("7", [OPEN, READY, READY]), standby("spare")]
    assert given(pool.decide(view(vms), free_for(vms, 99))) == []


def test_a_spare_that_stands_by_joins_the_survivors_without_leaving_first():
    survivors = [vm("a", staged=("large",)), vm("b", staged=("large",))]
    others = [vm("c", staged=("large",)), standby("hot")]
    decision = pool.decide(view([*survivors, *others]), pool_state.State())
    assert "join hot large--1000" in given(decision)


def test_the_only_spare_takes_the_weights_of_the_larger_model():
    vms = [*group("7", [OPEN, READY, READY]), vm("spare", staged=("small",))]
    (order,) = pool.decide(view(vms), free_for(vms, 99)).orders
    assert (order.kind, order.model) == (orders.Kind.STAGE, "large")


def test_survivors_keep_their_weights_while_they_wait_for_a_partner():
    vms = [*group("7", [OPEN, READY], model_name="small"), vm("a", staged=("large",))]
    vms.append(vm("b", staged=("large",)))
    decision = pool.decide(view(vms, loads_left=0), free_for(vms, 99))
    assert all(one.model == "large" for one in decision.orders)


def test_a_lost_member_is_treated_as_gone():
    vms = group("7", [OPEN, READY, READY])
    lost = frozenset({reported_groups.lifetime_id(vms[1])})
    seen = dataclasses.replace(view(vms), unresponsive=lost)
    assert given(pool.decide(seen, pool_state.State())) == ["leave 7-0 large--7"]


def test_a_group_that_answers_is_kept_though_the_entry_of_a_member_has_lapsed():
    """A runner that is only cut off from the store works on."""
    vms = group("7", [OPEN, None, READY])
    seen = dataclasses.replace(view(vms), answering=frozenset({"large--7"}))
    assert given(pool.decide(seen, pool_state.State())) == []
    assert given(pool.decide(view(vms), pool_state.State())) == ["leave 7-0 large--7"]


def test_a_group_whose_head_has_lapsed_is_not_kept():
    vms = group("7", [None, READY, READY])
    seen = dataclasses.replace(view(vms), answering=frozenset({"large--7"}))
    assert len(pool.decide(seen, pool_state.State()).orders) == 2


def test_one_spare_replaces_a_lost_member_at_once_whatever_weights_it_has():
    """Nothing serves sooner, and the group is down until it has loaded."""
    vms = [vm("a", staged=("large",)), vm("b", staged=("large",)), vm("c", staged=("small",))]
    assert given(pool.decide(view(vms), pool_state.State())) == [
        f"join {one} large--1000" for one in "abc"
    ]


def test_a_spare_that_takes_weights_into_memory_is_not_ordered_again():
    """Each new order would begin the loading anew."""
    vms = [*group("7", [OPEN, READY, READY]), standby("spare", state=JOINING)]
    first = pool.decide(view(vms), free_for(vms, 99))
    later = pool.decide(view(vms, now=110.0), first.state)
    assert given(first) == given(later) == []


def test_survivors_of_a_larger_group_are_not_taken_one_by_one():
    """A smaller group that lost a member must not cost a larger one its weights."""
    large = [vm(name, staged=("large",)) for name in ("a", "b")]
    small = [vm("c", staged=("small",))]
    assert given(pool.decide(view([*large, *small]), pool_state.State())) == [
        f"join {one} large--1000" for one in "abc"
    ]
    five = model("large", 5)
    decision = pool.decide(view([*large, *small], models=(five, SMALL)), pool_state.State())
    assert [one for one in decision.orders if "standby" not in one.group] == []


def test_the_last_spare_of_a_larger_model_may_be_taken_for_a_lost_member():
    vms = [vm("a", staged=("large",)), vm("c", staged=("small",))]
    decision = pool.decide(view(vms), pool_state.State())
    assert given(decision) == ["join a small--1000", "join c small--1000"]


def test_a_new_controller_does_not_wait_for_what_has_settled_long_ago():
    vms = [vm(str(number)) for number in range(3)]
    long_ago = {reported_groups.lifetime_id(one): 50.0 for one in vms}
    seen = dataclasses.replace(view(vms), changed_at_by_vm=long_ago)
    assert given(pool.decide(seen, pool_state.State())) == [
        f"join {number} large--1000" for number in range(3)
    ]


# Another mix of models than the groups were formed for.

THREES = (model("large", 4), model("small", 2))


def mixed(*, large=3, small=1):
    """Returns the VMs of open groups of a large model of four VMs and a small one of two."""
    return [
        *(
            one
            for number in range(large)
            for one in group(str(10 + number), [OPEN, READY, READY, READY])
        ),
        *(
            one
            for number in range(small)
            for one in group(str(20 + number), [OPEN, READY], model_name="small")
        ),
    ]


def short_for(seconds):
    return pool_state.State(shortage_since=100.0 - seconds)


def test_a_model_that_is_short_for_long_gets_the_vms_of_an_idle_group():
    """The small model's callers want nine slots of four, the large one's two of twelve."""
    work = {"large": 2.0, "small": 9.0}
    vms = mixed()
    before = pool.decide(view(vms, models=THREES, work=work), pool_state.State())
    assert before.orders == () and before.state.shortage_since == 100.0
    decision = pool.decide(view(vms, models=THREES, work=work), short_for(THREES[1].load_seconds))
    (close,) = decision.orders
    assert (close.kind, close.at_once) == (orders.Kind.CLOSE, False)
    given_up = close.group
    left = [one for one in vms if one.member.group != given_up] + [
        dataclasses.replace(one, member=None) for one in vms if one.member.group == given_up
    ]
    settled = dataclasses.replace(
        decision.state,
        free_since_by_vm={
            reported_groups.lifetime_id(one): 99.0 for one in left if one.member is None
        },
    )
    later = pool.decide(view(left, models=THREES, work=work), settled)
    assert {one.model for one in later.orders} == {"small"}
    assert len({one.group for one in later.orders}) == 2


def test_a_group_that_is_given_up_leaves_once_its_work_is_done():
    work = {"large": 2.0, "small": 9.0}
    vms = mixed()
    memory = pool.decide(
        view(vms, models=THREES, work=work), short_for(THREES[1].load_seconds)
    ).state
    (name,) = memory.donor_groups

    def after(state):
        changed = [
            (
                dataclasses.replace(one, member=dataclasses.replace(one.member, state=state))
                if one.member.group == name and one.member.rank == 0
                else one
            )
            for one in vms
        ]
        return given(pool.decide(view(changed, models=THREES, work=work), memory))

    assert after(CLOSING) == []
    assert after(READY) == [f"leave {name.rpartition('--')[2]}-0 {name}"]


def test_a_burst_moves_no_group():
    work = {"large": 2.0, "small": 9.0}
    calm = {"large": 2.0, "small": 3.0}
    memory = pool.decide(view(mixed(), models=THREES, work=work), pool_state.State()).state
    memory = pool.decide(view(mixed(), models=THREES, work=calm, now=102.0), memory).state
    assert memory.shortage_since is None


def test_no_model_gives_a_group_that_it_needs_itself():
    for work in ({"large": 9.0, "small": 9.0}, {"large": 5.0, "small": 9.0}):
        decision = pool.decide(view(mixed(), models=THREES, work=work), short_for(99))
        assert decision.orders == ()
    last = pool.decide(
        view(mixed(large=1), models=THREES, work={"large": 0.1, "small": 9.0}), short_for(99)
    )
    assert last.orders == ()


def test_one_group_is_given_up_at_a_time():
    work = {"large": 0.5, "small": 40.0}
    memory = pool.decide(
        view(mixed(), models=THREES, work=work), short_for(THREES[1].load_seconds)
    ).state
    again = pool.decide(view(mixed(), models=THREES, work=work, now=104.0), memory)
    assert len(again.state.donor_groups) == 1


def test_vms_that_were_given_up_in_vain_serve_their_old_model_again():
    """Their group could not be formed, as members were lost meanwhile."""
    vms = [vm(str(number), staged=("large",)) for number in range(3)]
    kept = pool_state.Reservation(model="small", until=90.0)
    memory = dataclasses.replace(
        free_for(vms, 99), reservation_by_vm={reported_groups.lifetime_id(one): kept for one in vms}
    )
    decision = pool.decide(view(vms), memory)
    assert {one.model for one in decision.orders} == {"large"}


# Survivors that are about to be free.


def ending(number):
    """Returns a group of a large model that has lost a member; its others have not left yet."""
    return group(str(number), [None, READY, READY, READY])


def test_spares_do_not_load_what_survivors_are_about_to_bring():
    """Two survivors of four are free, the third leaves in a moment, and two spares are idle."""
    last = ending(7)[:1]
    free = [vm("b", staged=("large",)), vm("c", staged=("large",)), vm("x"), vm("y")]
    vms = [*last, *free]
    decision = pool.decide(view(vms, models=THREES), free_for(free, formation.SETTLE_SECONDS))
    assert not [one for one in decision.orders if one.kind is orders.Kind.JOIN and one.members[1:]]
    gone = [*free, vm("a", staged=("large",))]
    later = pool.decide(
        view(gone, models=THREES, now=100.1),
        dataclasses.replace(decision.state, last_order_by_vm={}),
    )
    joined = {one.vm.vm_id for one in later.orders if one.model == "large" and one.members[1:]}
    assert {"a", "b", "c"} < joined


def test_a_survivor_that_never_leaves_is_not_waited_for_longer_than_others():
    last = ending(7)[:1]
    free = [vm("b", staged=("large",)), vm("c", staged=("large",)), vm("x"), vm("y")]
    memory = dataclasses.replace(
        free_for(free, 99),
        dissolving_since_by_group={last[0].member.group: 100.0 - formation.PARTNER_WAIT_SECONDS},
    )
    decision = pool.decide(view([*last, *free], models=THREES), memory)
    assert [one for one in decision.orders if one.kind is orders.Kind.JOIN and one.members[1:]]


# What spares get ready for.


def staged_for(vms, models=THREES):
    """Returns the models that three spares of a domain stage beside some groups."""
    spares = [vm(f"spare-{number}") for number in range(3)]
    decision = pool.decide(view([*vms, *spares], models=models), free_for(spares, 2.0))
    staging = [one.model for one in decision.orders if one.kind is orders.Kind.STAGE]
    return sorted(staging)


BIG = (model("large", 12), model("small", 6))


def test_spares_get_ready_for_the_models_that_their_domain_serves():
    """Three losses in a row in a domain that only serves the larger model, or only the smaller."""
    large = [one for number in (1, 2) for one in group(str(number), [OPEN] + [READY] * 11)]
    small = [
        one
        for number in (3, 4)
        for one in group(str(number), [OPEN] + [READY] * 5, model_name="small")
    ]
    assert staged_for(large, BIG) == ["large"] * 3
    assert staged_for(small, BIG) == ["small"] * 3
    assert staged_for([*large[:12], *small], BIG) == ["large", "large", "small"]


def test_before_any_demand_models_share_the_vms_by_their_work():
    """Half of the work each: a model of twelve VMs gets one group for two of the model of six."""
    models = (model("large", 12, share=0.5), model("small", 6, pace=0.6, share=0.5))
    vms = [vm(f"{domain}-{number}", domain=domain) for domain in "abcd" for number in range(24)]
    decision = pool.decide(view(vms, models=models, loads_left=1_000), free_for(vms, 99))
    names = {one.group for one in decision.orders if one.members[1:]}
    formed = [reported_groups.model_from_name(name) for name in names]
    assert (formed.count("large"), formed.count("small")) == (4, 8)


def test_groups_that_lost_a_member_make_no_model_short():
    """Three of four groups of the small model stand still; they are rebuilt in a second."""
    lost = [
        one
        for number in (31, 32, 33)
        for one in group(str(number), [OPEN, None], model_name="small")
    ]
    decision = pool.decide(
        view([*mixed(), *lost], models=THREES, work={"large": 2.0, "small": 9.0}), short_for(99)
    )
    assert decision.state.donor_groups == frozenset()
