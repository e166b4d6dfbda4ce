"""Decides the next orders for the VMs of one service from their reports.

The functions are pure and run again after each change. An order is sent again as long as the
reports do not show its effect. Two rules keep the groups consistent:

- A VM is ordered to join a group only when it reports no group or a standby group, each time that
  the order is sent, and the head of a group leaves before any other member. `joins` has the runner
  refuse a late JOIN. So no VM is in two groups, whatever orders are still in transit.
- A group is opened only after every member has reported that it is ready in it, and never once a
  controller may have ordered a member to leave it: that order may be carried out while the group
  serves. So a controller opens only the groups that it has formed, and forms those that it finds
  unopened anew; their members have the weights.

When VMs are lost one after another, the survivors of a group keep their weights and form a new
group with a spare of the same fabric domain that has the weights in memory or on its host.
"""

import collections
import dataclasses
import itertools
from collections.abc import Iterable

from basilpost.core import catalog
from basilpost.groups import (
    formation,
    given_up,
    orders,
    pool_state,
    rebalancing,
    reported_groups,
    spares,
    weight_loads,
)
from basilpost.members import answer_evidence

# An order whose effect is not reported is sent again after this time; runners report effects at
# once.
RESEND_SECONDS = 1.0
# A group is no longer formed if some member does not report it after this many times the model's
# load time plus the extra seconds. A STAGE order is sent again after this many times the load time.
LOAD_TIMEOUT_FACTOR = 3.0
FORMING_TIMEOUT_EXTRA_SECONDS = 4.0
# A runner that stops as planned goes on to work for at most this long.
FINISH_SECONDS = 10.0
# A group that no spare can replace takes requests for this long after a member has said that it will
# stop. The other half of that time is left to the requests that it has.
SERVE_WITH_LEAVING_SECONDS = FINISH_SECONDS / 2
# Survivors of a group leave it and join spares within this time.
REBUILD_SECONDS = 2.0


def decide(view: pool_state.View, state: pool_state.State) -> pool_state.Decision:
    """Returns the orders to send now and the state for the next decision."""
    view = dataclasses.replace(
        view,
        vms=tuple(
            vm for vm in view.vms if reported_groups.lifetime_id(vm) not in view.unresponsive
        ),
    )
    models_by_name = {model.name: model for model in view.models}
    groups = reported_groups.from_vms(view.vms, models_by_name)
    state = given_up.with_sizes_and_work_times(view, groups, _with_times(view, groups, state))
    state = rebalancing.rebalance(view, groups, _updated(view, groups, state))
    due = list(_group_orders(view, groups, state))
    forming_ids = {
        reported_groups.lifetime_id(vm)
        for members in state.forming_by_group.values()
        for vm in members
    }
    free = [vm for vm in view.vms if _is_free(vm, forming_ids)]
    formed = formation.form_groups(view, groups, free, _survivors(view, groups, state), state)
    joins = [
        join
        for name, members in itertools.chain(state.forming_by_group.items(), formed.items())
        for join in _join_orders(view, name, members)
    ]
    joined_ids = {reported_groups.lifetime_id(vm) for members in formed.values() for vm in members}
    unassigned = [vm for vm in free if reported_groups.lifetime_id(vm) not in joined_ids]
    due += joins
    settled = [
        vm
        for vm in unassigned
        if formation.free_seconds(view, state, vm) >= formation.SETTLE_SECONDS
    ]
    serving_counts = _serving_counts(groups, formed)
    planned: list[weight_loads.PlannedGroup] = []
    if view.loads_at_once is not None:
        planned = weight_loads.plan_groups(
            view, state, unassigned, _group_counts(view, groups, state, formed)
        )
    awaiting = {reported_groups.lifetime_id(vm) for group in planned for vm in group.to_load}
    preparations = list(
        spares.preparation_orders(
            [vm for vm in settled if reported_groups.lifetime_id(vm) not in awaiting],
            view.models,
            loaded_by_vm=state.loaded_by_vm,
            serving_counts=serving_counts,
            next_epoch=view.next_epoch + len(formed),
        )
    )
    if view.loads_at_once is None:
        due += preparations
    else:
        due += [order for order in preparations if order.kind is orders.Kind.JOIN]
        due += weight_loads.load_orders(view, state, unassigned, planned, serving_counts)
    now_due, loads = _within_load_limit(
        [_with_left_group(state, order) for order in due if _is_due(view, state, order)],
        view.loads_left,
    )
    state = dataclasses.replace(
        state,
        last_order_by_vm=state.last_order_by_vm
        | {
            reported_groups.lifetime_id(order.vm): pool_state.SentOrder(
                order=order, sent_at=view.now
            )
            for order in now_due
        },
        forming_by_group=state.forming_by_group | formed,
        forming_since_by_group=state.forming_since_by_group | dict.fromkeys(formed, view.now),
        abandoned_groups=state.abandoned_groups.union(
            order.group for order in now_due if order.kind is orders.Kind.LEAVE
        ),
    )
    return pool_state.Decision(
        orders=tuple(now_due),
        state=state,
        epochs_used=len(formed) + len(preparations),
        loads_used=loads,
    )


