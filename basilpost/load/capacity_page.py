"""Renders the tables of docs/CAPACITY.md and puts them between its markers."""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from basilpost.core import failure
from basilpost.load import capacity_model as model
from basilpost.load import fit, samples

_NOT_MEASURED = "not measured"
_SMALLEST_SHARE = 1e-6
Fits = Mapping[str, fit.Fit | fit.TooFewSizes]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """A cost worked out: its value and the spread that the slope's spread gives it."""

    cost: model.Cost
    value: float
    spread: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotMeasured(failure.Failure):
    """The slope of a cost has no measurement of enough sizes."""

    cost: model.Cost


@dataclasses.dataclass(frozen=True, kw_only=True)
class MissingMarkers(failure.Failure):
    """The page has no place for a table."""


def work_out(cost: model.Cost, fits: Fits) -> Result | NotMeasured:
    """Multiplies a cost's amount with its slope."""
    if not cost.slope:
        return Result(cost=cost, value=cost.amount * cost.scale)
    line = fits.get(cost.slope)
    if not isinstance(line, fit.Fit):
        reason = line.reason if line else f"no samples of {cost.slope}"
        return NotMeasured(reason=reason, cost=cost)
    factor = cost.amount * cost.scale
    if cost.each is None:
        return Result(cost=cost, value=line.slope * factor, spread=line.spread * factor)
    # A base below zero is an artefact of the fit; a message never costs less than its content.
    each = max(line.base, 0.0) + line.slope * cost.each
    return Result(cost=cost, value=each * factor, spread=line.spread * cost.each * factor)


def role_table(costs: Iterable[model.Cost], fits: Fits) -> str:
    """Returns the table of one role."""
    rows = [_role_row(work_out(cost, fits)) for cost in costs]
    return table(("work", "how much", "slope", "cost", "carried by"), rows)


def _role_row(found: Result | NotMeasured) -> tuple[str, ...]:
    cost = found.cost
    value = _NOT_MEASURED if isinstance(found, NotMeasured) else _with_spread(found)
    return (cost.what, cost.amount_text, cost.slope or "count", value, cost.mechanism)


def _with_spread(found: Result) -> str:
    text = number(found.value)
    seen = found.spread > abs(found.value) * _SMALLEST_SHARE
    spread = f" ± {number(found.spread)}" if seen else ""
    return f"{text}{spread} {found.cost.resource.value}"


def sum_table(costs: Iterable[model.Cost], fits: Fits, limits: model.Limits) -> str:
    """Returns the sums of all control work against the limits; what is not measured is named.

    The busiest node bears every kind of work at once, the mean node its share of each.
    """
    allowed = {
        model.Resource.CPU: limits.cpu,
        model.Resource.MEMORY: limits.memory,
        model.Resource.NETWORK: limits.network,
        model.Resource.WRITES: limits.store_writes,
        model.Resource.READS: limits.store_reads,
    }
    control = [cost for cost in costs if cost.role in model.CONTROL_ROLES]
    rows = [
        _sum_row(
            resource, limit, [work_out(one, fits) for one in control if one.resource is resource]
        )
        for resource, limit in allowed.items()
    ]
    return table(("control work", "mean node", "busiest node", "limit", "verdict"), rows)


def _sum_row(
    resource: model.Resource, limit: float, found: Sequence[Result | NotMeasured]
) -> tuple[str, ...]:
    results = [one for one in found if isinstance(one, Result)]
    missing = {one.cost.slope for one in found if isinstance(one, NotMeasured)}
    mean = sum(one.value * one.cost.node_share for one in results)
    busiest = sum(one.value for one in results)
    verdict = _verdict(mean, busiest, limit)
    if missing:
        verdict = f"{verdict}; {_NOT_MEASURED}: {', '.join(sorted(missing))}"
    return (resource.value, number(mean), number(busiest), number(limit), verdict)


def _verdict(mean: float, busiest: float, limit: float) -> str:
    if busiest <= limit:
        return "carried"
    if mean <= limit:
        return f"**not carried by the busiest node** ({busiest / limit:.1f} times the limit)"
    return f"**not carried** ({mean / limit:.1f} times the limit in the mean)"


def slope_table(fits: Fits) -> str:
    """Returns all fitted slopes with their spreads."""
    rows = [
        (
            (name, _NOT_MEASURED, line.reason, "", "")
            if isinstance(line, fit.TooFewSizes)
            else (
                name,
                f"{number(line.slope)} {line.value_unit} / {line.size_unit}",
                number(line.spread),
                number(line.base),
                ", ".join(number(size) for size in line.sizes),
            )
        )
        for name, line in fits.items()
    ]
    return table(("slope", "value", "spread", "at size 0", "sizes"), rows)


def figure_table(figures: Iterable[samples.Figure]) -> str:
    """Returns the single figures."""
    return table(
        ("figure", "value"), [(one.figure, f"{number(one.value)} {one.unit}") for one in figures]
    )


def fleet_table(fleet: model.Fleet) -> str:
    """Returns the sizes that the page is worked out for."""
    rows = [
        (name.replace("_", " "), number(value)) for name, value in dataclasses.asdict(fleet).items()
    ]
    return table(("size", "value"), rows)


def storm_table(storms: Iterable[tuple[str, str, str, str]]) -> str:
    """Returns the storms: what happens, how much changes, what it costs, what carries it."""
    return table(("storm", "what changes at once", "cost", "carried by"), list(storms))


def put(page: str, tables_by_name: Mapping[str, str]) -> str | MissingMarkers:
    """Replaces what stands between each table's markers."""
    for name, table in tables_by_name.items():
        begin, end = f"<!-- begin {name} -->\n", f"<!-- end {name} -->"
        before, found_begin, rest = page.partition(begin)
        _, found_end, after = rest.partition(end)
        if not found_begin or not found_end:
            return MissingMarkers(reason=f"the page has no markers for {name!r}")
        page = f"{before}{begin}\n{table}\n{end}{after}"
    return page


def number(value: float) -> str:
    """Writes a number with three significant digits."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Returns a Markdown table."""
    lines = [" | ".join(head), " | ".join("---" for _ in head)]
    lines += [" | ".join(row) for row in rows]
    return "\n".join(f"| {line} |" for line in lines) + "\n"
