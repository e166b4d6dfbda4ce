"""Tests of the orders that `pool.decide` returns for literal views of a pool."""

import dataclasses

import pytest

from basilpost.core import catalog
from basilpost.groups import formation, orders, pool, pool_state, reported_groups
from basilpost.groups import given_up as given_up_groups

READY, OPEN = catalog.MemberState.READY, catalog.MemberState.OPEN
JOINING, CLOSING = catalog.MemberState.JOINING, catalog.MemberState.CLOSING
BROKEN = catalog.MemberState.BROKEN
UNLIMITED_LOADS = 100
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
    """Returns the VMs of a group by rank; a state of None leaves that rank out."""
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


def view(vms, *, now=100.0, models=(LARGE, SMALL), loads_left=UNLIMITED_LOADS, demand=None):
    return pool_state.View(
        now=now,
        vms=tuple(vms),
        models=models,
        slots_per_group=SLOTS,
        slots_wanted=demand or {},
        next_epoch=1000,
        loads_left=loads_left,
    )


def free_for(vms, seconds, *, now=100.0):
    """Returns a state in which the VMs have been free for some seconds."""
    return pool_state.State(
        free_since_by_vm={reported_groups.lifetime_id(one): now - seconds for one in vms}
    )


def order_texts(decision):
    """Returns the orders as short texts of kind, VM id and group, sorted."""
    return sorted(
        f"{order.kind.value} {order.vm.vm_id} {order.group}".strip() for order in decision.orders
    )


def test_the_larger_model_is_formed_first():
    vms = [vm(str(number)) for number in range(3)]
    decision = pool.decide(view(vms), free_for(vms, formation.SETTLE_SECONDS))
    assert order_texts(decision) == [f"join {number} large--1000" for number in range(3)]
    members = {order.members for order in decision.orders}
    assert len(members) == 1 and set(*members) == {"0", "1", "2"}


def test_no_group_is_formed_until_vms_that_start_together_have_reported():
    """Runners that start together report within a second of each other.

    If groups were formed at once, the first VMs would all be assigned to one model.
    """
    vms = [vm(str(number)) for number in range(5)]
    assert order_texts(pool.decide(view(vms), pool_state.State())) == []
    decision = pool.decide(view(vms), free_for(vms, formation.SETTLE_SECONDS))
    assert {reported_groups.model_from_name(order.group) for order in decision.orders} == {
        "large",
        "small",
    }


def test_no_group_is_formed_of_the_first_settled_vms_alone():
    """Runners report one after another; three settled VMs wait for those that just reported."""
    vms = [vm(str(number)) for number in range(5)]
    state = pool_state.State(
        free_since_by_vm={
            reported_groups.lifetime_id(one): 98.0 + 0.4 * number for number, one in enumerate(vms)
        }
    )
    assert [order for order in pool.decide(view(vms), state).orders if order.group] == []
    later = pool.decide(view(vms, now=102.0), state)
    assert reported_groups.group_name("large", 1000) in {order.group for order in later.orders}


def test_in_a_large_domain_both_models_get_groups():
    """27 VMs can hold two groups of 12, or one of 12 and two of 6; the models' work decides."""
    models = (model("large", 12), model("small", 6, pace=0.6))
    vms = [
        vm(f"{domain}-{number:02}", domain=domain) for domain in "abcdef" for number in range(27)
    ]
    decision = pool.decide(view(vms, models=models, loads_left=1000), free_for(vms, 2.0))
    groups = {order.group for order in decision.orders if len(order.members) > 1}
    large = sum(name.startswith("large") for name in groups)
    small = sum(name.startswith("small") for name in groups)
    assert 0.7 <= (large * 12) / (small * 6) <= 1.4


def test_a_group_never_crosses_fabric_domains():
    vms = [vm("a", domain="x"), vm("b", domain="x"), vm("c", domain="y")]
    decision = pool.decide(view(vms), free_for(vms, 99))
    assert {order.vm.vm_id for order in decision.orders if order.group} == {"a", "b"}


def test_a_group_is_opened_when_every_member_is_ready():
    assert order_texts(pool.decide(view(group("7", [READY] * 3)), pool_state.State())) == [
        "open 7-0 large--7"
    ]
    for states in ([READY, READY, JOINING], [JOINING, READY, READY]):
        assert order_texts(pool.decide(view(group("7", states)), pool_state.State())) == []


def test_a_group_without_a_member_is_never_opened():
    assert order_texts(pool.decide(view(group("7", [READY, READY, None])), pool_state.State())) == [
        "leave 7-0 large--7"
    ]


def test_an_open_complete_group_gets_no_orders():
    assert (
        order_texts(pool.decide(view(group("7", [OPEN, READY, READY])), pool_state.State())) == []
    )


def test_of_a_group_that_lost_a_member_the_head_leaves_first():
    vms = group("7", [OPEN, READY, None])
    first = pool.decide(view(vms), pool_state.State())
    assert order_texts(first) == ["leave 7-0 large--7"]
    vms[0] = dataclasses.replace(vms[0], member=None)
    second = pool.decide(view(vms, now=100.1), first.state)
    assert "leave 7-1 large--7" in order_texts(second)