def _updated(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    state: pool_state.State,
) -> pool_state.State:
    """Returns the state as updated by the reports, without VMs and groups that are gone."""
    vms_by_lifetime = {reported_groups.lifetime_id(vm): vm for vm in view.vms}
    forming = {
        name: members
        for name, members in state.forming_by_group.items()
        if _is_still_forming(view, groups, state, name, members, vms_by_lifetime)
    }
    free = {key for key, vm in vms_by_lifetime.items() if reported_groups.is_spare(vm)}
    reported_names = {vm.member.group for vm in view.vms if vm.member is not None}
    return pool_state.State(
        last_order_by_vm={k: v for k, v in state.last_order_by_vm.items() if k in vms_by_lifetime},
        forming_by_group=forming,
        forming_since_by_group={
            name: at for name, at in state.forming_since_by_group.items() if name in forming
        },
        free_since_by_vm={
            key: state.free_since_by_vm.get(key, view.changed_at_by_vm.get(key, view.now))
            for key in free
        },
        loaded_by_vm={
            key: _reported_model(vm) or state.loaded_by_vm.get(key, "")
            for key, vm in vms_by_lifetime.items()
        },
        reservation_by_vm={
            key: reservation
            for key, reservation in state.reservation_by_vm.items()
            if view.now < reservation.until
            and key in vms_by_lifetime
            and _serving_model(vms_by_lifetime[key]) != reservation.model
        },
        donor_groups=state.donor_groups & reported_names,
        shortage_since=state.shortage_since,
        dissolving_since_by_group={
            group.name: state.dissolving_since_by_group.get(group.name, view.now)
            for group in groups
            if group.name not in forming and _can_no_longer_serve(view, group, state)
        },
        incomplete_since_by_group=state.incomplete_since_by_group,
        leaving_since_by_group=state.leaving_since_by_group,
        size_by_group=state.size_by_group,
        worked_at_by_group=state.worked_at_by_group,
        abandoned_groups=state.abandoned_groups,
    )


def _with_times(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    state: pool_state.State,
) -> pool_state.State:
    """Returns the state with the times since when groups have lacked an entry, or a member leaves."""
    incomplete, leaving = state.incomplete_since_by_group, state.leaving_since_by_group
    return dataclasses.replace(
        state,
        incomplete_since_by_group={
            group.name: incomplete.get(
                group.name, view.missing_since_by_group.get(group.name, view.now)
            )
            for group in groups
            if not group.complete
        },
        leaving_since_by_group={
            group.name: leaving.get(group.name, _leaving_since(view, group))
            for group in groups
            if group.leaving
        },
    )


def _leaving_since(view: pool_state.View, group: reported_groups.ReportedGroup) -> float:
    """Returns when a member of a group said that it will stop, also if another controller saw it."""
    ids = [reported_groups.lifetime_id(vm) for vm in group.members if vm.leaving]
    return min((view.changed_at_by_vm.get(key, view.now) for key in ids), default=view.now)


