"""Small fakes of admission and quarantine, for tests of the gateway."""

from basilpost.core import data, failure
from basilpost.groups import slots
from basilpost.routing import interfaces


class FakeTicket(interfaces.Ticket):
    """A ticket that only notes whether it was closed."""

    def __init__(self) -> None:
        self.closed = False

    def close(self) -> None:
        """Notes it."""
        self.closed = True


class FakeAdmission(interfaces.Admission):
    """Chooses the first of its groups that is not excluded and has a slot."""

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
        """Chooses without waiting."""
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
        """Counts down the retries that the test allows."""
        self.retries -= 1
        return self.retries >= 0


class FakeQuarantine(interfaces.Quarantine):
    """Refuses nothing and keeps what it is told."""

    def __init__(self) -> None:
        self.crashes: list[tuple[str, str]] = []

    def check(self, request: interfaces.Request) -> failure.Refusal | None:
        """Refuses nothing."""
        return None

    def record_start(self, request: interfaces.Request, group: data.Group) -> None:
        """Keeps nothing."""

    def record_end(
        self, request: interfaces.Request, group: data.Group, *, crashed: bool, ran: bool = False
    ) -> None:
        """Keeps crashes."""
        if crashed:
            self.crashes.append((request.request_id, group.group_id))