def test_the_other_members_leave_if_the_head_is_lost():
    decision = pool.decide(view(group("7", [None, READY, READY])), pool_state.State())
    assert order_texts(decision) == ["leave 7-1 large--7", "leave 7-2 large--7"]


def test_survivors_are_joined_with_the_spare_that_has_the_weights():
    survivors = [vm("a", staged=("large",)), vm("b", staged=("large",))]
    spares = [vm("c", staged=("small",)), vm("d", staged=("large",))]
    decision = pool.decide(view(survivors + spares), pool_state.State())
    assert order_texts(decision) == [f"join {one} large--1000" for one in "abd"]


def test_survivors_keep_their_weights_while_a_partner_may_come():
    """Two survivors of three wait for a starting VM before they load the smaller model."""
    survivors = [vm("a", staged=("large",)), vm("b", staged=("large",))]
    assert len(survivors) == SMALL.vms
    soon = pool.decide(view(survivors), free_for(survivors, formation.PARTNER_WAIT_SECONDS - 0.1))
    assert [order for order in soon.orders if order.model != "large"] == []
    later = pool.decide(view(survivors), free_for(survivors, formation.PARTNER_WAIT_SECONDS))
    assert order_texts(later) == ["join a small--1000", "join b small--1000"]


def test_a_vm_that_reports_a_serving_group_gets_no_join():
    vms = group("7", [BROKEN, READY, READY]) + [vm("spare", staged=("large",))]
    decision = pool.decide(view(vms), pool_state.State())
    assert {order.kind for order in decision.orders} == {orders.Kind.LEAVE}


def test_an_order_without_a_reported_effect_is_sent_again_after_a_while():
    vms = group("7", [READY] * 3)
    first = pool.decide(view(vms), pool_state.State())
    soon = pool.decide(view(vms, now=100.0 + pool.RESEND_SECONDS / 2), first.state)
    assert order_texts(soon) == []
    later = pool.decide(view(vms, now=100.0 + pool.RESEND_SECONDS), first.state)
    assert order_texts(later) == order_texts(first)


def test_a_join_whose_effect_is_reported_is_not_sent_again():
    vms = [vm(str(number)) for number in range(3)]
    first = pool.decide(view(vms), free_for(vms, 99))
    member = catalog.Membership(group="large--1000", epoch=1000, rank=0, state=JOINING)
    vms[0] = dataclasses.replace(vms[0], member=member)
    later = pool.decide(view(vms, now=102.0), first.state)
    assert {order.vm.vm_id for order in later.orders} == {"1", "2"}


def joining_after_a_takeover():
    """Returns five VMs and the state of a controller that has just sent three of them a JOIN.

    The VMs 0, 3 and 4 were ordered by its predecessor to form the group large--7; only 0 has joined.
    """
    member = catalog.Membership(group="large--7", epoch=7, rank=0, state=READY)
    vms = [vm(str(number), staged=("large",)) for number in (1, 3, 4)]
    vms.append(vm("0", staged=("large",), member=member))
    return vms, pool.decide(view(vms), free_for(vms, 99)).state


def with_large_7(vms, *, head_state=READY):
    """Returns the VMs after the predecessor's JOINs were carried out late."""
    members = [
        catalog.Membership(
            group="large--7", epoch=7, rank=rank, state=head_state if not rank else READY
        )
        for rank in range(3)
    ]
    member_by_id = dict(zip("034", members, strict=True))
    return [dataclasses.replace(one, member=member_by_id.get(one.vm_id, one.member)) for one in vms]


def test_a_join_is_not_sent_again_to_a_vm_that_is_in_another_group():
    """A VM that took a late JOIN of another group was ordered away from that group when it was open."""
    vms, state = joining_after_a_takeover()
    for head_state in (READY, OPEN):
        later = pool.decide(view(with_large_7(vms, head_state=head_state), now=102.0), state)
        joined_ids = {one.vm.vm_id for one in later.orders if one.kind is orders.Kind.JOIN}
        assert joined_ids.isdisjoint("034")


def test_a_group_is_no_longer_formed_once_a_member_is_in_another_complete_group():
    """Its other members waited for the end of the forming time and served nobody."""
    vms, state = joining_after_a_takeover()
    later = pool.decide(view(with_large_7(vms, head_state=OPEN), now=100.5), state)
    assert later.state.forming_by_group == {}


def test_a_group_is_not_opened_after_a_member_was_ordered_to_leave_it():
    """The LEAVE may be carried out seconds later, while the group serves requests."""
    vms, state = joining_after_a_takeover()
    assert state.last_order_by_vm["0@1"].order.kind is orders.Kind.LEAVE
    soon = pool.decide(view(with_large_7(vms), now=100.5), state)
    assert "open 0 large--7" not in order_texts(soon)
    later = pool.decide(view(with_large_7(vms), now=101.5), soon.state)
    assert "leave 0 large--7" in order_texts(later)
    assert "open 0 large--7" not in order_texts(later)


@pytest.mark.parametrize("states", [[READY] * 3, [READY, JOINING, READY]])
def test_a_group_that_another_controller_may_have_ordered_a_member_to_leave_is_opened(states):
    """That LEAVE may still arrive, and the member does not know the later fencing number yet."""
    vms = group("7", states)
    taken_over = pool.decide(dataclasses.replace(view(vms), first_epoch=10_000), pool_state.State())
    is_ready = JOINING not in states
    assert order_texts(taken_over) == (["leave 7-0 large--7"] if is_ready else [])


