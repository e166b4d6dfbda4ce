"""Open-loop load generator: sends each request on schedule, without waiting for earlier answers."""

import asyncio
import dataclasses

from tornado import httpclient

from basilpost.core import clock
from basilpost.load import caller, records, schedule

_MAX_CONNECTIONS = 20_000
_START_DELAY_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """The outcome of one run of a schedule.

    Attributes:
        records: Records of all requests, in the order of the schedule.
        token_gaps: Seconds between successive chunks of streamed answers.
        seconds: Time from the first request to the last answer.
    """

    records: tuple[records.Record, ...]
    token_gaps: tuple[float, ...]
    seconds: float


async def run(plan: schedule.Plan) -> Result:
    """Sends all requests of a plan; returns when the last one is answered or has failed."""
    arrivals = schedule.arrivals(plan)
    client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=_MAX_CONNECTIONS)
    start = clock.monotonic() + _START_DELAY_SECONDS
    try:
        results = await asyncio.gather(
            *(_send_on_time(client, arrival, plan, start + arrival.at) for arrival in arrivals)
        )
    finally:
        client.close()
    gaps = (
        later - earlier
        for record, chunk_times in results
        if record.kind is records.Kind.STREAM
        for earlier, later in zip(chunk_times, chunk_times[1:], strict=False)
    )
    return Result(
        records=tuple(record for record, _ in results),
        token_gaps=tuple(gaps),
        seconds=clock.monotonic() - start,
    )


async def _send_on_time(
    client: httpclient.AsyncHTTPClient, arrival: schedule.Arrival, plan: schedule.Plan, due: float
) -> tuple[records.Record, list[float]]:
    await asyncio.sleep(due - clock.monotonic())
    return await caller.send(client, arrival, plan, due)
