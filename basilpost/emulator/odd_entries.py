"""Entries that another writer may leave among those of the runners, in one list for tests and the soak.

A new odd value is added here, and is then tried by both.
"""

import dataclasses
from typing import Any

from basilpost.emulator import pool_fleet, pool_store

DEEP = "[" * 100_000 + "]" * 100_000
LESS_DEEP = "[" * 900 + "]" * 900
LARGE = "9" * 401
HUGE = "9" * 6_000
# The emulated store writes each of these surrogates as a byte that is not UTF-8.
NO_UTF_8 = '"\udcff\udcfe\udc80"'
HOST = "127.0.0.1"
# No process listens there.
ADDRESS = f"{HOST}:9"
# The largest epoch that nodes read.
HIGHEST_EPOCH = 2**53 - 1


def group(name: str, *, epoch: int = 1, rank: int = 0) -> str:
    """Returns the JSON text of a membership."""
    return f'{{"name": "{name}", "epoch": {epoch}, "rank": {rank}, "state": "open"}}'


# A field of an entry and its value, as JSON text.
FIELDS_BY_NAME: dict[str, tuple[str, str]] = {
    "deep-unknown": ("unknown", DEEP),
    "less-deep-unknown": ("unknown", LESS_DEEP),
    "huge-unknown": ("unknown", HUGE),
    "deep-service": ("service", DEEP),
    "less-deep-zone": ("zone", LESS_DEEP),
    "surrogate-zone": ("zone", '"\\ud800"'),
    "header-in-service": ("service", '"desk\\r\\nX: y"'),
    "less-deep-staged": ("staged", LESS_DEEP),
    "large-cold": ("coldRemainingMs", LARGE),
    "huge-cold": ("coldRemainingMs", HUGE),
    "infinite-cold": ("coldRemainingMs", "1e999"),
    "no-number-cold": ("coldRemainingMs", "NaN"),
    "large-slots": ("slots", LARGE),
    "negative-slots": ("slots", "-1"),
    "infinite-slots": ("slots", "1e999"),
    "large-born": ("born", LARGE),
    "infinite-born": ("born", "Infinity"),
    "large-epoch": ("group", f'{{"name": "g-1", "epoch": {LARGE}, "rank": 0, "state": "open"}}'),
    "large-rank": ("group", f'{{"name": "g-1", "epoch": 1, "rank": {LARGE}, "state": "open"}}'),
    "negative-rank": ("group", '{"name": "g-1", "epoch": 1, "rank": -9, "state": "open"}'),
    "odd-group-name": ("group", '{"name": "\\u0000", "epoch": 1, "rank": 0, "state": "open"}'),
    "deep-group": ("group", DEEP),
    "other-group-name": ("group", group("g-1")),
    "large-number-in-group-name": ("group", group(f"{pool_fleet.LARGE}--{LARGE}")),
    "huge-number-in-group-name": ("group", group(f"{pool_fleet.LARGE}--{HUGE}")),
    "standby-group-name": ("group", group(f"standby-{pool_fleet.LARGE}--x")),
    "highest-epoch": ("group", group(f"{pool_fleet.LARGE}--1", epoch=2**53)),
    "highest-rank": ("group", group(f"{pool_fleet.LARGE}--1", rank=2**53)),
    "highest-slots": ("slots", str(2**53)),
    "highest-cold": ("coldRemainingMs", "1e300"),
    "negative-cold": ("coldRemainingMs", "-1e300"),
    "name": ("address", '"vm-1.rack-2.example:80"'),
    "short-number": ("address", '"127.1:80"'),
    "port-70000": ("address", f'"{HOST}:70000"'),
    "port-0": ("address", f'"{HOST}:0"'),
    "negative-port": ("address", f'"{HOST}:-1"'),
    "port-in-other-digits": ("address", f'"{HOST}:\\u0668\\u0660"'),
    "huge-port": ("address", f'"{HOST}:{HUGE}"'),
    "header-in-host": ("address", f'"{HOST}\\r\\nX-Tenant: other:80"'),
    "surrogate-host": ("address", '"\\ud800:80"'),
    "space-in-host": ("address", '"a b:80"'),
    "no-utf-8-unknown": ("unknown", NO_UTF_8),
    "no-utf-8-zone": ("zone", NO_UTF_8),
    "no-utf-8-group-name": (
        "group",
        f'{{"name": {NO_UTF_8}, "epoch": 1, "rank": 0, "state": "open"}}',
    ),
}
# Whole entries, as JSON text.
TEXTS_BY_NAME: dict[str, str] = {
    "deep": DEEP,
    "less-deep": LESS_DEEP,
    "huge": HUGE,
    "null": "null",
    "list": "[]",
    "text": '"text"',
    "empty": "{}",
    "no-utf-8": NO_UTF_8,
}