def test_a_group_that_loses_a_member_while_it_forms_is_dissolved():
    vms = [vm(str(number)) for number in range(3)]
    first = pool.decide(view(vms), free_for(vms, 99))
    member = catalog.Membership(group="large--1000", epoch=1000, rank=0, state=JOINING)
    left = [dataclasses.replace(vms[0], member=member), vms[1]]
    later = pool.decide(view(left, now=100.5), first.state)
    assert "leave 0 large--1000" in order_texts(later)


def test_a_group_with_a_leaving_member_closes_only_if_there_is_a_replacement():
    vms = group("7", [OPEN, READY, READY])
    vms[2] = dataclasses.replace(vms[2], leaving=True)
    assert order_texts(pool.decide(view(vms), pool_state.State())) == []
    spare = vm("spare", staged=("large",))
    assert order_texts(pool.decide(view([*vms, spare]), pool_state.State())) == [
        "close 7-0 large--7"
    ]


def test_a_closed_group_with_a_leaving_member_is_dissolved_head_first():
    vms = group("7", [READY, READY, READY])
    vms[2] = dataclasses.replace(vms[2], leaving=True)
    assert order_texts(pool.decide(view(vms), pool_state.State())) == ["leave 7-0 large--7"]


def view_of_work(vms, *, now=100.0, working=("large--7",), stalled=()):
    return dataclasses.replace(
        view(vms, now=now), working=frozenset(working), stalled=frozenset(stalled)
    )


def test_members_leave_while_a_head_without_an_entry_is_at_work():
    """The group stalls without them, and its requests are cut."""
    vms = group("7", [None, READY, READY])
    before = pool.decide(view_of_work(vms), pool_state.State())
    assert order_texts(before) == []
    after = pool.decide(view_of_work(vms, now=102.0, working=()), before.state)
    assert order_texts(after) == ["leave 7-1 large--7", "leave 7-2 large--7"]


def test_a_closing_head_leaves_with_its_requests_when_a_member_has_no_entry():
    vms = group("7", [CLOSING, READY, None])
    assert order_texts(pool.decide(view_of_work(vms), pool_state.State())) == []


def test_an_open_head_leaves_with_its_requests_when_a_member_has_no_entry():
    """No event has come yet, as with long prompts or the first request of an idle group."""
    vms = group("7", [OPEN, READY, None])
    at_work = pool.decide(view_of_work(vms), pool_state.State())
    assert order_texts(at_work) == ["close 7-0 large--7"]
    idle = pool.decide(view_of_work(vms, working=()), pool_state.State())
    assert order_texts(idle) == ["leave 7-0 large--7"]
    stalled = pool.decide(view_of_work(vms, stalled=["large--7"]), pool_state.State())
    assert order_texts(stalled) == ["leave 7-0 large--7"]


@pytest.mark.parametrize(
    "states", [[None, READY, READY], [CLOSING, READY, None], [OPEN, READY, None]]
)
def test_members_leave_before_nodes_have_told_of_requests_that_they_have_just_sent(states):
    """The controller learns of another node's requests from its next report."""
    vms = group("7", states)

    def decide(now, state, **fields):
        seen = dataclasses.replace(
            view(vms, now=now),
            work_delay_seconds=0.4,
            unlisted_heads=frozenset(["large--7"] if states[0] is None else []),
            **fields,
        )
        return pool.decide(seen, state)

    before = decide(100.0, pool_state.State())
    assert not any(order.kind is orders.Kind.LEAVE for order in before.orders)
    told = decide(100.5, before.state, working=frozenset(["large--7"]))
    assert not any(order.kind is orders.Kind.LEAVE for order in told.orders)
    idle = decide(100.5, before.state)
    assert any(order.kind is orders.Kind.LEAVE for order in idle.orders)
    stalled = decide(100.1, before.state, stalled=frozenset(["large--7"]))
    assert any(order.kind is orders.Kind.LEAVE for order in stalled.orders)


def test_the_members_of_a_head_that_has_left_as_ordered_wait_for_its_requests():
    """It has none; the wait would delay each replacement of a lost member."""
    vms = group("7", [None, READY, READY]) + [vm("7-0", staged=("large",))]
    seen = dataclasses.replace(view(vms), work_delay_seconds=0.4)
    decision = pool.decide(seen, pool_state.State())
    leaves = {order.vm.vm_id for order in decision.orders if order.kind is orders.Kind.LEAVE}
    assert leaves == {"7-1", "7-2"}


def test_a_group_without_a_member_is_kept_for_ever():
    """Requests at it may hang, and a runner that stops as planned does so within ten seconds."""
    for states in ([None, READY, READY], [CLOSING, READY, None]):
        vms = group("7", states)
        before = pool.decide(view_of_work(vms), pool_state.State())
        assert order_texts(pool.decide(view_of_work(vms, now=110.0), before.state)) != []
        stalled = pool.decide(view_of_work(vms, stalled=["large--7"]), pool_state.State())
        assert order_texts(stalled) != []


