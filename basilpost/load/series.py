"""What became of requests over time: served in aim, late, refused and failed, second by second."""

import dataclasses
import itertools
from collections.abc import Iterable

from basilpost.load import records

_REFUSED = frozenset({429, 503})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Second:
    """One second of a run.

    Attributes:
        at: Seconds since the first request was due.
        asked: Requests that were due in it.
        in_aim: Those served whole whose first byte came within the aim.
        late: Those served whole later.
        refused: Those refused.
        failed: All others.
        targets: Targets that answered one of them, the capacity that was seen.
    """

    at: int
    asked: int
    in_aim: int
    late: int
    refused: int
    failed: int
    targets: int


def by_second(found: Iterable[records.Record], *, aim_seconds: float) -> list[Second]:
    """Returns each second of a run in which a request was due.

    Args:
        found: Records of one run.
        aim_seconds: Longest time from when a request was due to its first byte.
    """
    ordered = sorted(found, key=lambda record: record.scheduled)
    if not ordered:
        return []
    start = ordered[0].scheduled
    return [
        _second(at, list(group), aim_seconds)
        for at, group in itertools.groupby(
            ordered, key=lambda record: int(record.scheduled - start)
        )
    ]


def table(seconds: Iterable[Second]) -> str:
    """Returns the seconds as a table of text."""
    names = [field.name for field in dataclasses.fields(Second)]
    lines = ["".join(f"{name:>9}" for name in names)]
    lines += ["".join(f"{getattr(one, name):>9}" for name in names) for one in seconds]
    return "\n".join(lines)


def _second(at: int, found: list[records.Record], aim_seconds: float) -> Second:
    served = [record for record in found if record.succeeded]
    in_aim = sum(_in_aim(record, aim_seconds) for record in served)
    refused = sum(record.status in _REFUSED for record in found)
    return Second(
        at=at,
        asked=len(found),
        in_aim=in_aim,
        late=len(served) - in_aim,
        refused=refused,
        failed=len(found) - len(served) - refused,
        targets=len({record.target for record in served if record.target}),
    )


def _in_aim(record: records.Record, aim_seconds: float) -> bool:
    first = record.finished if record.first_byte is None else record.first_byte
    return first - record.scheduled <= aim_seconds
