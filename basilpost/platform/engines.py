"""Orders to runners in the platform's form."""

import json
from typing import Any

from basilpost.core import catalog
from basilpost.groups import orders
from basilpost.platform import headers
from basilpost.store import http_calls

_ORDER_PATH = "/api/order"
_REPORT_PATH = "/api/report"


class PlatformEngines(orders.RunnerClient):
    """Posts each order on a connection of its own, so that none waits in a silent one."""

    async def send(self, order: orders.Order, *, fence: int, timeout: float) -> orders.Result:
        """Sends one order with a fencing number."""
        caller = http_calls.Caller(base_url=f"http://{order.vm.address}")
        call = http_calls.Call(
            method="POST",
            path=_ORDER_PATH,
            headers={"Content-Type": "application/json", headers.EXPECT_VM: order.vm.vm_id},
            body=json.dumps(_body(order, fence)).encode(),
        )
        reply = await caller.write(call, timeout=timeout)
        reason = f"{order.kind.value} {order.group} at {order.vm.vm_id}"
        if isinstance(reply, http_calls.NoReply):
            return orders.Unanswered(reason=f"{reason}: {reply.reason}")
        if reply.status in (200, 202):
            return orders.Accepted()
        if reply.status == 412:
            return orders.Outdated(reason=f"{reason}: status 412")
        if reply.status in (400, 409, 421):
            return orders.Unfit(reason=f"{reason}: status {reply.status}")
        return orders.Unanswered(reason=f"{reason}: status {reply.status}")

    async def responds(self, vm: catalog.Vm, *, timeout: float) -> bool:
        """Returns True if the runner answers a status request within the timeout."""
        caller = http_calls.Caller(base_url=f"http://{vm.address}")
        reply = await caller.read(_REPORT_PATH, timeout=timeout)
        caller.close()
        return isinstance(reply, http_calls.Reply)


def _body(order: orders.Order, fence: int) -> dict[str, Any]:
    body: dict[str, Any] = {"operation": order.kind.value, "fence": fence}
    if order.kind in (orders.Kind.JOIN, orders.Kind.STAGE):
        body["model"] = order.model
    if order.kind is not orders.Kind.STAGE:
        body |= {"group": order.group, "epoch": order.epoch}
    if order.kind is orders.Kind.JOIN:
        body["members"] = list(order.members)
    if order.kind is orders.Kind.CLOSE:
        body["closeMode"] = "cutoff" if order.at_once else "queue"
    return body
