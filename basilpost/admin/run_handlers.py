"""Handlers that show and settle non-idempotent requests, and list and release quarantined ones."""

import dataclasses

from basilpost.admin import answers, handlers, ports, tokens
from basilpost.core import failure


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuarantineList:
    """All quarantined requests."""

    quarantined: tuple[ports.QuarantineView, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunList:
    """Requests whose outcome is not final."""

    runs: tuple[ports.RunView, ...]


class RunsHandler(handlers.Handler):
    """Serves all non-idempotent requests whose outcome is not final."""

    async def get(self) -> None:
        """Answers with the list, running requests included."""
        if not self.check_role(tokens.Role.READ):
            return
        runs = await self.context.runs.unsettled()
        if isinstance(runs, failure.Failure):
            return self.fail(runs)
        self.answer(RunList(runs=runs))


class RunHandler(handlers.Handler):
    """Serves one non-idempotent request, by workspace, service and idempotency key."""

    async def get(self, workspace: str, service: str, key: str) -> None:
        """Answers with the record of the request."""
        if not self.check_role(tokens.Role.READ):
            return
        run = await self.context.runs.show(workspace, service, key)
        self._answer(run)

    async def post(self, workspace: str, service: str, key: str) -> None:
        """Settles a request whose outcome is unknown: `{"ran": true, "reason": "..."}`."""
        if not self.check_role(tokens.Role.OPERATE):
            return
        raw = self.json_body()
        if isinstance(raw, answers.BadRequest):
            return self.fail(raw)
        reason = handlers.parse_required_reason(raw, other_keys=("ran",))
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

    def _answer(self, run: ports.RunView | failure.Failure) -> None:
        if isinstance(run, failure.Failure):
            return self.fail(run)
        self.answer(run)


class QuarantineHandler(handlers.Handler):
    """Serves all quarantined requests."""

    async def get(self) -> None:
        """Answers with the list."""
        if not self.check_role(tokens.Role.READ):
            return
        quarantined = await self.context.quarantine.list()
        if isinstance(quarantined, failure.Failure):
            return self.fail(quarantined)
        self.answer(QuarantineList(quarantined=quarantined))


class ReleaseHandler(handlers.Handler):
    """Releases one quarantined request."""

    async def post(self, fingerprint: str) -> None:
        """Ends the quarantine of a request: `{"reason": "..."}`."""
        if not self.check_role(tokens.Role.OPERATE):
            return
        raw = self.json_body()
        reason = raw if isinstance(raw, answers.BadRequest) else handlers.parse_required_reason(raw)
        if isinstance(reason, answers.BadRequest):
            return self.fail(reason)
        entry = await self.context.quarantine.release(
            fingerprint, actor=self.account.name, reason=reason
        )
        if isinstance(entry, failure.Failure):
            return self.fail(entry)
        self.answer(entry)