def _group_counts(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    state: pool_state.State,
    formed: dict[str, tuple[catalog.Vm, ...]],
) -> collections.Counter[str]:
    """Returns the number of groups by model that serve or will serve without further loads.

    A group that has just lost a member counts, as its survivors often find a spare at once.
    """
    names = [
        group.name
        for group in groups
        if group.complete
        or view.now - state.dissolving_since_by_group.get(group.name, view.now) < REBUILD_SECONDS
    ]
    names += [name for name in (*state.forming_by_group, *formed) if name not in names]
    return collections.Counter(map(reported_groups.model_from_name, names))


def _serving_counts(
    groups: tuple[reported_groups.ReportedGroup, ...], formed: dict[str, tuple[catalog.Vm, ...]]
) -> collections.Counter[tuple[str, str]]:
    """Returns the number of VMs in complete or newly formed groups, by fabric domain and model."""
    members = itertools.chain(
        ((group.name, group.members) for group in groups if group.complete), formed.items()
    )
    return collections.Counter(
        (vm.fabric_domain, reported_groups.model_from_name(name))
        for name, vms in members
        for vm in vms
    )


def _can_no_longer_serve(
    view: pool_state.View, group: reported_groups.ReportedGroup, state: pool_state.State
) -> bool:
    """Returns True if the group can no longer serve requests; its members will soon be free."""
    if given_up.is_given_up(group, state):
        return not given_up.still_works(view, group, state)
    if not group.complete:
        return not _still_serves(view, group, state)
    return group.has_broken_member


def _survivors(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    state: pool_state.State,
) -> list[catalog.Vm]:
    """Returns the VMs of groups that began to dissolve recently; they will soon be free."""
    recent = {
        name
        for name, since in state.dissolving_since_by_group.items()
        if view.now - since < formation.PARTNER_WAIT_SECONDS
    }
    return [vm for group in groups if group.name in recent for vm in group.members]


def _serving_model(vm: catalog.Vm) -> str:
    """Returns the model of the serving group that a VM reports, empty if it is in none."""
    return (
        ""
        if reported_groups.is_spare(vm) or vm.member is None
        else reported_groups.model_from_name(vm.member.group)
    )


def _reported_model(vm: catalog.Vm) -> str:
    """Returns the model that a VM's report shows to be in its memory, empty if it shows none."""
    if vm.member is None or vm.member.state is catalog.MemberState.JOINING:
        return ""
    return reported_groups.model_from_name(vm.member.group)


def _is_still_forming(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    state: pool_state.State,
    name: str,
    members: tuple[catalog.Vm, ...],
    vms_by_lifetime: dict[str, catalog.Vm],
) -> bool:
    model = next(
        (
            candidate
            for candidate in view.models
            if candidate.name == reported_groups.model_from_name(name)
        ),
        None,
    )
    current = [vms_by_lifetime.get(reported_groups.lifetime_id(vm)) for vm in members]
    if model is None or any(vm is None or vm.leaving for vm in current):
        return False
    reported = [vm.member.group for vm in current if vm is not None and vm.member is not None]
    if reported.count(name) == len(members):
        return False
    if any(group.complete and group.name != name and group.name in reported for group in groups):
        # Orders that a predecessor sent were carried out late.
        return False
    timeout = model.load_seconds * LOAD_TIMEOUT_FACTOR + FORMING_TIMEOUT_EXTRA_SECONDS
    return view.now - state.forming_since_by_group[name] < timeout


