"""Authenticates operators by their tokens and checks their roles."""

import dataclasses
import enum
import secrets

from basilpost.core import data, failure, hashing

BOOTSTRAP_NAME = "bootstrap"
_TOKEN_BYTES = 32


class Role(enum.IntEnum):
    """A set of permissions; each role includes those with smaller values."""

    READ = 1
    OPERATE = 2
    ADMINISTER = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Account:
    """The operator that a token belongs to."""

    name: str
    role: Role


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoAccount(failure.Failure):
    """The token is missing or unknown."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoleMissing(failure.Failure):
    """The role of the operator does not permit the request."""


def identify(
    authorization: str, config: data.Config, *, bootstrap_digest: str
) -> Account | NoAccount:
    """Returns the operator of an `Authorization: Bearer TOKEN` header."""
    scheme, _, token = authorization.partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        return NoAccount(reason="a header Authorization: Bearer TOKEN is needed")
    digest = hashing.key_digest(token.strip())
    if bootstrap_digest and secrets.compare_digest(digest, bootstrap_digest):
        return Account(name=BOOTSTRAP_NAME, role=Role.ADMINISTER)
    operator = next(
        (
            operator
            for operator in config.operators_by_name.values()
            if operator.token_digest == digest
        ),
        None,
    )
    if operator is None:
        return NoAccount(reason="the token belongs to no operator")
    return Account(name=operator.name, role=Role[operator.role.upper()])


def require(account: Account, role: Role) -> RoleMissing | None:
    """Returns a failure unless the role of the operator includes `role`."""
    if account.role >= role:
        return None
    return RoleMissing(
        reason=f"{account.name} has the role {account.role.name.lower()}, "
        f"but this needs {role.name.lower()}"
    )


def new_secret(prefix: str) -> str:
    """Returns a new random API key or token after `prefix` and a dash."""
    return f"{prefix}-{secrets.token_urlsafe(_TOKEN_BYTES)}"
