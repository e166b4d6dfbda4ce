"""The handler of calls to plain services.

A plain service is an ordinary HTTP service that serves no model, such as a ledger of deposits. It
runs beside the model engines, and each of its instances is a group with one member.
"""

from basilpost.core import data, failure, hashing, names
from basilpost.gateway import call_handler, dispatch, refusals, request_parsing
from basilpost.routing import interfaces
from basilpost.runs import ledger


class ServiceHandler(call_handler.CallHandler):
    """Forwards each call of a plain service to one of its instances."""

    async def get(self, service: str, path: str) -> None:
        """Forwards the call; the arguments are read from `path_args`."""
        await self.run_until_disconnect()

    post = put = delete = patch = get

    def may_be_repeat(self) -> bool:
        """Returns True if the request has an idempotency key."""
        return names.IDEMPOTENCY_HEADER in self.request.headers

    async def run(self, body: bytes) -> None:
        """Checks, admits and forwards the call, under a claim if it may not be repeated."""
        config = self.context.directory.config()
        workspace = self.calling_workspace(config)
        service = config.services_by_name.get(self.path_args[0])
        key = request_parsing.idempotency_key(self.request.headers)
        if isinstance(workspace, failure.Refusal):
            self.refuse(self.without_current_view(workspace))
            return
        if isinstance(key, failure.Refusal):
            self.refuse(key)
            return
        if service is None or service.kind is not data.ServiceKind.PLAIN:
            refusal = refusals.unknown_service(self.path_args[0])
            self.refuse(self.without_current_view(refusal))
            return
        result = await self._admit_and_run(workspace, service, key, body)
        if isinstance(result, failure.Refusal):
            self.refuse(result)
        else:
            self.answer(result)

    async def _admit_and_run(
        self, workspace: data.Workspace, service: data.Service, key: str, body: bytes
    ) -> dispatch.Answered | failure.Refusal:
        method = self.request.method or "GET"
        path = "/" + self.path_args[1]
        route = request_parsing.find_route(service, method, path)
        request = self.routing_request(workspace, service, body, idempotent=route.idempotent)
        if isinstance(request, failure.Refusal):
            return request
        if not route.idempotent and not key:
            return refusals.key_required()
        message = self._message(method, path, key, body)
        if not route.idempotent:
            return await self._run_claimed(workspace, request, message, key, route)
        refusal = self.node_refusal()
        ticket = refusal or self.context.admission.admit(request)
        if isinstance(ticket, failure.Refusal):
            return ticket
        try:
            return await self.context.dispatcher.fetch(request, message)
        finally:
            ticket.close()

    async def _run_claimed(
        self,
        workspace: data.Workspace,
        request: interfaces.Request,
        message: dispatch.Message,
        key: str,
        route: data.Route,
    ) -> dispatch.Answered | failure.Refusal:
        """Runs a call that may not be repeated, under a claim of its idempotency key.

        The outcome of a refusal holds for all calls with the key, not only for this one.
        """
        claimed_requests = self.context.claimed_requests
        digested = f"{message.method}\0{message.path}\0".encode() + message.body
        call = ledger.Call(
            workspace=workspace.name,
            service=request.service,
            key=key,
            digest=hashing.body_digest(digested),
            request_id=self.request_id,
            outcome_path=route.outcome_path,
        )
        if self.context.stopping:
            return await claimed_requests.look_up(call, request)
        refusal = self.node_refusal()
        ticket = refusal or self.context.admission.admit(request)
        if isinstance(ticket, failure.Refusal):
            return await claimed_requests.corrected_refusal(call, ticket)
        try:
            return await claimed_requests.run(call, request, message)
        finally:
            ticket.close()

    def _message(self, method: str, path: str, key: str, body: bytes) -> dispatch.Message:
        query = f"?{self.request.query}" if self.request.query else ""
        headers = {
            name: self.request.headers[name]
            for name in ("Content-Type", "Accept")
            if name in self.request.headers
        }
        if key:
            headers[names.IDEMPOTENCY_HEADER] = key
        return dispatch.Message(method=method, path=path + query, headers=headers, body=body)
