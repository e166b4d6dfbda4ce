"""The gateway's pages that need no target: health, readiness and the list of models."""

from basilpost.core import failure
from basilpost.gateway import context, refusals, request_parsing
from basilpost.members import standing


class AliveHandler(context.BaseHandler):
    """Says that the process runs."""

    def get(self) -> None:
        """Answers 200."""
        self.write({"alive": True})


class ReadyHandler(context.BaseHandler):
    """Says whether the balancer should send work here."""

    def get(self) -> None:
        """Answers 200, or 503 with the reason."""
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
    """Answers paths that do not exist."""

    def prepare(self) -> None:
        """Refuses."""
        refusals.write(self, refusals.no_route(self.request.path))


class ModelsHandler(context.BaseHandler):
    """Lists the models that a workspace may call."""

    def get(self) -> None:
        """Answers OpenAI's list."""
        config = self.context.directory.config()
        workspace = self.context.key_index.find_workspace(config, self.request.headers)
        if isinstance(workspace, failure.Refusal):
            refusals.write(self, workspace)
            return
        found = [
            {"id": name, "object": "model", "created": 0, "owned_by": "basilpost"}
            for name in request_parsing.model_names(config, workspace)
        ]
        self.write({"object": "list", "data": found})
