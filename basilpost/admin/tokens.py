"""Tells operators by their tokens, and what their roles allow."""

import dataclasses
import enum
import secrets

from basilpost.core import data, failure, hashing

BOOTSTRAP_NAME = "bootstrap"
_TOKEN_BYTES = 32


class Role(enum.IntEnum):
    """What an operator may do; each role includes those before it."""

    READ = 1
    OPERATE = 2
    ADMINISTER = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Account:
    """An operator as told by a token."""

    name: str
    role: Role


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoAccount(failure.Failure):
    """The token is missing or belongs to nobody."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoleMissing(failure.Failure):
    """The operator's role does not allow this."""


def identify(
    authorization: str, config: data.Config, *, bootstrap_digest: str
) -> Account | NoAccount:
    """Finds the operator of an `Authorization: Bearer TOKEN` header."""
    scheme, _, token = authorization.partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        return NoAccount(reason="a header Authorization: Bearer TOKEN is needed")
    digest = hashing.key_digest(token.strip())
    if bootstrap_digest and secrets.compare_digest(digest, bootstrap_digest):
        return Account(name=BOOTSTRAP_NAME, role=Role.ADMINISTER)
    found = next(
        (one for one in config.operators_by_name.values() if one.token_digest == digest), None
    )
    if found is None:
        return NoAccount(reason="the token belongs to no operator")
    return Account(name=found.name, role=Role[found.role.upper()])


def require(account: Account, role: Role) -> RoleMissing | None:
    """Returns a failure if an operator's role does not include the one needed."""
    if account.role >= role:
        return None
    return RoleMissing(
        reason=f"{account.name} has the role {account.role.name.lower()}, "
        f"but this needs {role.name.lower()}"
    )


def new_secret(prefix: str) -> str:
    """Makes a random API key or token that nobody can guess."""
    return f"{prefix}-{secrets.token_urlsafe(_TOKEN_BYTES)}"
