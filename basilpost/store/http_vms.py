"""The platform's VM list over HTTP.

The list is large and changes seldom, so a reader sends the ETag of the list that it has. A platform
that supports ETags then answers 304 without a body; any other sends the whole list each time.
"""

import json

import cattrs

from basilpost.core import codec, data
from basilpost.store import http_calls, vms

_PATH = "/v1/vms"


class HttpVmList(vms.VmList):
    """Reads the VM list at a base URL such as `http://10.0.0.5:8001`."""

    def __init__(self, *, base_url: str) -> None:
        self._client = http_calls.HttpClient(base_url=base_url)
        self._etag = ""
        self._latest: vms.VmListing | None = None

    def close(self) -> None:
        """Closes the connections that are kept for reuse."""
        self._client.close()

    async def fetch(self, *, timeout: float = 2.0) -> vms.VmListing | vms.ListUnavailable:
        """Reads the whole list; one that cannot be decoded counts as unavailable."""
        reply = await self._client.read(_PATH, timeout=timeout, etag=self._etag)
        if isinstance(reply, http_calls.NoReply):
            return vms.ListUnavailable(reason=reply.reason)
        if reply.status == 304 and self._latest is not None:
            return self._latest
        if reply.status != 200:
            return vms.ListUnavailable(reason=f"the VM list answered status {reply.status}")
        listing = decode(reply.body)
        if isinstance(listing, vms.VmListing):
            self._latest, self._etag = listing, reply.etag
        return listing


def decode(raw: bytes) -> vms.VmListing | vms.ListUnavailable:
    """Decodes the body of an answer with the list."""
    try:
        entries = json.loads(raw)["vms"]
        decoded = codec.json_converter().structure(entries, tuple[data.Vm, ...])
    except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
        return vms.ListUnavailable(reason=f"the VM list cannot be decoded: {error!r}")
    return vms.VmListing(vms_by_id={vm.vm_id: vm for vm in decoded})
