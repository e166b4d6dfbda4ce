"""The platform's VM list over HTTP."""

import json

import cattrs
from tornado import httpclient

from basilpost.core import codec, data
from basilpost.store import vms


class HttpVmList(vms.VmList):
    """Reads the list at a base URL such as `http://10.0.0.5:8001`."""

    def __init__(self, *, base_url: str) -> None:
        self._url = base_url.rstrip("/") + "/v1/vms"
        self._client = httpclient.AsyncHTTPClient(force_instance=True)

    def close(self) -> None:
        """Frees the client."""
        self._client.close()

    async def fetch(self, *, timeout: float = 2.0) -> vms.VmListing | vms.ListUnavailable:
        """Reads the whole list; a list that does not fit the records counts as unavailable."""
        try:
            response = await self._client.fetch(
                self._url, connect_timeout=timeout, request_timeout=timeout
            )
            raw = json.loads(response.body)["vms"]
            found = codec.json_converter().structure(raw, tuple[data.Vm, ...])
        except (
            OSError,
            httpclient.HTTPError,
            ValueError,
            KeyError,
            cattrs.BaseValidationError,
        ) as error:
            return vms.ListUnavailable(reason=f"{self._url}: {error!r}")
        return vms.VmListing(vms_by_id={vm.vm_id: vm for vm in found})
