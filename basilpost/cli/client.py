"""Talks to the administration API for the commands, and turns its errors into exits.

Exit codes: 0 done, 1 failed, 2 wrong use or settings.
"""

import asyncio
import dataclasses
import functools
import json
import urllib.parse
import uuid
from collections.abc import Callable
from typing import Any

import click
import tornado.httpclient

from basilpost.settings import loader

_REQUEST_SECONDS = 30.0
_CONNECT_SECONDS = 5.0
_TRIES = 3
_RETRY_PAUSE_SECONDS = 0.5
_REFUSED = 598
_UNANSWERED = 599
_UNSETTLED = 504
# Refusals that hold for all tries of a change, not just for the last one.
_CERTAIN = (409, 412)
_IN_DOUBT = (
    "\n  an earlier try was not answered and may have taken effect; look before you repeat it"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admin:
    """Where the administration API is, and the token to use."""

    url: str
    token: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """An answer of the API."""

    status: int
    body: Any


class RequestFailed(click.ClickException):
    """The API has refused, or could not be reached; the command fails."""

    exit_code = 1

    def __init__(self, answer: Answer, *, in_doubt: bool = False) -> None:
        doubt = in_doubt and answer.status not in _CERTAIN
        super().__init__(describe_error(answer) + (_IN_DOUBT if doubt else ""))
        self.answer = answer


class BadSettings(click.ClickException):
    """A file cannot be used."""

    exit_code = 2

    def __init__(self, error: loader.SettingsError) -> None:
        super().__init__(str(error))


def options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the options that say which node to ask, and passes an `Admin` as `admin`."""

    @click.option(
        "--admin",
        "url",
        envvar="BASILPOST_ADMIN",
        default="http://127.0.0.1:7001",
        show_default=True,
        help="Base URL of a node's administration API (environment: BASILPOST_ADMIN).",
    )
    @click.option(
        "--token",
        envvar="BASILPOST_TOKEN",
        default="",
        help="Operator's token; better given by the environment as BASILPOST_TOKEN.",
    )
    @functools.wraps(command)
    def with_admin(*args: Any, url: str, token: str, **kwargs: Any) -> Any:
        if not url.startswith(("http://", "https://")):
            raise click.UsageError(f"--admin {url!r} is no http:// or https:// URL")
        if not token:
            raise click.UsageError("a token is needed: set BASILPOST_TOKEN or give --token")
        return command(*args, admin=Admin(url=url.rstrip("/"), token=token), **kwargs)

    return with_admin


def path(*parts: str, **query: str) -> str:
    """Returns a path of the API from parts that need not be safe in URLs."""
    quoted = "/".join(urllib.parse.quote(part, safe="") for part in parts)
    given = {name: value for name, value in query.items() if value}
    return f"/admin/v1/{quoted}" + (f"?{urllib.parse.urlencode(given)}" if given else "")


def get(admin: Admin, target: str) -> Any:
    """Reads from the API; raises `RequestFailed` on any error."""
    return asyncio.run(request(admin, "GET", target))


def change(
    admin: Admin,
    method: str,
    target: str,
    *,
    body: Any = None,
    headers: dict[str, str] | None = None,
    repeatable: bool = True,
) -> Any:
    """Makes a change; raises `RequestFailed` on any error.

    A change that was not answered is repeated with the same idempotency key, so that it is made
    once however often it is sent. One that the API cannot recognise is sent once.
    """
    keyed = {"Idempotency-Key": uuid.uuid4().hex} | (headers or {})
    tries = _TRIES if repeatable else 1
    return asyncio.run(request(admin, method, target, body=body, headers=keyed, tries=tries))


async def request(
    admin: Admin,
    method: str,
    target: str,
    *,
    body: Any = None,
    headers: dict[str, str] | None = None,
    tries: int = 1,
) -> Any:
    """Sends a request, again while it is not answered and tries are left."""
    in_doubt = False
    for left in reversed(range(tries)):
        answer = await _send(admin, method, target, body, headers or {})
        if answer.status < 400:
            return answer.body
        in_doubt = in_doubt or answer.status in (_UNANSWERED, _UNSETTLED)
        if answer.status not in (_REFUSED, _UNANSWERED, _UNSETTLED) or not left:
            break
        await asyncio.sleep(_RETRY_PAUSE_SECONDS)
    raise RequestFailed(answer, in_doubt=in_doubt and method != "GET")


async def _send(
    admin: Admin, method: str, target: str, body: Any, headers: dict[str, str]
) -> Answer:
    sent = json.dumps(body).encode() if body is not None else None
    wanted = tornado.httpclient.HTTPRequest(
        admin.url + target,
        method=method,
        body=sent,
        headers={"Authorization": f"Bearer {admin.token}"} | headers,
        request_timeout=_REQUEST_SECONDS,
        connect_timeout=_CONNECT_SECONDS,
        allow_nonstandard_methods=True,
    )
    try:
        found = await tornado.httpclient.AsyncHTTPClient().fetch(wanted, raise_error=False)
    except (OSError, tornado.httpclient.HTTPError) as error:
        message = f"no answer from {admin.url}: {error}"
        status = _REFUSED if isinstance(error, ConnectionRefusedError) else _UNANSWERED
        return Answer(status=status, body={"error": {"code": "no_answer", "message": message}})
    return Answer(status=found.code, body=_parse(found.body, admin.url))


def _parse(body: bytes, url: str) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        message = f"{url} does not answer as an administration API"
        return {"error": {"code": "not_basilpost", "message": message}}


def describe_error(answer: Answer) -> str:
    """Returns an error as lines for a person, with all details that the API gave."""
    error = answer.body.get("error", {}) if isinstance(answer.body, dict) else {}
    lines = [f"{error.get('message', 'no message')} ({error.get('code', answer.status)})"]
    lines += [
        f"  {one['path'] or one['file']}: found {one['found']}, allowed: {one['allowed']}"
        for one in error.get("errors") or ()
    ]
    if error.get("current_version") is not None:
        by = error.get("changed_by") or "another operator"
        lines.append(f"  it is now at version {error['current_version']}, changed by {by}")
    if error.get("attempt_id"):
        lines.append(f"  to find out, repeat it with Idempotency-Key {error['attempt_id']}")
    return "\n".join(lines)
