"""Collects the back ends' own logs and runs all history checks over them."""

import asyncio
import collections
import dataclasses
import json
from collections.abc import Iterable, Sequence
from typing import Any

from tornado import httpclient

from basilpost.emulator import records as back_ends
from basilpost.load import history, records


@dataclasses.dataclass(frozen=True, kw_only=True)
class Logs:
    """What the back ends say that they ran.

    Attributes:
        runs: Requests that runners ran.
        memberships: Spans of runners' membership in groups.
        filings: Calls that plain services ran.
        vm_ids_by_address: Runners' VMs by their address.
    """

    runs: tuple[back_ends.Run, ...] = ()
    memberships: tuple[back_ends.Membership, ...] = ()
    filings: tuple[back_ends.Filing, ...] = ()
    vm_ids_by_address: dict[str, str] = dataclasses.field(default_factory=dict)


async def collect(addresses: Iterable[str]) -> Logs:
    """Reads the logs of back ends at `host:port` addresses."""
    client = httpclient.AsyncHTTPClient()
    known = list(addresses)
    answers = await asyncio.gather(*(client.fetch(f"http://{one}/log") for one in known))
    return merge({one: json.loads(answer.body) for one, answer in zip(known, answers, strict=True)})


def merge(logs_by_address: dict[str, dict[str, Any]]) -> Logs:
    """Puts the decoded logs of several back ends together."""
    logs = list(logs_by_address.values())
    return Logs(
        runs=tuple(back_ends.Run(**run) for log in logs for run in log.get("runs", ())),
        memberships=tuple(
            back_ends.Membership(**one | {"members": tuple(one["members"])})
            for log in logs
            for one in log.get("memberships", ())
        ),
        filings=tuple(
            back_ends.Filing(**filing) for log in logs for filing in log.get("filings", ())
        ),
        vm_ids_by_address={
            address: log["vm_id"] for address, log in logs_by_address.items() if "vm_id" in log
        },
    )


def check(
    found: Sequence[records.Record],
    logs: Logs,
    *,
    withdrawals: Sequence[history.Withdrawal] = (),
    failure_domains_by_vm_id: dict[str, str] | None = None,
    allowed_seconds: float = 3.0,
) -> list[history.Violation]:
    """Runs all checks over a history."""
    starts = _starts_by_name(logs, failure_domains_by_vm_id or {})
    return [
        *history.whole_and_own(found),
        *history.at_most_once(logs.filings),
        *history.not_run_is_true(found, logs.filings, logs.runs),
        *history.accepted_have_run(found, logs.filings),
        *history.group_was_whole(logs.runs, logs.memberships, logs.vm_ids_by_address),
        *history.none_overlap(logs.memberships),
        *history.cold_limit_held(logs.runs),
        *history.none_after_withdrawal(starts, withdrawals, allowed_seconds=allowed_seconds),
    ]


def _starts_by_name(
    logs: Logs, failure_domains_by_vm_id: dict[str, str]
) -> dict[str, list[tuple[str, float]]]:
    """Returns the starts of requests by VM and by failure domain."""
    starts = [(run.vm_id, run.request_id, run.started) for run in logs.runs]
    starts += [(one.instance, one.request_id, one.at) for one in logs.filings]
    found = collections.defaultdict(list)
    for vm_id, request_id, at in starts:
        found[vm_id].append((request_id, at))
        if vm_id in failure_domains_by_vm_id:
            found[failure_domains_by_vm_id[vm_id]].append((request_id, at))
    return found
