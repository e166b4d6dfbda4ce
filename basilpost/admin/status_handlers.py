"""Handlers for the state of the system, versions in force, the audit trail and metrics."""

import re

import prometheus_client
import tornado.web

from basilpost.admin import answers, audit_reader, handlers, tokens
from basilpost.core import names
from basilpost.settings import configuration

_MAX_KEY_CHARACTERS = 200


class StatusHandler(handlers.Handler):
    """Serves the state of the system."""

    async def get(self) -> None:
        """Answers with nodes, groups, failure domains and versions in force."""
        if self.check_role(tokens.Role.READ):
            self.answer(await self.context.status.status())


class MetricsHandler(tornado.web.RequestHandler):
    """Serves the metrics of the node.

    They name workspaces and services, so they are not on the port of the callers.
    """

    def initialize(self, registry: prometheus_client.CollectorRegistry) -> None:
        """Receives the registry from the route."""
        self.registry = registry

    def get(self) -> None:
        """Answers in the Prometheus text format; scrapers send no token."""
        self.set_header("Content-Type", prometheus_client.CONTENT_TYPE_LATEST)
        self.write(prometheus_client.generate_latest(self.registry))


class InForceHandler(handlers.Handler):
    """Serves which live nodes have a version in force."""

    async def get(self) -> None:
        """Answers with each live node's version of an object."""
        if not self.check_role(tokens.Role.READ):
            return
        key = self.get_query_argument("key", "")
        version = self.get_query_argument("version", "")
        if not key.startswith(names.CONFIG_PREFIX) or len(key) > _MAX_KEY_CHARACTERS:
            return self.fail(answers.BadRequest(reason="key has to be that of a change"))
        if not re.fullmatch("[0-9]{1,18}", version, re.ASCII):
            return self.fail(answers.BadRequest(reason="version has to be a whole number"))
        self.answer(await self.context.status.in_force(key, int(version)))


class AuditHandler(handlers.Handler):
    """Serves the audit trail."""

    async def get(self) -> None:
        """Answers with the entries of one object, one workspace or all objects."""
        if not self.check_role(tokens.Role.READ):
            return
        workspace = self.get_query_argument("workspace", "")
        key = self.get_query_argument("key", "")
        if workspace:
            key = configuration.WORKSPACES.key(workspace)
        query = audit_reader.Query(key=key, since=self.get_query_argument("since", ""))
        trail = await self.context.audit_reader.read(query)
        if isinstance(trail, audit_reader.BadSince):
            return self.fail(trail)
        if self.account.role < tokens.Role.ADMINISTER:
            trail = audit_reader.exclude_prefix(trail, configuration.OPERATORS.prefix)
        self.answer(trail)
