"""Sends requests by way of another node while this one has no path to the runners.

The other node chooses the target and sends the request once; it counts it in all limits on what
targets get. This node keeps what concerns the caller: deadline, attempts, retry budget, and the events
that a stream has sent. A request that has come by a detour is never sent on another one.
"""

import dataclasses
import math
import random
from collections.abc import Awaitable, Callable

import prometheus_client
import tornado.httputil

from basilpost.core import addresses, channels, clock, failure, names
from basilpost.core import kernel as kernel_
from basilpost.gateway import answer_sinks, attempts, detour_headers, inbound, request_admission
from basilpost.members import node_table, path_states, peers, reachability
from basilpost.routing import header_dialect
from basilpost.settings import pool_schema

CONNECT_SECONDS = 0.5
# Time for the way between the nodes, by which the other node's time budget is shorter.
HOP_SECONDS = 0.01
# A node that cannot send requests now is avoided for this long, and one that could not be reached for
# longer: records of nodes that have lost power stay. If all are avoided, a request tries one of them.
AVOID_SECONDS = 0.5
AVOID_UNREACHED_SECONDS = 5.0
# Nodes that are tried for a request. For a second after a cut a node may not know who has a path.
MAX_TRIED_NODES = 8
# Cost of a node in another failure domain, in requests in flight.
OTHER_DOMAIN_COST = 0.5
# Refusals that concern the other node alone, so that a third one may send the request.
NODE_REFUSALS = frozenset(
    {"no_path", "older_configuration", "starting", "stopping", "keys_not_fresh", "cut_by_stop"}
)
# Causes of a failed detour for which there is no code of a refusal.
UNREACHED_CAUSE = "unreached"
UNKNOWN_CAUSE = "unknown"
# The other node gives up a little earlier than this one would.
DEADLINE_CODE = "deadline"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Detour:
    """A node that can send requests for this one.

    Attributes:
        node_id: Id of the node.
        address: `host:port` at which it takes them.
        incarnation: Id of the run of its process.
    """

    node_id: str
    address: str
    incarnation: str


