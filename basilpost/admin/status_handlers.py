"""Shows the state of the system, where a version is in force, and the audit trail."""

import re

import prometheus_client
import tornado.web

from basilpost.admin import answers, audit_reader, handlers, tokens
from basilpost.core import names
from basilpost.settings import configuration

_MAX_KEY_CHARACTERS = 200


class StatusHandler(handlers.Handler):
    """The state of the system."""

    async def get(self) -> None:
        """Answers with nodes, groups, failure domains and versions in force."""
        if self.allowed(tokens.Role.READ):
            self.answer(await self.context.status.status())


class MetricsHandler(tornado.web.RequestHandler):
    """The node's metrics; they name workspaces and services, so callers do not get them."""

    def initialize(self, registry: prometheus_client.CollectorRegistry) -> None:
        """Takes the node's registry."""
        self.registry = registry

    def get(self) -> None:
        """Answers in the Prometheus text format, without a token, as scrapers expect."""
        self.set_header("Content-Type", prometheus_client.CONTENT_TYPE_LATEST)
        self.write(prometheus_client.generate_latest(self.registry))


class InForceHandler(handlers.Handler):
    """Which live nodes have a version in force."""

    async def get(self) -> None:
        """Answers with each live node's version of an object."""
        if not self.allowed(tokens.Role.READ):
            return
        key = self.get_query_argument("key", "")
        version = self.get_query_argument("version", "")
        if not key.startswith(names.CONFIG_PREFIX) or len(key) > _MAX_KEY_CHARACTERS:
            return self.fail(answers.BadRequest(reason="key has to be that of a change"))
        if not re.fullmatch("[0-9]{1,18}", version, re.ASCII):
            return self.fail(answers.BadRequest(reason="version has to be a whole number"))
        self.answer(await self.context.status.in_force(key, int(version)))


class AuditHandler(handlers.Handler):
    """The audit trail."""

    async def get(self) -> None:
        """Answers with the lines of one object, one workspace or all."""
        if not self.allowed(tokens.Role.READ):
            return
        workspace = self.get_query_argument("workspace", "")
        key = self.get_query_argument("key", "")
        if workspace:
            key = configuration.WORKSPACES.key(workspace)
        query = audit_reader.Query(key=key, since=self.get_query_argument("since", ""))
        trail = await self.context.trail.read(query)
        if isinstance(trail, audit_reader.BadSince):
            return self.fail(trail)
        if self.account.role < tokens.Role.ADMINISTER:
            trail = audit_reader.without(trail, configuration.OPERATORS.prefix)
        self.answer(trail)
