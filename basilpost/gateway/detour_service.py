"""Takes the requests of other nodes that have no path to the runners, and sends each once.

Such a request is admitted as one of a caller: its key is checked here too. It is never sent on to a
third node, so that no loop can form.
"""

import asyncio
import json
from collections.abc import Callable

import prometheus_client
import tornado.httputil

from basilpost.core import clock, failure, kernel, listener, names
from basilpost.gateway import attempts, detour_headers, forwarding, inbound, request_admission
from basilpost.routing import crashes, header_dialect

# Starts the handler of a request as a task of the owner.
Spawn = Callable[..., "asyncio.Task[None]"]
# Admits a request, or refuses it.
Admit = Callable[[inbound.Request], request_admission.AdmittedRequest | failure.Refusal]


class DetourService(tornado.httputil.HTTPServerConnectionDelegate):
    """Answers the requests of other nodes.

    Attributes:
        server: The server for them.
    """

    def __init__(
        self,
        *,
        kernel: kernel.Kernel,
        make_server: Callable[[tornado.httputil.HTTPServerConnectionDelegate], listener.Listener],
        admit: Admit,
        forwarder: forwarding.Forwarder,
        make_body: inbound.MakeBody,
        spawn: Spawn,
    ) -> None:
        self.server = make_server(self)
        self._log = kernel.log
        self._dialect = kernel.find(names.HEADER_DIALECT, header_dialect.HeaderDialect)
        self._admit = admit
        self._forwarder = forwarder
        self._make_body = make_body
        self._spawn = spawn
        self._served = prometheus_client.Counter(
            "basilpost_detours_served_total",
            "Requests sent for nodes without a path to the runners, by result",
            ["result"],
            registry=kernel.registry,
        )

    def start_request(
        self, server_conn: object, request_conn: tornado.httputil.HTTPConnection
    ) -> tornado.httputil.HTTPMessageDelegate:
        """Returns the reader of a new request; part of Tornado's delegate interface."""
        return inbound.Request(
            connection=request_conn,
            server=self.server,
            handler=self._serve,
            make_body=self._make_body,
            spawn=lambda handling: self._spawn(handling, name="detour"),
        )

    async def _serve(self, request: inbound.Request, reply: inbound.Reply) -> None:
        began_at = clock.elapsed()
        request_id = self._dialect.parse_request(request.headers).request_id
        progress = self._begin(request)
        try:
            report, code = await self._answer(request, reply, progress, request_id)
            await reply.wait_sent()
        except asyncio.CancelledError:
            if request.caller_left:
                raise
            report, code = self._cut(reply, progress, request_id)
        self._served.labels(report.result.value).inc()
        self._log.info(
            "detour_served",
            request=request_id,
            result=report.result.value,
            code=code,
            target=report.target_id,
            ms=round((clock.elapsed() - began_at) * 1000),
        )

    def _begin(self, request: inbound.Request) -> attempts.Progress | failure.Refusal:
        """Returns the attempts that the other node has made, or why it must ask another node."""
        context = detour_headers.decode_context(request.headers)
        if context is None:
            return _refusal("bad_detour", "the request has no valid detour headers")
        request.headers = detour_headers.without_detour(request.headers)
        admitted = self._admit(request)
        if isinstance(admitted, failure.Refusal):
            return admitted
        if admitted.configuration < context.configuration:
            return _refusal(
                "older_configuration", f"only configuration {admitted.configuration} is known"
            )
        return attempts.Progress(
            admitted=admitted,
            fingerprint=crashes.request_fingerprint(
                admitted.workspace, request.target, request.body
            ),
            tried_targets=set(context.tried_targets),
            may_move=context.may_move,
        )

    async def _answer(
        self,
        request: inbound.Request,
        reply: inbound.Reply,
        progress: attempts.Progress | failure.Refusal,
        request_id: str,
    ) -> tuple[detour_headers.Report, str]:
        """Sends the request and answers; returns the report and the code of a refusal."""
        if isinstance(progress, failure.Refusal):
            return self._refuse(reply, progress, request_id), progress.code
        result = await self._forwarder.send_for_peer(progress, request, reply)
        if reply.started and not isinstance(result, attempts.Streamed):
            # The other node sees that the stream is incomplete, and may resume it.
            reply.abort()
            return _report(detour_headers.Result.LOST, progress), ""
        match result:
            case attempts.Streamed():
                return _report(detour_headers.Result.ANSWERED, progress), ""
            case attempts.WholeAnswer():
                headers = self._dialect.response_headers(result.head.headers)
                reply.send_whole(result.head.status, result.head.reason, headers, result.body)
                return _report(detour_headers.Result.ANSWERED, progress), ""
            case failure.Refusal() if not progress.sends:
                return self._refuse(reply, result, request_id), result.code
            case attempts.NotRun():
                report = _report(detour_headers.Result.NOT_RUN, progress)
            case _:
                report = _report(detour_headers.Result.LOST, progress)
        code = result.code if isinstance(result, failure.Refusal) else "target_lost"
        self._send_error(reply, report, status=502, code=code, reason=result.reason)
        return report, code

    def _cut(
        self,
        reply: inbound.Reply,
        progress: attempts.Progress | failure.Refusal,
        request_id: str,
    ) -> tuple[detour_headers.Report, str]:
        """Ends a request that a planned stop of this node has cancelled."""
        code, reason = "cut_by_stop", "the node stopped before the answer was complete"
        if isinstance(progress, attempts.Progress) and progress.sends:
            report = _report(detour_headers.Result.LOST, progress)
        else:
            report = detour_headers.Report(
                result=detour_headers.Result.REFUSED, request_id=request_id
            )
        if reply.started:
            reply.abort()
        else:
            self._send_error(reply, report, status=503, code=code, reason=reason)
        return report, code

    def _refuse(
        self, reply: inbound.Reply, refusal: failure.Refusal, request_id: str
    ) -> detour_headers.Report:
        report = detour_headers.Report(result=detour_headers.Result.REFUSED, request_id=request_id)
        self._send_error(
            reply,
            report,
            status=refusal.status,
            code=refusal.code,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            cause=refusal.cause,
        )
        return report

    @staticmethod
    def _send_error(
        reply: inbound.Reply,
        report: detour_headers.Report,
        *,
        status: int,
        code: str,
        reason: str,
        retry_after: float | None = None,
        cause: str = "",
    ) -> None:
        reply.added_headers = report.headers()
        headers = tornado.httputil.HTTPHeaders({"Content-Type": "application/json"})
        if retry_after is not None:
            headers["Retry-After"] = f"{retry_after:.2f}"
        body = {"error": {"code": code, "message": reason, "cause": cause}}
        reply.send_whole(status, "", headers, json.dumps(body).encode())


def _report(result: detour_headers.Result, progress: attempts.Progress) -> detour_headers.Report:
    return detour_headers.Report(
        result=result,
        target_id=progress.target,
        request_id=progress.admitted.call.request_id,
    )


def _refusal(code: str, reason: str) -> failure.Refusal:
    return failure.Refusal(reason=reason, code=code, status=503)