class Detours:
    """Chooses nodes for requests that this node cannot send, and passes the answers on.

    Attributes:
        pool: Connections to other nodes.
    """

    def __init__(
        self,
        *,
        kernel: kernel_.Kernel,
        failure_domain: str,
        dialect: header_dialect.HeaderDialect,
        rng: random.Random,
    ) -> None:
        self.pool = channels.Pool(on_unread=self._log_unread)
        self._node_id = kernel.node_id
        self._log = kernel.log
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._table = kernel.find(names.NODE_TABLE, node_table.NodeTable)
        self._reachability = kernel.find(names.REACHABILITY, reachability.Reachability)
        self._failure_domain = failure_domain
        self._dialect = dialect
        self._rng = rng
        self._in_flight_by_node: dict[str, int] = {}
        self._avoided_until_by_node: dict[str, float] = {}
        self._refused_total = prometheus_client.Counter(
            "basilpost_detours_refused_total",
            "Requests of this node that another node did not send, by the reason",
            ["cause"],
            registry=kernel.registry,
        )
        usable = prometheus_client.Gauge(
            "basilpost_detour_nodes",
            "Other nodes that may send requests for this one, as far as it knows",
            registry=kernel.registry,
        )
        usable.set_function(lambda: len(self._usable_nodes()))

    def choose(self, progress: attempts.Progress) -> Detour | None:
        """Returns a node that was not tried for a request, None if there is none or enough were."""
        if len(progress.tried_nodes) >= MAX_TRIED_NODES:
            return None
        service = progress.admitted.service.name
        untried = [
            node_id
            for node_id in self._usable_nodes(service)
            if node_id not in progress.tried_nodes
        ]
        now = clock.elapsed()
        candidates = [
            node_id
            for node_id in untried
            if self._avoided_until_by_node.get(node_id, -math.inf) <= now
        ]
        others = [node_id for node_id in candidates if node_id != progress.detour_node]
        best = min(others or candidates, key=self._cost, default=None)
        if best is None and not progress.tried_nodes:
            best = min(untried, key=self._avoided_until_by_node.__getitem__, default=None)
        if best is None:
            return None
        record = self._table.records_by_id[best]
        return Detour(node_id=best, address=detour_address(record), incarnation=record.incarnation)

    @property
    def available(self) -> bool:
        """Returns True if some node may be able to send requests for this one."""
        return bool(self._usable_nodes())

    def explain_refusal(self, progress: attempts.Progress) -> str:
        """Returns why no node is left that could send a request, as a text for its refusal."""
        usable = self._usable_nodes(progress.admitted.service.name)
        others = len(self._table.records_by_id.keys() - {self._node_id, *usable})
        return (
            f"of {len(usable)} nodes that may send it, {len(progress.tried_nodes)} were asked; "
            f"{others} are known to be down or to reach no runner"
        )

    def _usable_nodes(self, service: str = path_states.ALL_RUNNERS) -> list[str]:
        """Returns the live nodes that have not told that they reach no runner of a service."""
        return [
            node_id
            for node_id in self._peers.live_nodes()
            if node_id != self._node_id
            and node_id in self._table.records_by_id
            and addresses.is_valid(self._table.records_by_id[node_id].peer_address)
            and self._reachability.may_send(node_id, service)
        ]

    def _cost(self, node_id: str) -> tuple[bool, float, float]:
        """Returns the cost of a node; those that are known to have a path go before all others."""
        record = self._table.records_by_id[node_id]
        in_other_domain = record.failure_domain != self._failure_domain
        in_flight = self._in_flight_by_node.get(node_id, 0)
        cost = in_flight + OTHER_DOMAIN_COST * in_other_domain
        return not self._reachability.confirms(node_id), cost, self._rng.random()

    async def send(
        self,
        progress: attempts.Progress,
        request: inbound.Request,
        detour: Detour,
        *,
        last_event: str,
        sink: answer_sinks.AnswerSink,
    ) -> channels.Head | attempts.NotSent | attempts.NotRun | attempts.Lost | failure.Refusal:
        """Sends a request by way of a node and reads the answer into the sink."""
        node_id = detour.node_id
        self._in_flight_by_node[node_id] = self._in_flight_by_node.get(node_id, 0) + 1
        try:
            return await self._exchange(progress, request, detour, last_event, sink)
        finally:
            self._in_flight_by_node[node_id] -= 1
            if not self._in_flight_by_node[node_id]:
                del self._in_flight_by_node[node_id]

    async def _exchange(
        self,
        progress: attempts.Progress,
        request: inbound.Request,
        detour: Detour,
        last_event: str,
        sink: answer_sinks.AnswerSink,
    ) -> channels.Head | attempts.NotSent | attempts.NotRun | attempts.Lost | failure.Refusal:
        channel = await self.pool.acquire(
            detour.address,
            timeout=CONNECT_SECONDS,
            # On a kept connection the answer to a request without an id could not be attributed.
            fresh=not progress.repeatable or not progress.admitted.call.request_id,
            lifetime=detour.incarnation,
            request_id=progress.admitted.call.request_id,
        )
        if isinstance(channel, channels.ConnectFailed):
            self._refused_total.labels(UNREACHED_CAUSE).inc()
            return self._give_up_node(
                progress, detour, channel.reason, seconds=AVOID_UNREACHED_SECONDS
            )
        self._avoided_until_by_node.pop(detour.node_id, None)
        self._log.info(
            "request_detoured",
            request=progress.admitted.call.request_id,
            detour_node=detour.node_id,
            sends=progress.sends,
            last_event=last_event,
            left_ms=round(request_admission.seconds_left(progress.admitted) * 1000),
            requests=channel.reuse.requests,
            carried=channel.reuse.carried,
            unread=channel.reuse.unread,
        )
        progress.detour_node, progress.target = detour.node_id, ""
        progress.sends += 1
        keep = False
        try:
            sink.on_connected(channel)
            channel.send(
                request.method,
                request.target,
                self._headers(progress, request, last_event),
                request.body,
            )
            reader = _Reader(
                sink=sink,
                channel=channel,
                is_own=lambda head, report: self._is_own(progress, channel, head, report),
            )
            head = await channel.receive(on_head=reader.on_head, on_data=reader.on_data)
            if reader.is_foreign:
                self.pool.require_single_use(channel)
                return attempts.Lost(
                    reason=f"{detour.node_id}: an answer that may be to another request",
                    by_detour=True,
                    unattributed=True,
                )
            keep = isinstance(head, channels.Head)
            return self._classify(progress, detour, head, reader)
        finally:
            if keep:
                self.pool.release(channel)
            else:
                channel.close()

    def _is_own(
        self,
        progress: attempts.Progress,
        channel: channels.Channel,
        head: channels.Head,
        report: detour_headers.Report | None,
    ) -> bool:
        """Returns True if an answer is surely that to a request.

        It names the request, or its connection has carried no other one. Nodes of an earlier version
        name it only in the answers of runners.
        """
        named = report.request_id if report is not None else ""
        named = named or self._dialect.parse_response(head.status, head.headers).request_id
        if named:
            return named == progress.admitted.call.request_id
        return channel.requests == 1

    def _log_unread(self, channel: channels.Channel) -> None:
        self._log.warning(
            "connection_unread",
            address=channel.address,
            lifetime=channel.lifetime,
            requests=channel.requests,
        )

    def _headers(
        self, progress: attempts.Progress, request: inbound.Request, last_event: str
    ) -> tornado.httputil.HTTPHeaders:
        headers = self._dialect.detour_headers(
            request.headers,
            budget_seconds=request_admission.seconds_left(progress.admitted) - HOP_SECONDS,
            last_event_id=last_event,
        )
        headers.update(
            detour_headers.encode_context(
                detour_headers.DetourContext(
                    configuration=progress.admitted.configuration,
                    # The other node may reach targets to which this one could open no connection.
                    tried_targets=frozenset(progress.tried_targets - progress.unreached_targets),
                    may_move=progress.has_attempts_left,
                )
            )
        )
        return headers

    def _classify(
        self,
        progress: attempts.Progress,
        detour: Detour,
        head: channels.Head | channels.Broken,
        reader: "_Reader",
    ) -> channels.Head | attempts.NotSent | attempts.NotRun | attempts.Lost | failure.Refusal:
        report = reader.report
        if report is not None and report.target_id:
            progress.target = report.target_id
            progress.tried_targets.add(report.target_id)
        if isinstance(head, channels.Broken) or report is None:
            reason = head.reason if isinstance(head, channels.Broken) else "no report"
            if report is None:
                self._avoid(detour.node_id, AVOID_SECONDS)
            return attempts.Lost(reason=f"{detour.node_id}: {reason}", by_detour=True)
        code, message, cause = detour_headers.decode_error(reader.refusal_body)
        match report.result:
            case detour_headers.Result.ANSWERED:
                assert reader.head is not None
                return reader.head
            case detour_headers.Result.LOST if code == DEADLINE_CODE:
                return attempts.deadline_refusal(progress)
            case detour_headers.Result.LOST:
                return attempts.Lost(reason=f"{detour.node_id}: {message}", by_detour=True)
            case detour_headers.Result.NOT_RUN:
                progress.sends -= 1
                progress.rejections += 1
                return attempts.NotRun(reason=f"{detour.node_id}: {message}")
        progress.sends -= 1
        self._refused_total.labels(code or UNKNOWN_CAUSE).inc()
        if code in NODE_REFUSALS or not code:
            return self._give_up_node(progress, detour, message, seconds=AVOID_SECONDS)
        return failure.Refusal(
            reason=message,
            code=code,
            status=head.status,
            retry_after=_retry_after(head),
            cause=cause,
        )

    def _give_up_node(
        self, progress: attempts.Progress, detour: Detour, reason: str, *, seconds: float
    ) -> attempts.NotSent:
        progress.tried_nodes.add(detour.node_id)
        self._avoid(detour.node_id, seconds)
        return attempts.NotSent(reason=f"{detour.node_id}: {reason}")

    def _avoid(self, node_id: str, seconds: float) -> None:
        now = clock.elapsed()
        self._avoided_until_by_node = {
            known: until for known, until in self._avoided_until_by_node.items() if until > now
        } | {node_id: now + seconds}


