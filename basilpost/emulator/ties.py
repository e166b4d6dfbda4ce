"""Rank 0's ties to the other members of its group.

A member holds each poll open while it belongs to the group, so that its death breaks the
connection at once; a member that is silent for too long counts as lost as well.
"""

import asyncio
import urllib.parse
from collections.abc import Callable

from tornado import httpclient

from basilpost.core import tasks

POLL_SECONDS = 0.5
_SILENCE_SECONDS = 1.0
_RETRY_SECONDS = 0.05


class Ties:
    """Watches the members of one group and generation."""

    def __init__(
        self,
        *,
        members: tuple[str, ...],
        group_id: str,
        generation: int,
        lost: Callable[[], None],
    ) -> None:
        self._members = members
        self._query = {"group": group_id, "generation": generation}
        self._lost = lost
        self._held: set[str] = set()
        self._client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=len(members) + 1)
        self._tasks = tasks.TaskSet()

    @property
    def whole(self) -> bool:
        """Returns True while all members are held."""
        return len(self._held) == len(self._members)

    def start(self) -> None:
        """Begins to hold the members."""
        for address in self._members:
            self._tasks.spawn(self._hold(address), name=f"tie-{address}")

    async def close(self) -> None:
        """Lets all members go."""
        await self._tasks.close()
        self._client.close()

    async def _hold(self, address: str) -> None:
        while True:
            # The first poll is answered at once, later ones when something changes.
            wait = POLL_SECONDS if address in self._held else 0.0
            if await self._poll(address, wait):
                self._held.add(address)
                continue
            if address in self._held:
                self._held.discard(address)
                self._lost()
            await asyncio.sleep(_RETRY_SECONDS)

    async def _poll(self, address: str, wait: float) -> bool:
        query = urllib.parse.urlencode({**self._query, "wait": wait})
        try:
            await self._client.fetch(
                f"http://{address}/membership?{query}",
                connect_timeout=_SILENCE_SECONDS,
                request_timeout=wait + _SILENCE_SECONDS,
            )
        except (OSError, httpclient.HTTPError):
            return False
        return True
