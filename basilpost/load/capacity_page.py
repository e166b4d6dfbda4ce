"""Renders the tables of docs/CAPACITY.md and inserts them between the page's markers."""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from basilpost.core import failure
from basilpost.load import capacity_model as model
from basilpost.load import fit, samples

_NOT_MEASURED = "not measured"
_MIN_SHOWN_SPREAD_SHARE = 1e-6
Fits = Mapping[str, fit.Fit | fit.TooFewSizes]


@dataclasses.dataclass(frozen=True, kw_only=True)
class EvaluatedCost:
    """A cost in units of its resource; `spread` is the slope's standard error, scaled alike."""

    cost: model.Cost
    value: float
    spread: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotMeasured(failure.Failure):
    """The cost's slope has no samples, or samples of too few sizes."""

    cost: model.Cost


@dataclasses.dataclass(frozen=True, kw_only=True)
class MissingMarkers(failure.Failure):
    """The page lacks the markers of a table."""


def evaluate(cost: model.Cost, fits: Fits) -> EvaluatedCost | NotMeasured:
    """Multiplies a cost's amount by its slope; a cost without a slope is its scaled amount."""
    if not cost.slope:
        return EvaluatedCost(cost=cost, value=cost.amount * cost.scale)
    line = fits.get(cost.slope)
    if not isinstance(line, fit.Fit):
        reason = line.reason if line else f"no samples of {cost.slope}"
        return NotMeasured(reason=reason, cost=cost)
    factor = cost.amount * cost.scale
    if cost.unit_size is None:
        return EvaluatedCost(cost=cost, value=line.slope * factor, spread=line.spread * factor)
    # A base below zero is an artefact of the fit: a message never costs less than its content does.
    unit_cost = max(line.base, 0.0) + line.slope * cost.unit_size
    return EvaluatedCost(
        cost=cost, value=unit_cost * factor, spread=line.spread * cost.unit_size * factor
    )


def role_table(costs: Iterable[model.Cost], fits: Fits) -> str:
    """Returns the table of the costs of one role."""
    rows = [_role_row(evaluate(cost, fits)) for cost in costs]
    return table(("work", "how much", "slope", "cost", "carried by"), rows)


def _role_row(evaluated: EvaluatedCost | NotMeasured) -> tuple[str, ...]:
    cost = evaluated.cost
    value = _NOT_MEASURED if isinstance(evaluated, NotMeasured) else _with_spread(evaluated)
    return (cost.work, cost.amount_text, cost.slope or "count", value, cost.mechanism)


def _with_spread(evaluated: EvaluatedCost) -> str:
    text = number(evaluated.value)
    is_shown = evaluated.spread > abs(evaluated.value) * _MIN_SHOWN_SPREAD_SHARE
    spread = f" ± {number(evaluated.spread)}" if is_shown else ""
    return f"{text}{spread} {evaluated.cost.resource.value}"


def sum_table(costs: Iterable[model.Cost], fits: Fits, limits: model.Limits) -> str:
    """Returns the sums of all control work against the limits, and the slopes not measured.

    The busiest node does every kind of work at once, the mean node its share of each.
    """
    allowed = {
        model.Resource.CPU: limits.cpu,
        model.Resource.MEMORY: limits.memory,
        model.Resource.NETWORK: limits.network,
        model.Resource.WRITES: limits.store_writes,
        model.Resource.READS: limits.store_reads,
    }
    control_costs = [cost for cost in costs if cost.role in model.CONTROL_ROLES]
    rows = [
        _sum_row(
            resource,
            limit,
            [evaluate(cost, fits) for cost in control_costs if cost.resource is resource],
        )
        for resource, limit in allowed.items()
    ]
    return table(("control work", "mean node", "busiest node", "limit", "verdict"), rows)


def _sum_row(
    resource: model.Resource, limit: float, evaluated: Sequence[EvaluatedCost | NotMeasured]
) -> tuple[str, ...]:
    measured = [one for one in evaluated if isinstance(one, EvaluatedCost)]
    missing = {one.cost.slope for one in evaluated if isinstance(one, NotMeasured)}
    mean = sum(one.value * one.cost.node_share for one in measured)
    busiest = sum(one.value for one in measured)
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
    """Returns the table of all fitted slopes with their standard errors."""
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
    """Returns the table of the single figures."""
    return table(
        ("figure", "value"),
        [(figure.figure, f"{number(figure.value)} {figure.unit}") for figure in figures],
    )


def fleet_table(fleet: model.Fleet) -> str:
    """Returns the table of the fleet sizes that the page is calculated for."""
    rows = [
        (name.replace("_", " "), number(value)) for name, value in dataclasses.asdict(fleet).items()
    ]
    return table(("size", "value"), rows)


def storm_table(storms: Iterable[tuple[str, str, str, str]]) -> str:
    """Returns the table of storms: event, what changes at once, cost, what bounds the cost."""
    return table(("storm", "what changes at once", "cost", "carried by"), list(storms))


def insert_tables(page: str, tables_by_name: Mapping[str, str]) -> str | MissingMarkers:
    """Returns the page with the text between each table's markers replaced."""
    for name, table in tables_by_name.items():
        begin, end = f"<!-- begin {name} -->\n", f"<!-- end {name} -->"
        before, found_begin, rest = page.partition(begin)
        _, found_end, after = rest.partition(end)
        if not found_begin or not found_end:
            return MissingMarkers(reason=f"the page has no markers for {name!r}")
        page = f"{before}{begin}\n{table}\n{end}{after}"
    return page


def number(value: float) -> str:
    """Formats a number with three significant digits, or as a whole number from 1000 on."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Returns a Markdown table."""
    lines = [" | ".join(header), " | ".join("---" for _ in header)]
    lines += [" | ".join(row) for row in rows]
    return "\n".join(f"| {line} |" for line in lines) + "\n"
