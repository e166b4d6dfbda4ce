"""Checks of a configuration object against the others: what it names, and what names it."""

from collections.abc import Iterator

from basilpost.core import data
from basilpost.settings import configuration, loader


def check_references(
    record: configuration.Record, config: data.Config
) -> tuple[loader.SettingError, ...]:
    """Checks an object against the other objects of a configuration."""
    match record:
        case data.Workspace():
            return (*_unknown_services(record, config), *_shared_keys(record, config))
        case data.Operator():
            return tuple(_shared_tokens(record, config))
    return ()


def check_removal(
    kind: configuration.Kind, name: str, config: data.Config
) -> tuple[loader.SettingError, ...]:
    """Checks that no other object still refers to one that is to be deleted."""
    if kind is not configuration.SERVICES:
        return ()
    users = [one.name for one in config.workspaces_by_name.values() if name in one.services]
    return tuple(
        loader.setting_error(
            kind.key(name), "", f"workspace {user} still names it", "an unused service"
        )
        for user in sorted(users)
    )


def check_administrators(
    name: str, record: configuration.Record | None, config: data.Config
) -> tuple[loader.SettingError, ...]:
    """Checks that somebody may still administer after a change of an operator's account."""
    before = config.operators_by_name.values()
    after = [*(one for one in before if one.name != name), record]
    if not any(_administers(one) for one in before) or any(_administers(one) for one in after):
        return ()
    allowed = "at least one operator who may administer"
    return (
        loader.setting_error(
            configuration.OPERATORS.key(name), "role", "the last administrator", allowed
        ),
    )


def _administers(record: configuration.Record | None) -> bool:
    return isinstance(record, data.Operator) and record.role == configuration.ROLES[-1]


def _unknown_services(
    workspace: data.Workspace, config: data.Config
) -> Iterator[loader.SettingError]:
    place = configuration.WORKSPACES.key(workspace.name)
    known = ", ".join(sorted(config.services_by_name)) or "no service is configured"
    return (
        loader.setting_error(place, f"services.{index}", repr(service), known)
        for index, service in enumerate(workspace.services)
        if service not in config.services_by_name
    )


def _shared_keys(workspace: data.Workspace, config: data.Config) -> Iterator[loader.SettingError]:
    """A key must tell one workspace, or a caller would act for another one."""
    owner_by_digest = {
        digest: other.name
        for other in config.workspaces_by_name.values()
        for digest in other.key_digests
        if other.name != workspace.name
    }
    place = configuration.WORKSPACES.key(workspace.name)
    return (
        loader.setting_error(place, f"key_digests.{index}", f"a key of {owner_by_digest[digest]}",
                     "a key of this workspace only")  # fmt: skip
        for index, digest in enumerate(workspace.key_digests)
        if digest in owner_by_digest
    )


def _shared_tokens(operator: data.Operator, config: data.Config) -> Iterator[loader.SettingError]:
    """A token must tell one operator, or the audit trail would name the wrong one."""
    place = configuration.OPERATORS.key(operator.name)
    return (
        loader.setting_error(
            place, "token_digest", f"the token of {other.name}", "a token of its own"
        )
        for other in config.operators_by_name.values()
        if other.name != operator.name and other.token_digest == operator.token_digest
    )