class _Reader:
    """Passes the answer of a target to a sink, and keeps a refusal by the node.

    Attributes:
        is_foreign: True if the answer may be to another request; its connection is closed then.
        report: The node's report, None before the head has arrived or without a valid one.
        head: Head of the target's answer, None if there is none.
    """

    def __init__(
        self,
        *,
        sink: answer_sinks.AnswerSink,
        channel: channels.Channel,
        is_own: Callable[[channels.Head, detour_headers.Report | None], bool],
    ) -> None:
        self.is_foreign = False
        self.report: detour_headers.Report | None = None
        self.head: channels.Head | None = None
        self._sink = sink
        self._channel = channel
        self._is_own = is_own
        self._refusal = bytearray()

    @property
    def refusal_body(self) -> bytes:
        """Returns what has arrived of the body of a refusal."""
        return bytes(self._refusal)

    def on_head(self, head: channels.Head) -> None:
        """Reads the report; passes the head of a target's answer on."""
        report = detour_headers.decode_report(head.headers)
        if not self._is_own(head, report):
            self.is_foreign = True
            self._channel.close()
            return
        self.report = report
        if self.report is not None and self.report.result is detour_headers.Result.ANSWERED:
            self.head = dataclasses.replace(
                head, headers=detour_headers.without_detour(head.headers)
            )
            self._sink.on_head(self.head)

    def on_data(self, data: bytes) -> Awaitable[None] | None:
        """Passes a part of the body on."""
        if self.head is not None:
            return self._sink.on_chunk(data)
        self._refusal += data
        return None


def detour_address(record: node_table.NodeRecord) -> str:
    """Returns the `host:port` at which a node takes requests of other nodes."""
    host, _, port = record.peer_address.rpartition(":")
    return f"{host}:{int(port) + pool_schema.DETOUR_PORT_OFFSET}"


def _retry_after(head: channels.Head) -> float | None:
    try:
        return float(head.headers.get("Retry-After", ""))
    except ValueError:
        return None
