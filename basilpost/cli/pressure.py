"""`basilpost pressure`: shows what callers want of each model beside what there is, from nodes' metrics."""

import collections
import dataclasses
import sys
import urllib.request
from collections.abc import Iterable

import click
from prometheus_client import parser

from basilpost.cli import table

_TIMEOUT_SECONDS = 3.0
_EXIT_FAILED = 1


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Rank:
    """The requests of one rank for one model."""

    model: str
    rank: str


@dataclasses.dataclass(kw_only=True)
class Pressure:
    """What the nodes show of one rank.

    Attributes:
        targets: Targets that process requests for its model.
        wanted: Work that callers want, in targets.
        share: Share of the new requests that is admitted.
        admitted: Requests admitted so far, over the nodes that were asked.
        refused: The same for requests refused.
    """

    targets: float = 0.0
    wanted: float = 0.0
    share: float = 1.0
    admitted: float = 0.0
    refused: float = 0.0


@click.command()
@click.argument("addresses", nargs=-1, required=True)
def pressure(addresses: tuple[str, ...]) -> None:
    """Shows demand, room and admitted shares by model and rank.

    ADDRESSES are the metrics ports of nodes, host:port. Demand and shares are those of all nodes, as
    the node that was asked last knows them; requests are counted over the nodes that were asked.

    Example: basilpost pressure 10.1.0.40:7355 10.2.0.29:7355
    """
    texts = [_fetch(address) for address in addresses]
    rows = [
        (
            rank.model,
            rank.rank,
            f"{shown.targets:.0f}",
            f"{shown.wanted:.1f}",
            f"{shown.share:.0%}",
            f"{shown.admitted:.0f}",
            f"{shown.refused:.0f}",
        )
        for rank, shown in sorted(read(texts).items())
    ]
    header = ("MODEL", "RANK", "TARGETS", "WANTED", "SHARE", "ADMITTED", "REFUSED")
    click.echo(table.layout(header, rows))


def read(texts: Iterable[str]) -> dict[Rank, Pressure]:
    """Returns what the metrics pages of some nodes show, by rank."""
    shown: dict[Rank, Pressure] = collections.defaultdict(Pressure)
    targets_by_model: dict[str, float] = {}
    samples = (
        sample
        for text in texts
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    )
    for sample in samples:
        rank = Rank(model=sample.labels.get("model", ""), rank=sample.labels.get("rank", ""))
        match sample.name:
            case "basilpost_model_targets":
                targets_by_model[rank.model] = sample.value
            case "basilpost_rank_wanted_work":
                shown[rank].wanted = sample.value
            case "basilpost_rank_admitted_share":
                shown[rank].share = sample.value
            case "basilpost_rank_arrivals_total":
                if sample.labels.get("decision") == "refused":
                    shown[rank].refused += sample.value
                else:
                    shown[rank].admitted += sample.value
    for rank, pressure_of_rank in shown.items():
        pressure_of_rank.targets = targets_by_model.get(rank.model, 0.0)
    return dict(shown)


def _fetch(address: str) -> str:
    try:
        with urllib.request.urlopen(
            f"http://{address}/metrics", timeout=_TIMEOUT_SECONDS
        ) as answer:
            body: bytes = answer.read()
    except (OSError, ValueError) as error:
        click.echo(f"{address}: {error}", err=True)
        sys.exit(_EXIT_FAILED)
    return body.decode()
