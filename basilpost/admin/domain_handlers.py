"""Takes failure domains out of service and back, and makes API keys."""

import dataclasses
import uuid
from typing import Any

from basilpost.admin import answers, handlers, object_handlers, proposals, tokens
from basilpost.core import hashing, names
from basilpost.settings import configuration

_KEY_PREFIX = "bp"
_RACES = 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class NewKey:
    """A new API key; it is told once and cannot be read again."""

    workspace: str
    api_key: str
    digest: str
    version: int


class FailureDomainHandler(handlers.Handler):
    """Takes a failure domain out of service or puts it back."""

    async def post(self, name: str, direction: str) -> None:
        """Changes `in_service` only; everything else of the failure domain stays."""
        if not self.allowed(tokens.Role.OPERATE):
            return
        raw = self.json_body()
        reason = raw if isinstance(raw, answers.BadRequest) else handlers.required_reason(raw)
        if isinstance(reason, answers.BadRequest):
            return self.fail(reason)
        current = await self.context.changes.read(configuration.FAILURE_DOMAINS, name)
        if isinstance(current, proposals.NotWritten):
            return self.fail(current)
        if not current.exists and name not in self._known_domains():
            return self.fail(
                proposals.Absent(reason=f"no failure domain {name} is configured or has groups")
            )
        proposal = self._proposal(name, direction == "in", reason, current)
        if isinstance(proposal, answers.BadRequest):
            return self.fail(proposal)
        object_handlers.answer_change(self, await self.context.changes.accept(proposal))

    def _known_domains(self) -> set[str]:
        tables = self.context.directory.tables().values()
        return {group.failure_domain for table in tables for group in table.groups}

    def _proposal(
        self, name: str, in_service: bool, reason: str, current: proposals.Current
    ) -> proposals.Proposal | answers.BadRequest:
        attempt_id = object_handlers.read_attempt_id(self)
        if isinstance(attempt_id, answers.BadRequest):
            return attempt_id
        view = object_handlers.view_object(configuration.FAILURE_DOMAINS, name, current)
        value: dict[str, Any] = view.value if view is not None else {}
        return proposals.Proposal(
            kind=configuration.FAILURE_DOMAINS,
            name=name,
            raw=value | {"in_service": in_service},
            expected=current.shown_version,
            actor=self.account.name,
            reason=reason,
            attempt_id=attempt_id,
        )


class KeyHandler(handlers.Handler):
    """Makes API keys for workspaces."""

    async def post(self) -> None:
        """Adds a new key to a workspace and tells it, once."""
        if not self.allowed(tokens.Role.ADMINISTER):
            return
        raw = self.json_body()
        if isinstance(raw, answers.BadRequest):
            return self.fail(raw)
        workspace = raw.get("workspace")
        reason = handlers.check_reason(raw.get("reason", ""))
        if isinstance(reason, answers.BadRequest):
            return self.fail(reason)
        if not isinstance(workspace, str) or not configuration.valid_name(workspace):
            return self.fail(answers.BadRequest(reason="workspace has to be a name"))
        secret = tokens.new_secret(_KEY_PREFIX)
        result = await self._add(workspace, hashing.key_digest(secret), reason)
        if not isinstance(result, proposals.Accepted):
            return self.fail(result)
        self.set_header(names.OUTCOME_HEADER, "ran")
        self.answer(
            NewKey(
                workspace=workspace,
                api_key=secret,
                digest=hashing.key_digest(secret),
                version=result.version,
            ),
            status=201,
        )

    async def _add(self, workspace: str, digest: str, reason: str) -> proposals.Result:
        """Adds a digest; other changes that come first are taken in, for none of them matters."""
        attempt_id = uuid.uuid4().hex
        result: proposals.Result
        for _ in range(_RACES):
            current = await self.context.changes.read(configuration.WORKSPACES, workspace)
            if isinstance(current, proposals.NotWritten):
                return current
            view = object_handlers.view_object(configuration.WORKSPACES, workspace, current)
            if view is None:
                return proposals.Absent(reason=f"there is no workspace {workspace}")
            digests = [*view.value.get("key_digests", ()), digest]
            result = await self.context.changes.accept(
                proposals.Proposal(
                    kind=configuration.WORKSPACES,
                    name=workspace,
                    raw=view.value | {"key_digests": digests},
                    expected=view.version,
                    actor=self.account.name,
                    reason=reason or "a new API key",
                    attempt_id=attempt_id,
                )
            )
            if not isinstance(result, proposals.Lost):
                break
        return result
