"""Handlers that need no target: health, readiness, the list of models, unknown paths."""

from basilpost.core import failure
from basilpost.gateway import context, refusals, request_parsing
from basilpost.members import standing


class AliveHandler(context.BaseHandler):
    """Answers liveness checks."""

    def get(self) -> None:
        """Answers 200 while the process runs."""
        self.write({"alive": True})


class ReadyHandler(context.BaseHandler):
    """Answers the load balancer's readiness checks."""

    def get(self) -> None:
        """Answers 200 if the node accepts requests, else 503 with the reason."""
        verdict = self.context.standing.check()
        if self.context.draining or not self.context.ready:
            self.set_status(503)
            self.write({"ready": False, "reason": "stopping or starting"})
        elif isinstance(verdict, standing.NotServing):
            self.set_status(503)
            self.write({"ready": False, "reason": verdict.reason})
        else:
            self.write({"ready": True})


class NoRouteHandler(context.BaseHandler):
    """Refuses requests for unknown paths."""

    def prepare(self) -> None:
        """Answers 404 before the body is read."""
        refusals.write(self, refusals.no_route(self.request.path))


class ModelsHandler(context.BaseHandler):
    """Lists the models that the caller's workspace may call."""

    def get(self) -> None:
        """Answers with the list in the format of OpenAI's API."""
        config = self.context.directory.config()
        workspace = self.context.key_index.find_workspace(config, self.request.headers)
        if isinstance(workspace, failure.Refusal):
            refusals.write(self, workspace)
            return
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "basilpost"}
            for name in request_parsing.model_names(config, workspace)
        ]
        self.write({"object": "list", "data": models})
