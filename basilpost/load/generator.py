"""The open-loop generator: sends a schedule on time, whatever becomes of earlier requests."""

import asyncio
import dataclasses

from tornado import httpclient

from basilpost.core import clock
from basilpost.load import caller, records, schedule

_MAX_CONNECTIONS = 20_000
_LEAD_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """What a run of a schedule brought.

    Attributes:
        records: One for each request, ordered by schedule.
        token_gaps: Seconds between pieces of streamed answers.
        seconds: Time from the first request to the last answer.
    """

    records: tuple[records.Record, ...]
    token_gaps: tuple[float, ...]
    seconds: float


async def run(plan: schedule.Plan) -> Result:
    """Sends all requests of a plan and waits for their answers."""
    arrivals = schedule.arrivals(plan)
    client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=_MAX_CONNECTIONS)
    begin = clock.monotonic() + _LEAD_SECONDS
    try:
        answered = await asyncio.gather(
            *(_send_on_time(client, arrival, plan, begin + arrival.at) for arrival in arrivals)
        )
    finally:
        client.close()
    gaps = (
        later - earlier
        for record, times in answered
        if record.kind is records.Kind.STREAM
        for earlier, later in zip(times, times[1:], strict=False)
    )
    return Result(
        records=tuple(record for record, _ in answered),
        token_gaps=tuple(gaps),
        seconds=clock.monotonic() - begin,
    )


async def _send_on_time(
    client: httpclient.AsyncHTTPClient, arrival: schedule.Arrival, plan: schedule.Plan, due: float
) -> tuple[records.Record, list[float]]:
    await asyncio.sleep(due - clock.monotonic())
    return await caller.send(client, arrival, plan, due)
