"""Fakes of admission and quarantine, for tests of the gateway."""

from basilpost.core import data, failure
from basilpost.groups import slots
from basilpost.routing import interfaces


class FakeTicket(interfaces.Ticket):
    """A ticket that records whether it was closed."""

    def __init__(self) -> None:
        self.closed = False

    def close(self) -> None:
        """Sets `closed`."""
        self.closed = True


class FakeAdmission(interfaces.Admission):
    """Chooses the first group of the service that is not excluded and has a free slot.

    Attributes:
        groups: The groups to choose from.
        refusal: What every request is refused with, None to admit all.
        retries: Retries that are still allowed.
        tickets: The tickets of all admitted requests.
    """

    def __init__(self, *, groups: tuple[data.Group, ...], slots: slots.Slots) -> None:
        self.groups = groups
        self.refusal: failure.Refusal | None = None
        self.retries = 100
        self.tickets: list[FakeTicket] = []
        self._slots = slots

    def admit(self, request: interfaces.Request) -> interfaces.Ticket | failure.Refusal:
        """Admits everything unless a refusal is set."""
        if self.refusal is not None:
            return self.refusal
        self.tickets.append(FakeTicket())
        return self.tickets[-1]

    async def choose(
        self, request: interfaces.Request, *, exclude: frozenset[str] = frozenset()
    ) -> interfaces.Choice | failure.Refusal:
        """Returns the first group with a free slot, or a refusal at once."""
        for group in self.groups:
            if group.service != request.service or group.group_id in exclude:
                continue
            slot = self._slots.try_acquire(group)
            if isinstance(slot, slots.Slot):
                return interfaces.Choice(group=group, slot=slot)
        return failure.Refusal(
            reason="no group is free", code="no_healthy_group", status=503, retry_after=1.0
        )

    def may_retry(self, request: interfaces.Request) -> bool:
        """Uses up one of the allowed retries; returns False if there is none left."""
        self.retries -= 1
        return self.retries >= 0


class FakeQuarantine(interfaces.Quarantine):
    """Refuses no request and records the crashes as pairs of request id and group id."""

    def __init__(self) -> None:
        self.crashes: list[tuple[str, str]] = []

    def check(self, request: interfaces.Request) -> failure.Refusal | None:
        """Refuses no request."""
        return None

    def record_start(self, request: interfaces.Request, group: data.Group) -> None:
        """Does nothing."""

    def record_end(
        self, request: interfaces.Request, group: data.Group, *, crashed: bool, ran: bool = False
    ) -> None:
        """Records the dispatch if it crashed its target."""
        if crashed:
            self.crashes.append((request.request_id, group.group_id))
