"""The controller's accounts of one target: the most that each node may have in flight there.

Granted credits count until they expire or the node acts on a later grant. Requests that started
under them count until the node reports that they have ended. So the sum of all accounts is never
less than the number of requests in flight on the target, whichever replies are lost and whichever
nodes stop responding.
"""

import dataclasses

# A runner's own count of requests in flight may lag by this time.
_REPORT_LAG_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutstandingGrant:
    """Credits that were granted to a node and may still be in use.

    Attributes:
        number: Number of the node's ask that they answer.
        credits: Requests that the node may have in flight by them.
        expires_at: When they expire.
    """

    number: int
    credits: int
    expires_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Account:
    """One node's account.

    Attributes:
        in_flight: Requests in flight that the node last reported, beyond its slots without credits.
        wanted: Slots that it last wanted, beyond those without credits.
        outstanding: Grants that it may still hold or may have used since its last report.
        reported_at: Time of its last report.
    """

    in_flight: int = 0
    wanted: int = 0
    outstanding: tuple[OutstandingGrant, ...] = ()
    reported_at: float

    @property
    def max_in_flight(self) -> int:
        """Returns the most requests that the node may have in flight by credits."""
        return max([self.in_flight, *(grant.credits for grant in self.outstanding)])


@dataclasses.dataclass(frozen=True, kw_only=True)
class _ReportedTotal:
    """The sum of the requests in flight that all nodes had last reported at some time."""

    at: float
    in_flight: int


@dataclasses.dataclass(kw_only=True)
class TargetAccounts:
    """All nodes' accounts on one target.

    Attributes:
        by_node: Account of each node that has reported.
        unattributed: Requests in flight of nodes that are gone or have never reported.
        unattributed_since: Time of the last event that could raise `unattributed`.
    """

    by_node: dict[str, Account] = dataclasses.field(default_factory=dict)
    unattributed: int = 0
    unattributed_since: float = 0.0
    _totals: tuple[_ReportedTotal, ...] = ()

    def record_report(
        self, node_id: str, *, in_flight: int, wanted: int, now: float, acting_on: int = -1
    ) -> None:
        """Updates a node's account from its report.

        Drops grants that have expired and those before the grant that the node acts on, which
        answered its ask with the number `acting_on`.
        """
        account = self.by_node.get(node_id)
        outstanding = account.outstanding if account else ()
        self.by_node[node_id] = Account(
            in_flight=in_flight,
            wanted=wanted,
            outstanding=tuple(
                grant
                for grant in outstanding
                if grant.expires_at > now and grant.number >= acting_on
            ),
            reported_at=now,
        )
        if self.unattributed:
            self._record_total(now)

    def record_grant(self, node_id: str, new_grant: OutstandingGrant) -> None:
        """Adds a grant to a node's account; earlier grants of no more credits are covered by it."""
        account = self.by_node[node_id]
        larger = tuple(grant for grant in account.outstanding if grant.credits > new_grant.credits)
        self.by_node[node_id] = dataclasses.replace(account, outstanding=(*larger, new_grant))

    def max_in_flight_of_others(self, node_id: str) -> int:
        """Returns the most requests that others may have in flight, unattributed ones included."""
        others = (
            account.max_in_flight for other, account in self.by_node.items() if other != node_id
        )
        return sum(others) + self.unattributed

    def total_reported(self) -> int:
        """Returns the sum of the requests in flight in the nodes' latest reports."""
        return sum(account.in_flight for account in self.by_node.values())

    def remove_nodes(self, node_ids: set[str], *, now: float) -> None:
        """Removes the accounts of nodes that are gone and counts their requests as unattributed."""
        max_in_flight = sum(
            self.by_node.pop(node_id).max_in_flight for node_id in node_ids & self.by_node.keys()
        )
        if max_in_flight:
            self._set_unattributed(self.unattributed + max_in_flight, now)

    def count_unattributed(self, in_flight: int, *, now: float) -> None:
        """Counts the requests on the target, by its runner's status, that no node has reported."""
        self._set_unattributed(max(0, in_flight - self.total_reported()), now)

    def apply_runner_report(self, in_flight: int, *, asked_at: float) -> None:
        """Lowers the unattributed requests to what the runner's lagging report still shows."""
        if self.unattributed and asked_at >= self.unattributed_since + _REPORT_LAG_SECONDS:
            self._record_total(asked_at)
            least = min(total.in_flight for total in self._totals)
            self.unattributed = min(self.unattributed, max(0, in_flight - least))

    def _set_unattributed(self, unattributed: int, now: float) -> None:
        self.unattributed = unattributed
        self.unattributed_since = now
        self._totals = ()
        self._record_total(now)

    def _record_total(self, now: float) -> None:
        recent = (total for total in self._totals if total.at >= now - 2 * _REPORT_LAG_SECONDS)
        self._totals = (*recent, _ReportedTotal(at=now, in_flight=self.total_reported()))
