"""Fixed schedules of arrivals for an open-loop load.

The schedule depends on its seed alone and never on how fast answers come, so that a slow system
is not asked less; two runs with one seed ask the same questions at the same times.
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
_REPEAT_SECONDS = 1.0
_CATALOGUE_ITEMS = 1000


def default_weights() -> dict[records.Kind, float]:
    """Returns the usual mix of requests."""
    return {
        records.Kind.COMPLETION: 2.0,
        records.Kind.STREAM: 4.0,
        records.Kind.LOOK_UP: 3.0,
        records.Kind.FILING: 1.0,
    }


@dataclasses.dataclass(frozen=True, kw_only=True)
class Caller:
    """A workspace that sends requests; `weight` is its share of them."""

    workspace: str
    api_key: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What is asked, and how often.

    Attributes:
        seed: Seed of the schedule.
        rate: Requests a second on average, repeats not counted.
        seconds: Length of the schedule.
        gateways: Base URLs of the nodes; each request goes to one of them.
        callers: Who asks.
        weights_by_kind: Share of each kind of request.
        model: Model named in completions.
        service: Plain service that is called.
        max_tokens: Tokens of each answer.
        prompt_words: Words of each prompt.
        repeat_share: Share of filings that are sent again, through another gateway.
        deadline_seconds: Deadline that each request names.
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
    """One request of a schedule; `at` is in seconds from its beginning."""

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
    found: list[Arrival] = []
    at = source.expovariate(plan.rate)
    while at < plan.seconds:
        found += _arrival_and_repeat(plan, source, len(found), at)
        at += source.expovariate(plan.rate)
    return sorted(found, key=lambda arrival: arrival.at)


def _arrival_and_repeat(plan: Plan, source: random.Random, number: int, at: float) -> list[Arrival]:
    kinds = list(plan.weights_by_kind)
    kind = source.choices(kinds, weights=list(plan.weights_by_kind.values()))[0]
    caller = source.choices(plan.callers, weights=[one.weight for one in plan.callers])[0]
    request_id = f"load-{plan.seed}-{number}"
    first = Arrival(
        at=at,
        request_id=request_id,
        kind=kind,
        caller=caller,
        gateway=source.choice(plan.gateways),
        **_question(plan, source, kind, request_id),
    )
    if kind is not records.Kind.FILING or source.random() >= plan.repeat_share:
        return [first]
    others = [one for one in plan.gateways if one != first.gateway] or list(plan.gateways)
    repeat = dataclasses.replace(
        first,
        at=at + source.random() * _REPEAT_SECONDS,
        request_id=f"load-{plan.seed}-{number + 1}",
        gateway=source.choice(others),
    )
    return [first, repeat]


def _question(
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