def test_the_requests_of_a_removed_model_are_cut_before_their_first_event():
    """Its group sends nothing for a while, although requests are at work there."""
    state = pool_state.State()
    for now, head_state, working, expected in (
        (100.0, OPEN, ["large--7"], ["close 7-0 large--7"]),
        (100.1, CLOSING, ["large--7"], []),
        (101.0, CLOSING, [], []),
        (101.1, READY, [], ["leave 7-0 large--7"]),
    ):
        vms = group("7", [head_state, READY, READY])
        seen = dataclasses.replace(view_of_work(vms, now=now, working=working), models=(SMALL,))
        decision = pool.decide(seen, state)
        assert order_texts(decision) == expected
        state = decision.state


def given_up(head_state, *, now, models=(SMALL,), working=("large--7",), stalled=()):
    """Returns a view of a whole group that the configuration no longer has a model of its size for."""
    vms = group("7", [head_state, READY, READY])
    return dataclasses.replace(
        view_of_work(vms, now=now, working=working, stalled=stalled), models=models
    )


def test_a_group_of_a_removed_model_is_cut_while_no_node_knows_of_its_requests():
    """Nodes that are cut off or have ended do not tell of theirs; the head knows."""
    decision = pool.decide(given_up(OPEN, now=100.0, working=()), pool_state.State())
    assert order_texts(decision) == ["close 7-0 large--7"]
    later = pool.decide(given_up(CLOSING, now=101.0, working=()), decision.state)
    assert order_texts(later) == []


def test_the_first_request_of_an_idle_group_is_cut_as_its_model_is_removed():
    """Other nodes learn of it after some tenths of a second; the group had long been without one."""
    state = pool_state.State()
    for now in (100.0, 130.0):
        seen = given_up(OPEN, now=now, models=(LARGE, SMALL), working=())
        state = pool.decide(seen, state).state
    decision = pool.decide(given_up(OPEN, now=130.1, working=()), state)
    assert order_texts(decision) == ["close 7-0 large--7"]


def test_a_group_of_a_removed_model_is_cut_after_ten_seconds_of_work():
    state = pool_state.State()
    for now in (100.0, 105.0, 109.9, 110.0, 119.9):
        decision = pool.decide(given_up(CLOSING, now=now), state)
        assert order_texts(decision) == []
        state = decision.state


@pytest.mark.parametrize(
    ("vms", "is_known"), [(2, True), (2, False), (4, True)], ids=["fewer", "fewer-new", "more"]
)
def test_the_requests_of_a_model_whose_size_changes_are_cut_as_their_group_is_silent(vms, is_known):
    """A new controller does not know the size of the group; it sees more members than the model has."""
    before = pool.decide(given_up(OPEN, now=99.0, models=(LARGE, SMALL)), pool_state.State())
    state = before.state if is_known else pool_state.State()
    models = (model("large", vms), SMALL)
    for now, head_state, working, expected in (
        (100.0, OPEN, ["large--7"], ["close 7-0 large--7"]),
        (100.5, CLOSING, ["large--7"], []),
        (100.6, CLOSING, [], []),
        (100.7, READY, [], ["leave 7-0 large--7"]),
    ):
        seen = given_up(head_state, now=now, models=models, working=working, stalled=working)
        decision = pool.decide(seen, state)
        assert order_texts(decision) == expected
        state = decision.state


def test_a_group_that_lost_a_member_is_kept_as_one_of_another_size():
    """A controller that does not know how many members it had takes it for what it probably is."""
    vms = group("7", [CLOSING, READY, None])
    silent = view_of_work(vms, stalled=["large--7"])
    assert order_texts(pool.decide(silent, pool_state.State())) == ["leave 7-0 large--7"]
    whole = pool.decide(view_of_work(group("7", [OPEN, READY, READY])), pool_state.State())
    assert order_texts(pool.decide(silent, whole.state)) == ["leave 7-0 large--7"]


def test_a_silent_group_of_a_removed_model_is_kept_for_ever():
    """Its head may hang with its requests, or reject the order to close."""
    for head_state in (OPEN, CLOSING):
        for working, stalled in ((["large--7"], ["large--7"]), ([], [])):
            state = pool.decide(given_up(head_state, now=100.0), pool_state.State()).state
            for now, leaves in ((100.0 + given_up_groups.IDLE_SECONDS - 0.1, False), (110.0, True)):
                seen = given_up(head_state, now=now, working=working, stalled=stalled)
                decision = pool.decide(seen, state)
                assert ("leave 7-0 large--7" in order_texts(decision)) == leaves
                state = decision.state


def test_a_broken_group_of_a_removed_model_is_kept():
    at_work = given_up(BROKEN, now=100.0)
    assert order_texts(pool.decide(at_work, pool_state.State())) == ["leave 7-0 large--7"]
    vms = group("7", [CLOSING, READY, BROKEN])
    seen = dataclasses.replace(view_of_work(vms), models=(SMALL,))
    assert order_texts(pool.decide(seen, pool_state.State())) == ["leave 7-0 large--7"]