def _group_orders(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    state: pool_state.State,
) -> Iterable[orders.Order]:
    """Returns the orders that open, close and dissolve the reported groups."""
    for group in groups:
        if group.name in state.forming_by_group:
            continue
        if given_up.is_given_up(group, state):
            yield from given_up.orders_for(view, group, state)
            continue
        if not group.complete and _still_serves(view, group, state):
            continue
        head = group.head
        if (
            head is not None
            and group.state is catalog.MemberState.OPEN
            and not group.complete
            and _finishes_requests(view, group, state)
        ):
            # A head that leaves cuts off its requests, also those that have no event yet.
            yield _order(orders.Kind.CLOSE, group, head, cause=orders.Cause.INCOMPLETE)
            continue
        if not group.complete or group.state is catalog.MemberState.BROKEN:
            cause = orders.Cause.BROKEN if group.complete else orders.Cause.INCOMPLETE
            yield from _dissolution_orders(group, cause)
        elif group.name in state.donor_groups:
            yield from _donor_orders(group)
        elif group.leaving:
            yield from _leaving_group_orders(view, group, state)
        elif group.state is catalog.MemberState.READY and _all_ready(group):
            if group.name in state.abandoned_groups or group.epoch < view.first_epoch:
                yield from _dissolution_orders(group, orders.Cause.ABANDONED)
            else:
                yield _order(orders.Kind.OPEN, group, group.members[0])
        elif group.has_broken_member:
            yield from _dissolution_orders(group, orders.Cause.BROKEN)


def _still_serves(
    view: pool_state.View, group: reported_groups.ReportedGroup, state: pool_state.State
) -> bool:
    """Returns True if an incomplete group still answers requests, or did a moment ago.

    The missing member is then only cut off from the store, so that its entry expired, and still
    works: without it the head could not answer.
    """
    is_finishing = group.model is None or group.state in (None, catalog.MemberState.CLOSING)
    if is_finishing and _finishes_requests(view, group, state):
        return True
    if group.state is not catalog.MemberState.OPEN:
        return False
    if group.name in view.answering:
        return True
    return group.name not in view.stalled and answer_evidence.proves_service(
        view.answered_at_by_group.get(group.name),
        incomplete_since=state.incomplete_since_by_group.get(group.name, view.now),
        now=view.now,
    )


def _finishes_requests(
    view: pool_state.View, group: reported_groups.ReportedGroup, state: pool_state.State
) -> bool:
    """Returns True if the head of an incomplete group may still work on the requests that it has.

    The entry of a runner that stops as planned may be removed before it stops, and a configuration may
    remove the model. A head without its members stalls, and one that leaves cuts its requests off.
    """
    if group.name in view.stalled:
        return False
    seconds = view.now - state.incomplete_since_by_group.get(group.name, view.now)
    # A head that has left as ordered has an entry without the group, and no requests.
    is_head_there = group.head is not None or group.name in view.unlisted_heads
    if is_head_there and seconds < view.work_delay_seconds:
        return True
    return group.name in view.working and seconds < FINISH_SECONDS


def _all_ready(group: reported_groups.ReportedGroup) -> bool:
    ready = (catalog.MemberState.READY, catalog.MemberState.OPEN)
    return all(vm.member is not None and vm.member.state in ready for vm in group.members)


def _dissolution_orders(
    group: reported_groups.ReportedGroup, cause: orders.Cause
) -> Iterable[orders.Order]:
    """Returns the orders that dissolve a group: first the head leaves, then the other members."""
    head = group.head
    members = (head,) if head is not None else group.members
    return [_order(orders.Kind.LEAVE, group, vm, cause=cause) for vm in members]


def _leaving_group_orders(
    view: pool_state.View, group: reported_groups.ReportedGroup, state: pool_state.State
) -> Iterable[orders.Order]:
    """Returns the orders that dissolve a group with a leaving member.

    It serves until spares can replace the member, but not so long that its requests would stall.
    """
    if group.state is catalog.MemberState.OPEN:
        leaving_since = state.leaving_since_by_group.get(group.name, view.now)
        may_serve = view.now - leaving_since < SERVE_WITH_LEAVING_SECONDS
        if may_serve and not _has_replacement(view, group):
            return []
        # The nodes move the streams that other groups can take; only they know which these are.
        return [
            _order(orders.Kind.CLOSE, group, group.members[0], cause=orders.Cause.MEMBER_LEAVES)
        ]
    if group.state is catalog.MemberState.CLOSING:
        return []
    return _dissolution_orders(group, orders.Cause.MEMBER_LEAVES)


