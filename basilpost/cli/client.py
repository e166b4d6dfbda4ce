"""HTTP client of the administration API for the commands.

Errors become click exceptions with exit codes: 0 success, 1 failure, 2 wrong usage or settings.
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
_MAX_TRIES = 3
_RETRY_PAUSE_SECONDS = 0.5
# Statuses of this client for a request without an HTTP answer; see `Answer`.
_CONNECTION_REFUSED = 598
_NO_ANSWER = 599
# The API answers this if a change may or may not have taken effect.
_OUTCOME_UNKNOWN = 504
# Statuses that decide about all tries of a change, not just about the last one.
_FINAL_STATUSES = (409, 412)
_IN_DOUBT_TEXT = (
    "\n  an earlier try was not answered and may have taken effect; look before you repeat it"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admin:
    """The base URL of an administration API and the operator's token."""

    url: str
    token: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """An answer of the API with its decoded JSON body.

    The status is 598 if the connection was refused, 599 if there was no answer.
    """

    status: int
    body: Any


class RequestFailed(click.ClickException):
    """The API refused a request or could not be reached.

    `in_doubt` is True if an earlier try of the change may have taken effect.
    """

    exit_code = 1

    def __init__(self, answer: Answer, *, in_doubt: bool = False) -> None:
        doubt = in_doubt and answer.status not in _FINAL_STATUSES
        super().__init__(describe_error(answer) + (_IN_DOUBT_TEXT if doubt else ""))
        self.answer = answer


class BadSettings(click.ClickException):
    """A file of settings, configuration or answers is invalid."""

    exit_code = 2

    def __init__(self, error: loader.SettingsError) -> None:
        super().__init__(str(error))


def options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the options --admin and --token to a command, and passes an `Admin` as `admin`."""

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
    """Returns a path of the API; quotes the parts and leaves out empty query arguments."""
    quoted = "/".join(urllib.parse.quote(part, safe="") for part in parts)
    given = {name: value for name, value in query.items() if value}
    return f"/admin/v1/{quoted}" + (f"?{urllib.parse.urlencode(given)}" if given else "")


def get(admin: Admin, target: str) -> Any:
    """Sends a GET request and returns the decoded body; raises `RequestFailed` on any error."""
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
    """Sends a change and returns the decoded body; raises `RequestFailed` on any error.

    Without an answer the change is repeated with the same idempotency key, so that it is applied
    once at most. With `repeatable` False it is sent once, because the API ignores the key there.
    """
    keyed = {"Idempotency-Key": uuid.uuid4().hex} | (headers or {})
    tries = _MAX_TRIES if repeatable else 1
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
    """Sends a request up to `tries` times while there is no definite answer."""
    in_doubt = False
    for tries_left in reversed(range(tries)):
        answer = await _send(admin, method, target, body, headers or {})
        if answer.status < 400:
            return answer.body
        in_doubt = in_doubt or answer.status in (_NO_ANSWER, _OUTCOME_UNKNOWN)
        if (
            answer.status not in (_CONNECTION_REFUSED, _NO_ANSWER, _OUTCOME_UNKNOWN)
            or not tries_left
        ):
            break
        await asyncio.sleep(_RETRY_PAUSE_SECONDS)
    raise RequestFailed(answer, in_doubt=in_doubt and method != "GET")


async def _send(
    admin: Admin, method: str, target: str, body: Any, headers: dict[str, str]
) -> Answer:
    encoded = json.dumps(body).encode() if body is not None else None
    http_request = tornado.httpclient.HTTPRequest(
        admin.url + target,
        method=method,
        body=encoded,
        headers={"Authorization": f"Bearer {admin.token}"} | headers,
        request_timeout=_REQUEST_SECONDS,
        connect_timeout=_CONNECT_SECONDS,
        allow_nonstandard_methods=True,
    )
    try:
        response = await tornado.httpclient.AsyncHTTPClient().fetch(http_request, raise_error=False)
    except (OSError, tornado.httpclient.HTTPError) as error:
        message = f"no answer from {admin.url}: {error}"
        status = _CONNECTION_REFUSED if isinstance(error, ConnectionRefusedError) else _NO_ANSWER
        return Answer(status=status, body={"error": {"code": "no_answer", "message": message}})
    return Answer(status=response.code, body=_parse(response.body, admin.url))


def _parse(body: bytes, url: str) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        message = f"{url} does not answer as an administration API"
        return {"error": {"code": "not_basilpost", "message": message}}


def describe_error(answer: Answer) -> str:
    """Formats an error answer for a terminal, with all details that the API gave."""
    error = answer.body.get("error", {}) if isinstance(answer.body, dict) else {}
    lines = [f"{error.get('message', 'no message')} ({error.get('code', answer.status)})"]
    lines += [
        f"  {item['path'] or item['file']}: found {item['found']}, allowed: {item['allowed']}"
        for item in error.get("errors") or ()
    ]
    if error.get("current_version") is not None:
        by = error.get("changed_by") or "another operator"
        lines.append(f"  it is now at version {error['current_version']}, changed by {by}")
    if error.get("attempt_id"):
        lines.append(f"  to find out, repeat it with Idempotency-Key {error['attempt_id']}")
    return "\n".join(lines)
