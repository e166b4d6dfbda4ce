"""Sends a controller's orders: only under authority, within the weight store's rate, once each."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from basilpost.core import clock
from basilpost.groups import authority, order_planning, runner_api
from basilpost.groups import context as contexts
from basilpost.groups import view as views

_REPORT_LAG_SECONDS = 2.0


class OrderSender:
    """Sends orders for one fabric domain.

    Attributes:
        refused_vms: VMs whose runners have refused an order for its old fencing number.
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
        """Drops what has been sent, as the domain has another holder now."""
        self.refused_vms.clear()
        self._accepted_by_vm.clear()

    async def send(
        self,
        assignments: Iterable[order_planning.PlannedOrder],
        probes_by_id: dict[str, views.ProbeResult],
    ) -> None:
        """Sends the orders that are due, and waits for their answers."""
        due = [one for one in assignments if self._is_due(one, probes_by_id)]
        await asyncio.gather(*(self._send(one) for one in due))

    def _is_due(
        self, one: order_planning.PlannedOrder, probes_by_id: dict[str, views.ProbeResult]
    ) -> bool:
        """Returns True if an order may go out now and is not already on its way."""
        sent = self._accepted_by_vm.get(one.vm_id)
        probe = probes_by_id.get(one.vm_id)
        if sent is not None and sent[0] == one.order and probe is not None:
            if probe.asked_at < sent[1] + _REPORT_LAG_SECONDS:
                return False
        if not self._authority.may_order(checks_fence=self._checks_fence(one.service)):
            return False
        return not one.loads_weights or self._context.load_budget.try_acquire()

    def _checks_fence(self, service: str) -> bool:
        found = self._context.directory.config().services_by_name.get(service)
        return found is not None and found.checks_fence

    async def _send(self, one: order_planning.PlannedOrder) -> None:
        if not self._authority.may_order(checks_fence=self._checks_fence(one.service)):
            return
        sent_at = clock.monotonic()
        result = await self._context.runner_client.order(
            one.address, one.order, timeout=self._context.timing.order
        )
        if isinstance(result, runner_api.Accepted):
            self._accepted_by_vm[one.vm_id] = (one.order, sent_at)
            self._on_accepted(one.vm_id)
            return
        self._log.warning("order_failed", vm=one.vm_id, reason=result.reason)
        if isinstance(result, runner_api.StaleFence):
            self.refused_vms.add(one.vm_id)
