"""Collects the request logs of back ends and runs all history checks over them."""

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
    """The merged logs of several back ends.

    Attributes:
        runs: Requests that runners ran.
        memberships: Spans of runners' membership in groups.
        filings: Calls that plain services ran.
        vm_ids_by_address: Ids of the runners' VMs.
    """

    runs: tuple[back_ends.Run, ...] = ()
    memberships: tuple[back_ends.Membership, ...] = ()
    filings: tuple[back_ends.Filing, ...] = ()
    vm_ids_by_address: dict[str, str] = dataclasses.field(default_factory=dict)


async def collect(addresses: Iterable[str]) -> Logs:
    """Fetches and merges the logs of back ends at `host:port` addresses."""
    client = httpclient.AsyncHTTPClient()
    back_end_addresses = list(addresses)
    responses = await asyncio.gather(
        *(client.fetch(f"http://{address}/log") for address in back_end_addresses)
    )
    return merge(
        {
            address: json.loads(response.body)
            for address, response in zip(back_end_addresses, responses, strict=True)
        }
    )


def merge(logs_by_address: dict[str, dict[str, Any]]) -> Logs:
    """Merges the decoded logs of back ends."""
    logs = list(logs_by_address.values())
    return Logs(
        runs=tuple(back_ends.Run(**run) for log in logs for run in log.get("runs", ())),
        memberships=tuple(
            back_ends.Membership(**membership | {"members": tuple(membership["members"])})
            for log in logs
            for membership in log.get("memberships", ())
        ),
        filings=tuple(
            back_ends.Filing(**filing) for log in logs for filing in log.get("filings", ())
        ),
        vm_ids_by_address={
            address: log["vm_id"] for address, log in logs_by_address.items() if "vm_id" in log
        },
    )


def check(
    request_records: Sequence[records.Record],
    logs: Logs,
    *,
    withdrawals: Sequence[history.Withdrawal] = (),
    failure_domains_by_vm_id: dict[str, str] | None = None,
    allowed_seconds: float = 3.0,
) -> list[history.Violation]:
    """Returns the violations that all checks find in a history.

    Args:
        request_records: Requests as their callers saw them.
        logs: What the back ends ran.
        withdrawals: VMs and failure domains that left service.
        failure_domains_by_vm_id: Failure domains of VMs, for withdrawals of whole domains.
        allowed_seconds: Time after a withdrawal in which requests may still start there.
    """
    starts = _starts_by_name(logs, failure_domains_by_vm_id or {})
    return [
        *history.check_answers(request_records),
        *history.check_at_most_once(logs.filings),
        *history.check_not_run_refusals(request_records, logs.filings, logs.runs),
        *history.check_receipts(request_records, logs.filings),
        *history.check_groups_complete(logs.runs, logs.memberships, logs.vm_ids_by_address),
        *history.check_memberships(logs.memberships),
        *history.check_cold_limits(logs.runs),
        *history.check_withdrawals(starts, withdrawals, allowed_seconds=allowed_seconds),
    ]


def _starts_by_name(
    logs: Logs, failure_domains_by_vm_id: dict[str, str]
) -> dict[str, list[tuple[str, float]]]:
    """Returns the id and start time of requests, by VM and by failure domain."""
    starts = [(run.vm_id, run.request_id, run.started) for run in logs.runs]
    starts += [(filing.instance, filing.request_id, filing.at) for filing in logs.filings]
    starts_by_name = collections.defaultdict(list)
    for vm_id, request_id, at in starts:
        starts_by_name[vm_id].append((request_id, at))
        if vm_id in failure_domains_by_vm_id:
            starts_by_name[failure_domains_by_vm_id[vm_id]].append((request_id, at))
    return starts_by_name
