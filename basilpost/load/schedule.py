"""Reproducible arrival schedules for an open-loop load.

A schedule depends on its plan and seed, never on how fast answers arrive: a slow system gets as
many requests as a fast one, and two runs with one seed send the same requests at the same times.
"""

import dataclasses
import json
import random
from typing import Any

from basilpost.load import records

_WORDS = (
    "clip estate broadcast archive title licence deposit renewal maturity balance saver term "
    "rights summary festival provenance chain clearance account history"
).split()
_MAX_REPEAT_DELAY_SECONDS = 1.0
_CATALOGUE_ITEMS = 1000


def default_weights() -> dict[records.Kind, float]:
    """Returns the default share of each kind of request."""
    return {
        records.Kind.COMPLETION: 2.0,
        records.Kind.STREAM: 4.0,
        records.Kind.LOOK_UP: 3.0,
        records.Kind.FILING: 1.0,
    }


@dataclasses.dataclass(frozen=True, kw_only=True)
class Caller:
    """A workspace that sends requests; `weight` is its relative share of them."""

    workspace: str
    api_key: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """The kinds, rates and targets of the requests of one run.

    Attributes:
        seed: Seed of the schedule.
        rate: Requests a second on average, repeats not counted.
        seconds: Length of the schedule.
        gateways: Base URLs of the nodes; each request goes to one of them.
        callers: Workspaces that send the requests.
        weights_by_kind: Relative share of each kind of request.
        model: Model named in completions.
        service: Plain service that is called.
        max_tokens: Tokens of each answer.
        prompt_words: Words of each prompt.
        repeat_share: Share of filings sent a second time, through another gateway if there is one.
        deadline_seconds: Deadline sent with each request.
    """

    seed: int = 1
    rate: float = 20.0
    seconds: float = 10.0
    gateways: tuple[str, ...]
    callers: tuple[Caller, ...]
    weights_by_kind: dict[records.Kind, float] = dataclasses.field(default_factory=default_weights)
    model: str = "clearance"
    service: str = "licences"
    max_tokens: int = 32
    prompt_words: int = 40
    repeat_share: float = 0.2
    deadline_seconds: float = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request of a schedule; `at` is in seconds from the start of the run."""

    at: float
    request_id: str
    kind: records.Kind
    caller: Caller
    gateway: str
    method: str
    path: str
    body: bytes = b""
    key: str = ""


def arrivals(plan: Plan) -> list[Arrival]:
    """Returns the schedule of a plan, ordered by time."""
    source = random.Random(plan.seed)
    scheduled: list[Arrival] = []
    at = source.expovariate(plan.rate)
    while at < plan.seconds:
        scheduled += _arrival_and_repeat(plan, source, len(scheduled), at)
        at += source.expovariate(plan.rate)
    return sorted(scheduled, key=lambda arrival: arrival.at)


def _arrival_and_repeat(plan: Plan, source: random.Random, number: int, at: float) -> list[Arrival]:
    kinds = list(plan.weights_by_kind)
    kind = source.choices(kinds, weights=list(plan.weights_by_kind.values()))[0]
    caller = source.choices(plan.callers, weights=[caller.weight for caller in plan.callers])[0]
    request_id = f"load-{plan.seed}-{number}"
    first = Arrival(
        at=at,
        request_id=request_id,
        kind=kind,
        caller=caller,
        gateway=source.choice(plan.gateways),
        **_request_fields(plan, source, kind, request_id),
    )
    if kind is not records.Kind.FILING or source.random() >= plan.repeat_share:
        return [first]
    other_gateways = [gateway for gateway in plan.gateways if gateway != first.gateway] or list(
        plan.gateways
    )
    repeat = dataclasses.replace(
        first,
        at=at + source.random() * _MAX_REPEAT_DELAY_SECONDS,
        request_id=f"load-{plan.seed}-{number + 1}",
        gateway=source.choice(other_gateways),
    )
    return [first, repeat]


def _request_fields(
    plan: Plan, source: random.Random, kind: records.Kind, request_id: str
) -> dict[str, Any]:
    if kind is records.Kind.LOOK_UP:
        item = source.randrange(_CATALOGUE_ITEMS)
        return {"method": "GET", "path": f"/services/{plan.service}/catalogue/{item}"}
    if kind is records.Kind.FILING:
        body = {"clip": source.randrange(_CATALOGUE_ITEMS), "number": request_id}
        return {
            "method": "POST",
            "path": f"/services/{plan.service}/filings",
            "body": json.dumps(body).encode(),
            "key": f"key-{request_id}",
        }
    prompt = " ".join(source.choices(_WORDS, k=plan.prompt_words))
    completion = {
        "model": plan.model,
        "messages": [{"role": "user", "content": f"{prompt} {request_id}"}],
        "max_tokens": plan.max_tokens,
        "stream": kind is records.Kind.STREAM,
    }
    return {
        "method": "POST",
        "path": "/v1/chat/completions",
        "body": json.dumps(completion).encode(),
    }