def test_a_silent_group_of_a_removed_model_without_a_member_is_kept_like_a_whole_one():
    """Its size is known from before the version; the missing member is why it is silent."""
    whole = view_of_work(group("7", [OPEN, READY, READY]))
    state = pool.decide(whole, pool_state.State()).state
    vms = group("7", [CLOSING, READY, None])
    silent = view_of_work(vms, now=100.5, stalled=["large--7"])
    decision = pool.decide(dataclasses.replace(silent, models=(SMALL,)), state)
    assert order_texts(decision) == ["leave 7-0 large--7"]


def test_a_group_of_a_removed_model_that_comes_back_stays_closed():
    """The head had been ordered to close; nothing was ordered to leave."""
    state = pool.decide(given_up(OPEN, now=100.0), pool_state.State()).state
    for now, head_state, expected in (
        (100.2, CLOSING, []),
        (100.4, READY, ["open 7-0 large--7"]),
    ):
        decision = pool.decide(given_up(head_state, now=now, models=(LARGE, SMALL)), state)
        assert order_texts(decision) == expected
        state = decision.state


def test_a_group_serves_until_its_leaving_member_has_stopped():
    """Without a spare, too, it is closed so early that its requests end before the member does."""
    vms = group("7", [OPEN, READY, READY])
    vms[2] = dataclasses.replace(vms[2], leaving=True)
    state = pool_state.State()
    for now, expected in ((100.0, []), (104.9, []), (105.0, ["close 7-0 large--7"])):
        decision = pool.decide(view(vms, now=now), state)
        assert order_texts(decision) == expected
        state = decision.state


def test_a_new_controller_lets_a_group_serve_until_its_leaving_member_stops():
    """The time that the member has left does not begin anew with the controller."""
    vms = group("7", [OPEN, READY, READY])
    vms[2] = dataclasses.replace(vms[2], leaving=True)
    said_at = {reported_groups.lifetime_id(vms[2]): 100.0}
    for now, expected in ((104.9, []), (105.0, ["close 7-0 large--7"])):
        seen = dataclasses.replace(view(vms, now=now), changed_at_by_vm=said_at)
        assert order_texts(pool.decide(seen, pool_state.State())) == expected


def test_a_leaving_vm_joins_nothing():
    vms = [vm("a"), vm("b"), vm("c", leaving=True)]
    decision = pool.decide(view(vms), free_for(vms, 99))
    assert "c" not in {order.vm.vm_id for order in decision.orders}


def formed_beside(groups, demand):
    """Returns the model of the group that two free VMs beside some groups form."""
    models = (model("large", 2), model("small", 2))
    vms = [*groups, vm("a"), vm("b")]
    decision = pool.decide(view(vms, models=models, demand=demand), free_for(vms, 99))
    (formed,) = {reported_groups.model_from_name(order.group) for order in decision.orders}
    return formed


def test_the_model_with_the_fewest_groups_for_its_demand_is_formed_first():
    one_each = group("7", [OPEN, READY]) + group("8", [OPEN, READY], model_name="small")
    assert formed_beside(one_each, {"large": 0.9, "small": 0.1}) == "large"
    assert formed_beside(one_each, {"large": 0.1, "small": 0.9}) == "small"


def test_a_model_without_any_group_is_formed_first():
    assert formed_beside(group("7", [OPEN, READY]), {"large": 0.9, "small": 0.1}) == "small"


def test_a_spare_stages_the_model_with_the_most_vms_at_risk():
    vms = group("7", [OPEN, READY, READY]) + [vm("spare")]
    decision = pool.decide(view(vms), free_for(vms, 99))
    (order,) = decision.orders
    assert (order.kind, order.vm.vm_id, order.model) == (orders.Kind.STAGE, "spare", "large")


def test_loads_stay_within_the_rate_of_the_weight_store():
    vms = [vm(f"{domain}-{number}", domain=domain) for domain in "xyz" for number in range(3)]
    decision = pool.decide(view(vms, loads_left=4), free_for(vms, 99))
    loads = [order for order in decision.orders if order.model not in order.vm.staged]
    assert len(loads) == decision.loads_used <= 4


def test_epochs_do_not_repeat():
    vms = [vm(f"{domain}-{number}", domain=domain) for domain in "xyz" for number in range(3)]
    decision = pool.decide(view(vms), free_for(vms, 99))
    epochs_by_group = {order.group: order.epoch for order in decision.orders if order.group}
    assert len(set(epochs_by_group.values())) == len(epochs_by_group) == 3
    assert max(epochs_by_group.values()) < 1000 + decision.epochs_used


def test_epochs_of_standby_groups_do_not_repeat():
    """A VM rejects a join with an epoch below the highest it has seen, standby groups included."""
    spares = [vm("a", staged=("large",), domain="x"), vm("b", staged=("large",), domain="y")]
    decision = pool.decide(view(spares), free_for(spares, 99))
    epochs = [order.epoch for order in decision.orders]
    assert len(set(epochs)) == 2
    assert max(epochs) < 1000 + decision.epochs_used


def test_a_spare_with_weights_on_its_host_loads_them_into_memory():
    vms = [*group("7", [OPEN, READY, READY]), vm("spare", staged=("large",))]
    (order,) = pool.decide(view(vms), free_for(vms, 99)).orders
    assert (order.kind, order.vm.vm_id, order.members) == (orders.Kind.JOIN, "spare", ("spare",))
    assert order.group.startswith("standby-large--")


