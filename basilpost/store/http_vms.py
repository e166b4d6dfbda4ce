"""The platform's VM list over HTTP.

The list is large and changes seldom, so a reader names the state that it knows. A platform that
gives its answers an ETag then answers with a few bytes; one that does not sends the list each time.
"""

import json

import cattrs

from basilpost.core import codec, data
from basilpost.store import http_calls, vms

_PATH = "/v1/vms"


class HttpVmList(vms.VmList):
    """Reads the list at a base URL such as `http://10.0.0.5:8001`."""

    def __init__(self, *, base_url: str) -> None:
        self._caller = http_calls.HttpClient(base_url=base_url)
        self._etag = ""
        self._latest: vms.VmListing | None = None

    def close(self) -> None:
        """Closes the connection that is kept."""
        self._caller.close()

    async def fetch(self, *, timeout: float = 2.0) -> vms.VmListing | vms.ListUnavailable:
        """Reads the whole list; a list that does not fit the records counts as unavailable."""
        reply = await self._caller.read(_PATH, timeout=timeout, etag=self._etag)
        if isinstance(reply, http_calls.NoReply):
            return vms.ListUnavailable(reason=reply.reason)
        if reply.status == 304 and self._latest is not None:
            return self._latest
        if reply.status != 200:
            return vms.ListUnavailable(reason=f"the VM list answered {reply.status}")
        found = decode(reply.body)
        if isinstance(found, vms.VmListing):
            self._latest, self._etag = found, reply.etag
        return found


def decode(raw: bytes) -> vms.VmListing | vms.ListUnavailable:
    """Decodes an answer of the list."""
    try:
        listed = json.loads(raw)["vms"]
        found = codec.json_converter().structure(listed, tuple[data.Vm, ...])
    except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
        return vms.ListUnavailable(reason=f"the VM list is unreadable: {error!r}")
    return vms.VmListing(vms_by_id={vm.vm_id: vm for vm in found})
