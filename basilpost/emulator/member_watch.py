"""Rank 0's liveness checks of the other members of its group.

Rank 0 sends each member a long poll, which the member holds open while it belongs to the group.
A member that dies breaks the connection at once; one that does not answer in time counts as lost
as well.
"""

import asyncio
import urllib.parse
from collections.abc import Callable

from basilpost.core import tasks
from basilpost.store import http_calls

_POLL_SECONDS = 0.5
# Time for an answer beyond the time that the poll is held open.
_RESPONSE_SECONDS = 1.0
_RETRY_SECONDS = 0.05
# Status of a poll's answer while the member belongs to the group.
_MEMBER_STATUS = 200


class MemberWatch:
    """Watches the members of one group and generation, and calls `on_lost` for each one lost."""

    def __init__(
        self,
        *,
        members: tuple[str, ...],
        group_id: str,
        generation: int,
        on_lost: Callable[[], None],
    ) -> None:
        self._members = members
        self._query = {"group": group_id, "generation": generation}
        self._on_lost = on_lost
        self._present: set[str] = set()
        self._clients_by_address = {
            address: http_calls.HttpClient(base_url=f"http://{address}") for address in members
        }
        self._tasks = tasks.TaskSet()

    @property
    def is_complete(self) -> bool:
        """Returns True while all members answer that they belong to the group."""
        return len(self._present) == len(self._members)

    def start(self) -> None:
        """Starts polling the members."""
        for address in self._members:
            self._tasks.spawn(self._watch(address), name=f"member-watch-{address}")

    async def close(self) -> None:
        """Stops polling and closes the connections to the members."""
        await self._tasks.close()
        for client in self._clients_by_address.values():
            client.close()

    async def _watch(self, address: str) -> None:
        while True:
            # The first poll is answered at once; later ones are held until the membership changes.
            wait = _POLL_SECONDS if address in self._present else 0.0
            if await self._poll(address, wait):
                self._present.add(address)
                continue
            if address in self._present:
                self._present.discard(address)
                self._on_lost()
            await asyncio.sleep(_RETRY_SECONDS)

    async def _poll(self, address: str, wait: float) -> bool:
        query = urllib.parse.urlencode({**self._query, "wait": wait})
        reply = await self._clients_by_address[address].read(
            f"/membership?{query}", timeout=wait + _RESPONSE_SECONDS, wait=wait
        )
        return isinstance(reply, http_calls.Reply) and reply.status == _MEMBER_STATUS
