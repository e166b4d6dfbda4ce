"""Decides on which condition a VM is sent a JOIN, so that a late one cannot take it out of a group.

An order that gets no answer may be carried out seconds later, when the VM is in another group that
serves requests. A JOIN therefore names the number of orders that the runner had begun while it was in
no serving group. Each order that begins something raises that number, so the runner refuses the JOIN
once it has begun any other order, whichever controller that came from.
"""

from basilpost.groups import orders, reported_groups


def condition(order: orders.Order, report: orders.Report) -> int | None | orders.Result:
    """Returns the number of begun orders that a JOIN is to name, None if the runner does not count.

    Returns a result if the JOIN is not to be sent: the VM is in its group already, or in another one.
    """
    if report.group and report.group == order.group:
        return orders.Accepted()
    known = report.incarnation is not None and order.vm.incarnation
    if known and report.incarnation != order.vm.incarnation:
        return orders.Unfit(reason=f"{order.vm.vm_id} has started again")
    if reported_groups.is_serving(report.group):
        if report.group != order.left_group:
            return orders.Unfit(reason=f"{order.vm.vm_id} is in {report.group}")
        # The report is older than the VM's entry, which shows that the VM has left. LEAVE was the
        # next order that the runner began.
        return None if report.begun_orders is None else report.begun_orders + 1
    return report.begun_orders
