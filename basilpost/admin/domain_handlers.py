"""Takes failure domains out of service and back, and creates API keys."""

import dataclasses
import uuid
from typing import Any

from basilpost.admin import answers, handlers, object_handlers, proposals, tokens
from basilpost.core import hashing, names
from basilpost.settings import configuration

_KEY_PREFIX = "bp"
_MAX_WRITE_TRIES = 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class NewKey:
    """A new API key; only its digest is stored, so it cannot be shown again."""

    workspace: str
    api_key: str
    digest: str
    version: int


class FailureDomainHandler(handlers.Handler):
    """Takes a failure domain out of service, or back in service."""

    async def post(self, name: str, direction: str) -> None:
        """Changes `in_service` of a failure domain and keeps its other fields."""
        if not self.check_role(tokens.Role.OPERATE):
            return
        raw = self.json_body()
        reason = raw if isinstance(raw, answers.BadRequest) else handlers.parse_required_reason(raw)
        if isinstance(reason, answers.BadRequest):
            return self.fail(reason)
        current = await self.context.changes.read(configuration.FAILURE_DOMAINS, name)
        if isinstance(current, proposals.NotWritten):
            return self.fail(current)
        if not current.exists and name not in self._domains_with_groups():
            return self.fail(
                proposals.Absent(reason=f"no failure domain {name} is configured or has groups")
            )
        proposal = self._make_proposal(name, direction == "in", reason, current)
        if isinstance(proposal, answers.BadRequest):
            return self.fail(proposal)
        object_handlers.answer_change(self, await self.context.changes.accept(proposal))

    def _domains_with_groups(self) -> set[str]:
        tables = self.context.directory.tables().values()
        return {group.failure_domain for table in tables for group in table.groups}

    def _make_proposal(
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
    """Creates API keys for workspaces."""

    async def post(self) -> None:
        """Adds the digest of a new key to a workspace and answers with the key."""
        if not self.check_role(tokens.Role.ADMINISTER):
            return
        raw = self.json_body()
        if isinstance(raw, answers.BadRequest):
            return self.fail(raw)
        workspace = raw.get("workspace")
        reason = handlers.check_reason(raw.get("reason", ""))
        if isinstance(reason, answers.BadRequest):
            return self.fail(reason)
        if not isinstance(workspace, str) or not configuration.is_valid_name(workspace):
            return self.fail(answers.BadRequest(reason="workspace has to be a name"))
        secret = tokens.new_secret(_KEY_PREFIX)
        result = await self._add_digest(workspace, hashing.key_digest(secret), reason)
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

    async def _add_digest(self, workspace: str, digest: str, reason: str) -> proposals.Result:
        """Adds a digest, and repeats that on the current version after a version conflict.

        A concurrent change of the workspace cannot make adding a key wrong.
        """
        attempt_id = uuid.uuid4().hex
        result: proposals.Result
        for _ in range(_MAX_WRITE_TRIES):
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
