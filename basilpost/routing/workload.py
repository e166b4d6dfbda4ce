"""Predicts what a request costs a target: seconds of its work, the first event, and its memory.

Load pattern: requests of very different size for one model. Counted as one each, a few long prompts
fill a target that seems half empty, and its callers wait for their first event. All functions are
pure; the figures come from the operators' configuration. A caller's estimate of its answer is often
far off, so it counts only within bounds.
"""

import math

from basilpost.core import catalog
from basilpost.routing import header_dialect

# An estimate counts up to this many times the usual length of an answer.
MAX_ESTIMATE_FACTOR = 4.0
# Share of a target's memory that requests may fill. Answers that outgrow their estimates use the rest.
MEMORY_SHARE = 0.9
# Time constant of the correction of predicted work, and its bounds.
CORRECTION_SECONDS = 2.0
MIN_CORRECTION = 0.4
MAX_CORRECTION = 2.0
# Share of the slots in use from which targets count as saturated.
SATURATED_SHARE = 0.9
# Work of a model, in targets, below which it says nothing about the correction.
MIN_OBSERVED_WORK = 0.5


def answer_tokens(call: header_dialect.RequestInfo, figures: catalog.EngineFigures) -> float:
    """Returns the tokens that the answer is expected to have, at least one."""
    expected = call.expected_answer_tokens or figures.usual_answer_tokens
    bound = call.max_answer_tokens or math.inf
    return max(1.0, min(expected, bound, figures.usual_answer_tokens * MAX_ESTIMATE_FACTOR))


def read_seconds(call: header_dialect.RequestInfo, figures: catalog.EngineFigures) -> float:
    """Returns the seconds for which the prompt keeps a target reading, at pace 1."""
    pairs = call.prompt_tokens * call.prompt_tokens / 2.0 / 1e6
    return call.prompt_tokens / figures.read_tokens_per_second + pairs * figures.pair_seconds


def step_seconds(figures: catalog.EngineFigures, *, writing: int, context_tokens: float) -> float:
    """Returns the seconds of one step for a number of writing requests, at pace 1."""
    per_request = (
        figures.request_step_seconds + figures.context_step_seconds * context_tokens / 1000.0
    )
    return figures.step_seconds + per_request * writing


def work_seconds(
    call: header_dialect.RequestInfo, engine: catalog.Engine, model: catalog.Model
) -> float:
    """Returns the seconds of a whole target that a request takes while all its slots are in use.

    A target ends as many requests as take one second of work in each second. The result is 0 if the
    configuration holds no figures of the engine.
    """
    figures = engine.figures
    if figures is None:
        return 0.0
    answer = answer_tokens(call, figures)
    context = call.prompt_tokens + answer / 2.0
    step = step_seconds(figures, writing=engine.slots, context_tokens=context)
    return (read_seconds(call, figures) + answer * step / max(1, engine.slots)) * model.pace


def held_seconds(
    call: header_dialect.RequestInfo, engine: catalog.Engine, model: catalog.Model
) -> float:
    """Returns the seconds for which a request holds its slot while all others are in use."""
    return work_seconds(call, engine, model) * max(1, engine.slots)


def first_event_seconds(
    call: header_dialect.RequestInfo,
    engine: catalog.Engine,
    model: catalog.Model,
    *,
    in_flight: int,
) -> float:
    """Returns the predicted seconds to the first event at a target.

    The prompt is read, then a pass ends with the first event. Requests beyond the slots wait until
    earlier ones have ended, whose work is taken to be like this one's.

    Args:
        call: The request.
        engine: The engines of its service.
        model: Its model.
        in_flight: Requests that the target has already.
    """
    figures = engine.figures
    if figures is None:
        return 0.0
    writing = min(in_flight + 1, engine.slots)
    step = step_seconds(figures, writing=writing, context_tokens=call.prompt_tokens)
    started = (read_seconds(call, figures) + step * figures.steps_per_pass) * model.pace
    ahead = max(0, in_flight + 1 - engine.slots)
    return started + ahead * work_seconds(call, engine, model)


def utilization(engine: catalog.Engine, *, in_flight: float) -> float:
    """Returns the share of a target's work that it does while it has some requests in flight.

    Steps are shorter with fewer requests, so a half full target does more than half of its work.

    Args:
        engine: The engines of its service.
        in_flight: Requests at the target, on average.
    """
    slots = max(1, engine.slots)
    filled = min(1.0, in_flight / slots)
    if engine.figures is None:
        return filled
    full_step = step_seconds(engine.figures, writing=slots, context_tokens=0.0)
    step = step_seconds(engine.figures, writing=1, context_tokens=0.0)
    per_request = (full_step - step) / max(1, slots - 1)
    return filled * full_step / (step + per_request * max(0.0, filled * slots - 1.0))


def memory_tokens(call: header_dialect.RequestInfo, figures: catalog.EngineFigures) -> float:
    """Returns the tokens of a target's memory that a request holds at the end of its answer."""
    return call.prompt_tokens + answer_tokens(call, figures)


def fits_memory(
    call: header_dialect.RequestInfo, figures: catalog.EngineFigures, *, in_flight: int
) -> bool:
    """Returns True if a target has memory for a request beside those that it has.

    The others are counted as if each were as large as this one, so that a large request waits for a
    target with enough room and a small one passes.
    """
    own = memory_tokens(call, figures)
    return own * (in_flight + 1) <= figures.memory_tokens * MEMORY_SHARE or (
        not in_flight and own <= figures.memory_tokens
    )


class Correction:
    """The factor by which predicted work of a model differs from what its targets are seen to do.

    Attributes:
        factor: Multiplies predicted work; 1 until something was observed.
    """

    def __init__(self) -> None:
        self.factor = 1.0

    def record(self, *, predicted: float, observed: float, seconds: float, saturated: bool) -> None:
        """Records an observation.

        Full targets may have been given more than they do. Their work shows then only that requests are
        not cheaper; taken for their cost, it would admit more and more.

        Args:
            predicted: Work that was admitted per second, as predicted, in targets.
            observed: Work that the targets are seen to do, in targets.
            seconds: Time since the last observation.
            saturated: True if all slots of the targets are in use.
        """
        if min(predicted, observed) < MIN_OBSERVED_WORK:
            return
        seen = min(MAX_CORRECTION, max(MIN_CORRECTION, observed / predicted))
        if saturated and seen < self.factor:
            return
        gain = 1.0 - math.exp(-seconds / CORRECTION_SECONDS)
        self.factor += gain * (seen - self.factor)
