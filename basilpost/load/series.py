"""Counts the results of a run for each second: served within the aim, late, refused and failed.

The aim is the longest acceptable time from when a request was due to the first byte of its answer.
"""

import dataclasses
import itertools
from collections.abc import Iterable

from basilpost.load import records

_REFUSAL_STATUSES = frozenset({429, 503})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Second:
    """Counts for one second of a run.

    Attributes:
        at: Seconds since the first request was due.
        asked: Requests that were due in it.
        in_aim: Those answered successfully with the first byte within the aim.
        late: Those answered successfully after it.
        refused: Those refused with status 429 or 503.
        failed: All other requests.
        targets: Targets that answered at least one of them.
    """

    at: int
    asked: int
    in_aim: int
    late: int
    refused: int
    failed: int
    targets: int


def by_second(request_records: Iterable[records.Record], *, aim_seconds: float) -> list[Second]:
    """Returns the counts of each second of a run in which a request was due.

    Args:
        request_records: Records of one run.
        aim_seconds: Longest time from when a request was due to its first byte.
    """
    ordered = sorted(request_records, key=lambda record: record.scheduled)
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
    """Returns the seconds as a text table with a header line."""
    names = [field.name for field in dataclasses.fields(Second)]
    lines = ["".join(f"{name:>9}" for name in names)]
    lines += ["".join(f"{getattr(second, name):>9}" for name in names) for second in seconds]
    return "\n".join(lines)


def _second(at: int, request_records: list[records.Record], aim_seconds: float) -> Second:
    served = [record for record in request_records if record.succeeded]
    in_aim = sum(_is_in_aim(record, aim_seconds) for record in served)
    refused = sum(record.status in _REFUSAL_STATUSES for record in request_records)
    return Second(
        at=at,
        asked=len(request_records),
        in_aim=in_aim,
        late=len(served) - in_aim,
        refused=refused,
        failed=len(request_records) - len(served) - refused,
        targets=len({record.target for record in served if record.target}),
    )


def _is_in_aim(record: records.Record, aim_seconds: float) -> bool:
    first_byte = record.finished if record.first_byte is None else record.first_byte
    return first_byte - record.scheduled <= aim_seconds