# Fields with a value of another type, as JSON text. Every runner writes them.
OTHER_TYPES_BY_NAME: dict[str, tuple[str, str]] = {
    "number-version": ("version", "5"),
    "null-version": ("version", "null"),
    "text-sequence": ("sequence", '"4"'),
    "list-sequence": ("sequence", "[1]"),
    "negative-sequence": ("sequence", "-1"),
    "number-domain": ("domain", "0"),
    "text-staged": ("staged", f'"{pool_fleet.LARGE}"'),
    "text-group": ("group", '""'),
    "number-group-name": ("group", '{"name": 0, "epoch": 1, "rank": 0, "state": "open"}'),
}
# Service and group of entries with the highest epoch.
GROUPS_BY_NAME: dict[str, tuple[str, str]] = {
    "other-service": ("other", "g1"),
    "plain-service": (pool_fleet.PLAIN_SERVICE, f"{pool_fleet.LARGE}--{HIGHEST_EPOCH}"),
    "other-name": (pool_fleet.MODEL_SERVICE, "g1"),
    "own-name": (pool_fleet.MODEL_SERVICE, f"{pool_fleet.LARGE}--{HIGHEST_EPOCH}"),
}
# Odd entries that name a runner all the same, in place of which nothing listens.
_WHOLE_NAMES = frozenset(
    {
        *("deep-unknown", "less-deep-unknown", "huge-unknown", "no-utf-8-unknown"),
        *("other-group-name", "large-number-in-group-name", "huge-number-in-group-name"),
        *("standby-group-name", "highest-epoch", "highest-rank", "highest-slots"),
        *("highest-cold", "negative-cold", "plain-service", "other-name", "own-name"),
    }
)
# Failure domains that only entries of unknown services name.
UNKNOWN_DOMAINS = 60
# Fields of the engine's runners; their odd values are tried on an entry of its service.
_ENGINE_FIELDS = frozenset({"group", "staged", "domain"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class OddEntry:
    """An entry of another writer.

    Attributes:
        name: What is odd, unique in the list.
        key: Key in the store. The marker in it stands for `raw`, as in the content.
        content: The entry.
        raw: JSON text that the store's answers have in place of the marker; empty without a marker.
    """

    name: str
    key: str
    content: Any
    raw: str = ""

    @property
    def is_whole(self) -> bool:
        """Returns True if the entry names a runner of a service of `pool_fleet`."""
        return self.name in _WHOLE_NAMES

    @property
    def marker(self) -> str:
        """Returns the string that stands for the odd value."""
        return f"@odd {self.name}@"


def entry(address: str = ADDRESS, service: str = pool_fleet.PLAIN_SERVICE) -> dict[str, Any]:
    """Returns a whole entry."""
    return {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldRemainingMs": 0,
        "born": 5,
        "sequence": 0,
    }


def with_field(name: str, field: str, raw: str) -> OddEntry:
    """Returns an entry with an odd value of one field."""
    odd = OddEntry(name=name, key=f"servers/0-{name}", content=None, raw=raw)
    whole = entry()
    if field in _ENGINE_FIELDS:
        whole = entry(service=pool_fleet.MODEL_SERVICE) | {"domain": "f0"}
    return dataclasses.replace(odd, content=whole | {field: odd.marker})


def with_text(name: str, raw: str) -> OddEntry:
    """Returns an entry that is odd as a whole."""
    odd = OddEntry(name=name, key=f"servers/0-{name}", content=None, raw=raw)
    return dataclasses.replace(odd, content=odd.marker)


def with_name(name: str, raw: str) -> OddEntry:
    """Returns a whole entry whose name in the store is odd."""
    odd = OddEntry(name=name, key="", content=entry(), raw=raw)
    return dataclasses.replace(odd, key=f"servers/{odd.marker}")


def with_highest_epoch(name: str, service: str, group_name: str) -> OddEntry:
    """Returns an entry whose group has the highest epoch that nodes read."""
    member = {"name": group_name, "epoch": HIGHEST_EPOCH, "rank": 0, "state": "ready"}
    content = entry(service=service) | {"domain": "f", "group": member}
    return OddEntry(name=name, key=f"servers/0-{name}", content=content)


def of_highest_epochs() -> list[OddEntry]:
    """Returns entries of groups with the highest epoch, but none of the plain service.

    That one would take requests, and lose them.
    """
    return [
        with_highest_epoch(name, service, group_name)
        for name, (service, group_name) in GROUPS_BY_NAME.items()
        if service != pool_fleet.PLAIN_SERVICE
    ]


def of_unknown_services(address: str) -> list[OddEntry]:
    """Returns whole entries of an unknown service, each of a failure domain of its own."""
    return [
        OddEntry(
            name=f"unknown-{number}",
            key=f"servers/odd-{number}",
            content=entry(address, "other") | {"zone": f"zone-{number}"},
        )
        for number in range(UNKNOWN_DOMAINS)
    ]


def entries() -> list[OddEntry]:
    """Returns all odd entries but those of unknown services."""
    fields = (FIELDS_BY_NAME | OTHER_TYPES_BY_NAME).items()
    return [
        *(with_field(name, field, raw) for name, (field, raw) in fields),
        *(with_text(name, raw) for name, raw in TEXTS_BY_NAME.items()),
        with_name("no-utf-8-name", NO_UTF_8),
        *(with_highest_epoch(name, *group) for name, group in GROUPS_BY_NAME.items()),
    ]


async def leave(store: pool_store.PoolStore, odd: OddEntry) -> None:
    """Writes an odd entry, as another writer does."""
    if odd.raw:
        store.raw_text_by_marker[odd.marker] = odd.raw
    await store.put(odd.key, odd.content)
