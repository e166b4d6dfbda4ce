"""Shows and settles non-idempotent requests, and releases quarantined ones."""

import dataclasses

from basilpost.admin import answers, handlers, ports, tokens
from basilpost.core import failure


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuarantineList:
    """All quarantined requests."""

    quarantined: tuple[ports.QuarantineView, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunList:
    """Requests whose outcome is open."""

    runs: tuple[ports.RunView, ...]


class RunsHandler(handlers.Handler):
    """All non-idempotent requests whose outcome is open."""

    async def get(self) -> None:
        """Answers with the list, those that still run included."""
        if not self.allowed(tokens.Role.READ):
            return
        found = await self.context.runs.unsettled()
        if isinstance(found, failure.Failure):
            return self.fail(found)
        self.answer(RunList(runs=found))


class RunHandler(handlers.Handler):
    """One non-idempotent request, by workspace, service and idempotency key."""

    async def get(self, workspace: str, service: str, key: str) -> None:
        """Answers with what is known of the request."""
        if not self.allowed(tokens.Role.READ):
            return
        found = await self.context.runs.show(workspace, service, key)
        self._answer(found)

    async def post(self, workspace: str, service: str, key: str) -> None:
        """Settles a request whose outcome is unknown: `{"ran": true, "reason": "..."}`."""
        if not self.allowed(tokens.Role.OPERATE):
            return
        raw = self.json_body()
        if isinstance(raw, answers.BadRequest):
            return self.fail(raw)
        reason = handlers.required_reason(raw, also=("ran",))
        if isinstance(reason, answers.BadRequest):
            return self.fail(reason)
        ran = raw.get("ran")
        if not isinstance(ran, bool):
            return self.fail(answers.BadRequest(reason="ran has to be true or false"))
        settlement = ports.Settlement(
            workspace=workspace,
            service=service,
            key=key,
            ran=ran,
            actor=self.account.name,
            reason=reason,
        )
        self._answer(await self.context.runs.settle(settlement))

    def _answer(self, found: ports.RunView | failure.Failure) -> None:
        if isinstance(found, failure.Failure):
            return self.fail(found)
        self.answer(found)


class QuarantineHandler(handlers.Handler):
    """All quarantined requests."""

    async def get(self) -> None:
        """Answers with the list."""
        if not self.allowed(tokens.Role.READ):
            return
        found = await self.context.quarantine.list()
        if isinstance(found, failure.Failure):
            return self.fail(found)
        self.answer(QuarantineList(quarantined=found))


class ReleaseHandler(handlers.Handler):
    """The release of one quarantined request."""

    async def post(self, fingerprint: str) -> None:
        """Lets a request through again: `{"reason": "..."}`."""
        if not self.allowed(tokens.Role.OPERATE):
            return
        raw = self.json_body()
        reason = raw if isinstance(raw, answers.BadRequest) else handlers.required_reason(raw)
        if isinstance(reason, answers.BadRequest):
            return self.fail(reason)
        found = await self.context.quarantine.release(
            fingerprint, actor=self.account.name, reason=reason
        )
        if isinstance(found, failure.Failure):
            return self.fail(found)
        self.answer(found)
