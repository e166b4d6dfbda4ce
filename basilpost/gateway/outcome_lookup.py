"""Asks a plain service whether it has run a request whose outcome is unknown.

All serving instances are asked; each instance of a plain service is a group with one member. The request counts as run if one of them has run it, and as never run
only if all of them say so.
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
    """Asks the instances at the route's outcome path, which answers `{"ran": true or false}`."""

    def __init__(self, *, directory: directory.Directory) -> None:
        self._directory = directory

    async def look_up(
        self, record: buckets.Record, *, timeout: float
    ) -> lookup.Ran | lookup.NeverRan | lookup.LookupUnavailable:
        """Asks all serving instances in parallel, each for up to `timeout` seconds."""
        groups = [group for group in self._directory.groups_for(record.service) if group.serving]
        if not record.outcome_path or not groups:
            return lookup.LookupUnavailable(
                reason=f"{record.service} has nobody to ask about {record.key}"
            )
        path = record.outcome_path.replace(_KEY_FIELD, urllib.parse.quote(record.key, safe=""))
        replies = await asyncio.gather(*(_ask_instance(group, path, timeout) for group in groups))
        if True in replies:
            return lookup.Ran()
        if None in replies:
            return lookup.LookupUnavailable(
                reason=f"an instance of {record.service} did not answer {path}"
            )
        return lookup.NeverRan()


async def _ask_instance(group: data.Group, path: str, timeout: float) -> bool | None:
    """Returns whether an instance, a group with one member, ran the request; None if unknown."""
    client = http_calls.HttpClient(base_url=f"http://{group.address}")
    try:
        reply = await client.read(path, timeout=timeout)
    finally:
        client.close()
    if isinstance(reply, http_calls.NoReply) or reply.status != 200:
        return None
    try:
        parsed = json.loads(reply.body)
    except ValueError:
        return None
    ran = parsed.get(_RAN_FIELD) if isinstance(parsed, dict) else None
    return ran if isinstance(ran, bool) else None
