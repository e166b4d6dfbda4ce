"""Summarises a run of the load tool as a table: counts and latencies by kind of request."""

import dataclasses
import itertools
from collections.abc import Iterable

from hdrh import histogram

from basilpost.load import generator, records

_MAX_LATENCY_MICROSECONDS = 600_000_000
_SIGNIFICANT_DIGITS = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Latency:
    """Latency percentiles and maximum in milliseconds, all 0 without a measurement."""

    p50: float = 0.0
    p95: float = 0.0
    p99: float = 0.0
    highest: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """Counts and latencies of one kind of request.

    Attributes:
        kind: The kind, or "all".
        requests: Requests sent.
        answered: Requests with a successful answer.
        not_run: Failures with outcome "not-run".
        unknown: Failures with outcome "unknown".
        failed: All other failures.
        latency: From the scheduled time to the end of the answer.
        first: From the scheduled time to the answer's first byte.
    """

    kind: str
    requests: int
    answered: int
    not_run: int
    unknown: int
    failed: int
    latency: Latency
    first: Latency


def latency(seconds: Iterable[float]) -> Latency:
    """Returns the percentiles of times given in seconds; each is capped at 600 s."""
    counts = histogram.HdrHistogram(1, _MAX_LATENCY_MICROSECONDS, _SIGNIFICANT_DIGITS)
    for value in seconds:
        counts.record_value(min(_MAX_LATENCY_MICROSECONDS, max(1, int(value * 1e6))))
    percentiles = (counts.get_value_at_percentile(percent) / 1000 for percent in (50, 95, 99))
    p50, p95, p99 = percentiles
    return Latency(p50=p50, p95=p95, p99=p99, highest=counts.get_max_value() / 1000)


def rows(request_records: Iterable[records.Record]) -> list[Row]:
    """Returns a row for each kind of request and one for all."""
    ordered = sorted(request_records, key=lambda record: record.kind.value)
    by_kind = itertools.groupby(ordered, key=lambda record: record.kind.value)
    return [_row(kind, list(group)) for kind, group in by_kind] + [_row("all", ordered)]


def _row(kind: str, request_records: list[records.Record]) -> Row:
    answered = [record for record in request_records if record.succeeded]
    failures = [record for record in request_records if not record.succeeded]
    not_run = sum(record.outcome == "not-run" for record in failures)
    unknown = sum(record.outcome == "unknown" for record in failures)
    return Row(
        kind=kind,
        requests=len(request_records),
        answered=len(answered),
        not_run=not_run,
        unknown=unknown,
        failed=len(failures) - not_run - unknown,
        latency=latency(record.finished - record.scheduled for record in answered),
        first=latency(
            record.first_byte - record.scheduled
            for record in answered
            if record.first_byte is not None
        ),
    )


def table(result: generator.Result) -> str:
    """Returns the rows and the total throughput of a run as text."""
    header = (
        f"{'kind':<11}{'requests':>9}{'answered':>9}{'not run':>9}{'unknown':>9}{'failed':>8}"
        f"{'p50 ms':>10}{'p95 ms':>10}{'p99 ms':>10}{'first p95':>11}"
    )
    lines = [
        f"{row.kind:<11}{row.requests:>9}{row.answered:>9}{row.not_run:>9}{row.unknown:>9}"
        f"{row.failed:>8}{row.latency.p50:>10.1f}{row.latency.p95:>10.1f}{row.latency.p99:>10.1f}"
        f"{row.first.p95:>11.1f}"
        for row in rows(result.records)
    ]
    tokens = sum(record.tokens for record in result.records)
    gaps = latency(result.token_gaps)
    return "\n".join(
        [
            header,
            *lines,
            f"{len(result.records) / result.seconds:.1f} requests/s, "
            f"{tokens / result.seconds:.0f} tokens/s, "
            f"between tokens p50 {gaps.p50:.1f} ms, p95 {gaps.p95:.1f} ms",
        ]
    )