def standby(vm_id, *, model_name="large", state=READY):
    member = catalog.Membership(group=f"standby-{model_name}--5", epoch=5, rank=0, state=state)
    return vm(vm_id, staged=(model_name,), member=member)


def test_a_spare_in_a_standby_group_gets_no_more_orders():
    vms = [*group("7", [OPEN, READY, READY]), standby("spare")]
    assert order_texts(pool.decide(view(vms), free_for(vms, 99))) == []


def test_a_spare_in_a_standby_group_joins_survivors_without_leaving_first():
    survivors = [vm("a", staged=("large",)), vm("b", staged=("large",))]
    others = [vm("c", staged=("large",)), standby("hot")]
    decision = pool.decide(view([*survivors, *others]), pool_state.State())
    assert "join hot large--1000" in order_texts(decision)


def test_the_only_spare_stages_the_larger_model():
    vms = [*group("7", [OPEN, READY, READY]), vm("spare", staged=("small",))]
    (order,) = pool.decide(view(vms), free_for(vms, 99)).orders
    assert (order.kind, order.model) == (orders.Kind.STAGE, "large")


def test_survivors_keep_their_weights_while_they_wait_for_a_partner():
    vms = [*group("7", [OPEN, READY], model_name="small"), vm("a", staged=("large",))]
    vms.append(vm("b", staged=("large",)))
    decision = pool.decide(view(vms, loads_left=0), free_for(vms, 99))
    assert all(order.model == "large" for order in decision.orders)


def test_an_unresponsive_member_is_treated_as_gone():
    vms = group("7", [OPEN, READY, READY])
    unresponsive = frozenset({reported_groups.lifetime_id(vms[1])})
    pool_view = dataclasses.replace(view(vms), unresponsive=unresponsive)
    assert order_texts(pool.decide(pool_view, pool_state.State())) == ["leave 7-0 large--7"]


def test_a_group_that_answers_is_kept_though_the_entry_of_a_member_has_expired():
    """A runner that is only cut off from the store still works."""
    vms = group("7", [OPEN, None, READY])
    pool_view = dataclasses.replace(view(vms), answering=frozenset({"large--7"}))
    assert order_texts(pool.decide(pool_view, pool_state.State())) == []
    assert order_texts(pool.decide(view(vms), pool_state.State())) == ["leave 7-0 large--7"]


def evidence_view(vms, *, now, answered_at, stalled=()):
    return dataclasses.replace(
        view(vms, now=now),
        answered_at_by_group={"large--7": answered_at},
        stalled=frozenset(stalled),
    )


def test_a_group_that_answered_after_a_member_fell_silent_is_kept_although_it_is_idle_now():
    """Entries of many cut off runners expire together; most of their groups have no answer under way."""
    vms = group("7", [OPEN, None, READY])
    decision = pool.decide(evidence_view(vms, now=100.0, answered_at=99.0), pool_state.State())
    assert order_texts(decision) == []
    later = pool.decide(evidence_view(vms, now=103.0, answered_at=101.0), decision.state)
    assert order_texts(later) == []


def test_a_new_controller_takes_an_old_loss_for_one_of_this_moment():
    """It asked the group for an answer since the takeover, and dissolved it without one."""
    vms = group("7", [OPEN, None, READY])
    seen = dataclasses.replace(
        evidence_view(vms, now=100.0, answered_at=97.5), missing_since_by_group={"large--7": 97.0}
    )
    assert order_texts(pool.decide(seen, pool_state.State())) == []
    silent = dataclasses.replace(seen, answered_at_by_group={"large--7": 95.0})
    assert order_texts(pool.decide(silent, pool_state.State())) == ["leave 7-0 large--7"]


def test_a_new_controller_waits_for_a_removed_head_for_another_ten_seconds():
    vms = group("7", [None, READY, READY])
    seen = dataclasses.replace(
        view_of_work(vms), missing_since_by_group={"large--7": 100.0 - pool.FINISH_SECONDS}
    )
    leaves = ["leave 7-1 large--7", "leave 7-2 large--7"]
    assert order_texts(pool.decide(seen, pool_state.State())) == leaves


def test_a_group_that_has_answered_nothing_since_a_member_fell_silent_is_dissolved():
    vms = group("7", [OPEN, None, READY])
    decision = pool.decide(evidence_view(vms, now=100.0, answered_at=98.0), pool_state.State())
    assert order_texts(decision) == ["leave 7-0 large--7"]


def test_a_group_without_the_entry_of_a_member_has_to_be_seen_to_answer_again():
    vms = group("7", [OPEN, None, READY])
    decision = pool.decide(evidence_view(vms, now=100.0, answered_at=99.5), pool_state.State())
    stalled = evidence_view(vms, now=101.0, answered_at=99.5, stalled={"large--7"})
    assert order_texts(pool.decide(stalled, decision.state)) == ["leave 7-0 large--7"]
    silent = evidence_view(vms, now=103.0, answered_at=99.5)
    assert order_texts(pool.decide(silent, decision.state)) == ["leave 7-0 large--7"]


def test_a_group_whose_heads_entry_has_expired_is_not_kept():
    vms = group("7", [None, READY, READY])
    pool_view = dataclasses.replace(view(vms), answering=frozenset({"large--7"}))
    assert len(pool.decide(pool_view, pool_state.State()).orders) == 2


