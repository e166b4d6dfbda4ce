"""Sends orders to runners over the platform's HTTP interface."""

import json
from typing import Any

from basilpost.core import catalog
from basilpost.groups import orders
from basilpost.platform import headers
from basilpost.store import http_calls

_ORDER_PATH = "/api/order"
# Answers to orders and reports have some hundred bytes; runners in trouble may send without end.
_MAX_ANSWER_BYTES = 262_144
# Mode of a CLOSE order in which the head finishes the requests that it has.
_FINISH_REQUESTS = "queue"


class PlatformRunnerClient(orders.RunnerClient):
    """Posts each order on a new connection: a kept one may have gone silent and delay the order."""

    async def send(self, order: orders.Order, *, fence: int, timeout: float) -> orders.Result:
        """Posts one order with its fencing number and maps the status to a result."""
        client = _client(order.vm)
        call = http_calls.Call(
            method="POST",
            path=_ORDER_PATH,
            headers={"Content-Type": "application/json", headers.EXPECT_VM: order.vm.vm_id},
            body=json.dumps(_body(order, fence)).encode(),
        )
        reply = await client.write(call, timeout=timeout)
        description = f"{order.kind.value} {order.group} at {order.vm.vm_id}"
        if isinstance(reply, http_calls.NoReply):
            return orders.Unanswered(reason=f"{description}: {reply.reason}")
        if reply.status in (200, 202):
            return orders.Accepted()
        if reply.status == 412:
            return orders.Outdated(reason=f"{description}: status 412")
        if reply.status in (400, 409, 421):
            return orders.Unfit(reason=f"{description}: status {reply.status}")
        return orders.Unanswered(reason=f"{description}: status {reply.status}")

    async def responds(self, vm: catalog.Vm, *, timeout: float) -> bool:
        """Returns True if the runner answers a status request in time, with any HTTP status."""
        client = _client(vm)
        reply = await client.read(headers.REPORT_PATH, timeout=timeout)
        client.close()
        return isinstance(reply, http_calls.Reply)


def _client(vm: catalog.Vm) -> http_calls.HttpClient:
    return http_calls.HttpClient(
        base_url=f"http://{vm.address}", max_answer_bytes=_MAX_ANSWER_BYTES
    )


def _body(order: orders.Order, fence: int) -> dict[str, Any]:
    body: dict[str, Any] = {"operation": order.kind.value, "fence": fence}
    if order.kind in (orders.Kind.JOIN, orders.Kind.STAGE):
        body["model"] = order.model
    if order.kind is not orders.Kind.STAGE:
        body |= {"group": order.group, "epoch": order.epoch}
    if order.kind is orders.Kind.JOIN:
        body["members"] = list(order.members)
    if order.kind is orders.Kind.CLOSE:
        body["closeMode"] = _FINISH_REQUESTS
    return body