def _donor_orders(group: reported_groups.ReportedGroup) -> Iterable[orders.Order]:
    """Returns the orders that dissolve a donor group after its requests have finished."""
    if group.state is catalog.MemberState.OPEN:
        return [_order(orders.Kind.CLOSE, group, group.members[0], cause=orders.Cause.DONOR)]
    if group.state is catalog.MemberState.CLOSING:
        return []
    return _dissolution_orders(group, orders.Cause.DONOR)


def _has_replacement(view: pool_state.View, group: reported_groups.ReportedGroup) -> bool:
    domain = group.members[0].fabric_domain
    needed = sum(vm.leaving for vm in group.members)
    assert group.model is not None
    spares = sum(
        vm.fabric_domain == domain
        and reported_groups.is_spare(vm)
        and not vm.leaving
        and group.model.name in vm.staged
        for vm in view.vms
    )
    return spares >= needed


def _is_free(vm: catalog.Vm, forming_ids: set[str]) -> bool:
    return (
        reported_groups.is_spare(vm)
        and not vm.leaving
        and reported_groups.lifetime_id(vm) not in forming_ids
    )


def _join_orders(
    view: pool_state.View, name: str, members: tuple[catalog.Vm, ...]
) -> Iterable[orders.Order]:
    """Returns the orders to join a group for those of its members that are in no serving group."""
    ids = tuple(vm.vm_id for vm in members)
    spares_by_lifetime = {
        reported_groups.lifetime_id(vm): vm for vm in view.vms if reported_groups.is_spare(vm)
    }
    current = (spares_by_lifetime.get(reported_groups.lifetime_id(vm)) for vm in members)
    epoch = reported_groups.epoch_from_name(name)
    return [
        orders.Order(
            kind=orders.Kind.JOIN,
            vm=vm,
            group=name,
            epoch=epoch,
            model=reported_groups.model_from_name(name),
            members=ids,
        )
        for vm in current
        if vm is not None
    ]


def _order(
    kind: orders.Kind,
    group: reported_groups.ReportedGroup,
    vm: catalog.Vm,
    *,
    cause: orders.Cause | None = None,
) -> orders.Order:
    return orders.Order(kind=kind, vm=vm, group=group.name, epoch=group.epoch, cause=cause)


def _is_due(view: pool_state.View, state: pool_state.State, order: orders.Order) -> bool:
    """Returns True unless the same order was sent to the VM too short a time ago to be repeated."""
    last = state.last_order_by_vm.get(reported_groups.lifetime_id(order.vm))
    if last is None or _repeats(last.order, order) is False:
        return True
    wait = RESEND_SECONDS
    if order.kind is orders.Kind.STAGE:
        model = next(candidate for candidate in view.models if candidate.name == order.model)
        wait = model.load_seconds * LOAD_TIMEOUT_FACTOR
    return view.now - last.sent_at >= wait


def _with_left_group(state: pool_state.State, order: orders.Order) -> orders.Order:
    """Returns a JOIN with the group that the VM was ordered to leave by its last order, if any."""
    last = state.last_order_by_vm.get(reported_groups.lifetime_id(order.vm))
    if order.kind is not orders.Kind.JOIN or last is None:
        return order
    left = last.order.group if last.order.kind is orders.Kind.LEAVE else ""
    return dataclasses.replace(order, left_group=left)


def _repeats(one: orders.Order, other: orders.Order) -> bool:
    """Returns True if one order repeats the other.

    Orders to join a standby group are compared without the group, since each has a new epoch.
    """
    if len(one.members) == len(other.members) == 1:
        return (one.kind, one.model) == (other.kind, other.model)
    return (one.kind, one.group, one.model) == (other.kind, other.group, other.model)


def _within_load_limit(due: list[orders.Order], loads_left: int) -> tuple[list[orders.Order], int]:
    """Returns the due orders within the limit of weight loads, and the number of these loads.

    JOIN orders precede STAGE orders in `due` and so use the limit first.
    """
    chosen: list[orders.Order] = []
    loads = 0
    for order in due:
        loading = order.kind in (orders.Kind.JOIN, orders.Kind.STAGE) and (
            order.model not in order.vm.staged
        )
        if loading and loads >= loads_left:
            continue
        loads += loading
        chosen.append(order)
    return chosen, loads
