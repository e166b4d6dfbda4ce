"""Handlers that list, read and change configuration objects."""

import dataclasses
import json
import uuid
from typing import Any

from basilpost.admin import answers, handlers, proposals, tokens
from basilpost.core import data, failure, names
from basilpost.settings import configuration

_MAX_ATTEMPT_CHARACTERS = 100


@dataclasses.dataclass(frozen=True, kw_only=True)
class ObjectView:
    """A configuration object in an answer.

    Attributes:
        name: Its name.
        key: Its key in the store.
        version: Its version, for If-Match.
        value: Its value as decoded JSON.
        changed_at: Time of the latest change, empty if not known.
        changed_by: Operator who made the latest change.
        reason: The operator's reason for it.
    """

    name: str
    key: str
    version: int
    value: dict[str, Any]
    changed_at: str = ""
    changed_by: str = ""
    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ObjectList:
    """All objects of a kind, ordered by key."""

    objects: tuple[ObjectView, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeView:
    """An accepted change; it is already in force on the node that answers."""

    key: str
    version: int
    attempt_id: str
    changed: bool


class ConfigurationHandler(handlers.Handler):
    """Serves all objects that the operator may read, by kind."""

    def get(self) -> None:
        """Answers with the objects as this node knows them."""
        if not self.check_role(tokens.Role.READ):
            return
        kinds = [kind for kind in configuration.KINDS if self.account.role >= read_role(kind)]
        self.answer({kind.name: list_objects(self, kind) for kind in kinds})


class KindHandler(handlers.Handler):
    """Serves the objects of one kind."""

    def get(self, path: str) -> None:
        """Answers with the objects as this node knows them."""
        kind = configuration.KINDS_BY_PATH[path]
        if self.check_role(read_role(kind)):
            self.answer(ObjectList(objects=list_objects(self, kind)))


class ObjectHandler(handlers.Handler):
    """Serves and changes one configuration object."""

    async def get(self, path: str, name: str) -> None:
        """Answers with the object as read from the store."""
        kind = configuration.KINDS_BY_PATH[path]
        if not self.check_role(read_role(kind)):
            return
        current = await self.context.changes.read(kind, name)
        if isinstance(current, proposals.NotWritten):
            return self.fail(current)
        view = view_object(kind, name, current)
        if view is None:
            return self.fail(proposals.Absent(reason=f"there is no {kind.key(name)}"))
        self.set_header("Etag", f'"{view.version}"')
        self.answer(view)

    async def put(self, path: str, name: str) -> None:
        """Creates or replaces the object."""
        raw = self.json_body()
        if isinstance(raw, answers.BadRequest):
            return self.fail(raw)
        await self._change(path, name, raw)

    async def delete(self, path: str, name: str) -> None:
        """Deletes the object."""
        await self._change(path, name, None)

    async def _change(self, path: str, name: str, raw: Any) -> None:
        if not self.check_role(tokens.Role.ADMINISTER):
            return
        kind = configuration.KINDS_BY_PATH[path]
        proposal = read_proposal(self, kind, name, raw)
        if isinstance(proposal, answers.BadRequest):
            return self.fail(proposal)
        answer_change(self, await self.context.changes.accept(proposal))


def read_role(kind: configuration.Kind) -> tokens.Role:
    """Returns the role needed to read a kind; operator accounts are for administrators only."""
    return tokens.Role.ADMINISTER if kind is configuration.OPERATORS else tokens.Role.READ


def read_proposal(
    handler: handlers.Handler, kind: configuration.Kind, name: str, raw: Any
) -> proposals.Proposal | answers.BadRequest:
    """Builds a proposal from the headers, the query and the decoded body of a request."""
    headers = handler.request.headers
    expected = answers.parse_version(headers.get("If-Match", ""), headers.get("If-None-Match", ""))
    if isinstance(expected, answers.BadRequest):
        return expected
    reason = handler.reason()
    if isinstance(reason, answers.BadRequest):
        return reason
    attempt_id = read_attempt_id(handler)
    if isinstance(attempt_id, answers.BadRequest):
        return attempt_id
    if not configuration.is_valid_name(name):
        return answers.BadRequest(reason=f"{name!r} cannot be a name", code="bad_name")
    return proposals.Proposal(
        kind=kind,
        name=name,
        raw=raw,
        expected=expected,
        actor=handler.account.name,
        reason=reason,
        attempt_id=attempt_id,
    )


def read_attempt_id(handler: handlers.Handler) -> str | answers.BadRequest:
    """Returns the Idempotency-Key of a request, or a new id if it has none.

    It is the id of one attempt to change an object. A client that repeats a request whose outcome
    it does not know sends the same key, so that the change is applied at most once.
    """
    given = handler.request.headers.get(names.IDEMPOTENCY_HEADER, "")
    if len(given) <= _MAX_ATTEMPT_CHARACTERS and all(
        _is_allowed_character(character) for character in given
    ):
        return given or uuid.uuid4().hex
    return answers.BadRequest(
        reason=f"{names.IDEMPOTENCY_HEADER} has at most {_MAX_ATTEMPT_CHARACTERS} letters, "
        "digits, dots, dashes or underscores",
        code="bad_idempotency_key",
    )


def answer_change(handler: handlers.Handler, result: proposals.Result) -> None:
    """Answers with the version of an accepted change, or with its failure."""
    if isinstance(result, failure.Failure):
        return handler.fail(result)
    handler.set_header("Etag", f'"{result.version}"')
    handler.set_header(names.OUTCOME_HEADER, failure.Outcome.RAN.value)
    handler.answer(
        ChangeView(
            key=result.key,
            version=result.version,
            attempt_id=result.attempt_id,
            changed=result.changed,
        )
    )


def list_objects(handler: handlers.Handler, kind: configuration.Kind) -> tuple[ObjectView, ...]:
    """Returns the objects of a kind as this node knows them."""
    views = (
        view_object(kind, stored.key.removeprefix(kind.prefix), proposals.decode_current(stored))
        for stored in handler.context.replica.items(kind.prefix)
    )
    return tuple(view for view in views if view is not None)


def view_object(
    kind: configuration.Kind, name: str, current: proposals.Current
) -> ObjectView | None:
    """Returns the view of an object, None if it does not exist."""
    if not current.exists or current.version is None:
        return None
    latest = current.stored.audit[-1] if current.stored.audit else _NO_ENTRY
    return ObjectView(
        name=name,
        key=kind.key(name),
        version=current.version,
        value=json.loads(current.stored.value),
        changed_at=latest.at,
        changed_by=latest.actor,
        reason=latest.reason,
    )


def _is_allowed_character(character: str) -> bool:
    return character.isascii() and (character.isalnum() or character in "._-")


_NO_ENTRY = data.AuditEntry(
    at="", actor="", node_id="", reason="", before="", after="", attempt_id=""
)
