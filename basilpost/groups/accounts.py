"""The controller's account of one target: what each node may have in flight there by now.

A credit that has been granted counts until it has expired or the node has acted on a later one; work
that began under it counts until the node reports that it has ended. So the sum of all accounts is never
less than what is in flight on the target, whatever replies are lost and whichever nodes fall silent.
"""

import dataclasses

_REPORT_LAG_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """Credits that a node may hold until they expire, in answer to its ask of that number."""

    number: int
    credits: int
    expires_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Account:
    """One node's account.

    Attributes:
        in_flight: What the node last reported beyond the slots that it has without credits.
        wanted: What it last wanted beyond them.
        granted: Credits that it may still hold, or that it may have used since its last report.
        heard_at: When it last reported.
    """

    in_flight: int = 0
    wanted: int = 0
    granted: tuple[Granted, ...] = ()
    heard_at: float

    @property
    def held(self) -> int:
        """Returns the most that the node may have in flight by credits."""
        return max([self.in_flight, *(one.credits for one in self.granted)])


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Total:
    """The sum of what all nodes had reported at some time."""

    at: float
    in_flight: int


@dataclasses.dataclass(kw_only=True)
class Accounts:
    """All nodes' accounts on one target.

    Attributes:
        by_node: Account of each node that has reported.
        ghosts: Requests in flight of nodes that are gone or were never heard.
        ghosts_since: When `ghosts` last rose.
    """

    by_node: dict[str, Account] = dataclasses.field(default_factory=dict)
    ghosts: int = 0
    ghosts_since: float = 0.0
    _totals: tuple[_Total, ...] = ()

    def report(
        self, node_id: str, *, in_flight: int, wanted: int, now: float, acting_on: int = -1
    ) -> None:
        """Takes in a node's report.

        It settles the credits that have expired, and those given before the ones it acts on.
        """
        known = self.by_node.get(node_id)
        granted = known.granted if known else ()
        self.by_node[node_id] = Account(
            in_flight=in_flight,
            wanted=wanted,
            granted=tuple(
                one for one in granted if one.expires_at > now and one.number >= acting_on
            ),
            heard_at=now,
        )
        if self.ghosts:
            self._note_total(now)

    def grant(self, node_id: str, granted: Granted) -> None:
        """Notes credits as granted."""
        known = self.by_node[node_id]
        larger = tuple(one for one in known.granted if one.credits > granted.credits)
        self.by_node[node_id] = dataclasses.replace(known, granted=(*larger, granted))

    def held_by_others(self, node_id: str) -> int:
        """Returns the most that all other nodes may have in flight, ghosts included."""
        others = (account.held for one, account in self.by_node.items() if one != node_id)
        return sum(others) + self.ghosts

    def reported(self) -> int:
        """Returns the requests in flight by the nodes' latest reports."""
        return sum(account.in_flight for account in self.by_node.values())

    def lose(self, node_ids: set[str], *, now: float) -> None:
        """Turns the accounts of nodes that are gone into ghosts."""
        held = sum(self.by_node.pop(one).held for one in node_ids & self.by_node.keys())
        if held:
            self._haunt(self.ghosts + held, now)

    def find_ghosts(self, in_flight: int, *, now: float) -> None:
        """Counts the requests on the target that no known node has reported."""
        self._haunt(max(0, in_flight - self.reported()), now)

    def engine_report(self, in_flight: int, *, asked_at: float) -> None:
        """Lets go of ghosts that the engine's own report, which lags, no longer shows."""
        if self.ghosts and asked_at >= self.ghosts_since + _REPORT_LAG_SECONDS:
            self._note_total(asked_at)
            least = min(total.in_flight for total in self._totals)
            self.ghosts = min(self.ghosts, max(0, in_flight - least))

    def _haunt(self, ghosts: int, now: float) -> None:
        self.ghosts = ghosts
        self.ghosts_since = now
        self._totals = ()
        self._note_total(now)

    def _note_total(self, now: float) -> None:
        recent = (one for one in self._totals if one.at >= now - 2 * _REPORT_LAG_SECONDS)
        self._totals = (*recent, _Total(at=now, in_flight=self.reported()))
