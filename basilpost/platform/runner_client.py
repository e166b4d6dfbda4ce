"""Sends orders to runners over the platform's HTTP interface."""

import asyncio
import json
from typing import Any

from basilpost.core import catalog
from basilpost.groups import joins, orders
from basilpost.platform import decode, headers
from basilpost.store import http_calls

_ORDER_PATH = "/api/order"
# Answers to orders and reports have some hundred bytes; runners in trouble may send without end.
_MAX_ANSWER_BYTES = 262_144
# Mode of a CLOSE order in which the head finishes the requests that it has.
_FINISH_REQUESTS = "queue"
# Reports are up to 0.2 s old. A JOIN that is refused because an order was begun after the report is
# sent again with a later one.
_JOIN_ATTEMPTS = 3
_REPORT_RETRY_SECONDS = 0.1


class PlatformRunnerClient(orders.RunnerClient):
    """Posts each order on a new connection: a kept one may have gone silent and delay the order."""

    async def send(self, order: orders.Order, *, fence: int, timeout: float) -> orders.Result:
        """Posts one order with its fencing number and maps the status to a result."""
        if order.kind is orders.Kind.JOIN:
            return await self._join(order, fence, timeout=timeout)
        reply = await self._post(order, _body(order, fence), timeout=timeout)
        return _result(order, reply)

    async def responds(self, vm: catalog.Vm, *, timeout: float) -> bool:
        """Returns True if the runner answers a status request in time, with any HTTP status."""
        client = _client(vm)
        reply = await client.read(headers.REPORT_PATH, timeout=timeout)
        client.close()
        return isinstance(reply, http_calls.Reply)

    async def _join(self, order: orders.Order, fence: int, *, timeout: float) -> orders.Result:
        """Posts a JOIN that depends on the runner's report."""
        for attempts_left in reversed(range(_JOIN_ATTEMPTS)):
            report = await self._report(order.vm, timeout=timeout)
            if isinstance(report, orders.Unanswered):
                return report
            expected = joins.condition(order, report)
            if isinstance(expected, orders.Result):
                return expected
            condition = {} if expected is None else {"expected": expected}
            reply = await self._post(order, _body(order, fence) | condition, timeout=timeout)
            if not (isinstance(reply, http_calls.Reply) and reply.status == 409 and attempts_left):
                break
            await asyncio.sleep(_REPORT_RETRY_SECONDS)
        return _result(order, reply)

    async def _report(self, vm: catalog.Vm, *, timeout: float) -> orders.Report | orders.Unanswered:
        client = _client(vm)
        reply = await client.read(headers.REPORT_PATH, timeout=timeout)
        client.close()
        if isinstance(reply, http_calls.NoReply):
            return orders.Unanswered(reason=f"report of {vm.vm_id}: {reply.reason}")
        if reply.status == 404:
            # A runner without reports counts no orders.
            return orders.Report(group="", begun_orders=None, incarnation=None)
        if reply.status != 200:
            return orders.Unanswered(reason=f"report of {vm.vm_id}: status {reply.status}")
        report = decode.report(reply.body)
        if isinstance(report, decode.Malformed):
            return orders.Unanswered(reason=f"report of {vm.vm_id}: {report.reason}")
        return report

    async def _post(
        self, order: orders.Order, body: dict[str, Any], *, timeout: float
    ) -> http_calls.Reply | http_calls.NoReply:
        call = http_calls.Call(
            method="POST",
            path=_ORDER_PATH,
            headers={"Content-Type": "application/json", headers.EXPECT_VM: order.vm.vm_id},
            body=json.dumps(body).encode(),
        )
        return await _client(order.vm).write(call, timeout=timeout)


def _result(order: orders.Order, reply: http_calls.Reply | http_calls.NoReply) -> orders.Result:
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
