"""Sends a controller's orders: under its authority, at the weight store's rate, once each."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from basilpost.core import clock
from basilpost.groups import authority, order_planning, runner_api
from basilpost.groups import context as contexts
from basilpost.groups import view as views

# An accepted order is sent again only if a status from this much later still lacks its effect.
_REPORT_LAG_SECONDS = 2.0


class OrderSender:
    """Sends orders for one fabric domain.

    Attributes:
        refused_vms: Ids of VMs whose runners refused an order because of its old fencing number.
    """

    def __init__(
        self,
        *,
        context: contexts.Context,
        authority: authority.Authority,
        on_accepted: Callable[[str], None],
        log: Any,
    ) -> None:
        self.refused_vms: set[str] = set()
        self._context = context
        self._authority = authority
        self._on_accepted = on_accepted
        self._log = log
        self._accepted_by_vm: dict[str, tuple[runner_api.Order, float]] = {}

    def reset(self) -> None:
        """Clears the record of orders, since the domain has another holder now."""
        self.refused_vms.clear()
        self._accepted_by_vm.clear()

    async def send(
        self,
        planned_orders: Iterable[order_planning.PlannedOrder],
        probes_by_id: dict[str, views.ProbeResult],
    ) -> None:
        """Sends the orders that are due, and waits for their answers."""
        due = [planned for planned in planned_orders if self._is_due(planned, probes_by_id)]
        await asyncio.gather(*(self._send(planned) for planned in due))

    def _is_due(
        self, planned: order_planning.PlannedOrder, probes_by_id: dict[str, views.ProbeResult]
    ) -> bool:
        """Returns True if an order may be sent now; takes a load from the budget if it needs one."""
        accepted = self._accepted_by_vm.get(planned.vm_id)
        probe = probes_by_id.get(planned.vm_id)
        if accepted is not None and accepted[0] == planned.order and probe is not None:
            if probe.asked_at < accepted[1] + _REPORT_LAG_SECONDS:
                return False
        if not self._authority.may_order(checks_fence=self._checks_fence(planned.service)):
            return False
        return not planned.loads_weights or self._context.load_budget.try_acquire()

    def _checks_fence(self, service: str) -> bool:
        configured = self._context.directory.config().services_by_name.get(service)
        return configured is not None and configured.checks_fence

    async def _send(self, planned: order_planning.PlannedOrder) -> None:
        if not self._authority.may_order(checks_fence=self._checks_fence(planned.service)):
            return
        sent_at = clock.monotonic()
        result = await self._context.runner_client.order(
            planned.address, planned.order, timeout=self._context.timing.order
        )
        if isinstance(result, runner_api.Accepted):
            self._accepted_by_vm[planned.vm_id] = (planned.order, sent_at)
            self._on_accepted(planned.vm_id)
            return
        self._log.warning("order_failed", vm=planned.vm_id, reason=result.reason)
        if isinstance(result, runner_api.StaleFence):
            self.refused_vms.add(planned.vm_id)
