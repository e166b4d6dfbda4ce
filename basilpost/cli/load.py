"""`basilpost load`: sends an open-loop load to nodes and checks the answers."""

import asyncio
import contextlib
import io
import json
import pathlib
import sys

import click

from basilpost.load import (
    generator,
    logs,
    plots,
    pool_replay,
    records,
    report,
    schedule,
    series,
)
from basilpost.settings import loader

_KINDS = [kind.value for kind in records.Kind]


@click.group(name="load", invoke_without_command=True)
@click.option("--gateway", "gateways", multiple=True, help="Base URL of a node.")
@click.option("--key", "keys", multiple=True, help="WORKSPACE=API-KEY[*WEIGHT].")
@click.option("--rate", default=20.0, show_default=True, help="Requests a second.")
@click.option("--seconds", default=10.0, show_default=True, help="Length of the load.")
@click.option("--seed", default=1, show_default=True, help="Seed of the schedule.")
@click.option("--model", default="clearance", show_default=True, help="Model to call.")
@click.option("--service", default="licences", show_default=True, help="Plain service to call.")
@click.option("--mix", multiple=True, help=f"KIND=WEIGHT, kinds: {', '.join(_KINDS)}.")
@click.option("--max-tokens", default=32, show_default=True, help="Tokens of an answer.")
@click.option("--repeats", default=0.2, show_default=True, help="Share of filings sent twice.")
@click.option("--deadline", default=30.0, show_default=True, help="Deadline in seconds.")
@click.option("--back-end", "back_ends", multiple=True, help="host:port whose /log is checked.")
@click.option("--history", type=click.Path(), help="File for every request's record.")
@click.pass_context
def command(
    context: click.Context,
    gateways: tuple[str, ...],
    keys: tuple[str, ...],
    rate: float,
    seconds: float,
    seed: int,
    model: str,
    service: str,
    mix: tuple[str, ...],
    max_tokens: int,
    repeats: float,
    deadline: float,
    back_ends: tuple[str, ...],
    history: str | None,
) -> None:
    """Sends requests on a fixed schedule and prints their outcomes and latencies.

    Latency is measured from the time that a request was scheduled. With --back-end the logs of
    emulated back ends are read and the history is checked; violations end the command with 1.

    \b
    Example:
        basilpost load --gateway http://127.0.0.1:8080 --key editors=KEY \\
            --rate 50 --seconds 20 --mix stream=3 --mix filing=1 --history out.jsonl
    """
    if context.invoked_subcommand is not None:
        return
    if not gateways or not keys:
        raise click.UsageError("--gateway and --key are needed")
    plan = schedule.Plan(
        seed=seed,
        rate=rate,
        seconds=seconds,
        gateways=tuple(gateway.rstrip("/") for gateway in gateways),
        callers=tuple(_parse_caller(text) for text in keys),
        model=model,
        service=service,
        max_tokens=max_tokens,
        repeat_share=repeats,
        deadline_seconds=deadline,
        weights_by_kind=_parse_weights(mix) if mix else schedule.default_weights(),
    )
    result = asyncio.run(generator.run(plan))
    click.echo(report.table(result))
    if history:
        with contextlib.closing(open(history, "w", encoding="utf-8")) as file:
            records.write_lines(result.records, file)
    if back_ends:
        _check_history(result.records, back_ends)


@command.command(name="report")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--aim", default=1.0, show_default=True, help="Seconds to the first byte.")
@click.option("--png", type=click.Path(), help="File for a plot; needs basilpost[plots].")
def report_command(file: str, aim: float, png: str | None) -> None:
    """Prints a run second by second, from the file that --history wrote.

    \b
    Example:
        basilpost load report out.jsonl --aim 0.5 --png out.png
    """
    text = pathlib.Path(file).read_text(encoding="utf-8")
    seconds = series.by_second(records.read_lines(io.StringIO(text)), aim_seconds=aim)
    click.echo(series.table(seconds))
    if png is not None:
        plot_failure = plots.draw(seconds, pathlib.Path(png))
        if plot_failure is not None:
            raise click.ClickException(plot_failure.reason)


@command.command(name="replay")
@click.argument("patterns", nargs=-1, type=click.Path(exists=True, dir_okay=False))
@click.option("--seeds", default=8, show_default=True, help="Replays of each pattern.")
def replay_command(patterns: tuple[str, ...], seeds: int) -> None:
    """Replays the loss and arrival of VMs and prints what was served of each model.

    Without PATTERNS all that come with basilpost are replayed. The baseline starts all loads of
    weights at once.

    \b
    Example:
        basilpost load replay --seeds 20
    """
    paths = [pathlib.Path(name) for name in patterns] or sorted(
        pool_replay.PATTERNS.glob("*.jsonc")
    )
    for path in paths:
        try:
            pattern = pool_replay.read_pattern(path)
        except loader.SettingsError as error:
            raise click.ClickException(str(error)) from error
        click.echo(f"{path.stem}: {pattern.description}")
        for label, limits_loads in (("baseline", False), ("decisions", True)):
            results = [
                pool_replay.run(pattern, seed=seed, limits_loads=limits_loads)
                for seed in range(seeds)
            ]
            shares = "  ".join(
                f"{model.name} {pool_replay.mean_share(results, model.name):.3f}"
                for model in pattern.models
            )
            loads = sum(result.loads for result in results) / len(results)
            click.echo(f"  {label:<10} served: {shares}  loads {loads:.1f}")


def _check_history(sent: tuple[records.Record, ...], back_ends: tuple[str, ...]) -> None:
    violations = logs.check(sent, asyncio.run(logs.collect(back_ends)))
    for violation in violations:
        click.echo(json.dumps({"rule": violation.rule, "reason": violation.reason}), err=True)
    click.echo(f"history checks: {len(violations)} violations")
    if violations:
        sys.exit(1)


def _parse_caller(text: str) -> schedule.Caller:
    workspace, equals, key_and_weight = text.partition("=")
    api_key, star, weight = key_and_weight.partition("*")
    if not equals or not api_key:
        raise click.BadParameter(f"{text!r} is not WORKSPACE=API-KEY", param_hint="--key")
    return schedule.Caller(
        workspace=workspace,
        api_key=api_key,
        weight=_parse_weight(weight, "--key") if star else 1.0,
    )


def _parse_weights(mix: tuple[str, ...]) -> dict[records.Kind, float]:
    weights_by_kind = {}
    for text in mix:
        kind, _, weight = text.partition("=")
        if kind not in _KINDS:
            raise click.BadParameter(f"{kind!r} is none of {_KINDS}", param_hint="--mix")
        weights_by_kind[records.Kind(kind)] = _parse_weight(weight, "--mix")
    return weights_by_kind


def _parse_weight(text: str, hint: str) -> float:
    try:
        number = float(text)
    except ValueError:
        number = 0.0
    if number <= 0:
        raise click.BadParameter(f"{text!r} is no weight above 0", param_hint=hint)
    return number