def test_one_spare_replaces_a_lost_member_at_once_whatever_weights_it_has():
    """No other choice restores service sooner."""
    vms = [vm("a", staged=("large",)), vm("b", staged=("large",)), vm("c", staged=("small",))]
    assert order_texts(pool.decide(view(vms), pool_state.State())) == [
        f"join {one} large--1000" for one in "abc"
    ]


def test_a_spare_that_loads_weights_into_memory_is_not_ordered_again():
    """Each further order would start the load from the beginning."""
    vms = [*group("7", [OPEN, READY, READY]), standby("spare", state=JOINING)]
    first = pool.decide(view(vms), free_for(vms, 99))
    later = pool.decide(view(vms, now=110.0), first.state)
    assert order_texts(first) == order_texts(later) == []


def test_survivors_of_a_larger_group_are_not_used_for_a_smaller_one():
    """Replacing a lost member of a smaller group must not discard the weights of a larger one."""
    large = [vm(name, staged=("large",)) for name in ("a", "b")]
    small = [vm("c", staged=("small",))]
    assert order_texts(pool.decide(view([*large, *small]), pool_state.State())) == [
        f"join {one} large--1000" for one in "abc"
    ]
    five = model("large", 5)
    decision = pool.decide(view([*large, *small], models=(five, SMALL)), pool_state.State())
    assert [order for order in decision.orders if "standby" not in order.group] == []


def test_a_single_survivor_of_a_larger_model_may_replace_a_lost_member():
    vms = [vm("a", staged=("large",)), vm("c", staged=("small",))]
    decision = pool.decide(view(vms), pool_state.State())
    assert order_texts(decision) == ["join a small--1000", "join c small--1000"]


def test_a_new_controller_does_not_wait_for_vms_that_settled_long_ago():
    vms = [vm(str(number)) for number in range(3)]
    long_ago = {reported_groups.lifetime_id(one): 50.0 for one in vms}
    pool_view = dataclasses.replace(view(vms), changed_at_by_vm=long_ago)
    assert order_texts(pool.decide(pool_view, pool_state.State())) == [
        f"join {number} large--1000" for number in range(3)
    ]


# Demand for another mix of models than the groups were formed for.

MIXED_MODELS = (model("large", 4), model("small", 2))


def open_groups(*, large=3, small=1):
    """Returns the VMs of open groups: of four VMs for the large model, of two for the small one."""
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


def shortage_of(seconds):
    return pool_state.State(shortage_since=100.0 - seconds)


def test_a_model_that_stays_short_gets_the_vms_of_an_idle_group():
    """Callers want nine slots of the small model's four, and two of the large one's twelve."""
    demand = {"large": 2.0, "small": 9.0}
    vms = open_groups()
    before = pool.decide(view(vms, models=MIXED_MODELS, demand=demand), pool_state.State())
    assert before.orders == () and before.state.shortage_since == 100.0
    decision = pool.decide(
        view(vms, models=MIXED_MODELS, demand=demand), shortage_of(MIXED_MODELS[1].load_seconds)
    )
    (close,) = decision.orders
    assert close.kind is orders.Kind.CLOSE
    donor = close.group
    left = [one for one in vms if one.member.group != donor] + [
        dataclasses.replace(one, member=None) for one in vms if one.member.group == donor
    ]
    settled = dataclasses.replace(
        decision.state,
        free_since_by_vm={
            reported_groups.lifetime_id(one): 99.0 for one in left if one.member is None
        },
    )
    later = pool.decide(view(left, models=MIXED_MODELS, demand=demand), settled)
    assert {order.model for order in later.orders} == {"small"}
    assert len({order.group for order in later.orders}) == 2


def test_a_donor_group_leaves_once_its_requests_have_ended():
    demand = {"large": 2.0, "small": 9.0}
    vms = open_groups()
    state = pool.decide(
        view(vms, models=MIXED_MODELS, demand=demand), shortage_of(MIXED_MODELS[1].load_seconds)
    ).state
    (name,) = state.donor_groups

    def after(head_state):
        changed = [
            (
                dataclasses.replace(one, member=dataclasses.replace(one.member, state=head_state))
                if one.member.group == name and one.member.rank == 0
                else one
            )
            for one in vms
        ]
        return order_texts(pool.decide(view(changed, models=MIXED_MODELS, demand=demand), state))

    assert after(CLOSING) == []
    assert after(READY) == [f"leave {name.rpartition('--')[2]}-0 {name}"]


def test_a_short_burst_makes_no_group_a_donor():
    demand = {"large": 2.0, "small": 9.0}
    calm = {"large": 2.0, "small": 3.0}
    state = pool.decide(
        view(open_groups(), models=MIXED_MODELS, demand=demand), pool_state.State()
    ).state
    state = pool.decide(
        view(open_groups(), models=MIXED_MODELS, demand=calm, now=102.0), state
    ).state
    assert state.shortage_since is None


