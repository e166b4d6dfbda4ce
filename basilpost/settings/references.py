"""Checks of references and shared secrets between configuration objects."""

from collections.abc import Iterator

from basilpost.core import data
from basilpost.settings import configuration, loader


def check_references(
    record: configuration.Record, config: data.Config
) -> tuple[loader.SettingError, ...]:
    """Returns the errors of an object against the other objects of a configuration."""
    match record:
        case data.Workspace():
            return (*_check_services(record, config), *_check_shared_keys(record, config))
        case data.Operator():
            return tuple(_check_shared_tokens(record, config))
    return ()


def check_removal(
    kind: configuration.Kind, name: str, config: data.Config
) -> tuple[loader.SettingError, ...]:
    """Returns an error for each object that still refers to the one to be deleted."""
    if kind is not configuration.SERVICES:
        return ()
    users = [
        workspace.name
        for workspace in config.workspaces_by_name.values()
        if name in workspace.services
    ]
    return tuple(
        loader.setting_error(
            kind.key(name), "", f"workspace {user} still names it", "an unused service"
        )
        for user in sorted(users)
    )


def check_administrators(
    name: str, record: configuration.Record | None, config: data.Config
) -> tuple[loader.SettingError, ...]:
    """Returns an error if a change of an operator's account removes the last administrator."""
    before = config.operators_by_name.values()
    after = [*(operator for operator in before if operator.name != name), record]
    if not any(_is_administrator(operator) for operator in before) or any(
        _is_administrator(operator) for operator in after
    ):
        return ()
    allowed = "at least one operator who may administer"
    return (
        loader.setting_error(
            configuration.OPERATORS.key(name), "role", "the last administrator", allowed
        ),
    )


def _is_administrator(record: configuration.Record | None) -> bool:
    return isinstance(record, data.Operator) and record.role == configuration.ROLES[-1]


def _check_services(
    workspace: data.Workspace, config: data.Config
) -> Iterator[loader.SettingError]:
    key = configuration.WORKSPACES.key(workspace.name)
    known = ", ".join(sorted(config.services_by_name)) or "no service is configured"
    return (
        loader.setting_error(key, f"services.{index}", repr(service), known)
        for index, service in enumerate(workspace.services)
        if service not in config.services_by_name
    )


def _check_shared_keys(
    workspace: data.Workspace, config: data.Config
) -> Iterator[loader.SettingError]:
    """Yields an error for each key of another workspace, because a key must identify the caller."""
    owner_by_digest = {
        digest: other.name
        for other in config.workspaces_by_name.values()
        for digest in other.key_digests
        if other.name != workspace.name
    }
    key = configuration.WORKSPACES.key(workspace.name)
    return (
        loader.setting_error(key, f"key_digests.{index}", f"a key of {owner_by_digest[digest]}",
                     "a key of this workspace only")  # fmt: skip
        for index, digest in enumerate(workspace.key_digests)
        if digest in owner_by_digest
    )


def _check_shared_tokens(
    operator: data.Operator, config: data.Config
) -> Iterator[loader.SettingError]:
    """Yields an error if another operator has the token, since audit entries name one operator."""
    key = configuration.OPERATORS.key(operator.name)
    return (
        loader.setting_error(
            key, "token_digest", f"the token of {other.name}", "a token of its own"
        )
        for other in config.operators_by_name.values()
        if other.name != operator.name and other.token_digest == operator.token_digest
    )
