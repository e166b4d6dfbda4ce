"""Asks a plain service what became of a request whose outcome is unknown.

All instances that serve are asked: one that has run the request settles it, and that it never ran
counts only if every one of them says so.
"""

import asyncio
import json
import urllib.parse

from basilpost.core import data
from basilpost.members import directory
from basilpost.runs import buckets, lookup
from basilpost.store import http_calls

_KEY_FIELD = "{key}"
_RAN_FIELD = "ran"


class InstanceLookup(lookup.OutcomeLookup):
    """Asks the instances of a service at the route's outcome path: `{"ran": true or false}`."""

    def __init__(self, *, directory: directory.Directory) -> None:
        self._directory = directory

    async def look_up(
        self, record: buckets.Record, *, timeout: float
    ) -> lookup.Ran | lookup.NeverRan | lookup.LookupUnavailable:
        """Asks all serving instances at once."""
        groups = [one for one in self._directory.groups_for(record.service) if one.serving]
        if not record.outcome_path or not groups:
            return lookup.LookupUnavailable(
                reason=f"{record.service} has nobody to ask about {record.key}"
            )
        path = record.outcome_path.replace(_KEY_FIELD, urllib.parse.quote(record.key, safe=""))
        words = await asyncio.gather(*(_ask(group, path, timeout) for group in groups))
        if True in words:
            return lookup.Ran()
        if None in words:
            return lookup.LookupUnavailable(
                reason=f"an instance of {record.service} did not answer {path}"
            )
        return lookup.NeverRan()


async def _ask(group: data.Group, path: str, timeout: float) -> bool | None:
    """Returns whether an instance has run the request, None if it does not say."""
    caller = http_calls.HttpClient(base_url=f"http://{group.address}")
    try:
        reply = await caller.read(path, timeout=timeout)
    finally:
        caller.close()
    if isinstance(reply, http_calls.NoReply) or reply.status != 200:
        return None
    try:
        said = json.loads(reply.body)
    except ValueError:
        return None
    ran = said.get(_RAN_FIELD) if isinstance(said, dict) else None
    return ran if isinstance(ran, bool) else None