def test_no_model_loses_a_group_that_it_needs():
    for demand in ({"large": 9.0, "small": 9.0}, {"large": 5.0, "small": 9.0}):
        decision = pool.decide(
            view(open_groups(), models=MIXED_MODELS, demand=demand), shortage_of(99)
        )
        assert decision.orders == ()
    last = pool.decide(
        view(open_groups(large=1), models=MIXED_MODELS, demand={"large": 0.1, "small": 9.0}),
        shortage_of(99),
    )
    assert last.orders == ()


def test_one_group_is_dissolved_for_another_model_at_a_time():
    demand = {"large": 0.5, "small": 40.0}
    state = pool.decide(
        view(open_groups(), models=MIXED_MODELS, demand=demand),
        shortage_of(MIXED_MODELS[1].load_seconds),
    ).state
    again = pool.decide(view(open_groups(), models=MIXED_MODELS, demand=demand, now=104.0), state)
    assert len(again.state.donor_groups) == 1


def test_vms_whose_reservation_has_expired_serve_their_old_model_again():
    """Their new group could not be formed because members were lost in the meantime."""
    vms = [vm(str(number), staged=("large",)) for number in range(3)]
    reservation = pool_state.Reservation(model="small", until=90.0)
    state = dataclasses.replace(
        free_for(vms, 99),
        reservation_by_vm={reported_groups.lifetime_id(one): reservation for one in vms},
    )
    decision = pool.decide(view(vms), state)
    assert {order.model for order in decision.orders} == {"large"}


# Survivors that are about to be free.


def dissolving(number):
    """Returns a group of the large model without its head, whose members have not left yet."""
    return group(str(number), [None, READY, READY, READY])


def test_spares_load_no_weights_that_survivors_are_about_to_bring():
    """Two survivors of four are free, the third leaves in a moment, and two spares are idle."""
    last = dissolving(7)[:1]
    free = [vm("b", staged=("large",)), vm("c", staged=("large",)), vm("x"), vm("y")]
    vms = [*last, *free]
    decision = pool.decide(view(vms, models=MIXED_MODELS), free_for(free, formation.SETTLE_SECONDS))
    assert not [
        order for order in decision.orders if order.kind is orders.Kind.JOIN and order.members[1:]
    ]
    gone = [*free, vm("a", staged=("large",))]
    later = pool.decide(
        view(gone, models=MIXED_MODELS, now=100.1),
        dataclasses.replace(decision.state, last_order_by_vm={}),
    )
    joined = {
        order.vm.vm_id for order in later.orders if order.model == "large" and order.members[1:]
    }
    assert {"a", "b", "c"} < joined


def test_the_wait_for_a_survivor_that_never_leaves_is_bounded():
    last = dissolving(7)[:1]
    free = [vm("b", staged=("large",)), vm("c", staged=("large",)), vm("x"), vm("y")]
    state = dataclasses.replace(
        free_for(free, 99),
        dissolving_since_by_group={last[0].member.group: 100.0 - formation.PARTNER_WAIT_SECONDS},
    )
    decision = pool.decide(view([*last, *free], models=MIXED_MODELS), state)
    assert [
        order for order in decision.orders if order.kind is orders.Kind.JOIN and order.members[1:]
    ]


# Models for which spares prepare.


def staged_for(vms, models=MIXED_MODELS):
    """Returns the models that three spares stage when their domain has some groups."""
    spares = [vm(f"spare-{number}") for number in range(3)]
    decision = pool.decide(view([*vms, *spares], models=models), free_for(spares, 2.0))
    staging = [order.model for order in decision.orders if order.kind is orders.Kind.STAGE]
    return sorted(staging)


LARGE_MODELS = (model("large", 12), model("small", 6))


def test_spares_prepare_for_the_models_that_their_domain_serves():
    """A domain that serves one model may lose three members of its groups in a row."""
    large = [one for number in (1, 2) for one in group(str(number), [OPEN] + [READY] * 11)]
    small = [
        one
        for number in (3, 4)
        for one in group(str(number), [OPEN] + [READY] * 5, model_name="small")
    ]
    assert staged_for(large, LARGE_MODELS) == ["large"] * 3
    assert staged_for(small, LARGE_MODELS) == ["small"] * 3
    assert staged_for([*large[:12], *small], LARGE_MODELS) == ["large", "large", "small"]


def test_until_demand_is_measured_models_share_the_vms_by_their_work():
    """Each has half of the work: a model of 12 VMs gets one group for two of the model of 6."""
    models = (model("large", 12, share=0.5), model("small", 6, pace=0.6, share=0.5))
    vms = [vm(f"{domain}-{number}", domain=domain) for domain in "abcd" for number in range(24)]
    decision = pool.decide(view(vms, models=models, loads_left=1_000), free_for(vms, 99))
    names = {order.group for order in decision.orders if order.members[1:]}
    formed = [reported_groups.model_from_name(name) for name in names]
    assert (formed.count("large"), formed.count("small")) == (4, 8)


def test_groups_that_lost_a_member_make_no_model_short():
    """Three of the small model's four groups lost a member; they are rebuilt within a second."""
    lost = [
        one
        for number in (31, 32, 33)
        for one in group(str(number), [OPEN, None], model_name="small")
    ]
    decision = pool.decide(
        view([*open_groups(), *lost], models=MIXED_MODELS, demand={"large": 2.0, "small": 9.0}),
        shortage_of(99),
    )
    assert decision.state.donor_groups == frozenset()
